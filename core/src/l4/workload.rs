//! What a backend server carries, as its agent sees it in the segments of both directions.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Share of a new sample in the mean work time, as a divisor.
const WORK_DIVISOR: u64 = 8;

/// What a backend server carries, as balancers hear of it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Requests that it works on at once.
    pub slots: u16,
    /// Requests that it has not answered.
    pub busy: u16,
    /// Open flows.
    pub flows: u16,
    /// Mean time of a request that found a free slot, in microseconds; 0 if none was seen.
    pub work_us: u32,
}

/// Counts the requests and flows of one backend server.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    slots: u16,
    busy: u16,
    flows: u16,
    work_us: u64,
}

/// A request that a backend server has not answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Running {
    started: Time,
    queued: bool,
}

impl Running {
    /// Returns when the request reached the backend server.
    pub fn started(&self) -> Time {
        self.started
    }
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
        let queued = self.busy >= self.slots;
        self.busy += 1;
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
        self.busy = self.busy.saturating_sub(1);
    }

    /// Forgets all requests and flows: the backend server has started anew.
    pub fn clear(&mut self) {
        self.busy = 0;
        self.flows = 0;
        self.work_us = 0;
    }

    /// Returns whether a new request finds a free slot.
    pub fn has_room(&self) -> bool {
        self.busy < self.slots
    }

    /// Returns the number of open flows.
    pub fn flows(&self) -> u16 {
        self.flows
    }

    /// Returns what balancers are told.
    pub fn load(&self) -> Load {
        Load {
            slots: self.slots,
            busy: self.busy,
            flows: self.flows,
            work_us: u32::try_from(self.work_us).unwrap_or(u32::MAX),
        }
    }
}
