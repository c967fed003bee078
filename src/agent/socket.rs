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

use super::{
    intake::{FlowTable, Intake, Standing},
    pressure::Pressure,
};
use crate::{
    clock::Clock,
    consts::MAX_DATAGRAM_BYTES,
    frame::{self, Header},
    member::{Directory, MemberState, Record, Role},
    metrics::Metrics,
    owner_id::{Keyring, Owner},
};

/// Callers whose balancer is remembered; the map is cleared when it is full.
const MAX_PATHS: usize = 8192;

/// What a data socket is opened with.
#[derive(Debug)]
pub struct SocketOptions {
    /// The agent as connection ids name it.
    pub owner: Owner,
    /// Keys of the owner ids.
    pub keyring: Keyring,
    /// The process clock.
    pub clock: Clock,
    /// Members of the fleet.
    pub directory: Arc<Directory>,
    /// Counters of the process.
    pub metrics: Arc<Metrics>,
    /// How busy the backend server is.
    pub pressure: Arc<Pressure>,
}

/// A UDP socket whose datagrams are wrapped in frames.
#[derive(Debug)]
pub struct FrameSocket {
    draining: AtomicBool,
    flows: Mutex<FlowTable>,
    options: SocketOptions,
    paths: Mutex<HashMap<SocketAddr, SocketAddrV4>>,
    severed: AtomicBool,
    socket: UdpSocket,
}

impl FrameSocket {
    /// Returns the socket of an agent.
    pub fn new(socket: UdpSocket, options: SocketOptions) -> Self {
        Self {
            draining: AtomicBool::new(false),
            flows: Mutex::default(),
            options,
            paths: Mutex::default(),
            severed: AtomicBool::new(false),
            socket,
        }
    }

    /// Sends and receives nothing from now, as if the VM had died.
    pub fn sever(&self) {
        self.severed.store(true, Ordering::Relaxed);
    }

    /// Hands new flows on from now.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    fn standing(&self) -> Standing {
        let owner = &self.options.owner;
        Standing {
            address: owner.address,
            service: owner.service,
            incarnation: owner.incarnation,
            draining: self.draining.load(Ordering::Relaxed),
            pressure: self.options.pressure.get(),
        }
    }

    /// Returns the payload of a datagram that QUIC gets.
    fn accept<'a>(&self, datagram: &'a [u8]) -> Option<(SocketAddr, &'a [u8])> {
        if self.severed.load(Ordering::Relaxed) {
            return None;
        }
        let Ok((header, payload)) = frame::decode::<Header>(datagram) else {
            self.options.metrics.count_dropped("damaged_frame");
            return None;
        };
        let intake = self.flows.lock().expect("flows lock").decide(
            self.options.clock.now(),
            &self.standing(),
            &self.options.directory.view(),
            &self.options.keyring,
            &header,
            payload,
        );
        match intake {
            Intake::Take => {
                self.remember(&header);
                Some((header.caller, payload))
            }
            Intake::HandOn { agent, others } => {
                self.hand_on(
                    Header {
                        fallbacks: others,
                        ..header
                    },
                    payload,
                    agent,
                );
                None
            }
            Intake::Drop(reason) => {
                self.options.metrics.count_dropped(reason.as_str());
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
        let view = self.options.directory.view();
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
        self.options.metrics.count_routed("handed_on");
        tracing::info!(event = "handed_on", caller = %header.caller, agent = %other, hops = header.hops);
        header.hops += 1;
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
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
        if self.severed.load(Ordering::Relaxed) {
            return Ok(());
        }
        let Some(balancer) = self.balancer(transmit.destination) else {
            return Ok(());
        };
        let header = Header {
            caller: transmit.destination,
            service: self.options.owner.service,
            version: 0,
            balancer,
            fallbacks: [None, None],
            hops: 0,
        };
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
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
        let mut space = [0; MAX_DATAGRAM_BYTES];
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
        Ok(self.options.owner.address.into())
    }
}

#[derive(Debug)]
struct Poller(Arc<FrameSocket>);

impl UdpPoller for Poller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.socket.poll_send_ready(cx)
    }
}
