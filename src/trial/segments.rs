//! Flows of five-tuples through the real balancers and agents, under faults, in virtual time.
//!
//! The model holds callers that open flows and send requests, routers that choose a balancer by a
//! hash modulo their number, servers with slots and queues, and lost and delayed datagrams. Each
//! process learns of a change of the membership after a delay of its own. What callers and servers
//! see is checked while the model runs; nothing is read out of the state machines.

use serde::Serialize;
use serde_json::{Value, json};

pub mod caller;
pub mod codec;
pub mod faults;
pub mod server;
pub mod wire;
pub mod witness;
pub mod world;

pub use faults::Plan;
pub use world::World;

/// What callers and servers saw.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests that callers wanted answered.
    pub requests: u64,
    /// Requests answered before their deadline.
    pub answered: u64,
    /// Requests given up at their deadline.
    pub given_up: u64,
    /// Attempts that ended with a reset.
    pub resets: u64,
    /// Flows that opened.
    pub flows: u64,
    /// Times from the first opening segment to the acceptance, in milliseconds: sorted.
    #[serde(skip)]
    pub openings_ms: Vec<u64>,
    /// Times from the start of a request to its answer, in milliseconds: sorted.
    #[serde(skip)]
    pub answers_ms: Vec<u64>,
    /// Datagrams between processes of the system.
    pub messages: u64,
    /// What broke a promise, in words.
    pub broken: Vec<String>,
}

/// Returns the value below which a share of sorted values lies.
pub fn percentile(sorted: &[u64], share: f64) -> u64 {
    let index = (sorted.len() as f64 * share) as usize;
    sorted
        .get(index.min(sorted.len().saturating_sub(1)))
        .copied()
        .unwrap_or(0)
}

/// Runs all plans with a seed.
pub fn run(seed: u64) -> Value {
    let mut results = serde_json::Map::new();
    for plan in Plan::ALL {
        let figures = World::new(plan, seed).run();
        let mut value = json!(figures);
        value["opening_p99_ms"] = json!(percentile(&figures.openings_ms, 0.99));
        value["answer_p50_ms"] = json!(percentile(&figures.answers_ms, 0.5));
        value["answer_p99_ms"] = json!(percentile(&figures.answers_ms, 0.99));
        results.insert(plan.name().to_owned(), value);
    }
    json!({ "seed": seed, "plans": results })
}
