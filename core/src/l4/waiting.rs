//! New flows that wait at an agent because the slots and the queue of its backend server are full.
//!
//! After an outage all callers open their flows within one round trip, some ten times as many as
//! the servers can hold. If all of these flows were delivered at once, the servers would shed most
//! of them, or answer late because each request waits for all others. So the flows are ordered
//! here: first those that can still be answered within their target latency, by priority; then
//! those that can't. A flow that can't be served before its caller gives up is refused at once,
//! while another agent may still admit it.

use std::{net::SocketAddrV4, time::Duration};

use super::segment::FlowKey;
use crate::clock::Time;

/// Longest wait of a flow. A caller gives up an opening after 1.4 s, which has to include two round
/// trips.
const MAX_WAIT: Duration = Duration::from_millis(1200);

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
    /// Latest time of delivery before the caller gives up.
    pub expires: Time,
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

    /// Returns whether one more flow can wait and still be served before its caller gives up, if
    /// one flow is delivered every `interval`.
    pub fn has_room(&self, interval: Duration) -> bool {
        let ahead = self.flows.len() as u32;
        self.flows.len() < MAX_WAITING_FLOWS && interval * ahead < MAX_WAIT
    }

    /// Adds a flow that arrived at `now` in the frame of a balancer.
    pub fn add(
        &mut self,
        flow: FlowKey,
        balancer: SocketAddrV4,
        datagram: &[u8],
        urgency: Urgency,
        now: Time,
    ) {
        self.flows.push(WaitingFlow {
            flow,
            balancer,
            datagram: datagram.into(),
            priority: urgency.priority,
            latest_start: now + urgency.target.saturating_sub(urgency.work_time),
            expires: now + MAX_WAIT,
        });
    }

    /// Removes and returns the flow that is served next: one that is not late before the late ones,
    /// then the highest priority, then the earliest `latest_start`.
    pub fn pop_next(&mut self, now: Time) -> Option<WaitingFlow> {
        let order = |waiting: &WaitingFlow| {
            (
                now > waiting.latest_start,
                waiting.priority,
                waiting.latest_start,
            )
        };
        let flows = self.flows.iter().enumerate();
        let (index, _) = flows.min_by_key(|(_, waiting)| order(waiting))?;
        Some(self.flows.swap_remove(index))
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
    /// Target latency of its answers.
    pub target: Duration,
    /// Expected work time of its request.
    pub work_time: Duration,
}
