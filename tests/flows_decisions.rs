//! Steering and intake together: random views, drains, restarts, and packets of all kinds.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use berylvalve::{
    agent::datagram_forwarding::{AgentStatus, DatagramAction, FORWARD_THRESHOLD, FlowTable},
    clock::Time,
    consts::MAX_HOPS,
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

/// The first half of the agents serves A, the others B.
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
    standing: AgentStatus,
    view: View,
}

struct Fleet {
    agents: Vec<Agent>,
}

#[derive(Debug, PartialEq)]
enum End {
    Taken(u16),
    Dropped(DropReason),
    /// It went to an address where no agent runs.
    Nowhere,
}

impl Fleet {
    fn new(views: &[View], draining: &[bool], pressure: &[u32]) -> Self {
        let agents = (0..AGENTS).map(|n| Agent {
            flows: FlowTable::default(),
            standing: AgentStatus {
                address: address(n),
                service: service(n),
                incarnation: Incarnation(1),
                draining: draining[usize::from(n)],
                pressure: pressure[usize::from(n)],
            },
            view: views[usize::from(n) % views.len()].clone(),
        });
        Self {
            agents: agents.collect(),
        }
    }

    /// Carries a datagram from a balancer with a view to its end.
    fn send(&mut self, now: u64, view: &View, target: ServiceTag, datagram: &[u8]) -> End {
        match berylvalve::flow::read(&keyring(), target, datagram) {
            Ok(flow) => self.send_flow(now, view, target, &flow),
            Err(reason) => {
                let steered = steering::steer(view, &keyring(), target, datagram);
                assert_eq!(steered, Err(reason));
                End::Dropped(reason)
            }
        }
    }

    fn send_flow(&mut self, now: u64, view: &View, target: ServiceTag, flow: &Flow<'_>) -> End {
        let route = match steering::steer_flow(view, target, flow) {
            Ok(route) => route,
            Err(reason) => return End::Dropped(reason),
        };
        let mut header = Header {
            caller: SocketAddr::from(([127, 0, 0, 1], 9)),
            service: target,
            version: route.version,
            balancer: address(200),
            fallbacks: route.others,
            hops: 0,
        };
        let mut at = route.agent;
        loop {
            assert!(header.hops <= MAX_HOPS, "hops are bounded");
            let found = self
                .agents
                .iter_mut()
                .zip(0..)
                .find(|(a, _)| a.standing.address == at);
            let Some((agent, number)) = found else {
                return End::Nowhere;
            };
            let now = Time::from_millis(now);
            match agent
                .flows
                .decide_flow(now, &agent.standing, &agent.view, &header, flow)
            {
                DatagramAction::Accept => {
                    assert_eq!(agent.standing.service, target, "never another service");
                    return End::Taken(number);
                }
                DatagramAction::Drop(reason) => return End::Dropped(reason),
                DatagramAction::Forward { agent, fallbacks } => {
                    assert_ne!(agent, at, "never to itself");
                    header.hops += 1;
                    header.fallbacks = fallbacks;
                    at = agent;
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

fn standings() -> impl Strategy<Value = (Vec<bool>, Vec<u32>)> {
    let count = usize::from(AGENTS);
    (
        prop::collection::vec(any::<bool>(), count),
        prop::collection::vec(0..1500_u32, count),
    )
}

proptest! {
    #![proptest_config(config(41))]

    /// Whatever views and packets: no panic, bounded hops, never another service.
    #[test]
    fn any_datagram_ends_at_its_service_or_is_dropped(
        views in views(any_state()),
        (draining, pressure) in standings(),
        datagrams in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..80), 1..20),
        target in prop::sample::select(vec![A, B]),
    ) {
        let mut fleet = Fleet::new(&views, &draining, &pressure);
        for (index, datagram) in datagrams.iter().enumerate() {
            let view = &views[index % views.len()];
            fleet.send(index as u64, view, target, datagram);
        }
    }

    /// A forged, damaged or foreign id never opens a way to another service.
    #[test]
    fn a_damaged_owner_id_never_changes_the_service(
        views in views(any_state()),
        (draining, pressure) in standings(),
        number in 0..AGENTS,
        flip in 0..17_usize * 8,
        target in prop::sample::select(vec![A, B]),
    ) {
        let mut fleet = Fleet::new(&views, &draining, &pressure);
        let mut packet = short_packet(number);
        packet[1 + flip / 8] ^= 1 << (flip % 8);
        // One in 65,536 altered ids opens to the wanted service; it goes to an unknown address.
        let end = fleet.send(0, &views[0], target, &packet);
        prop_assert!(!matches!(end, End::Taken(_)), "{end:?}");
    }

    /// An established flow reaches its owner whatever balancers believe, as long as nobody holds
    /// the owner for dead.
    #[test]
    fn an_established_flow_reaches_its_owner(
        views in views(live_state()),
        (draining, pressure) in standings(),
        number in 0..AGENTS,
        times in prop::collection::vec(0..100_000_u64, 1..10),
    ) {
        let mut fleet = Fleet::new(&views, &draining, &pressure);
        for (index, now) in times.iter().enumerate() {
            let view = &views[index % views.len()];
            let end = fleet.send(*now, view, service(number), &short_packet(number));
            prop_assert_eq!(end, End::Taken(number));
        }
    }

    /// One view that wrongly holds the owner for dead costs a hop, not the flow.
    #[test]
    fn a_balancer_that_holds_a_live_owner_for_dead_costs_a_hop(
        (draining, pressure) in standings(),
        number in 0..AGENTS,
    ) {
        let live = view(&[MemberState::Ready; AGENTS as usize]);
        let mut wrong = live.members.clone();
        wrong.get_mut(&address(number)).unwrap().state = MemberState::Dead;
        let wrong = live.next(wrong);
        let mut fleet = Fleet::new(&[live], &draining, &pressure);
        let end = fleet.send(0, &wrong, service(number), &short_packet(number));
        prop_assert_eq!(end, End::Taken(number));
    }

    /// All datagrams of an opening end at one agent, whatever the pressure does meanwhile.
    #[test]
    fn the_datagrams_of_an_opening_stay_together(
        id in prop::collection::vec(any::<u8>(), 8..16),
        pressures in prop::collection::vec(0..1500_u32, 2..12),
        (_, first) in standings(),
    ) {
        let view = view(&[MemberState::Ready; AGENTS as usize]);
        let idle = [false; AGENTS as usize];
        let mut fleet = Fleet::new(std::slice::from_ref(&view), &idle, &first);
        let home = fleet.send(0, &view, A, &initial(&id));
        for (index, pressure) in pressures.iter().enumerate() {
            for agent in &mut fleet.agents {
                agent.standing.pressure = *pressure;
            }
            let end = fleet.send(index as u64 * 500, &view, A, &initial(&id));
            prop_assert_eq!(&end, &home);
        }
    }

    /// A draining agent takes no new flow while another one is ready.
    #[test]
    fn a_draining_agent_takes_no_new_flow(
        id in prop::collection::vec(any::<u8>(), 8..16),
        draining in 0..AGENTS / 2,
    ) {
        // The balancers have not heard of the drain.
        let stale = view(&[MemberState::Ready; AGENTS as usize]);
        let mut flags = [false; AGENTS as usize];
        flags[usize::from(draining)] = true;
        let idle = [0; AGENTS as usize];
        let mut fleet = Fleet::new(std::slice::from_ref(&stale), &flags, &idle);
        let end = fleet.send(0, &stale, A, &initial(&id));
        let End::Taken(taken) = end else { panic!("{end:?}") };
        prop_assert_ne!(taken, draining);
    }

    /// A flow without an owner id stays where it is through a change of the table.
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
        let idle = [false; AGENTS as usize];
        let mut fleet = Fleet::new(std::slice::from_ref(&before), &idle, &pressure);
        let first = Flow { key: &key, opening, owner: None };
        let home = fleet.send_flow(0, &before, A, &first);
        fleet.agents[usize::from(leaving)].standing.draining = true;
        let rest = if opening == Opening::Yes { Opening::No } else { Opening::Maybe };
        let later = Flow { opening: rest, ..first };
        for (now, view) in [(1, &before), (2, &after), (3, &before), (4, &after)] {
            let end = fleet.send_flow(now, view, A, &later);
            prop_assert_eq!(&end, &home);
        }
    }
}

#[test]
fn a_dead_owner_is_reset_by_another_agent_of_the_service() {
    let mut states = [MemberState::Ready; AGENTS as usize];
    states[0] = MemberState::Dead;
    let view = view(&states);
    let idle = [false; AGENTS as usize];
    let mut fleet = Fleet::new(std::slice::from_ref(&view), &idle, &[0; AGENTS as usize]);
    let end = fleet.send(0, &view, A, &short_packet(0));
    assert!(matches!(end, End::Taken(1 | 2)), "{end:?}");
}

#[test]
fn an_address_that_serves_another_life_gets_no_flow_of_the_earlier_one() {
    let live = view(&[MemberState::Ready; AGENTS as usize]);
    let mut members = live.members.clone();
    let reused = Record {
        service: B,
        ..record(0, MemberState::Ready, 2)
    };
    members.insert(address(0), reused);
    let view = live.next(members);
    let idle = [false; AGENTS as usize];
    let mut fleet = Fleet::new(std::slice::from_ref(&view), &idle, &[0; AGENTS as usize]);
    fleet.agents[0].standing.service = B;
    let end = fleet.send(0, &view, A, &short_packet(0));
    assert!(matches!(end, End::Taken(1 | 2)), "{end:?}");
}

#[test]
fn a_packet_from_the_middle_of_an_unknown_flow_is_dropped() {
    let view = view(&[MemberState::Ready; AGENTS as usize]);
    let idle = [false; AGENTS as usize];
    let mut fleet = Fleet::new(std::slice::from_ref(&view), &idle, &[0; AGENTS as usize]);
    let flow = Flow {
        key: b"five-tuple",
        opening: Opening::No,
        owner: None,
    };
    let end = fleet.send_flow(0, &view, A, &flow);
    assert_eq!(end, End::Dropped(DropReason::UnknownFlow));
}

#[test]
fn a_busy_first_choice_hands_on_and_a_busy_second_takes() {
    let view = view(&[MemberState::Ready; AGENTS as usize]);
    let idle = [false; AGENTS as usize];
    let busy = [FORWARD_THRESHOLD; AGENTS as usize];
    let mut fleet = Fleet::new(std::slice::from_ref(&view), &idle, &busy);
    let choice = view.tables[&A].choose(A, b"a new flow").unwrap();
    let end = fleet.send(0, &view, A, &initial(b"a new flow"));
    let End::Taken(number) = end else {
        panic!("{end:?}")
    };
    assert_eq!(Some(address(number)), choice.second);
}

/// The balancer's check of the service, without the agent's behind it.
#[test]
fn balancer_alone_follows_no_owner_id_to_another_service() {
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

/// The agent's checks of the service, without the balancer's before them.
#[test]
fn agent_alone_takes_nothing_of_another_service() {
    let view = view(&[MemberState::Ready; AGENTS as usize]);
    let standing = AgentStatus {
        address: address(0),
        service: A,
        incarnation: Incarnation(1),
        draining: false,
        pressure: 0,
    };
    let wrapped = |service: ServiceTag| Header {
        caller: SocketAddr::from(([127, 0, 0, 1], 9)),
        service,
        version: 1,
        balancer: address(200),
        fallbacks: [None, None],
        hops: 0,
    };
    let now = Time::from_millis(1);
    let decide = |service: ServiceTag, packet: &[u8]| {
        let header = wrapped(service);
        FlowTable::default().decide(now, &standing, &view, &keyring(), &header, packet)
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
    let taken = FlowTable::default().decide_flow(now, &standing, &view, &wrapped(B), &flow);
    assert_eq!(taken, DatagramAction::Drop(DropReason::OtherService));
}
