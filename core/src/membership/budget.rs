//! The send budget of a process: a token bucket with reserves for the more important messages.

use crate::clock::Time;

/// Average number of bytes that a process may send per second.
pub const RATE_BYTES_PER_S: u64 = 8_000;

/// Capacity of the bucket: bytes that may be sent at once after an idle period.
pub const BURST_BYTES: u64 = 16_000;

/// Bytes in the bucket of a process that starts.
///
/// The process has to fetch the fleet and to announce itself, and when a whole fleet starts
/// together every process gossips the updates of all others: with 295 processes, 64 kB were spent
/// after 3 s, and the last members became known one by one for 20 s. At one start a day this adds less
/// than two bytes per second to the average.
pub const STARTUP_BYTES: u64 = 128_000;

/// Priority of a message, highest first; each priority leaves a reserve for the higher ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SendPriority {
    /// Probes, their acknowledgements, and joins.
    Probe,
    /// What a process that joins waits for: join replies, shard requests, shard parts and requested
    /// records. Gossip about a rolling restart can use up any budget, and must leave enough for these.
    Answer,
    /// State updates, and comparisons of a process that is starting.
    State,
    /// Liveness updates and other replies.
    Liveness,
    /// Other comparisons and weight updates.
    Repair,
}

impl SendPriority {
    /// Returns the bytes that messages of this priority leave in the bucket.
    const fn reserve(self) -> u64 {
        match self {
            SendPriority::Probe => 0,
            SendPriority::Answer => BURST_BYTES / 16,
            SendPriority::State => BURST_BYTES / 4,
            SendPriority::Liveness => BURST_BYTES * 3 / 8,
            SendPriority::Repair => BURST_BYTES / 2,
        }
    }
}

/// A token bucket of bytes.
#[derive(Clone, Debug)]
pub struct Budget {
    micro_bytes: u64,
    refilled_at: Time,
}

impl Budget {
    /// Returns a bucket with [`STARTUP_BYTES`].
    pub fn new(now: Time) -> Self {
        Self {
            micro_bytes: STARTUP_BYTES * 1_000_000,
            refilled_at: now,
        }
    }

    /// Adds the bytes accrued since the last call.
    pub fn refill(&mut self, now: Time) {
        let micros = now.since(self.refilled_at).as_micros() as u64;
        let limit = BURST_BYTES * 1_000_000;
        let accrued = micros.saturating_mul(RATE_BYTES_PER_S);
        // The rest of the startup bytes is kept, but nothing accrues beyond the burst.
        let full = self.micro_bytes.max(limit);
        self.micro_bytes = self.micro_bytes.saturating_add(accrued).min(full);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether a message of a priority and length may be sent now.
    pub fn allows(&self, priority: SendPriority, bytes: usize) -> bool {
        self.micro_bytes >= (priority.reserve() + bytes as u64) * 1_000_000
    }

    /// Spends the bytes of a message if its priority allows it; returns whether it does.
    pub fn spend(&mut self, priority: SendPriority, bytes: usize) -> bool {
        let allowed = self.allows(priority, bytes);
        if allowed {
            self.micro_bytes -= bytes as u64 * 1_000_000;
        }
        allowed
    }
}
