//! A budget of retries: a share of the requests, and a small reserve for quiet times.
//!
//! A token bucket as in Finagle's `RetryBudget` and in gRPC's retry throttling (gRFC A6): each
//! request adds a part of a token, each retry takes a whole one.

use std::time::Duration;

use crate::clock::Time;

/// Tokens of one retry.
const RETRY_COST: u64 = 1000;
/// Tokens that each request adds: one retry in ten requests.
const REQUEST_TOKENS: u64 = 100;
/// Tokens added each second without any request.
const RESERVE_TOKENS_PER_SECOND: u64 = 1000;
/// Most tokens that are kept.
const MAX_TOKENS: u64 = 10 * RETRY_COST;

/// A token bucket of retries.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    filled: Time,
    tokens: u64,
}

impl RetryBudget {
    /// Returns a full bucket.
    pub const fn new(now: Time) -> Self {
        Self {
            filled: now,
            tokens: MAX_TOKENS,
        }
    }

    /// Counts a request that is sent for the first time.
    pub fn deposit(&mut self) {
        self.tokens = MAX_TOKENS.min(self.tokens + REQUEST_TOKENS);
    }

    /// Takes a retry out of the bucket; returns whether it may be sent.
    pub fn withdraw(&mut self, now: Time) -> bool {
        self.fill(now);
        let Some(left) = self.tokens.checked_sub(RETRY_COST) else {
            return false;
        };
        self.tokens = left;
        true
    }

    fn fill(&mut self, now: Time) {
        let elapsed = now.since(self.filled).as_micros() as u64;
        let added = elapsed.saturating_mul(RESERVE_TOKENS_PER_SECOND) / MICROS_PER_SECOND;
        if added == 0 {
            return;
        }
        self.tokens = MAX_TOKENS.min(self.tokens.saturating_add(added));
        self.filled = now;
    }
}

const MICROS_PER_SECOND: u64 = Duration::from_secs(1).as_micros() as u64;
