//! Interface through which the state machines send datagrams.

use std::net::SocketAddrV4;

/// Sends datagrams. A datagram that can't be sent is dropped without an error, as any datagram may
/// be lost on the way.
pub trait Outbox {
    /// Sends a frame to another process of the fleet.
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]);

    /// Sends a segment to the host of a caller.
    fn to_caller(&mut self, caller: SocketAddrV4, datagram: &[u8]);

    /// Delivers a segment to the backend server of this agent.
    fn to_server(&mut self, datagram: &[u8]);
}
