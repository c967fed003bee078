//! When a search without an owner ends with the reset of its flow, and when the flow is kept.

use berylvalve_core::{
    l4::message::{Message, Ownership},
    member::{KnownAgents, MemberState, View},
    owner_id::Incarnation,
};

use crate::{
    balancer::{ACKNOWLEDGED_TENS, Harness, agent, known_agents, view},
    codec::{DATA, OPENING},
    search::{reply, start_round},
    silence::port_with_other_homes,
};

/// Unix time in the tests of a fleet that has just started.
const UNIX_MS: u64 = 1_700_000_000_000;

/// Guards against the reset of a flow at an agent that missed the queries of one search, is back, and has
/// not been asked since: an earlier silence is no reply. One that stays silent for long counts as gone.
#[test]
fn agent_that_was_silent_is_asked_again_before_a_flow_is_reset() {
    /// Time between two searches, longer than a silent agent counts as present.
    const PAUSE_MS: u64 = 4_500;
    let port = port_with_other_homes();
    for (is_back, resets) in [(true, 0), (false, 1)] {
        let mut harness = Harness::new(3);
        let known = known_agents(3);
        for search in 0..2 {
            harness.receive_from_caller(DATA, port);
            for _ in 0..PAUSE_MS {
                for (peer, message) in std::mem::take(&mut harness.sent.messages) {
                    if peer != agent(3) {
                        harness.answer(peer, message, Ownership::NotHeld, known);
                    } else if is_back && search == 1 {
                        harness.answer(peer, message, Ownership::Unsure, known);
                    }
                }
                harness.advance(1);
            }
        }
        assert_eq!(harness.sent.resets, resets, "is back: {is_back}");
    }
}

/// Returns how many of the searches at one time after the agents became known have reset their flow.
/// The agents started `ages` tenths of a second before they became known.
fn resets_after(waited_ms: u64, ages: [i64; 2], state: MemberState, ownership: Ownership) -> usize {
    let mut harness = Harness::new(0);
    let agents = [(1, MemberState::Ready), (2, state)];
    let mut members = view(&agents).members;
    for (record, age) in members.values_mut().zip(ages) {
        record.incarnation = Incarnation((UNIX_MS as i64 / 100 - age) as u32);
    }
    let base = View {
        joined: true,
        ..View::default()
    };
    let view = base.next(members);
    harness.balancer.set_unix_ms(UNIX_MS, harness.now);
    harness
        .balancer
        .apply_view(&view, harness.now, &mut harness.sent);
    harness.advance(waited_ms);
    harness.receive_from_caller(DATA, 1);
    for _ in 0..20 {
        for (peer, message) in std::mem::take(&mut harness.sent.messages) {
            if message == Message::Forward {
                harness.receive_from_peer(peer, Message::Unknown, &[DATA, 1, 10]);
            }
            harness.answer(peer, message, ownership, view.known_agents());
        }
        harness.advance(1);
    }
    harness.sent.resets
}

/// Guards against late resets when a whole fleet has started, and against the shorter window where a
/// process of before can know another agent, an agent may hold flows from before, an agent that
/// started with the others may not have joined yet, or the clock is wrong.
#[test]
fn window_is_shorter_only_if_the_whole_fleet_has_just_started_and_is_sure() {
    let (ready, dead) = (MemberState::Ready, MemberState::Dead);
    let (sure, unsure) = (Ownership::NotHeld, Ownership::Unsure);
    assert_eq!(resets_after(310, [12, 15], ready, sure), 1);
    assert_eq!(resets_after(200, [12, 15], ready, sure), 0, "too early");
    assert_eq!(resets_after(310, [3, 15], ready, sure), 0, "just started");
    assert_eq!(resets_after(310, [12, 60], ready, sure), 0, "an old agent");
    assert_eq!(
        resets_after(310, [12, 60], dead, sure),
        0,
        "a dead old agent"
    );
    assert_eq!(
        resets_after(310, [12, 15], ready, unsure),
        0,
        "unsure agents"
    );
    assert_eq!(
        resets_after(310, [12, -600], ready, sure),
        0,
        "clock set back"
    );
    assert_eq!(resets_after(950, [12, 60], ready, sure), 1);
    assert_eq!(resets_after(950, [12, 15], ready, unsure), 1);
}

/// Guards against a search that a later opening of the same flow leaves behind.
#[test]
fn opening_of_a_flow_that_is_searched_for_ends_in_no_reset_by_the_search() {
    let mut harness = Harness::new(2);
    let known = known_agents(2);
    let queries = start_round(&mut harness, 1, known);
    harness.receive_from_caller(OPENING, 1);
    for query in queries {
        reply(&mut harness, query, (true, &[]), known);
    }
    harness.advance(10);
    assert_eq!(harness.sent.resets, 0);
}

#[test]
fn flow_that_no_agent_holds_is_reset_only_if_no_process_knows_more_agents() {
    let known = view(&[(1, MemberState::Ready), (2, MemberState::Ready)]).known_agents();
    let more = KnownAgents {
        count: 3,
        digest: 7,
    };
    for (agents, resets) in [(known, 1), (more, 0)] {
        let mut harness = Harness::new(2);
        harness.receive_from_caller(DATA, 1);
        harness.deny_all_queries(agents);
        assert_eq!(harness.sent.resets, resets, "{agents:?}");
    }
}

/// A process that starts without seeds counts as joined and knows no agent, so that a search without
/// replies shows nothing about the flow.
#[test]
fn balancer_that_knows_no_agent_resets_no_flow() {
    let mut harness = Harness::new(0);
    harness.advance(2_000);
    harness.receive_from_caller(DATA, 1);
    harness.advance(2_000);
    assert_eq!(harness.sent.resets, 0);
}

/// Until a balancer has fetched the members that its seeds know, an agent that it does not know may
/// hold the flow.
#[test]
fn balancer_that_has_not_joined_resets_no_flow() {
    for (joined, resets) in [(false, 0), (true, 1)] {
        let mut harness = Harness::new(0);
        let agents = [(1, MemberState::Ready), (2, MemberState::Ready)];
        let view = View {
            joined,
            ..view(&agents)
        };
        harness
            .balancer
            .apply_view(&view, harness.now, &mut harness.sent);
        harness.advance(2_000);
        harness.receive_from_caller(DATA, 1);
        harness.deny_all_queries(view.known_agents());
        assert_eq!(harness.sent.resets, resets, "joined: {joined}");
    }
}

/// Shortly after one agent has become known, membership updates about others may still be under way.
#[test]
fn balancer_that_has_just_learned_of_an_agent_resets_no_flow() {
    for (waited_ms, resets) in [(300, 0), (1_000, 1)] {
        let mut harness = Harness::new(2);
        let known = known_agents(3);
        let agents = [1, 2, 3].map(|index| (index, MemberState::Ready));
        harness.apply_view(&agents);
        harness.advance(waited_ms);
        harness.receive_from_caller(DATA, 1);
        harness.deny_all_queries(known);
        assert_eq!(harness.sent.resets, resets, "after {waited_ms} ms");
    }
}

/// While servers are replaced one after the other, some agent has always just left, and the processes do
/// not learn of it at the same time. A flow that nobody holds must be reset nevertheless. An agent that
/// was declared dead may still hold the flow, so a process that knows it keeps the flow from a reset.
#[test]
fn flow_that_no_agent_holds_is_reset_while_agents_leave_and_not_while_one_is_dead() {
    for (state, resets) in [(MemberState::Left, 1), (MemberState::Dead, 0)] {
        let mut harness = Harness::new(3);
        let before = known_agents(3);
        let ready = MemberState::Ready;
        harness.apply_view(&[(1, ready), (2, ready), (3, state)]);
        harness.advance(10);
        harness.receive_from_caller(DATA, 1);
        harness.deny_all_queries(before);
        assert_eq!(harness.sent.resets, resets, "{state:?}");
    }
}

/// The membership may be wrong about an agent that was declared dead, and its record may return.
#[test]
fn balancer_that_has_just_lost_an_agent_resets_no_flow() {
    for (waited_ms, resets) in [(10, 0), (1_000, 1)] {
        let mut harness = Harness::new(3);
        let ready = MemberState::Ready;
        harness.apply_view(&[(1, ready), (2, ready), (3, MemberState::Dead)]);
        harness.advance(waited_ms);
        harness.receive_from_caller(DATA, 1);
        harness.deny_all_queries(known_agents(2));
        assert_eq!(harness.sent.resets, resets, "after {waited_ms} ms");
    }
}

#[test]
fn flow_is_not_reset_while_one_agent_has_not_replied() {
    let mut harness = Harness::new(3);
    let known = known_agents(3);
    harness.receive_from_caller(DATA, 1);
    for _ in 0..30 {
        let sent = std::mem::take(&mut harness.sent.messages);
        for (peer, message) in sent {
            if peer != agent(3) {
                harness.answer(peer, message, Ownership::NotHeld, known);
            }
        }
        harness.advance(10);
    }
    assert_eq!(harness.sent.resets, 0);
}

/// One agent does not hold the flow, one is unsure and its server returns the segment, and one does not
/// reply: the missing reply does not show that no agent holds the flow.
#[test]
fn flow_is_not_reset_after_a_trial_delivery_while_one_agent_has_not_replied() {
    let mut harness = Harness::new(3);
    let known = known_agents(3);
    harness.receive_from_caller(DATA, 1);
    for _ in 0..60 {
        let sent = std::mem::take(&mut harness.sent.messages);
        for (peer, message) in sent {
            let ownership = match peer.ip().octets()[3] {
                1 => Ownership::NotHeld,
                2 => Ownership::Unsure,
                _ => continue,
            };
            match message {
                Message::Forward => {
                    harness.receive_from_peer(peer, Message::Unknown, &[DATA, 1, ACKNOWLEDGED_TENS])
                }
                _ => harness.answer(peer, message, ownership, known),
            }
        }
        harness.advance(5);
    }
    assert_eq!(harness.sent.resets, 0);
}
