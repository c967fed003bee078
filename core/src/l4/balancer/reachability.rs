//! Detection of a balancer that reaches no agent.
//!
//! An isolated balancer still receives segments of callers, which it can't deliver, and the fabric
//! would keep sending more. Its process therefore asks the fabric to send no new flows until an
//! agent replies again.

use std::{net::SocketAddrV4, time::Duration};

use super::Balancer;
use crate::{
    clock::Time,
    l4::{
        message::Message,
        outbox::Outbox,
        segment::{Codec, FlowKey},
    },
};

/// A balancer counts as isolated if no agent has sent a message for this time after an opening.
/// Agents reply within milliseconds, and throttled processes within a tenth of a second.
const ISOLATION_TIMEOUT: Duration = Duration::from_millis(600);

/// Interval of the probes that an isolated balancer sends.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Number of agents that are probed at once.
const PROBED_AGENTS: usize = 3;

/// A flow that can't exist; a query for it shows whether an agent replies.
const PROBE_FLOW: FlowKey = FlowKey {
    caller: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
    address: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
};

/// Whether agents reply.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Reachability {
    /// When the first opening since the last message of any agent was sent.
    unanswered_since: Option<Time>,
    /// When to send the next probes while isolated.
    next_probe: Time,
}

impl Reachability {
    /// Records that an opening was sent to an agent.
    pub(super) fn record_opening(&mut self, now: Time) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that a message of an agent has arrived.
    pub(super) fn record_message(&mut self) {
        self.unanswered_since = None;
    }

    fn is_isolated(&self, now: Time) -> bool {
        let unanswered_since = self.unanswered_since;
        unanswered_since.is_some_and(|since| now.since(since) >= ISOLATION_TIMEOUT)
    }
}

impl<C: Codec> Balancer<C> {
    /// Returns whether at least `ISOLATION_TIMEOUT` has passed since the first opening that followed
    /// the last message of any agent.
    pub fn is_isolated(&self, now: Time) -> bool {
        self.reachability.is_isolated(now)
    }

    /// Probes [`PROBED_AGENTS`] agents every [`PROBE_INTERVAL`] while the balancer is isolated.
    pub(super) fn probe_while_isolated(&mut self, now: Time, out: &mut impl Outbox) {
        if !self.reachability.is_isolated(now) || now < self.reachability.next_probe {
            return;
        }
        self.reachability.next_probe = now + PROBE_INTERVAL;
        let random = self.random();
        let agents: Vec<SocketAddrV4> = self.fleet.sample(PROBED_AGENTS, random).collect();
        for agent in agents {
            self.send_probe(agent, out);
        }
    }

    /// Queries an agent for [`PROBE_FLOW`], to which it replies if it is alive.
    pub(super) fn send_probe(&mut self, agent: SocketAddrV4, out: &mut impl Outbox) {
        let find = Message::Find {
            flow: PROBE_FLOW,
            acknowledged: 0,
        };
        self.send(agent, &find, &[], out);
    }
}
