//! The admission gate of a backend server under virtual time.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    agent::{
        admission::{Arrival, MAX_QUEUE_DELAY, RefusalReason},
        capacity::ServerOutcome,
        gate::Gate,
        pressure::Pressure,
    },
    clock::{Clock, Time},
    member::{Directory, MemberState, Record, Role},
    membership::LocalRecord,
    owner_id::{Incarnation, ServiceTag},
};
use tokio::time::{Instant, sleep};

const SLOTS: u32 = 2;

fn record() -> Record {
    Record {
        address: "127.0.0.1:1".parse().unwrap(),
        control: "127.0.0.1:2".parse().unwrap(),
        incarnation: Incarnation(1),
        domain: "yn-a".to_owned(),
        role: Role::Agent,
        service: ServiceTag(1),
        state: MemberState::Ready,
        weight: 100,
        version: 0,
        revision: 0,
    }
}

struct TestGate {
    gate: Arc<Gate>,
    local: Arc<LocalRecord>,
    pressure: Arc<Pressure>,
}

fn start() -> TestGate {
    let local = Arc::new(LocalRecord::new(record()));
    let pressure = Arc::new(Pressure::default());
    let gate = Arc::new(Gate::new(
        Clock::start(),
        (SLOTS, 2000),
        Arc::new(Directory::default()),
        local.clone(),
        pressure.clone(),
    ));
    tokio::spawn(gate.clone().run());
    TestGate {
        gate,
        local,
        pressure,
    }
}

fn arrival(priority: u8) -> Arrival {
    Arrival {
        deadline: Time::from_millis(60_000),
        priority,
        queue_limit: 64,
    }
}

#[tokio::test(start_paused = true)]
async fn new_requests_to_a_stalled_server_are_refused_at_once() {
    let test = start();
    let _first = test.gate.admit(&arrival(4)).await.unwrap();
    let _second = test.gate.admit(&arrival(4)).await.unwrap();
    assert_eq!(test.pressure.get(), 1000);
    let mut waiting = Vec::new();
    for _ in 0..SLOTS {
        let gate = test.gate.clone();
        waiting.push(tokio::spawn(async move { gate.admit(&arrival(4)).await }));
    }
    sleep(2 * MAX_QUEUE_DELAY).await;
    // Both waiters have reserved the next slots, so other requests are refused at once.
    let started = Instant::now();
    let refusal = test.gate.admit(&arrival(4)).await.unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::QueueFull);
    assert!(started.elapsed() < Duration::from_millis(50));
    assert!(waiting.iter().all(|task| !task.is_finished()));
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_waiter_leaves_the_queue_and_a_dropped_permit_releases_its_slot() {
    let test = start();
    let first = test.gate.admit(&arrival(4)).await.unwrap();
    let second = test.gate.admit(&arrival(4)).await.unwrap();
    let gate = test.gate.clone();
    let waiting = tokio::spawn(async move { gate.admit(&arrival(4)).await.map(drop) });
    sleep(Duration::from_millis(1)).await;
    assert_eq!(test.pressure.get(), 1500);
    waiting.abort();
    let _ = waiting.await;
    assert_eq!(test.pressure.get(), 1000);
    drop(first);
    second.finish(ServerOutcome::Served);
    assert_eq!(test.pressure.get(), 0);
    assert!(test.gate.has_room(7));
}

#[tokio::test(start_paused = true)]
async fn a_freed_slot_goes_to_the_highest_priority() {
    let test = start();
    let first = test.gate.admit(&arrival(4)).await.unwrap();
    let _second = test.gate.admit(&arrival(4)).await.unwrap();
    let (low, high) = (test.gate.clone(), test.gate.clone());
    let low = tokio::spawn(async move { low.admit(&arrival(7)).await });
    let high = tokio::spawn(async move { high.admit(&arrival(0)).await });
    sleep(Duration::from_millis(1)).await;
    first.finish(ServerOutcome::Served);
    sleep(Duration::from_millis(1)).await;
    assert!(high.is_finished());
    assert!(!low.is_finished());
}

#[tokio::test(start_paused = true)]
async fn the_measured_weight_is_announced() {
    let test = start();
    for _ in 0..50 {
        let permit = test.gate.admit(&arrival(4)).await.unwrap();
        sleep(Duration::from_millis(10)).await;
        permit.finish(ServerOutcome::Served);
    }
    sleep(Duration::from_secs(10)).await;
    let weight = test.local.get().weight;
    assert!((150..=200).contains(&weight), "{weight}");
    assert!(
        test.local.get().version <= 10,
        "the weight is announced too often"
    );
}
