//! Directives at balancers and agents: readiness, exchange with peers, and silence where the settings do
//! not ask for them.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        agent::{Agent, AgentOptions},
        balancer::{Balancer, BalancerOptions},
        directives::StoredDirectives,
        message::{self, Message, Received},
        outbox::Outbox,
        routes::{Route, RouteTable, ServiceKey, Target},
    },
    member::{MemberState, Record, Role, View},
    owner_id::{Incarnation, ServiceTag},
    store::Position,
};

use crate::codec::{OPENING, TestCodec, flow};

const BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001);
const AGENT: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7001);
const SERVER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 8080);

/// Frames to other processes, by receiver.
#[derive(Default)]
struct Frames(Vec<(SocketAddrV4, Vec<u8>)>);

impl Outbox for Frames {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        self.0.push((peer, frame.to_vec()));
    }

    fn to_caller(&mut self, _: SocketAddrV4, _: &[u8]) {}

    fn to_server(&mut self, _: &[u8]) {}
}

fn record(address: SocketAddrV4, role: Role) -> Record {
    Record {
        address,
        control: address,
        incarnation: Incarnation(1),
        domain: "a".into(),
        role,
        service: match role {
            Role::Agent => ServiceKey::of("desk").tag(),
            Role::Balancer => ServiceTag(0),
        },
        state: MemberState::Ready,
        weight: 100,
        version: 0,
        revision: 0,
    }
}

fn view() -> View {
    let base = View {
        joined: true,
        ..View::default()
    };
    base.next(BTreeMap::from([
        (BALANCER, record(BALANCER, Role::Balancer)),
        (AGENT, record(AGENT, Role::Agent)),
    ]))
}

fn balancer() -> Balancer<TestCodec> {
    let options = BalancerOptions {
        address: BALANCER,
        domain: "a".into(),
        link_rate: 1_250_000,
    };
    Balancer::new(TestCodec, &options, 1)
}

fn agent() -> Agent<TestCodec> {
    let options = AgentOptions {
        domain: "a".into(),
        service: ServiceKey::of("desk"),
        server_address: SERVER,
        report_interval: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(60),
        max_lifetime: Duration::from_secs(60),
        max_flows: 100,
        address: AGENT,
    };
    Agent::new(TestCodec, options, Time::default())
}

fn routes() -> Arc<RouteTable> {
    Arc::new(RouteTable {
        version: 1,
        idle_ms: 15_000,
        routes: HashMap::new(),
    })
}

fn read(revision: u64) -> StoredDirectives {
    let position = Position { era: 0, revision };
    StoredDirectives {
        position,
        evacuated: BTreeMap::from([("a".to_owned(), position)]),
        cold_rates: Some(BTreeMap::new()),
        version: 1,
    }
}

/// Calls `tick` every 10 ms until `end`.
fn run(from: u64, end: u64, mut tick: impl FnMut(Time)) {
    for millis in (from..end).step_by(10) {
        tick(Time::from_millis(millis));
    }
}

fn is_directives(frame: &[u8]) -> bool {
    let received = message::decode(AGENT, frame).unwrap();
    matches!(received.message, Message::Directives { .. })
}

/// A balancer that takes flows before it knows the directives would place them on evacuated domains;
/// one that waits for ever would never take flows while the store is down.
#[test]
fn balancer_is_ready_with_a_document_or_three_seconds_after_its_routes() {
    let mut out = Frames::default();
    let mut balancer = balancer().with_directives();
    run(0, 5_000, |now| balancer.tick(now, &mut out));
    balancer.apply_routes(routes());
    balancer.apply_view(&view(), Time::from_millis(5_000), &mut out);
    run(5_000, 7_990, |now| {
        balancer.tick(now, &mut out);
        assert!(!balancer.can_serve(now), "{now:?}");
    });
    let mut waiting = balancer;
    run(7_990, 8_100, |now| waiting.tick(now, &mut out));
    assert!(waiting.can_serve(Time::from_millis(8_100)));

    let mut balancer = self::balancer().with_directives();
    let now = Time::from_millis(1_000);
    balancer.apply_routes(routes());
    balancer.apply_view(&view(), now, &mut out);
    balancer.tick(now, &mut out);
    assert!(!balancer.can_serve(now));
    balancer.apply_stored_directives(&read(7), now, &mut out);
    assert!(balancer.can_serve(now));
    assert!(balancer.directives().is_evacuated("a"));
    assert_eq!(balancer.metrics().evacuated.get(), 1);
}

/// After a loss of power, openings may arrive before the balancer is ready. Placed without directives,
/// they could reach an evacuated domain, whose agents have just started too.
#[test]
fn opening_waits_for_directives_and_is_placed_once_they_arrive() {
    let route = Route {
        name: "r".into(),
        idempotent: true,
        priority: 1,
        target_ms: 100,
        timeout_ms: 0,
        targets: vec![Target {
            service: ServiceKey::of("desk"),
            weight: 1,
        }],
    };
    let table = Arc::new(RouteTable {
        version: 1,
        idle_ms: 15_000,
        routes: HashMap::from([(flow(0).address, route)]),
    });
    let is_open = |(_, frame): &(SocketAddrV4, Vec<u8>)| {
        let received = message::decode(AGENT, frame).unwrap();
        matches!(received.message, Message::Open { .. })
    };
    let mut balancer = balancer().with_directives();
    let mut out = Frames::default();
    // The routes arrive after the time for which a start takes at most without directives.
    run(0, 4_000, |now| balancer.tick(now, &mut out));
    let now = Time::from_millis(4_000);
    balancer.apply_routes(table);
    balancer.apply_view(&view(), now, &mut out);
    balancer.receive_from_caller(&[OPENING, 1, 0], now, &mut out);
    run(4_000, 4_500, |now| balancer.tick(now, &mut out));
    assert!(!out.0.iter().any(is_open));
    let now = Time::from_millis(4_500);
    let empty = StoredDirectives {
        evacuated: BTreeMap::new(),
        ..read(7)
    };
    balancer.apply_stored_directives(&empty, now, &mut out);
    balancer.tick(now, &mut out);
    assert!(out.0.iter().any(is_open));
}

/// Fleets whose settings do not ask for directives must work as before.
#[test]
fn nothing_is_sent_awaited_or_accepted_without_the_settings() {
    let mut out = Frames::default();
    let now = Time::from_millis(1_000);
    let mut balancer = balancer();
    balancer.apply_routes(routes());
    balancer.apply_view(&view(), now, &mut out);
    assert!(balancer.can_serve(now));
    balancer.apply_stored_directives(&read(7), now, &mut out);
    let mut agent = agent();
    agent.apply_view(&view());
    let mut donor = self::balancer().with_directives();
    let mut document = Frames::default();
    donor.apply_view(&view(), now, &mut document);
    donor.apply_stored_directives(&read(7), now, &mut document);
    donor.tick(now, &mut document);
    assert!(document.0.iter().any(|(_, frame)| is_directives(frame)));
    for (_, frame) in &document.0 {
        let received = message::decode(BALANCER, frame).unwrap();
        balancer.receive_from_peer(&received, now, &mut out);
        agent.receive_from_peer(&received, now, &mut out);
    }
    run(1_000, 6_000, |now| {
        balancer.tick(now, &mut out);
        agent.tick(now, &mut out);
    });
    assert!(out.0.iter().all(|(_, frame)| !is_directives(frame)));
    assert!(!balancer.directives().is_evacuated("a"));
    assert!(!agent.directives().is_evacuated("a"));
}

/// The agents of a domain refuse flows themselves, so they need the document although they do not read
/// the store. A process that only sends directives must not get load reports.
#[test]
fn agent_takes_the_document_of_a_balancer_and_sends_it_no_load_reports() {
    let mut to_agent = Frames::default();
    let mut to_balancer = Frames::default();
    let now = Time::from_millis(1_000);
    let mut balancer = balancer().with_directives();
    balancer.apply_view(&view(), now, &mut to_agent);
    balancer.apply_stored_directives(&read(7), now, &mut to_agent);
    let mut agent = agent().with_directives();
    agent.apply_view(&view());
    run(1_000, 3_000, |now| {
        balancer.tick(now, &mut to_agent);
        for (to, frame) in std::mem::take(&mut to_agent.0) {
            assert_eq!(to, AGENT);
            let received = message::decode(BALANCER, &frame).unwrap();
            agent.receive_from_peer(&received, now, &mut to_balancer);
        }
        agent.tick(now, &mut to_balancer);
        for (to, frame) in std::mem::take(&mut to_balancer.0) {
            assert_eq!(to, BALANCER);
            let received = message::decode(AGENT, &frame).unwrap();
            assert!(
                matches!(received.message, Message::Directives { .. }),
                "{received:?}"
            );
            balancer.receive_from_peer(&received, now, &mut to_agent);
        }
    });
    assert!(agent.directives().is_evacuated("a"));
    assert_eq!(agent.metrics().evacuated.get(), 1);
}

/// The loops call `tick` when it is due, so an agent must ask for directives when it learns of members,
/// not with the next load report.
#[test]
fn agent_is_due_at_once_when_it_learns_of_members() {
    let mut out = Frames::default();
    let mut agent = agent().with_directives();
    let now = Time::from_millis(1_000);
    agent.tick(now, &mut out);
    assert!(agent.due() > now);
    agent.apply_view(&view());
    assert!(agent.due() <= now);
    agent.tick(now, &mut out);
    let asked = out
        .0
        .iter()
        .filter(|(to, frame)| *to == BALANCER && is_directives(frame));
    assert_eq!(asked.count(), 1);
    assert!(agent.due() > now);
}

/// A document that reaches an agent with another position in its header must not panic it.
#[test]
fn contradicting_header_has_no_effect() {
    let mut agent = agent().with_directives();
    let received = Received {
        from: BALANCER,
        message: Message::Directives {
            position: Position {
                era: u64::MAX,
                revision: u64::MAX,
            },
        },
        datagram: &[0x80],
    };
    agent.receive_from_peer(&received, Time::default(), &mut Frames::default());
    assert!(agent.directives().evacuated.is_empty());
}

/// Guards against openings that are delayed at cold servers after a loss of power, when no agent has
/// directives yet: the agent asks the balancer that places a flow on it, which has them.
#[test]
fn agent_without_directives_asks_the_balancer_that_places_a_flow() {
    let mut agent = agent().with_directives();
    let mut sent = Frames::default();
    let open = Message::Open {
        service: ServiceKey::of("desk"),
        forced: false,
        priority: 1,
        target_ms: 300,
        left_ms: None,
    };
    let received = Received {
        from: BALANCER,
        message: open,
        datagram: &[OPENING, 1, 0],
    };
    agent.receive_from_peer(&received, Time::from_millis(1), &mut sent);
    let asked = |sent: &Frames| {
        let frames = sent.0.iter();
        let asked = frames.filter(|(peer, frame)| *peer == BALANCER && is_directives(frame));
        asked.count()
    };
    assert_eq!(asked(&sent), 1);
    agent.receive_from_peer(&received, Time::from_millis(2), &mut sent);
    assert_eq!(asked(&sent), 1, "asked again within a round trip");
}

/// Guards against an event loop that spins: a balancer that has read the store before it knows any member
/// has nobody to send the document to.
#[test]
fn balancer_that_knows_nobody_has_no_push_that_is_due() {
    let mut out = Frames::default();
    let mut balancer = balancer().with_directives();
    let now = Time::from_millis(1_000);
    balancer.tick(now, &mut out);
    balancer.apply_stored_directives(&read(7), now, &mut out);
    balancer.tick(now, &mut out);
    assert!(balancer.due() > now);
    balancer.apply_view(&view(), now, &mut out);
    balancer.tick(now, &mut out);
    assert!(out.0.iter().any(|(_, frame)| is_directives(frame)));
}
