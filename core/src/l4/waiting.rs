//! New flows that wait for a backend server whose slots and queue are in use.
//!
//! The load that this answers is the return of everybody at once: after an outage all callers open
//! their flows within a round trip, some ten times what the servers hold. Sent on at once, most
//! would be shed by the servers, or answered late because each waits for all. Here those that can
//! still be answered within their target go first, the more urgent ones before the others; those
//! that are late anyway get what is left; and what can't be served before its caller gives up is
//! refused at once, while another agent may still take it.

use std::{net::SocketAddrV4, time::Duration};

use super::segment::FlowKey;
use crate::clock::Time;

/// Longest wait: a caller gives up its opening after 1.4 s, and needs two round trips.
const MAX_WAIT: Duration = Duration::from_millis(1200);

/// Flows that wait at one agent, at most.
const MAX_WAITING: usize = 256;

/// A flow that waits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// The flow.
    pub flow: FlowKey,
    /// Balancer that placed it.
    pub balancer: SocketAddrV4,
    /// The opening segment.
    pub datagram: Box<[u8]>,
    /// Rank: 0 goes first.
    pub priority: u8,
    /// Until when it has to start to be answered within its target.
    pub due: Time,
    /// When its caller gives up.
    pub expires: Time,
}

/// The flows that wait at one agent.
#[derive(Clone, Debug, Default)]
pub struct WaitingRoom {
    flows: Vec<Waiting>,
}

impl WaitingRoom {
    /// Returns the number of flows that wait.
    pub fn len(&self) -> usize {
        self.flows.len()
    }

    /// Returns whether no flow waits.
    pub fn is_empty(&self) -> bool {
        self.flows.is_empty()
    }

    /// Returns whether a flow waits.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        self.flows.iter().any(|waiting| waiting.flow == *flow)
    }

    /// Returns whether one more flow is served in time behind those that wait, if a flow is taken
    /// every `interval`.
    pub fn has_room(&self, interval: Duration) -> bool {
        let ahead = self.flows.len() as u32;
        self.flows.len() < MAX_WAITING && interval * ahead < MAX_WAIT
    }

    /// Adds a flow that should be answered within `target`, of which the work takes `work`.
    pub fn add(
        &mut self,
        flow: FlowKey,
        balancer: SocketAddrV4,
        datagram: &[u8],
        urgency: Urgency,
        now: Time,
    ) {
        self.flows.push(Waiting {
            flow,
            balancer,
            datagram: datagram.into(),
            priority: urgency.priority,
            due: now + urgency.target.saturating_sub(urgency.work),
            expires: now + MAX_WAIT,
        });
    }

    /// Takes out the flow that goes next.
    pub fn next(&mut self, now: Time) -> Option<Waiting> {
        let order = |waiting: &Waiting| (now > waiting.due, waiting.priority, waiting.due);
        let flows = self.flows.iter().enumerate();
        let (index, _) = flows.min_by_key(|(_, waiting)| order(waiting))?;
        Some(self.flows.swap_remove(index))
    }

    /// Takes out a flow whose caller gives up.
    pub fn expired(&mut self, now: Time) -> Option<Waiting> {
        let index = self.flows.iter().position(|w| now >= w.expires)?;
        Some(self.flows.swap_remove(index))
    }

    /// Takes out all flows.
    pub fn drain(&mut self) -> Vec<Waiting> {
        std::mem::take(&mut self.flows)
    }
}

/// How urgent a flow is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
    /// Rank: 0 goes first.
    pub priority: u8,
    /// Time in which its caller expects an answer.
    pub target: Duration,
    /// Expected time of the work on it.
    pub work: Duration,
}
