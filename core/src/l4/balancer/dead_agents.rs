//! Agents that the membership has declared dead or no longer shows. They are probed before their flows
//! are reset.
//!
//! The membership declares a process dead if other processes do not receive its messages. After a
//! network partition, or while only one direction of a path works, that process may still be alive
//! and hold all its flows.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use super::{Balancer, FlowState};
use crate::{
    clock::Time,
    l4::{outbox::Outbox, segment::Codec},
    member::{MemberState, View},
};

/// Time for the reply to a probe. Agents reply within milliseconds, and throttled ones within a tenth
/// of a second.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Number of probes in a row without a reply after which an agent's flows are reset. One in a few
/// hundred datagrams is lost.
const MAX_PROBES: u32 = 3;

/// Time from a reply to the next probe, while the membership still has the agent as dead.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// Progress of probing one agent.
#[derive(Clone, Copy, Debug)]
struct ProbeState {
    /// Whether a message of the agent has arrived since probing started.
    has_replied: bool,
    /// Number of probes since the last message of the agent.
    probes: u32,
    /// When the next probe is sent, or the flows are reset.
    due: Time,
}

/// The agents that were declared dead or have disappeared from the view, until the view shows them in
/// a state other than dead or they fail to reply to [`MAX_PROBES`] probes.
#[derive(Clone, Debug, Default)]
pub(super) struct DeadAgents(BTreeMap<SocketAddrV4, ProbeState>);

impl DeadAgents {
    /// Returns the agents that are being probed and may still hold flows.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.0.keys().copied()
    }

    /// Returns whether an agent is being probed and may still hold flows.
    pub(super) fn contains(&self, agent: SocketAddrV4) -> bool {
        self.0.contains_key(&agent)
    }

    /// Returns when an agent has to be probed or its flows be reset next, or `None` if no agent is being
    /// probed.
    pub(super) fn due(&self) -> Option<Time> {
        self.0.values().map(|state| state.due).min()
    }

    /// Starts to probe an agent that is gone from the view but named as the owner of a flow, so that its
    /// flows are reset if it does not reply.
    pub(super) fn start_probing(&mut self, agent: SocketAddrV4, now: Time) {
        self.0.entry(agent).or_insert(ProbeState {
            has_replied: false,
            probes: 0,
            due: now,
        });
    }

    /// Records that a message of an agent has arrived.
    pub(super) fn record_message(&mut self, agent: SocketAddrV4, now: Time) {
        if let Some(state) = self.0.get_mut(&agent) {
            if !state.has_replied {
                tracing::info!(event = "dead_agent_replied", %agent, probes = state.probes);
            }
            *state = ProbeState {
                has_replied: true,
                probes: 0,
                due: now + RECHECK_INTERVAL,
            };
        }
    }
}

impl<C: Codec> Balancer<C> {
    /// Resets the flows of agents that have left, and starts to probe those that were declared dead or
    /// have disappeared from the view.
    pub(super) fn handle_gone_agents(
        &mut self,
        gone: &[SocketAddrV4],
        view: &View,
        now: Time,
        out: &mut impl Outbox,
    ) {
        self.dead_agents.0.retain(|agent, _| {
            let record = view.members.get(agent);
            record.is_none_or(|record| record.state == MemberState::Dead)
        });
        for agent in gone {
            let record = view.members.get(agent);
            if record.is_some_and(|record| record.state == MemberState::Left) {
                self.reset_flows_of(*agent, now, out);
                continue;
            }
            tracing::info!(event = "agent_presumed_dead", %agent, view = view.version);
            let state = ProbeState {
                has_replied: false,
                probes: 0,
                due: now,
            };
            self.dead_agents.0.insert(*agent, state);
        }
        self.probe_dead_agents(now, out);
    }

    /// Probes the agents that are due, and resets the flows of those that have not replied to
    /// [`MAX_PROBES`] probes.
    pub(super) fn probe_dead_agents(&mut self, now: Time, out: &mut impl Outbox) {
        let due = self
            .dead_agents
            .0
            .iter()
            .filter(|(_, state)| state.due <= now);
        let due: Vec<(SocketAddrV4, ProbeState)> =
            due.map(|(agent, state)| (*agent, *state)).collect();
        for (agent, state) in due {
            if state.probes == MAX_PROBES {
                self.dead_agents.0.remove(&agent);
                self.reset_flows_of(agent, now, out);
                continue;
            }
            let probed = ProbeState {
                probes: state.probes + 1,
                due: now + PROBE_TIMEOUT,
                ..state
            };
            self.dead_agents.0.insert(agent, probed);
            self.send_probe(agent, out);
        }
    }

    fn reset_flows_of(&mut self, agent: SocketAddrV4, now: Time, out: &mut impl Outbox) {
        let mut lost = Vec::new();
        for (flow, entry) in &self.flows {
            if let FlowState::Owned(owned) = entry
                && owned.agent == agent
            {
                lost.push((*flow, owned.acknowledged));
            }
        }
        tracing::info!(event = "agent_gone", %agent, flows = lost.len());
        for (flow, acknowledged) in lost {
            self.reset_flow(&flow, acknowledged, "agent_gone", now, out);
        }
    }
}
