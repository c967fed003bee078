//! Rate limit of the queries that searches broadcast.

use std::time::Duration;

use crate::clock::Time;

/// Divisor of the link's bandwidth that gives the share for broadcast queries. Only queries are
/// counted, as replies use the other direction of the link.
const LINK_DIVISOR: u64 = 10;

/// Capacity of the bucket, as the time in which it fills. A burst must not hold up the segments that are
/// behind it in the link's queue: with a tenth of the link, it takes 20 ms to send.
const BURST_WINDOW: Duration = Duration::from_millis(200);

/// A token bucket of bytes for broadcast queries. It may go below zero by one broadcast, which can be
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
        let millis = now.since(self.refilled_at).as_millis() as i64;
        if millis > 0 {
            let earned = millis.saturating_mul(self.rate) / 1000;
            self.bytes = capacity(self.rate).min(self.bytes.saturating_add(earned));
            self.refilled_at = now;
        }
        let has_bytes = self.bytes > 0;
        if has_bytes {
            self.bytes -= i64::try_from(bytes).unwrap_or(i64::MAX);
        }
        has_bytes
    }
}

fn capacity(rate: i64) -> i64 {
    rate.saturating_mul(BURST_WINDOW.as_millis() as i64) / 1000
}
