//! Retry budget: limits retries to a share of the requests, plus a small reserve for low traffic.
//!
//! The budget is a token bucket as in Finagle's `RetryBudget` and in gRPC's retry throttling (gRFC
//! A6): each request adds a fraction of a token and each retry costs a whole token. Tokens are
//! counted in thousandths.

use std::time::Duration;

use crate::clock::Time;

/// Cost of one retry.
const RETRY_MILLITOKENS: u64 = 1000;
/// Credit of one request; ten requests pay for one retry.
const REQUEST_MILLITOKENS: u64 = 100;
/// Credit of each second, even without any request.
const RESERVE_MILLITOKENS_PER_SECOND: u64 = 1000;
const MAX_MILLITOKENS: u64 = 10 * RETRY_MILLITOKENS;

/// Token bucket that limits retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    refilled_at: Time,
    millitokens: u64,
}

impl RetryBudget {
    /// Returns a full bucket.
    pub const fn new(now: Time) -> Self {
        Self {
            refilled_at: now,
            millitokens: MAX_MILLITOKENS,
        }
    }

    /// Adds the credit of a request; called once for its first attempt.
    pub fn deposit(&mut self) {
        self.millitokens = MAX_MILLITOKENS.min(self.millitokens + REQUEST_MILLITOKENS);
    }

    /// Takes the cost of one retry and returns whether the retry may be sent.
    pub fn withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        let Some(left) = self.millitokens.checked_sub(RETRY_MILLITOKENS) else {
            return false;
        };
        self.millitokens = left;
        true
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_micros() as u64;
        let added = elapsed.saturating_mul(RESERVE_MILLITOKENS_PER_SECOND) / MICROS_PER_SECOND;
        if added == 0 {
            return;
        }
        self.millitokens = MAX_MILLITOKENS.min(self.millitokens.saturating_add(added));
        self.refilled_at = now;
    }
}

const MICROS_PER_SECOND: u64 = Duration::from_secs(1).as_micros() as u64;
