//! Estimate of the time in which agents reply to openings.
//!
//! A balancer whose own link or processor is slow gets all replies late. With a fixed timeout it would
//! take every agent for silent and send each opening to several of them, which slows it further. The
//! estimate is that of TCP's retransmission timer (RFC 6298).

use std::time::Duration;

/// Shortest timeout: several round trips of an agent.
const MIN_TIMEOUT: Duration = Duration::from_millis(30);

/// Longest timeout before it is doubled for further tries.
const MAX_TIMEOUT: Duration = Duration::from_millis(240);

/// Divisor for the weight of a new sample in the mean.
const MEAN_DIVISOR: u32 = 8;

/// Divisor for the weight of a new sample in the mean deviation.
const DEVIATION_DIVISOR: u32 = 4;

/// Number of mean deviations above the mean at which a reply counts as missing.
const DEVIATIONS: u32 = 4;

/// Moving averages of the reply times.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyTime {
    mean: Duration,
    deviation: Duration,
}

impl ReplyTime {
    /// Adds the time of a reply, also of one that came after its timeout.
    pub fn record(&mut self, sample: Duration) {
        let difference = self.mean.abs_diff(sample);
        self.deviation =
            (self.deviation * (DEVIATION_DIVISOR - 1) + difference) / DEVIATION_DIVISOR;
        self.mean = (self.mean * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR;
    }

    /// Returns the time after which a reply counts as missing.
    pub fn timeout(&self) -> Duration {
        let expected = self.mean + self.deviation * DEVIATIONS;
        expected.clamp(MIN_TIMEOUT, MAX_TIMEOUT)
    }
}
