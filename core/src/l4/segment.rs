//! What the decisions see of a segment, and what a codec of the wire format has to offer.

use std::{fmt, net::SocketAddrV4};

use serde::{Deserialize, Serialize};

/// A flow: the caller's end and the address that the caller sends to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub address: SocketAddrV4,
}

impl FlowKey {
    /// Returns the addresses and ports as bytes, for hashes.
    pub fn to_bytes(&self) -> [u8; 12] {
        let mut bytes = [0; 12];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.address.ip().octets());
        bytes[10..].copy_from_slice(&self.address.port().to_be_bytes());
        bytes
    }
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.address)
    }
}

/// Flags of a segment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flags {
    /// Acknowledges what was received.
    pub ack: bool,
    /// A backend server returned the segment because it does not hold the flow.
    pub bounced: bool,
    /// The sender sends no more data.
    pub fin: bool,
    /// The flow ends at once.
    pub rst: bool,
    /// Opens the flow.
    pub syn: bool,
}

/// The head of a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Address and port of the sender's end.
    pub source: SocketAddrV4,
    /// Address and port of the receiver's end.
    pub destination: SocketAddrV4,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Next sequence number that the sender expects.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub length: u16,
    /// Flags.
    pub flags: Flags,
    /// The mark that was written last, see [`Codec::mark`].
    pub mark: u32,
}

impl Segment {
    /// Returns the flow of a segment that a caller sent.
    pub fn flow_of_caller(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            address: self.destination,
        }
    }

    /// Returns the flow of a segment that a backend server sent.
    pub fn flow_of_server(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            address: self.source,
        }
    }

    /// Returns whether the segment opens a flow.
    pub fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns the sequence number behind the data.
    pub fn end(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.length))
    }
}

/// Returns whether sequence number `a` is behind `b`, modulo 2³² (RFC 1982).
pub fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// Returns whether an acknowledgement may belong to the start of a flow whose other end began at
/// `initial`.
pub fn follows(acknowledged: u32, initial: u32) -> bool {
    /// Data that may be acknowledged at the start of a flow, in bytes, with room to spare.
    const WINDOW: u32 = 1 << 20;
    acknowledged.wrapping_sub(initial) < WINDOW
}

/// Reads and writes segments in the wire format of a deployment.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Returns the head of a datagram, or `None` if it is not a segment.
    fn read(&self, datagram: &[u8]) -> Option<Segment>;

    /// Prepares a caller's datagram for delivery: no longer bounced, with a mark that a backend
    /// server returns with what it bounces.
    fn mark(&self, datagram: &mut [u8], mark: u32);

    /// Writes a reset from the service's end of a flow to `buffer`, in place of what it held.
    fn reset(&self, flow: &FlowKey, sequence: u32, buffer: &mut Vec<u8>);

    /// Returns whether the data of a datagram begins an answer that reports a failure of the server,
    /// or `None` if it does not begin an answer.
    fn reports_failure(&self, datagram: &[u8]) -> Option<bool>;

    /// Returns the id of the request whose head begins with the data of a datagram.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str>;
}
