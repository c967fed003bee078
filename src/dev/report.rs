//! The judgement of a development run, from what callers saw and what backend servers wrote down.

use std::{
    collections::{BTreeMap, HashMap},
    sync::atomic::Ordering,
};

use serde::Serialize;

use super::{
    change::Changes,
    fleet::Fleet,
    mix::{Seen, by_id},
    tally::Tally,
};
use crate::{agent::reply::Outcome, config::site::Site};

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered by a backend server.
    pub answered: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without a word by their deadline.
    pub lost: u64,
    /// Requests that ran more than once and must not.
    pub doubled: u64,
    /// Requests that ran at another service.
    pub misrouted: u64,
    /// Requests told "not run" that ran.
    pub false_refusals: u64,
    /// Answers whose body was not the right one.
    pub damaged: u64,
    /// Changes of settings that came in force everywhere.
    pub settings_changes: u64,
    /// Changes of settings that did not come in force everywhere in time.
    pub late_settings: u64,
    /// Processes that went back to older settings.
    pub reverted_settings: u64,
    /// Longest time from an accepted change to in force everywhere, in milliseconds.
    pub settings_ms: f64,
    /// Feeds held open.
    pub flows: u64,
    /// Feeds that ended, fell silent or lost events.
    pub broken_flows: u64,
    /// Highest use of capacity among a service's servers over the mean.
    pub imbalance: f64,
    /// Median time to an answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to an answer, in milliseconds.
    pub p99_ms: f64,
    /// 99th percentile of the time to a refusal, in milliseconds.
    pub refusal_p99_ms: f64,
    /// Requests refused, by priority.
    pub refused_by_priority: BTreeMap<u8, u64>,
    /// Slot time used by each backend server over the time that it was there, by service.
    pub use_by_service: BTreeMap<String, Vec<f64>>,
}

impl Report {
    /// Returns the report with what became of changes of settings.
    pub fn with_changes(mut self, changes: &Changes) -> Self {
        self.settings_changes = changes.done;
        self.late_settings = changes.late;
        self.reverted_settings = changes.reverted;
        self.settings_ms = changes.slowest.as_secs_f64() * 1000.0;
        self
    }

    /// Returns whether every promise was kept.
    pub fn kept(&self) -> bool {
        let faults = [
            self.lost,
            self.doubled,
            self.misrouted,
            self.false_refusals,
            self.damaged,
            self.broken_flows,
            self.late_settings,
            self.reverted_settings,
        ];
        faults.iter().all(|count| *count == 0)
    }
}

/// Compares what callers saw with what backend servers wrote down.
pub fn judge(site: &Site, fleet: &Fleet, seen: &Seen) -> Report {
    let requests = seen.requests.lock().expect("requests lock");
    let uses = uses(site, fleet);
    let tally = Tally::of(&requests);
    let mut report = Report {
        sent: tally.sent,
        answered: tally.answered,
        refused: tally.refused,
        unknown: tally.unknown,
        lost: tally.lost,
        damaged: tally.damaged,
        p50_ms: tally.answer_ms(0.5),
        p99_ms: tally.answer_ms(0.99),
        refusal_p99_ms: tally.refusal_ms(0.99),
        refused_by_priority: tally.refused_by_priority,
        flows: seen.flows.load(Ordering::Relaxed),
        broken_flows: seen.broken.load(Ordering::Relaxed),
        imbalance: imbalance(&uses),
        use_by_service: uses,
        ..Report::default()
    };
    let known = by_id(&requests);
    let mut runs: HashMap<String, u64> = HashMap::new();
    for (_, server) in fleet.servers.lock().expect("servers lock").iter() {
        for run in server.journal() {
            if let Some(request) = known.get(run.id.as_str()) {
                report.misrouted += u64::from(request.service != run.service);
            }
            *runs.entry(run.id).or_default() += 1;
        }
    }
    for request in requests.iter() {
        let ran = runs.get(&request.id).copied().unwrap_or(0);
        report.doubled += u64::from(request.once && ran > 1);
        report.false_refusals += u64::from(request.outcome == Some(Outcome::NotRun) && ran > 0);
    }
    report
}

/// Returns the share of its time in service that each server's slots were in use, by service.
fn uses(site: &Site, fleet: &Fleet) -> BTreeMap<String, Vec<f64>> {
    let servers = fleet.servers.lock().expect("servers lock");
    let mut uses: BTreeMap<String, Vec<f64>> = BTreeMap::new();
    for (group, server) in servers.iter() {
        let service = site.servers[*group].service.clone();
        uses.entry(service).or_default().push(server.used());
    }
    uses
}

/// Returns the highest use over the mean, of the service where it is highest.
fn imbalance(uses: &BTreeMap<String, Vec<f64>>) -> f64 {
    let mut worst: f64 = 1.0;
    for uses in uses.values() {
        let mean = uses.iter().sum::<f64>() / uses.len() as f64;
        if mean > 0.0 {
            worst = worst.max(uses.iter().copied().fold(0.0, f64::max) / mean);
        }
    }
    worst
}
