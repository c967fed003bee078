//! Forwarding a segment of a known flow allocates nothing.

use std::{
    alloc::System,
    collections::HashMap,
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
    member::KnownAgents,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SEGMENT_COUNT: u32 = 10_000;

const FLOW: FlowKey = FlowKey {
    caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), 40_000),
    address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
};

/// A codec that reads every datagram as a segment of the same flow.
#[derive(Clone)]
struct SingleFlowCodec;

impl Codec for SingleFlowCodec {
    fn read(&self, datagram: &[u8]) -> Option<Segment> {
        Some(Segment {
            source: FLOW.caller,
            destination: FLOW.address,
            sequence: 1,
            acknowledged: 1,
            length: datagram.len() as u16,
            flags: Flags::default(),
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

#[derive(Default)]
struct CountingOutbox(u32);

impl Outbox for CountingOutbox {
    fn to_peer(&mut self, _: SocketAddrV4, _: &[u8]) {
        self.0 += 1;
    }

    fn to_caller(&mut self, _: SocketAddrV4, _: &[u8]) {}

    fn to_server(&mut self, _: &[u8]) {}
}

#[test]
fn segment_of_a_known_flow_is_forwarded_without_allocation() {
    let options = BalancerOptions {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7001),
        domain: "a".into(),
        link_rate: 1_250_000,
    };
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
    let mut balancer = Balancer::new(SingleFlowCodec, &options, 1);
    balancer.apply_routes(Arc::new(RouteTable {
        version: 1,
        idle_ms: 15_000,
        routes: HashMap::from([(FLOW.address, route)]),
    }));
    let now = Time::from_millis(5_000);
    let segment = [7; 936];
    let mut out = CountingOutbox::default();
    balancer.receive_from_caller(&segment, now, &mut out);
    let found = Received {
        from: SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 1), 7001),
        message: Message::Found {
            flow: FLOW,
            ownership: Ownership::Held,
            agents: KnownAgents::default(),
        },
        datagram: &[],
    };
    balancer.receive_from_peer(&found, now, &mut out);
    out.0 = 0;
    let region = Region::new(ALLOCATOR);
    for _ in 0..SEGMENT_COUNT {
        balancer.receive_from_caller(&segment, now, &mut out);
    }
    assert_eq!(region.change().allocations, 0);
    assert_eq!(out.0, SEGMENT_COUNT);
}
