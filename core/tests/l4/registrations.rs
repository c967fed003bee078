//! What the homes of flows know while agents are restarted: real agents that exchange frames in virtual time,
//! beside servers that live on.

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        agent::{Agent, AgentOptions},
        flow_set::{FlowHash, FlowSet},
        homes::Homes,
        message::{self, Message, Ownership, Received},
        outbox::Outbox,
        routes::ServiceKey,
        segment::{self, FlowKey},
        server::{ServerReport, ServerState},
    },
    member::{MemberState, Record, Role, View},
    owner_id::Incarnation,
};

use crate::codec::{self, ACCEPT, ANSWER, BOUNCED, DATA, OPENING, TestCodec, flow_from};

const BALANCER: SocketAddrV4 = SocketAddrV4::new(codec::BALANCER_IP, 7001);

/// Time of the VMs' clocks, long after the servers have started.
const UNIX_MS: u64 = 100_000;

const STEP: Duration = Duration::from_millis(10);

/// Time for which an agent answers after it was told to stop, until its next start, and until its record is
/// known again.
const STOP_TIME: Duration = Duration::from_millis(300);
const DOWN_TIME: Duration = Duration::from_millis(540);
const JOIN_TIME: Duration = Duration::from_millis(700);

/// Bytes of the heads of IP and UDP.
const HEAD_BYTES: usize = 28;

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index as u8 + 1), 7001)
}

fn new_agent(index: usize, now: Time, out: &mut impl Outbox) -> Agent<TestCodec> {
    let server_address = SocketAddrV4::new(*address(index).ip(), 8080);
    let options = AgentOptions {
        domain: "a".into(),
        service: ServiceKey::of("desk"),
        server_address,
        report_interval: Duration::from_secs(60),
        idle_timeout: Duration::from_secs(60),
        max_lifetime: Duration::from_secs(60),
        max_flows: 2000,
        address: address(index),
    };
    let mut agent = Agent::new(TestCodec, options, now);
    let report = report(index, "a", 1, 40);
    agent.apply_report(&report, UNIX_MS, now, out).unwrap();
    agent
}

fn report(index: usize, id: &str, started_ms: u64, sequence: u64) -> ServerReport {
    ServerReport {
        id: id.to_owned(),
        service: ServiceKey::of("desk"),
        address: SocketAddrV4::new(*address(index).ip(), 8080),
        started_ms,
        sequence,
        state: ServerState::Ready,
        slots: 2,
        warmup_left: Duration::ZERO,
    }
}

/// A frame between two processes.
struct Frame {
    from: SocketAddrV4,
    to: SocketAddrV4,
    bytes: Vec<u8>,
}

/// Frames that one agent sends.
struct Sent<'a> {
    from: SocketAddrV4,
    frames: &'a mut VecDeque<Frame>,
}

impl Outbox for Sent<'_> {
    fn to_peer(&mut self, to: SocketAddrV4, frame: &[u8]) {
        self.frames.push_back(Frame {
            from: self.from,
            to,
            bytes: frame.to_vec(),
        });
    }

    fn to_caller(&mut self, _: SocketAddrV4, _: &[u8]) {}

    fn to_server(&mut self, _: &[u8]) {}
}

/// Agents of one service. One that is down is `None`.
struct Fleet {
    now: Time,
    agents: Vec<Option<Agent<TestCodec>>>,
    incarnations: Vec<u32>,
    /// Open flows by the index of the agent whose server holds them.
    flows: Vec<Vec<u16>>,
    frames: VecDeque<Frame>,
    /// Registrations that each agent was sent, and their bytes.
    registrations: Vec<(u32, usize)>,
    /// Questions for registrations that each agent was sent.
    questions: Vec<u32>,
}

impl Fleet {
    /// Returns a fleet in which each agent holds as many open flows, none of them long-lived yet.
    fn new(agents: usize, flows: u16) -> Self {
        let now = Time::from_millis(1_000);
        let mut frames = VecDeque::new();
        let mut fleet = Self {
            now,
            agents: Vec::new(),
            incarnations: vec![1; agents],
            flows: Vec::new(),
            registrations: vec![(0, 0); agents],
            questions: vec![0; agents],
            frames: VecDeque::new(),
        };
        for index in 0..agents {
            let out = &mut Sent {
                from: address(index),
                frames: &mut frames,
            };
            fleet.agents.push(Some(new_agent(index, now, out)));
            let first = index as u16 * flows + 1;
            fleet.flows.push((first..first + flows).collect());
        }
        fleet.publish();
        for index in 0..agents {
            for port in fleet.flows[index].clone() {
                fleet.establish(index, port);
            }
        }
        fleet
    }

    /// Calls an agent that is up, and delivers all frames that follow.
    fn call(&mut self, index: usize, call: impl FnOnce(&mut Agent<TestCodec>, Time, &mut Sent)) {
        let Some(agent) = &mut self.agents[index] else {
            return;
        };
        let mut sent = Sent {
            from: address(index),
            frames: &mut self.frames,
        };
        call(agent, self.now, &mut sent);
        self.deliver();
    }

    /// Delivers the frames to agents that are up. Those to balancers are dropped.
    fn deliver(&mut self) {
        while let Some(frame) = self.frames.pop_front() {
            let mut indices = 0..self.agents.len();
            let Some(index) = indices.find(|index| address(*index) == frame.to) else {
                continue;
            };
            let received = message::decode(frame.from, &frame.bytes).unwrap();
            if matches!(received.message, Message::Register { .. }) {
                let (count, bytes) = &mut self.registrations[index];
                *count += 1;
                *bytes += frame.bytes.len() + HEAD_BYTES;
            }
            self.questions[index] += u32::from(received.message == Message::ListRegistrations);
            let Some(agent) = &mut self.agents[index] else {
                continue;
            };
            let mut sent = Sent {
                from: address(index),
                frames: &mut self.frames,
            };
            agent.receive_from_peer(&received, self.now, &mut sent);
        }
    }

    fn open(&mut self, index: usize, port: u16) {
        let [high, low] = port.to_be_bytes();
        self.call(index, |agent, now, out| {
            let message = Message::Open {
                service: ServiceKey::of("desk"),
                forced: true,
                priority: 1,
                target_ms: 100,
                left_ms: None,
            };
            let received = Received {
                from: BALANCER,
                message,
                datagram: &[OPENING, low, 0, high],
            };
            agent.receive_from_peer(&received, now, out);
        });
    }

    fn accept(&mut self, index: usize, port: u16) {
        let [high, low] = port.to_be_bytes();
        self.call(index, |agent, now, out| {
            agent.receive_from_server(&[ACCEPT, low, 5, high], now, out);
        });
    }

    /// Opens a flow and completes a request.
    fn establish(&mut self, index: usize, port: u16) {
        self.open(index, port);
        self.accept(index, port);
        let [high, low] = port.to_be_bytes();
        self.call(index, |agent, now, out| {
            let received = Received {
                from: BALANCER,
                message: Message::Forward,
                datagram: &[DATA, low, 5, high],
            };
            agent.receive_from_peer(&received, now, out);
            agent.receive_from_server(&[ANSWER, low, 5, high], now, out);
        });
    }

    /// Gives all agents a view of the fleet with the present incarnations.
    fn publish(&mut self) {
        self.publish_first(self.agents.len());
    }

    /// Gives all agents a view of the first agents of the fleet.
    fn publish_first(&mut self, count: usize) {
        let mut members = BTreeMap::new();
        for (index, incarnation) in self.incarnations.iter().enumerate().take(count) {
            let record = Record {
                address: address(index),
                control: address(index),
                incarnation: Incarnation(*incarnation),
                domain: "a".into(),
                role: Role::Agent,
                service: ServiceKey::of("desk").tag(),
                state: MemberState::Ready,
                weight: 100,
                version: 0,
                revision: 0,
            };
            members.insert(address(index), record);
        }
        let view = View::default().next(members);
        for agent in self.agents.iter_mut().flatten() {
            agent.apply_view(&view);
        }
    }

    fn advance(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            for index in 0..self.agents.len() {
                self.call(index, |agent, now, out| {
                    if now >= agent.due() {
                        agent.tick(now, out);
                    }
                });
            }
        }
    }

    fn stop(&mut self, agents: &[usize]) {
        for index in agents {
            self.call(*index, |agent, now, out| agent.stop_admission(now, out));
        }
        self.advance(STOP_TIME);
        self.kill(agents);
    }

    fn kill(&mut self, agents: &[usize]) {
        for index in agents {
            self.agents[*index] = None;
        }
    }

    /// Starts agents that are down; their new records are known when it returns.
    fn start(&mut self, agents: &[usize]) {
        self.advance(DOWN_TIME);
        for index in agents {
            let out = &mut Sent {
                from: address(*index),
                frames: &mut self.frames,
            };
            self.agents[*index] = Some(new_agent(*index, self.now, out));
        }
        self.advance(JOIN_TIME);
        for index in agents {
            self.incarnations[*index] += 1;
        }
        self.publish();
    }

    fn homes(&self, flow: &FlowKey) -> Vec<usize> {
        let homes = Homes::new((0..self.agents.len()).map(address)).of(flow);
        let homes = homes.into_iter().flatten();
        let index = |home| (0..self.agents.len()).find(|index| address(*index) == home);
        homes.filter_map(index).collect()
    }

    /// Returns the frame with which an agent replies to a balancer.
    fn reply(&mut self, index: usize, message: Message) -> Option<Vec<u8>> {
        let agent = self.agents[index].as_mut()?;
        let mut frames = VecDeque::new();
        let received = Received {
            from: BALANCER,
            message,
            datagram: &[],
        };
        let mut sent = Sent {
            from: address(index),
            frames: &mut frames,
        };
        agent.receive_from_peer(&received, self.now, &mut sent);
        let reply = frames.into_iter().find(|frame| frame.to == BALANCER)?;
        Some(reply.bytes)
    }

    /// Returns what an agent replies to a query of a balancer that knows nothing.
    fn ownership(&mut self, index: usize, flow: FlowKey) -> Option<Ownership> {
        let find = Message::Find {
            flow,
            acknowledged: 50,
        };
        let reply = self.reply(index, find)?;
        match message::decode(address(index), &reply).unwrap().message {
            Message::Found { ownership, .. } => Some(ownership),
            _ => None,
        }
    }

    /// Returns the ports of the agent's own flows that its filter contains.
    fn filter(&mut self, index: usize) -> Option<Vec<u16>> {
        let round = 3;
        let reply = self.reply(index, Message::ListFlows { round })?;
        let reply = message::decode(address(index), &reply).unwrap();
        let held = FlowSet::decode(reply.datagram)?;
        let is_held = |port: &u16| held.contains(FlowHash::new(&flow_from(*port), round));
        let ports = self.flows[index].iter().copied();
        Some(ports.filter(is_held).collect())
    }

    /// Returns whether an agent names the owner of a flow.
    fn names_owner(&mut self, home: usize, owner: usize, port: u16) -> bool {
        match self.ownership(home, flow_from(port)) {
            Some(Ownership::HeldBy(named)) => named == address(owner),
            Some(Ownership::Held) => home == owner,
            _ => false,
        }
    }

    fn assert_known_at_both_homes(&mut self, owner: usize, port: u16) {
        for home in self.homes(&flow_from(port)) {
            let is_known = home == owner || self.names_owner(home, owner, port);
            assert!(is_known, "home {home} of port {port}");
        }
    }

    /// Returns the flows of other agents that have this one as a home.
    fn flows_with_home(&self, home: usize) -> Vec<(usize, u16)> {
        let mut flows = Vec::new();
        for (owner, ports) in self.flows.iter().enumerate() {
            let with_home = |port: &&u16| self.homes(&flow_from(**port)).contains(&home);
            let ports = ports.iter().filter(with_home);
            if owner != home {
                flows.extend(ports.map(|port| (owner, *port)));
            }
        }
        flows
    }
}

/// Guards against trial deliveries for flows that nobody knows: a home that restarts has lost its
/// registrations, and a search of the flows asks all agents.
#[test]
fn home_that_restarts_gets_its_registrations_again() {
    let mut fleet = Fleet::new(12, 40);
    fleet.advance(Duration::from_secs(3));
    fleet.stop(&[4]);
    fleet.start(&[4]);
    fleet.registrations.fill((0, 0));
    fleet.advance(Duration::from_secs(1));
    let flows = fleet.flows_with_home(4);
    let known = flows
        .iter()
        .filter(|(owner, port)| fleet.names_owner(4, *owner, *port));
    let (known, all) = (known.count(), flows.len());
    assert_eq!(known, all, "registrations at the home");
    // Others have lost nothing, and nobody sends them anything.
    for (index, (count, _)) in fleet.registrations.iter().enumerate() {
        assert_eq!(*count > 0, index == 4, "agent {index} was sent {count}");
    }
    let sent = fleet.registrations[4];
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.registrations[4], sent, "each is sent once");
}

/// Guards against bursts at a home that restarts, to which each agent of a small service sends a large part of
/// its flows.
#[test]
fn registrations_at_a_home_that_restarts_are_paced() {
    const FLOWS: usize = 500;
    let mut fleet = Fleet::new(3, FLOWS as u16);
    fleet.advance(Duration::from_secs(3));
    fleet.stop(&[1]);
    fleet.start(&[1]);
    let flows = fleet.flows_with_home(1);
    assert!(flows.len() > FLOWS, "{} flows have the home", flows.len());
    let (mut most, mut sum) = (0, 0);
    for _ in 0..12 {
        fleet.registrations.fill((0, 0));
        fleet.advance(Duration::from_millis(250));
        let (_, bytes) = fleet.registrations[1];
        most = most.max(bytes);
        sum += bytes;
    }
    // Two agents, each of which sends 10 KB a second.
    assert!(most <= 2 * 2_500, "{most} bytes in 250 ms");
    assert!(
        sum <= flows.len() * 14,
        "{sum} bytes for {} flows",
        flows.len()
    );
    let known = flows
        .iter()
        .filter(|(owner, port)| fleet.names_owner(1, *owner, *port));
    assert_eq!(known.count(), flows.len());
}

/// Guards against lists that pile up while agents come and go, each of which moves some homes.
#[test]
fn lists_do_not_pile_up_while_the_agents_change() {
    let mut fleet = Fleet::new(4, 400);
    fleet.advance(Duration::from_secs(2));
    fleet.kill(&[1]);
    fleet.start(&[1]);
    fleet.advance(Duration::from_millis(100));
    for step in 0..40 {
        fleet.publish_first(3 + step % 2);
        fleet.advance(Duration::from_millis(50));
    }
    // The 800 registrations of the 400 flows take 10.4 KB.
    fleet.advance(Duration::from_millis(1_500));
    fleet.registrations.fill((0, 0));
    fleet.advance(Duration::from_secs(5));
    assert_eq!(fleet.registrations, [(0, 0); 4]);
}

/// A list that another build or a stranger has cut short must not register flows that nobody has named.
#[test]
fn list_of_flows_with_an_odd_length_registers_only_the_named_flow() {
    let mut fleet = Fleet::new(1, 0);
    let mut list = segment::encode_flows(&[flow_from(2), flow_from(3)]);
    let named = |fleet: &mut Fleet, datagram: &[u8], flow| {
        let message = Message::Register { flow };
        let received = Received {
            from: address(1),
            message,
            datagram,
        };
        fleet.call(0, |agent, now, out| {
            agent.receive_from_peer(&received, now, out)
        });
        let ports = (1..=9).filter(|port| fleet.names_owner(0, 1, *port));
        ports.collect::<Vec<_>>()
    };
    list.pop();
    assert_eq!(named(&mut fleet, &list, flow_from(1)), [1]);
    list.extend([187, 0]);
    assert_eq!(named(&mut fleet, &list, flow_from(4)), [1, 4]);
    let list = segment::encode_flows(&[flow_from(2), flow_from(3)]);
    assert_eq!(named(&mut fleet, &list, flow_from(4)), [1, 2, 3, 4]);
}

/// Guards against flows that only one home knows, or none, when their agent restarts: those that it opened
/// shortly before it was stopped.
#[test]
fn stopping_agent_registers_its_flows_at_both_homes() {
    let mut fleet = Fleet::new(12, 40);
    fleet.stop(&[4]);
    for port in fleet.flows[4].clone() {
        fleet.assert_known_at_both_homes(4, port);
    }
}

/// The server accepts flows that were delivered before the stop.
#[test]
fn flow_that_is_accepted_during_the_stop_is_registered_at_both_homes() {
    const FIRST: u16 = 1_000;
    let mut fleet = Fleet::new(12, 0);
    let ports = FIRST..FIRST + 40;
    for port in ports.clone() {
        fleet.open(4, port);
    }
    fleet.call(4, |agent, now, out| agent.stop_admission(now, out));
    fleet.advance(STEP);
    for port in ports.clone() {
        fleet.accept(4, port);
    }
    fleet.kill(&[4]);
    for port in ports {
        fleet.assert_known_at_both_homes(4, port);
    }
}

/// All agents are restarted in turn, some at a time, while the callers of their flows send nothing. Only flows
/// whose agent and homes are restarted together are known to nobody.
#[test]
fn flows_are_found_by_their_homes_after_a_roll() {
    const BATCH: usize = 2;
    let mut fleet = Fleet::new(24, 20);
    fleet.advance(Duration::from_secs(2));
    for first in (0..24).step_by(BATCH) {
        let batch: Vec<usize> = (first..first + BATCH).collect();
        fleet.stop(&batch);
        fleet.start(&batch);
    }
    fleet.advance(Duration::from_secs(1));
    let (mut all, mut lost) = (0, 0);
    for owner in 0..24 {
        for port in fleet.flows[owner].clone() {
            let homes = fleet.homes(&flow_from(port));
            let is_found = homes
                .iter()
                .any(|home| fleet.names_owner(*home, owner, port));
            let restart_together = homes.iter().all(|home| home / BATCH == owner / BATCH);
            assert_ne!(is_found, restart_together, "port {port} of agent {owner}");
            all += 1;
            lost += usize::from(!is_found);
        }
    }
    assert!(lost * 100 <= all, "{lost} of {all} flows");
}

/// Guards against trial deliveries of the flows of an agent that was killed: it answers for them again once
/// it has asked their homes, to queries and in rounds.
#[test]
fn agent_that_restarts_answers_for_its_flows_again() {
    let mut fleet = Fleet::new(12, 40);
    fleet.advance(Duration::from_secs(2));
    fleet.kill(&[4]);
    fleet.start(&[4]);
    fleet.advance(Duration::from_millis(100));
    for port in fleet.flows[4].clone() {
        assert_eq!(
            fleet.ownership(4, flow_from(port)),
            Some(Ownership::Held),
            "port {port}"
        );
    }
    assert!(fleet.filter(4).is_some_and(|ports| ports == fleet.flows[4]));
    // It is not sure of others, which may have been registered nowhere.
    assert_eq!(
        fleet.ownership(4, flow_from(9_000)),
        Some(Ownership::Unsure)
    );
}

/// A registration outlives its flow. The server returns a segment of a flow that it does not hold.
#[test]
fn flow_that_the_server_returns_is_no_longer_answered_for() {
    let mut fleet = Fleet::new(12, 40);
    fleet.advance(Duration::from_secs(2));
    fleet.kill(&[4]);
    fleet.start(&[4]);
    fleet.advance(Duration::from_millis(100));
    let port = fleet.flows[4][0];
    let [high, low] = port.to_be_bytes();
    fleet.call(4, |agent, now, out| {
        let received = Received {
            from: BALANCER,
            message: Message::Forward,
            datagram: &[DATA, low, 5, high],
        };
        agent.receive_from_peer(&received, now, out);
    });
    assert_eq!(
        fleet.ownership(4, flow_from(port)),
        Some(Ownership::Held),
        "on trial"
    );
    fleet.call(4, |agent, now, out| {
        agent.receive_from_server(&[BOUNCED, low, 5, high], now, out);
    });
    assert_eq!(fleet.ownership(4, flow_from(port)), Some(Ownership::Unsure));
    assert!(fleet.filter(4).is_some_and(|ports| !ports.contains(&port)));
}

/// A server that has just started holds none of the flows that are registered as its agent's.
#[test]
fn agent_of_a_server_that_has_started_anew_answers_for_no_earlier_flow() {
    let mut fleet = Fleet::new(12, 40);
    fleet.advance(Duration::from_secs(2));
    fleet.kill(&[4]);
    fleet.start(&[4]);
    fleet.advance(Duration::from_millis(100));
    fleet.call(4, |agent, now, out| {
        let report = report(4, "b", 2, 0);
        agent.apply_report(&report, UNIX_MS, now, out).unwrap();
    });
    for port in fleet.flows[4].clone() {
        assert_eq!(
            fleet.ownership(4, flow_from(port)),
            Some(Ownership::NotHeld),
            "port {port}"
        );
    }
    fleet.advance(Duration::from_secs(16));
    assert_eq!(
        fleet.ownership(4, flow_from(fleet.flows[4][0])),
        Some(Ownership::NotHeld)
    );
}

/// An agent of an earlier build can't read the question, and one that is down gets none.
#[test]
fn agent_that_does_not_answer_is_asked_three_times() {
    let mut fleet = Fleet::new(3, 10);
    fleet.advance(Duration::from_secs(2));
    fleet.kill(&[1, 2]);
    fleet.start(&[2]);
    fleet.questions.fill(0);
    fleet.advance(Duration::from_secs(5));
    assert_eq!(fleet.questions, [1, 3, 0]);
}

/// Guards against homes that name a wrong owner for up to 15 s: another agent's server took a copy of the opening
/// segment, which the caller never acknowledged, and the agent is stopped. The flow is open and registered.
#[test]
fn stopping_agent_does_not_replace_the_registrations_of_the_owner() {
    const FIRST: u16 = 1_000;
    let mut fleet = Fleet::new(12, 0);
    let ports = FIRST..FIRST + 40;
    for port in ports.clone() {
        fleet.establish(0, port);
    }
    for port in ports.clone() {
        fleet.open(1, port);
        let [high, low] = port.to_be_bytes();
        fleet.call(1, |agent, now, out| {
            agent.receive_from_server(&[ACCEPT, low, 200, high], now, out);
        });
    }
    fleet.advance(Duration::from_secs(2));
    assert_eq!(misled_homes(&mut fleet, ports.clone()), []);
    fleet.stop(&[1]);
    assert_eq!(misled_homes(&mut fleet, ports), []);
}

/// Guards against homes that name no owner, so that each segment at another balancer causes a search of all agents:
/// an agent whose server's acceptance the caller has not completed registers the flow when it is stopped.
#[test]
fn stopping_agent_does_not_dispute_the_registrations_of_the_owner() {
    let mut fleet = Fleet::new(12, 0);
    fleet.establish(0, 1_000);
    fleet.open(1, 1_000);
    fleet.accept(1, 1_000);
    fleet.advance(Duration::from_secs(2));
    fleet.assert_known_at_both_homes(0, 1_000);
    fleet.stop(&[1]);
    fleet.start(&[1]);
    fleet.assert_known_at_both_homes(0, 1_000);
}

/// Returns the homes that name agent 1 as the owner of a flow, with the caller's port.
fn misled_homes(fleet: &mut Fleet, ports: std::ops::Range<u16>) -> Vec<(usize, u16)> {
    let mut misled = Vec::new();
    for port in ports {
        for home in fleet.homes(&flow_from(port)) {
            if fleet.names_owner(home, 1, port) {
                misled.push((home, port));
            }
        }
    }
    misled
}
