//! The ledger of one incarnation against a record in the store for each request.

use std::{collections::VecDeque, fs, hint::black_box, net::SocketAddrV4, time::Instant};

use bytes::Bytes;
use http::StatusCode;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::{
    agent::{
        ledger::{Fingerprint, KeyStatus, Ledger, MAX_LEDGER_BYTES, OUTCOME_TTL},
        reply::{Outcome, Reply},
    },
    clock::Time,
    owner_id::{FleetKey, Incarnation, Keyring, Owner, Purpose, ServiceTag},
};

/// New flows a second at the target size.
const TARGET_FLOWS_PER_SECOND: f64 = 330_000.0;
/// Backend servers at the target size, with an agent each.
const TARGET_AGENTS: f64 = 23_000.0;
/// Writes of a record in the store for each request: a claim before it runs and its outcome after.
const STORE_WRITES: f64 = 2.0;
/// Writes a second that the platform's store takes.
const STORE_WRITES_PER_SECOND: f64 = 500.0;
/// Requests that run at once in the trial.
const OPEN_REQUESTS: usize = 64;
/// Length of an answer's body, in bytes.
const ANSWER_BYTES: usize = 300;
/// Sizes of the ledger, in entries; the slope is taken between the first and the last.
const SIZES: [usize; 4] = [10_000, 50_000, 100_000, 400_000];
const SEALS: u32 = 200_000;
const PAGE_BYTES: usize = 4096;
const REQUESTS_PER_SECOND: u64 = 1000;
const NANOS: f64 = 1e9;

/// Figures of a ledger of one size.
struct Sample {
    entries: usize,
    resident: usize,
    run_ns: f64,
    repeat_ns: f64,
}

/// Runs the trial.
pub fn run(seed: u64) -> Value {
    let seal_ns = seal_ns();
    let mut samples = Vec::with_capacity(SIZES.len());
    // Kept to the end, so that no sample is put into memory that another one freed.
    let mut ledgers = Vec::with_capacity(SIZES.len());
    for size in SIZES {
        let (sample, ledger) = measure(size, seed);
        samples.push(sample);
        ledgers.push(ledger);
    }
    drop(ledgers);
    let (first, last) = (&samples[0], &samples[samples.len() - 1]);
    let grown = last.resident.saturating_sub(first.resident) as f64;
    let entry_bytes = grown / (last.entries - first.entries) as f64;
    let rate = TARGET_FLOWS_PER_SECOND / TARGET_AGENTS;
    let kept = rate * OUTCOME_TTL.as_secs_f64();
    let mut rows = Vec::with_capacity(samples.len());
    for sample in &samples {
        rows.push(json!({
            "entries": sample.entries,
            "resident_kb": sample.resident / 1024,
            "run_ns": sample.run_ns.round(),
            "run_in_seals": round(sample.run_ns / seal_ns),
            "repeat_ns": sample.repeat_ns.round(),
        }));
    }
    json!({
        "seed": seed,
        "answer_bytes": ANSWER_BYTES,
        "seal_ns": seal_ns.round(),
        "samples": rows,
        "bytes_per_entry": entry_bytes.round(),
        "limit_mb": MAX_LEDGER_BYTES >> 20,
        "at_the_target": {
            "requests_per_second_per_agent": round(rate),
            "entries_per_agent": kept.round(),
            "memory_mb_per_agent": round(kept * entry_bytes / f64::from(1 << 20)),
            "core_share_per_agent": rate * (last.run_ns + seal_ns) / NANOS,
            "store_writes_per_second_ledger": 0,
            "store_writes_per_second_records": TARGET_FLOWS_PER_SECOND * STORE_WRITES,
            "store_writes_per_second_taken": STORE_WRITES_PER_SECOND,
            "requests_per_second_with_records": STORE_WRITES_PER_SECOND / STORE_WRITES,
        },
    })
}

/// Fills a ledger with ended requests, some of them open at once.
fn measure(size: usize, seed: u64) -> (Sample, Ledger) {
    let mut random = SmallRng::seed_from_u64(seed);
    let before = resident();
    let mut ledger = Ledger::new(usize::MAX);
    let mut open = VecDeque::with_capacity(OPEN_REQUESTS);
    let start = Instant::now();
    for number in 0..size {
        let now = Time::from_millis(number as u64 * 1000 / REQUESTS_PER_SECOND);
        let Some(key) = ledger.issue(now) else { break };
        ledger.start(key, Fingerprint(u128::from(key)), now);
        open.push_back(key);
        if open.len() == OPEN_REQUESTS {
            let index = random.random_range(0..OPEN_REQUESTS);
            let ended = open.swap_remove_back(index).expect("an open request");
            ledger.complete(ended, answer());
        }
    }
    let run_ns = start.elapsed().as_secs_f64() * NANOS / size as f64;
    for key in open {
        ledger.complete(key, answer());
    }
    let resident = resident().saturating_sub(before);
    let sample = Sample {
        entries: ledger.len(),
        resident,
        run_ns,
        repeat_ns: repeat_ns(&mut ledger, size, &mut random),
    };
    (sample, ledger)
}

/// Returns the time in which a random repeat is answered.
fn repeat_ns(ledger: &mut Ledger, size: usize, random: &mut SmallRng) -> f64 {
    let now = Time::from_millis(size as u64 * 1000 / REQUESTS_PER_SECOND);
    let kept = ledger.len() as u32;
    let first = size as u32 - kept;
    let start = Instant::now();
    let mut ended = 0;
    for _ in 0..size {
        let key = random.random_range(first..size as u32);
        let status = ledger.start(key, Fingerprint(u128::from(key)), now);
        ended += u32::from(matches!(black_box(status), KeyStatus::Completed(_)));
    }
    black_box(ended);
    start.elapsed().as_secs_f64() * NANOS / size as f64
}

fn answer() -> Reply {
    Reply {
        body: Bytes::from(vec![b'a'; ANSWER_BYTES]),
        outcome: Outcome::Answered,
        retry_at: None,
        server: Some("127.0.0.1:8080".to_owned()),
        status: StatusCode::OK,
    }
}

fn seal_ns() -> f64 {
    let key = FleetKey {
        id: 1,
        secret: vec![7; 16],
    };
    let keyring = Keyring::new(&[key], Purpose::Request);
    let owner = Owner {
        address: SocketAddrV4::new([127, 0, 0, 1].into(), 1),
        service: ServiceTag(1),
        incarnation: Incarnation(1),
    };
    let start = Instant::now();
    for nonce in 0..SEALS {
        black_box(keyring.encrypt(&owner, nonce));
    }
    start.elapsed().as_secs_f64() * NANOS / f64::from(SEALS)
}

/// Returns the resident memory of the process, in bytes.
fn resident() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}
