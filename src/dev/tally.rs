//! Requests counted by their end, with the times that they took.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;

use super::mix::Observed;
use crate::agent::reply::Outcome;

const MAX_LATENCY_US: u64 = 60_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;
const MICROS_PER_MILLI: f64 = 1000.0;

/// Requests by end, as their callers saw them.
#[derive(Clone, Debug)]
pub struct Tally {
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
    /// Answers whose body was not the right one.
    pub damaged: u64,
    /// Refused requests by priority.
    pub refused_by_priority: BTreeMap<u8, u64>,
    latency: Histogram<u64>,
    refusals: Histogram<u64>,
}

impl Tally {
    /// Counts requests.
    pub fn of(requests: &[Observed]) -> Self {
        let bounds = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        let empty = bounds.expect("valid histogram bounds");
        let mut tally = Self {
            sent: requests.len() as u64,
            answered: 0,
            refused: 0,
            unknown: 0,
            lost: 0,
            damaged: 0,
            refused_by_priority: BTreeMap::new(),
            latency: empty.clone(),
            refusals: empty,
        };
        for request in requests {
            tally.count(request);
        }
        tally
    }

    fn count(&mut self, request: &Observed) {
        let micros = request.latency.as_micros() as u64;
        match request.outcome {
            Some(Outcome::Answered) => {
                self.answered += 1;
                self.latency.saturating_record(micros);
            }
            Some(Outcome::NotRun) => {
                self.refused += 1;
                self.refusals.saturating_record(micros);
                *self
                    .refused_by_priority
                    .entry(request.priority)
                    .or_default() += 1;
            }
            Some(Outcome::Unknown) => self.unknown += 1,
            None => self.lost += 1,
        }
        self.damaged += u64::from(!request.intact);
    }

    /// Returns a quantile of the time to an answer, in milliseconds.
    pub fn answer_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// Returns a quantile of the time to a refusal, in milliseconds.
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        self.refusals.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }
}
