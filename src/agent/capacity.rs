//! Capacity estimation of a backend server from the outcomes of its requests; the load that the
//! server reports is not used.
//!
//! The concurrency limit is adjusted by additive increase and multiplicative decrease on shed
//! requests (Chiu and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion
//! Avoidance", 1989). The request rate follows from the limit and the mean service time (Little's
//! law).

use std::time::Duration;

use super::admission::CapacityEstimate;
use crate::clock::Time;

/// Weight of a server before enough requests have ended to measure it.
pub const INITIAL_WEIGHT: u16 = 100;

/// Weight per request per second.
const WEIGHT_PER_REQUEST_PER_S: f64 = 1.0;
/// Lowest weight as a share of the peers' mean weight; keeps some requests coming, without which a
/// server can't be measured.
const MIN_WEIGHT_SHARE: f64 = 0.02;
/// Factor applied to the concurrency limit when a request is shed.
const DECREASE_FACTOR: f64 = 0.8;
/// Growth of the concurrency limit per second.
const LIMIT_INCREASE_PER_S: f64 = 1.0;
/// Shortest time between two decreases of the concurrency limit.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(50);
/// Window of the moving averages, in requests.
const MEAN_WINDOW_REQUESTS: f64 = 32.0;
/// Share of its capacity that a server is weighted with when its slow start begins.
const INITIAL_CAPACITY_SHARE: f64 = 0.25;
/// Time from the end of the first request, other than shed ones, until a server is weighted with
/// its full capacity.
const SLOW_START_WINDOW: Duration = Duration::from_secs(5);
/// Smallest relative change of the weight that is announced.
const MIN_WEIGHT_CHANGE: f64 = 0.05;
/// Shortest time between two announcements.
const MIN_ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Requests, other than shed ones, that must have ended before the measured rate is used.
const MIN_MEASURED_REQUESTS: u32 = 8;

/// How a request ended at the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerOutcome {
    /// The caller cancelled the request, or no complete response to it arrived.
    Abandoned,
    /// The server answered with an error, or the request could not be sent to it before the
    /// deadline.
    Failed,
    /// The server answered without an error.
    Served,
    /// The server shed the request without running it.
    Shed,
}

/// Estimates the capacity of one backend server.
#[derive(Clone, Debug)]
pub struct CapacityEstimator {
    announced_weight: u16,
    next_announcement: Time,
    measured_requests: u32,
    next_decrease: Time,
    concurrency_limit: f64,
    success_rate: f64,
    service_time_us: f64,
    max_concurrency: u32,
    updated_at: Time,
    slow_start_end: Option<Time>,
}

impl CapacityEstimator {
    /// Creates the estimator of a server that has just started; `max_concurrency` is its first and
    /// highest concurrency limit.
    pub fn new(max_concurrency: u32, now: Time) -> Self {
        let max_concurrency = max_concurrency.max(1);
        Self {
            announced_weight: INITIAL_WEIGHT,
            next_announcement: now,
            measured_requests: 0,
            next_decrease: now,
            concurrency_limit: f64::from(max_concurrency),
            success_rate: 1.0,
            service_time_us: 0.0,
            max_concurrency,
            updated_at: now,
            slow_start_end: None,
        }
    }

    /// Records the outcome of a request that started at `started`.
    pub fn record_outcome(&mut self, outcome: ServerOutcome, started: Time, now: Time) {
        self.increase_concurrency(now);
        if outcome == ServerOutcome::Shed {
            self.decrease_concurrency(now);
            return;
        }
        self.measured_requests = self.measured_requests.saturating_add(1);
        let gain = 1.0 / f64::from(self.measured_requests).min(MEAN_WINDOW_REQUESTS);
        let elapsed_us = now.since(started).as_micros() as f64;
        // An abandoned request would have taken at least this long, so it can only raise the mean.
        if outcome != ServerOutcome::Abandoned || elapsed_us > self.service_time_us {
            self.service_time_us += gain * (elapsed_us - self.service_time_us);
        }
        let success = match outcome {
            ServerOutcome::Served => 1.0,
            ServerOutcome::Abandoned => self.success_rate,
            ServerOutcome::Failed | ServerOutcome::Shed => 0.0,
        };
        self.success_rate += gain * (success - self.success_rate);
        self.slow_start_end.get_or_insert(now + SLOW_START_WINDOW);
    }

    /// Returns the current estimate; the concurrency limit is at least 1.
    pub fn estimate(&mut self, now: Time) -> CapacityEstimate {
        self.increase_concurrency(now);
        CapacityEstimate {
            concurrency_limit: (self.concurrency_limit as u32).max(1),
            service_time: Duration::from_micros(self.service_time_us as u64),
        }
    }

    /// Returns the requests per second that the server can serve at its concurrency limit; zero if
    /// too few requests have ended.
    pub fn rate(&self) -> f64 {
        if self.measured_requests < MIN_MEASURED_REQUESTS || self.service_time_us <= 0.0 {
            return 0.0;
        }
        self.concurrency_limit.max(1.0) * self.success_rate * 1e6 / self.service_time_us
    }

    /// Returns the weight for the placement of new flows; `peer_mean` is the mean weight of the
    /// service's other servers.
    pub fn weight(&self, peer_mean: Option<u16>, now: Time) -> u16 {
        if self.measured_requests < MIN_MEASURED_REQUESTS {
            return INITIAL_WEIGHT;
        }
        let min_weight = f64::from(peer_mean.unwrap_or(INITIAL_WEIGHT)) * MIN_WEIGHT_SHARE;
        let weight =
            (self.rate() * WEIGHT_PER_REQUEST_PER_S * self.slow_start_share(now)).max(min_weight);
        weight.round().clamp(1.0, f64::from(u16::MAX)) as u16
    }

    /// Returns the weight to announce and records it as announced, or `None` if the last
    /// announcement is too recent or the change too small.
    pub fn take_announcement(&mut self, peer_mean: Option<u16>, now: Time) -> Option<u16> {
        if now < self.next_announcement {
            return None;
        }
        let weight = self.weight(peer_mean, now);
        let change = f64::from(weight.abs_diff(self.announced_weight));
        if weight == self.announced_weight
            || change < MIN_WEIGHT_CHANGE * f64::from(self.announced_weight)
        {
            return None;
        }
        self.announced_weight = weight;
        self.next_announcement = now + MIN_ANNOUNCE_INTERVAL;
        Some(weight)
    }

    /// Returns the share of its capacity that a server is weighted with during slow start.
    fn slow_start_share(&self, now: Time) -> f64 {
        let Some(slow_start_end) = self.slow_start_end else {
            return INITIAL_CAPACITY_SHARE;
        };
        let remaining = slow_start_end.since(now).as_secs_f64() / SLOW_START_WINDOW.as_secs_f64();
        1.0 - (1.0 - INITIAL_CAPACITY_SHARE) * remaining
    }

    fn decrease_concurrency(&mut self, now: Time) {
        if now < self.next_decrease {
            return;
        }
        self.concurrency_limit = (self.concurrency_limit * DECREASE_FACTOR).max(1.0);
        let service_time = Duration::from_micros(self.service_time_us as u64);
        self.next_decrease = now + service_time.max(MIN_DECREASE_INTERVAL);
    }

    fn increase_concurrency(&mut self, now: Time) {
        let growth = LIMIT_INCREASE_PER_S * now.since(self.updated_at).as_secs_f64();
        self.concurrency_limit =
            (self.concurrency_limit + growth).min(f64::from(self.max_concurrency));
        self.updated_at = now;
    }
}
