//! Rate limit of the queries of searches and their replies.

use std::time::Duration;

use crate::clock::Time;

/// Divisor of the link's bandwidth that gives the share for the queries of searches and for the replies
/// to rounds, which are larger than the queries.
const LINK_DIVISOR: u64 = 10;

/// Capacity of the bucket, as the time in which it fills. A burst must not hold up the segments that are
/// behind it in the link's queue: with a tenth of the link, it takes 20 ms to send.
const BURST_WINDOW: Duration = Duration::from_millis(200);

/// A token bucket of bytes for queries and replies. It may go below zero by one round, which can be
/// larger than the bucket.
#[derive(Clone, Copy, Debug)]
pub(in crate::l4::balancer) struct SearchBudget {
    bytes: i64,
    refilled_at: Time,
    /// Bytes per second.
    rate: i64,
}

impl SearchBudget {
    /// Returns a full bucket for a link with `link_rate` bytes per second.
    pub(in crate::l4::balancer) fn new(link_rate: u64) -> Self {
        let rate = i64::try_from(link_rate / LINK_DIVISOR).unwrap_or(i64::MAX);
        Self {
            bytes: capacity(rate),
            refilled_at: Time::default(),
            rate,
        }
    }

    /// Removes bytes from the bucket; returns whether it held any, and removes none if not.
    pub(super) fn try_consume(&mut self, bytes: u64, now: Time) -> bool {
        self.refill(now);
        let has_bytes = self.bytes > 0;
        if has_bytes {
            self.charge(bytes);
        }
        has_bytes
    }

    /// Removes bytes that are sent or received in any case.
    pub(in crate::l4::balancer) fn charge(&mut self, bytes: u64) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.bytes = self.bytes.saturating_sub(bytes);
    }

    /// Returns when the bucket holds bytes, which is `now` if it holds some.
    pub(super) fn available_at(&mut self, now: Time) -> Time {
        self.refill(now);
        if self.bytes > 0 {
            return now;
        }
        let missing_ms = self.bytes.saturating_neg().saturating_mul(1000) / self.rate.max(1) + 1;
        now + Duration::from_millis(missing_ms.unsigned_abs())
    }

    /// Returns the time in which the bucket earns a number of bytes.
    pub(super) fn time_for(&self, bytes: u64) -> Duration {
        let rate = self.rate.max(1).unsigned_abs();
        Duration::from_millis(bytes.saturating_mul(1000) / rate)
    }

    /// Returns the time in which the whole link carries a number of bytes.
    pub(super) fn link_time(&self, bytes: u64) -> Duration {
        self.time_for(bytes) / LINK_DIVISOR as u32
    }

    /// Returns how many messages of some bytes half of the budget carries in an interval.
    pub(in crate::l4::balancer) fn half_count(&self, bytes: u64, interval: Duration) -> usize {
        let rate = self.rate.max(1).unsigned_abs();
        let earned = rate.saturating_mul(interval.as_millis() as u64) / 1000;
        (earned / 2 / bytes) as usize
    }

    fn refill(&mut self, now: Time) {
        let millis = now.since(self.refilled_at).as_millis() as i64;
        if millis > 0 {
            let earned = millis.saturating_mul(self.rate) / 1000;
            self.bytes = capacity(self.rate).min(self.bytes.saturating_add(earned));
            self.refilled_at = now;
        }
    }
}

fn capacity(rate: i64) -> i64 {
    rate.saturating_mul(BURST_WINDOW.as_millis() as i64) / 1000
}
