//! The agent's state machine: which flows it admits and refuses, and which ownership it reports.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        agent::{Agent, AgentOptions},
        flow_set::{FlowHash, FlowSet},
        message::{self, Message, Ownership, Received, Refusal},
        outbox::Outbox,
        routes::ServiceKey,
        server::{ServerReport, ServerState},
    },
    member::{MemberState, Record, Role, View},
    owner_id::Incarnation,
};

use crate::codec::{self, ACCEPT, ANSWER, BOUNCED, DATA, FINISH, OPENING, RESET, TestCodec, flow};

/// Time of the VM's clock, long after the servers of the tests have started.
const UNIX_MS: u64 = 100_000;

const SLOTS: u16 = 2;
const SERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8080);
const BALANCER: SocketAddrV4 = SocketAddrV4::new(codec::BALANCER_IP, 7001);

#[derive(Default)]
pub struct RecordingOutbox {
    pub messages: Vec<Message>,
    /// Filters of the flows that the agent holds, with whether it is sure.
    filters: Vec<(bool, Vec<u8>)>,
    /// Ports of the callers that were sent a reset.
    pub reset_ports: Vec<u8>,
    pub delivered: Vec<Vec<u8>>,
}

impl Outbox for RecordingOutbox {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        let received = message::decode(peer, frame).unwrap();
        if let Message::HeldFlows { sure, .. } = received.message {
            self.filters.push((sure, received.datagram.to_vec()));
        }
        if !matches!(received.message, Message::LoadReport(_)) {
            self.messages.push(received.message);
        }
    }

    fn to_caller(&mut self, _: SocketAddrV4, datagram: &[u8]) {
        if datagram[0] == RESET {
            self.reset_ports.push(datagram[1]);
        }
    }

    fn to_server(&mut self, datagram: &[u8]) {
        self.delivered.push(datagram.to_vec());
    }
}

pub struct Harness {
    pub agent: Agent<TestCodec>,
    pub sent: RecordingOutbox,
    pub now: Time,
}

fn options() -> AgentOptions {
    AgentOptions {
        domain: "a".into(),
        service: ServiceKey::of("desk"),
        server_address: SERVER,
        report_interval: Duration::from_millis(700),
        idle_timeout: Duration::from_secs(60),
        max_lifetime: Duration::from_secs(60),
        max_flows: 2000,
        address: SocketAddrV4::new(*SERVER.ip(), 7001),
    }
}

impl Harness {
    /// Returns an agent that has applied one report of its server, with the given sequence number: 0 for
    /// a server that has just started.
    pub fn new(sequence: u64) -> Self {
        let now = Time::from_millis(1_000);
        let mut harness = Self {
            agent: Agent::new(TestCodec, options(), now),
            sent: RecordingOutbox::default(),
            now,
        };
        harness.report("a", 1, sequence, ServerState::Ready);
        harness
    }

    /// Replaces the agent by one that starts now.
    pub fn restart(&mut self) {
        self.agent = Agent::new(TestCodec, options(), self.now);
    }

    pub fn report(&mut self, id: &str, started_ms: u64, sequence: u64, state: ServerState) {
        self.report_cold(id, started_ms, sequence, state, Duration::ZERO);
    }

    /// Applies a report of a server that is warm after `warmup_left`.
    pub fn report_cold(
        &mut self,
        id: &str,
        started_ms: u64,
        sequence: u64,
        state: ServerState,
        warmup_left: Duration,
    ) {
        let report = ServerReport {
            id: id.to_owned(),
            service: ServiceKey::of("desk"),
            address: SERVER,
            started_ms,
            sequence,
            state,
            slots: SLOTS,
            warmup_left,
        };
        let result = self
            .agent
            .apply_report(&report, UNIX_MS, self.now, &mut self.sent);
        result.unwrap();
    }

    /// Applies a view with another agent of the service.
    pub fn know_peer(&mut self, index: u8) {
        let address = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index), 7001);
        let record = Record {
            address,
            control: address,
            incarnation: Incarnation(1),
            domain: "a".into(),
            role: Role::Agent,
            service: ServiceKey::of("desk").tag(),
            state: MemberState::Ready,
            weight: 100,
            version: 0,
            revision: 0,
        };
        let view = View::default().next([(address, record)].into());
        self.agent.apply_view(&view);
    }

    pub fn send(&mut self, message: Message, datagram: &[u8]) {
        let received = Received {
            from: BALANCER,
            message,
            datagram,
        };
        self.agent
            .receive_from_peer(&received, self.now, &mut self.sent);
    }

    pub fn open(&mut self, service: &str, forced: bool, port: u8) {
        let message = Message::Open {
            service: ServiceKey::of(service),
            forced,
            priority: 1,
            target_ms: 100,
            left_ms: None,
        };
        self.send(message, &[OPENING, port, 0]);
    }

    pub fn receive_from_server(&mut self, kind: u8, port: u8, tens: u8) {
        let datagram = [kind, port, tens];
        self.agent
            .receive_from_server(&datagram, self.now, &mut self.sent);
    }

    /// Opens a flow and completes a request. The server's initial sequence number is ten times `tens`.
    pub fn establish(&mut self, port: u8, tens: u8) {
        self.open("desk", true, port);
        self.receive_from_server(ACCEPT, port, tens);
        self.send(Message::Forward, &[DATA, port, tens]);
        self.receive_from_server(ANSWER, port, tens);
    }

    pub fn ownership(&mut self, port: u8, acknowledged: u32) -> Ownership {
        let flow = flow(port);
        self.send(Message::Find { flow, acknowledged }, &[]);
        match self.sent.messages.pop() {
            Some(Message::Found { ownership, .. }) => ownership,
            other => panic!("{other:?}"),
        }
    }

    pub fn refusal(&mut self) -> Option<Refusal> {
        match self.sent.messages.pop() {
            Some(Message::Refused { refusal, .. }) => Some(refusal),
            _ => None,
        }
    }
}

#[test]
fn draining_server_gets_no_new_flow_and_keeps_its_open_flows() {
    let mut harness = Harness::new(0);
    harness.establish(1, 5);
    harness.report("a", 1, 2, ServerState::Draining);
    harness.sent = RecordingOutbox::default();
    harness.open("desk", true, 2);
    assert_eq!(harness.refusal(), Some(Refusal::Draining));
    assert!(harness.sent.delivered.is_empty());
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(harness.sent.delivered.len(), 1);
}

#[test]
fn opening_of_another_service_never_reaches_the_server() {
    let mut harness = Harness::new(0);
    harness.open("maps", true, 1);
    assert_eq!(harness.refusal(), Some(Refusal::OtherService));
    assert!(harness.sent.delivered.is_empty());
}

#[test]
fn opening_without_a_free_slot_is_refused_unless_it_is_forced() {
    let mut harness = Harness::new(0);
    for port in 1..=SLOTS as u8 {
        harness.open("desk", false, port);
    }
    assert_eq!(harness.sent.delivered.len(), usize::from(SLOTS));
    harness.open("desk", false, 9);
    assert_eq!(harness.refusal(), Some(Refusal::Busy));
    harness.open("desk", true, 9);
    assert_eq!(harness.sent.delivered.len(), usize::from(SLOTS) + 1);
}

/// Guards against overload of the server when balancers have no other agent left and force their
/// openings: beyond the server's queue they wait, and each answer admits the next.
#[test]
fn forced_openings_wait_until_answers_free_the_queue() {
    let mut harness = Harness::new(0);
    for port in 1..=10 {
        harness.open("desk", true, port);
    }
    // Two openings per slot are delivered, the others wait.
    assert_eq!(harness.sent.delivered.len(), 2 * usize::from(SLOTS));
    let waits = |message: &&Message| matches!(message, Message::Waits { .. });
    assert_eq!(harness.sent.messages.iter().filter(waits).count(), 6);
    harness.receive_from_server(ACCEPT, 1, 5);
    harness.send(Message::Forward, &[DATA, 1, 5]);
    let before = harness.sent.delivered.len();
    harness.receive_from_server(ANSWER, 1, 5);
    assert_eq!(harness.sent.delivered.len(), before + 1);
}

/// Guards against an agent that keeps claiming a flow which its server does not hold, so that the
/// balancer never searches for the owner.
#[test]
fn bounced_segment_is_returned_as_unknown_and_its_flow_removed() {
    let mut harness = Harness::new(0);
    harness.open("desk", true, 1);
    harness.receive_from_server(BOUNCED, 1, 0);
    assert_eq!(harness.sent.messages.pop(), Some(Message::Unknown));
    assert_eq!(harness.ownership(1, 0), Ownership::NotHeld);
}

/// Guards against mixing two connections: a retried opening may be accepted by two servers, and the
/// caller acknowledges only one of them.
#[test]
fn segment_that_acknowledges_another_server_is_returned_as_unknown() {
    let mut harness = Harness::new(0);
    harness.open("desk", true, 1);
    harness.receive_from_server(ACCEPT, 1, 200);
    harness.sent = RecordingOutbox::default();
    // The caller acknowledges 50, but this server's initial sequence number is 2,000: the caller's flow
    // was opened by another server.
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(harness.sent.messages.pop(), Some(Message::Unknown));
    assert!(harness.sent.delivered.is_empty());
    assert_eq!(harness.ownership(1, 50), Ownership::NotHeld);
    assert_eq!(harness.ownership(1, 2_001), Ownership::Held);
}

/// Guards against segments of an open flow at another server: an agent that may lack flows of its server knows
/// nevertheless that the server has accepted this flow itself, so it holds no earlier one of the same caller.
#[test]
fn segment_that_acknowledges_another_server_is_not_delivered_by_an_unsure_agent() {
    let mut harness = Harness::new(40);
    harness.open("desk", true, 1);
    harness.receive_from_server(ACCEPT, 1, 200);
    harness.sent = RecordingOutbox::default();
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(harness.sent.messages.pop(), Some(Message::Unknown));
    assert!(harness.sent.delivered.is_empty());
    assert_eq!(harness.ownership(1, 2_001), Ownership::Held);
}

/// Guards against resets of live flows after the restart of an agent, which has not seen the flows that
/// its server still holds.
#[test]
fn agent_that_starts_after_its_server_is_unsure_of_unseen_flows() {
    let mut harness = Harness::new(40);
    assert_eq!(harness.ownership(1, 0), Ownership::Unsure);
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(harness.sent.delivered.len(), 1);
    harness.receive_from_server(ANSWER, 1, 5);
    assert!(matches!(
        harness.sent.messages.pop(),
        Some(Message::Found {
            ownership: Ownership::Held,
            ..
        })
    ));
    let mut fresh = Harness::new(0);
    assert_eq!(fresh.ownership(1, 0), Ownership::NotHeld);
}

/// Guards against a reset of a flow whose opening was only delivered here and which may have opened at
/// another server.
#[test]
fn only_open_flows_are_reset_when_the_server_restarts() {
    let mut harness = Harness::new(0);
    harness.establish(1, 5);
    harness.open("desk", true, 2);
    harness.report("b", 2, 0, ServerState::Ready);
    assert_eq!(harness.sent.reset_ports, [1]);
}

#[test]
fn openings_are_refused_while_the_server_is_unresponsive_and_retried_later() {
    let mut harness = Harness::new(0);
    harness.open("desk", true, 1);
    harness.now = harness.now + Duration::from_millis(50);
    harness.agent.tick(harness.now, &mut harness.sent);
    harness.open("desk", true, 2);
    assert_eq!(harness.refusal(), Some(Refusal::Unresponsive));
    harness.now = harness.now + Duration::from_millis(250);
    harness.open("desk", true, 3);
    assert_eq!(harness.refusal(), None);
}

#[test]
fn home_reports_the_address_that_registered_a_flow() {
    let mut harness = Harness::new(0);
    harness.send(Message::Register { flow: flow(7) }, &[]);
    assert_eq!(harness.ownership(7, 0), Ownership::HeldBy(BALANCER));
}

#[test]
fn half_closed_flow_is_still_held() {
    let mut harness = Harness::new(0);
    harness.establish(1, 5);
    harness.send(Message::Forward, &[FINISH, 1, 5]);
    assert_eq!(harness.ownership(1, 50), Ownership::Held);
}

/// A balancer that gets a repeated opening segment may place it on the agent at which the flow waits
/// already. Without a reply, it takes the agent for silent and places the flow on another one too.
#[test]
fn repeated_opening_of_a_waiting_flow_is_answered() {
    let mut harness = Harness::new(0);
    for port in 1..=5 {
        harness.open("desk", true, port);
    }
    harness.sent.messages.clear();
    harness.open("desk", true, 5);
    let reply = harness.sent.messages.pop();
    assert!(matches!(reply, Some(Message::Waits { .. })), "{reply:?}");
}

/// Guards against a backlog of callers from an outage that fills the queue of the server in front of
/// those who come after it.
#[test]
fn late_opening_waits_for_a_free_slot_and_lets_one_in_time_pass() {
    let mut harness = Harness::new(0);
    harness.open("desk", true, 1);
    harness.open("desk", true, 2);
    let late = Message::Open {
        service: ServiceKey::of("desk"),
        forced: true,
        priority: 1,
        target_ms: 0,
        left_ms: None,
    };
    harness.send(late, &[OPENING, 3, 60]);
    assert_eq!(harness.sent.delivered.len(), 2, "both slots are in use");
    harness.open("desk", true, 4);
    assert_eq!(
        harness.sent.delivered.len(),
        3,
        "the queue has room for a flow in time"
    );
}

/// Between the acceptance of a flow and its first segment, the fabric may change the balancer.
#[test]
fn accepted_flow_is_registered_at_its_first_home_before_its_caller_learns_of_it() {
    let mut harness = Harness::new(0);
    harness.know_peer(2);
    harness.open("desk", true, 1);
    harness.sent.messages.clear();
    harness.receive_from_server(ACCEPT, 1, 5);
    let register = Message::Register { flow: flow(1) };
    assert!(harness.sent.messages.contains(&register));
}

/// Guards against flows that were accepted just before a planned stop and end with the process, without
/// an answer.
#[test]
fn stopping_agent_returns_waiting_flows_and_takes_no_new_ones() {
    let mut harness = Harness::new(0);
    for port in 1..=5 {
        harness.open("desk", true, port);
    }
    harness.sent.messages.clear();
    harness.agent.stop_admission(harness.now, &mut harness.sent);
    assert_eq!(harness.refusal(), Some(Refusal::Draining), "flow 5 waited");
    harness.open("desk", true, 6);
    assert_eq!(harness.refusal(), Some(Refusal::Draining));
    harness.sent.messages.clear();
    harness.open("desk", true, 1);
    assert_eq!(
        harness.refusal(),
        None,
        "a repeated opening of an admitted flow"
    );
}

/// Returns whether the agent is sure, and which of the callers' ports 1 to 9 its filter contains.
fn held_ports(harness: &mut Harness) -> (bool, Vec<u8>) {
    let round = 3;
    harness.send(Message::ListFlows { round }, &[]);
    let (sure, filter) = harness.sent.filters.pop().expect("a reply with a filter");
    let held = FlowSet::decode(&filter).expect("a valid filter");
    let ports = (1..=9).filter(|port| held.contains(FlowHash::new(&flow(*port), round)));
    (sure, ports.collect())
}

/// Guards against resets of live flows: the filter must contain each flow for which a query gets another
/// reply than that it is not held.
#[test]
fn filter_contains_accepted_open_and_ended_flows_and_none_that_were_only_delivered() {
    let mut harness = Harness::new(0);
    harness.open("desk", true, 1);
    harness.open("desk", true, 2);
    harness.receive_from_server(ACCEPT, 2, 5);
    harness.establish(3, 5);
    harness.establish(4, 5);
    harness.send(Message::Forward, &[FINISH, 4, 5]);
    harness.receive_from_server(FINISH, 4, 5);
    assert_eq!(held_ports(&mut harness), (true, vec![2, 3, 4]));
}

/// Guards against the proof that a flow is lost by an agent that has not seen all flows of its server.
#[test]
fn agent_that_starts_after_its_server_is_unsure_in_a_round() {
    let mut harness = Harness::new(40);
    assert_eq!(held_ports(&mut harness), (false, vec![]));
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(held_ports(&mut harness), (false, vec![1]));
    harness.report("b", 2, 0, ServerState::Ready);
    assert_eq!(held_ports(&mut harness), (true, vec![]));
}

/// Guards against resets of all flows of a server that lives: balancers reset the flows of an agent that has
/// left, and an agent that has not heard from its server, or not for a while, knows nothing of it.
#[test]
fn agent_has_left_only_if_its_server_has_said_so() {
    let stopped = |prepare: &dyn Fn(&mut Harness)| {
        let mut harness = Harness::new(40);
        prepare(&mut harness);
        let running = harness.agent.member_state(harness.now);
        harness.agent.stop_admission(harness.now, &mut harness.sent);
        (running, harness.agent.member_state(harness.now))
    };
    use MemberState::{Draining, Left, Ready};
    assert_eq!(stopped(&|_| ()), (Ready, Draining));
    assert_eq!(stopped(&Harness::restart), (Draining, Draining));
    let fall_silent = |harness: &mut Harness| harness.now = harness.now + Duration::from_secs(60);
    assert_eq!(stopped(&fall_silent), (Draining, Draining));
    let leave = |harness: &mut Harness| harness.agent.record_leave("a", harness.now).unwrap();
    assert_eq!(stopped(&leave), (Draining, Left));
    // Another instance has started since.
    let replace = |harness: &mut Harness| {
        leave(harness);
        harness.report("b", 2, 0, ServerState::Ready);
    };
    assert_eq!(stopped(&replace), (Ready, Draining));
    // The agent that hears nothing of the leave has no word of its server.
    let leave_and_restart = |harness: &mut Harness| {
        leave(harness);
        harness.restart();
    };
    assert_eq!(stopped(&leave_and_restart), (Draining, Draining));
}
