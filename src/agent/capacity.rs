//! What a backend server can carry, measured from what it does and not from what it reports.
//!
//! The believed concurrency follows sheds by additive increase and multiplicative decrease (Chiu
//! and Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance", 1989). The
//! rate follows from it and the mean time in service (Little's law).

use std::time::Duration;

use super::admission::Pace;
use crate::clock::Time;

/// Weight that is announced before anything is measured.
pub const FIRST_WEIGHT: u16 = 100;

/// Weight of one request a second.
const WEIGHT_PER_RATE: f64 = 1.0;
/// Lowest share of the peers' mean weight; without work nothing can be measured.
const MIN_SHARE: f64 = 0.02;
/// Factor of the concurrency at a shed request.
const DECREASE: f64 = 0.8;
/// Slots by which the concurrency grows in a second without a shed request.
const GROWTH_PER_SECOND: f64 = 1.0;
/// Least time between two decreases.
const MIN_DECREASE_GAP: Duration = Duration::from_millis(50);
/// Number of requests over which means are taken.
const MEAN_REQUESTS: f64 = 32.0;
/// Share of the capacity that a cold server is given at first.
const COLD_SHARE: f64 = 0.25;
/// Time in which a cold server comes to its whole share.
const WARM_UP: Duration = Duration::from_secs(5);
/// Relative change of the weight that is announced.
const THRESHOLD: f64 = 0.05;
/// Least time between two announcements.
const ANNOUNCE_GAP: Duration = Duration::from_secs(1);
/// Completions before the measured rate is used.
const MIN_COMPLETIONS: u32 = 8;

/// How a request ended at the backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// The caller went away, or no answer came in time.
    Abandoned,
    /// The server answered with an error of its own.
    Failed,
    /// The server answered.
    Served,
    /// The server shed the request: it did not run.
    Shed,
}

/// The capacity of one backend server.
#[derive(Clone, Debug)]
pub struct Capacity {
    announced: u16,
    announce_at: Time,
    completions: u32,
    decrease_at: Time,
    limit: f64,
    served: f64,
    service_us: f64,
    slots: u32,
    updated: Time,
    warm_at: Option<Time>,
}

impl Capacity {
    /// Returns the capacity of a server that has just started.
    pub fn new(slots: u32, now: Time) -> Self {
        let slots = slots.max(1);
        Self {
            announced: FIRST_WEIGHT,
            announce_at: now,
            completions: 0,
            decrease_at: now,
            limit: f64::from(slots),
            served: 1.0,
            service_us: 0.0,
            slots,
            updated: now,
            warm_at: None,
        }
    }

    /// Takes the end of a request that began at `began`.
    pub fn ended(&mut self, ended: Ended, began: Time, now: Time) {
        self.recover(now);
        if ended == Ended::Shed {
            self.decrease(now);
            return;
        }
        self.completions = self.completions.saturating_add(1);
        let part = 1.0 / f64::from(self.completions).min(MEAN_REQUESTS);
        let taken = now.since(began).as_micros() as f64;
        // A request that was given up took at least as long as this.
        if ended != Ended::Abandoned || taken > self.service_us {
            self.service_us += part * (taken - self.service_us);
        }
        let served = match ended {
            Ended::Served => 1.0,
            Ended::Abandoned => self.served,
            Ended::Failed | Ended::Shed => 0.0,
        };
        self.served += part * (served - self.served);
        self.warm_at.get_or_insert(now + WARM_UP);
    }

    /// Returns what the server can carry now.
    pub fn pace(&mut self, now: Time) -> Pace {
        self.recover(now);
        Pace {
            limit: (self.limit as u32).max(1),
            service: Duration::from_micros(self.service_us as u64),
        }
    }

    /// Returns the requests a second that the server answers when all its slots are in use.
    pub fn rate(&self) -> f64 {
        if self.completions < MIN_COMPLETIONS || self.service_us <= 0.0 {
            return 0.0;
        }
        self.limit.max(1.0) * self.served * 1e6 / self.service_us
    }

    /// Returns the weight for new flows, given the mean weight of the service's other servers.
    pub fn weight(&self, peers: Option<u16>, now: Time) -> u16 {
        if self.completions < MIN_COMPLETIONS {
            return FIRST_WEIGHT;
        }
        let least = f64::from(peers.unwrap_or(FIRST_WEIGHT)) * MIN_SHARE;
        let weight = (self.rate() * WEIGHT_PER_RATE * self.warmth(now)).max(least);
        weight.round().clamp(1.0, f64::from(u16::MAX)) as u16
    }

    /// Returns the weight to announce, if it has changed by enough and the last one is old enough.
    pub fn announcement(&mut self, peers: Option<u16>, now: Time) -> Option<u16> {
        if now < self.announce_at {
            return None;
        }
        let weight = self.weight(peers, now);
        let change = f64::from(weight.abs_diff(self.announced));
        if weight == self.announced || change < THRESHOLD * f64::from(self.announced) {
            return None;
        }
        self.announced = weight;
        self.announce_at = now + ANNOUNCE_GAP;
        Some(weight)
    }

    /// Returns the share of its capacity that a server is given while it warms up.
    fn warmth(&self, now: Time) -> f64 {
        let Some(warm_at) = self.warm_at else {
            return COLD_SHARE;
        };
        let left = warm_at.since(now).as_secs_f64() / WARM_UP.as_secs_f64();
        1.0 - (1.0 - COLD_SHARE) * left
    }

    fn decrease(&mut self, now: Time) {
        if now < self.decrease_at {
            return;
        }
        self.limit = (self.limit * DECREASE).max(1.0);
        let service = Duration::from_micros(self.service_us as u64);
        self.decrease_at = now + service.max(MIN_DECREASE_GAP);
    }

    fn recover(&mut self, now: Time) {
        let grown = GROWTH_PER_SECOND * now.since(self.updated).as_secs_f64();
        self.limit = (self.limit + grown).min(f64::from(self.slots));
        self.updated = now;
    }
}
