//! Agents that the membership has declared dead or no longer shows. Their flows are reset once they count
//! as absent here too.
//!
//! The membership declares a process dead if other processes do not receive its messages. After a
//! network partition, or while only one direction of a path works, that process may still be alive
//! and hold all its flows. So may an agent that is restarted several times in a row: it does not answer
//! the membership before it has joined.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use super::{Balancer, FlowState, silence::QUERY_INTERVAL};
use crate::{
    clock::Time,
    l4::{outbox::Outbox, segment::Codec},
    member::{MemberState, View},
};

/// Time from a reply to the next query, while the membership still has the agent as dead.
const RECHECK_INTERVAL: Duration = Duration::from_millis(1_000);

/// An agent that was declared dead.
#[derive(Clone, Copy, Debug)]
struct DeadAgent {
    /// Whether a message of the agent has arrived since.
    has_replied: bool,
    /// When to look whether the agent answers. While it is silent, it is queried as a silent agent.
    due: Time,
}

/// The agents that were declared dead or have disappeared from the view, until the view shows them in
/// a state other than dead or they count as absent.
#[derive(Clone, Debug, Default)]
pub(super) struct DeadAgents(BTreeMap<SocketAddrV4, DeadAgent>);

impl DeadAgents {
    /// Returns the agents that may still hold flows.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.0.keys().copied()
    }

    /// Returns whether an agent was declared dead and may still hold flows.
    pub(super) fn contains(&self, agent: SocketAddrV4) -> bool {
        self.0.contains_key(&agent)
    }

    /// Returns when to look at an agent next, or `None` if there is none.
    pub(super) fn due(&self) -> Option<Time> {
        self.0.values().map(|state| state.due).min()
    }

    /// Adds an agent that is gone from the view. Its flows are reset if it does not answer.
    pub(super) fn add(&mut self, agent: SocketAddrV4, now: Time) {
        self.0.entry(agent).or_insert(DeadAgent {
            has_replied: false,
            due: now,
        });
    }

    /// Records that a message of an agent has arrived.
    pub(super) fn record_message(&mut self, agent: SocketAddrV4, now: Time) {
        if let Some(state) = self.0.get_mut(&agent) {
            if !state.has_replied {
                tracing::info!(event = "dead_agent_replied", %agent);
            }
            *state = DeadAgent {
                has_replied: true,
                due: now + RECHECK_INTERVAL,
            };
        }
    }
}

impl<C: Codec> Balancer<C> {
    /// Resets the flows of agents that have left. Those that were declared dead or have disappeared from the
    /// view are queried first.
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
            self.dead_agents.add(*agent, now);
        }
        self.check_dead_agents(now, out);
    }

    /// Resets the flows of the agents that have become absent, and has the others queried.
    pub(super) fn check_dead_agents(&mut self, now: Time, out: &mut impl Outbox) {
        let due = self
            .dead_agents
            .0
            .iter()
            .filter(|(_, state)| state.due <= now);
        let due: Vec<SocketAddrV4> = due.map(|(agent, _)| *agent).collect();
        for agent in due {
            if let Some(absence) = self.silences.absence(agent, now) {
                tracing::info!(event = "dead_agent_absent", %absence);
                self.dead_agents.0.remove(&agent);
                self.reset_flows_of(agent, now, out);
                continue;
            }
            self.record_dead(agent, now);
            if let Some(state) = self.dead_agents.0.get_mut(&agent) {
                state.due = now + QUERY_INTERVAL;
            }
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
