//! Order in which held requests are delivered.

use std::time::Duration;

use berylvalve_core::l4::segment::FlowKey;

use crate::{
    harness::{Harness, Recorder, TARGET_MS, WORK},
    wire::flow,
};

const URGENT: u8 = 1;
const PLAIN: u8 = 2;

/// Flows that fill the server's slots and its queue.
fn blockers() -> Vec<FlowKey> {
    (1..=3).map(|port| flow(9, port, 9)).collect()
}

/// Returns an agent with the given flows and their priorities, whose server is full.
fn full_server(flows: &[(FlowKey, u8)]) -> Harness {
    let mut harness = Harness::new();
    for (flow, priority) in flows {
        harness.establish(flow, *priority);
    }
    for blocker in blockers() {
        harness.establish(&blocker, 7);
    }
    // The recent work of the callers is forgotten.
    harness.advance(Duration::from_secs(20));
    for blocker in blockers() {
        harness.request(&blocker);
    }
    harness.out = Recorder::default();
    harness
}

/// Answers the oldest request at the server until `count` held ones were delivered.
fn deliver(harness: &mut Harness, count: usize) -> Vec<FlowKey> {
    let mut at_server = blockers();
    let mut delivered = Vec::new();
    while delivered.len() < count && !at_server.is_empty() {
        harness.answer(&at_server.remove(0));
        let next = harness.take_delivered();
        at_server.extend(&next);
        delivered.extend(next);
    }
    delivered
}

/// Guards against requests of a high priority that wait behind many of a low one, and against a low
/// priority that gets nothing meanwhile.
#[test]
fn routes_share_the_server_by_priority() {
    let mut flows = Vec::new();
    for port in 1..=40 {
        flows.push((flow(1, port, URGENT), 0));
        flows.push((flow(1, port, PLAIN), 2));
    }
    let mut harness = full_server(&flows);
    for (flow, _) in &flows {
        harness.request(flow);
    }
    let delivered = deliver(&mut harness, 40);
    let is_urgent = |flow: &&FlowKey| flow.address.ip().octets()[3] == URGENT;
    // Two steps of priority make four times the weight.
    assert_eq!(delivered.iter().filter(is_urgent).count(), 32);
}

/// Guards against late requests that make others late too.
#[test]
fn requests_in_time_go_before_late_ones() {
    let late = flow(1, 1, URGENT);
    let in_time = flow(2, 1, PLAIN);
    let mut harness = full_server(&[(late, 0), (in_time, 3)]);
    harness.request(&late);
    harness.advance(Duration::from_millis(TARGET_MS.into()));
    harness.request(&in_time);
    assert_eq!(deliver(&mut harness, 2), [in_time, late]);
}

/// Guards against a caller that sends many requests at the cost of others.
#[test]
fn caller_with_less_recent_work_goes_first() {
    let flood: Vec<FlowKey> = (1..=8).map(|port| flow(1, port, PLAIN)).collect();
    let other = flow(2, 1, PLAIN);
    let mut flows: Vec<(FlowKey, u8)> = flood.iter().map(|flow| (*flow, 1)).collect();
    flows.push((other, 1));
    let mut harness = full_server(&flows);
    for flow in &flood {
        harness.request(flow);
    }
    // One of the flood is delivered before the other caller's request comes.
    assert_eq!(deliver(&mut harness, 1).len(), 1);
    harness.request(&other);
    harness.answer(&blockers()[1]);
    assert_eq!(harness.take_delivered(), [other]);
}

/// Guards against requests that are delivered out of the order of their targets while all can be in
/// time.
#[test]
fn oldest_request_goes_first_while_all_can_be_in_time() {
    let flows: Vec<(FlowKey, u8)> = (1..=4).map(|host| (flow(host, 1, PLAIN), 1)).collect();
    let mut harness = full_server(&flows);
    for (flow, _) in &flows {
        harness.request(flow);
        harness.advance(Duration::from_millis(1));
    }
    let order: Vec<FlowKey> = flows.iter().map(|(flow, _)| *flow).collect();
    assert_eq!(deliver(&mut harness, 4), order);
}

/// Guards against a queue in which each request is delivered when it is about to be late.
#[test]
fn newest_request_goes_first_when_not_all_can_be_in_time() {
    let flows: Vec<(FlowKey, u8)> = (1..=60).map(|host| (flow(host, 1, PLAIN), 1)).collect();
    let mut harness = full_server(&flows);
    for (flow, _) in &flows {
        harness.request(flow);
        harness.advance(Duration::from_millis(1));
    }
    assert_eq!(deliver(&mut harness, 1), [flows[59].0]);
}

/// Guards against openings that wait for requests of a lower priority, and against requests that wait
/// for openings of a lower one.
#[test]
fn openings_and_requests_are_ordered_by_priority() {
    for (opening_priority, opening_is_first) in [(0, true), (4, false)] {
        let held = flow(1, 1, PLAIN);
        let opening = flow(2, 1, URGENT);
        let mut harness = full_server(&[(held, 2)]);
        harness.request(&held);
        harness.advance(WORK);
        harness.open(&opening, opening_priority);
        assert!(harness.out.to_server.is_empty());
        harness.answer(&blockers()[0]);
        let first = if opening_is_first { opening } else { held };
        assert_eq!(harness.take_delivered()[0], first);
    }
}
