//! Limit of new requests to a backend server that is cold.
//!
//! The limit is a sliding window rather than a token bucket: a bucket that refills at the rate allows
//! up to twice the rate within one second.

use std::{collections::VecDeque, time::Duration};

use super::segment::FlowKey;
use crate::clock::Time;

/// Length of the window.
const WINDOW: Duration = Duration::from_secs(1);

/// Time between two calls of [`ColdLimit::advance`] above which the VM counts as frozen meanwhile. An
/// agent's tasks run at least every 200 ms. A shorter freeze exceeds the rate by less than a third.
const MAX_GAP: Duration = Duration::from_millis(300);

/// Time from an agent's start after which no limit applies if it has got no directives. Balancers wait
/// for them as long.
pub const RATE_TIMEOUT: Duration = Duration::from_secs(3);

/// A request in the window, or an opening whose first request has not come.
#[derive(Clone, Copy, Debug)]
struct Entry {
    time: Time,
    /// Flow of an opening whose first request is expected.
    opening: Option<FlowKey>,
}

/// Sliding window of the new requests to one backend server while it is cold.
///
/// An opening takes the place of its first request and passes it on when the request comes. So neither
/// the openings nor the requests in any second exceed the rate, except for requests on flows opened
/// more than a second before, which are counted but can't be refused.
#[derive(Clone, Debug)]
pub struct ColdLimit {
    /// Requests a second that the cold server handles, or `None` if no limit is stated.
    rate: Option<usize>,
    /// When the agent stops waiting for the directives that state the rate; nothing is admitted to a
    /// cold server until then. `None` if it does not wait.
    rate_deadline: Option<Time>,
    /// When the server is warm.
    warm_at: Time,
    /// When an earlier agent's deliveries, which are unknown here, have left the window.
    unknown_until: Time,
    advanced_at: Time,
    /// In the order of time.
    window: VecDeque<Entry>,
}

impl ColdLimit {
    /// Returns the limit of an agent that starts at `now`. An earlier agent may have filled the window,
    /// so it counts as full until then.
    pub fn new(now: Time) -> Self {
        Self {
            rate: None,
            rate_deadline: None,
            warm_at: Time::default(),
            unknown_until: now + WINDOW,
            advanced_at: now,
            window: VecDeque::new(),
        }
    }

    /// Sets the requests a second that the cold server handles, or `None` for no limit.
    pub fn set_rate(&mut self, rate: Option<u32>) {
        self.rate_deadline = None;
        self.rate = rate.map(|rate| rate as usize);
    }

    /// Admits nothing to a cold server until the first [`ColdLimit::set_rate`], for at most
    /// [`RATE_TIMEOUT`].
    pub fn await_rate(&mut self) {
        self.rate_deadline = Some(self.advanced_at + RATE_TIMEOUT);
    }

    /// Sets when the server is warm, as it has reported at `now`.
    pub fn set_warm_at(&mut self, warm_at: Time, now: Time) {
        // A freeze before the report must not postpone the end that the report states.
        self.advance(now);
        self.warm_at = warm_at;
    }

    /// Removes the entries that have left the window. After a freeze of the VM, the window is kept as
    /// it was: the server was frozen too and has not processed what it holds.
    pub fn advance(&mut self, now: Time) {
        let gap = now.since(self.advanced_at);
        self.advanced_at = self.advanced_at.max(now);
        if gap > MAX_GAP {
            self.postpone(gap);
        }
        if !self.is_cold(now) {
            self.window.clear();
        }
        while let Some(first) = self.window.front()
            && now > first.time + WINDOW
        {
            self.window.pop_front();
        }
    }

    /// Returns whether one more opening may be delivered.
    pub fn admits(&mut self, now: Time) -> bool {
        self.advance(now);
        let Some(rate) = self.effective_rate(now) else {
            return true;
        };
        now > self.unknown_until && self.window.len() < rate
    }

    /// Counts an opening that is delivered.
    pub fn record_opening(&mut self, flow: FlowKey, now: Time) {
        self.push(Some(flow), now);
    }

    /// Counts a request that is delivered, in the place of its opening if that is in the window.
    pub fn record_request(&mut self, flow: FlowKey, now: Time) {
        let opening = self
            .window
            .iter()
            .position(|entry| entry.opening == Some(flow));
        if let Some(opening) = opening {
            self.window.remove(opening);
        }
        self.push(None, now);
    }

    /// Returns the load that the used share of the rate stands for if a full window is `full`; zero
    /// without a limit.
    pub fn scaled_load(&self, full: u16, now: Time) -> u16 {
        let Some(rate) = self.effective_rate(now) else {
            return 0;
        };
        if now <= self.unknown_until || self.window.len() >= rate {
            return full;
        }
        (usize::from(full) * self.window.len() / rate) as u16
    }

    /// Returns when the next opening may be delivered if none may at the last [`ColdLimit::advance`].
    pub fn free_at(&self) -> Option<Time> {
        let now = self.advanced_at;
        let rate = self.effective_rate(now)?;
        let unknown_until = (now <= self.unknown_until).then_some(self.unknown_until);
        // The entry that has to leave for fewer than `rate` to remain.
        let last = self.window.len().checked_sub(rate);
        let last = last.and_then(|last| self.window.get(last));
        let leaves_at = last.map(|last| last.time + WINDOW);
        // The window includes its end.
        unknown_until
            .max(leaves_at)
            .map(|full_until| full_until + Duration::from_micros(1))
    }

    /// Returns the mean time between two openings at the rate, zero without a limit or while the rate is
    /// awaited, which takes about a round trip.
    pub fn interval(&self, now: Time) -> Duration {
        let rate = self.effective_rate(now).filter(|rate| *rate > 0);
        rate.map_or(Duration::ZERO, |rate| WINDOW / rate as u32)
    }

    /// Returns the limit in effect: 0 while the rate is awaited, `None` if there is none.
    fn effective_rate(&self, now: Time) -> Option<usize> {
        if !self.is_cold(now) {
            return None;
        }
        match self.rate_deadline {
            Some(deadline) if now < deadline => Some(0),
            _ => self.rate,
        }
    }

    fn is_cold(&self, now: Time) -> bool {
        now < self.warm_at
    }

    fn postpone(&mut self, gap: Duration) {
        for entry in &mut self.window {
            entry.time = entry.time + gap;
        }
        self.unknown_until = self.unknown_until + gap;
        self.warm_at = self.warm_at + gap;
    }

    fn push(&mut self, opening: Option<FlowKey>, now: Time) {
        self.advance(now);
        if self.is_cold(now) {
            self.window.push_back(Entry { time: now, opening });
        }
    }
}
