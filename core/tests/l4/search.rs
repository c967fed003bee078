//! Searches for the owners of flows by rounds, through the failures of messages and agents.

use std::net::SocketAddrV4;

use berylvalve_core::{
    l4::message::{Message, Ownership},
    member::{KnownAgents, MemberState},
};

use crate::{
    balancer::{
        ABSENCE_MS, ACKNOWLEDGED_TENS, Harness, agent, filter, known_agents, view_of_services,
    },
    codec::{DATA, flow},
};

/// Sends a segment of an unknown flow and lets the homes deny it. Returns the queries of the round.
pub(crate) fn start_round(
    harness: &mut Harness,
    port: u8,
    known: KnownAgents,
) -> Vec<(SocketAddrV4, u32)> {
    harness.receive_from_caller(DATA, port);
    harness.answer_queries(Ownership::NotHeld, known);
    harness.advance(15);
    take_round(harness)
}

/// Returns the queries of rounds among the messages that were sent, which are cleared.
fn take_round(harness: &mut Harness) -> Vec<(SocketAddrV4, u32)> {
    let mut queries = Vec::new();
    for (peer, message) in std::mem::take(&mut harness.sent.messages) {
        if let Message::ListFlows { round } = message {
            queries.push((peer, round));
        }
    }
    queries
}

/// Returns the agents that were sent a query for a flow since the messages were last taken; clears
/// the messages.
pub(crate) fn take_queried(harness: &mut Harness) -> Vec<SocketAddrV4> {
    let sent = std::mem::take(&mut harness.sent.messages);
    let finds = sent.into_iter();
    let finds = finds.filter(|(_, message)| matches!(message, Message::Find { .. }));
    finds.map(|(peer, _)| peer).collect()
}

/// Replies to a round as an agent that holds the flows of some ports.
pub(crate) fn reply(
    harness: &mut Harness,
    (peer, round): (SocketAddrV4, u32),
    (sure, ports): (bool, &[u8]),
    agents: KnownAgents,
) {
    let held = Message::HeldFlows {
        round,
        sure,
        agents,
    };
    harness.receive_from_peer(peer, held, &filter(ports, round));
}

/// Guards against queries for each flow, which fill the link of a small balancer.
#[test]
fn one_query_to_each_agent_serves_all_searches_that_wait() {
    let mut harness = Harness::new(3);
    let known = known_agents(3);
    for port in 1..=100 {
        harness.receive_from_caller(DATA, port);
    }
    harness.answer_queries(Ownership::NotHeld, known);
    harness.advance(1);
    let queries = take_round(&mut harness);
    assert_eq!(queries.len(), 3);
    for query in queries {
        reply(&mut harness, query, (true, &[]), known);
    }
    assert_eq!(harness.sent.resets, 100);
}

/// Guards against the reset of a flow that an agent holds, and against queries to all agents for it.
#[test]
fn only_the_agent_whose_filter_contains_the_flow_is_queried_for_it() {
    let mut harness = Harness::new(3);
    let known = known_agents(3);
    for query in start_round(&mut harness, 1, known) {
        let ports: &[u8] = if query.0 == agent(2) { &[1] } else { &[] };
        reply(&mut harness, query, (true, ports), known);
    }
    assert_eq!(take_queried(&mut harness), [agent(2)]);
    let found = Message::Found {
        flow: flow(1),
        ownership: Ownership::Held,
        agents: known,
    };
    harness.receive_from_peer(agent(2), found, &[]);
    assert_eq!(harness.sent.messages, [(agent(2), Message::Forward)]);
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against a search that ends without a verdict when a datagram is lost.
#[test]
fn lost_queries_and_replies_of_a_round_are_repeated() {
    let mut harness = Harness::new(3);
    let known = known_agents(3);
    let queries = start_round(&mut harness, 1, known);
    reply(&mut harness, queries[0], (true, &[]), known);
    harness.advance(26);
    let repeated = take_round(&mut harness);
    assert_eq!(repeated, queries[1..]);
    for query in repeated {
        reply(&mut harness, query, (true, &[]), known);
    }
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against resets of flows that an agent of an older build holds, which does not know rounds, and
/// against flows that are never reset in a fleet with such an agent.
#[test]
fn agent_that_ignores_rounds_is_queried_for_each_flow() {
    for (ownership, resets) in [(Ownership::Held, 0), (Ownership::NotHeld, 1)] {
        let mut harness = Harness::new(3);
        let known = known_agents(3);
        let old_build = agent(3);
        for query in start_round(&mut harness, 1, known) {
            if query.0 != old_build {
                reply(&mut harness, query, (true, &[]), known);
            }
        }
        harness.advance(80);
        assert_eq!(harness.sent.resets, 0);
        assert_eq!(take_queried(&mut harness), [old_build]);
        let found = Message::Found {
            flow: flow(1),
            ownership,
            agents: known,
        };
        harness.receive_from_peer(old_build, found, &[]);
        assert_eq!(harness.sent.resets, resets, "{ownership:?}");
    }
}

/// Guards against the reset of a flow from before the start of an agent, which its server still holds.
#[test]
fn unsure_agent_gets_a_trial_delivery_before_the_flow_is_reset() {
    for (is_returned, resets) in [(false, 0), (true, 1)] {
        let mut harness = Harness::new(3);
        let known = known_agents(3);
        for query in start_round(&mut harness, 1, known) {
            reply(&mut harness, query, (query.0 != agent(2), &[]), known);
        }
        assert_eq!(harness.sent.messages, [(agent(2), Message::Forward)]);
        assert_eq!(harness.sent.resets, 0);
        if is_returned {
            harness.receive_from_peer(agent(2), Message::Unknown, &[DATA, 1, 10]);
        }
        harness.advance(100);
        assert_eq!(harness.sent.resets, resets, "returned: {is_returned}");
    }
}

/// Guards against proof by replies from before the segment that is searched for: its flow may have been
/// opened at an agent after that agent replied.
#[test]
fn flow_that_was_opened_between_a_round_and_its_replies_takes_part_in_the_next_round() {
    let mut harness = Harness::new(2);
    let known = known_agents(2);
    let queries = start_round(&mut harness, 1, known);
    harness.receive_from_caller(DATA, 2);
    harness.answer_queries(Ownership::NotHeld, known);
    for query in queries {
        reply(&mut harness, query, (true, &[]), known);
    }
    assert_eq!(harness.sent.resets, 1, "the first flow only");
    harness.advance(15);
    for query in take_round(&mut harness) {
        let ports: &[u8] = if query.0 == agent(2) { &[2] } else { &[] };
        reply(&mut harness, query, (true, ports), known);
    }
    assert_eq!(take_queried(&mut harness), [agent(2)]);
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against proof by a round from before the present search for the same flow.
#[test]
fn round_of_an_earlier_search_for_the_flow_proves_nothing() {
    let mut harness = Harness::new(2);
    let known = known_agents(2);
    let queries = start_round(&mut harness, 1, known);
    let found = Message::Found {
        flow: flow(1),
        ownership: Ownership::HeldBy(agent(2)),
        agents: known,
    };
    harness.receive_from_peer(agent(1), found, &[]);
    harness.receive_from_peer(agent(2), Message::Unknown, &[DATA, 1, ACKNOWLEDGED_TENS]);
    harness.answer_queries(Ownership::NotHeld, known);
    for query in queries {
        reply(&mut harness, query, (true, &[]), known);
    }
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against proof by a reply to another round, as of an earlier process of this balancer, or by a
/// damaged one.
#[test]
fn replies_to_other_rounds_and_damaged_ones_prove_nothing() {
    let mut harness = Harness::new(2);
    let known = known_agents(2);
    for (peer, round) in start_round(&mut harness, 1, known) {
        reply(
            &mut harness,
            (peer, round.wrapping_sub(1)),
            (true, &[]),
            known,
        );
        let held = Message::HeldFlows {
            round,
            sure: true,
            agents: known,
        };
        harness.receive_from_peer(peer, held, &[]);
        harness.receive_from_peer(peer, held, &filter(&[2], round)[..4]);
    }
    harness.advance(2_000);
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against a verdict that waits for the caller's next retransmission, up to 1.6 s later.
#[test]
fn search_is_kept_until_the_agents_are_stable() {
    let mut harness = Harness::new(2);
    let known = known_agents(3);
    harness.apply_view(&[1, 2, 3].map(|index| (index, MemberState::Ready)));
    harness.receive_from_caller(DATA, 1);
    for waited_ms in 0..890 {
        harness.answer_queries(Ownership::NotHeld, known);
        harness.advance(1);
        assert_eq!(harness.sent.resets, 0, "after {waited_ms} ms");
    }
    for _ in 0..40 {
        harness.answer_queries(Ownership::NotHeld, known);
        harness.advance(1);
    }
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against the reset of a flow at an agent that other processes know, and against a search that
/// is not decided once the agent is known here too.
#[test]
fn search_is_kept_until_the_agents_of_other_processes_are_known() {
    let mut harness = Harness::new(2);
    let known = known_agents(3);
    harness.receive_from_caller(DATA, 1);
    for _ in 0..500 {
        harness.answer_queries(Ownership::NotHeld, known);
        harness.advance(1);
    }
    assert_eq!(harness.sent.resets, 0);
    let now = harness.now;
    assert!(harness.balancer.take_member_fetch(now).is_some());
    harness.answer_queries(Ownership::NotHeld, known);
    assert!(
        harness.balancer.take_member_fetch(now).is_none(),
        "too soon"
    );
    harness.apply_view(&[1, 2, 3].map(|index| (index, MemberState::Ready)));
    for _ in 0..1_050 {
        harness.answer_queries(Ownership::NotHeld, known);
        harness.advance(1);
    }
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against a search that a segment shortly after its end keeps alive, although no timeout of it is
/// left.
#[test]
fn segment_after_the_end_of_a_kept_search_starts_a_new_one() {
    let mut harness = Harness::new(2);
    let unknown = known_agents(3);
    // Ended searches are also removed every 250 ms; the segment arrives before that.
    harness.advance(60);
    harness.receive_from_caller(DATA, 1);
    for _ in 0..3_180 {
        harness.answer_queries(Ownership::NotHeld, unknown);
        harness.advance(1);
    }
    harness.sent.messages.clear();
    harness.receive_from_caller(DATA, 1);
    assert_eq!(take_queried(&mut harness).len(), 2, "the homes");
}

/// Guards against resets by a balancer that reaches no agent: agents that have not replied for some
/// seconds count as gone, and a round without replies proves nothing.
#[test]
fn balancer_that_hears_from_no_agent_resets_no_flow() {
    let mut harness = Harness::new(3);
    for _ in 0..50 {
        harness.receive_from_caller(DATA, 1);
        harness.advance(200);
    }
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against trial deliveries that fill the link of a small balancer, when all agents have been
/// restarted beside running servers. At 100 bytes for each, a tenth of the link is 1,250 in a second, and
/// the bucket holds 250.
#[test]
fn trial_deliveries_stay_within_the_budget_and_go_on_later() {
    let mut harness = Harness::new(50);
    let known = known_agents(50);
    for port in 0..100 {
        harness.receive_from_caller(DATA, port);
    }
    let mut trials = Vec::new();
    for _ in 0..1_000 {
        let sent = harness.sent.messages.iter();
        let forwards = sent.filter(|(_, message)| *message == Message::Forward);
        trials.push(forwards.count());
        harness.answer_queries(Ownership::Unsure, known);
        harness.advance(1);
    }
    let first: usize = trials[..100].iter().sum();
    let all: usize = trials.iter().sum();
    assert!(first <= 500, "{first} in 100 ms");
    assert!((500..=1_600).contains(&all), "{all} in a second");
}

/// Guards against searches for callers that have given up.
#[test]
fn kept_search_ends_3_s_after_the_last_segment() {
    let mut harness = Harness::new(2);
    let unknown = known_agents(3);
    harness.receive_from_caller(DATA, 1);
    for _ in 0..3_300 {
        harness.answer_queries(Ownership::NotHeld, unknown);
        harness.advance(1);
    }
    harness.sent.messages.clear();
    harness.advance(500);
    assert!(harness.sent.messages.is_empty());
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against the proof by a round from before the caller opened the flow again, through another
/// balancer, while the search was kept.
#[test]
fn round_from_before_a_new_acknowledgement_proves_nothing() {
    let mut harness = Harness::new(2);
    let known = known_agents(2);
    let queries = start_round(&mut harness, 1, known);
    harness.advance(1);
    harness
        .balancer
        .receive_from_caller(&[DATA, 1, 99], harness.now, &mut harness.sent);
    for query in queries {
        reply(&mut harness, query, (true, &[]), known);
    }
    assert_eq!(harness.sent.resets, 0);
    harness.advance(15);
    for query in take_round(&mut harness) {
        reply(&mut harness, query, (true, &[]), known);
    }
    assert_eq!(harness.sent.resets, 1);
}

#[test]
fn segments_of_an_unknown_flow_are_forwarded_once_its_owner_is_found() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(DATA, 1);
    harness.receive_from_caller(DATA, 1);
    let flow = flow(1);
    let found = Message::Found {
        flow,
        ownership: Ownership::Held,
        agents: KnownAgents::default(),
    };
    harness.sent.messages.clear();
    harness.receive_from_peer(agent(2), found, &[]);
    assert_eq!(harness.sent.messages, [(agent(2), Message::Forward); 2]);
}

/// Guards against a reset of a flow whose owner is outside the round: a round tells what an agent holds
/// and not what is registered with it, so a home whose reply was lost is queried again after it.
#[test]
fn home_whose_reply_was_lost_is_queried_again_after_the_round() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(DATA, 1);
    let homes = take_queried(&mut harness);
    assert_eq!(homes.len(), 2);
    harness.advance(15);
    let queries = take_round(&mut harness);
    for query in queries {
        reply(&mut harness, query, (true, &[]), known_agents(3));
    }
    assert_eq!(harness.sent.resets, 0);
    let mut queried_again = take_queried(&mut harness);
    queried_again.sort_unstable();
    let mut expected = homes.clone();
    expected.sort_unstable();
    assert_eq!(queried_again, expected);
    let found = Message::Found {
        flow: flow(1),
        ownership: Ownership::HeldBy(agent(9)),
        agents: known_agents(3),
    };
    harness.receive_from_peer(homes[0], found, &[]);
    harness.advance(100);
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against a search that goes in circles for up to 30 s: the registration at a home is older than the
/// restart of the owner's server, and the owner returns each segment.
#[test]
fn registration_of_an_agent_that_has_denied_the_flow_is_not_followed_again() {
    let mut harness = Harness::new(5);
    harness.receive_from_caller(DATA, 1);
    let homes = take_queried(&mut harness);
    let owner = (1..=5).map(agent).find(|agent| !homes.contains(agent));
    let owner = owner.expect("an agent that is no home");
    let found = Message::Found {
        flow: flow(1),
        ownership: Ownership::HeldBy(owner),
        agents: known_agents(5),
    };
    harness.receive_from_peer(homes[0], found, &[]);
    harness.sent.messages.clear();
    let segment = [DATA, 1, ACKNOWLEDGED_TENS, 0];
    harness.receive_from_peer(owner, Message::Unknown, &segment);
    harness.receive_from_peer(homes[0], found, &[]);
    let forwarded = |(_, message): &(SocketAddrV4, Message)| matches!(message, Message::Forward);
    assert!(!harness.sent.messages.iter().any(forwarded));
}

/// Guards against callers who are never told: a home still names an agent as the owner that the membership
/// removed before the balancer started, so that no change of the view makes the balancer probe it. The home may
/// be wrong, so the flow is reset once the other agents deny it, without another segment of the caller.
#[test]
fn flow_of_a_named_owner_that_is_gone_is_reset_when_it_answers_no_query() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(DATA, 1);
    let homes = take_queried(&mut harness);
    let found = Message::Found {
        flow: flow(1),
        ownership: Ownership::HeldBy(agent(9)),
        agents: known_agents(3),
    };
    harness.receive_from_peer(homes[0], found, &[]);
    harness.advance(ABSENCE_MS - 10);
    assert_eq!(harness.sent.resets, 0);
    harness.advance(210);
    assert_eq!(harness.sent.resets, 0);
    for _ in 0..10 {
        harness.deny_all_queries(known_agents(3));
    }
    assert_eq!(harness.sent.resets, 1);
}

/// Guards against a reset without any reply: the service of the route has no agents, and the agent of
/// another service, which may hold the flow since an earlier route table, does not answer.
#[test]
fn round_in_which_no_agent_is_asked_proves_nothing() {
    let mut harness = Harness::new(1);
    harness.advance(10_000);
    let view = view_of_services(&[
        (1, MemberState::Left, "desk"),
        (2, MemberState::Ready, "map"),
    ]);
    harness
        .balancer
        .apply_view(&view, harness.now, &mut harness.sent);
    for _ in 0..30 {
        harness.receive_from_caller(DATA, 1);
        harness.advance(400);
    }
    assert_eq!(harness.sent.resets, 0);
}
