//! What callers and servers send, and what a wire format has to offer for it.

use berylvalve_core::l4::segment::{Codec, Segment};

/// Length of each request and each answer, in bytes.
pub const DATA_BYTES: u16 = 96;

/// What a segment carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Content {
    /// A request with its id.
    Request(u64),
    /// An answer to a request.
    Answer {
        /// Id of the request.
        request: u64,
        /// Whether the server did what was asked.
        served: bool,
    },
}

/// A segment to send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Its head.
    pub segment: Segment,
    /// What it carries; `None` for a head alone.
    pub content: Option<Content>,
}

/// Writes and reads what callers and servers send in a wire format.
pub trait Wire: Codec {
    /// Returns the datagram of a segment.
    fn write(&self, outgoing: &Outgoing) -> Vec<u8>;

    /// Returns what a datagram carries, or `None` if it carries nothing or nothing known.
    fn content(&self, datagram: &[u8]) -> Option<Content>;

    /// Returns a datagram as a backend server sends it back.
    fn bounce(&self, datagram: &[u8]) -> Vec<u8>;

    /// Returns the bytes of a datagram that the system must not change.
    fn fixed(&self, datagram: &[u8]) -> Vec<u8>;
}
