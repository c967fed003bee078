//! Outlier detection for a backend server, from its answers.
//!
//! Covers a server that reports itself healthy and fails part of its requests, and one that goes down
//! and comes back repeatedly. As in Envoy, a server with a high share of failures is ejected: it gets
//! no new flows for a while. The period doubles with each ejection, and after it a single further
//! failure ejects the server again. Ejection only has an effect where other servers can take the flows: balancers
//! force flows on an ejected server when all others refuse.

use std::time::Duration;

use crate::clock::Time;

/// Share of failures above which a server is ejected, in thousandths. It is well above the share of
/// a healthy server that sheds a little load.
const EJECTION_PERMILLE: u32 = 250;

/// Divisor that gives the weight of the newest answer in the moving average of failures.
const AVERAGE_DIVISOR: u32 = 6;

/// Number of consecutive failures that eject a server whatever its share of failures.
const EJECTION_FAILURES: u32 = 2;

/// Period of the first ejection.
const BASE_EJECTION_PERIOD: Duration = Duration::from_millis(500);

/// Longest period of an ejection.
const MAX_EJECTION_PERIOD: Duration = Duration::from_secs(4);

/// Time without a failure after which the ejection period starts at its base again.
const EJECTION_RESET_PERIOD: Duration = Duration::from_secs(10);

const PERMILLE: u32 = 1000;

/// Tracks the failures of one backend server.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// Moving average of failures among the answers, in thousandths.
    failure_permille: u32,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until: Time,
    /// When the count of ejections restarts at 0, unless a failure comes before.
    ejections_expire: Time,
}

impl OutlierDetector {
    /// Records an answer without a failure.
    pub fn record_success(&mut self, now: Time) {
        self.failure_permille -= self.failure_permille / AVERAGE_DIVISOR;
        self.consecutive_failures = 0;
        if now >= self.ejections_expire {
            self.ejections = 0;
        }
    }

    /// Records a failure; returns the ejection period if this failure ejects the server.
    pub fn record_failure(&mut self, now: Time) -> Option<Duration> {
        self.failure_permille += (PERMILLE - self.failure_permille) / AVERAGE_DIVISOR;
        self.consecutive_failures += 1;
        self.ejections_expire = now + EJECTION_RESET_PERIOD;
        let is_outlier = self.failure_permille > EJECTION_PERMILLE
            || self.consecutive_failures >= EJECTION_FAILURES;
        if !is_outlier || now < self.ejected_until {
            return None;
        }
        let period = MAX_EJECTION_PERIOD.min(BASE_EJECTION_PERIOD * (1 << self.ejections.min(8)));
        self.ejections += 1;
        self.ejected_until = now + period;
        // A single failure after the period ejects the server again.
        self.failure_permille = EJECTION_PERMILLE;
        self.consecutive_failures = EJECTION_FAILURES - 1;
        Some(period)
    }

    /// Returns whether the server should get no new flows. Agents report this as `Load::failing`.
    pub fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }

    /// Clears all state, for a server that has restarted.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
