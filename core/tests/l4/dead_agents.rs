//! Flows of agents that have left, were suspected or were declared dead: when they are reset, and when they are
//! kept.

use std::time::Duration;

use berylvalve_core::{
    l4::{
        message::{Message, Ownership},
        workload::Load,
    },
    member::MemberState,
};

use crate::{
    balancer::{ABSENCE_MS, Harness, agent, known_agents},
    codec::{DATA, OPENING, flow},
};

/// Returns a balancer with a flow at one of two agents, and the last octets of the owner's and the other
/// agent's address.
fn with_owned_flow() -> (Harness, u8, u8) {
    let mut harness = Harness::new(2);
    harness.receive_from_caller(OPENING, 1);
    let owner = harness.drain_openings()[0];
    let (flow, load) = (flow(1), Load::default());
    let initial = 100;
    harness.receive_from_peer(
        owner,
        Message::Opened {
            flow,
            initial,
            load,
        },
        &[],
    );
    harness.receive_from_caller(DATA, 1);
    let owner = owner.ip().octets()[3];
    (harness, owner, 3 - owner)
}

#[test]
fn flows_of_an_agent_that_left_are_reset() {
    let (mut harness, owner, other) = with_owned_flow();
    harness.apply_view(&[(owner, MemberState::Left), (other, MemberState::Ready)]);
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against resets of the flows of an agent that is declared dead while it restarts, and against callers
/// who are told late. The queries begin with the suspicion.
#[test]
fn flows_of_an_agent_declared_dead_are_reset_when_it_answers_no_query() {
    for suspected_ms in [0, 2_000, 3_000, 8_000] {
        let (mut harness, owner, other) = with_owned_flow();
        let other = (other, MemberState::Ready);
        if suspected_ms > 0 {
            harness.apply_view(&[(owner, MemberState::Suspect), other]);
        }
        harness.advance(suspected_ms);
        assert_eq!(harness.sent.resets, 0, "suspected only");
        harness.apply_view(&[(owner, MemberState::Dead), other]);
        let absent_after = ABSENCE_MS.saturating_sub(suspected_ms);
        harness.advance(absent_after.saturating_sub(10));
        let resets = usize::from(absent_after == 0);
        assert_eq!(harness.sent.resets, resets, "suspected {suspected_ms} ms");
        harness.advance(260);
        assert_eq!(harness.sent.resets, 1, "suspected {suspected_ms} ms");
    }
}

/// Guards against resets by a balancer that stood still while the agent may have lived, and hears of the agent's
/// death before anything else.
#[test]
fn time_for_which_the_balancer_stood_still_is_no_absence() {
    let (mut harness, owner, other) = with_owned_flow();
    let other = (other, MemberState::Ready);
    harness.apply_view(&[(owner, MemberState::Suspect), other]);
    harness.advance(1_000);
    harness.now = harness.now + Duration::from_secs(10);
    harness.apply_view(&[(owner, MemberState::Dead), other]);
    assert_eq!(harness.sent.resets, 0);
    harness.advance(ABSENCE_MS - 10);
    assert_eq!(harness.sent.resets, 0);
    harness.advance(260);
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against callers who wait for an absence that has been observed already: a home still names an agent that
/// has just been declared dead and was absent. The home may be wrong, so the other agents are asked, at once and
/// without another segment of the caller.
#[test]
fn flow_of_a_named_owner_that_is_known_to_be_absent_is_reset_once_the_others_deny_it() {
    let (mut harness, owner, other) = with_owned_flow();
    harness.apply_view(&[(owner, MemberState::Dead), (other, MemberState::Ready)]);
    harness.advance(ABSENCE_MS + 250);
    assert_eq!(harness.sent.resets, 1);
    harness.receive_from_caller(DATA, 2);
    let found = Message::Found {
        flow: flow(2),
        ownership: Ownership::HeldBy(agent(owner)),
        agents: known_agents(1),
    };
    harness.receive_from_peer(agent(other), found, &[]);
    harness.sent.messages.clear();
    harness.advance(5);
    let sent = harness.sent.messages.iter();
    let mut rounds = sent.filter(|(_, message)| matches!(message, Message::ListFlows { .. }));
    assert_eq!(rounds.next().map(|(peer, _)| *peer), Some(agent(other)));
    assert_eq!(harness.sent.resets, 1);
    harness.deny_all_queries(known_agents(1));
    assert_eq!(harness.sent.resets, 2);
}

/// Guards against resets of the flows of an agent that is stopped again and again shortly after its start: the
/// membership, which it has not joined again, declares it dead, and each of its restarts is long enough for
/// some queries in a row.
#[test]
fn flows_of_an_agent_that_restarts_in_series_are_kept_when_it_is_declared_dead() {
    /// Time for which a process that is told to stop at its start goes on.
    const LIFE_MS: u64 = 300;
    for restart_ms in [540, 800, 1_500, 3_000] {
        for phase in 0..8 {
            let (mut harness, owner, other) = with_owned_flow();
            let known = known_agents(1);
            let period = restart_ms + LIFE_MS;
            let declared_at = phase * period / 8;
            for ms in 0..4 * period {
                if ms == declared_at {
                    harness.apply_view(&[(owner, MemberState::Dead), (other, MemberState::Ready)]);
                }
                for (peer, message) in std::mem::take(&mut harness.sent.messages) {
                    if peer != agent(owner) || ms % period >= restart_ms {
                        harness.answer(peer, message, Ownership::NotHeld, known);
                    }
                }
                harness.advance(1);
            }
            let resets = harness.sent.resets;
            assert_eq!(resets, 0, "down {restart_ms} ms, declared at {declared_at}");
        }
    }
}

/// The membership declares an agent dead if other processes do not receive its messages, as when a path
/// fails in one direction. The agent may still be alive and hold its flows.
#[test]
fn flows_of_an_agent_declared_dead_are_kept_while_it_answers() {
    let (mut harness, owner, other) = with_owned_flow();
    let known = known_agents(1);
    harness.apply_view(&[(owner, MemberState::Dead), (other, MemberState::Ready)]);
    for _ in 0..50 {
        harness.answer_queries(Ownership::NotHeld, known);
        harness.advance(100);
    }
    assert_eq!(harness.sent.resets, 0);
    harness.sent.messages.clear();
    harness.receive_from_caller(DATA, 1);
    assert_eq!(harness.sent.messages, [(agent(owner), Message::Forward)]);
    // When the agent stops answering, this is detected without a new view: a second after its last reply,
    // at the latest, it is queried again.
    harness.advance(1_000 + ABSENCE_MS + 250);
    assert_eq!(harness.sent.resets, 1);
}

/// An agent that was declared dead and still answers may hold flows that the balancer does not know.
#[test]
fn agent_declared_dead_that_answers_is_queried_in_a_search() {
    let (mut harness, owner, other) = with_owned_flow();
    harness.apply_view(&[(owner, MemberState::Dead), (other, MemberState::Ready)]);
    let known = known_agents(1);
    harness.answer_queries(Ownership::NotHeld, known);
    harness.receive_from_caller(DATA, 2);
    let mut messaged = Vec::new();
    for _ in 0..60 {
        messaged.extend(harness.sent.messages.iter().map(|(peer, _)| *peer));
        harness.answer_queries(Ownership::NotHeld, known);
        harness.advance(5);
    }
    assert!(messaged.contains(&agent(owner)), "{messaged:?}");
}
