//! Maglev's table against weighted rendezvous hashing: lookups, memory, moves and imbalance.

use std::{
    hint::black_box,
    net::{Ipv4Addr, SocketAddrV4},
    time::Instant,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::{
    owner_id::ServiceTag,
    placement::{Candidate, MaglevTable, Table, rendezvous_choice},
};

const SERVICE: ServiceTag = ServiceTag(1);
const TODAY_SERVERS: usize = 11;
const TARGET_SERVERS: usize = 23_000;
const TARGET_SERVICES: usize = 16_000;
const KEYS: usize = 200_000;
const RENDEZVOUS_PAIRS: usize = 20_000_000;
const CONTROL_BYTES: usize = 128 << 20;

/// What one way of placing costs and does.
struct Figures {
    bytes: usize,
    choices: Vec<SocketAddrV4>,
    lookup_ns: f64,
}

/// Runs the measurement.
pub fn run(seed: u64) -> Value {
    let mut random = SmallRng::seed_from_u64(seed);
    json!({
        "seed": seed,
        "servers_11": compare(TODAY_SERVERS, &mut random),
        "servers_23000": compare(TARGET_SERVERS, &mut random),
        "all_tables": all_tables(&mut random),
    })
}

fn candidates(count: usize, random: &mut SmallRng) -> Vec<Candidate> {
    let mut candidates = Vec::with_capacity(count);
    for number in 0..count {
        let address = Ipv4Addr::from_bits(0x0A00_0000 + number as u32);
        candidates.push(Candidate {
            address: SocketAddrV4::new(address, 4433),
            weight: random.random_range(50..=200),
        });
    }
    candidates
}

fn compare(servers: usize, random: &mut SmallRng) -> Value {
    let all = candidates(servers, random);
    let mut fewer = all.clone();
    let removed = fewer.remove(random.random_range(0..servers));
    let mut other = all.clone();
    let changed = random.random_range(0..servers);
    other[changed].weight = other[changed].weight * 3 / 4;
    let keys: Vec<u64> = (0..KEYS).map(|_| random.random()).collect();
    let some = &keys[..KEYS.min(RENDEZVOUS_PAIRS / servers)];
    let start = Instant::now();
    let slots = MaglevTable::build(&all);
    let build_ms = start.elapsed().as_secs_f64() * 1000.0;
    let whole = maglev(&slots, &keys);
    let without = maglev(&MaglevTable::build(&fewer), &keys);
    let lighter = maglev(&MaglevTable::build(&other), &keys);
    let mut table = describe(&whole);
    table["build_ms"] = json!(build_ms);
    table["imbalance"] = json!(imbalance(slots.addresses_by_entry(), &all));
    table["moved_by_a_leave"] = json!(moved(&whole, &without, &removed));
    table["moved_by_a_weight"] = json!(moved(&whole, &lighter, &all[changed]));
    let whole = rendezvous(&all, some);
    let without = rendezvous(&fewer, some);
    let lighter = rendezvous(&other, some);
    let mut ranked = describe(&whole);
    if servers == TODAY_SERVERS {
        ranked["imbalance"] = json!(imbalance(whole.choices.iter().copied(), &all));
    }
    ranked["moved_by_a_leave"] = json!(moved(&whole, &without, &removed));
    ranked["moved_by_a_weight"] = json!(moved(&whole, &lighter, &all[changed]));
    json!({ "maglev": table, "rendezvous": ranked })
}

fn maglev(slots: &MaglevTable, keys: &[u64]) -> Figures {
    let choose = |key: &u64| slots.choose(SERVICE, &key.to_le_bytes());
    timed(slots.memory_bytes(), keys, |key| {
        choose(key).expect("members").first
    })
}

fn rendezvous(candidates: &[Candidate], keys: &[u64]) -> Figures {
    let choose = |key: &u64| rendezvous_choice(candidates, SERVICE, &key.to_le_bytes());
    timed(size_of_val(candidates), keys, |key| {
        choose(key).expect("members").first
    })
}

fn timed(bytes: usize, keys: &[u64], choose: impl Fn(&u64) -> SocketAddrV4) -> Figures {
    let start = Instant::now();
    let choices: Vec<SocketAddrV4> = keys.iter().map(|key| black_box(choose(key))).collect();
    Figures {
        bytes,
        lookup_ns: start.elapsed().as_nanos() as f64 / keys.len() as f64,
        choices,
    }
}

fn describe(figures: &Figures) -> Value {
    json!({
        "keys": figures.choices.len(),
        "lookup_ns": figures.lookup_ns,
        "bytes": figures.bytes,
    })
}

/// Returns the share of the keys that moved between servers that did not change.
fn moved(before: &Figures, after: &Figures, changed: &Candidate) -> f64 {
    let pairs = before.choices.iter().zip(&after.choices);
    let moved = pairs.filter(|(old, new)| old != new && **old != changed.address);
    moved.count() as f64 / before.choices.len() as f64
}

/// Returns the highest share of a server over the share that its weight gives it.
fn imbalance(choices: impl Iterator<Item = SocketAddrV4>, candidates: &[Candidate]) -> f64 {
    let mut counts = std::collections::HashMap::new();
    let mut total = 0.0;
    for choice in choices {
        *counts.entry(choice).or_insert(0.0) += 1.0;
        total += 1.0;
    }
    let weights: f64 = candidates.iter().map(|c| f64::from(c.weight)).sum();
    let mut worst: f64 = 0.0;
    for candidate in candidates {
        let expected = total * f64::from(candidate.weight) / weights;
        let count: f64 = counts.get(&candidate.address).copied().unwrap_or(0.0);
        worst = worst.max(count / expected);
    }
    worst
}

/// Returns what the tables of all services of the target cost, current and earlier ones.
fn all_tables(random: &mut SmallRng) -> Value {
    let mut sizes = vec![1; TARGET_SERVICES];
    // Each further server joins the service of one that is already placed: few become large.
    let mut placed: Vec<usize> = (0..TARGET_SERVICES).collect();
    for _ in TARGET_SERVICES..TARGET_SERVERS {
        let service = placed[random.random_range(0..placed.len())];
        sizes[service] += 1;
        placed.push(service);
    }
    let start = Instant::now();
    let mut bytes = 0;
    let mut maglev_bytes = 0;
    for size in &sizes {
        let candidates = candidates(*size, random);
        maglev_bytes += 2 * MaglevTable::build(&candidates).memory_bytes();
        let table = Table::build(&candidates);
        bytes += table.memory_bytes() + size_of::<Table>();
    }
    let with_earlier = 2 * bytes;
    json!({
        "services": TARGET_SERVICES,
        "servers": TARGET_SERVERS,
        "largest_service": sizes.iter().max(),
        "maglev_bytes_with_earlier": maglev_bytes,
        "bytes": bytes,
        "bytes_with_earlier": with_earlier,
        "share_of_control_memory": with_earlier as f64 / CONTROL_BYTES as f64,
        "build_ms": start.elapsed().as_secs_f64() * 1000.0,
    })
}
