//! Routing by balancers and agents together, with random views, drains, restarts and packets.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use berylvalve::{
    agent::datagram_forwarding::{AgentStatus, DatagramAction, FORWARD_THRESHOLD, FlowTable},
    clock::Time,
    consts::{MAX_HOPS, OWNER_ID_BYTES},
    flow::{DropReason, Flow, Opening},
    frame::Header,
    member::{MemberState, Record, Role, View},
    owner_id::{FleetKey, Incarnation, Keyring, Owner, Purpose, ServiceTag},
    steering,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

const A: ServiceTag = ServiceTag(1);
const B: ServiceTag = ServiceTag(2);
const AGENTS: u16 = 6;

fn config(seed: u64) -> Config {
    Config {
        cases: 512,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        ..Config::default()
    }
}

fn address(number: u16) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1000 + number)
}

/// Returns the service of an agent: A for the first half of the agents, B for the others.
fn service(number: u16) -> ServiceTag {
    if number < AGENTS / 2 { A } else { B }
}

fn record(number: u16, state: MemberState, incarnation: u32) -> Record {
    Record {
        address: address(number),
        control: address(number + 100),
        incarnation: Incarnation(incarnation),
        domain: "d".to_owned(),
        role: Role::Agent,
        service: service(number),
        state,
        weight: 100,
        version: 1,
        revision: 0,
    }
}

fn view(states: &[MemberState]) -> View {
    let records = states.iter().zip(0..).map(|(s, n)| record(n, *s, 1));
    let members: BTreeMap<_, _> = records.map(|r| (r.address, r)).collect();
    View::default().next(members)
}

fn keyring() -> Keyring {
    let key = FleetKey {
        id: 1,
        secret: vec![7; 16],
    };
    Keyring::new(&[key], Purpose::Connection)
}

fn owner(number: u16) -> Owner {
    Owner {
        address: address(number),
        service: service(number),
        incarnation: Incarnation(1),
    }
}

fn short_packet(number: u16) -> Vec<u8> {
    let mut packet = vec![0x40];
    packet.extend_from_slice(&keyring().encrypt(&owner(number), 9));
    packet.extend_from_slice(&[0; 30]);
    packet
}

fn initial(id: &[u8]) -> Vec<u8> {
    let mut packet = vec![0xC0, 0, 0, 0, 1, id.len() as u8];
    packet.extend_from_slice(id);
    packet.extend_from_slice(&[0; 60]);
    packet
}

struct Agent {
    flows: FlowTable,
    status: AgentStatus,
    view: View,
}

struct Fleet {
    agents: Vec<Agent>,
}

#[derive(Debug, PartialEq)]
enum End {
    Accepted(u16),
    Dropped(DropReason),
    /// The datagram was sent to an address at which no agent runs.
    Nowhere,
}

impl Fleet {
    fn new(views: &[View], draining: &[bool], pressure: &[u32]) -> Self {
        let agents = (0..AGENTS).map(|n| Agent {
            flows: FlowTable::default(),
            status: AgentStatus {
                address: address(n),
                service: service(n),
                incarnation: Incarnation(1),
                is_draining: draining[usize::from(n)],
                pressure: pressure[usize::from(n)],
            },
            view: views[usize::from(n) % views.len()].clone(),
        });
        Self {
            agents: agents.collect(),
        }
    }

    /// Routes a datagram from a balancer with this view until it is accepted or dropped.
    fn send(&mut self, now_ms: u64, view: &View, target: ServiceTag, datagram: &[u8]) -> End {
        match berylvalve::flow::parse(&keyring(), target, datagram) {
            Ok(flow) => self.send_flow(now_ms, view, target, &flow),
            Err(reason) => {
                let steered = steering::steer(view, &keyring(), target, datagram);
                assert_eq!(steered, Err(reason));
                End::Dropped(reason)
            }
        }
    }

    fn send_flow(&mut self, now_ms: u64, view: &View, target: ServiceTag, flow: &Flow<'_>) -> End {
        let route = match steering::steer_flow(view, target, flow) {
            Ok(route) => route,
            Err(reason) => return End::Dropped(reason),
        };
        let mut header = Header {
            caller: SocketAddr::from(([127, 0, 0, 1], 9)),
            service: target,
            version: route.version,
            balancer: address(200),
            fallbacks: route.fallbacks,
            hops: 0,
        };
        let mut destination = route.agent;
        loop {
            assert!(header.hops <= MAX_HOPS, "a datagram exceeds the hop limit");
            let found = self
                .agents
                .iter_mut()
                .zip(0..)
                .find(|(a, _)| a.status.address == destination);
            let Some((agent, number)) = found else {
                return End::Nowhere;
            };
            let now = Time::from_millis(now_ms);
            match agent
                .flows
                .decide_flow(now, &agent.status, &agent.view, &header, flow)
            {
                DatagramAction::Accept => {
                    assert_eq!(
                        agent.status.service, target,
                        "an agent of another service accepts the datagram"
                    );
                    return End::Accepted(number);
                }
                DatagramAction::Drop(reason) => return End::Dropped(reason),
                DatagramAction::Forward { agent, fallbacks } => {
                    assert_ne!(
                        agent, destination,
                        "an agent forwards the datagram to itself"
                    );
                    header.hops += 1;
                    header.fallbacks = fallbacks;
                    destination = agent;
                }
            }
        }
    }
}

fn any_state() -> impl Strategy<Value = MemberState> {
    prop::sample::select(vec![
        MemberState::Ready,
        MemberState::Draining,
        MemberState::Left,
        MemberState::Suspect,
        MemberState::Dead,
    ])
}

fn live_state() -> impl Strategy<Value = MemberState> {
    prop::sample::select(vec![
        MemberState::Ready,
        MemberState::Draining,
        MemberState::Suspect,
    ])
}

fn views(state: impl Strategy<Value = MemberState>) -> impl Strategy<Value = Vec<View>> {
    let states = prop::collection::vec(state, 0..=usize::from(AGENTS));
    prop::collection::vec(states.prop_map(|s| view(&s)), 1..4)
}

fn agent_statuses() -> impl Strategy<Value = (Vec<bool>, Vec<u32>)> {
    let count = usize::from(AGENTS);
    (
        prop::collection::vec(any::<bool>(), count),
        prop::collection::vec(0..1500_u32, count),
    )
}

proptest! {
    #![proptest_config(config(41))]

    /// Arbitrary bytes and inconsistent views must not cause a panic, a routing loop or delivery to
    /// another service.
    #[test]
    fn any_datagram_ends_at_its_service_or_is_dropped(
        views in views(any_state()),
        (draining, pressure) in agent_statuses(),
        datagrams in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 1..20),
        target in prop::sample::select(vec![A, B]),
    ) {
        let mut fleet = Fleet::new(&views, &draining, &pressure);
        for (index, datagram) in datagrams.iter().enumerate() {
            let view = &views[index % views.len()];
            fleet.send(index as u64, view, target, datagram);
        }
    }

    /// No agent of any service must accept a datagram whose owner id has been altered.
    #[test]
    fn a_datagram_with_a_corrupt_owner_id_is_not_accepted(
        views in views(any_state()),
        (draining, pressure) in agent_statuses(),
        number in 0..AGENTS,
        flipped_bit in 0..OWNER_ID_BYTES * 8,
        target in prop::sample::select(vec![A, B]),
    ) {
        let mut fleet = Fleet::new(&views, &draining, &pressure);
        let mut packet = short_packet(number);
        packet[1 + flipped_bit / 8] ^= 1 << (flipped_bit % 8);
        // One in 65,536 altered ids decrypts to the target service, but names an unknown address.
        let end = fleet.send(0, &views[0], target, &packet);
        prop_assert!(!matches!(end, End::Accepted(_)), "{end:?}");
    }

    /// Views that differ must not break an established flow unless one of them shows its owner as
    /// gone.
    #[test]
    fn an_established_flow_reaches_its_owner(
        views in views(live_state()),
        (draining, pressure) in agent_statuses(),
        number in 0..AGENTS,
        times in prop::collection::vec(0..100_000_u64, 1..10),
    ) {
        let mut fleet = Fleet::new(&views, &draining, &pressure);
        for (index, now) in times.iter().enumerate() {
            let view = &views[index % views.len()];
            let end = fleet.send(*now, view, service(number), &short_packet(number));
            prop_assert_eq!(end, End::Accepted(number));
        }
    }

    /// A balancer that wrongly considers the owner dead routes to another agent, which forwards the
    /// datagram to the owner.
    #[test]
    fn a_datagram_reaches_its_owner_if_only_the_balancer_considers_it_dead(
        (draining, pressure) in agent_statuses(),
        number in 0..AGENTS,
    ) {
        let live = view(&[MemberState::Ready; AGENTS as usize]);
        let mut wrong = live.members.clone();
        wrong.get_mut(&address(number)).unwrap().state = MemberState::Dead;
        let wrong = live.next(wrong);
        let mut fleet = Fleet::new(&[live], &draining, &pressure);
        let end = fleet.send(0, &wrong, service(number), &short_packet(number));
        prop_assert_eq!(end, End::Accepted(number));
    }

    /// A change of pressure between the first datagrams of a flow must not split them across
    /// agents.
    #[test]
    fn all_opening_datagrams_of_a_flow_reach_one_agent(
        id in prop::collection::vec(any::<u8>(), 8..16),
        pressures in prop::collection::vec(0..1500_u32, 2..12),
        (_, first) in agent_statuses(),
    ) {
        let view = view(&[MemberState::Ready; AGENTS as usize]);
        let none_draining = [false; AGENTS as usize];
        let mut fleet = Fleet::new(std::slice::from_ref(&view), &none_draining, &first);
        let expected = fleet.send(0, &view, A, &initial(&id));
        for (index, pressure) in pressures.iter().enumerate() {
            for agent in &mut fleet.agents {
                agent.status.pressure = *pressure;
            }
            let end = fleet.send(index as u64 * 500, &view, A, &initial(&id));
            prop_assert_eq!(&end, &expected);
        }
    }

    /// A balancer with an outdated view still routes new flows to a draining agent, which must
    /// forward them.
    #[test]
    fn a_draining_agent_accepts_no_new_flow_while_another_is_ready(
        id in prop::collection::vec(any::<u8>(), 8..16),
        draining_agent in 0..AGENTS / 2,
    ) {
        let stale = view(&[MemberState::Ready; AGENTS as usize]);
        let mut flags = [false; AGENTS as usize];
        flags[usize::from(draining_agent)] = true;
        let no_pressure = [0; AGENTS as usize];
        let mut fleet = Fleet::new(std::slice::from_ref(&stale), &flags, &no_pressure);
        let end = fleet.send(0, &stale, A, &initial(&id));
        let End::Accepted(accepted_by) = end else { panic!("{end:?}") };
        prop_assert_ne!(accepted_by, draining_agent);
    }

    /// A change of the placement table must not move a flow that has no owner id.
    #[test]
    fn a_flow_without_an_owner_id_survives_a_change_of_the_table(
        key in prop::collection::vec(any::<u8>(), 12),
        opening in prop::sample::select(vec![Opening::Yes, Opening::Maybe]),
        leaving in 0..AGENTS / 2,
        pressure in prop::collection::vec(0..1500_u32, AGENTS as usize),
    ) {
        let before = view(&[MemberState::Ready; AGENTS as usize]);
        let mut members = before.members.clone();
        members.get_mut(&address(leaving)).unwrap().state = MemberState::Draining;
        let after = before.next(members);
        let none_draining = [false; AGENTS as usize];
        let mut fleet = Fleet::new(std::slice::from_ref(&before), &none_draining, &pressure);
        let first = Flow { key: &key, opening, owner: None };
        let expected = fleet.send_flow(0, &before, A, &first);
        fleet.agents[usize::from(leaving)].status.is_draining = true;
        let later_opening = if opening == Opening::Yes { Opening::No } else { Opening::Maybe };
        let later = Flow { opening: later_opening, ..first };
        for (now, view) in [(1, &before), (2, &after), (3, &before), (4, &after)] {
            let end = fleet.send_flow(now, view, A, &later);
            prop_assert_eq!(&end, &expected);
        }
    }
}

#[test]
fn a_datagram_of_a_dead_owner_reaches_another_agent_of_the_service() {
    let mut states = [MemberState::Ready; AGENTS as usize];
    states[0] = MemberState::Dead;
    let view = view(&states);
    let none_draining = [false; AGENTS as usize];
    let mut fleet = Fleet::new(
        std::slice::from_ref(&view),
        &none_draining,
        &[0; AGENTS as usize],
    );
    let end = fleet.send(0, &view, A, &short_packet(0));
    assert!(matches!(end, End::Accepted(1 | 2)), "{end:?}");
}

#[test]
fn an_address_reused_by_another_service_gets_no_flow_of_the_earlier_owner() {
    let live = view(&[MemberState::Ready; AGENTS as usize]);
    let mut members = live.members.clone();
    let reused = Record {
        service: B,
        ..record(0, MemberState::Ready, 2)
    };
    members.insert(address(0), reused);
    let view = live.next(members);
    let none_draining = [false; AGENTS as usize];
    let mut fleet = Fleet::new(
        std::slice::from_ref(&view),
        &none_draining,
        &[0; AGENTS as usize],
    );
    fleet.agents[0].status.service = B;
    let end = fleet.send(0, &view, A, &short_packet(0));
    assert!(matches!(end, End::Accepted(1 | 2)), "{end:?}");
}

#[test]
fn a_datagram_that_does_not_open_its_unknown_flow_is_dropped() {
    let view = view(&[MemberState::Ready; AGENTS as usize]);
    let none_draining = [false; AGENTS as usize];
    let mut fleet = Fleet::new(
        std::slice::from_ref(&view),
        &none_draining,
        &[0; AGENTS as usize],
    );
    let flow = Flow {
        key: b"five-tuple",
        opening: Opening::No,
        owner: None,
    };
    let end = fleet.send_flow(0, &view, A, &flow);
    assert_eq!(end, End::Dropped(DropReason::UnknownFlow));
}

#[test]
fn a_busy_second_choice_accepts_what_a_busy_first_choice_forwards() {
    let view = view(&[MemberState::Ready; AGENTS as usize]);
    let none_draining = [false; AGENTS as usize];
    let busy = [FORWARD_THRESHOLD; AGENTS as usize];
    let mut fleet = Fleet::new(std::slice::from_ref(&view), &none_draining, &busy);
    let choice = view.tables[&A].choose(A, b"a new flow").unwrap();
    let end = fleet.send(0, &view, A, &initial(b"a new flow"));
    let End::Accepted(number) = end else {
        panic!("{end:?}")
    };
    assert_eq!(Some(address(number)), choice.second);
}

/// Checks the balancer without the agents, whose own check would hide a fault here.
#[test]
fn the_balancer_routes_no_datagram_to_the_owner_of_another_service() {
    let view = view(&[MemberState::Ready; AGENTS as usize]);
    for number in 0..AGENTS {
        let other = if service(number) == A { B } else { A };
        let steered = steering::steer(&view, &keyring(), other, &short_packet(number));
        assert_eq!(steered, Err(DropReason::Foreign), "{number}");
        let opening = initial(&keyring().encrypt(&owner(number), 9));
        let route = steering::steer(&view, &keyring(), other, &opening).unwrap();
        let chosen = (0..AGENTS).find(|n| address(*n) == route.agent).unwrap();
        assert_eq!(service(chosen), other, "{number}");
    }
}

/// Checks the agent without a balancer, whose own check would hide a fault here.
#[test]
fn the_agent_rejects_datagrams_of_another_service() {
    let view = view(&[MemberState::Ready; AGENTS as usize]);
    let status = AgentStatus {
        address: address(0),
        service: A,
        incarnation: Incarnation(1),
        is_draining: false,
        pressure: 0,
    };
    let header_for = |service: ServiceTag| Header {
        caller: SocketAddr::from(([127, 0, 0, 1], 9)),
        service,
        version: 1,
        balancer: address(200),
        fallbacks: [None, None],
        hops: 0,
    };
    let now = Time::from_millis(1);
    let decide = |service: ServiceTag, packet: &[u8]| {
        let header = header_for(service);
        FlowTable::default().decide(now, &status, &view, &keyring(), &header, packet)
    };
    let opening = initial(&[5; 8]);
    assert_eq!(decide(A, &opening), DatagramAction::Accept);
    assert_eq!(
        decide(B, &opening),
        DatagramAction::Drop(DropReason::OtherService)
    );
    assert_eq!(decide(A, &short_packet(0)), DatagramAction::Accept);
    let foreign = short_packet(AGENTS - 1);
    assert_eq!(
        decide(A, &foreign),
        DatagramAction::Drop(DropReason::Foreign)
    );
    let flow = Flow {
        key: &[1; 8],
        opening: Opening::Maybe,
        owner: None,
    };
    let action = FlowTable::default().decide_flow(now, &status, &view, &header_for(B), &flow);
    assert_eq!(action, DatagramAction::Drop(DropReason::OtherService));
}
