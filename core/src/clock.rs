//! Time points for the state machines, which tests can set to any value, and the process clock.

use std::{
    ops::{Add, Sub},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the clock's origin.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Time(pub u64);

impl Time {
    /// Returns the point `millis` milliseconds after the origin.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1000))
    }

    /// Returns the whole milliseconds since the origin, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time from `earlier` to `self`, zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(micros(rhs)))
    }
}

/// Returns a duration in microseconds; one that is too long becomes the longest.
fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// A monotonic clock with an origin of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Time at which the clock was started.
    start: Time,
    started: tokio::time::Instant,
}

impl Clock {
    /// Returns a clock whose origin is now.
    pub fn start() -> Self {
        Self::start_at(Time::default())
    }

    /// Returns a clock that shows `start` now, so that its origin lies before.
    pub fn start_at(start: Time) -> Self {
        Self {
            start,
            started: tokio::time::Instant::now(),
        }
    }

    /// Returns the time elapsed since the origin.
    pub fn now(&self) -> Time {
        self.start + self.started.elapsed()
    }

    /// Converts `time` to an instant of the tokio runtime, for timers. A time before the start of the
    /// clock becomes its start.
    pub fn instant(&self, time: Time) -> tokio::time::Instant {
        self.started + time.since(self.start)
    }
}

/// Returns the wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set before it.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_millis() as u64
}
