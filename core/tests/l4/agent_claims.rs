//! What an agent says of a flow that its server has not opened.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::l4::{
    message::{Message, Ownership, Received},
    segment,
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

/// Guards against an agent that claims a flow because a balancer took it for the owner: its server has not answered
/// the opening segment, so the caller acknowledges another one.
#[test]
fn flow_whose_opening_the_server_has_not_answered_is_not_open() {
    let mut harness = Harness::new(0);
    harness.open("desk", true, 1);
    harness.sent.delivered.clear();
    harness.sent.messages.clear();
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(harness.sent.messages, [Message::Unknown]);
    assert!(harness.sent.delivered.is_empty());
    assert_eq!(harness.ownership(1, 50), Ownership::NotHeld);
    harness.receive_from_server(ACCEPT, 1, 5);
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(harness.sent.delivered.len(), 1);
}

/// Guards against the denial of an open flow: an agent that was restarted gets a late copy of its opening segment,
/// which the server, as it holds the flow, does not answer.
#[test]
fn opening_segment_at_an_unsure_agent_does_not_deny_an_earlier_flow() {
    let mut harness = Harness::new(40);
    harness.open("desk", true, 1);
    assert_eq!(harness.ownership(1, 50), Ownership::Unsure);
    harness.sent.delivered.clear();
    harness.send(Message::Forward, &[DATA, 1, 5]);
    assert_eq!(harness.sent.delivered.len(), 1, "on trial");
    assert_eq!(harness.ownership(1, 50), Ownership::Unsure);
}

/// Guards against a trial delivery that ends at a wrong agent: the server answers the opening segment after it.
#[test]
fn acceptance_after_a_trial_delivery_tells_which_flow_the_server_holds() {
    let mut harness = Harness::new(40);
    harness.open("desk", true, 1);
    harness.send(Message::Forward, &[DATA, 1, 5]);
    harness.receive_from_server(ACCEPT, 1, 200);
    assert_eq!(harness.ownership(1, 51), Ownership::NotHeld);
    assert_eq!(harness.ownership(1, 2_001), Ownership::Held);
}

/// Guards against an agent that claims a flow for which its server repeats its acceptance: a home has named the agent
/// as the owner of a flow from before its start, and the entry of the acceptance expires before the home's word.
#[test]
fn acceptance_refutes_what_a_home_has_named() {
    let mut harness = Harness::new(40);
    harness.know_peer(2);
    let home = SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, 2), 7001);
    let list = segment::encode_flows(&[flow(1)]);
    let received = Received {
        from: home,
        message: Message::Registrations,
        datagram: &list,
    };
    let now = harness.now;
    harness
        .agent
        .receive_from_peer(&received, now, &mut harness.sent);
    harness.agent.tick(now, &mut harness.sent);
    assert_eq!(harness.ownership(1, 51), Ownership::Held);
    harness.receive_from_server(ACCEPT, 1, 200);
    assert_eq!(harness.ownership(1, 51), Ownership::NotHeld);
    harness.now = harness.now + Duration::from_millis(4_500);
    harness.agent.tick(harness.now, &mut harness.sent);
    assert_eq!(harness.ownership(1, 51), Ownership::Unsure);
}
