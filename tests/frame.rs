//! The codecs between fabric, balancer and agent.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use berylvalve::{
    frame::{self, Header},
    owner_id::ServiceTag,
    proxy_header::{self, Ends},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

fn runner() -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

fn header(caller: SocketAddr, second: Option<SocketAddrV4>) -> Header {
    Header {
        caller,
        service: ServiceTag(3),
        version: 9,
        balancer: SocketAddrV4::new(Ipv4Addr::new(10, 200, 0, 255), 65535),
        others: [second, None],
        hops: 1,
    }
}

#[test]
fn frames_come_back_whole() {
    let strategy = (any::<SocketAddr>(), any::<[u8; 4]>(), any::<Vec<u8>>());
    let result = runner().run(&strategy, |(caller, ip, payload)| {
        // The flow label and the scope of an IPv6 address mean nothing on another VM.
        let caller = SocketAddr::new(caller.ip(), caller.port());
        let second = SocketAddrV4::new(Ipv4Addr::from(ip), 443);
        let sent = header(caller, Some(second));
        let mut buffer = Vec::new();
        frame::encode(&sent, &payload, &mut buffer).unwrap();
        let (received, rest) = frame::decode::<Header>(&buffer).unwrap();
        prop_assert_eq!(received, sent);
        prop_assert_eq!(rest, payload.as_slice());
        Ok(())
    });
    result.unwrap();
}

#[test]
fn frames_of_all_callers_have_one_size() {
    let mut sizes = Vec::new();
    for ip in [[1, 2, 3, 4], [10, 255, 0, 200], [255, 255, 255, 255]] {
        let mut buffer = Vec::new();
        let caller = SocketAddr::from((ip, u16::from(ip[0]) * 7));
        let second = (ip[0] == 10).then(|| SocketAddrV4::new(Ipv4Addr::from(ip), 1));
        frame::encode(&header(caller, second), &[], &mut buffer).unwrap();
        sizes.push(buffer.len());
    }
    assert_eq!(sizes, [sizes[0]; 3]);
}

#[test]
fn damaged_datagrams_are_refused_without_panic() {
    let result = runner().run(&any::<Vec<u8>>(), |bytes| {
        let _ = frame::decode::<Header>(&bytes);
        let _ = proxy_header::unwrap(&bytes);
        Ok(())
    });
    result.unwrap();
    let ends = Ends {
        source: SocketAddr::from(([10, 0, 0, 1], 5)),
        target: SocketAddr::from(([10, 0, 0, 2], 443)),
    };
    let mut wrapped = Vec::new();
    proxy_header::wrap(ends, b"payload", &mut wrapped);
    assert_eq!(
        proxy_header::unwrap(&wrapped),
        Some((ends, b"payload".as_slice()))
    );
    for length in 0..28 {
        assert_eq!(proxy_header::unwrap(&wrapped[..length]), None);
    }
}
