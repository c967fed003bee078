//! Time that a balancer takes for one segment, by the number of agents.

use std::{
    collections::{BTreeMap, HashMap},
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        balancer::{Balancer, BalancerOptions},
        message::{Message, Ownership, Received},
        outbox::Outbox,
        routes::{Route, RouteTable, ServiceKey, Target},
        segment::{Codec, Flags, FlowKey, Segment},
    },
    member::{KnownAgents, MemberState, Record, Role, View},
    owner_id::Incarnation,
};
use criterion::{Criterion, criterion_group, criterion_main};

const FLEET_SIZES: [u32; 2] = [11, 23_000];

/// Agents of one service in the larger fleet.
const SERVICE_AGENTS: u32 = 11;

/// Length of a segment with its header.
const SEGMENT_BYTES: usize = 936;

const OPENING: u8 = 1;

/// Number of new flows after which the time advances and earlier flows expire.
const FLOWS_PER_ROUND: u32 = 10_000;

/// A codec for datagrams that begin with a kind and the IPv4 address of the caller.
#[derive(Clone)]
struct HeaderCodec;

impl Codec for HeaderCodec {
    fn read(&self, datagram: &[u8]) -> Option<Segment> {
        let header = datagram.get(..5)?;
        let caller = Ipv4Addr::new(header[1], header[2], header[3], header[4]);
        Some(Segment {
            source: SocketAddrV4::new(caller, 40_000),
            destination: address(),
            sequence: 1,
            acknowledged: 1,
            length: 900,
            flags: Flags {
                syn: header[0] == OPENING,
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

/// Drops all datagrams.
struct NullOutbox;

impl Outbox for NullOutbox {
    fn to_peer(&mut self, _: SocketAddrV4, frame: &[u8]) {
        black_box(frame);
    }

    fn to_caller(&mut self, _: SocketAddrV4, datagram: &[u8]) {
        black_box(datagram);
    }

    fn to_server(&mut self, _: &[u8]) {}
}

fn address() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443)
}

fn agent(index: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + index), 7001)
}

fn balancer(agents: u32) -> Balancer<HeaderCodec> {
    let mut members = BTreeMap::new();
    for index in 0..agents {
        let service = format!("service-{}", index / SERVICE_AGENTS);
        let record = Record {
            address: agent(index),
            control: agent(index),
            incarnation: Incarnation(1),
            domain: format!("domain-{}", index % 10),
            role: Role::Agent,
            service: ServiceKey::of(&service).tag(),
            state: MemberState::Ready,
            weight: 100,
            version: 0,
            revision: 0,
        };
        members.insert(record.address, record);
    }
    let route = Route {
        name: "r".into(),
        idempotent: true,
        priority: 1,
        target_ms: 250,
        timeout_ms: 0,
        targets: vec![Target {
            service: ServiceKey::of("service-0"),
            weight: 1,
        }],
    };
    let options = BalancerOptions {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 255, 0, 1), 7001),
        domain: "domain-0".into(),
        link_rate: 125_000_000,
    };
    let mut balancer = Balancer::new(HeaderCodec, &options, 1);
    balancer.apply_routes(Arc::new(RouteTable {
        version: 1,
        idle_ms: 15_000,
        routes: HashMap::from([(address(), route)]),
    }));
    let view = View::default().next(members);
    balancer.apply_view(&view, Time::default(), &mut NullOutbox);
    balancer
}

/// Writes the header of a segment of a caller.
fn write_header(segment: &mut [u8], kind: u8, caller: u32) {
    segment[0] = kind;
    segment[1..5].copy_from_slice(&caller.to_be_bytes());
}

/// Passes segments to a balancer, each with the next caller address.
struct NewFlows {
    balancer: Balancer<HeaderCodec>,
    caller: u32,
    now: Time,
    segment: Vec<u8>,
}

impl NewFlows {
    fn new(agents: u32) -> Self {
        Self {
            balancer: balancer(agents),
            caller: 0,
            now: Time::from_millis(5_000),
            segment: vec![0; SEGMENT_BYTES],
        }
    }

    fn receive_next(&mut self, kind: u8) {
        self.caller += 1;
        if self.caller.is_multiple_of(FLOWS_PER_ROUND) {
            self.now = self.now + Duration::from_secs(30);
            self.balancer.tick(self.now, &mut NullOutbox);
        }
        write_header(&mut self.segment, kind, self.caller);
        self.balancer
            .receive_from_caller(&self.segment, self.now, &mut NullOutbox);
    }
}

fn segments(c: &mut Criterion) {
    for agents in FLEET_SIZES {
        let now = Time::from_millis(5_000);
        let mut with_flow = balancer(agents);
        let mut segment = vec![0; SEGMENT_BYTES];
        write_header(&mut segment, 0, 7);
        with_flow.receive_from_caller(&segment, now, &mut NullOutbox);
        let flow = HeaderCodec
            .read(&segment)
            .expect("a segment")
            .flow_of_caller();
        let found = Received {
            from: agent(3),
            message: Message::Found {
                flow,
                ownership: Ownership::Held,
                agents: KnownAgents::default(),
            },
            datagram: &[],
        };
        with_flow.receive_from_peer(&found, now, &mut NullOutbox);
        c.bench_function(&format!("known flow, {agents} agents"), |b| {
            b.iter(|| with_flow.receive_from_caller(black_box(&segment), now, &mut NullOutbox));
        });
        for (name, kind) in [("unknown flow", 0), ("opening", OPENING)] {
            let mut flows = NewFlows::new(agents);
            c.bench_function(&format!("{name}, {agents} agents"), |b| {
                b.iter(|| flows.receive_next(black_box(kind)));
            });
        }
    }
}

criterion_group!(benches, segments);
criterion_main!(benches);
