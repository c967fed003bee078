//! The sockets of a data loop.

use std::{io, net::SocketAddrV4};

use prometheus_client::metrics::counter::Counter;
use tokio::net::UdpSocket;

use crate::{consts::MAX_DATAGRAM_BYTES, kernel::Kernel, l4::outbox::Outbox, metrics::Metrics};

/// Datagrams that are read before other work gets its turn.
const BURST: usize = 64;

/// The sockets of one daemon.
#[derive(Debug)]
pub struct Sockets {
    /// Frames of other processes.
    pub peers: UdpSocket,
    /// Datagrams of callers at a balancer, of the backend server at an agent.
    pub edge: UdpSocket,
    caller_port: u16,
    server: Option<SocketAddrV4>,
    unsent: Counter,
}

impl Sockets {
    /// Returns the sockets of a daemon, with a counter of what could not be sent.
    pub fn new(
        peers: UdpSocket,
        edge: UdpSocket,
        caller_port: u16,
        server: Option<SocketAddrV4>,
        kernel: &Kernel,
    ) -> Self {
        let unsent = Counter::default();
        if let Ok(metrics) = kernel.find::<Metrics>(Metrics::NAME) {
            let help = "Datagrams that the system did not take";
            metrics.register("datagrams_unsent", help, unsent.clone());
        }
        Self {
            peers,
            edge,
            caller_port,
            server,
            unsent,
        }
    }

    fn count(&self, sent: io::Result<usize>) {
        if let Err(error) = sent {
            self.unsent.inc();
            tracing::debug!(event = "datagram_unsent", %error);
        }
    }
}

impl Outbox for &Sockets {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        self.count(self.peers.try_send_to(frame, peer.into()));
    }

    fn to_caller(&mut self, caller: SocketAddrV4, datagram: &[u8]) {
        let host = SocketAddrV4::new(*caller.ip(), self.caller_port);
        self.count(self.edge.try_send_to(datagram, host.into()));
    }

    fn to_server(&mut self, datagram: &[u8]) {
        if let Some(server) = self.server {
            self.count(self.edge.try_send_to(datagram, server.into()));
        }
    }
}

/// Hands the datagrams that wait in a socket to `take`, a bounded number at a time.
pub fn drain(
    socket: &UdpSocket,
    buffer: &mut [u8; MAX_DATAGRAM_BYTES],
    mut take: impl FnMut(SocketAddrV4, &[u8]),
) {
    for _ in 0..BURST {
        match socket.try_recv_from(buffer) {
            Ok((length, std::net::SocketAddr::V4(from))) => take(from, &buffer[..length]),
            Ok(_) => continue,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            // A peer's closed port shows here too.
            Err(error) => tracing::debug!(event = "datagram_unread", %error),
        }
    }
}
