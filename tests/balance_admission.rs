//! Admission and capacity as state machines under virtual time.

use std::{collections::BTreeMap, time::Duration};

use berylvalve::{
    agent::{
        admission::{
            Action, Admission, Arrival, Pace, QUEUE_TIME, Reason, Refusal, Verdict, WaiterId,
        },
        capacity::{Capacity, Ended, FIRST_WEIGHT},
    },
    clock::Time,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

const SLOTS: u32 = 2;
const SERVICE: Duration = Duration::from_millis(10);
const CASES: u32 = 300;
const SEED: [u8; 32] = [7; 32];

fn arrival(priority: u8, deadline_ms: u64) -> Arrival {
    Arrival {
        deadline: Time::from_millis(deadline_ms),
        priority,
        queue: 64,
    }
}

/// Returns an admission whose slots are all in use.
fn busy() -> Admission {
    let mut admission = Admission::new(SLOTS, 2000);
    admission.set_pace(Pace {
        limit: SLOTS,
        service: SERVICE,
    });
    for _ in 0..SLOTS {
        let verdict = admission.arrive(&arrival(4, 5000), Time(0));
        assert_eq!(verdict, Verdict::Start);
    }
    admission
}

fn wait(admission: &mut Admission, arrival: Arrival, now: Time) -> WaiterId {
    match admission.arrive(&arrival, now) {
        Verdict::Wait(id) => id,
        other => panic!("expected to wait: {other:?}"),
    }
}

fn reason(verdict: Verdict) -> Reason {
    match verdict {
        Verdict::Refuse(refusal) => refusal.reason,
        other => panic!("expected a refusal: {other:?}"),
    }
}

/// Frees slots one by one and returns the order in which the waiters start.
fn drain(admission: &mut Admission, now: Time) -> Vec<WaiterId> {
    let mut started = Vec::new();
    while admission.waiting() > 0 {
        admission.finish();
        for action in admission.poll(now) {
            match action {
                Action::Start(id) => started.push(id),
                Action::Refuse(..) => panic!("refused"),
            }
        }
    }
    started
}

#[test]
fn waiters_start_by_priority_then_deadline() {
    let mut admission = busy();
    let late = wait(&mut admission, arrival(1, 4000), Time(0));
    let soon = wait(&mut admission, arrival(1, 3000), Time(0));
    let map = wait(&mut admission, arrival(7, 1000), Time(0));
    let swap = wait(&mut admission, arrival(0, 5000), Time(0));
    assert_eq!(drain(&mut admission, Time(1)), [swap, soon, late, map]);
}

#[test]
fn a_swap_evicts_a_map_which_is_refused_at_once() {
    let mut admission = busy();
    let mut maps = Vec::new();
    while let Verdict::Wait(id) = admission.arrive(&arrival(7, 5000), Time(0)) {
        maps.push(id);
    }
    let refused = admission.arrive(&arrival(7, 5000), Time(0));
    assert_eq!(reason(refused), Reason::Full);
    wait(&mut admission, arrival(0, 5000), Time(1));
    let actions = admission.poll(Time(1));
    let [Action::Refuse(id, refusal)] = actions[..] else {
        panic!("expected one refusal: {actions:?}");
    };
    assert_eq!(id, *maps.last().unwrap());
    assert_eq!(refusal.reason, Reason::Evicted);
    assert!(refusal.retry_at.since(Time(1)) >= Duration::from_secs(1));
}

#[test]
fn a_request_that_cannot_end_in_time_is_refused_at_once() {
    let mut admission = busy();
    let refused = admission.arrive(&arrival(0, 14), Time(0));
    assert_eq!(reason(refused), Reason::Deadline);
    let refused = admission.arrive(&arrival(0, 5), Time::from_millis(5));
    assert_eq!(reason(refused), Reason::Deadline);
    wait(&mut admission, arrival(0, 15), Time(0));
}

#[test]
fn a_waiter_pushed_past_its_deadline_is_refused_at_once() {
    let mut admission = busy();
    let map = wait(&mut admission, arrival(7, 16), Time(0));
    assert_eq!(admission.poll(Time(0)), []);
    wait(&mut admission, arrival(0, 5000), Time(1));
    let actions = admission.poll(Time(1));
    assert!(
        matches!(actions[..], [Action::Refuse(id, r)] if id == map && r.reason == Reason::Deadline),
        "{actions:?}"
    );
}

#[test]
fn the_deadline_is_checked_again_when_a_slot_is_free() {
    let mut admission = busy();
    let id = wait(&mut admission, arrival(0, 30), Time(0));
    // The process was frozen past the deadline.
    admission.finish();
    let actions = admission.poll(Time::from_millis(31));
    assert!(
        matches!(actions[..], [Action::Refuse(other, _)] if other == id),
        "{actions:?}"
    );
    assert_eq!(admission.running(), SLOTS - 1);
}

#[test]
fn a_server_that_stands_still_keeps_one_waiter_a_slot_and_refuses_the_rest() {
    let mut admission = busy();
    for _ in 0..5 {
        wait(&mut admission, arrival(4, 5000), Time(0));
    }
    let due = Time(0) + QUEUE_TIME;
    assert_eq!(admission.next_poll(), Some(due));
    let actions = admission.poll(due);
    assert_eq!(actions.len(), 3, "{actions:?}");
    assert_eq!(admission.waiting(), SLOTS as usize);
}

#[test]
fn feeds_hold_connections_and_not_slots() {
    let mut admission = Admission::new(SLOTS, SLOTS + 3);
    for _ in 0..3 {
        admission.open_feed(Time(0)).unwrap();
    }
    let refusal = admission.open_feed(Time(0)).unwrap_err();
    assert_eq!(refusal.reason, Reason::Connections);
    assert_eq!(admission.running(), 0);
    let verdict = admission.arrive(&arrival(7, 5000), Time(0));
    assert_eq!(verdict, Verdict::Start);
    admission.close_feed();
    admission.open_feed(Time(0)).unwrap();
}

/// A step of a random session.
#[derive(Clone, Debug)]
enum Step {
    Arrive { priority: u8, left_ms: u64 },
    Cancel(usize),
    Finish,
    Limit(u32),
    Sleep(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..8, 0_u64..200).prop_map(|(priority, left_ms)| Step::Arrive { priority, left_ms }),
        1 => (0_usize..8).prop_map(Step::Cancel),
        3 => Just(Step::Finish),
        1 => (1_u32..5).prop_map(Step::Limit),
        2 => (0_u64..60).prop_map(Step::Sleep),
    ]
}

/// The admission with what a caller would know about it.
struct Session {
    admission: Admission,
    limit: u32,
    now: Time,
    waiting: BTreeMap<WaiterId, (Time, Arrival)>,
}

impl Session {
    fn apply(&mut self, step: &Step) {
        let before = self.admission.running();
        match *step {
            Step::Arrive { priority, left_ms } => {
                let arrival = arrival(priority, self.now.as_millis() + left_ms);
                let verdict = self.admission.arrive(&arrival, self.now);
                if let Verdict::Wait(id) = verdict {
                    self.waiting.insert(id, (self.now, arrival));
                }
                let started = verdict == Verdict::Start;
                assert!(!started || before < self.limit);
                assert!(!started || self.now < arrival.deadline);
            }
            Step::Cancel(index) => {
                let id = self.waiting.keys().nth(index).copied();
                if let Some(id) = id {
                    self.waiting.remove(&id);
                    self.admission.cancel(id);
                }
            }
            Step::Finish => self.admission.finish(),
            Step::Limit(limit) => {
                self.limit = limit;
                self.admission.set_pace(Pace {
                    limit,
                    service: SERVICE,
                });
            }
            Step::Sleep(ms) => self.sleep(self.now + Duration::from_millis(ms)),
        }
        self.poll();
    }

    /// Lets time pass and polls whenever the state machine asks for it.
    fn sleep(&mut self, until: Time) {
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
                Action::Refuse(id, refusal) => self.refused(id, &refusal),
            }
        }
        assert!(starts == 0 || before + starts <= self.limit);
        assert_eq!(
            self.admission.waiting(),
            self.waiting.len(),
            "a waiter is lost"
        );
    }

    fn refused(&mut self, id: WaiterId, refusal: &Refusal) {
        let (arrived, _) = self.waiting.remove(&id).expect("known waiter");
        let late = self.now.since(arrived) > Duration::from_millis(50);
        // Only one that was promised a slot may be refused late, when its deadline has come near.
        assert!(!late || refusal.reason == Reason::Deadline, "{refusal:?}");
    }
}

#[test]
fn random_sessions_keep_the_promises() {
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
        admission.set_pace(Pace {
            limit: SLOTS,
            service: SERVICE,
        });
        let mut session = Session {
            admission,
            limit: SLOTS,
            now: Time(0),
            waiting: BTreeMap::new(),
        };
        for step in &steps {
            session.apply(step);
        }
        Ok(())
    });
    result.unwrap();
}

/// Serves requests one after another and returns the time at the end.
fn serve(capacity: &mut Capacity, count: u32, service: Duration, mut now: Time) -> Time {
    for _ in 0..count {
        let began = now;
        now = now + service;
        capacity.ended(Ended::Served, began, now);
    }
    now
}

#[test]
fn weight_follows_the_measured_rate_and_a_slow_down() {
    let mut capacity = Capacity::new(7, Time(0));
    let now = serve(&mut capacity, 1000, SERVICE, Time(0));
    assert_eq!(capacity.weight(None, now), 700);
    let now = serve(&mut capacity, 200, 4 * SERVICE, now);
    assert!((174..=178).contains(&capacity.weight(None, now)));
}

#[test]
fn a_cold_server_ramps_up() {
    let mut capacity = Capacity::new(7, Time(0));
    assert_eq!(capacity.weight(None, Time(0)), FIRST_WEIGHT);
    let now = serve(&mut capacity, 10, SERVICE, Time(0));
    let cold = capacity.weight(None, now);
    assert!(cold < 200, "{cold}");
    let warm = capacity.weight(None, now + Duration::from_secs(5));
    assert_eq!(warm, 700);
}

#[test]
fn sheds_lower_the_concurrency_which_recovers_gradually() {
    let mut capacity = Capacity::new(7, Time(0));
    let mut now = serve(&mut capacity, 100, SERVICE, Time(0));
    for _ in 0..20 {
        capacity.ended(Ended::Shed, now, now);
        now = now + Duration::from_millis(60);
    }
    assert_eq!(capacity.pace(now).limit, 1);
    let now = now + Duration::from_secs(2);
    let recovering = capacity.pace(now).limit;
    assert!((2..=4).contains(&recovering), "{recovering}");
    assert_eq!(capacity.pace(now + Duration::from_secs(6)).limit, 7);
}

#[test]
fn a_server_that_fails_fast_gets_little_work() {
    let mut capacity = Capacity::new(7, Time(0));
    let mut now = serve(&mut capacity, 100, SERVICE, Time(0)) + Duration::from_secs(6);
    for _ in 0..300 {
        let began = now;
        now = now + Duration::from_millis(1);
        capacity.ended(Ended::Failed, began, now);
    }
    assert_eq!(capacity.weight(Some(500), now), 10);
}

#[test]
fn announcements_keep_a_threshold_and_a_gap() {
    let mut capacity = Capacity::new(7, Time(0));
    let mut now = Time(0);
    let mut announced = Vec::new();
    for round in 0_u32..600 {
        let service = Duration::from_millis(if round % 2 == 0 { 10 } else { 11 });
        now = serve(&mut capacity, 5, service, now);
        if capacity.announcement(None, now).is_some() {
            announced.push(now);
        }
    }
    assert!(announced.len() >= 3, "the ramp: {announced:?}");
    let gaps = announced.windows(2).map(|w| w[1].since(w[0]));
    assert!(gaps.min().unwrap() >= Duration::from_secs(1));
    // A warm server whose times differ a little says nothing more.
    assert!(
        announced.last().unwrap().as_millis() < 7000,
        "{announced:?}"
    );
}
