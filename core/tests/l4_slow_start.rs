//! The limit of new requests to a cold server, against a checker that counts every window.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{segment::FlowKey, slow_start::ColdLimit},
};
use proptest::{
    prelude::*,
    test_runner::{RngAlgorithm, RngSeed},
};

const SECOND: Duration = Duration::from_secs(1);
const WARMUP: Duration = Duration::from_secs(600);

/// Longest time between two calls of a running agent.
const MAX_STEP_MS: u64 = 200;

fn flow(number: usize) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), number as u16),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

#[derive(Clone, Debug)]
enum Event {
    /// Openings arrive.
    Open(u8),
    /// The first request on the oldest flow without one arrives.
    FirstRequest,
    /// A further request on an open flow arrives.
    Request,
    /// Time passes.
    Run(u64),
    /// The VM with the agent and the server is frozen.
    Freeze(u64),
    /// The agent is started anew; the server keeps running.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (1..20u8).prop_map(Event::Open),
        6 => Just(Event::FirstRequest),
        1 => Just(Event::Request),
        8 => (1..=MAX_STEP_MS).prop_map(Event::Run),
        1 => (301..5_000u64).prop_map(Event::Freeze),
        1 => Just(Event::Restart),
    ]
}

/// An agent's limit, and what its server has got by the time in which both run.
struct Model {
    limit: ColdLimit,
    rate: u32,
    /// By the agent's clock, which goes on in a freeze.
    now: Time,
    /// Without freezes.
    running: Time,
    /// Time of each delivered opening.
    opened: Vec<Time>,
    /// Time of each flow's first request, or of its opening while there is none; then those of further
    /// requests.
    new_requests: Vec<Time>,
    /// Flows without a request, by their index in `new_requests`.
    waiting: Vec<usize>,
}

impl Model {
    fn new(rate: u32) -> Self {
        let mut model = Self {
            limit: ColdLimit::new(Time::default()),
            rate,
            now: Time::default(),
            running: Time::default(),
            opened: Vec::new(),
            new_requests: Vec::new(),
            waiting: Vec::new(),
        };
        model.restart();
        model
    }

    fn restart(&mut self) {
        self.limit = ColdLimit::new(self.now);
        self.limit.set_rate(Some(self.rate));
        self.limit.set_warm_at(self.now + WARMUP, self.now);
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Open(count) => {
                for _ in 0..count {
                    self.open();
                }
            }
            Event::FirstRequest if !self.waiting.is_empty() => {
                let index = self.waiting.remove(0);
                self.limit.record_request(flow(index), self.now);
                self.new_requests[index] = self.running;
            }
            Event::FirstRequest => {}
            Event::Request => {
                // A number that no opening has.
                self.limit
                    .record_request(flow(usize::from(u16::MAX)), self.now);
                self.new_requests.push(self.running);
            }
            Event::Run(millis) => {
                self.now = self.now + Duration::from_millis(millis);
                self.running = self.running + Duration::from_millis(millis);
            }
            Event::Freeze(millis) => self.now = self.now + Duration::from_millis(millis),
            Event::Restart => self.restart(),
        }
        self.limit.advance(self.now);
    }

    fn open(&mut self) {
        if !self.limit.admits(self.now) {
            return;
        }
        let index = self.new_requests.len();
        self.limit.record_opening(flow(index), self.now);
        self.opened.push(self.running);
        self.new_requests.push(self.running);
        self.waiting.push(index);
        let recent = count_since(&self.new_requests, self.running);
        assert!(recent <= self.rate as usize, "{recent} in the last second");
    }
}

/// Returns the number of times in the second that ends at `end`, including both ends.
fn count_since(times: &[Time], end: Time) -> usize {
    let in_window = |time: &&Time| **time <= end && end.since(**time) <= SECOND;
    times.iter().filter(in_window).count()
}

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(44),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Guards against more openings than the rate in any second of the server's time: at the boundary of
    /// two windows, after a freeze, after a restart of the agent, and together with requests.
    #[test]
    fn no_second_has_more_openings_than_the_rate(
        rate in 1..30u32,
        events in prop::collection::vec(event(), 1..300),
    ) {
        let mut model = Model::new(rate);
        for event in &events {
            model.apply(event);
        }
        for end in &model.opened {
            let count = count_since(&model.opened, *end);
            prop_assert!(count <= rate as usize, "{count} until {end:?}");
        }
    }

    /// Guards against first requests that come later than their openings and meet those of the next
    /// window.
    #[test]
    fn no_second_has_more_first_requests_than_the_rate(
        rate in 1..30u32,
        steps in prop::collection::vec((1..20u8, 1..=MAX_STEP_MS), 1..100),
    ) {
        let mut model = Model::new(rate);
        for (openings, millis) in steps {
            model.apply(&Event::Open(openings));
            model.apply(&Event::Run(millis));
            for _ in 0..rate / 2 + 1 {
                model.apply(&Event::FirstRequest);
            }
        }
        for end in &model.new_requests {
            let count = count_since(&model.new_requests, *end);
            prop_assert!(count <= rate as usize, "{count} until {end:?}");
        }
    }

    /// Guards against a limit that is stricter than stated: with openings always waiting, each second
    /// gets the full rate.
    #[test]
    fn full_rate_is_used(rate in 1..200u32) {
        let mut model = Model::new(rate);
        for _ in 0..5_100 {
            model.apply(&Event::Run(1));
            model.apply(&Event::Open(3));
        }
        // The first second after the agent's start is left out.
        let count = model.opened.len() as u32;
        prop_assert!(count >= 4 * rate, "{count}");
    }
}

/// Guards against a limit that stays after the server has become warm, and against one where no rate is
/// stated.
#[test]
fn warm_server_and_one_without_a_rate_are_not_limited() {
    let mut limit = ColdLimit::new(Time::default());
    limit.set_warm_at(Time::from_millis(2_000), Time::default());
    assert!(limit.admits(Time::default()), "without a rate");
    limit.set_rate(Some(1));
    assert!(!limit.admits(Time::default()));
    for millis in (200..2_000).step_by(200) {
        limit.advance(Time::from_millis(millis));
    }
    assert!(limit.admits(Time::from_millis(1_900)));
    limit.record_opening(flow(1), Time::from_millis(1_900));
    assert!(!limit.admits(Time::from_millis(1_999)));
    assert!(limit.admits(Time::from_millis(2_000)));
}

/// Guards against a restarted agent that admits flows to a cold server while the directives with its rate
/// are on their way, and against one that waits for ever.
#[test]
fn nothing_is_admitted_to_a_cold_server_while_its_rate_is_awaited() {
    let mut limit = ColdLimit::new(Time::default());
    limit.await_rate();
    assert!(limit.admits(Time::default()), "a warm server");
    limit.set_warm_at(Time::from_millis(60_000), Time::default());
    let mut informed = limit.clone();
    for millis in (0..3_000).step_by(200) {
        assert!(!limit.admits(Time::from_millis(millis)));
    }
    assert!(limit.admits(Time::from_millis(3_000)));
    informed.set_rate(None);
    assert!(informed.admits(Time::default()), "no limit is stated");
}

/// Guards against an event loop that spins, or sleeps past the time at which a waiting flow may go.
#[test]
fn next_free_time_is_the_first_that_admits() {
    let mut limit = ColdLimit::new(Time::default());
    limit.set_rate(Some(2));
    limit.set_warm_at(Time::from_millis(60_000), Time::default());
    for millis in (0..=1_400).step_by(200) {
        limit.advance(Time::from_millis(millis));
    }
    assert_eq!(limit.free_at(), None, "a free window delays nothing");
    limit.record_opening(flow(1), Time::from_millis(1_400));
    limit.record_opening(flow(2), Time::from_millis(1_450));
    let free_at = limit.free_at().unwrap();
    for millis in (1_500..=2_400).step_by(100) {
        assert!(!limit.admits(Time::from_millis(millis)));
    }
    assert_eq!(free_at, Time::from_millis(2_400) + Duration::from_micros(1));
    assert!(limit.admits(free_at));
}
