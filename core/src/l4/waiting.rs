//! New flows that wait at an agent because the slots and the queue of its backend server are full.
//!
//! After an outage all callers open their flows within one round trip, some ten times as many as
//! the servers can hold. If all of these flows were delivered at once, the servers would shed most
//! of them, or answer late because each request waits for all others. So the flows are ordered
//! here: first those that can still be answered within their target latency, by priority; then
//! those that can't, as long as the server has a free slot. The age of a flow counts from the
//! caller's first opening segment, so that callers who have waited through an outage do not make
//! those late that come after it. A flow that can't be served before its caller gives up is refused
//! at once, while another agent may still admit it.

use std::{net::SocketAddrV4, time::Duration};

use super::segment::FlowKey;
use crate::clock::Time;

/// Age at which a flow is no longer delivered. A caller gives up an opening after 1.4 s, which has to
/// include two round trips.
pub const MAX_OPENING_AGE: Duration = Duration::from_millis(1200);

/// Number of mean work times that a delivered request may take: one in the server's queue and one in a
/// slot.
const WORK_TIMES_PER_REQUEST: u32 = 2;

/// Limit of flows that wait at one agent.
const MAX_WAITING_FLOWS: usize = 256;

/// A waiting flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaitingFlow {
    /// The flow.
    pub flow: FlowKey,
    /// Balancer that placed the flow.
    pub balancer: SocketAddrV4,
    /// Datagram of the opening segment.
    pub datagram: Box<[u8]>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Latest time of delivery at which the flow is still answered within its target latency.
    pub latest_start: Time,
    /// Whether the flow was late already when it arrived.
    is_overdue: bool,
    /// Latest time of delivery before the caller gives up.
    pub expires: Time,
}

impl WaitingFlow {
    /// Returns whether the flow can no longer be answered within its target latency.
    pub fn is_late(&self, now: Time) -> bool {
        self.is_overdue || now > self.latest_start
    }

    /// Returns the sort key of the order in which flows are served.
    fn order(&self, now: Time) -> (bool, u8, Time) {
        (self.is_late(now), self.priority, self.latest_start)
    }
}

/// Waiting flows of one agent.
#[derive(Clone, Debug, Default)]
pub struct WaitingFlows {
    flows: Vec<WaitingFlow>,
}

impl WaitingFlows {
    /// Returns the number of waiting flows.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns whether `flow` is waiting.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.iter().any(|waiting| waiting.flow == *flow)
    }

    /// Sets the balancer of a waiting flow whose opening segment was repeated; returns whether the flow
    /// is waiting.
    pub fn set_balancer(&mut self, flow: &FlowKey, balancer: SocketAddrV4) -> bool {
        let waiting = self.flows.iter_mut().find(|waiting| waiting.flow == *flow);
        let Some(waiting) = waiting else {
            return false;
        };
        waiting.balancer = balancer;
        true
    }

    /// Returns the number of flows that can still be answered within their target latency.
    pub fn count_in_time(&self, now: Time) -> usize {
        let in_time = self.flows.iter().filter(|waiting| !waiting.is_late(now));
        in_time.count()
    }

    /// Returns whether one more flow can wait and still be served before its caller gives up, if
    /// one flow is delivered every `interval`. Only the flows that are served before it count.
    pub fn has_room(&self, urgency: &Urgency, interval: Duration, now: Time) -> bool {
        let order = (urgency.is_late(), urgency.priority);
        let ahead = self.flows.iter();
        let ahead = ahead.filter(|waiting| (waiting.is_late(now), waiting.priority) <= order);
        let ahead = ahead.count();
        ahead < MAX_WAITING_FLOWS && interval * (ahead as u32) < urgency.left
    }

    /// Adds a flow that arrived at `now` in the frame of a balancer. If the limit is exceeded, removes
    /// and returns the flow that would be served last.
    pub fn add(
        &mut self,
        flow: FlowKey,
        balancer: SocketAddrV4,
        datagram: &[u8],
        urgency: &Urgency,
        now: Time,
    ) -> Option<WaitingFlow> {
        self.flows.push(WaitingFlow {
            flow,
            balancer,
            datagram: datagram.into(),
            priority: urgency.priority,
            latest_start: now + urgency.target.saturating_sub(urgency.request_time()),
            is_overdue: urgency.is_late(),
            expires: now + urgency.left,
        });
        if self.flows.len() <= MAX_WAITING_FLOWS {
            return None;
        }
        let flows = self.flows.iter().enumerate();
        let (last, _) = flows.max_by_key(|(_, waiting)| waiting.order(now))?;
        Some(self.flows.swap_remove(last))
    }

    /// Removes and returns the flow that is served next, see [`WaitingFlows::next`].
    pub fn pop_next(
        &mut self,
        include_late: bool,
        interval: Duration,
        now: Time,
    ) -> Option<WaitingFlow> {
        let index = self.next_index(include_late, interval, now)?;
        Some(self.flows.swap_remove(index))
    }

    /// Returns the flow that is served next if one is delivered every `interval`: one that is not late
    /// before the late ones, then the highest priority, then the earliest `latest_start`. Late flows are
    /// returned only if `include_late` is set.
    ///
    /// If not all flows in time can be served in time, the latest `latest_start` comes first instead, as
    /// in adaptive LIFO queueing: with the earliest first, each flow would be served when it is about
    /// to be late, and a little more work than expected would make all of them late.
    pub fn next(&self, include_late: bool, interval: Duration, now: Time) -> Option<&WaitingFlow> {
        let index = self.next_index(include_late, interval, now)?;
        self.flows.get(index)
    }

    fn next_index(&self, include_late: bool, interval: Duration, now: Time) -> Option<usize> {
        let in_time = self.flows.iter().filter(|waiting| !waiting.is_late(now));
        let (mut count, mut last_start) = (0, now);
        for waiting in in_time {
            count += 1;
            last_start = last_start.max(waiting.latest_start);
        }
        let is_overloaded = now + interval * count > last_start;
        let order = |waiting: &WaitingFlow| {
            let (is_late, priority, latest_start) = waiting.order(now);
            let slack = latest_start.since(now);
            let rank = match is_overloaded {
                true => Duration::MAX - slack,
                false => slack,
            };
            (is_late, priority, rank)
        };
        let flows = self.flows.iter().enumerate();
        let (index, next) = flows.min_by_key(|(_, waiting)| order(waiting))?;
        (include_late || !next.is_late(now)).then_some(index)
    }

    /// Removes and returns a flow that has waited too long, or `None` if there is none.
    pub fn pop_expired(&mut self, now: Time) -> Option<WaitingFlow> {
        let index = self
            .flows
            .iter()
            .position(|waiting| now >= waiting.expires)?;
        Some(self.flows.swap_remove(index))
    }

    /// Removes and returns all flows.
    pub fn take_all(&mut self) -> Vec<WaitingFlow> {
        std::mem::take(&mut self.flows)
    }
}

/// Urgency of a flow, from which its place among the waiting flows follows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Time that is left until the target latency of its answer.
    pub target: Duration,
    /// Expected work time of its request.
    pub work_time: Duration,
    /// Time since the caller's first opening segment.
    pub age: Duration,
    /// Time that is left to deliver the flow so that its caller still gets the answer.
    pub left: Duration,
}

impl Urgency {
    /// Returns whether the answer is late even if the flow is delivered at once.
    pub fn is_late(&self) -> bool {
        self.target < self.work_time || self.target.is_zero()
    }

    /// Returns the time from the delivery of the flow to its answer if the server's queue is full.
    fn request_time(&self) -> Duration {
        self.work_time * WORK_TIMES_PER_REQUEST
    }
}
