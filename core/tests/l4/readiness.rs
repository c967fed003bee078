//! When a balancer that starts may receive its share of the flows.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use berylvalve_core::{
    clock::Time,
    l4::balancer::{Balancer, BalancerOptions},
    member::{MemberState, View},
    owner_id::Incarnation,
};

use crate::{
    balancer::{RecordingOutbox, agent, agent_record, joined_view, routes},
    codec::TestCodec,
};

/// Clock of the VM when the balancer starts.
const UNIX_MS: u64 = 1_700_000_000_000;

/// Returns a balancer that starts at `now` and knows one agent of an age in tenths of a second, and the view.
fn starting_balancer(age_tenths: u32, now: Time) -> (Balancer<TestCodec>, View) {
    let options = BalancerOptions {
        address: SocketAddrV4::new([10, 0, 0, 1].into(), 7001),
        domain: "a".into(),
        link_rate: 1_250_000,
    };
    let mut balancer = Balancer::new(TestCodec, &options, 1);
    balancer.apply_routes(Arc::new(routes(1, 100, 0)));
    balancer.set_unix_ms(UNIX_MS, now);
    let mut record = agent_record(agent(1), MemberState::Ready, "desk");
    record.incarnation = Incarnation(((UNIX_MS / 100) as u32).wrapping_sub(age_tenths));
    let view = View {
        joined: false,
        ..joined_view([record].into_iter())
    };
    balancer.apply_view(&view, now, &mut RecordingOutbox::default());
    (balancer, view)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against a balancer that takes flows while it knows a part of the agents: it sends their segments to
/// agents that do not hold them.
#[test]
fn balancer_in_a_running_fleet_takes_flows_once_it_has_joined() {
    let start = Time::from_millis(10_000);
    let (mut balancer, view) = starting_balancer(600, start);
    assert!(!balancer.can_serve(start + ms(2_990)));
    let joined = View {
        joined: true,
        version: view.version + 1,
        ..view
    };
    let now = start + ms(400);
    balancer.apply_view(&joined, now, &mut RecordingOutbox::default());
    assert!(balancer.can_serve(now));
}

#[test]
fn balancer_that_never_joins_takes_flows_after_3_s() {
    let start = Time::from_millis(10_000);
    let (balancer, _) = starting_balancer(600, start);
    assert!(balancer.can_serve(start + ms(3_000)));
    assert!(!balancer.has_joined());
}

/// After a loss of power, no process knows more agents than the others, and callers wait.
#[test]
fn balancer_of_a_fleet_that_starts_as_a_whole_takes_flows_after_300_ms() {
    let start = Time::from_millis(10_000);
    let (balancer, _) = starting_balancer(5, start);
    assert!(!balancer.can_serve(start + ms(290)));
    assert!(balancer.can_serve(start + ms(300)));
    assert!(!balancer.has_joined());
}
