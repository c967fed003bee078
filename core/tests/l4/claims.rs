//! What a balancer takes for the word of a flow's owner, for a denial, and for a reply of all.

use std::net::SocketAddrV4;

use berylvalve_core::{
    l4::message::{Message, Ownership},
    member::{KnownAgents, MemberState},
};

use crate::{
    balancer::{self, agent as address, known_agents, view},
    codec::{DATA, flow},
    search::{reply, start_round, take_queried},
};

fn found(ownership: Ownership, agents: KnownAgents) -> Message {
    Message::Found {
        flow: flow(1),
        ownership,
        agents,
    }
}

/// Returns the agents that were sent a segment of a flow since the messages were last taken; clears the messages.
fn take_forwarded(harness: &mut balancer::Harness) -> Vec<SocketAddrV4> {
    let sent = std::mem::take(&mut harness.sent.messages).into_iter();
    let forwarded = sent.filter(|(_, message)| matches!(message, Message::Forward));
    forwarded.map(|(peer, _)| peer).collect()
}

/// Guards against resets of a flow that a live server holds: a home names an agent whose server took another
/// copy of the opening segment, and which leaves before it has said that it holds the flow. No other agent was
/// asked.
#[test]
fn flow_that_only_a_home_ascribes_to_an_agent_is_not_reset_when_the_agent_leaves() {
    let mut harness = balancer::Harness::new(5);
    let known = known_agents(5);
    harness.receive_from_caller(DATA, 1);
    let homes = take_queried(&mut harness);
    let named = (1..=5).find(|index| !homes.contains(&address(*index)));
    let named = named.expect("an agent that is no home");
    let held_by = Ownership::HeldBy(address(named));
    harness.receive_from_peer(homes[0], found(held_by, known), &[]);
    assert_eq!(take_forwarded(&mut harness), [address(named)]);
    let states = [1, 2, 3, 4, 5].map(|index| match index == named {
        true => (index, MemberState::Left),
        false => (index, MemberState::Ready),
    });
    harness.apply_view(&states);
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against the reset of a flow of an agent that was restarted: it missed the round, and to the query it
/// replies with what another agent has registered with it, which tells nothing about its own server.
#[test]
fn agent_that_names_another_owner_has_not_denied_the_flow_itself() {
    let mut harness = balancer::Harness::new(4);
    let known = known_agents(4);
    let restarted = address(4);
    for query in start_round(&mut harness, 1, known) {
        if query.0 != restarted {
            reply(&mut harness, query, (true, &[]), known);
        }
    }
    harness.advance(80);
    assert_eq!(take_queried(&mut harness), [restarted]);
    let held_by = Ownership::HeldBy(address(1));
    harness.receive_from_peer(restarted, found(held_by, known), &[]);
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against trial deliveries and resets without the owner: the only agent that knows it has said so in one
/// round, where it denied the flow, and is silent in the next, which needs no reply of it any more.
#[test]
fn reply_that_there_are_unknown_agents_holds_on_while_the_one_that_gave_it_is_silent() {
    let mut harness = balancer::Harness::new(3);
    let (known, more) = (known_agents(3), known_agents(4));
    for query in start_round(&mut harness, 1, known) {
        let knows_owner = query.0 == address(1);
        let agents = if knows_owner { more } else { known };
        reply(&mut harness, query, (knows_owner, &[]), agents);
    }
    let mut strays = take_forwarded(&mut harness);
    for _ in 0..400 {
        let sent = std::mem::take(&mut harness.sent.messages);
        for (peer, message) in sent {
            match message {
                Message::Forward => {
                    strays.push(peer);
                    let segment = [DATA, 1, balancer::ACKNOWLEDGED_TENS];
                    harness.receive_from_peer(peer, Message::Unknown, &segment);
                }
                _ if peer != address(1) => {
                    harness.answer(peer, message, Ownership::Unsure, known);
                }
                _ => {}
            }
        }
        harness.advance(1);
    }
    assert_eq!((strays, harness.sent.resets), (vec![], 0));
}

/// Guards against resets and trial deliveries without the owner: each agent that replies knows fewer agents than
/// the balancer, but the owner among them, which is unknown here.
#[test]
fn smaller_count_of_agents_does_not_show_that_all_of_them_are_known_here() {
    let others = [1, 2, 3, 4, 5, 6, 7, 8, 11].map(|index| (index, MemberState::Ready));
    let others = view(&others).known_agents();
    for ownership in [Ownership::NotHeld, Ownership::Unsure] {
        let mut harness = balancer::Harness::new(10);
        harness.receive_from_caller(DATA, 1);
        let mut strays = 0;
        for _ in 0..200 {
            let sent = std::mem::take(&mut harness.sent.messages);
            for (peer, message) in sent {
                strays += usize::from(message == Message::Forward);
                harness.answer(peer, message, ownership, others);
            }
            harness.advance(1);
        }
        let seen = (strays, harness.sent.resets);
        assert_eq!(seen, (0, 0), "strays and resets, {ownership:?}");
    }
}

/// Guards against callers who are never told: a home still names an agent that has left, and the view changes before
/// the agent counts as absent.
#[test]
fn flow_of_a_named_owner_that_has_left_is_searched_for_or_reset_while_the_view_changes() {
    let mut harness = balancer::Harness::new(3);
    let states = |third| [(1, MemberState::Ready), (2, MemberState::Ready), (3, third)];
    harness.apply_view(&states(MemberState::Left));
    harness.advance(1_000);
    harness.receive_from_caller(DATA, 1);
    let home = take_queried(&mut harness)[0];
    let known = view(&states(MemberState::Left)).known_agents();
    harness.receive_from_peer(home, found(Ownership::HeldBy(address(3)), known), &[]);
    let draining = [
        (1, MemberState::Ready),
        (2, MemberState::Draining),
        (3, MemberState::Left),
    ];
    harness.apply_view(&draining);
    harness.sent.messages.clear();
    for _ in 0..10 {
        harness.receive_from_caller(DATA, 1);
        harness.advance(1_000);
    }
    let asked = harness.sent.messages.iter();
    let is_for_flow = |message: &Message| match message {
        Message::Find { flow: asked, .. } => *asked == flow(1),
        Message::ListFlows { .. } => true,
        _ => false,
    };
    let asked = asked.filter(|(_, message)| is_for_flow(message)).count();
    assert!(harness.sent.resets > 0 || asked > 0);
}
