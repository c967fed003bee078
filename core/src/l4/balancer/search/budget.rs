//! Rate limit of the queries that searches broadcast.

use std::time::Duration;

use crate::clock::Time;

/// Divisor of the link's bandwidth that gives the share for broadcast queries. Only queries are
/// counted, as replies use the other direction of the link.
const LINK_DIVISOR: u64 = 10;

/// Capacity of the bucket, as the time in which it fills.
const BURST_WINDOW: Duration = Duration::from_secs(2);

/// A token bucket of bytes for broadcast queries.
#[derive(Clone, Copy, Debug)]
pub(in crate::l4::balancer) struct SearchBudget {
    bytes: u64,
    refilled_at: Time,
    /// Bytes per second.
    rate: u64,
}

impl SearchBudget {
    /// Returns a full bucket for a link with `link_rate` bytes per second.
    pub(in crate::l4::balancer) fn new(link_rate: u64) -> Self {
        let rate = link_rate / LINK_DIVISOR;
        Self {
            bytes: rate * BURST_WINDOW.as_secs(),
            refilled_at: Time::default(),
            rate,
        }
    }

    /// Removes bytes from the bucket; returns whether it held that many, and removes none if not.
    pub(super) fn try_consume(&mut self, bytes: u64, now: Time) -> bool {
        let millis = now.since(self.refilled_at).as_millis() as u64;
        if millis > 0 {
            let earned = millis.saturating_mul(self.rate) / 1000;
            let limit = self.rate * BURST_WINDOW.as_secs();
            self.bytes = limit.min(self.bytes.saturating_add(earned));
            self.refilled_at = now;
        }
        let left = self.bytes.checked_sub(bytes);
        self.bytes = left.unwrap_or(self.bytes);
        left.is_some()
    }
}
