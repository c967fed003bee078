//! When requests are held, and when they pass in any case.

use std::time::Duration;

use berylvalve_core::l4::{
    agent::requests::{MAX_HELD_BYTES, MAX_HELD_REQUESTS, MAX_HOLD},
    message::Message,
    segment::FlowKey,
};

use crate::{
    harness::{Harness, Recorder, SLOTS, WORK},
    wire::{self, ACK, FIN, RST, flow},
};

/// Requests that the server takes: its slots and one in its queue.
const ROOM: usize = SLOTS as usize + 1;

/// Returns an agent with established flows of one caller, and the flows.
fn established(count: u16) -> (Harness, Vec<FlowKey>) {
    let mut harness = Harness::new();
    let flows: Vec<FlowKey> = (1..=count).map(|port| flow(1, port, 1)).collect();
    for flow in &flows {
        harness.establish(flow, 1);
    }
    (harness, flows)
}

/// Returns an agent with a full server and one more flow, whose request is held.
fn with_held_request() -> (Harness, Vec<FlowKey>, Vec<u8>) {
    let (mut harness, flows) = established(ROOM as u16 + 1);
    for flow in &flows[..ROOM] {
        harness.request(flow);
    }
    harness.out = Recorder::default();
    let request = harness.request(&flows[ROOM]);
    assert_eq!(harness.held(), 1);
    assert!(harness.out.to_server.is_empty());
    (harness, flows, request)
}

/// Guards against waits at a server that has free slots, or slots that run dry between two answers.
#[test]
fn nothing_is_held_while_there_is_room() {
    let (mut harness, flows) = established(8);
    for round in 0..50 {
        for flow in &flows[..ROOM] {
            harness.request(flow);
        }
        assert_eq!(harness.held(), 0, "round {round}");
        assert_eq!(harness.take_delivered(), flows[..ROOM]);
        harness.advance(WORK);
        for flow in &flows[..ROOM] {
            harness.answer(flow);
        }
    }
}

/// Guards against a slot that stays free while a request is held.
#[test]
fn each_answer_delivers_one_held_request() {
    let (mut harness, flows) = established(8);
    for flow in &flows {
        harness.request(flow);
    }
    assert_eq!(harness.take_delivered(), flows[..ROOM]);
    for (index, flow) in flows.iter().enumerate().take(flows.len() - ROOM) {
        harness.answer(flow);
        assert_eq!(harness.take_delivered().len(), 1, "answer {index}");
    }
    assert_eq!(harness.held(), 0);
}

/// Guards against load reports that hide held requests, so that balancers place more flows here.
#[test]
fn held_requests_count_as_busy() {
    let (mut harness, _, _) = with_held_request();
    harness.advance(Duration::from_millis(250));
    let mut reports = harness
        .out
        .messages
        .iter()
        .filter_map(|message| match message {
            Message::LoadReport(load) => Some(load.busy),
            _ => None,
        });
    assert_eq!(reports.next_back(), Some(ROOM as u16 + 1));
}

/// Guards against scheduling that adds to a server's fault: a server that answers nothing gets all
/// requests after the bound.
#[test]
fn hung_server_gets_held_requests_after_the_bound() {
    let (mut harness, _, request) = with_held_request();
    harness.advance(MAX_HOLD - Duration::from_millis(1));
    assert!(harness.out.to_server.is_empty());
    harness.advance(Duration::from_millis(1));
    assert_eq!(harness.out.to_server, [request]);
    assert_eq!(harness.agent.metrics().passed_by_bound.get(), 1);
}

/// Guards against a request that is passed over by others for as long as the load lasts.
#[test]
fn request_passes_after_the_bound_while_the_server_answers() {
    let (mut harness, mut flows) = established(ROOM as u16);
    // The share of this priority is too small for a request within the bound.
    let lowest = flow(3, 1, 3);
    harness.establish(&lowest, 15);
    flows.push(lowest);
    let urgent: Vec<FlowKey> = (1..=250).map(|port| flow(2, port, 2)).collect();
    for flow in &urgent {
        harness.establish(flow, 0);
    }
    for flow in &flows[..ROOM] {
        harness.request(flow);
    }
    let request = harness.request(&flows[ROOM]);
    let start = harness.now;
    let mut at_server = flows[..ROOM].to_vec();
    // There are always urgent requests in time that go first.
    for flow in &urgent[..20] {
        harness.request(flow);
    }
    for flow in &urgent[20..] {
        harness.advance(Duration::from_millis(10));
        harness.request(flow);
        harness.answer(&at_server.remove(0));
        let is_delivered = harness.out.to_server.contains(&request);
        if is_delivered {
            break;
        }
        at_server.extend(harness.take_delivered());
    }
    assert!(harness.out.to_server.contains(&request));
    let held = harness.now.since(start);
    assert!(held <= MAX_HOLD + Duration::from_millis(10), "{held:?}");
    assert!(held >= MAX_HOLD, "{held:?}");
    assert_eq!(harness.agent.metrics().passed_by_bound.get(), 1);
}

/// Guards against requests that reach the bound one after the other and keep the server's queue full,
/// so that those in time find no room.
#[test]
fn late_requests_pass_in_one_burst() {
    let (mut harness, flows) = established(ROOM as u16 + 12);
    for flow in &flows[..ROOM] {
        harness.request(flow);
    }
    for flow in &flows[ROOM..] {
        harness.request(flow);
        harness.advance(Duration::from_millis(50));
    }
    let _ = harness.take_delivered();
    harness.advance(Duration::from_millis(399));
    assert_eq!(harness.take_delivered(), []);
    harness.advance(Duration::from_millis(1));
    assert_eq!(harness.take_delivered(), flows[ROOM..ROOM + 11]);
    assert_eq!(harness.held(), 1);
}

/// Guards against memory that grows with the load.
#[test]
fn requests_beyond_the_bound_of_their_number_pass() {
    let (mut harness, flows) = established((ROOM + MAX_HELD_REQUESTS + 1) as u16);
    let (last, others) = flows.split_last().unwrap();
    for flow in others {
        harness.request(flow);
    }
    assert_eq!(harness.held(), MAX_HELD_REQUESTS);
    harness.out = Recorder::default();
    let request = harness.request(last);
    assert_eq!(harness.out.to_server, [request]);
    assert_eq!(harness.held(), MAX_HELD_REQUESTS);
}

/// Guards against memory that grows with the length of requests, and against a gap in a request whose
/// later segments find no more space.
#[test]
fn segments_beyond_the_bound_of_bytes_pass_in_order() {
    let (mut harness, flows) = established(ROOM as u16 + 20);
    for flow in &flows[..ROOM] {
        harness.request(flow);
    }
    harness.out = Recorder::default();
    let mut sent: Vec<(FlowKey, Vec<Vec<u8>>)> = Vec::new();
    for flow in &flows[ROOM..] {
        let segments: Vec<Vec<u8>> = (0..16).map(|_| harness.segment(flow, 1200)).collect();
        for segment in &segments {
            harness.forward(segment);
            assert!(harness.agent.requests().bytes() <= MAX_HELD_BYTES);
        }
        sent.push((*flow, segments));
    }
    assert!(harness.held() >= 12, "{}", harness.held());
    assert!(!harness.out.to_server.is_empty());
    harness.advance(MAX_HOLD);
    for (flow, segments) in sent {
        let delivered = harness.out.to_server.iter();
        let delivered: Vec<&Vec<u8>> = delivered
            .filter(|datagram| wire::flow_of(datagram) == flow)
            .collect();
        assert_eq!(delivered, segments.iter().collect::<Vec<_>>());
    }
    assert_eq!(harness.agent.requests().bytes(), 0);
}

/// Guards against a repeated request that is delivered twice, and against a copy without the newer
/// acknowledgement, for which the server repeats its last answer.
#[test]
fn retransmission_replaces_the_held_segment() {
    let (mut harness, flows, request) = with_held_request();
    let (sequence, ack) = harness.next[&flows[ROOM]];
    let data = wire::data_of(&request).to_vec();
    let newer = wire::from_caller(&flows[ROOM], ACK, sequence - 100, ack + 7, &data);
    harness.advance(Duration::from_millis(200));
    harness.forward(&newer);
    harness.forward(&request);
    assert_eq!(harness.held(), 1);
    harness.answer(&flows[0]);
    assert_eq!(harness.out.to_server, [newer]);
}

/// Guards against the end of a flow that overtakes its request.
#[test]
fn end_of_a_flow_releases_its_request_first() {
    for flags in [FIN | ACK, RST] {
        let (mut harness, flows, request) = with_held_request();
        let (sequence, ack) = harness.next[&flows[ROOM]];
        let end = wire::from_caller(&flows[ROOM], flags, sequence, ack, &[]);
        harness.forward(&end);
        assert_eq!(harness.out.to_server, [request, end]);
        assert_eq!(harness.held(), 0);
    }
    for flags in [FIN | ACK, RST] {
        let (mut harness, flows, request) = with_held_request();
        let (_, sequence) = harness.next[&flows[ROOM]];
        harness.receive_from_server(&wire::from_server(&flows[ROOM], flags, sequence, &[]));
        assert_eq!(harness.out.to_server, [request]);
    }
}

/// Guards against requests that end with the agent's process.
#[test]
fn stop_releases_held_requests() {
    let (mut harness, flows, request) = with_held_request();
    harness.agent.stop_admission(harness.now, &mut harness.out);
    assert_eq!(harness.out.to_server, [request]);
    harness.request(&flows[ROOM]);
    assert_eq!(harness.held(), 0);
}

/// Guards against requests of ended flows that reach a new instance of the server.
#[test]
fn new_server_instance_gets_no_request_of_flows_that_were_reset() {
    let (mut harness, flows, _) = with_held_request();
    harness.report("b", 2, 0);
    assert_eq!(harness.out.to_caller.len(), flows.len());
    assert!(harness.out.to_server.is_empty());
    assert_eq!((harness.held(), harness.agent.requests().bytes()), (0, 0));
}

/// Guards against scheduling by an agent that has not seen what its running server is at work on, and
/// against a request whose first segments the agent of before has delivered.
#[test]
fn agent_that_restarts_beside_a_running_server_delivers_unseen_flows() {
    let mut harness = Harness::beside(40);
    for port in 1..=3 {
        harness.establish(&flow(1, port, 1), 1);
    }
    for port in 1..=3 {
        harness.request(&flow(1, port, 1));
    }
    harness.out = Recorder::default();
    let unseen = flow(2, 1, 1);
    harness.next.insert(unseen, (5_000, 9_000));
    for length in [1200, 1200, 300] {
        harness.out = Recorder::default();
        let segment = harness.segment(&unseen, length);
        harness.forward(&segment);
        assert_eq!(harness.out.to_server, [segment]);
        // The server's acknowledgement confirms the flow, but is no answer.
        harness.receive_from_server(&wire::from_server(&unseen, ACK, 9_000, &[]));
    }
    harness.answer(&unseen);
    harness.request(&unseen);
    assert_eq!(
        harness.held(),
        1,
        "after the first answer the flow is known"
    );
}

/// Guards against a request that is torn apart: all of it passes once a segment was delivered, also
/// when the server repeats the end of its last answer meanwhile.
#[test]
fn request_of_which_a_segment_was_delivered_is_not_held() {
    let (mut harness, flows) = established(ROOM as u16 + 1);
    let large = flows[ROOM];
    let first = harness.segment(&large, 1200);
    harness.forward(&first);
    for flow in &flows[..ROOM] {
        harness.request(flow);
    }
    let (_, sequence) = harness.next[&large];
    harness.receive_from_server(&wire::from_server(&large, ACK, sequence - 50, &[1; 50]));
    harness.out = Recorder::default();
    let second = harness.segment(&large, 1200);
    harness.forward(&second);
    assert_eq!(harness.out.to_server, [second]);
    assert_eq!(harness.held(), 0);
}

/// Guards against callers with slow links that keep the server's slots free but counted as in use.
#[test]
fn request_that_is_not_whole_occupies_no_slot() {
    let (mut harness, flows) = established(2 * ROOM as u16 + 1);
    for flow in &flows[..ROOM] {
        let segment = harness.segment(flow, 1200);
        harness.forward(&segment);
    }
    for flow in &flows[ROOM..2 * ROOM] {
        harness.request(flow);
    }
    assert_eq!(harness.held(), 0);
    harness.request(&flows[2 * ROOM]);
    assert_eq!(harness.held(), 1);
}

/// Guards against requests that are never counted because each of them fills one segment.
#[test]
fn requests_of_one_full_segment_are_held_too() {
    let (mut harness, flows) = established(ROOM as u16 + 1);
    let segment = harness.segment(&flows[0], 1200);
    harness.forward(&segment);
    harness.answer(&flows[0]);
    for flow in &flows {
        let segment = harness.segment(flow, 1200);
        harness.forward(&segment);
    }
    assert_eq!(harness.held(), 1);
}

/// Guards against requests without an answer, as when a caller dies, that block all others for as
/// long as their flows have an entry.
#[test]
fn requests_without_an_answer_stop_counting() {
    let (mut harness, flows) = established(ROOM as u16 + 1);
    for flow in &flows[..ROOM] {
        harness.request(flow);
    }
    harness.advance(Duration::from_millis(1_300));
    harness.request(&flows[ROOM]);
    assert_eq!(harness.held(), 0);
}

/// Guards against requests that are held without a known priority and target.
#[test]
fn flows_of_an_unknown_route_pass() {
    let mut harness = Harness::beside(40);
    let unknown = flow(2, 1, 9);
    harness.next.insert(unknown, (5_000, 9_000));
    harness.request(&unknown);
    harness.answer(&unknown);
    for port in 1..=ROOM as u16 {
        harness.establish(&flow(1, port, 1), 1);
    }
    for port in 1..=ROOM as u16 {
        harness.request(&flow(1, port, 1));
    }
    harness.out = Recorder::default();
    let request = harness.request(&unknown);
    assert_eq!(harness.out.to_server, [request]);
}
