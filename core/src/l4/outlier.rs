//! Whether a backend server fails, judged from its answers.
//!
//! The loads that this answers: a server that is healthy by its own word and fails part of its
//! requests, and one that goes down and comes back by turns. Follows outlier detection as in Envoy:
//! a server whose share of failures is high gets no new flows for a while, longer each time, and
//! one flow then tries whether it works again. It is taken out only where others can take its
//! flows: balancers still force flows on it when all others refuse.

use std::time::Duration;

use crate::clock::Time;

/// Share of failures from which a server is taken out, in thousandths: well above what a sound one
/// shows when it sheds a little.
const MAX_FAILURES: u32 = 250;

/// Weight of the newest answer in the share of failures, as a divisor.
const SAMPLE_DIVISOR: u32 = 6;

/// Failures without an answer between them that take a server out whatever came before.
const MAX_STREAK: u32 = 2;

/// Time for which a server is taken out the first time.
const BASE_TIME: Duration = Duration::from_millis(500);

/// Longest time for which a server is taken out.
const MAX_TIME: Duration = Duration::from_secs(4);

/// Time without a failure after which a server's record counts as clean.
const CLEAN_TIME: Duration = Duration::from_secs(10);

const THOUSAND: u32 = 1000;

/// The record of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Outlier {
    /// Share of failures among the last answers, in thousandths.
    failures: u32,
    streak: u32,
    ejections: u32,
    until: Time,
    clean: Time,
}

impl Outlier {
    /// Notes a sound answer.
    pub fn succeeded(&mut self, now: Time) {
        self.failures -= self.failures / SAMPLE_DIVISOR;
        self.streak = 0;
        if now >= self.clean {
            self.ejections = 0;
        }
    }

    /// Notes a failure; returns for how long the server is taken out, if it is just now.
    pub fn failed(&mut self, now: Time) -> Option<Duration> {
        self.failures += (THOUSAND - self.failures) / SAMPLE_DIVISOR;
        self.streak += 1;
        self.clean = now + CLEAN_TIME;
        let fails = self.failures > MAX_FAILURES || self.streak >= MAX_STREAK;
        if !fails || now < self.until {
            return None;
        }
        let time = MAX_TIME.min(BASE_TIME * (1 << self.ejections.min(8)));
        self.ejections += 1;
        self.until = now + time;
        // One more failure is enough when the server is tried again.
        self.failures = MAX_FAILURES;
        self.streak = MAX_STREAK - 1;
        Some(time)
    }

    /// Returns whether the server should get no new flows.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.until
    }

    /// Forgets the record: the server has started anew.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}
