//! Return of load to a failure domain after its evacuation: several balancers, whose load reports are
//! 200 ms old, and agents with a queue, without a network.

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
        directives::Directives,
        message::{self, Message, Received, Refusal},
        outbox::Outbox,
        routes::{Route, RouteTable, ServiceKey, Target},
        segment::{Codec, Flags, FlowKey, Segment},
        workload::Load,
    },
    member::{MemberState, Record, Role, View},
    owner_id::Incarnation,
    store::Position,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const DOMAINS: [&str; 3] = ["a", "b", "c"];
const EVACUATED: usize = 2;
const BALANCERS: usize = 9;
const AGENTS: usize = 12;
const SLOTS: u16 = 4;
const WORK_MS: u64 = 20;
/// Time for which a flow stays open after its answer.
const LINGER_MS: u64 = 100;
const REPORT_MS: u64 = 200;
const BUCKET_MS: u64 = 100;
const START_MS: u64 = 10_000;
const EVACUATION_MS: u64 = 12_000;
const RETURN_MS: u64 = 15_000;
const END_MS: u64 = 25_000;
const RAMP_MS: u64 = 5_000;

/// A codec of openings that hold the number of their flow.
#[derive(Clone)]
struct NumberCodec;

fn flow(number: u32) -> FlowKey {
    let host = Ipv4Addr::from(0x6440_0000 + number / 10_000);
    FlowKey {
        caller: SocketAddrV4::new(host, 1 + (number % 10_000) as u16),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

impl Codec for NumberCodec {
    fn read(&self, datagram: &[u8]) -> Option<Segment> {
        let flow = flow(u32::from_le_bytes(datagram.try_into().ok()?));
        Some(Segment {
            source: flow.caller,
            destination: flow.address,
            sequence: 0,
            acknowledged: 0,
            length: 0,
            flags: Flags {
                syn: true,
                ..Flags::default()
            },
            mark: 0,
        })
    }

    fn opening_age(&self, _: &Segment) -> Duration {
        Duration::ZERO
    }

    fn mark(&self, _: &mut [u8], _: u32) {}

    fn reset(&self, _: &FlowKey, _: u32, _: &mut Vec<u8>) {}

    fn reports_failure(&self, _: &[u8]) -> Option<bool> {
        None
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }
}

/// Frames to agents, and the number of resets.
#[derive(Default)]
struct Sent {
    frames: Vec<(SocketAddrV4, Vec<u8>)>,
    resets: usize,
}

impl Outbox for Sent {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        self.frames.push((peer, frame.to_vec()));
    }

    fn to_caller(&mut self, _: SocketAddrV4, _: &[u8]) {
        self.resets += 1;
    }

    fn to_server(&mut self, _: &[u8]) {}
}

/// An agent with its server: end of each admitted request, in milliseconds.
#[derive(Clone, Default)]
struct Server {
    ends: Vec<u64>,
}

impl Server {
    fn load(&self, now: u64) -> Load {
        let busy = self.ends.iter().filter(|end| **end > now).count();
        let flows = self
            .ends
            .iter()
            .filter(|end| **end + LINGER_MS > now)
            .count();
        Load {
            slots: SLOTS,
            busy: busy as u16,
            flows: flows as u16,
            work_us: 1_000 * WORK_MS as u32,
            failing: false,
        }
    }

    fn admit(&mut self, now: u64, forced: bool) -> bool {
        self.ends.retain(|end| *end + LINGER_MS > now);
        let mut busy: Vec<u64> = self.ends.iter().copied().filter(|end| *end > now).collect();
        if busy.len() >= usize::from(SLOTS) && !forced {
            return false;
        }
        busy.sort_unstable();
        let queued = busy.len().checked_sub(usize::from(SLOTS));
        let start = queued.map_or(now, |queued| busy[queued]);
        self.ends.push(start + WORK_MS);
        true
    }
}

fn agent_address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index as u8), 7001)
}

fn view() -> View {
    let mut members = BTreeMap::new();
    for index in 0..AGENTS {
        let address = agent_address(index);
        let record = Record {
            address,
            control: address,
            incarnation: Incarnation(1),
            domain: DOMAINS[index % DOMAINS.len()].into(),
            role: Role::Agent,
            service: ServiceKey::of("desk").tag(),
            state: MemberState::Ready,
            weight: 100,
            version: 0,
            revision: 0,
        };
        members.insert(address, record);
    }
    let base = View {
        joined: true,
        ..View::default()
    };
    base.next(members)
}

fn balancer(index: usize, seed: u64) -> Balancer<NumberCodec> {
    let options = BalancerOptions {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index as u8), 7001),
        domain: DOMAINS[index % DOMAINS.len()].into(),
        link_rate: 1_250_000,
    };
    let route = Route {
        name: "r".into(),
        idempotent: true,
        priority: 1,
        target_ms: 300,
        timeout_ms: 0,
        targets: vec![Target {
            service: ServiceKey::of("desk"),
            weight: 1,
        }],
    };
    let mut balancer = Balancer::new(NumberCodec, &options, seed + index as u64);
    balancer.apply_routes(Arc::new(RouteTable {
        version: 1,
        idle_ms: 15_000,
        routes: HashMap::from([(flow(0).address, route)]),
    }));
    balancer
}

struct World {
    balancers: Vec<Balancer<NumberCodec>>,
    servers: Vec<Server>,
    /// Loads at the last report, which arrive with the next one.
    reports: Vec<Load>,
    /// Flows that each domain's servers got in each interval of `BUCKET_MS`.
    placed: [Vec<u32>; 3],
    resets: usize,
}

impl World {
    /// Runs `per_s` openings a second until `END_MS`; the domain is evacuated from `EVACUATION_MS` to
    /// `RETURN_MS`.
    fn run(per_s: u32, seed: u64) -> Self {
        let buckets = ((END_MS - START_MS) / BUCKET_MS) as usize;
        let mut world = Self {
            balancers: (0..BALANCERS).map(|index| balancer(index, seed)).collect(),
            servers: vec![Server::default(); AGENTS],
            reports: vec![Server::default().load(0); AGENTS],
            placed: std::array::from_fn(|_| vec![0; buckets]),
            resets: 0,
        };
        let view = view();
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut number = 0;
        for millis in START_MS..END_MS {
            let now = Time::from_millis(millis);
            for balancer in &mut world.balancers {
                let mut sent = Sent::default();
                match millis {
                    START_MS => balancer.apply_view(&view, now, &mut sent),
                    EVACUATION_MS => balancer.apply_directives(&evacuation(), now, &mut sent),
                    RETURN_MS => balancer.apply_directives(&Arc::default(), now, &mut sent),
                    _ => {}
                }
                balancer.tick(now, &mut sent);
            }
            if millis % REPORT_MS == 0 {
                world.report(millis);
            }
            let whole = per_s / 1_000;
            let arrivals = whole + u32::from(rng.random_range(0..1_000) < per_s % 1_000);
            for _ in 0..arrivals {
                number += 1;
                world.open(rng.random_range(0..BALANCERS), number, millis);
            }
        }
        world
    }

    fn open(&mut self, index: usize, number: u32, millis: u64) {
        let now = Time::from_millis(millis);
        let mut sent = Sent::default();
        let datagram = number.to_le_bytes();
        self.balancers[index].receive_from_caller(&datagram, now, &mut sent);
        while let Some((peer, frame)) = sent.frames.pop() {
            let Message::Open { forced, .. } = message::decode(peer, &frame).unwrap().message
            else {
                continue;
            };
            let agent = usize::from(peer.ip().octets()[3]);
            let admitted = self.servers[agent].admit(millis, forced);
            let load = self.servers[agent].load(millis);
            let message = match admitted {
                true => Message::Opened {
                    flow: flow(number),
                    initial: 0,
                    load,
                },
                false => Message::Refused {
                    refusal: Refusal::Busy,
                    load,
                },
            };
            let bucket = ((millis - START_MS) / BUCKET_MS) as usize;
            self.placed[agent % DOMAINS.len()][bucket] += u32::from(admitted);
            let received = Received {
                from: peer,
                message,
                datagram: &datagram,
            };
            self.balancers[index].receive_from_peer(&received, now, &mut sent);
        }
        self.resets += sent.resets;
    }

    fn report(&mut self, millis: u64) {
        let now = Time::from_millis(millis);
        for (agent, server) in self.servers.iter().enumerate() {
            let earlier = std::mem::replace(&mut self.reports[agent], server.load(millis));
            for balancer in &mut self.balancers {
                let received = Received {
                    from: agent_address(agent),
                    message: Message::LoadReport(earlier),
                    datagram: &[],
                };
                balancer.receive_from_peer(&received, now, &mut Sent::default());
            }
        }
    }

    /// Returns the flows that the evacuated domain gets from `start` to `end`.
    fn returned(&self, start: u64, end: u64) -> u32 {
        let bucket = |millis: u64| ((millis - START_MS) / BUCKET_MS) as usize;
        self.placed[EVACUATED][bucket(start)..bucket(end)]
            .iter()
            .sum()
    }
}

fn evacuation() -> Arc<Directives> {
    Arc::new(Directives {
        evacuated: BTreeMap::from([(DOMAINS[EVACUATED].to_owned(), Position::START)]),
        ..Directives::default()
    })
}

/// Openings a second: a quarter, half and nine tenths of what two of the three domains can serve.
const RATES: [u32; 3] = [400, 800, 1_440];

/// Standard deviations by which an interval may differ from the expected number of flows.
const MAX_DEVIATIONS: f64 = 5.0;

/// Guards against a herd on the returning domain, and against balancers that all send their flows there
/// and away again from one report to the next.
#[test]
fn load_returns_along_the_ramp_without_a_herd_or_oscillation() {
    for (per_s, seed) in RATES.into_iter().zip(1..) {
        let world = World::run(per_s, seed);
        assert_eq!(world.resets, 0, "{per_s} openings a second");
        assert_eq!(world.returned(EVACUATION_MS, RETURN_MS), 0);
        let before = world.returned(START_MS, EVACUATION_MS);
        let usual = f64::from(before) * BUCKET_MS as f64 / (EVACUATION_MS - START_MS) as f64;
        for start in (RETURN_MS..END_MS).step_by(BUCKET_MS as usize) {
            let placed = f64::from(world.returned(start, start + BUCKET_MS));
            let progress = (start + BUCKET_MS - RETURN_MS) as f64 / RAMP_MS as f64;
            let expected = usual * progress.min(1.0);
            let deviation = MAX_DEVIATIONS * (expected + 1.0).sqrt();
            let at = format!("{per_s}/s: {placed} at {start} ms, expected {expected:.1}");
            assert!(placed <= expected + deviation, "{at}");
            // While the ramp lasts, a balancer of another domain keeps more flows there.
            let least = if progress < 1.0 {
                expected / 2.0
            } else {
                expected
            };
            assert!(placed >= least - deviation, "{at}");
        }
    }
}

/// Guards against a herd at the end of an evacuation during which the other domains could not carry the
/// load: their queues are full, and each balancer sees idle servers.
#[test]
fn overloaded_fleet_does_not_send_a_herd_to_the_returning_domain() {
    let world = World::run(1_900, 1);
    assert_eq!(world.returned(EVACUATION_MS, RETURN_MS), 0);
    let before = world.returned(START_MS, EVACUATION_MS);
    let usual_per_s = before * 1_000 / (EVACUATION_MS - START_MS) as u32;
    let first_second = world.returned(RETURN_MS, RETURN_MS + 1_000);
    assert!(
        first_second < usual_per_s / 2,
        "{first_second} of {usual_per_s}"
    );
    // The backlog of the other domains comes back as additional load.
    for start in (RETURN_MS..END_MS).step_by(500) {
        let placed = world.returned(start, start + 500);
        assert!(
            placed < usual_per_s,
            "{placed} at {start} ms, usual {usual_per_s}/s"
        );
    }
}
