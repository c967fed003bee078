//! Agents that the membership has declared dead or no longer shows. Their flows are reset once they count
//! as absent here too.
//!
//! The membership declares a process dead if other processes do not receive its messages. After a
//! network partition, or while only one direction of a path works, that process may still be alive
//! and hold all its flows. So may an agent that is restarted several times in a row: it does not answer
//! the membership before it has joined.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, btree_map::Entry},
    net::SocketAddrV4,
    time::Duration,
};

use super::{Balancer, FlowState, Timers, pop_due, silence::QUERY_INTERVAL};
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
pub(super) struct DeadAgents {
    agents: BTreeMap<SocketAddrV4, DeadAgent>,
    /// When to look at agents. A reply postpones the look when its timer is due.
    timers: Timers<SocketAddrV4>,
}

impl DeadAgents {
    /// Returns the agents that may still hold flows.
    pub(super) fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.agents.keys().copied()
    }

    /// Returns whether an agent was declared dead and may still hold flows.
    pub(super) fn contains(&self, agent: SocketAddrV4) -> bool {
        self.agents.contains_key(&agent)
    }

    /// Returns when to look at an agent next, or `None` if there is none.
    pub(super) fn due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((due, _))| *due)
    }

    /// Adds an agent that is gone from the view. Its flows are reset if it does not answer.
    pub(super) fn add(&mut self, agent: SocketAddrV4, now: Time) {
        if let Entry::Vacant(entry) = self.agents.entry(agent) {
            entry.insert(DeadAgent {
                has_replied: false,
                due: now,
            });
            self.timers.push(Reverse((now, agent)));
        }
    }

    /// Returns the next agent to look at. Agents that have replied since their timer was set are
    /// postponed.
    fn pop_due(&mut self, now: Time) -> Option<SocketAddrV4> {
        while let Some(agent) = pop_due(&mut self.timers, now) {
            let Some(state) = self.agents.get(&agent) else {
                continue;
            };
            if now >= state.due {
                return Some(agent);
            }
            self.timers.push(Reverse((state.due, agent)));
        }
        None
    }

    /// Lets the next look at an agent follow after an interval.
    fn postpone(&mut self, agent: SocketAddrV4, due: Time) {
        if let Some(state) = self.agents.get_mut(&agent) {
            state.due = due;
            self.timers.push(Reverse((due, agent)));
        }
    }

    /// Records that a message of an agent has arrived.
    pub(super) fn record_message(&mut self, agent: SocketAddrV4, now: Time) {
        if let Some(state) = self.agents.get_mut(&agent) {
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
        self.dead_agents.agents.retain(|agent, _| {
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
        while let Some(agent) = self.dead_agents.pop_due(now) {
            if let Some(absence) = self.silences.absence(agent, now) {
                tracing::info!(event = "dead_agent_absent", %absence);
                self.dead_agents.agents.remove(&agent);
                self.reset_flows_of(agent, now, out);
                continue;
            }
            self.record_dead(agent, now);
            self.dead_agents.postpone(agent, now + QUERY_INTERVAL);
        }
    }

    /// Resets the flows that an agent which is gone has said to hold. Those that others ascribed to it are
    /// searched for.
    fn reset_flows_of(&mut self, agent: SocketAddrV4, now: Time, out: &mut impl Outbox) {
        let mut lost = Vec::new();
        let mut presumed = Vec::new();
        for (flow, entry) in &self.flows {
            let FlowState::Owned(owned) = entry else {
                continue;
            };
            if owned.agent != agent {
                continue;
            }
            match owned.is_confirmed {
                true => lost.push((*flow, owned.acknowledged)),
                false => presumed.push((*flow, owned.acknowledged)),
            }
        }
        let (flows, searched) = (lost.len(), presumed.len());
        tracing::info!(event = "agent_gone", %agent, flows, searched);
        for (flow, acknowledged) in lost {
            self.reset_flow(&flow, acknowledged, "agent_gone", now, out);
        }
        for (flow, acknowledged) in presumed {
            self.search_again(&flow, acknowledged, now);
        }
    }
}
