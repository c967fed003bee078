//! When a silent agent counts as absent: what ends a series of unanswered queries, and what the queries cost.

use std::{net::SocketAddrV4, time::Duration};

use berylvalve_core::{
    l4::{
        message::{Message, Ownership},
        workload::Load,
    },
    member::MemberState,
};

use crate::{
    balancer::{ABSENCE_MS, ACKNOWLEDGED_TENS, Harness, agent, known_agents, view},
    codec::DATA,
    search::take_queried,
};

/// Interval of the queries to a silent agent, in milliseconds.
const QUERY_MS: u64 = 120;

/// The agent that does not answer.
const SILENT: u8 = 3;

/// Returns a port whose flow has other homes than the silent agent.
pub(crate) fn port_with_other_homes() -> u8 {
    let mut probe = Harness::new(SILENT);
    let mut is_home = |port: &u8| {
        probe.receive_from_caller(DATA, *port);
        take_queried(&mut probe).contains(&agent(SILENT))
    };
    (1..100).find(|port| !is_home(port)).unwrap()
}

/// Lets time pass in which all agents but the silent one deny all flows. The second one does so by returning
/// the segments, if it is unsure.
fn advance(harness: &mut Harness, port: u8, millis: u64, is_second_unsure: bool) {
    let known = known_agents(SILENT);
    for _ in 0..millis {
        for (peer, message) in std::mem::take(&mut harness.sent.messages) {
            let ownership = match is_second_unsure && peer == agent(2) {
                true => Ownership::Unsure,
                false => Ownership::NotHeld,
            };
            match message {
                _ if peer == agent(SILENT) => {}
                Message::Forward => {
                    let segment = [DATA, port, ACKNOWLEDGED_TENS];
                    harness.receive_from_peer(peer, Message::Unknown, &segment);
                }
                _ => harness.answer(peer, message, ownership, known),
            }
        }
        harness.advance(1);
    }
}

/// Lets time pass in which the caller sends a copy of its segment every 100 ms.
fn retransmit(harness: &mut Harness, port: u8, millis: u64) {
    for _ in 0..millis / 100 {
        harness.receive_from_caller(DATA, port);
        advance(harness, port, 100, false);
    }
}

/// Guards against two silences of an agent, some seconds apart, that are taken for one absence: it was
/// restarted twice, and answers in between if it is asked. One caller sends at each silence, and does not
/// retransmit.
#[test]
fn agent_that_was_silent_twice_and_lived_in_between_is_not_absent() {
    /// Length of a silence, in milliseconds.
    const SILENCE_MS: u64 = 700;
    let port = port_with_other_homes();
    for life_ms in [300, 1_000, 2_700, 3_300, 5_000, 20_000] {
        let mut harness = Harness::new(3);
        let known = known_agents(3);
        for (is_silent, millis) in [(true, SILENCE_MS), (false, life_ms), (true, SILENCE_MS)] {
            if is_silent {
                harness.receive_from_caller(DATA, port);
            }
            for _ in 0..millis {
                for (peer, message) in std::mem::take(&mut harness.sent.messages) {
                    if peer != agent(3) {
                        harness.answer(peer, message, Ownership::NotHeld, known);
                    } else if !is_silent {
                        harness.answer(peer, message, Ownership::Unsure, known);
                    }
                }
                harness.advance(1);
            }
        }
        assert_eq!(harness.sent.resets, 0, "alive for {life_ms} ms in between");
    }
}

/// What happens while the agent is silent.
#[derive(Clone, Copy, Debug)]
enum Interruption {
    Nothing,
    /// This process stands still, and may miss a life of the agent.
    Freeze,
    /// Another process has heard the agent, and the membership shows its newer record.
    NewerRecord,
    /// The agent reports its load.
    Message,
}

/// Guards against a silence that goes on over a sign of life, or over a time in which the agent was not
/// queried. The flow is reset once the agent has been silent for long enough after it, and not before.
#[test]
fn silence_counts_anew_after_a_sign_of_life_and_after_a_gap() {
    let port = port_with_other_homes();
    let cases = [
        (Interruption::Nothing, ABSENCE_MS - 2_000),
        (Interruption::Freeze, ABSENCE_MS),
        (Interruption::NewerRecord, ABSENCE_MS),
        (Interruption::Message, ABSENCE_MS),
    ];
    for (interruption, absent_after) in cases {
        let mut harness = Harness::new(SILENT);
        harness.receive_from_caller(DATA, port);
        advance(&mut harness, port, 2_000, false);
        match interruption {
            Interruption::Nothing => {}
            Interruption::Freeze => harness.now = harness.now + Duration::from_secs(10),
            Interruption::NewerRecord => {
                let mut view = view(&[1, 2, SILENT].map(|index| (index, MemberState::Ready)));
                view.members.get_mut(&agent(SILENT)).unwrap().version += 1;
                let (balancer, now) = (&mut harness.balancer, harness.now);
                balancer.apply_view(&view, now, &mut harness.sent);
            }
            Interruption::Message => {
                let report = Message::LoadReport(Load::default());
                harness.receive_from_peer(agent(SILENT), report, &[]);
            }
        }
        retransmit(&mut harness, port, absent_after - 100);
        assert_eq!(harness.sent.resets, 0, "too early: {interruption:?}");
        // A search takes up to 200 ms until it misses the reply, and another one as long to the verdict.
        retransmit(&mut harness, port, 600);
        assert!(harness.sent.resets > 0, "not told: {interruption:?}");
    }
}

/// Guards against a reset that rests on the absence of an agent which answers while the last agents are
/// still asked.
#[test]
fn agent_that_answers_before_the_verdict_is_not_absent() {
    let port = port_with_other_homes();
    for (answers, resets) in [(false, 1), (true, 0)] {
        let mut harness = Harness::new(SILENT);
        harness.receive_from_caller(DATA, port);
        advance(&mut harness, port, ABSENCE_MS + 500, true);
        assert_eq!(harness.sent.resets, 0);
        harness.receive_from_caller(DATA, port);
        // Up to the trial delivery at the unsure agent.
        while !harness
            .sent
            .messages
            .contains(&(agent(2), Message::Forward))
        {
            advance(&mut harness, port, 1, true);
        }
        if answers {
            let report = Message::LoadReport(Load::default());
            harness.receive_from_peer(agent(SILENT), report, &[]);
        }
        advance(&mut harness, port, 100, true);
        assert_eq!(harness.sent.resets, resets, "answers: {answers}");
    }
}

/// Guards against queries to silent agents that fill the link of a small balancer: at 100 bytes for each, half of a
/// tenth of 10 Mbit/s is 750 in 1.2 s.
#[test]
fn queries_to_many_silent_agents_take_at_most_half_of_the_budget() {
    let mut harness = Harness::new(120);
    let known = known_agents(120);
    harness.receive_from_caller(DATA, 1);
    let mut sent: Vec<SocketAddrV4> = Vec::new();
    for ms in 0..9_000 {
        if ms % 400 == 0 {
            harness.receive_from_caller(DATA, 1);
        }
        for (peer, message) in std::mem::take(&mut harness.sent.messages) {
            if peer == agent(1) {
                harness.answer(peer, message, Ownership::NotHeld, known);
            } else if ms >= 7_800 && is_query_to_silent(&message) {
                sent.push(peer);
            }
        }
        harness.advance(1);
    }
    assert!((1..=750).contains(&sent.len()), "{} in 1.2 s", sent.len());
    sent.sort_unstable();
    for queries in sent.chunk_by(|a, b| a == b) {
        let expected = 1_200 / QUERY_MS - 1;
        assert!(queries.len() as u64 >= expected, "{queries:?}");
    }
}

/// Returns whether a message asks for the flow that can't exist.
fn is_query_to_silent(message: &Message) -> bool {
    matches!(message, Message::Find { flow, .. } if flow.caller.port() == 0)
}
