//! Decisions about flows and requests for the log and for `explain-flow`; a balancer logs those
//! about flows at a bounded rate.

use std::{
    collections::VecDeque,
    net::{SocketAddr, SocketAddrV4},
    sync::Mutex,
};

use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{clock::Time, owner_id::ServiceTag};

/// Decisions in memory for `explain-flow`.
const MAX_RECENT_DECISIONS: usize = 4096;

/// Entries of the filter that selects the first decision about each flow.
const FILTER_ENTRIES: usize = 8192;

/// First decisions about a flow that a filter lets through per second.
const MAX_DECISIONS_PER_SECOND: u64 = 1000;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// The destination of a flow or a request, with the reason.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Decision {
    /// Wall-clock time of the decision, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Kind of decision: `routed`, `request` or `feed`.
    pub event: String,
    /// Address of the caller.
    pub caller: SocketAddr,
    /// Service that the caller addressed.
    pub service: ServiceTag,
    /// Chosen agent or backend server; `None` if there is none.
    pub chosen: Option<SocketAddr>,
    /// Second choice of the placement table, if there is one.
    pub second: Option<SocketAddrV4>,
    /// Version of the view, or revision of the settings for a request or a feed.
    pub version: u64,
    /// Reason for the route; for a request or a feed, its outcome.
    pub reason: String,
    /// Id of the request; `None` for a decision about a flow.
    pub request: Option<String>,
}

/// The most recent decisions of one process, published as [`DecisionLog::NAME`].
#[derive(Debug, Default)]
pub struct DecisionLog {
    unlogged: Counter,
    recent: Mutex<VecDeque<Decision>>,
}

impl DecisionLog {
    /// Name of the component in the kernel's registry.
    pub const NAME: &'static str = "decisions";

    /// Returns the counter of decisions that were not logged because of the rate limit.
    pub fn unlogged(&self) -> &Counter {
        &self.unlogged
    }

    /// Logs a decision and stores it, evicting the oldest one if the memory limit is reached.
    pub fn record(&self, decision: Decision) {
        tracing::info!(
            event = decision.event,
            caller = %decision.caller,
            service = decision.service.0,
            chosen = %OrDash(decision.chosen),
            second = %OrDash(decision.second),
            version = decision.version,
            reason = decision.reason,
            request = decision.request.as_deref().unwrap_or("-"),
        );
        let mut recent = self.recent.lock().expect("decisions lock");
        if recent.len() == MAX_RECENT_DECISIONS {
            recent.pop_front();
        }
        recent.push_back(decision);
    }

    /// Returns the stored decisions about a caller's address or a request's id, oldest first.
    pub fn find(&self, subject: &str) -> Vec<Decision> {
        let recent = self.recent.lock().expect("decisions lock");
        let matches = |d: &&Decision| {
            d.request.as_deref() == Some(subject) || d.caller.to_string() == subject
        };
        recent.iter().filter(matches).cloned().collect()
    }
}

/// Formats `None` as a dash.
struct OrDash<T>(Option<T>);

impl<T: std::fmt::Display> std::fmt::Display for OrDash<T> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match &self.0 {
            Some(value) => value.fmt(f),
            None => f.write_str("-"),
        }
    }
}

/// What to do with a decision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogAction {
    /// Log it: the first decision about its flow.
    Log,
    /// Count it without logging: the rate limit is reached.
    RateLimited,
    /// Ignore it: a decision about the same flow was logged before.
    Duplicate,
}

/// Selects the first decision about each flow, at a bounded rate and in bounded memory.
///
/// The filter is direct-mapped: flows that share an entry replace each other and may be logged
/// again, but are not missed.
#[derive(Debug)]
pub struct DecisionFilter {
    /// Time credit that is left; each logged decision costs 1 s / [`MAX_DECISIONS_PER_SECOND`].
    credit_us: u64,
    refilled_at: Time,
    flow_hashes: Vec<u64>,
}

impl Default for DecisionFilter {
    fn default() -> Self {
        Self {
            credit_us: MICROS_PER_SECOND,
            refilled_at: Time::default(),
            flow_hashes: vec![0; FILTER_ENTRIES],
        }
    }
}

impl DecisionFilter {
    /// Returns what to do with a decision about the flow of this key.
    pub fn check(&mut self, flow: &[u8], now: Time) -> LogAction {
        let hash = xxh3_64(flow);
        let entry = &mut self.flow_hashes[(hash % FILTER_ENTRIES as u64) as usize];
        if *entry == hash {
            return LogAction::Duplicate;
        }
        let earned = now.since(self.refilled_at).as_micros() as u64;
        self.refilled_at = now;
        self.credit_us = MICROS_PER_SECOND.min(self.credit_us + earned);
        let cost = MICROS_PER_SECOND / MAX_DECISIONS_PER_SECOND;
        if self.credit_us < cost {
            return LogAction::RateLimited;
        }
        self.credit_us -= cost;
        *entry = hash;
        LogAction::Log
    }
}
