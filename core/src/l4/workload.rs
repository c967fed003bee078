//! What a backend server carries, as its agent sees it in the segments of both directions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Share of a new sample in the mean work time, as a divisor.
const WORK_DIVISOR: u64 = 8;

/// Requests at the backend server for each slot, beyond which new flows wait at the agent.
const QUEUE_FACTOR: u16 = 2;

/// What a backend server carries, as balancers hear of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that it works on at once.
    pub slots: u16,
    /// Requests that it has not answered, and new flows that are about to bring one.
    pub busy: u16,
    /// Open flows.
    pub flows: u16,
    /// Mean time of a request that found a free slot, in microseconds; 0 if none was seen.
    pub work_us: u32,
    /// Whether it fails many of its requests.
    pub failing: bool,
}

/// Counts the requests and flows of one backend server.
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

/// A request that a backend server has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Running {
    started: Time,
    queued: bool,
}

impl Workload {
    /// Takes the number of slots that the backend server reports.
    pub fn set_slots(&mut self, slots: u16) {
        self.slots = slots;
    }

    /// Counts a flow that opened.
    pub fn open(&mut self) {
        self.flows += 1;
    }

    /// Counts a flow that ended.
    pub fn close(&mut self) {
        self.flows = self.flows.saturating_sub(1);
    }

    /// Counts a request that reaches the backend server.
    pub fn begin(&mut self, now: Time) -> Running {
        let queued = self.running >= self.slots;
        self.running += 1;
        Running {
            started: now,
            queued,
        }
    }

    /// Counts an answer, and returns how long it took.
    pub fn answered(&mut self, running: Running, now: Time) -> Duration {
        let took = now.since(running.started);
        self.abandon();
        if !running.queued {
            let sample = took.as_micros() as u64;
            self.work_us = match self.work_us {
                0 => sample.max(1),
                mean => (mean * (WORK_DIVISOR - 1) + sample) / WORK_DIVISOR,
            };
        }
        took
    }

    /// Counts a request that ended without an answer.
    pub fn abandon(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Counts a flow that was offered to the backend server and is about to bring a request.
    pub fn offered(&mut self) {
        self.opening += 1;
    }

    /// Counts an offered flow that brought its request or did not.
    pub fn settled(&mut self) {
        self.opening = self.opening.saturating_sub(1);
    }

    /// Takes whether the backend server fails many of its requests.
    pub fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Takes the number of flows that wait to be offered.
    pub fn set_waiting(&mut self, waiting: usize) {
        self.waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
    }

    /// Forgets all requests and flows: the backend server has started anew.
    pub fn clear(&mut self) {
        self.running = 0;
        self.opening = 0;
        self.flows = 0;
        self.work_us = 0;
    }

    /// Returns whether a new request finds a free slot.
    pub fn has_room(&self) -> bool {
        self.running + self.opening < self.slots
    }

    /// Returns whether the backend server can queue a new request: as many as it works on keep its
    /// slots in use, and more would only wait there instead of here.
    pub fn can_queue(&self) -> bool {
        self.running + self.opening < QUEUE_FACTOR * self.slots
    }

    /// Returns the mean time of a request that found a free slot; zero if none was seen.
    pub fn work(&self) -> Duration {
        Duration::from_micros(self.work_us)
    }

    /// Returns the mean time between two answers when all slots are in use.
    pub fn interval(&self) -> Duration {
        self.work() / u32::from(self.slots.max(1))
    }

    /// Returns the number of open flows.
    pub fn flows(&self) -> u16 {
        self.flows
    }

    /// Returns what balancers are told.
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
