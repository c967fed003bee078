//! The gate in front of a backend server, under virtual time.

use std::{sync::Arc, time::Duration};

use berylvalve::{
    agent::{
        admission::{Arrival, QUEUE_TIME, Reason},
        capacity::Ended,
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

struct Bench {
    gate: Arc<Gate>,
    local: Arc<LocalRecord>,
    pressure: Arc<Pressure>,
}

fn start() -> Bench {
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
    Bench {
        gate,
        local,
        pressure,
    }
}

fn arrival(priority: u8) -> Arrival {
    Arrival {
        deadline: Time::from_millis(60_000),
        priority,
        queue: 64,
    }
}

#[tokio::test(start_paused = true)]
async fn waiters_of_a_stuck_server_are_refused_in_time() {
    let bench = start();
    let _first = bench.gate.admit(&arrival(4)).await.unwrap();
    let _second = bench.gate.admit(&arrival(4)).await.unwrap();
    assert_eq!(bench.pressure.get(), 1000);
    let mut waiting = Vec::new();
    for _ in 0..SLOTS {
        let gate = bench.gate.clone();
        waiting.push(tokio::spawn(async move { gate.admit(&arrival(4)).await }));
    }
    sleep(2 * QUEUE_TIME).await;
    // These two have the next slots for certain, so that others are refused at once.
    let began = Instant::now();
    let refusal = bench.gate.admit(&arrival(4)).await.unwrap_err();
    assert_eq!(refusal.reason, Reason::Full);
    assert!(began.elapsed() < Duration::from_millis(50));
    assert!(waiting.iter().all(|task| !task.is_finished()));
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_waiter_and_a_dropped_permit_leave_nothing_behind() {
    let bench = start();
    let first = bench.gate.admit(&arrival(4)).await.unwrap();
    let second = bench.gate.admit(&arrival(4)).await.unwrap();
    let gate = bench.gate.clone();
    let waiting = tokio::spawn(async move { gate.admit(&arrival(4)).await.map(drop) });
    sleep(Duration::from_millis(1)).await;
    assert_eq!(bench.pressure.get(), 1500);
    waiting.abort();
    let _ = waiting.await;
    assert_eq!(bench.pressure.get(), 1000);
    drop(first);
    second.end(Ended::Served);
    assert_eq!(bench.pressure.get(), 0);
    assert!(bench.gate.has_room(7));
}

#[tokio::test(start_paused = true)]
async fn a_freed_slot_goes_to_the_highest_priority() {
    let bench = start();
    let first = bench.gate.admit(&arrival(4)).await.unwrap();
    let _second = bench.gate.admit(&arrival(4)).await.unwrap();
    let (map, swap) = (bench.gate.clone(), bench.gate.clone());
    let map = tokio::spawn(async move { map.admit(&arrival(7)).await });
    let swap = tokio::spawn(async move { swap.admit(&arrival(0)).await });
    sleep(Duration::from_millis(1)).await;
    first.end(Ended::Served);
    sleep(Duration::from_millis(1)).await;
    assert!(swap.is_finished());
    assert!(!map.is_finished());
}

#[tokio::test(start_paused = true)]
async fn the_measured_weight_is_announced() {
    let bench = start();
    for _ in 0..50 {
        let permit = bench.gate.admit(&arrival(4)).await.unwrap();
        sleep(Duration::from_millis(10)).await;
        permit.end(Ended::Served);
    }
    sleep(Duration::from_secs(10)).await;
    let weight = bench.local.get().weight;
    assert!((150..=200).contains(&weight), "{weight}");
    assert!(bench.local.get().version <= 10);
}
