//! One fleet of a size: bytes, processor time, memory, and times to all.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use super::network::{Network, record};
use crate::{
    clock::Time,
    member::{MemberState, Record},
    membership::swim::TICK_INTERVAL,
    owner_id::Incarnation,
    trial::resident_bytes,
};

/// Failure domains at the target.
const DOMAINS: usize = 10;

/// Time for a fleet to settle.
const SETTLE: Duration = Duration::from_secs(3);

/// Limit for a change to reach all.
const LIMIT: Duration = Duration::from_secs(40);

/// Weight changes a second of 4,000 agents that each change once in five minutes.
const WEIGHT_CHANGES: f64 = 4_000.0 / 300.0;

/// Planned replacements in a measured time, at 3,600 a day about one each 24 s.
const REPLACEMENT_INTERVAL: Duration = Duration::from_secs(24);

/// Bytes and processor time of one stretch.
#[derive(Clone, Copy, Debug)]
struct Cost {
    mean: f64,
    highest: f64,
    micros: f64,
}

/// Measures a fleet; `stretch` is the virtual time of each cost.
pub fn measure(size: usize, stretch: Duration, seed: u64) -> Value {
    let before = resident_bytes();
    let mut network = Network::new(seed);
    let records: Vec<Record> = (0..size).map(|n| record(n, DOMAINS)).collect();
    let seeds = [records[0].control, records[1].control];
    network.start_fleet(&records, &seeds);
    network.run(SETTLE);
    let memory = resident_bytes().saturating_sub(before) as f64 / size as f64;
    let quiet = stretch_cost(&mut network, stretch, |_, _| {});
    let leave = time_of_leave(&mut network, 3);
    let join = time_of_join(&mut network, size);
    let (suspected, removed) = time_of_death(&mut network, 5);
    let weight = time_of_weight(&mut network, 7);
    network.run(SETTLE);
    let churn = stretch_cost(&mut network, stretch, churn);
    json!({
        "processes": size,
        "quiet_bytes_per_s": quiet.mean.round(),
        "churn_bytes_per_s": churn.mean.round(),
        "churn_highest_bytes_per_s": churn.highest.round(),
        "quiet_core_percent": quiet.micros / 10_000.0,
        "churn_core_percent": churn.micros / 10_000.0,
        "memory_kb": (memory / 1024.0).round(),
        "leave_ms": millis(leave),
        "join_known_to_all_ms": millis(join.0),
        "join_knows_all_ms": millis(join.1),
        "death_unused_by_all_ms": millis(suspected),
        "death_removed_by_all_ms": millis(removed),
        "weight_at_99_percent_ms": millis(weight),
    })
}

/// Changes of one tick interval at the target's rates, whatever the size of the fleet.
fn churn(network: &mut Network, tick: u64) {
    let interval = TICK_INTERVAL.as_secs_f64();
    let due = |rate: f64| (tick as f64 * interval * rate) as u64;
    let first = due(WEIGHT_CHANGES);
    let last = ((tick + 1) as f64 * interval * WEIGHT_CHANGES) as u64;
    for change in first..last {
        let node = change as usize * 7 % network.nodes.len();
        let weight = 50 + (tick % 100) as u16;
        network.update(node, |record| record.weight = weight);
    }
    let per_replacement = (REPLACEMENT_INTERVAL.as_secs_f64() / interval) as u64;
    let node = 9 + (tick / per_replacement) as usize % (network.nodes.len() - 10).max(1);
    match tick % per_replacement {
        10 => network.update(node, |record| record.state = MemberState::Draining),
        40 => network.update(node, |record| record.state = MemberState::Left),
        50 => network.nodes[node].running = false,
        60 => replace(network, node),
        _ => {}
    }
}

fn replace(network: &mut Network, node: usize) {
    let mut again = network.nodes[node].local.clone();
    again.incarnation = Incarnation(again.incarnation.0 + 1);
    again.state = MemberState::Ready;
    again.version = 0;
    let seeds = vec![network.nodes[0].local.control];
    network.start(again, seeds);
}

fn stretch_cost(
    network: &mut Network,
    stretch: Duration,
    change: impl Fn(&mut Network, u64),
) -> Cost {
    let bytes: Vec<u64> = network.nodes.iter().map(|n| n.bytes).collect();
    let start = Instant::now();
    let ticks = (stretch.as_millis() / TICK_INTERVAL.as_millis()) as u64;
    for tick in 0..ticks {
        change(network, tick);
        network.run(TICK_INTERVAL);
    }
    let spent = start.elapsed();
    let seconds = stretch.as_secs_f64();
    let sent = network.nodes.iter().zip(&bytes);
    let sent: Vec<f64> = sent.map(|(n, b)| (n.bytes - b) as f64 / seconds).collect();
    let size = sent.len() as f64;
    Cost {
        mean: sent.iter().sum::<f64>() / size,
        highest: sent.iter().copied().fold(0.0, f64::max),
        micros: spent.as_micros() as f64 / size / seconds,
    }
}

/// Returns how many running processes other than `node` see it in a state that passes.
fn seen(network: &Network, node: usize, check: impl Fn(Option<MemberState>) -> bool) -> usize {
    let address = network.nodes[node].local.address;
    let nodes = network.nodes.iter().enumerate();
    let others = nodes.filter(|(n, other)| *n != node && other.running);
    others
        .filter(|(_, other)| check(other.swim.state_of(address)))
        .count()
}

fn others(network: &Network, node: usize) -> usize {
    seen(network, node, |_| true)
}

fn ready(state: Option<MemberState>) -> bool {
    state == Some(MemberState::Ready)
}

fn time_of_leave(network: &mut Network, node: usize) -> Option<Duration> {
    network.update(node, |record| record.state = MemberState::Draining);
    let time = network.run_while(LIMIT, |n| seen(n, node, ready) > 0);
    network.update(node, |record| record.state = MemberState::Left);
    network.run(SETTLE);
    network.nodes[node].running = false;
    time
}

fn time_of_join(network: &mut Network, number: usize) -> (Option<Duration>, Option<Duration>) {
    let seeds = vec![network.nodes[0].local.control];
    let node = network.start(record(number, DOMAINS), seeds);
    let all = others(network, node);
    let start = network.now;
    let known = network.run_while(LIMIT, |n| seen(n, node, ready) < all);
    let knows = network.run_while(LIMIT, |n| n.nodes[node].swim.roster().live_count() <= all);
    let knows = knows.map(|_| network.now.since(start));
    (known, knows)
}

fn time_of_death(network: &mut Network, node: usize) -> (Option<Duration>, Option<Duration>) {
    network.nodes[node].running = false;
    let start: Time = network.now;
    let all = others(network, node);
    let unused = network.run_while(LIMIT, |n| seen(n, node, ready) > 0);
    let dead = |state| state == Some(MemberState::Dead);
    let removed = network.run_while(LIMIT, |n| seen(n, node, dead) < all);
    (unused, removed.map(|_| network.now.since(start)))
}

fn time_of_weight(network: &mut Network, node: usize) -> Option<Duration> {
    network.update(node, |record| record.weight = 55);
    let address = network.nodes[node].local.address;
    let all = others(network, node);
    network.run_while(LIMIT, |n| {
        let running = n.nodes.iter().filter(|other| other.running);
        let known = running.filter(|other| {
            let entry = other.swim.roster().get(address);
            entry.is_some_and(|e| e.record.weight == 55)
        });
        known.count() * 100 < all * 99
    })
}

fn millis(time: Option<Duration>) -> Value {
    time.map_or(Value::Null, |time| json!(time.as_millis() as u64))
}
