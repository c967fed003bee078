//! Decisions for the log and for `explain-flow`, at a bounded rate.

use std::{
    collections::VecDeque,
    net::{SocketAddr, SocketAddrV4},
    sync::Mutex,
};

use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{clock::Time, owner_id::ServiceTag};

/// Decisions kept in memory for `explain-flow`.
const KEPT_DECISIONS: usize = 4096;

/// Entries of the filter that passes each flow's first datagram.
const FILTER_ENTRIES: usize = 8192;

/// Decisions logged a second by one process.
const LINES_PER_SECOND: u64 = 1000;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Where a flow or a request went, and why.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Wall-clock time of the decision, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// What was decided: `routed`, `handed_on`, `dropped`, `request`.
    pub event: String,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Service that the caller addressed.
    pub service: ServiceTag,
    /// Chosen agent or backend server.
    pub chosen: Option<SocketAddr>,
    /// Second choice.
    pub second: Option<SocketAddrV4>,
    /// Version of the placement table.
    pub version: u64,
    /// Why.
    pub reason: String,
    /// Name of the request, if it is one.
    pub request: Option<String>,
}

/// The last decisions of one process, under the name [`Decisions::NAME`].
#[derive(Debug, Default)]
pub struct Decisions {
    dropped: Counter,
    kept: Mutex<VecDeque<Decision>>,
}

impl Decisions {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "decisions";

    /// Returns the counter of decisions that were not logged.
    pub fn dropped(&self) -> &Counter {
        &self.dropped
    }

    /// Logs a decision and keeps it.
    pub fn record(&self, decision: Decision) {
        tracing::info!(
            event = decision.event,
            caller = %decision.caller,
            service = decision.service.0,
            chosen = %Shown(decision.chosen),
            second = %Shown(decision.second),
            version = decision.version,
            reason = decision.reason,
            request = decision.request.as_deref().unwrap_or("-"),
        );
        let mut kept = self.kept.lock().expect("decisions lock");
        if kept.len() == KEPT_DECISIONS {
            kept.pop_front();
        }
        kept.push_back(decision);
    }

    /// Returns the kept decisions about a caller or a request, oldest first.
    pub fn about(&self, subject: &str) -> Vec<Decision> {
        let kept = self.kept.lock().expect("decisions lock");
        let wanted = |d: &&Decision| {
            d.request.as_deref() == Some(subject) || d.caller.to_string() == subject
        };
        kept.iter().filter(wanted).cloned().collect()
    }
}

struct Shown<T>(Option<T>);

impl<T: std::fmt::Display> std::fmt::Display for Shown<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}

/// Whether a decision is worth a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Log it.
    Log,
    /// It would be logged, but the rate is used up.
    Over,
    /// A decision like it was logged before.
    Seen,
}

/// Passes the first decision about each flow, at a bounded rate and in bounded memory.
///
/// The filter is direct-mapped: flows that share an entry are logged again, never missed.
#[derive(Debug)]
pub struct DecisionFilter {
    credit: u64,
    filled: Time,
    seen: Vec<u64>,
}

impl Default for DecisionFilter {
    fn default() -> Self {
        Self {
            credit: MICROS_PER_SECOND,
            filled: Time::default(),
            seen: vec![0; FILTER_ENTRIES],
        }
    }
}

impl DecisionFilter {
    /// Returns whether to log a decision about a flow.
    pub fn judge(&mut self, flow: &[u8], now: Time) -> Verdict {
        let hash = xxh3_64(flow);
        let entry = &mut self.seen[(hash % FILTER_ENTRIES as u64) as usize];
        if *entry == hash {
            return Verdict::Seen;
        }
        let earned = now.since(self.filled).as_micros() as u64;
        self.filled = now;
        self.credit = MICROS_PER_SECOND.min(self.credit + earned);
        let cost = MICROS_PER_SECOND / LINES_PER_SECOND;
        if self.credit < cost {
            return Verdict::Over;
        }
        self.credit -= cost;
        *entry = hash;
        Verdict::Log
    }
}
