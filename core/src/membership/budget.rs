//! The byte budget of a process: a token bucket with reserves for what matters more.

use crate::clock::Time;

/// Bytes a second that a process may send on average.
pub const RATE: u64 = 8_000;

/// Bytes that may be sent at once after a quiet time.
pub const BURST: u64 = 16_000;

/// Bytes that a process may send at its start, once: it has to learn a fleet and to be learnt, and where
/// a whole fleet starts together everybody passes on everybody's news. At less than one start a day it
/// is a byte a second.
pub const START: u64 = 64_000;

/// How much a message matters; each level leaves a reserve for those above.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Level {
    /// Probes and their answers.
    Probe,
    /// Joins, leaves and new lives.
    State,
    /// Suspicions, deaths and refutations.
    Verdict,
    /// Comparison of shards, and weights.
    Repair,
}

impl Level {
    /// Returns the bytes that this level leaves in the bucket.
    const fn reserve(self) -> u64 {
        match self {
            Level::Probe => 0,
            Level::State => BURST / 8,
            Level::Verdict => BURST / 4,
            Level::Repair => BURST / 2,
        }
    }
}

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    micro_bytes: u64,
    updated: Time,
}

impl Budget {
    /// Returns the bucket of a process that starts.
    pub fn new(now: Time) -> Self {
        Self {
            micro_bytes: START * 1_000_000,
            updated: now,
        }
    }

    /// Adds what has accrued since the last call.
    pub fn refill(&mut self, now: Time) {
        let micros = now.since(self.updated).as_micros() as u64;
        let limit = BURST * 1_000_000;
        let accrued = micros.saturating_mul(RATE);
        // What is left of the start is kept; nothing accrues beyond the burst.
        let full = self.micro_bytes.max(limit);
        self.micro_bytes = self.micro_bytes.saturating_add(accrued).min(full);
        self.updated = self.updated.max(now);
    }

    /// Returns whether a message of a level may be sent.
    pub fn allows(&self, level: Level, bytes: usize) -> bool {
        self.micro_bytes >= (level.reserve() + bytes as u64) * 1_000_000
    }

    /// Takes the bytes of a message if its level allows it.
    pub fn take(&mut self, level: Level, bytes: usize) -> bool {
        let allowed = self.allows(level, bytes);
        if allowed {
            self.micro_bytes -= bytes as u64 * 1_000_000;
        }
        allowed
    }
}
