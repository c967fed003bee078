//! UDP sockets of a daemon's event loop.

use std::{io, net::SocketAddrV4};

use prometheus_client::metrics::counter::Counter;
use tokio::net::UdpSocket;

use crate::{
    consts::MAX_DATAGRAM_BYTES, kernel::Kernel, l4::outbox::Outbox, metrics::Metrics,
    panics::contain,
};

/// Limit of datagrams that are read from a socket before the event loop handles other events.
const MAX_BURST_DATAGRAMS: usize = 64;

/// UDP sockets of one daemon.
#[derive(Debug)]
pub struct Sockets {
    /// Socket for frames of other processes.
    pub peers: UdpSocket,
    /// Socket for segments without a frame: those of callers in a balancer, and of the backend
    /// server in an agent.
    pub segments: UdpSocket,
    caller_port: u16,
    server_address: Option<SocketAddrV4>,
    unsent: Counter,
}

impl Sockets {
    /// Returns the sockets of a daemon, and registers the counter of datagrams that could not be
    /// sent.
    pub fn new(
        peers: UdpSocket,
        segments: UdpSocket,
        caller_port: u16,
        server_address: Option<SocketAddrV4>,
        kernel: &Kernel,
    ) -> Self {
        let unsent = Counter::default();
        if let Ok(metrics) = kernel.find::<Metrics>(Metrics::NAME) {
            let help = "Datagrams that the system did not take";
            metrics.register("datagrams_unsent", help, unsent.clone());
        }
        Self {
            peers,
            segments,
            caller_port,
            server_address,
            unsent,
        }
    }

    fn count_unsent(&self, sent: io::Result<usize>) {
        if let Err(error) = sent {
            self.unsent.inc();
            tracing::debug!(event = "datagram_unsent", %error);
        }
    }
}

impl Outbox for &Sockets {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        self.count_unsent(self.peers.try_send_to(frame, peer.into()));
    }

    fn to_caller(&mut self, caller: SocketAddrV4, datagram: &[u8]) {
        let host = SocketAddrV4::new(*caller.ip(), self.caller_port);
        self.count_unsent(self.segments.try_send_to(datagram, host.into()));
    }

    fn to_server(&mut self, datagram: &[u8]) {
        if let Some(server_address) = self.server_address {
            self.count_unsent(self.segments.try_send_to(datagram, server_address.into()));
        }
    }
}

/// Reads the datagrams that are pending in a socket, up to a limit, and calls `handle` for each. A
/// datagram whose handler panics is dropped.
pub fn receive_pending(
    socket: &UdpSocket,
    buffer: &mut [u8; MAX_DATAGRAM_BYTES],
    mut handle: impl FnMut(SocketAddrV4, &[u8]),
) {
    for _ in 0..MAX_BURST_DATAGRAMS {
        match socket.try_recv_from(buffer) {
            Ok((length, std::net::SocketAddr::V4(from))) => {
                contain("datagram", || handle(from, &buffer[..length]));
            }
            Ok(_) => continue,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            // A read may return the error of an earlier send, such as to a closed port.
            Err(error) => tracing::debug!(event = "socket_read_failed", %error),
        }
    }
}
