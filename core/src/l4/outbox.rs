//! Where the state machines send datagrams.

use std::net::SocketAddrV4;

/// Sends datagrams; one that can't be sent is lost, as any datagram may be.
pub trait Outbox {
    /// Sends a frame to another process of the fleet.
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]);

    /// Sends a segment to the host of a caller.
    fn to_caller(&mut self, caller: SocketAddrV4, datagram: &[u8]);

    /// Delivers a segment to the backend server beside this process.
    fn to_server(&mut self, datagram: &[u8]);
}
