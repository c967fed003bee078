//! Data socket of the agent: decapsulates datagrams for QUIC and encapsulates those that it sends.

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
    datagram_forwarding::{AgentStatus, DatagramAction, FlowTable},
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

/// Callers whose last balancer is stored; the map is cleared when it is full.
const MAX_CALLERS: usize = 8192;

/// Options of a data socket.
#[derive(Debug)]
pub struct SocketOptions {
    /// Address, service and incarnation of the agent.
    pub owner: Owner,
    /// Keys that decrypt owner ids.
    pub keyring: Keyring,
    /// Clock of the process.
    pub clock: Clock,
    /// Members of the fleet.
    pub directory: Arc<Directory>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Running plus waiting requests relative to the backend server's concurrency limit.
    pub pressure: Arc<Pressure>,
}

/// A UDP socket whose datagrams are encapsulated in frames.
#[derive(Debug)]
pub struct FrameSocket {
    is_draining: AtomicBool,
    flows: Mutex<FlowTable>,
    options: SocketOptions,
    balancers: Mutex<HashMap<SocketAddr, SocketAddrV4>>,
    drops_all: AtomicBool,
    socket: UdpSocket,
}

impl FrameSocket {
    /// Wraps a bound UDP socket.
    pub fn new(socket: UdpSocket, options: SocketOptions) -> Self {
        Self {
            is_draining: AtomicBool::new(false),
            flows: Mutex::default(),
            options,
            balancers: Mutex::default(),
            drops_all: AtomicBool::new(false),
            socket,
        }
    }

    /// Drops all datagrams in both directions from now on, to simulate a crash of the VM.
    pub fn simulate_crash(&self) {
        self.drops_all.store(true, Ordering::Relaxed);
    }

    /// Forwards new flows to other agents from now on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::Relaxed);
    }

    fn status(&self) -> AgentStatus {
        let owner = &self.options.owner;
        AgentStatus {
            address: owner.address,
            service: owner.service,
            incarnation: owner.incarnation,
            is_draining: self.is_draining.load(Ordering::Relaxed),
            pressure: self.options.pressure.get(),
        }
    }

    /// Returns the caller and the payload of a datagram that this agent accepts; forwards or drops
    /// others.
    fn handle_datagram<'a>(&self, datagram: &'a [u8]) -> Option<(SocketAddr, &'a [u8])> {
        if self.drops_all.load(Ordering::Relaxed) {
            return None;
        }
        let Ok((header, payload)) = frame::decode::<Header>(datagram) else {
            self.options.metrics.count_dropped("damaged_frame");
            return None;
        };
        let action = self.flows.lock().expect("flows lock").decide(
            self.options.clock.now(),
            &self.status(),
            &self.options.directory.view(),
            &self.options.keyring,
            &header,
            payload,
        );
        match action {
            DatagramAction::Accept => {
                self.record_balancer(&header);
                Some((header.caller, payload))
            }
            DatagramAction::Forward { agent, fallbacks } => {
                self.forward(
                    Header {
                        fallbacks,
                        ..header
                    },
                    payload,
                    agent,
                );
                None
            }
            DatagramAction::Drop(reason) => {
                self.options.metrics.count_dropped(reason.as_str());
                None
            }
        }
    }

    fn record_balancer(&self, header: &Header) {
        let mut balancers = self.balancers.lock().expect("balancers lock");
        if balancers.len() >= MAX_CALLERS {
            balancers.clear();
        }
        balancers.insert(header.caller, header.balancer);
    }

    /// Returns the balancer through which to send to a caller.
    ///
    /// This is the balancer that last sent a datagram of the caller, unless none is recorded or the
    /// view has it as draining, suspect, dead or left. Then it is a ready balancer selected by the
    /// caller's port; if none is ready, it is the recorded one, and `None` without one.
    fn choose_balancer(&self, caller: SocketAddr) -> Option<SocketAddrV4> {
        let last = self
            .balancers
            .lock()
            .expect("balancers lock")
            .get(&caller)
            .copied();
        let view = self.options.directory.view();
        let state = last.and_then(|last| Some(view.members.get(&last)?.state));
        // A balancer that is not in the view has probably started recently, since it has sent a
        // datagram.
        if last.is_some() && state.is_none_or(|state| state == MemberState::Ready) {
            return last;
        }
        let is_ready =
            |record: &&Record| record.role == Role::Balancer && record.state == MemberState::Ready;
        let ready_balancers: Vec<SocketAddrV4> = view
            .members
            .values()
            .filter(is_ready)
            .map(|r| r.address)
            .collect();
        if ready_balancers.is_empty() {
            return last;
        }
        let index = usize::from(caller.port()) % ready_balancers.len();
        Some(ready_balancers[index])
    }

    fn forward(&self, mut header: Header, payload: &[u8], target: SocketAddrV4) {
        // "handed_on" is the label of forwarded datagrams in the metrics.
        self.options.metrics.count_routed("handed_on");
        tracing::info!(event = "datagram_forwarded", caller = %header.caller, agent = %target, hops = header.hops);
        header.hops += 1;
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        if frame::encode(&header, payload, &mut buffer).is_ok() {
            let _ = self.socket.try_send_to(&buffer, target.into());
        }
    }
}

impl AsyncUdpSocket for FrameSocket {
    fn create_io_poller(self: Arc<Self>) -> Pin<Box<dyn UdpPoller>> {
        Box::pin(SendPoller(self))
    }

    fn try_send(&self, transmit: &Transmit<'_>) -> io::Result<()> {
        if self.drops_all.load(Ordering::Relaxed) {
            return Ok(());
        }
        let Some(balancer) = self.choose_balancer(transmit.destination) else {
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
            // An ICMP error about one peer does not affect the others.
            if ready!(self.socket.poll_recv_from(cx, &mut buffer)).is_err() {
                continue;
            }
            let Some((caller, payload)) = self.handle_datagram(buffer.filled()) else {
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
struct SendPoller(Arc<FrameSocket>);

impl UdpPoller for SendPoller {
    fn poll_writable(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.0.socket.poll_send_ready(cx)
    }
}
