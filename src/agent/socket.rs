//! The agent's data socket: unwraps datagrams for QUIC and wraps its answers.

use std::{
    collections::HashMap,
    io::{self, IoSliceMut},
    net::{SocketAddr, SocketAddrV4},
    pin::Pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, ready},
};

use quinn::{
    AsyncUdpSocket, UdpPoller,
    udp::{RecvMeta, Transmit},
};
use tokio::{io::ReadBuf, net::UdpSocket};

use super::intake::{self, Intake, Standing};
use crate::{
    consts::DATAGRAM_BYTES,
    frame::{self, Header},
    member::{Directory, MemberState, Record, Role},
    owner_id::{Incarnation, Keyring, ServiceTag},
};

/// Callers whose balancer is remembered; the map is cleared when it is full.
const MAX_PATHS: usize = 8192;

/// A UDP socket whose datagrams are wrapped in frames.
#[derive(Debug)]
pub struct FrameSocket {
    address: SocketAddrV4,
    directory: Arc<Directory>,
    draining: AtomicBool,
    incarnation: Incarnation,
    keyring: Keyring,
    paths: Mutex<HashMap<SocketAddr, SocketAddrV4>>,
    service: ServiceTag,
    socket: UdpSocket,
}

impl FrameSocket {
    /// Returns the socket of an agent.
    pub fn new(
        socket: UdpSocket,
        address: SocketAddrV4,
        service: ServiceTag,
        incarnation: Incarnation,
        keyring: Keyring,
        directory: Arc<Directory>,
    ) -> Self {
        Self {
            address,
            directory,
            draining: AtomicBool::new(false),
            incarnation,
            keyring,
            paths: Mutex::default(),
            service,
            socket,
        }
    }

    /// Hands new flows on from now.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn standing(&self) -> Standing {
        Standing {
            address: self.address,
            service: self.service,
            incarnation: self.incarnation,
            draining: self.draining.load(Ordering::Relaxed),
        }
    }

    /// Returns the payload of a datagram that QUIC gets.
    fn accept<'a>(&self, datagram: &'a [u8]) -> Option<(SocketAddr, &'a [u8])> {
        let Ok((header, payload)) = frame::decode(datagram) else {
            tracing::debug!(event = "dropped", reason = "damaged_frame");
            return None;
        };
        match intake::decide(&self.standing(), &self.keyring, &header, payload) {
            Intake::Take => {
                self.remember(&header);
                Some((header.caller, payload))
            }
            Intake::HandOn(other) => {
                self.hand_on(header, payload, other);
                None
            }
            Intake::Drop(reason) => {
                tracing::debug!(event = "dropped", reason, caller = %header.caller);
                None
            }
        }
    }

    fn remember(&self, header: &Header) {
        let mut paths = self.paths.lock().expect("paths lock");
        if paths.len() >= MAX_PATHS {
            paths.clear();
        }
        paths.insert(header.caller, header.balancer);
    }

    /// Returns the balancer last heard on a flow, or another one when that one is leaving or gone.
    fn balancer(&self, caller: SocketAddr) -> Option<SocketAddrV4> {
        let heard = self.paths.lock().expect("paths lock").get(&caller).copied();
        let view = self.directory.view();
        let state = heard.and_then(|heard| Some(view.members.get(&heard)?.state));
        // A balancer that the agent does not know yet has just proved that it lives.
        if heard.is_some() && state.is_none_or(|state| state == MemberState::Ready) {
            return heard;
        }
        let ready =
            |record: &&Record| record.role == Role::Balancer && record.state == MemberState::Ready;
        let live: Vec<SocketAddrV4> = view
            .members
            .values()
            .filter(ready)
            .map(|r| r.address)
            .collect();
        if live.is_empty() {
            return heard;
        }
        let index = usize::from(caller.port()) % live.len();
        Some(live[index])
    }

    fn hand_on(&self, mut header: Header, payload: &[u8], other: SocketAddrV4) {
        tracing::debug!(event = "handed_on", caller = %header.caller, agent = %other);
        header.hops += 1;
        let mut buffer = Vec::with_capacity(DATAGRAM_BYTES);
        if frame::encode(&header, payload, &mut buffer).is_ok() {
            let _ = self.socket.try_send_to(&buffer, other.into());
        }
    }
}

impl AsyncUdpSocket for FrameSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(Poller(self))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        let Some(balancer) = self.balancer(transmit.destination) else {
            return Ok(());
        };
        let header = Header {
            caller: transmit.destination,
            service: self.service,
            version: 0,
            balancer,
            others: [None, None],
            hops: 0,
        };
        let mut buffer = Vec::with_capacity(DATAGRAM_BYTES);
        frame::encode(&header, transmit.contents, &mut buffer).map_err(io::Error::other)?;
        self.socket
            .try_send_to(&buffer, balancer.into())
            .map(|_| ())
    }

    fn poll_recv(
        &self,
        cx: &mut Context<'_>,
        bufs: &mut [IoSliceMut<'_>],
        meta: &mut [RecvMeta],
    ) -> Poll<io::Result<usize>> {
        let mut space = [0; DATAGRAM_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut space);
            // An ICMP error of one peer does not concern the others.
            if ready!(self.socket.poll_recv_from(cx, &mut buffer)).is_err() {
                continue;
            }
            let Some((caller, payload)) = self.accept(buffer.filled()) else {
                continue;
            };
            bufs[0][..payload.len()].copy_from_slice(payload);
            meta[0] = RecvMeta {
                addr: caller,
                len: payload.len(),
                stride: payload.len(),
                ecn: None,
                dst_ip: None,
            };
            return Poll::Ready(Ok(1));
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.address.into())
    }
}

#[derive(Debug)]
struct Poller(Arc<FrameSocket>);

impl UdpPoller for Poller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.socket.poll_send_ready(cx)
    }
}
