//! Segment headers and flow keys, and the codec of a deployment's wire format.

use std::{
    fmt,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// Key of a flow: the address of the caller and the address that the caller sends to.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct FlowKey {
    /// Address and port of the caller.
    pub caller: SocketAddrV4,
    /// Address and port of the service.
    pub address: SocketAddrV4,
}

impl FlowKey {
    /// Length of [`FlowKey::to_bytes`].
    pub const BYTES: usize = 12;

    /// Returns the addresses and ports in network byte order.
    pub fn to_bytes(&self) -> [u8; Self::BYTES] {
        let mut bytes = [0; Self::BYTES];
        bytes[..4].copy_from_slice(&self.caller.ip().octets());
        bytes[4..6].copy_from_slice(&self.caller.port().to_be_bytes());
        bytes[6..10].copy_from_slice(&self.address.ip().octets());
        bytes[10..].copy_from_slice(&self.address.port().to_be_bytes());
        bytes
    }

    /// Returns the key of the flow with these addresses and ports in network byte order.
    pub fn from_bytes(bytes: &[u8; Self::BYTES]) -> Self {
        let [a, b, c, d, high, low, rest @ ..] = *bytes;
        let caller = SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low]));
        let [a, b, c, d, high, low] = rest;
        let address = SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low]));
        Self { caller, address }
    }
}

/// Encodes flows one after the other, [`FlowKey::BYTES`] each.
pub fn encode_flows(flows: &[FlowKey]) -> Vec<u8> {
    flows.iter().flat_map(FlowKey::to_bytes).collect()
}

/// Returns the flows of [`encode_flows`]; none if the length is no multiple of a flow's.
pub fn decode_flows(bytes: &[u8]) -> impl Iterator<Item = FlowKey> {
    let (flows, rest) = bytes.as_chunks::<{ FlowKey::BYTES }>();
    let flows = if rest.is_empty() { flows } else { &[] };
    flows.iter().map(FlowKey::from_bytes)
}

impl fmt::Display for FlowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}>{}", self.caller, self.address)
    }
}

/// Flags of a segment, as in TCP except for `bounced`.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Flags {
    /// The acknowledgement number is valid.
    pub ack: bool,
    /// A backend server returned the segment because it does not hold the flow, or does not accept
    /// the opening.
    pub bounced: bool,
    /// The sender sends no more data.
    pub fin: bool,
    /// The sender resets the flow.
    pub rst: bool,
    /// The sender opens its end of the flow.
    pub syn: bool,
}

/// Header of a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Segment {
    /// Address and port of the sender.
    pub source: SocketAddrV4,
    /// Address and port of the receiver.
    pub destination: SocketAddrV4,
    /// Sequence number of the first byte of data.
    pub sequence: u32,
    /// Next sequence number that the sender expects.
    pub acknowledged: u32,
    /// Length of the data in bytes.
    pub length: u16,
    /// Flags of the segment.
    pub flags: Flags,
    /// Mark that [`Codec::mark`] wrote last. Agents write the IPv4 address of the balancer that
    /// sent the segment.
    pub mark: u32,
}

impl Segment {
    /// Returns the key of the flow, for a segment that a caller sent.
    pub fn flow_of_caller(&self) -> FlowKey {
        FlowKey {
            caller: self.source,
            address: self.destination,
        }
    }

    /// Returns the key of the flow, for a segment that a backend server sent.
    pub fn flow_of_server(&self) -> FlowKey {
        FlowKey {
            caller: self.destination,
            address: self.source,
        }
    }

    /// Returns whether the segment opens a flow: the SYN of a caller.
    pub fn is_opening(&self) -> bool {
        self.flags.syn && !self.flags.ack
    }

    /// Returns the sequence number that follows the last byte of data.
    pub fn end(&self) -> u32 {
        self.sequence.wrapping_add(u32::from(self.length))
    }
}

/// Returns whether sequence number `a` comes after `b`, modulo 2³² (RFC 1982).
pub fn is_after(a: u32, b: u32) -> bool {
    a != b && a.wrapping_sub(b) < 1 << 31
}

/// Returns whether an acknowledgement number may belong to the start of a flow whose other end has
/// the initial sequence number `initial`.
pub fn acknowledges_start(acknowledged: u32, initial: u32) -> bool {
    /// Limit of bytes that the first segment seen from a caller may acknowledge after the initial
    /// sequence number. Callers stay far below it.
    const START_WINDOW_BYTES: u32 = 1 << 20;
    acknowledged.wrapping_sub(initial) < START_WINDOW_BYTES
}

/// Reads and writes segments in the wire format of a deployment.
pub trait Codec: Clone + Send + Sync + 'static {
    /// Returns the segment header of a datagram, or `None` if it is not a segment.
    fn read(&self, datagram: &[u8]) -> Option<Segment>;

    /// Returns the time since the caller sent the first copy of an opening segment, as far as this
    /// copy tells; zero for the first one.
    fn opening_age(&self, opening: &Segment) -> Duration;

    /// Returns the time from the first copy of an opening segment to the copy after this one, or `None` if the
    /// caller sends no more.
    fn next_copy_age(&self, _: &Segment) -> Option<Duration> {
        None
    }

    /// Clears the bounced flag of a caller's datagram and writes a mark. A backend server that
    /// bounces the datagram returns the mark with it.
    fn mark(&self, datagram: &mut [u8], mark: u32);

    /// Encodes a reset from the service's end of a flow with a sequence number, which replaces the
    /// contents of `buffer`.
    fn reset(&self, flow: &FlowKey, sequence: u32, buffer: &mut Vec<u8>);

    /// Returns whether a datagram begins an answer that reports a failure of the server, or `None`
    /// if it does not begin an answer.
    fn reports_failure(&self, datagram: &[u8]) -> Option<bool>;

    /// Returns the id of the request that begins in a datagram, or `None` if none begins or it has
    /// no id.
    fn request_id<'a>(&self, datagram: &'a [u8]) -> Option<&'a str>;
}
