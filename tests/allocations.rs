//! Routing a datagram must make no heap allocation, as the balancer routes every datagram.

use std::{
    alloc::System,
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use berylvalve::{
    frame::{self, Header},
    member::{MemberState, Record, Role, View},
    owner_id::{FleetKey, Incarnation, Keyring, Owner, Purpose, ServiceTag},
    proxy_header::{self, Endpoints},
    steering,
};
use stats_alloc::{INSTRUMENTED_SYSTEM, Region, StatsAlloc};

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SERVICE: ServiceTag = ServiceTag(1);
const AGENTS: u32 = 11;
const ROUNDS: usize = 100;

fn address(index: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + index), 4433)
}

fn view() -> View {
    let mut members = BTreeMap::new();
    for index in 0..AGENTS {
        let record = Record {
            address: address(index),
            control: address(index),
            incarnation: Incarnation(1),
            domain: "nk-a".to_owned(),
            role: Role::Agent,
            service: SERVICE,
            state: MemberState::Ready,
            weight: 100,
            version: 0,
            revision: 0,
        };
        members.insert(record.address, record);
    }
    View::default().next(members)
}

#[test]
fn routing_a_datagram_makes_no_heap_allocation() {
    let key = FleetKey {
        id: 1,
        secret: vec![5; 16],
    };
    let keyring = Keyring::new(&[key], Purpose::Connection);
    let owner = Owner {
        address: address(3),
        service: SERVICE,
        incarnation: Incarnation(1),
    };
    let mut established = vec![0x40];
    established.extend_from_slice(&keyring.encrypt(&owner, 9));
    established.resize(1100, 7);
    let mut opening = vec![0xC0, 0, 0, 0, 1, 20];
    opening.resize(1200, 9);
    let view = view();
    let endpoints = Endpoints {
        source: SocketAddr::from(([10, 0, 0, 7], 4000)),
        destination: SocketAddr::from(([10, 9, 9, 9], 443)),
    };
    for payload in [established, opening] {
        let mut proxied = Vec::new();
        proxy_header::encode(endpoints, &payload, &mut proxied);
        let mut buffer = Vec::with_capacity(4096);
        let region = Region::new(ALLOCATOR);
        for _ in 0..ROUNDS {
            let (endpoints, payload) = proxy_header::decode(&proxied).unwrap();
            let route = steering::steer(&view, &keyring, SERVICE, payload).unwrap();
            let header = Header {
                caller: endpoints.source,
                service: SERVICE,
                version: route.version,
                balancer: address(1),
                fallbacks: route.fallbacks,
                hops: 0,
            };
            frame::encode(&header, payload, &mut buffer).unwrap();
        }
        assert_eq!(region.change().allocations, 0);
    }
}
