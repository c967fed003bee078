//! Counters of the requests and flows at a backend server, and the load report made from them.
//!
//! The work time of a request lasts from its delivery to the first byte of the answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::clock::Time;

/// Largest divisor for the weight of a new sample in the moving average of the work time. With 8, one
/// request that takes seven times as long raised the average by three quarters, so that new flows went to
/// other servers for no reason.
const MAX_WORK_DIVISOR: u64 = 64;

/// Limit of unanswered requests and openings per slot of the backend server. Beyond it, new flows
/// wait at the agent.
const MAX_REQUESTS_PER_SLOT: u16 = 2;

/// Load of a backend server, as reported to balancers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Load {
    /// Number of requests that the server processes at once.
    pub slots: u16,
    /// Number of unanswered and held requests, openings, and waiting flows that are not late; an opening
    /// counts until its first request or its timeout.
    pub busy: u16,
    /// Number of flows, including those that are still opening.
    pub flows: u16,
    /// Mean work time of requests that found a free slot, in microseconds; 0 before the first one.
    pub work_us: u32,
    /// Whether the server is ejected because it fails many requests.
    pub failing: bool,
}

/// Counters of the requests and flows at one backend server.
#[derive(Clone, Debug, Default)]
pub struct Workload {
    slots: u16,
    outstanding: u16,
    opening: u16,
    waiting: u16,
    /// Requests that are held at the agent.
    held: u16,
    /// Outstanding requests that do not count as occupying a slot.
    idle: u16,
    flows: u16,
    work_us: u64,
    /// Number of samples in the mean work time, up to [`MAX_WORK_DIVISOR`].
    samples: u64,
    failing: bool,
    /// Lower bound of the reported `busy`, see [`Workload::set_cold_busy`].
    cold_busy: u16,
}

/// An unanswered request at a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OutstandingRequest {
    started: Time,
    /// Whether it found no free slot, so that its time includes a wait.
    queued: bool,
    /// Whether it does not count as occupying a slot.
    idle: bool,
}

impl OutstandingRequest {
    /// Returns when the request was delivered.
    pub fn started(&self) -> Time {
        self.started
    }
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
    pub fn start_request(&mut self, now: Time) -> OutstandingRequest {
        let queued = self.outstanding >= self.slots;
        self.outstanding += 1;
        OutstandingRequest {
            started: now,
            queued,
            idle: false,
        }
    }

    /// Removes a request that was answered at `now`, and returns how long it took. The time of a
    /// request that found a free slot goes into the mean work time.
    pub fn finish_request(&mut self, outstanding: OutstandingRequest, now: Time) -> Duration {
        let took = now.since(outstanding.started);
        self.drop_request(outstanding);
        if !outstanding.queued {
            let sample = took.as_micros() as u64;
            // The first samples count alike, so that the very first one does not dominate.
            self.samples = (self.samples + 1).min(MAX_WORK_DIVISOR);
            let sum = self.work_us * (self.samples - 1) + sample;
            self.work_us = (sum / self.samples).max(1);
        }
        took
    }

    /// Removes a request without counting its time.
    pub fn drop_request(&mut self, outstanding: OutstandingRequest) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.idle = self.idle.saturating_sub(u16::from(outstanding.idle));
    }

    /// Sets whether a request counts as occupying no slot: while its last segment has not been
    /// delivered, or when no answer comes.
    pub fn set_idle(&mut self, outstanding: &mut OutstandingRequest, idle: bool) {
        self.idle = self.idle.saturating_sub(u16::from(outstanding.idle)) + u16::from(idle);
        outstanding.idle = idle;
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

    /// Sets the lower bound of the reported `busy` while the backend server is cold, so that balancers
    /// of any build see the used share of its cold rate as load.
    pub fn set_cold_busy(&mut self, cold_busy: u16) {
        self.cold_busy = cold_busy;
    }

    /// Returns the number of busy slots and queue places at which a server has no room.
    pub fn full_busy(&self) -> u16 {
        self.slots.saturating_mul(MAX_REQUESTS_PER_SLOT)
    }

    /// Sets the number of waiting flows that can still be answered within their target latency. Late
    /// flows are left out, as they delay no other.
    pub fn set_waiting(&mut self, waiting: usize) {
        self.waiting = u16::try_from(waiting).unwrap_or(u16::MAX);
    }

    /// Sets the number of requests that are held at the agent.
    pub fn set_held(&mut self, held: usize) {
        self.held = u16::try_from(held).unwrap_or(u16::MAX);
    }

    /// Removes all requests, flows and the mean work time, which belong to an earlier instance of
    /// the backend server.
    pub fn clear(&mut self) {
        self.outstanding = 0;
        self.idle = 0;
        self.opening = 0;
        self.flows = 0;
        self.work_us = 0;
        self.samples = 0;
    }

    /// Returns whether a new request would find a free slot.
    pub fn has_free_slot(&self) -> bool {
        self.outstanding + self.opening < self.slots
    }

    /// Returns whether a waiting flow can be delivered. One request per slot in the server's queue is
    /// enough to keep the slots in use. More would wait at the server, where they can't be ordered
    /// or refused. A late flow is delivered only to a free slot, so that the queue stays short for the
    /// flows that come after it. While requests are held, the limit is theirs.
    pub fn can_start(&self, is_late: bool) -> bool {
        if self.held > 0 {
            return self.has_request_room(is_late);
        }
        match is_late {
            true => self.has_free_slot(),
            false => self.outstanding + self.opening < self.full_busy(),
        }
    }

    /// Returns whether a request on an open flow can be delivered: to a free slot or, unless it is late,
    /// to the one place in the server's queue that keeps the slots in use between two deliveries.
    pub fn has_request_room(&self, is_late: bool) -> bool {
        let limit = self.slots.saturating_add(u16::from(!is_late));
        self.outstanding.saturating_sub(self.idle) + self.opening < limit
    }

    /// Returns whether the number of slots is known.
    pub fn has_slots(&self) -> bool {
        self.slots > 0
    }

    /// Returns the mean work time: that of requests that found a free slot, zero before the first
    /// one.
    pub fn mean_work_time(&self) -> Duration {
        Duration::from_micros(self.work_us)
    }

    /// Returns the mean time between two answers when all slots are in use.
    pub fn answer_interval(&self) -> Duration {
        self.mean_work_time() / u32::from(self.slots.max(1))
    }

    /// Returns the number of flows, including those that are still opening.
    pub fn flows(&self) -> u16 {
        self.flows
    }

    /// Returns the load to report to balancers.
    pub fn load(&self) -> Load {
        Load {
            slots: self.slots,
            busy: (self.outstanding + self.opening + self.waiting + self.held).max(self.cold_busy),
            flows: self.flows,
            work_us: u32::try_from(self.work_us).unwrap_or(u32::MAX),
            failing: self.failing,
        }
    }
}
