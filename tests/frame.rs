//! Codecs of the datagrams between fabric, balancers and agents.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use berylvalve::{
    frame::{self, Header},
    owner_id::ServiceTag,
    proxy_header::{self, Endpoints},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn seeded_runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

fn header(caller: SocketAddr, fallback: Option<SocketAddrV4>) -> Header {
    Header {
        caller,
        service: ServiceTag(3),
        version: 9,
        balancer: SocketAddrV4::new(Ipv4Addr::new(10, 200, 0, 255), 65535),
        fallbacks: [fallback, None],
        hops: 1,
    }
}

#[test]
fn a_decoded_frame_equals_the_encoded_one() {
    let strategy = (any::<SocketAddr>(), any::<[u8; 4]>(), any::<Vec<u8>>());
    let result = seeded_runner().run(&strategy, |(caller, ip, payload)| {
        // The flow label and scope id of an IPv6 address have no meaning on another VM.
        let caller = SocketAddr::new(caller.ip(), caller.port());
        let fallback = SocketAddrV4::new(Ipv4Addr::from(ip), 443);
        let sent = header(caller, Some(fallback));
        let mut buffer = Vec::new();
        frame::encode(&sent, &payload, &mut buffer).unwrap();
        let (received, decoded_payload) = frame::decode::<Header>(&buffer).unwrap();
        prop_assert_eq!(received, sent);
        prop_assert_eq!(decoded_payload, payload.as_slice());
        Ok(())
    });
    result.unwrap();
}

/// Guards against variable-length encodings of addresses: frames of different size cannot be sent in
/// one batch.
#[test]
fn header_size_does_not_depend_on_the_ipv4_addresses() {
    let mut sizes = Vec::new();
    for ip in [[1, 2, 3, 4], [10, 255, 0, 200], [255, 255, 255, 255]] {
        let mut buffer = Vec::new();
        let caller = SocketAddr::from((ip, u16::from(ip[0]) * 7));
        // One of the headers has a fallback, and the ports have one or two significant bytes.
        let fallback = (ip[0] == 10).then(|| SocketAddrV4::new(Ipv4Addr::from(ip), 1));
        frame::encode(&header(caller, fallback), &[], &mut buffer).unwrap();
        sizes.push(buffer.len());
    }
    assert_eq!(sizes, [sizes[0]; 3]);
}

/// Guards against a panic on arbitrary bytes, and against a truncated PROXY header that is accepted.
#[test]
fn arbitrary_bytes_cause_no_panic_and_truncated_proxy_headers_are_rejected() {
    let result = seeded_runner().run(&any::<Vec<u8>>(), |bytes| {
        let _ = frame::decode::<Header>(&bytes);
        let _ = proxy_header::decode(&bytes);
        Ok(())
    });
    result.unwrap();
    let endpoints = Endpoints {
        source: SocketAddr::from(([10, 0, 0, 1], 5)),
        destination: SocketAddr::from(([10, 0, 0, 2], 443)),
    };
    let mut wrapped = Vec::new();
    proxy_header::encode(endpoints, b"payload", &mut wrapped);
    assert_eq!(
        proxy_header::decode(&wrapped),
        Some((endpoints, b"payload".as_slice()))
    );
    // A PROXY protocol v2 header for IPv4 has 16 + 12 bytes.
    for length in 0..28 {
        assert_eq!(proxy_header::decode(&wrapped[..length]), None);
    }
}
