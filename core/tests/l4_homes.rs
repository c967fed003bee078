//! The homes of flows, and the registry of owners at a home.

use std::net::{Ipv4Addr, SocketAddrV4};

use berylvalve_core::{
    clock::Time,
    l4::{
        homes::{Homes, REGISTRATION_TTL, Registry},
        segment::FlowKey,
    },
};

const AGENTS: u32 = 50;
const FLOWS: u16 = 2_000;

fn agent(index: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0A00_0100 + index), 7001)
}

fn flow(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

#[test]
fn flow_has_two_homes_and_first_homes_are_evenly_distributed() {
    let homes = Homes::new((0..AGENTS).map(agent));
    let mut first = vec![0_u32; AGENTS as usize];
    for port in 0..FLOWS {
        let [Some(a), Some(b)] = homes.of(&flow(port)) else {
            panic!("flow of port {port} has fewer than two homes");
        };
        assert_ne!(a, b);
        first[(a.ip().to_bits() - 0x0A00_0100) as usize] += 1;
    }
    // The mean is 40; the bounds are about five standard deviations of a uniform choice.
    assert!(
        first.iter().all(|count| (10..=72).contains(count)),
        "{first:?}"
    );
}

#[test]
fn at_least_one_home_of_a_flow_stays_when_an_agent_leaves() {
    let all = Homes::new((0..AGENTS).map(agent));
    let fewer = Homes::new((1..AGENTS).map(agent));
    for port in 0..FLOWS {
        let (before, after) = (all.of(&flow(port)), fewer.of(&flow(port)));
        assert!(
            before.iter().any(|home| after.contains(home)),
            "port {port}"
        );
    }
}

#[test]
fn registration_that_is_not_renewed_expires() {
    let mut registry = Registry::default();
    let now = Time::from_millis(1);
    registry.register(flow(1), agent(3), now);
    assert_eq!(registry.owner(&flow(1)), Some(agent(3)));
    registry.expire(now + REGISTRATION_TTL / 2);
    assert_eq!(registry.owner(&flow(1)), Some(agent(3)));
    registry.expire(now + REGISTRATION_TTL);
    assert_eq!(registry.owner(&flow(1)), None);
}

/// Guards against segments of an open flow at another server: two agents delivered copies of the flow's opening, both
/// servers accepted it, and the agent of the one that does not hold the flow registered last.
#[test]
fn flow_that_two_agents_register_has_no_owner_until_one_of_them_renews_it() {
    let (owner, other) = (agent(1), agent(2));
    for order in [[owner, other], [other, owner]] {
        let mut registry = Registry::default();
        for agent in order {
            registry.register(flow(1), agent, Time::default());
        }
        assert_eq!(registry.owner(&flow(1)), None);
        assert_eq!(registry.flows_of(owner).count(), 0);
        assert_eq!(registry.flows_of(other).count(), 0);
        registry.register(flow(1), owner, Time::default());
        assert_eq!(registry.owner(&flow(1)), Some(owner));
        registry.register(flow(1), other, Time::default());
        assert_eq!(registry.owner(&flow(1)), None);
    }
}

/// Guards against a flow that keeps an owner from before: its caller has opened it again at another server.
#[test]
fn flow_has_a_new_owner_once_its_earlier_registration_has_expired() {
    let mut registry = Registry::default();
    let later = Time::default() + REGISTRATION_TTL;
    registry.register(flow(1), agent(1), Time::default());
    registry.register(flow(1), agent(2), later);
    assert_eq!(registry.owner(&flow(1)), Some(agent(2)));
}
