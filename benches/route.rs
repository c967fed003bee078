//! Time of a balancer's routing decisions, codecs and log lines.

use std::{
    collections::BTreeMap,
    hint::black_box,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
};

use berylvalve::{
    clock::{Time, unix_ms},
    decision::{Decision, DecisionFilter, DecisionLog},
    frame::{self, Header},
    log::KeyValueFormat,
    member::{MemberState, Record, Role, View},
    owner_id::{FleetKey, Incarnation, Keyring, Owner, Purpose, ServiceTag},
    proxy_header::{self, Endpoints},
    steering,
};
use criterion::{Criterion, criterion_group, criterion_main};

const SERVICE: ServiceTag = ServiceTag(1);
/// Below and above the limit up to which tables use rendezvous hashing.
const AGENT_COUNTS: [u32; 2] = [11, 23_000];

fn keyring() -> Keyring {
    let key = FleetKey {
        id: 1,
        secret: vec![5; 16],
    };
    Keyring::new(&[key], Purpose::Connection)
}

fn address(index: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + index), 4433)
}

fn view(agents: u32) -> View {
    let mut members = BTreeMap::new();
    for index in 0..agents {
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

fn short_header_packet(keyring: &Keyring) -> Vec<u8> {
    let owner = Owner {
        address: address(3),
        service: SERVICE,
        incarnation: Incarnation(1),
    };
    let mut datagram = vec![0x40];
    datagram.extend_from_slice(&keyring.encrypt(&owner, 9));
    datagram.resize(1100, 7);
    datagram
}

fn initial_packet() -> Vec<u8> {
    let mut datagram = vec![0xC0, 0, 0, 0, 1, 20];
    datagram.extend_from_slice(&[9; 20]);
    datagram.resize(1200, 0);
    datagram
}

fn routing(c: &mut Criterion) {
    let keyring = keyring();
    let (established, initial) = (short_header_packet(&keyring), initial_packet());
    for agents in AGENT_COUNTS {
        let view = view(agents);
        c.bench_function(&format!("route established, {agents} servers"), |b| {
            b.iter(|| steering::steer(&view, &keyring, SERVICE, black_box(&established)));
        });
        c.bench_function(&format!("place new, {agents} servers"), |b| {
            b.iter(|| steering::steer(&view, &keyring, SERVICE, black_box(&initial)));
        });
    }
}

fn codecs(c: &mut Criterion) {
    let payload = short_header_packet(&keyring());
    let caller = SocketAddr::from(([10, 0, 0, 7], 4000));
    let endpoints = Endpoints {
        source: caller,
        destination: SocketAddr::from(([10, 9, 9, 9], 443)),
    };
    let mut buffer = Vec::with_capacity(4096);
    proxy_header::encode(endpoints, &payload, &mut buffer);
    let wrapped = buffer.clone();
    c.bench_function("read PROXY header", |b| {
        b.iter(|| proxy_header::decode(black_box(&wrapped)));
    });
    c.bench_function("write PROXY header", |b| {
        b.iter(|| proxy_header::encode(black_box(endpoints), &payload, &mut buffer));
    });
    let header = Header {
        caller,
        service: SERVICE,
        version: 7,
        balancer: address(1),
        fallbacks: [None, None],
        hops: 0,
    };
    c.bench_function("write frame", |b| {
        b.iter(|| frame::encode(black_box(&header), &payload, &mut buffer));
    });
    let framed = buffer.clone();
    c.bench_function("read frame", |b| {
        b.iter(|| frame::decode::<Header>(black_box(&framed)).map(|(h, _)| h));
    });
    // The connection id follows the first byte of the packet.
    let mut filter = DecisionFilter::default();
    c.bench_function("filter decision", |b| {
        b.iter(|| filter.check(black_box(&payload[1..18]), Time(1)));
    });
}

fn logging(c: &mut Criterion) {
    tracing_subscriber::fmt()
        .event_format(KeyValueFormat)
        .with_writer(std::io::sink)
        .init();
    let decisions = DecisionLog::default();
    let decision = Decision {
        unix_ms: unix_ms(),
        event: "routed".to_owned(),
        caller: SocketAddr::from(([10, 0, 0, 7], 4000)),
        service: SERVICE,
        chosen: Some(address(1).into()),
        second: Some(address(2)),
        version: 7,
        reason: "placed".to_owned(),
        request: None,
    };
    c.bench_function("log decision", |b| {
        b.iter(|| decisions.record(black_box(decision.clone())));
    });
}

criterion_group!(benches, routing, codecs, logging);
criterion_main!(benches);
