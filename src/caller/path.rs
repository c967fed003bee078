//! Silent paths: a connection that sends and hears nothing moves to a new local port.
//!
//! The connection survives by QUIC's migration (RFC 9000, section 9).

use std::{
    io,
    net::{SocketAddr, UdpSocket},
    time::Duration,
};

use quinn::{Connection, Endpoint, VarInt};
use tokio::time::Instant;

use crate::{agent::RECEIVE_WINDOW_BYTES, consts::KEEP_ALIVE_INTERVAL};

/// Interval between two looks at a connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Checks without a datagram between two probes.
const PROBE_CHECKS: u32 = 5;

/// Time without a datagram after which a path counts as silent; both ends send keep-alives.
const FIRST_SILENCE: Duration = KEEP_ALIVE_INTERVAL
    .saturating_mul(5)
    .checked_div(2)
    .unwrap();

/// Longest time between two new ports of a path that stays silent.
const MAX_SILENCE: Duration = Duration::from_secs(6);

/// Decides when a path gets a new local port.
#[derive(Clone, Copy, Debug)]
pub struct PathWatch {
    deadline: Instant,
    received: u64,
    sent: u64,
    silence: Duration,
}

impl PathWatch {
    /// Returns the watch of a path from now.
    pub fn new(now: Instant) -> Self {
        Self {
            deadline: now + FIRST_SILENCE,
            received: 0,
            sent: 0,
            silence: FIRST_SILENCE,
        }
    }

    /// Returns whether the path is silent, by the datagrams sent and received so far.
    ///
    /// A path that was given a new port is given time, twice as much after each.
    pub fn silent(&mut self, now: Instant, sent: u64, received: u64) -> bool {
        if received != self.received {
            self.silence = FIRST_SILENCE;
            self.restart(now, sent, received);
            return false;
        }
        if now < self.deadline || sent == self.sent {
            return false;
        }
        self.silence = MAX_SILENCE.min(self.silence * 2);
        self.restart(now, sent, received);
        true
    }

    fn restart(&mut self, now: Instant, sent: u64, received: u64) {
        self.deadline = now + self.silence;
        self.received = received;
        self.sent = sent;
    }
}

/// Watches a connection until it closes.
pub(super) async fn watch(endpoint: Endpoint, connection: Connection) {
    let mut path = PathWatch::new(Instant::now());
    let mut port = endpoint.local_addr().ok();
    let mut probe = Probe::default();
    while connection.close_reason().is_none() {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let stats = connection.stats();
        let (sent, received) = (stats.udp_tx.datagrams, stats.udp_rx.datagrams);
        if probe.due(received) {
            connection.set_receive_window(probe.window());
        }
        if !path.silent(Instant::now(), sent, received) {
            continue;
        }
        reopen(&endpoint, port);
        port = endpoint.local_addr().ok();
        if stats.frame_rx.handshake_done == 0 {
            // The agent may still be in the handshake, in which a connection can't move.
            connection.close(0_u32.into(), b"path lost");
        }
    }
}

/// Sends a datagram at a steady pace while nothing is heard.
///
/// The library's own probes become rarer as the silence lasts, and a stateless reset comes only as
/// an answer. It offers no PING frame; a wider window is announced in a datagram of its own.
#[derive(Debug, Default)]
struct Probe {
    checks: u32,
    count: u32,
    received: u64,
}

impl Probe {
    fn due(&mut self, received: u64) -> bool {
        if received != self.received {
            self.received = received;
            self.checks = 0;
            return false;
        }
        self.checks += 1;
        self.checks.is_multiple_of(PROBE_CHECKS)
    }

    fn window(&mut self) -> VarInt {
        self.count += 1;
        VarInt::from_u32(RECEIVE_WINDOW_BYTES + self.count)
    }
}

/// Moves an endpoint to a new port, unless another connection has moved it away from `old`.
pub(super) fn reopen(endpoint: &Endpoint, old: Option<SocketAddr>) {
    if endpoint.local_addr().ok() != old {
        return;
    }
    let reopened = bind().and_then(|socket| endpoint.rebind(socket));
    match reopened {
        Ok(()) => tracing::info!(event = "path_reopened", reason = "silent"),
        Err(error) => tracing::warn!(event = "path_not_reopened", %error),
    }
}

fn bind() -> io::Result<UdpSocket> {
    let any: SocketAddr = ([0, 0, 0, 0], 0).into();
    UdpSocket::bind(any)
}
