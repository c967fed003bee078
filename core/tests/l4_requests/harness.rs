//! An agent with a ready server whose deliveries are recorded.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        agent::{Agent, AgentOptions},
        message::{self, Message, Received},
        outbox::Outbox,
        routes::ServiceKey,
        segment::FlowKey,
        server::{ServerReport, ServerState},
    },
};

use crate::wire::{self, ACK, SYN, WireCodec};

pub const SLOTS: u16 = 2;
pub const WORK: Duration = Duration::from_millis(20);
pub const SERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8080);
pub const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001);

/// Time to the target of all routes in milliseconds.
pub const TARGET_MS: u32 = 300;

const UNIX_MS: u64 = 100_000;

/// Datagrams that the agent sent since they were last taken.
#[derive(Default)]
pub struct Recorder {
    pub to_server: Vec<Vec<u8>>,
    pub to_caller: Vec<Vec<u8>>,
    pub messages: Vec<Message>,
    /// Flows whose opening was refused.
    pub refused: Vec<FlowKey>,
}

impl Outbox for Recorder {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        let received = message::decode(peer, frame).unwrap();
        if matches!(received.message, Message::Refused { .. }) {
            self.refused.push(wire::flow_of(received.datagram));
        }
        self.messages.push(received.message);
    }

    fn to_caller(&mut self, _: SocketAddrV4, datagram: &[u8]) {
        self.to_caller.push(datagram.to_vec());
    }

    fn to_server(&mut self, datagram: &[u8]) {
        self.to_server.push(datagram.to_vec());
    }
}

/// An agent, its outbox, and the sequence numbers of both ends of its flows.
pub struct Harness {
    pub agent: Agent<WireCodec>,
    pub out: Recorder,
    pub now: Time,
    /// Next sequence numbers of the caller and the server.
    pub next: HashMap<FlowKey, (u32, u32)>,
}

impl Harness {
    /// Returns an agent whose server has just started.
    pub fn new() -> Self {
        Self::beside(0)
    }

    /// Returns an agent whose server's first report has the given sequence number. With one above 0,
    /// the server has run before the agent.
    pub fn beside(sequence: u64) -> Self {
        let options = AgentOptions {
            domain: "a".into(),
            service: ServiceKey::of("desk"),
            server_address: SERVER,
            report_interval: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            max_lifetime: Duration::from_secs(60),
            max_flows: 2000,
            address: SocketAddrV4::new(*SERVER.ip(), 7001),
        };
        let now = Time::from_millis(1_000);
        let mut harness = Self {
            agent: Agent::new(WireCodec, options, now),
            out: Recorder::default(),
            now,
            next: HashMap::new(),
        };
        harness.report("a", 1, sequence);
        harness
    }

    pub fn report(&mut self, id: &str, started_ms: u64, sequence: u64) {
        let report = ServerReport {
            warmup_left: Duration::ZERO,
            id: id.to_owned(),
            service: ServiceKey::of("desk"),
            address: SERVER,
            started_ms,
            sequence,
            state: ServerState::Ready,
            slots: SLOTS,
        };
        let result = self
            .agent
            .apply_report(&report, UNIX_MS, self.now, &mut self.out);
        result.unwrap();
    }

    /// Lets time pass, with the ticks that are due.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.agent.due() <= end {
            self.now = self.now.max(self.agent.due());
            self.agent.tick(self.now, &mut self.out);
        }
        self.now = end;
    }

    pub fn receive_from_balancer(&mut self, message: Message, datagram: &[u8]) {
        let received = Received {
            from: BALANCER,
            message,
            datagram,
        };
        self.agent
            .receive_from_peer(&received, self.now, &mut self.out);
    }

    pub fn forward(&mut self, datagram: &[u8]) {
        self.receive_from_balancer(Message::Forward, datagram);
    }

    pub fn receive_from_server(&mut self, datagram: &[u8]) {
        self.agent
            .receive_from_server(datagram, self.now, &mut self.out);
    }

    /// Sends the opening segment of a flow.
    pub fn open(&mut self, flow: &FlowKey, priority: u8) {
        let message = Message::Open {
            service: ServiceKey::of("desk"),
            forced: true,
            priority,
            target_ms: TARGET_MS,
            left_ms: None,
        };
        self.receive_from_balancer(message, &wire::from_caller(flow, SYN, 0, 0, &[]));
    }

    /// Opens a flow and completes a request on it.
    pub fn establish(&mut self, flow: &FlowKey, priority: u8) {
        self.open(flow, priority);
        self.receive_from_server(&wire::from_server(flow, SYN | ACK, 0, &[]));
        self.next.insert(*flow, (1, 1));
        self.request(flow);
        self.advance(WORK);
        self.answer(flow);
        self.out = Recorder::default();
    }

    /// Returns the next segment of a caller with `length` bytes of data.
    pub fn segment(&mut self, flow: &FlowKey, length: usize) -> Vec<u8> {
        let (sequence, ack) = self.next.get_mut(flow).unwrap();
        let data = vec![*sequence as u8; length];
        let datagram = wire::from_caller(flow, ACK, *sequence, *ack, &data);
        *sequence += length as u32;
        datagram
    }

    /// Sends a request of one segment, and returns its datagram.
    pub fn request(&mut self, flow: &FlowKey) -> Vec<u8> {
        let datagram = self.segment(flow, 100);
        self.forward(&datagram);
        datagram
    }

    /// Sends the answer to a flow's request.
    pub fn answer(&mut self, flow: &FlowKey) {
        let (_, sequence) = self.next.get_mut(flow).unwrap();
        let datagram = wire::from_server(flow, ACK, *sequence, &[1; 50]);
        *sequence += 50;
        self.receive_from_server(&datagram);
    }

    /// Returns the flows of the datagrams that were delivered to the server since the last call.
    pub fn take_delivered(&mut self) -> Vec<FlowKey> {
        let delivered = std::mem::take(&mut self.out.to_server);
        delivered
            .iter()
            .map(|datagram| wire::flow_of(datagram))
            .collect()
    }

    /// Returns the number of held requests.
    pub fn held(&self) -> usize {
        self.agent.requests().len()
    }
}
