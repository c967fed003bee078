//! What searches may send to everybody.

use std::time::Duration;

use crate::clock::Time;

/// Share of the link, as a divisor, that questions to everybody may take in one direction.
const QUESTION_DIVISOR: u64 = 10;

/// Time whose share of the link questions to everybody may take at once.
const QUESTION_BURST: Duration = Duration::from_secs(2);

/// A token bucket for questions to everybody.
#[derive(Clone, Copy, Debug)]
pub(in crate::l4::balancer) struct SearchBudget {
    bytes: u64,
    filled: Time,
    /// Bytes a second.
    rate: u64,
}

impl SearchBudget {
    /// Returns a full bucket for a link of so many bytes a second.
    pub(in crate::l4::balancer) fn new(link: u64) -> Self {
        let rate = link / QUESTION_DIVISOR;
        Self {
            bytes: rate * QUESTION_BURST.as_secs(),
            filled: Time::default(),
            rate,
        }
    }

    /// Takes bytes out of the bucket; returns whether they were there.
    pub(super) fn take(&mut self, bytes: u64, now: Time) -> bool {
        let millis = now.since(self.filled).as_millis() as u64;
        if millis > 0 {
            let earned = millis.saturating_mul(self.rate) / 1000;
            let limit = self.rate * QUESTION_BURST.as_secs();
            self.bytes = limit.min(self.bytes.saturating_add(earned));
            self.filled = now;
        }
        let left = self.bytes.checked_sub(bytes);
        self.bytes = left.unwrap_or(self.bytes);
        left.is_some()
    }
}
