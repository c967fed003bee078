//! A balancer by itself: what it sends for what it gets.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        balancer::{Balancer, BalancerOptions},
        message::{self, Message, Ownership, Received, Refusal},
        outbox::Outbox,
        routes::{Route, RouteTable, ServiceKey, Target},
        workload::Load,
    },
    member::{KnownAgents, MemberState, Record, Role, View},
    owner_id::Incarnation,
};

use crate::codec::{DATA, OPENING, RESET, TestCodec, flow};

/// What callers acknowledge, in tens.
const TENS: u8 = 10;

const LINK: u64 = 1_250_000;

#[derive(Default)]
struct Sent {
    peers: Vec<(SocketAddrV4, Message)>,
    resets: usize,
}

impl Outbox for Sent {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        let received = message::decode(peer, frame).unwrap();
        self.peers.push((peer, received.message));
    }

    fn to_caller(&mut self, _: SocketAddrV4, datagram: &[u8]) {
        self.resets += usize::from(datagram[0] == RESET);
    }

    fn to_server(&mut self, _: &[u8]) {}
}

fn agent(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index), 7001)
}

fn view(agents: &[(u8, MemberState)]) -> View {
    let agents: Vec<_> = agents
        .iter()
        .map(|(i, state)| (*i, *state, "desk"))
        .collect();
    view_of_services(&agents)
}

fn view_of_services(agents: &[(u8, MemberState, &str)]) -> View {
    let mut members = BTreeMap::new();
    for (index, state, service) in agents {
        let record = Record {
            address: agent(*index),
            control: agent(*index),
            incarnation: Incarnation(1),
            domain: "a".into(),
            role: Role::Agent,
            service: ServiceKey::of(service).tag(),
            state: *state,
            weight: 100,
            version: 0,
            revision: 0,
        };
        members.insert(record.address, record);
    }
    let base = View {
        joined: true,
        ..View::default()
    };
    base.next(members)
}

struct World {
    balancer: Balancer<TestCodec>,
    sent: Sent,
    now: Time,
}

impl World {
    fn new(agents: u8) -> Self {
        let options = BalancerOptions {
            own: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001),
            domain: "a".into(),
            link: LINK,
        };
        let route = Route {
            name: "r".into(),
            idempotent: true,
            priority: 1,
            target_ms: 100,
            targets: vec![Target {
                service: ServiceKey::of("desk"),
                weight: 1,
            }],
        };
        let mut balancer = Balancer::new(TestCodec, &options, 1);
        balancer.take_routes(Arc::new(RouteTable {
            version: 1,
            idle_ms: 15_000,
            routes: HashMap::from([(flow(0).address, route)]),
        }));
        let mut world = Self {
            balancer,
            sent: Sent::default(),
            now: Time::from_millis(10_000),
        };
        let ready: Vec<_> = (1..=agents).map(|i| (i, MemberState::Ready)).collect();
        world.view(&ready);
        world.wait(1_000);
        world
    }

    fn view(&mut self, agents: &[(u8, MemberState)]) {
        let view = view(agents);
        self.balancer.take_view(&view, self.now, &mut self.sent);
    }

    fn caller(&mut self, kind: u8, port: u8) {
        self.balancer
            .receive(&[kind, port, TENS], self.now, &mut self.sent);
    }

    fn agent(&mut self, from: SocketAddrV4, message: Message, datagram: &[u8]) {
        let received = Received {
            from,
            message,
            datagram,
        };
        self.balancer
            .receive_from_agent(&received, self.now, &mut self.sent);
    }

    fn wait(&mut self, millis: u64) {
        let end = self.now + std::time::Duration::from_millis(millis);
        while self.now < end {
            self.now = self.now + std::time::Duration::from_millis(1);
            self.balancer.tick(self.now, &mut self.sent);
        }
    }

    /// Returns the agents that openings went to since the last call.
    fn opened(&mut self) -> Vec<SocketAddrV4> {
        let sent = std::mem::take(&mut self.sent.peers);
        let openings = sent
            .into_iter()
            .filter(|(_, message)| matches!(message, Message::Open { .. }));
        openings.map(|(peer, _)| peer).collect()
    }

    fn refuse(&mut self, from: SocketAddrV4, refusal: Refusal, port: u8) {
        let load = Load::default();
        self.agent(
            from,
            Message::Refused { refusal, load },
            &[OPENING, port, TENS],
        );
    }

    /// Lets all that are asked for a flow say that they don't hold it, until the search ends.
    fn all_deny(&mut self, agents: KnownAgents) {
        for _ in 0..3 {
            self.find_answers(Ownership::NotHeld, agents);
            self.wait(10);
        }
    }

    fn find_answers(&mut self, ownership: Ownership, agents: KnownAgents) {
        let sent = std::mem::take(&mut self.sent.peers);
        for (peer, message) in sent {
            if let Message::Find { flow, .. } = message {
                let found = Message::Found {
                    flow,
                    ownership,
                    agents,
                };
                self.agent(peer, found, &[]);
            }
        }
    }
}

#[test]
fn refused_opening_goes_to_another_agent_at_once() {
    let mut world = World::new(3);
    world.caller(OPENING, 1);
    let first = world.opened();
    world.refuse(first[0], Refusal::Draining, 1);
    let second = world.opened();
    assert_eq!((first.len(), second.len()), (1, 1));
    assert_ne!(first, second);
}

/// The balancer's check of the service, without the agent's behind it.
#[test]
fn openings_go_only_to_agents_of_the_service_of_their_route() {
    let mut world = World::new(0);
    let agents = [(1, "desk"), (2, "maps"), (3, "desk"), (4, "maps")];
    let agents = agents.map(|(index, service)| (index, MemberState::Ready, service));
    let view = view_of_services(&agents);
    world.balancer.take_view(&view, world.now, &mut world.sent);
    world.wait(1_000);
    let mut asked = Vec::new();
    for port in 0..40 {
        world.caller(OPENING, port);
        for agent in world.opened() {
            asked.push(agent);
            world.refuse(agent, Refusal::Unresponsive, port);
        }
        asked.extend(world.opened());
        world.wait(50);
        asked.extend(world.opened());
    }
    assert!(asked.contains(&agent(1)) && asked.contains(&agent(3)));
    assert!(
        !asked.contains(&agent(2)) && !asked.contains(&agent(4)),
        "{asked:?}"
    );
}

#[test]
fn silent_agent_is_passed_over_in_well_under_the_targets() {
    let mut world = World::new(3);
    world.caller(OPENING, 1);
    let first = world.opened();
    world.wait(31);
    let second = world.opened();
    assert_eq!(second.len(), 1);
    assert_ne!(first, second);
    // The next flow does not try the silent one again.
    world.caller(OPENING, 2);
    assert_ne!(world.opened(), first);
}

#[test]
fn caller_is_told_at_once_when_all_agents_refuse() {
    let mut world = World::new(2);
    world.caller(OPENING, 1);
    for _ in 0..2 {
        let asked = world.opened();
        assert_eq!(world.sent.resets, 0);
        world.refuse(asked[0], Refusal::Draining, 1);
    }
    assert_eq!(world.sent.resets, 1);
}

#[test]
fn opening_waits_while_a_new_balancer_knows_no_agent() {
    let mut world = World::new(0);
    world.caller(OPENING, 1);
    assert_eq!((world.opened().len(), world.sent.resets), (0, 0));
    world.view(&[(1, MemberState::Ready)]);
    assert_eq!(world.opened(), [agent(1)]);
}

#[test]
fn first_segment_names_the_server_that_the_caller_took() {
    let mut world = World::new(3);
    world.caller(OPENING, 1);
    let first = world.opened()[0];
    world.wait(31);
    let second = world.opened()[0];
    for (from, initial) in [(first, 5_000_000), (second, 100)] {
        let load = Load::default();
        let flow = flow(1);
        world.agent(
            from,
            Message::Opened {
                flow,
                initial,
                load,
            },
            &[],
        );
    }
    // It acknowledges 100: the start of the second one.
    world.caller(DATA, 1);
    assert_eq!(world.sent.peers, [(second, Message::Forward)]);
}

#[test]
fn unknown_flow_is_found_and_its_segments_follow() {
    let mut world = World::new(3);
    world.caller(DATA, 1);
    world.caller(DATA, 1);
    let flow = flow(1);
    let found = Message::Found {
        flow,
        ownership: Ownership::Held,
        agents: KnownAgents::default(),
    };
    world.sent.peers.clear();
    world.agent(agent(2), found, &[]);
    assert_eq!(world.sent.peers, [(agent(2), Message::Forward); 2]);
}

#[test]
fn flow_that_nobody_holds_is_reset_only_if_nobody_knows_more_agents() {
    let known = view(&[(1, MemberState::Ready), (2, MemberState::Ready)]).known_agents();
    let more = KnownAgents {
        count: 3,
        digest: 7,
    };
    for (agents, resets) in [(known, 1), (more, 0)] {
        let mut world = World::new(2);
        world.caller(DATA, 1);
        world.all_deny(agents);
        assert_eq!(world.sent.resets, resets, "{agents:?}");
    }
}

/// A process that starts without seeds has joined and knows nobody.
#[test]
fn balancer_that_knows_no_agent_resets_no_flow() {
    let mut world = World::new(0);
    world.wait(2_000);
    world.caller(DATA, 1);
    world.wait(2_000);
    assert_eq!(world.sent.resets, 0);
}

/// Until a balancer has fetched what its seeds know, agents that it has not met may hold the flow.
#[test]
fn balancer_that_has_not_joined_resets_no_flow() {
    for (joined, resets) in [(false, 0), (true, 1)] {
        let mut world = World::new(0);
        let agents = [(1, MemberState::Ready), (2, MemberState::Ready)];
        let view = View {
            joined,
            ..view(&agents)
        };
        world.balancer.take_view(&view, world.now, &mut world.sent);
        world.wait(2_000);
        world.caller(DATA, 1);
        world.all_deny(view.known_agents());
        assert_eq!(world.sent.resets, resets, "joined: {joined}");
    }
}

/// News of an agent may still be on its way where another one has just been heard of.
#[test]
fn balancer_that_has_just_met_an_agent_resets_no_flow() {
    for (waited, resets) in [(300, 0), (1_000, 1)] {
        let mut world = World::new(2);
        let known = world_agents(3);
        let agents = [1, 2, 3].map(|index| (index, MemberState::Ready));
        world.view(&agents);
        world.wait(waited);
        world.caller(DATA, 1);
        world.all_deny(known);
        assert_eq!(world.sent.resets, resets, "after {waited} ms");
    }
}

#[test]
fn silence_of_one_agent_is_no_proof_that_a_flow_is_lost() {
    let mut world = World::new(3);
    let known = world_agents(3);
    world.caller(DATA, 1);
    for _ in 0..30 {
        let sent = std::mem::take(&mut world.sent.peers);
        for (peer, message) in sent {
            if let Message::Find { flow, .. } = message
                && peer != agent(3)
            {
                let found = Message::Found {
                    flow,
                    ownership: Ownership::NotHeld,
                    agents: known,
                };
                world.agent(peer, found, &[]);
            }
        }
        world.wait(10);
    }
    assert_eq!(world.sent.resets, 0);
}

/// One agent denies, one is unsure and finds that its server does not hold the flow, one is silent.
#[test]
fn silence_of_one_agent_is_no_proof_beside_one_that_had_to_try() {
    let mut world = World::new(3);
    let known = world_agents(3);
    world.caller(DATA, 1);
    for _ in 0..60 {
        let sent = std::mem::take(&mut world.sent.peers);
        for (peer, message) in sent {
            let ownership = match peer.ip().octets()[3] {
                1 => Ownership::NotHeld,
                2 => Ownership::Unsure,
                _ => continue,
            };
            match message {
                Message::Find { flow, .. } => {
                    let found = Message::Found {
                        flow,
                        ownership,
                        agents: known,
                    };
                    world.agent(peer, found, &[]);
                }
                Message::Forward => world.agent(peer, Message::Unknown, &[DATA, 1, TENS]),
                _ => {}
            }
        }
        world.wait(5);
    }
    assert_eq!(world.sent.resets, 0);
}

fn world_agents(count: u8) -> KnownAgents {
    let ready: Vec<_> = (1..=count).map(|i| (i, MemberState::Ready)).collect();
    view(&ready).known_agents()
}

/// Returns a balancer with a flow at one of two agents, and the last octets of both: the owner's first.
fn with_an_owned_flow() -> (World, u8, u8) {
    let mut world = World::new(2);
    world.caller(OPENING, 1);
    let owner = world.opened()[0];
    let (flow, load) = (flow(1), Load::default());
    let initial = 100;
    world.agent(
        owner,
        Message::Opened {
            flow,
            initial,
            load,
        },
        &[],
    );
    world.caller(DATA, 1);
    let owner = owner.ip().octets()[3];
    (world, owner, 3 - owner)
}

#[test]
fn flows_of_an_agent_that_left_are_reset() {
    let (mut world, owner, other) = with_an_owned_flow();
    world.view(&[(owner, MemberState::Left), (other, MemberState::Ready)]);
    assert_eq!(world.sent.resets, 1);
}

#[test]
fn flows_of_an_agent_that_was_given_up_are_reset_once_it_does_not_answer() {
    let (mut world, owner, other) = with_an_owned_flow();
    world.view(&[(owner, MemberState::Dead), (other, MemberState::Ready)]);
    assert_eq!(world.sent.resets, 0);
    world.wait(600);
    assert_eq!(world.sent.resets, 1);
}

/// The membership gives up an agent that others did not hear, as after a cut in one direction.
#[test]
fn flows_of_an_agent_that_was_given_up_are_kept_while_it_answers() {
    let (mut world, owner, other) = with_an_owned_flow();
    let known = world_agents(1);
    world.view(&[(owner, MemberState::Dead), (other, MemberState::Ready)]);
    for _ in 0..50 {
        world.find_answers(Ownership::NotHeld, known);
        world.wait(100);
    }
    assert_eq!(world.sent.resets, 0);
    world.sent.peers.clear();
    world.caller(DATA, 1);
    assert_eq!(world.sent.peers, [(agent(owner), Message::Forward)]);
    // Its end is noticed without another word of the membership.
    world.wait(2_000);
    assert_eq!(world.sent.resets, 1);
}

/// A balancer that does not know the flow asks an agent that was given up and answers.
#[test]
fn flow_of_an_agent_that_was_given_up_and_answers_is_found() {
    let (mut world, owner, other) = with_an_owned_flow();
    world.view(&[(owner, MemberState::Dead), (other, MemberState::Ready)]);
    let known = world_agents(1);
    world.find_answers(Ownership::NotHeld, known);
    world.caller(DATA, 2);
    let mut asked = Vec::new();
    for _ in 0..60 {
        asked.extend(world.sent.peers.iter().map(|(peer, _)| *peer));
        world.find_answers(Ownership::NotHeld, known);
        world.wait(5);
    }
    assert!(asked.contains(&agent(owner)), "{asked:?}");
}

#[test]
fn opening_without_a_route_is_refused_and_an_unknown_flow_without_one_is_left_alone() {
    let mut world = World::new(2);
    world.balancer.take_routes(Arc::new(RouteTable {
        version: 2,
        ..RouteTable::default()
    }));
    world.caller(DATA, 1);
    assert_eq!(world.sent.resets, 0);
    world.caller(OPENING, 2);
    assert_eq!(world.sent.resets, 1);
}

#[test]
fn balancer_that_no_agent_answers_is_cut_off_until_one_does() {
    let mut world = World::new(3);
    world.caller(OPENING, 1);
    world.wait(500);
    assert!(!world.balancer.is_cut_off(world.now));
    world.wait(200);
    assert!(world.balancer.is_cut_off(world.now));
    world.sent.peers.clear();
    world.wait(300);
    let asked = |(_, message): &&(_, Message)| matches!(message, Message::Find { .. });
    assert!(world.sent.peers.iter().filter(asked).count() >= 3);
    world.agent(agent(2), Message::LoadReport(Load::default()), &[]);
    assert!(!world.balancer.is_cut_off(world.now));
}

#[test]
fn quiet_balancer_is_not_cut_off() {
    let mut world = World::new(3);
    world.wait(10_000);
    assert!(!world.balancer.is_cut_off(world.now));
}
