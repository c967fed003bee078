//! Deadlines of callers: nobody is placed, waits or is delivered after the caller has given up.
//!
//! Where a route's time-out is shorter than the time for which callers try to open a flow, openings were
//! placed whose callers were gone, and each held a slot until its opening timed out.

use std::time::Duration;

use berylvalve_core::l4::{
    message::{self, Message, Refusal},
    routes::ServiceKey,
    workload::Load,
};

use crate::{
    agent::Harness as AgentHarness,
    balancer::{Harness, agent},
    codec::OPENING,
};

/// Time-out of the route, shorter than the opening of a flow may take.
const TIMEOUT_MS: u32 = 800;

/// Returns what is left to deliver a flow as the balancer tells the agent, or `None` if it places no flow.
fn left_told(harness: &mut Harness, age_hundreds: u8) -> Option<Option<u32>> {
    harness.sent.messages.clear();
    let datagram = [OPENING, 1 + age_hundreds, age_hundreds];
    harness
        .balancer
        .receive_from_caller(&datagram, harness.now, &mut harness.sent);
    let sent = harness.sent.messages.iter();
    let mut opens = sent.filter_map(|(_, message)| match message {
        Message::Open { left_ms, .. } => Some(*left_ms),
        _ => None,
    });
    opens.next()
}

#[test]
fn opening_is_placed_until_the_time_out_of_its_route_and_then_refused_at_once() {
    let mut harness = Harness::with_route(1, 100, TIMEOUT_MS);
    assert_eq!(left_told(&mut harness, 0), Some(Some(TIMEOUT_MS)));
    assert_eq!(left_told(&mut harness, 6), Some(Some(TIMEOUT_MS - 600)));
    assert_eq!(harness.sent.resets, 0);
    assert_eq!(left_told(&mut harness, 9), None);
    assert_eq!(harness.sent.resets, 1, "its caller has given up");
}

/// An answer that comes after the caller has given up is worth nothing, so the work counts too.
#[test]
fn time_that_is_left_leaves_out_the_work_of_the_request() {
    let mut harness = Harness::with_route(1, 100, TIMEOUT_MS);
    let load = Load {
        slots: 2,
        work_us: 50_000,
        ..Load::default()
    };
    harness.receive_from_peer(agent(1), Message::LoadReport(load), &[]);
    assert_eq!(left_told(&mut harness, 6), Some(Some(TIMEOUT_MS - 650)));
}

#[test]
fn waiting_flow_is_refused_when_its_caller_gives_up() {
    let mut harness = AgentHarness::new(0);
    for port in 1..=4 {
        harness.open("desk", true, port);
    }
    let open = Message::Open {
        service: ServiceKey::of("desk"),
        forced: true,
        priority: 1,
        target_ms: 100,
        left_ms: Some(300),
    };
    harness.send(open, &[OPENING, 5, 0]);
    harness.sent.messages.clear();
    harness.now = harness.now + Duration::from_millis(310);
    harness.agent.tick(harness.now, &mut harness.sent);
    let full = harness.sent.messages.iter().any(|message| {
        matches!(
            message,
            Message::Refused {
                refusal: Refusal::Full,
                ..
            }
        )
    });
    assert!(full, "{:?}", harness.sent.messages);
}

/// Builds of before read the message and ignore what follows it, and send nothing behind it.
#[test]
fn deadline_passes_between_builds() {
    let open = |left_ms| Message::Open {
        service: ServiceKey::of("desk"),
        forced: false,
        priority: 1,
        target_ms: 100,
        left_ms,
    };
    let (mut old, mut new) = (Vec::new(), Vec::new());
    message::encode(&open(None), b"segment", &mut old);
    message::encode(&open(Some(70_000)), b"segment", &mut new);
    for (frame, left_ms) in [(&old, None), (&new, Some(70_000))] {
        let received = message::decode(agent(1), frame).unwrap();
        assert_eq!(received.message, open(left_ms));
        assert_eq!(received.datagram, b"segment");
    }
    // The header of the new frame begins with that of the old one, which is all that a build of before
    // decodes.
    let header = &old[1..=usize::from(old[0])];
    assert!(new[1..].starts_with(header));
    assert!(rmp_serde::from_slice::<Message>(&new[1..=usize::from(new[0])]).is_ok());
}
