//! A balancer's datagrams a second against a bare UDP relay on the same sockets, and its memory.

use std::{
    net::{SocketAddr, SocketAddrV4, UdpSocket as StdSocket},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use serde_json::{Value, json};
use tokio::{net::UdpSocket, runtime::Builder, sync::oneshot};

use super::resident_bytes;
use crate::{
    balancer::{self, BalancerOptions},
    config::tree::{Region, ServiceSettings},
    datagram::BatchSocket,
    decision::DecisionLog,
    kernel::Kernel,
    member::Directory,
    metrics::Metrics,
    owner_id::{FleetKey, Incarnation, Keyring, Owner, Purpose, ServiceTag},
    proxy_header::{self, Endpoints},
    settings::{ActiveSettings, ResolvedSettings},
};

const ROUNDS: usize = 5;
const ROUND_TIME: Duration = Duration::from_millis(800);
const SINKS: usize = 4;
const SENDERS: usize = 2;
const FLOWS: usize = 256;
const PAYLOAD_BYTES: usize = 1100;
/// Datagrams under way, so that no socket buffer overflows.
const WINDOW: u64 = 256;
const MEMORY_STEPS: [usize; 2] = [100_000, 300_000];
const SERVICE: ServiceTag = ServiceTag(1);

#[derive(Clone, Copy)]
enum Kind {
    Balancer,
    Bare,
}

/// Agents that count what arrives.
struct Sinks {
    addresses: Vec<SocketAddrV4>,
    received: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

/// A relay in a thread of its own.
struct Relay {
    address: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

/// Runs the measurement.
pub fn run(seed: u64) -> Value {
    let mut bare = Vec::with_capacity(ROUNDS);
    let mut balancer = Vec::with_capacity(ROUNDS);
    for round in 0..ROUNDS {
        bare.push(throughput(Kind::Bare, seed + round as u64));
        balancer.push(throughput(Kind::Balancer, seed + round as u64));
    }
    let mut ratios: Vec<f64> = balancer.iter().zip(&bare).map(|(b, a)| b / a).collect();
    ratios.sort_by(f64::total_cmp);
    json!({
        "bare_per_second": bare,
        "balancer_per_second": balancer,
        "median_ratio": ratios[ROUNDS / 2],
        "memory": memory(seed),
    })
}

/// Returns datagrams a second through a relay.
fn throughput(kind: Kind, seed: u64) -> f64 {
    let sinks = Sinks::start();
    let relay = Relay::start(kind, &sinks.addresses);
    let datagrams = datagrams(&sinks.addresses, FLOWS, seed);
    let sent = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut senders = Vec::with_capacity(SENDERS);
    for _ in 0..SENDERS {
        let datagrams = datagrams.clone();
        let (sent, received) = (sent.clone(), sinks.received.clone());
        let target = relay.address;
        senders.push(thread::spawn(move || {
            send(&datagrams, target, &sent, &received)
        }));
    }
    for sender in senders {
        sender.join().expect("sender ends");
    }
    let received = sinks.received.load(Ordering::Relaxed);
    let elapsed = start.elapsed().as_secs_f64();
    relay.stop();
    sinks.stop();
    received as f64 / elapsed
}

fn send(datagrams: &[Vec<u8>], target: SocketAddr, sent: &AtomicU64, received: &AtomicU64) {
    let socket = StdSocket::bind("127.0.0.1:0").expect("free port");
    let deadline = Instant::now() + ROUND_TIME;
    let mut progress = (0, Instant::now());
    for datagram in datagrams.iter().cycle() {
        let now = Instant::now();
        if now >= deadline {
            return;
        }
        let arrived = received.load(Ordering::Relaxed);
        if sent.load(Ordering::Relaxed) >= arrived + WINDOW {
            if progress.0 != arrived {
                progress = (arrived, now);
            } else if now.duration_since(progress.1) > Duration::from_millis(20) {
                // What is missing was lost: the window opens again.
                sent.store(arrived, Ordering::Relaxed);
            }
            thread::yield_now();
            continue;
        }
        sent.fetch_add(1, Ordering::Relaxed);
        let _ = socket.send_to(datagram, target);
    }
}

/// Returns datagrams of established flows, spread over the agents, as the fabric sends them.
fn datagrams(agents: &[SocketAddrV4], flows: usize, seed: u64) -> Vec<Vec<u8>> {
    let keyring = Keyring::new(&keys(), Purpose::Connection);
    let mut datagrams = Vec::with_capacity(flows);
    for flow in 0..flows {
        let owner = Owner {
            address: agents[flow % agents.len()],
            service: SERVICE,
            incarnation: Incarnation(1),
        };
        let mut payload = vec![0x40];
        payload.extend_from_slice(&keyring.encrypt(&owner, (seed as u32) ^ flow as u32));
        payload.resize(PAYLOAD_BYTES, 7);
        let caller = SocketAddr::from(([10, 0, (flow >> 8) as u8, flow as u8], 4000));
        let endpoints = Endpoints {
            source: caller,
            destination: service_address(),
        };
        let mut datagram = Vec::new();
        proxy_header::encode(endpoints, &payload, &mut datagram);
        datagrams.push(datagram);
    }
    datagrams
}

/// Returns the growth of the process while a balancer routes many flows, in bytes a flow.
fn memory(seed: u64) -> Value {
    let sinks = Sinks::start();
    let relay = Relay::start(Kind::Balancer, &sinks.addresses);
    let socket = StdSocket::bind("127.0.0.1:0").expect("free port");
    let mut steps = Vec::new();
    // The first flows grow the buffers that all later ones share.
    for step in [FLOWS].into_iter().chain(MEMORY_STEPS) {
        let before = resident_bytes();
        for part in 0..step.div_ceil(FLOWS) {
            for datagram in datagrams(&sinks.addresses, FLOWS, seed + (part * FLOWS) as u64) {
                let _ = socket.send_to(&datagram, relay.address);
            }
            thread::yield_now();
        }
        let grown = resident_bytes().saturating_sub(before);
        steps.push(json!({ "flows": step, "grown_bytes": grown }));
    }
    relay.stop();
    sinks.stop();
    Value::Array(steps)
}

fn keys() -> Vec<FleetKey> {
    vec![FleetKey {
        id: 1,
        secret: vec![5; 16],
    }]
}

fn service_address() -> SocketAddr {
    SocketAddr::from(([10, 9, 9, 9], 443))
}

impl Sinks {
    fn start() -> Self {
        let received = Arc::new(AtomicU64::new(0));
        let stop = Arc::new(AtomicBool::new(false));
        let mut sinks = Self {
            addresses: Vec::new(),
            received,
            stop,
            threads: Vec::new(),
        };
        for _ in 0..SINKS {
            sinks.add();
        }
        sinks
    }

    fn add(&mut self) {
        let socket = StdSocket::bind("127.0.0.1:0").expect("free port");
        let timeout = Some(Duration::from_millis(50));
        socket.set_read_timeout(timeout).expect("valid timeout");
        if let Ok(SocketAddr::V4(address)) = socket.local_addr() {
            self.addresses.push(address);
        }
        let (received, stop) = (self.received.clone(), self.stop.clone());
        self.threads.push(thread::spawn(move || {
            let mut buffer = [0; 2048];
            while !stop.load(Ordering::Relaxed) {
                if socket.recv_from(&mut buffer).is_ok() {
                    received.fetch_add(1, Ordering::Relaxed);
                }
            }
        }));
    }

    fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("sink ends");
        }
    }
}

impl Relay {
    fn start(kind: Kind, agents: &[SocketAddrV4]) -> Self {
        let (tell, told) = std::sync::mpsc::channel();
        let (stop, stopped) = oneshot::channel();
        let agents = agents.to_vec();
        let thread = thread::spawn(move || {
            let runtime = Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("runtime");
            runtime.block_on(async move {
                let socket = UdpSocket::bind("127.0.0.1:0").await.expect("free port");
                let address = socket.local_addr().expect("bound socket");
                tell.send(address).expect("starter waits");
                let kernel = Kernel::new();
                match kind {
                    Kind::Balancer => start_balancer(&kernel, socket, address),
                    Kind::Bare => kernel.spawn(relay_bare(socket, agents)),
                }
                let _ = stopped.await;
                kernel.stop().await;
            });
        });
        Self {
            address: told.recv().expect("relay starts"),
            stop: Some(stop),
            thread: Some(thread),
        }
    }

    fn stop(mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            thread.join().expect("relay ends");
        }
    }
}

fn start_balancer(kernel: &Kernel, socket: UdpSocket, address: SocketAddr) {
    let SocketAddr::V4(own) = address else {
        return;
    };
    let mut region = Region::default();
    let service = ServiceSettings {
        tag: SERVICE,
        address: service_address(),
        policy: Default::default(),
        requests: Default::default(),
    };
    region.services.insert("service".to_owned(), service);
    kernel.publish(DecisionLog::NAME, Arc::new(DecisionLog::default()));
    kernel.publish(Directory::NAME, Arc::new(Directory::default()));
    kernel.publish(
        ActiveSettings::NAME,
        Arc::new(ActiveSettings::new(ResolvedSettings::resolve(region, 0))),
    );
    kernel.publish(Metrics::NAME, Arc::new(Metrics::default()));
    let options = BalancerOptions {
        address: own,
        fabric: address,
        keyring: Keyring::new(&keys(), Purpose::Connection),
    };
    balancer::start(kernel, socket, options).expect("balancer starts");
}

/// Sends each datagram on as it came, to the agents in turn.
async fn relay_bare(socket: UdpSocket, agents: Vec<SocketAddrV4>) {
    let socket = BatchSocket::new(socket).expect("options fit");
    let mut batch = socket.batch();
    let mut outbox = socket.outbox();
    let mut turn = 0;
    loop {
        if socket.receive(&mut batch).await.is_err() {
            continue;
        }
        for datagram in batch.datagrams() {
            outbox.push(agents[turn % agents.len()].into(), datagram);
            turn += 1;
        }
        socket.flush(&mut outbox).await;
    }
}
