//! The state machine of a balancer: its messages and resets for given segments, messages and views.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        balancer::{Balancer, BalancerOptions},
        flow_set::{self, FlowHash},
        message::{self, Message, Ownership, Received, Refusal},
        outbox::Outbox,
        routes::{Route, RouteTable, ServiceKey, Target},
        workload::Load,
    },
    member::{KnownAgents, MemberState, Record, Role, View},
    owner_id::Incarnation,
};

use crate::codec::{DATA, OPENING, RESET, TestCodec, flow, flow_from};

/// Sequence number that callers acknowledge, in tens.
pub(crate) const ACKNOWLEDGED_TENS: u8 = 10;

const LINK_RATE: u64 = 1_250_000;

/// Time for which an agent has to leave all queries unanswered before it counts as absent, in milliseconds.
pub(crate) const ABSENCE_MS: u64 = 3_500;

#[derive(Default)]
pub struct RecordingOutbox {
    pub messages: Vec<(SocketAddrV4, Message)>,
    pub resets: usize,
}

impl Outbox for RecordingOutbox {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        let received = message::decode(peer, frame).unwrap();
        self.messages.push((peer, received.message));
    }

    fn to_caller(&mut self, _: SocketAddrV4, datagram: &[u8]) {
        self.resets += usize::from(datagram[0] == RESET);
    }

    fn to_server(&mut self, _: &[u8]) {}
}

pub fn agent(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index), 7001)
}

pub(crate) fn view(agents: &[(u8, MemberState)]) -> View {
    let agents: Vec<_> = agents
        .iter()
        .map(|(i, state)| (*i, *state, "desk"))
        .collect();
    view_of_services(&agents)
}

pub fn view_of_services(agents: &[(u8, MemberState, &str)]) -> View {
    let agents = agents.iter();
    joined_view(agents.map(|(index, state, service)| agent_record(agent(*index), *state, service)))
}

pub fn agent_record(address: SocketAddrV4, state: MemberState, service: &str) -> Record {
    Record {
        address,
        control: address,
        incarnation: Incarnation(1),
        domain: "a".into(),
        role: Role::Agent,
        service: ServiceKey::of(service).tag(),
        state,
        weight: 100,
        version: 0,
        revision: 0,
    }
}

/// Returns the view of a process that has joined.
pub fn joined_view(records: impl Iterator<Item = Record>) -> View {
    let members: BTreeMap<_, _> = records.map(|record| (record.address, record)).collect();
    let base = View {
        joined: true,
        ..View::default()
    };
    base.next(members)
}

/// Returns a table with the route of all flows of the tests.
pub fn routes(version: u64, target_ms: u32, timeout_ms: u32) -> RouteTable {
    let route = Route {
        name: "r".into(),
        idempotent: true,
        priority: 1,
        target_ms,
        timeout_ms,
        targets: vec![Target {
            service: ServiceKey::of("desk"),
            weight: 1,
        }],
    };
    RouteTable {
        version,
        idle_ms: 15_000,
        routes: HashMap::from([(flow(0).address, route)]),
    }
}

pub struct Harness {
    pub balancer: Balancer<TestCodec>,
    pub sent: RecordingOutbox,
    pub now: Time,
}

impl Harness {
    pub fn new(agents: u8) -> Self {
        Self::with_target(agents, 100)
    }

    pub fn with_target(agents: u8, target_ms: u32) -> Self {
        Self::with_route(agents, target_ms, 0)
    }

    pub fn with_route(agents: u8, target_ms: u32, timeout_ms: u32) -> Self {
        let options = BalancerOptions {
            address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001),
            domain: "a".into(),
            link_rate: LINK_RATE,
        };
        let mut balancer = Balancer::new(TestCodec, &options, 1);
        balancer.apply_routes(Arc::new(routes(1, target_ms, timeout_ms)));
        let mut harness = Self {
            balancer,
            sent: RecordingOutbox::default(),
            now: Time::from_millis(10_000),
        };
        let ready: Vec<_> = (1..=agents).map(|i| (i, MemberState::Ready)).collect();
        harness.apply_view(&ready);
        harness.advance(1_000);
        harness
    }

    pub fn apply_view(&mut self, agents: &[(u8, MemberState)]) {
        let view = view(agents);
        self.balancer.apply_view(&view, self.now, &mut self.sent);
    }

    pub fn receive_from_caller(&mut self, kind: u8, port: u8) {
        self.balancer.receive_from_caller(
            &[kind, port, ACKNOWLEDGED_TENS],
            self.now,
            &mut self.sent,
        );
    }

    pub fn receive_from_peer(&mut self, from: SocketAddrV4, message: Message, datagram: &[u8]) {
        let received = Received {
            from,
            message,
            datagram,
        };
        self.balancer
            .receive_from_peer(&received, self.now, &mut self.sent);
    }

    pub fn advance(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + Duration::from_millis(1);
            self.balancer.tick(self.now, &mut self.sent);
        }
    }

    /// Returns the agents that openings were sent to since the messages were last taken; clears the
    /// messages.
    pub fn drain_openings(&mut self) -> Vec<SocketAddrV4> {
        let sent = std::mem::take(&mut self.sent.messages);
        let openings = sent
            .into_iter()
            .filter(|(_, message)| matches!(message, Message::Open { .. }));
        openings.map(|(peer, _)| peer).collect()
    }

    /// Receives the copy of an opening segment that is sent after some milliseconds, and lets it wait at the first
    /// agent.
    fn receive_copy_that_waits(&mut self, copy_ms: u64) {
        let datagram = [OPENING, 1, (copy_ms / 100) as u8];
        self.balancer
            .receive_from_caller(&datagram, self.now, &mut self.sent);
        let waits = Message::Waits {
            flow: flow(1),
            load: Load::default(),
        };
        self.receive_from_peer(agent(1), waits, &[]);
    }

    pub fn refuse(&mut self, from: SocketAddrV4, refusal: Refusal, port: u8) {
        let load = Load::default();
        self.receive_from_peer(
            from,
            Message::Refused { refusal, load },
            &[OPENING, port, ACKNOWLEDGED_TENS],
        );
    }

    /// Answers all queries with [`Ownership::NotHeld`] until the search has ended.
    pub fn deny_all_queries(&mut self, agents: KnownAgents) {
        for _ in 0..3 {
            self.answer_queries(Ownership::NotHeld, agents);
            self.advance(10);
        }
    }

    pub fn answer_queries(&mut self, ownership: Ownership, agents: KnownAgents) {
        let sent = std::mem::take(&mut self.sent.messages);
        for (peer, message) in sent {
            self.answer(peer, message, ownership, agents);
        }
    }

    /// Answers a query for a flow, and a round as an agent with no flows that is sure unless
    /// `ownership` is [`Ownership::Unsure`].
    pub(crate) fn answer(
        &mut self,
        peer: SocketAddrV4,
        message: Message,
        ownership: Ownership,
        agents: KnownAgents,
    ) {
        match message {
            Message::Find { flow, .. } => {
                let found = Message::Found {
                    flow,
                    ownership,
                    agents,
                };
                self.receive_from_peer(peer, found, &[]);
            }
            Message::ListFlows { round } => {
                let held = Message::HeldFlows {
                    round,
                    sure: ownership != Ownership::Unsure,
                    agents,
                };
                self.receive_from_peer(peer, held, &filter(&[], round));
            }
            _ => {}
        }
    }
}

/// Returns the encoded filter of the flows of some callers' ports.
pub(crate) fn filter(ports: &[u8], round: u32) -> Vec<u8> {
    filter_of(ports.iter().map(|port| u16::from(*port)), round)
}

/// Returns the same for ports of the whole range.
pub(crate) fn filter_of(ports: impl Iterator<Item = u16>, round: u32) -> Vec<u8> {
    let mut hashes = Vec::new();
    for port in ports {
        hashes.push(FlowHash::new(&flow_from(port), round));
    }
    let mut buffer = Vec::new();
    flow_set::encode(&hashes, &mut buffer);
    buffer
}

/// The number in an opening segment is its age in hundreds of milliseconds.
#[test]
fn opening_tells_the_time_left_until_the_target_and_a_route_without_one_is_never_late() {
    for (target_ms, age_hundreds, left_ms) in [(900, 0, 900), (900, 2, 700), (100, 2, 0)] {
        assert_eq!(target_left(target_ms, age_hundreds), left_ms);
    }
    assert_eq!(target_left(0, 2), u32::MAX);
}

fn target_left(target_ms: u32, age_hundreds: u8) -> u32 {
    let mut harness = Harness::with_target(1, target_ms);
    let datagram = [OPENING, 1, age_hundreds];
    harness
        .balancer
        .receive_from_caller(&datagram, harness.now, &mut harness.sent);
    let sent = harness.sent.messages.iter();
    let mut targets = sent.filter_map(|(_, message)| match message {
        Message::Open { target_ms, .. } => Some(*target_ms),
        _ => None,
    });
    targets.next().expect("the opening is sent to the agent")
}

#[test]
fn refused_opening_goes_to_another_agent_at_once() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(OPENING, 1);
    let first = harness.drain_openings();
    harness.refuse(first[0], Refusal::Draining, 1);
    let second = harness.drain_openings();
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
}

/// Guards against placing a flow on an agent of another service. Agents refuse such flows as well, so
/// the balancer's own check is tested without them.
#[test]
fn openings_go_only_to_agents_of_the_service_of_their_route() {
    let mut harness = Harness::new(0);
    let agents = [(1, "desk"), (2, "maps"), (3, "desk"), (4, "maps")];
    let agents = agents.map(|(index, service)| (index, MemberState::Ready, service));
    let view = view_of_services(&agents);
    harness
        .balancer
        .apply_view(&view, harness.now, &mut harness.sent);
    harness.advance(1_000);
    let mut tried = Vec::new();
    for port in 0..40 {
        harness.receive_from_caller(OPENING, port);
        for agent in harness.drain_openings() {
            tried.push(agent);
            harness.refuse(agent, Refusal::Unresponsive, port);
        }
        tried.extend(harness.drain_openings());
        harness.advance(50);
        tried.extend(harness.drain_openings());
    }
    assert!(tried.contains(&agent(1)) && tried.contains(&agent(3)));
    assert!(
        !tried.contains(&agent(2)) && !tried.contains(&agent(4)),
        "{tried:?}"
    );
}

#[test]
fn next_agent_is_tried_when_one_does_not_answer_in_time() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(OPENING, 1);
    let first = harness.drain_openings();
    harness.advance(31);
    let second = harness.drain_openings();
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
    // The next flow avoids the agent that did not answer.
    harness.receive_from_caller(OPENING, 2);
    assert_ne!(harness.drain_openings(), first);
}

#[test]
fn flow_is_reset_at_once_when_all_agents_refuse() {
    let mut harness = Harness::new(2);
    harness.receive_from_caller(OPENING, 1);
    for _ in 0..2 {
        let tried = harness.drain_openings();
        assert_eq!(harness.sent.resets, 0);
        harness.refuse(tried[0], Refusal::Draining, 1);
    }
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against a panic, or a free server that counts as saturated, when its report states more slots than
/// half of the type's range.
#[test]
fn server_with_many_slots_is_not_saturated() {
    for slots in [1 << 15, u16::MAX] {
        let mut harness = Harness::new(1);
        let load = Load {
            slots,
            ..Load::default()
        };
        harness.receive_from_peer(agent(1), Message::LoadReport(load), &[]);
        harness.receive_from_caller(OPENING, 1);
        let sent = harness.sent.messages.iter();
        let mut forced = sent.filter_map(|(_, message)| match message {
            Message::Open { forced, .. } => Some(*forced),
            _ => None,
        });
        assert_eq!(forced.next(), Some(false), "{slots} slots");
    }
}

/// Guards against the reset of an open flow: one balancer can't place a copy of its opening, or lacks its
/// route, and another balancer opens it from the next copy.
#[test]
fn flow_whose_opening_was_rejected_is_searched_for_when_its_caller_goes_on() {
    for has_route in [true, false] {
        let mut harness = Harness::new(2);
        if has_route {
            harness.receive_from_caller(OPENING, 1);
            for _ in 0..2 {
                let tried = harness.drain_openings();
                harness.refuse(tried[0], Refusal::Draining, 1);
            }
        } else {
            let route = routes(3, 100, 0);
            let without = RouteTable {
                version: 2,
                ..RouteTable::default()
            };
            harness.balancer.apply_routes(Arc::new(without));
            harness.receive_from_caller(OPENING, 1);
            harness.receive_from_caller(DATA, 1);
            harness.balancer.apply_routes(Arc::new(route));
        }
        assert_eq!(harness.sent.resets, 1, "of the opening");
        harness.sent.messages.clear();
        harness.receive_from_caller(DATA, 1);
        assert_eq!(harness.sent.resets, 1, "has route: {has_route}");
        let queried = harness.sent.messages.iter();
        let mut queried = queried.filter(|(_, message)| matches!(message, Message::Find { .. }));
        assert!(queried.next().is_some());
    }
}

/// Guards against the reset of an open flow: the caller's later copies went through another balancer, which has
/// placed the flow while this one still waited for an agent.
#[test]
fn opening_is_not_reset_once_a_later_copy_may_have_gone_through_another_balancer() {
    // Age of the copy and of the rejection in milliseconds, and whether it is certain that no copy followed.
    let cases = [
        (0, 150, true),
        (0, 250, false),
        (200, 250, true),
        (200, 700, false),
        (600, 900, true),
    ];
    for (copy_ms, rejected_ms, is_last) in cases {
        let mut harness = Harness::new(1);
        harness.receive_copy_that_waits(copy_ms);
        harness.advance(rejected_ms - copy_ms);
        harness.refuse(agent(1), Refusal::Draining, 1);
        let case = format!("copy of {copy_ms} ms, rejected at {rejected_ms} ms");
        assert_eq!(harness.sent.resets, usize::from(is_last), "{case}");
    }
}

/// Guards against the same where a later copy arrives here again, after one that did not.
#[test]
fn opening_of_which_a_copy_has_not_arrived_here_is_not_reset_after_a_later_copy() {
    let mut harness = Harness::new(1);
    for copy_ms in [0, 600] {
        harness.receive_copy_that_waits(copy_ms);
        harness.advance(600);
    }
    harness.refuse(agent(1), Refusal::Draining, 1);
    assert_eq!(harness.sent.resets, 0);
}

/// A copy that arrives here while the opening waits shows that it went nowhere else.
#[test]
fn opening_whose_copies_all_arrive_here_is_reset() {
    let mut harness = Harness::new(1);
    for (copy_ms, passes) in [(0, 200), (200, 400), (600, 100)] {
        harness.receive_copy_that_waits(copy_ms);
        harness.advance(passes);
    }
    harness.refuse(agent(1), Refusal::Draining, 1);
    assert_eq!(harness.sent.resets, 1);
}

#[test]
fn opening_waits_while_a_new_balancer_knows_no_agent() {
    let mut harness = Harness::new(0);
    harness.receive_from_caller(OPENING, 1);
    assert_eq!(
        (harness.drain_openings().len(), harness.sent.resets),
        (0, 0)
    );
    harness.apply_view(&[(1, MemberState::Ready)]);
    assert_eq!(harness.drain_openings(), [agent(1)]);
}

#[test]
fn first_segment_after_the_opening_selects_the_owner() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(OPENING, 1);
    let first = harness.drain_openings()[0];
    harness.advance(31);
    let second = harness.drain_openings()[0];
    for (from, initial) in [(first, 5_000_000), (second, 100)] {
        let load = Load::default();
        let flow = flow(1);
        harness.receive_from_peer(
            from,
            Message::Opened {
                flow,
                initial,
                load,
            },
            &[],
        );
    }
    // It acknowledges 100, the initial sequence number of the second agent's server.
    harness.receive_from_caller(DATA, 1);
    assert_eq!(harness.sent.messages, [(second, Message::Forward)]);
}

pub(crate) fn known_agents(count: u8) -> KnownAgents {
    let ready: Vec<_> = (1..=count).map(|i| (i, MemberState::Ready)).collect();
    view(&ready).known_agents()
}

#[test]
fn opening_without_a_route_is_reset_and_an_unknown_flow_without_one_is_not() {
    let mut harness = Harness::new(2);
    harness.balancer.apply_routes(Arc::new(RouteTable {
        version: 2,
        ..RouteTable::default()
    }));
    harness.receive_from_caller(DATA, 1);
    assert_eq!(harness.sent.resets, 0);
    harness.receive_from_caller(OPENING, 2);
    assert_eq!(harness.sent.resets, 1);
}

#[test]
fn balancer_is_isolated_when_openings_stay_unanswered_until_an_agent_replies() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(OPENING, 1);
    harness.advance(500);
    assert!(!harness.balancer.is_isolated(harness.now));
    harness.advance(200);
    assert!(harness.balancer.is_isolated(harness.now));
    harness.sent.messages.clear();
    harness.advance(300);
    let is_query = |(_, message): &&(_, Message)| matches!(message, Message::Find { .. });
    assert!(harness.sent.messages.iter().filter(is_query).count() >= 3);
    harness.receive_from_peer(agent(2), Message::LoadReport(Load::default()), &[]);
    assert!(!harness.balancer.is_isolated(harness.now));
}

#[test]
fn idle_balancer_is_not_isolated() {
    let mut harness = Harness::new(3);
    harness.advance(10_000);
    assert!(!harness.balancer.is_isolated(harness.now));
}
