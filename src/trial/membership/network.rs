//! A small fake network: a queue with delay, loss and repetition between state machines.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    clock::Time,
    member::{MemberState, Record, Role},
    membership::{
        Signer,
        message::{Message, PACKET_OVERHEAD_BYTES},
        swim::{Action, Swim, TICK_INTERVAL},
    },
    owner_id::{FleetKey, Incarnation, ServiceTag},
    trial::agenda::Agenda,
};

/// Messages that wait for a frozen process, at most.
const SOCKET_MESSAGES: usize = 256;

/// How the network treats a message.
#[derive(Clone, Copy, Debug)]
pub struct Conditions {
    /// Longest delay; half of it is the shortest.
    pub delay: Duration,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages that arrive twice.
    pub repeat: f64,
}

impl Default for Conditions {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(4),
            loss: 0.0,
            repeat: 0.0,
        }
    }
}

/// One process on the network.
#[derive(Debug)]
pub struct Node {
    /// Its membership.
    pub swim: Swim,
    /// Its record as the rest of the process sees it.
    pub local: Record,
    /// Whether it was not killed.
    pub running: bool,
    /// Whether it stands still.
    pub frozen: bool,
    /// Whether all that it sends is lost.
    pub mute: bool,
    /// Side of a cut on which it is.
    pub side: u8,
    /// Bytes sent, with IP and UDP headers.
    pub bytes: u64,
    /// Messages sent.
    pub messages: u64,
    /// Longest signed message, in bytes.
    pub longest: usize,
    /// Actions other than sends, if they are kept.
    pub log: Vec<(Time, Action)>,
    waiting: Vec<Packet>,
}

#[derive(Clone, Debug)]
enum Step {
    Tick { node: usize },
    Arrive { packet: Packet },
}

#[derive(Clone, Debug)]
struct Packet {
    from: usize,
    to: SocketAddrV4,
    bytes: Vec<u8>,
}

/// Many processes and the queue between them.
#[derive(Debug)]
pub struct Network {
    /// Virtual time.
    pub now: Time,
    /// All processes there ever were.
    pub nodes: Vec<Node>,
    /// How messages are treated.
    pub conditions: Conditions,
    /// Whether messages between the sides are lost.
    pub cut: bool,
    /// Whether actions other than sends are kept.
    pub logging: bool,
    controls: HashMap<SocketAddrV4, usize>,
    queue: Agenda<Step>,
    rng: SmallRng,
    signer: Signer,
}

impl Network {
    /// Returns an empty network.
    pub fn new(seed: u64) -> Self {
        let key = FleetKey {
            id: 1,
            secret: vec![7; 16],
        };
        Self {
            now: Time::from_millis(1000),
            nodes: Vec::new(),
            conditions: Conditions::default(),
            cut: false,
            logging: false,
            controls: HashMap::new(),
            queue: Agenda::default(),
            rng: SmallRng::seed_from_u64(seed),
            signer: Signer::new(&[key]),
        }
    }

    /// Starts a process; one at the address of an earlier one takes its place.
    pub fn start(&mut self, record: Record, seeds: Vec<SocketAddrV4>) -> usize {
        let swim = Swim::new(record.clone(), seeds, self.now, self.rng.random());
        let node = self.nodes.len();
        self.controls.insert(record.control, node);
        self.nodes.push(Node {
            swim,
            local: record,
            running: true,
            frozen: false,
            mute: false,
            side: 0,
            bytes: 0,
            messages: 0,
            longest: 0,
            log: Vec::new(),
            waiting: Vec::new(),
        });
        let phase = TICK_INTERVAL.mul_f64(self.rng.random());
        self.push(self.now + phase, Step::Tick { node });
        node
    }

    /// Starts processes that know each other already.
    pub fn start_fleet(&mut self, records: &[Record], seeds: &[SocketAddrV4]) {
        for record in records {
            let node = self.start(record.clone(), seeds.to_vec());
            self.nodes[node].swim.preload(records, self.now);
        }
    }

    /// Sends bytes from nowhere to a control address.
    pub fn inject(&mut self, to: SocketAddrV4, bytes: Vec<u8>) {
        let from = usize::MAX;
        self.push(
            self.now,
            Step::Arrive {
                packet: Packet { from, to, bytes },
            },
        );
    }

    /// Signs a message as a process of the fleet does.
    pub fn sign(&self, message: &Message) -> Vec<u8> {
        self.signer.sign(message)
    }

    /// Changes the record of a process.
    pub fn update(&mut self, node: usize, change: impl FnOnce(&mut Record)) {
        change(&mut self.nodes[node].local);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&mut self, node: usize) {
        self.nodes[node].frozen = false;
        for packet in std::mem::take(&mut self.nodes[node].waiting) {
            self.push(self.now, Step::Arrive { packet });
        }
    }

    /// Runs until a point in time.
    pub fn run_until(&mut self, end: Time) {
        while self.step(end).is_some() {}
        self.now = end;
    }

    /// Runs for a time.
    pub fn run(&mut self, time: Duration) {
        self.run_until(self.now + time);
    }

    /// Runs until a condition holds, checked at each tick interval; returns the time it took.
    pub fn run_while(
        &mut self,
        limit: Duration,
        holds: impl Fn(&Network) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            if !holds(self) {
                return Some(self.now.since(start));
            }
            self.run(TICK_INTERVAL / 10);
        }
        None
    }

    /// Does the next step before `end`; returns the process that acted.
    pub fn step(&mut self, end: Time) -> Option<Option<usize>> {
        let (at, step) = self.queue.pop(end)?;
        self.now = at;
        match step {
            Step::Tick { node } => Some(self.tick(node)),
            Step::Arrive { packet } => Some(self.arrive(packet)),
        }
    }

    fn tick(&mut self, node: usize) -> Option<usize> {
        if !self.nodes[node].running {
            return None;
        }
        let next = Step::Tick { node };
        self.push(self.now + TICK_INTERVAL, next);
        if self.nodes[node].frozen {
            return None;
        }
        let now = self.now;
        let Node { swim, local, .. } = &mut self.nodes[node];
        let mut actions = swim.apply_local(local, now);
        actions.extend(swim.tick(now));
        self.act(node, actions);
        Some(node)
    }

    fn arrive(&mut self, packet: Packet) -> Option<usize> {
        let node = *self.controls.get(&packet.to)?;
        let sides = self.nodes.get(packet.from).map(|n| n.side);
        if self.cut && sides.is_some_and(|side| side != self.nodes[node].side) {
            return None;
        }
        if !self.nodes[node].running {
            return None;
        }
        if self.nodes[node].frozen {
            let waiting = &mut self.nodes[node].waiting;
            if waiting.len() < SOCKET_MESSAGES {
                waiting.push(packet);
            }
            return None;
        }
        let message: Message = self.signer.verify(&packet.bytes).ok()?;
        let actions = self.nodes[node].swim.receive(&message, self.now);
        self.act(node, actions);
        Some(node)
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => self.send(node, to, &message),
                Action::NewIncarnation(incarnation) => {
                    self.nodes[node].local.incarnation = incarnation;
                    self.keep(node, action);
                }
                Action::Publish | Action::Log(_) => self.keep(node, action),
            }
        }
    }

    fn keep(&mut self, node: usize, action: Action) {
        if self.logging {
            self.nodes[node].log.push((self.now, action));
        }
    }

    fn send(&mut self, from: usize, to: SocketAddrV4, message: &Message) {
        let bytes = self.signer.sign(message);
        let node = &mut self.nodes[from];
        node.bytes += (bytes.len() + PACKET_OVERHEAD_BYTES) as u64;
        node.messages += 1;
        node.longest = node.longest.max(bytes.len());
        if node.mute || self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.conditions.repeat));
        for _ in 0..copies {
            let delay = self
                .conditions
                .delay
                .mul_f64(self.rng.random_range(0.5..=1.0));
            let bytes = bytes.clone();
            let packet = Packet { from, to, bytes };
            self.push(self.now + delay, Step::Arrive { packet });
        }
    }

    fn push(&mut self, at: Time, step: Step) {
        self.queue.add(at, step);
    }
}

/// Returns the record of process `number` of a made-up fleet.
pub fn record(number: usize, domains: usize) -> Record {
    let octets = (number as u32 + 256).to_be_bytes();
    let ip = Ipv4Addr::new(10, octets[1], octets[2], octets[3]);
    Record {
        address: SocketAddrV4::new(ip, 7000),
        control: SocketAddrV4::new(ip, 7001),
        incarnation: Incarnation(1_000),
        domain: format!("domain-{}", number % domains),
        role: match number % 8 {
            0 => Role::Balancer,
            _ => Role::Agent,
        },
        service: ServiceTag((number % 4000) as u16),
        state: MemberState::Ready,
        weight: 100,
        version: 0,
        revision: 1,
    }
}
