//! Admission control and capacity estimation as state machines under virtual time.

use std::{collections::BTreeMap, time::Duration};

use berylvalve::{
    agent::{
        admission::{
            Action, Admission, AdmissionDecision, Arrival, CapacityEstimate, MAX_QUEUE_DELAY,
            Refusal, RefusalReason, WaiterId,
        },
        capacity::{CapacityEstimator, INITIAL_WEIGHT, ServerOutcome},
    },
    clock::Time,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const SLOTS: u32 = 2;
const SERVICE_TIME: Duration = Duration::from_millis(10);
/// Target for the time until a request without a reservation is refused.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(50);
const CASES: u32 = 300;
const SEED: [u8; 32] = [7; 32];

fn arrival(priority: u8, deadline_ms: u64) -> Arrival {
    Arrival {
        deadline: Time::from_millis(deadline_ms),
        priority,
        queue_limit: 64,
    }
}

/// Returns an admission control whose slots are all in use.
fn fully_used() -> Admission {
    let mut admission = Admission::new(SLOTS, 2000);
    admission.set_capacity(CapacityEstimate {
        concurrency_limit: SLOTS,
        service_time: SERVICE_TIME,
    });
    for _ in 0..SLOTS {
        let decision = admission.try_admit(&arrival(4, 5000), Time(0));
        assert_eq!(decision, AdmissionDecision::Start);
    }
    admission
}

fn enqueue(admission: &mut Admission, arrival: Arrival, now: Time) -> WaiterId {
    match admission.try_admit(&arrival, now) {
        AdmissionDecision::Wait(id) => id,
        other => panic!("expected to wait: {other:?}"),
    }
}

fn refusal_reason(decision: AdmissionDecision) -> RefusalReason {
    match decision {
        AdmissionDecision::Refuse(refusal) => refusal.reason,
        other => panic!("expected a refusal: {other:?}"),
    }
}

/// Frees slots one by one and returns the order in which the waiters start.
fn release_until_empty(admission: &mut Admission, now: Time) -> Vec<WaiterId> {
    let mut started = Vec::new();
    while admission.waiting() > 0 {
        admission.release_slot();
        for action in admission.poll(now) {
            match action {
                Action::Start(id) => started.push(id),
                Action::Refuse(..) => panic!("a waiter was refused"),
            }
        }
    }
    started
}

#[test]
fn waiters_start_by_priority_then_deadline() {
    let mut admission = fully_used();
    let later = enqueue(&mut admission, arrival(1, 4000), Time(0));
    let sooner = enqueue(&mut admission, arrival(1, 3000), Time(0));
    let lowest = enqueue(&mut admission, arrival(7, 1000), Time(0));
    let highest = enqueue(&mut admission, arrival(0, 5000), Time(0));
    assert_eq!(
        release_until_empty(&mut admission, Time(1)),
        [highest, sooner, later, lowest]
    );
}

#[test]
fn a_request_of_high_priority_evicts_one_of_low_priority_at_once() {
    let mut admission = fully_used();
    let mut waiters = Vec::new();
    while let AdmissionDecision::Wait(id) = admission.try_admit(&arrival(7, 5000), Time(0)) {
        waiters.push(id);
    }
    let refused = admission.try_admit(&arrival(7, 5000), Time(0));
    assert_eq!(refusal_reason(refused), RefusalReason::QueueFull);
    enqueue(&mut admission, arrival(0, 5000), Time(1));
    let actions = admission.poll(Time(1));
    let [Action::Refuse(id, refusal)] = actions[..] else {
        panic!("expected one refusal: {actions:?}");
    };
    assert_eq!(id, *waiters.last().unwrap());
    assert_eq!(refusal.reason, RefusalReason::Evicted);
    assert!(refusal.retry_at.since(Time(1)) >= Duration::from_secs(1));
}

#[test]
fn a_request_that_cannot_complete_by_its_deadline_is_refused_at_once() {
    let mut admission = fully_used();
    let refused = admission.try_admit(&arrival(0, 14), Time(0));
    assert_eq!(refusal_reason(refused), RefusalReason::Deadline);
    let refused = admission.try_admit(&arrival(0, 5), Time::from_millis(5));
    assert_eq!(refusal_reason(refused), RefusalReason::Deadline);
    enqueue(&mut admission, arrival(0, 15), Time(0));
}

#[test]
fn a_waiter_that_can_no_longer_complete_by_its_deadline_is_refused_at_once() {
    let mut admission = fully_used();
    let lowest = enqueue(&mut admission, arrival(7, 16), Time(0));
    assert_eq!(admission.poll(Time(0)), []);
    enqueue(&mut admission, arrival(0, 5000), Time(1));
    let actions = admission.poll(Time(1));
    assert!(
        matches!(actions[..], [Action::Refuse(id, r)] if id == lowest && r.reason == RefusalReason::Deadline),
        "{actions:?}"
    );
}

#[test]
fn the_deadline_is_checked_again_when_a_slot_becomes_free() {
    let mut admission = fully_used();
    let id = enqueue(&mut admission, arrival(0, 30), Time(0));
    // The process was frozen until after the deadline and polls late.
    admission.release_slot();
    let actions = admission.poll(Time::from_millis(31));
    assert!(
        matches!(actions[..], [Action::Refuse(other, _)] if other == id),
        "{actions:?}"
    );
    assert_eq!(admission.running(), SLOTS - 1);
}

#[test]
fn a_stalled_server_keeps_one_waiter_per_slot_and_refuses_the_rest() {
    let mut admission = fully_used();
    for _ in 0..5 {
        enqueue(&mut admission, arrival(4, 5000), Time(0));
    }
    let due = Time(0) + MAX_QUEUE_DELAY;
    assert_eq!(admission.next_poll(), Some(due));
    let actions = admission.poll(due);
    assert_eq!(actions.len(), 3, "{actions:?}");
    assert_eq!(admission.waiting(), SLOTS as usize);
}

#[test]
fn feeds_use_connections_instead_of_slots() {
    let mut admission = Admission::new(SLOTS, SLOTS + 3);
    for _ in 0..3 {
        admission.open_feed(Time(0)).unwrap();
    }
    let refusal = admission.open_feed(Time(0)).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Connections);
    assert_eq!(admission.running(), 0);
    let decision = admission.try_admit(&arrival(7, 5000), Time(0));
    assert_eq!(decision, AdmissionDecision::Start);
    admission.close_feed();
    admission.open_feed(Time(0)).unwrap();
}

/// A step of a random sequence.
#[derive(Clone, Debug)]
enum Step {
    Arrive { priority: u8, left_ms: u64 },
    Cancel(usize),
    Release,
    SetConcurrency(u32),
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..8, 0_u64..200).prop_map(|(priority, left_ms)| Step::Arrive { priority, left_ms }),
        1 => (0_usize..8).prop_map(Step::Cancel),
        3 => Just(Step::Release),
        1 => (1_u32..5).prop_map(Step::SetConcurrency),
        2 => (0_u64..60).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// An admission control with a model of its state that checks each result.
struct CheckedAdmission {
    admission: Admission,
    concurrency_limit: u32,
    now: Time,
    waiting: BTreeMap<WaiterId, (Time, Arrival)>,
}

impl CheckedAdmission {
    fn apply(&mut self, step: &Step) {
        let before = self.admission.running();
        match *step {
            Step::Arrive { priority, left_ms } => {
                let arrival = arrival(priority, self.now.as_millis() + left_ms);
                let decision = self.admission.try_admit(&arrival, self.now);
                if let AdmissionDecision::Wait(id) = decision {
                    self.waiting.insert(id, (self.now, arrival));
                }
                let is_started = decision == AdmissionDecision::Start;
                assert!(!is_started || before < self.concurrency_limit);
                assert!(!is_started || self.now < arrival.deadline);
            }
            Step::Cancel(index) => {
                let id = self.waiting.keys().nth(index).copied();
                if let Some(id) = id {
                    self.waiting.remove(&id);
                    self.admission.cancel(id);
                }
            }
            Step::Release => self.admission.release_slot(),
            Step::SetConcurrency(concurrency_limit) => {
                self.concurrency_limit = concurrency_limit;
                self.admission.set_capacity(CapacityEstimate {
                    concurrency_limit,
                    service_time: SERVICE_TIME,
                });
            }
            Step::Advance { ms } => self.advance(self.now + Duration::from_millis(ms)),
        }
        self.poll();
    }

    /// Advances the time and polls whenever a poll is due.
    fn advance(&mut self, until: Time) {
        while let Some(due) = self.admission.next_poll().filter(|due| *due < until) {
            self.now = due.max(self.now);
            self.poll();
            if self.admission.next_poll() == Some(due) {
                break;
            }
        }
        self.now = until;
    }

    fn poll(&mut self) {
        let before = self.admission.running();
        let mut starts = 0;
        for action in self.admission.poll(self.now) {
            match action {
                Action::Start(id) => {
                    let (_, arrival) = self.waiting.remove(&id).expect("known waiter");
                    assert!(self.now < arrival.deadline);
                    starts += 1;
                }
                Action::Refuse(id, refusal) => self.check_refusal(id, &refusal),
            }
        }
        assert!(starts == 0 || before + starts <= self.concurrency_limit);
        assert_eq!(
            self.admission.waiting(),
            self.waiting.len(),
            "the admission control and the model disagree on the waiters"
        );
    }

    fn check_refusal(&mut self, id: WaiterId, refusal: &Refusal) {
        let (arrived, _) = self.waiting.remove(&id).expect("known waiter");
        let is_late = self.now.since(arrived) > MAX_REFUSAL_DELAY;
        // Only a request with a reservation waits longer, and it is refused only for its deadline.
        assert!(
            !is_late || refusal.reason == RefusalReason::Deadline,
            "{refusal:?}"
        );
    }
}

/// No request may start without a free slot or after its deadline, and none without a reservation
/// may be refused later than [`MAX_REFUSAL_DELAY`].
#[test]
fn admission_keeps_its_invariants_in_random_sequences() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let steps = prop::collection::vec(step(), 1..120);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps, |steps| {
        let mut admission = Admission::new(SLOTS, 2000);
        admission.set_capacity(CapacityEstimate {
            concurrency_limit: SLOTS,
            service_time: SERVICE_TIME,
        });
        let mut checked = CheckedAdmission {
            admission,
            concurrency_limit: SLOTS,
            now: Time(0),
            waiting: BTreeMap::new(),
        };
        for step in &steps {
            checked.apply(step);
        }
        Ok(())
    });
    result.unwrap();
}

/// Serves `count` requests one after another and returns the time of the last completion.
fn serve(
    capacity: &mut CapacityEstimator,
    count: u32,
    service_time: Duration,
    mut now: Time,
) -> Time {
    for _ in 0..count {
        let started = now;
        now = now + service_time;
        capacity.record_outcome(ServerOutcome::Served, started, now);
    }
    now
}

#[test]
fn the_weight_follows_the_measured_rate() {
    let mut capacity = CapacityEstimator::new(7, Time(0));
    let now = serve(&mut capacity, 1000, SERVICE_TIME, Time(0));
    assert_eq!(capacity.weight(None, now), 700);
    let now = serve(&mut capacity, 200, 4 * SERVICE_TIME, now);
    assert!((174..=178).contains(&capacity.weight(None, now)));
}

#[test]
fn a_cold_server_gets_a_low_weight_until_slow_start_ends() {
    let mut capacity = CapacityEstimator::new(7, Time(0));
    assert_eq!(capacity.weight(None, Time(0)), INITIAL_WEIGHT);
    let now = serve(&mut capacity, 10, SERVICE_TIME, Time(0));
    let cold = capacity.weight(None, now);
    assert!(cold < 200, "{cold}");
    let warm = capacity.weight(None, now + Duration::from_secs(5));
    assert_eq!(warm, 700);
}

#[test]
fn shed_requests_lower_the_concurrency_which_recovers_gradually() {
    let mut capacity = CapacityEstimator::new(7, Time(0));
    let mut now = serve(&mut capacity, 100, SERVICE_TIME, Time(0));
    for _ in 0..20 {
        capacity.record_outcome(ServerOutcome::Shed, now, now);
        now = now + Duration::from_millis(60);
    }
    assert_eq!(capacity.estimate(now).concurrency_limit, 1);
    let now = now + Duration::from_secs(2);
    let recovering = capacity.estimate(now).concurrency_limit;
    assert!((2..=4).contains(&recovering), "{recovering}");
    assert_eq!(
        capacity
            .estimate(now + Duration::from_secs(6))
            .concurrency_limit,
        7
    );
}

#[test]
fn a_server_that_fails_fast_gets_the_lowest_weight() {
    let mut capacity = CapacityEstimator::new(7, Time(0));
    let mut now = serve(&mut capacity, 100, SERVICE_TIME, Time(0)) + Duration::from_secs(6);
    for _ in 0..300 {
        let started = now;
        now = now + Duration::from_millis(1);
        capacity.record_outcome(ServerOutcome::Failed, started, now);
    }
    assert_eq!(capacity.weight(Some(500), now), 10);
}

#[test]
fn announcements_are_limited_in_rate_and_to_large_changes() {
    let mut capacity = CapacityEstimator::new(7, Time(0));
    let mut now = Time(0);
    let mut announced = Vec::new();
    for round in 0_u32..600 {
        let service_time = Duration::from_millis(if round % 2 == 0 { 10 } else { 11 });
        now = serve(&mut capacity, 5, service_time, now);
        if capacity.take_announcement(None, now).is_some() {
            announced.push(now);
        }
    }
    assert!(announced.len() >= 3, "slow start: {announced:?}");
    let intervals = announced.windows(2).map(|w| w[1].since(w[0]));
    assert!(intervals.min().unwrap() >= Duration::from_secs(1));
    // After slow start, service times that differ by 10 % cause no announcement.
    assert!(
        announced.last().unwrap().as_millis() < 7000,
        "{announced:?}"
    );
}
