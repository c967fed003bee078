//! What an agent says of a flow that its server has not opened.

use std::time::Duration;

use berylvalve_core::l4::{
    message::{Message, Ownership},
    server::ServerState,
};

use crate::{
    agent::Harness,
    codec::{ACCEPT, DATA, flow},
};

/// Guards against a search that ends at a wrong agent: its server took a copy of the opening segment, and sends its
/// acceptance again after the agent's restart. The caller has opened the flow at another server.
#[test]
fn repeated_acceptance_after_a_restart_is_no_open_flow() {
    let mut harness = Harness::new(40);
    harness.open("desk", true, 1);
    harness.receive_from_server(ACCEPT, 1, 200);
    assert_eq!(harness.ownership(1, 51), Ownership::NotHeld);
    harness.restart();
    harness.report("a", 1, 41, ServerState::Ready);
    harness.receive_from_server(ACCEPT, 1, 200);
    assert_ne!(harness.ownership(1, 51), Ownership::Held);
    harness.sent.delivered.clear();
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert!(harness.sent.delivered.is_empty());
    assert_eq!(harness.ownership(1, 2_001), Ownership::Held);
}

/// Guards against the same without a restart: the server repeats its acceptance for longer than the agent keeps
/// the entry.
#[test]
fn repeated_acceptance_of_an_expired_entry_is_no_open_flow() {
    let mut harness = Harness::new(0);
    harness.open("desk", true, 1);
    harness.receive_from_server(ACCEPT, 1, 200);
    for _ in 0..2 {
        harness.now = harness.now + Duration::from_millis(4_500);
        harness.agent.tick(harness.now, &mut harness.sent);
        harness.receive_from_server(ACCEPT, 1, 200);
        assert_eq!(harness.ownership(1, 51), Ownership::NotHeld);
    }
}

/// Guards against homes that name a wrong owner: of two agents that have registered a flow, they take the one
/// that registers again for the owner, and a server repeats an acceptance that its caller does not complete.
#[test]
fn repeated_acceptance_is_not_registered_again() {
    let mut harness = Harness::new(0);
    harness.know_peer(2);
    harness.open("desk", true, 1);
    harness.receive_from_server(ACCEPT, 1, 200);
    harness.sent.messages.clear();
    harness.receive_from_server(ACCEPT, 1, 200);
    let register = Message::Register { flow: flow(1) };
    assert!(!harness.sent.messages.contains(&register));
}
