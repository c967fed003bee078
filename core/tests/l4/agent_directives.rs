//! Directives at an agent: evacuation of its failure domain, and the rate of a cold server.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use berylvalve_core::{
    clock::Time,
    l4::{
        directives::Directives,
        message::{Message, Refusal},
        routes::ServiceKey,
        server::ServerState,
    },
    store::Position,
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};

use crate::{
    agent::Harness,
    codec::{ACCEPT, ANSWER, DATA, OPENING},
};

const COLD_RATE: u32 = 5;
const WARMUP: Duration = Duration::from_secs(20);

fn evacuation(domain: &str) -> Arc<Directives> {
    Arc::new(Directives {
        position: Position {
            era: 0,
            revision: 7,
        },
        evacuated: BTreeMap::from([(domain.to_owned(), Position::START)]),
        ..Directives::default()
    })
}

fn apply(harness: &mut Harness, directives: &Arc<Directives>) {
    harness
        .agent
        .apply_directives(directives, harness.now, &mut harness.sent);
}

/// Returns an agent that has run for longer than a second beside a cold server with a stated rate.
fn beside_cold_server() -> Harness {
    let mut harness = Harness::new(0);
    apply(&mut harness, &cold_rate(COLD_RATE));
    harness.report_cold("a", 1, 1, ServerState::Ready, WARMUP);
    advance(&mut harness, 1_100);
    harness.sent.messages.clear();
    harness
}

fn cold_rate(rate: u32) -> Arc<Directives> {
    Arc::new(Directives {
        cold_rates: BTreeMap::from([(ServiceKey::of("desk"), rate)]),
        ..Directives::default()
    })
}

fn advance(harness: &mut Harness, millis: u64) {
    for _ in 0..millis {
        harness.now = harness.now + Duration::from_millis(1);
        if harness.now >= harness.agent.due() {
            harness.agent.tick(harness.now, &mut harness.sent);
        }
    }
}

fn open_with_priority(harness: &mut Harness, priority: u8, port: u8) {
    let message = Message::Open {
        service: ServiceKey::of("desk"),
        forced: true,
        priority,
        target_ms: 5_000,
        left_ms: None,
    };
    harness.send(message, &[OPENING, port, 0]);
}

/// Guards against flows on an evacuated domain from a balancer that has not heard of the evacuation: not
/// even a forced opening is admitted.
#[test]
fn agent_of_an_evacuated_domain_refuses_forced_openings() {
    let mut harness = Harness::new(0);
    apply(&mut harness, &evacuation("a"));
    for forced in [false, true] {
        harness.open("desk", forced, 1);
        assert_eq!(harness.refusal(), Some(Refusal::Draining));
    }
    assert!(harness.sent.delivered.is_empty());
    assert_eq!(harness.agent.metrics().evacuation_refusals.get(), 2);
    apply(&mut harness, &Arc::default());
    harness.open("desk", false, 1);
    assert_eq!(harness.sent.delivered.len(), 1);
}

/// Guards against an evacuation that also empties the other domains.
#[test]
fn agent_of_another_domain_admits_flows() {
    let mut harness = Harness::new(0);
    apply(&mut harness, &evacuation("b"));
    harness.open("desk", false, 1);
    assert_eq!(harness.sent.delivered.len(), 1);
}

/// Guards against an evacuation that cuts open flows off, or leaves a caller whose first opening was
/// delivered without an answer.
#[test]
fn open_flows_and_repeated_openings_go_on_during_an_evacuation() {
    let mut harness = Harness::new(0);
    harness.establish(1, 5);
    harness.open("desk", true, 2);
    apply(&mut harness, &evacuation("a"));
    harness.sent.delivered.clear();
    harness.send(Message::Forward, &[DATA, 1, 6]);
    harness.open("desk", true, 2);
    assert_eq!(harness.sent.delivered.len(), 2);
    assert!(harness.sent.reset_ports.is_empty());
    assert_eq!(harness.agent.metrics().evacuation_refusals.get(), 0);
}

/// Guards against flows that wait at an evacuated agent until their callers give up, or that are
/// delivered once a slot is free.
#[test]
fn waiting_flows_are_returned_at_the_start_of_an_evacuation() {
    let mut harness = Harness::new(0);
    for port in 1..=7 {
        harness.open("desk", true, port);
    }
    harness.sent.messages.clear();
    let delivered = harness.sent.delivered.len();
    apply(&mut harness, &evacuation("a"));
    let refused = |message: &&Message| {
        let draining = Refusal::Draining;
        matches!(message, Message::Refused { refusal, .. } if *refusal == draining)
    };
    let returned = harness.sent.messages.iter().filter(refused).count();
    assert_eq!(returned, 7 - delivered);
    harness.receive_from_server(ANSWER, 1, 5);
    advance(&mut harness, 500);
    assert_eq!(harness.sent.delivered.len(), delivered);
}

/// Guards against a burst at a cold server from several balancers that each see it idle.
#[test]
fn openings_above_the_cold_rate_are_refused_as_busy() {
    let mut harness = beside_cold_server();
    for port in 1..=20 {
        harness.open("desk", false, port);
        if harness.refusal().is_none() {
            harness.receive_from_server(ACCEPT, port, 5);
            harness.send(Message::Forward, &[DATA, port, 5]);
            harness.receive_from_server(ANSWER, port, 5);
        }
        advance(&mut harness, 10);
    }
    // Opening and first request count as one.
    let delivered = 2 * COLD_RATE as usize;
    assert_eq!(harness.sent.delivered.len(), delivered);
    assert_eq!(harness.agent.metrics().cold_refusals.get(), 15);
    harness.sent.messages.clear();
    harness.open("desk", false, 30);
    assert_eq!(harness.refusal(), Some(Refusal::Busy));
}

/// Guards against overload of a cold server by an agent that has restarted and does not know what the
/// earlier one delivered within the last second.
#[test]
fn restarted_agent_admits_nothing_to_a_cold_server_for_a_second() {
    let mut harness = Harness::new(40);
    apply(&mut harness, &cold_rate(COLD_RATE));
    harness.report_cold("a", 1, 41, ServerState::Ready, WARMUP);
    for _ in 0..10 {
        harness.open("desk", false, 1);
        assert_eq!(harness.refusal(), Some(Refusal::Busy));
        advance(&mut harness, 100);
    }
    advance(&mut harness, 1);
    harness.open("desk", false, 1);
    assert_eq!(harness.sent.delivered.len(), 1);
}

/// Guards against forced openings that exceed the cold rate, and against a wait in the order of arrival.
#[test]
fn forced_openings_wait_and_go_at_the_cold_rate_with_the_highest_priority_first() {
    let mut harness = beside_cold_server();
    for port in 1..=5 {
        open_with_priority(&mut harness, 1, port);
        harness.receive_from_server(ACCEPT, port, 5);
        harness.send(Message::Forward, &[DATA, port, 5]);
        harness.receive_from_server(ANSWER, port, 5);
    }
    harness.sent.delivered.clear();
    for (priority, port) in [(3, 11), (1, 12), (2, 13), (0, 14)] {
        open_with_priority(&mut harness, priority, port);
    }
    assert!(harness.sent.delivered.is_empty());
    advance(&mut harness, 1_001);
    let ports: Vec<u8> = harness.sent.delivered.iter().map(|d| d[1]).collect();
    assert_eq!(ports, [14, 12, 13, 11]);
}

/// Guards against a changed admission in fleets whose operator states no rate.
#[test]
fn cold_server_without_a_stated_rate_is_not_limited() {
    let mut harness = Harness::new(0);
    harness.report_cold("a", 1, 1, ServerState::Ready, WARMUP);
    for port in 1..=50 {
        harness.establish(port, 5);
    }
    assert_eq!(harness.sent.delivered.len(), 100);
    assert_eq!(harness.agent.metrics().cold_refusals.get(), 0);
}

#[derive(Clone, Debug)]
enum Event {
    /// Balancers send openings, forced or not.
    Open { count: u8, forced: bool },
    /// The server answers all flows that it has accepted.
    Answer,
    /// Time passes.
    Run(u64),
    /// The VM with the agent and the server is frozen; frames that arrive meanwhile are read later.
    Freeze(u64),
    /// The agent is started anew beside the running server.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    let open = (1..12u8, any::<bool>());
    prop_oneof![
        6 => open.prop_map(|(count, forced)| Event::Open { count, forced }),
        4 => Just(Event::Answer),
        8 => (1..400u64).prop_map(Event::Run),
        1 => (301..4_000u64).prop_map(Event::Freeze),
        1 => Just(Event::Restart),
    ]
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(45),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against a second of the server's time in which a cold server gets more new flows than its
    /// rate, whether forced, waiting or neither, after a freeze and after a restart of the agent.
    #[test]
    fn cold_server_never_gets_more_flows_a_second_than_its_rate(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut harness = beside_cold_server();
        let mut frozen = Duration::ZERO;
        let mut next_port: u8 = 1;
        let mut delivered = BTreeMap::new();
        for event in events {
            match event {
                Event::Open { count, forced } => {
                    for _ in 0..count.min(u8::MAX - next_port) {
                        harness.open("desk", forced, next_port);
                        next_port += 1;
                    }
                }
                Event::Answer => {
                    for port in delivered.keys().copied() {
                        harness.receive_from_server(ACCEPT, port, 5);
                        harness.send(Message::Forward, &[DATA, port, 5]);
                        harness.receive_from_server(ANSWER, port, 5);
                    }
                }
                Event::Run(millis) => {
                    for _ in 0..millis {
                        advance(&mut harness, 1);
                        record_delivered(&mut harness, frozen, &mut delivered);
                    }
                }
                Event::Freeze(millis) => {
                    harness.now = harness.now + Duration::from_millis(millis);
                    frozen += Duration::from_millis(millis);
                }
                Event::Restart => {
                    harness.restart();
                    apply(&mut harness, &cold_rate(COLD_RATE));
                    harness.report_cold("a", 1, 100, ServerState::Ready, WARMUP);
                }
            }
            record_delivered(&mut harness, frozen, &mut delivered);
        }
        for end in delivered.values() {
            let in_window = |time: &&Time| **time <= *end && end.since(**time) <= Duration::from_secs(1);
            let count = delivered.values().filter(in_window).count();
            prop_assert!(count <= COLD_RATE as usize, "{count} until {end:?}");
        }
    }
}

/// Records the flows that the server has got, by their ports, at the time without freezes.
fn record_delivered(harness: &mut Harness, frozen: Duration, delivered: &mut BTreeMap<u8, Time>) {
    for datagram in harness.sent.delivered.drain(..) {
        if datagram[0] == OPENING {
            delivered.entry(datagram[1]).or_insert(harness.now - frozen);
        }
    }
}
