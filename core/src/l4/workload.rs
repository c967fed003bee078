//! Load of a backend server, as its agent counts it from the segments of both directions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Divisor for the weight of a new sample in the moving average of the work time.
const WORK_MEAN_DIVISOR: u64 = 8;

/// Requests per slot at the backend server from which on new flows wait at the agent.
const QUEUE_FACTOR: u16 = 2;

/// Load of a backend server, as it is sent to balancers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Number of requests that the server processes at once.
    pub slots: u16,
    /// Unanswered requests, openings without a request yet, and waiting flows.
    pub busy: u16,
    /// Open flows.
    pub flows: u16,
    /// Mean time of a request that found a free slot, in microseconds; 0 before the first one.
    pub work_us: u32,
    /// Whether the server is ejected because it fails many requests.
    pub failing: bool,
}

/// Counters of the requests and flows of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    slots: u16,
    running: u16,
    opening: u16,
    waiting: u16,
    flows: u16,
    work_us: u64,
    failing: bool,
}

/// An unanswered request at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningRequest {
    started: Time,
    queued: bool,
}

impl Workload {
    /// Sets the number of requests that the backend server processes at once.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
    }

    /// Adds an open flow, or one that may open.
    pub fn add_flow(&mut self) {
        self.flows += 1;
    }

    /// Removes a flow that has ended.
    pub fn remove_flow(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// Adds a request that is delivered to the backend server at `now`.
    pub fn start_request(&mut self, now: Time) -> RunningRequest {
        let queued = self.running >= self.slots;
        self.running += 1;
        RunningRequest {
            started: now,
            queued,
        }
    }

    /// Removes a request that was answered at `now`, and returns how long it took. The time of a
    /// request that found a free slot goes into the mean work time.
    pub fn finish_request(&mut self, running: RunningRequest, now: Time) -> Duration {
        let took = now.since(running.started);
        self.drop_request();
        if !running.queued {
            let sample = took.as_micros() as u64;
            self.work_us = match self.work_us {
                0 => sample.max(1),
                mean => (mean * (WORK_MEAN_DIVISOR - 1) + sample) / WORK_MEAN_DIVISOR,
            };
        }
        took
    }

    /// Removes a request without counting its time.
    pub fn drop_request(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Adds a flow whose opening segment was delivered and whose first request is expected.
    pub fn add_opening(&mut self) {
        self.opening += 1;
    }

    /// Removes an opening whose request has come or is no longer expected.
    pub fn remove_opening(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }

    /// Sets whether the backend server is ejected because it fails many requests.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Sets the number of waiting flows.
    pub fn set_waiting(&mut self, waiting: usize) {
        self.waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
    }

    /// Removes all requests, flows and the mean work time, which belong to an earlier instance of
    /// the backend server.
    pub fn clear(&mut self) {
        self.running = 0;
        self.opening = 0;
        self.flows = 0;
        self.work_us = 0;
    }

    /// Returns whether a new request would find a free slot.
    pub fn has_room(&self) -> bool {
        self.running + self.opening < self.slots
    }

    /// Returns whether the backend server can queue a new request. As many queued requests as slots
    /// keep the slots in use; more would wait at the server, where they can't be ordered or
    /// refused.
    pub fn can_queue(&self) -> bool {
        self.running + self.opening < QUEUE_FACTOR * self.slots
    }

    /// Returns the mean work time: that of requests that found a free slot, zero before the first
    /// one.
    pub fn work(&self) -> Duration {
        Duration::from_micros(self.work_us)
    }

    /// Returns the mean time between two answers when all slots are in use.
    pub fn interval(&self) -> Duration {
        self.work() / u32::from(self.slots.max(1))
    }

    /// Returns the number of flows, including those that are still opening.
    pub fn flows(&self) -> u16 {
        self.flows
    }

    /// Returns the load to report to balancers.
    pub fn load(&self) -> Load {
        Load {
            slots: self.slots,
            busy: self.running + self.opening + self.waiting,
            flows: self.flows,
            work_us: u32::try_from(self.work_us).unwrap_or(u32::MAX),
            failing: self.failing,
        }
    }
}
