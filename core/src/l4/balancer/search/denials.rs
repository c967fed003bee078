//! Agents that have denied a flow since its search began.
//!
//! A flow that is searched for is open already, so an agent that has denied it once can't come to hold it,
//! whatever happens to the agent later. Rounds that reach only a part of the fleet each, as while agents
//! are restarted in turn, so add up.

use std::{collections::BTreeSet, net::SocketAddrV4, sync::Arc};

/// The agents that have denied a flow.
#[derive(Clone, Debug, Default)]
pub(super) struct Denials {
    /// Agents that denied the flow in a round, in the order of their addresses. Shared by all searches of
    /// the round.
    rounds: Vec<Arc<[SocketAddrV4]>>,
    /// Agents that replied so to a query for the flow, or whose server has returned a segment.
    agents: BTreeSet<SocketAddrV4>,
}

impl Denials {
    /// Returns whether an agent has denied the flow.
    pub(super) fn contains(&self, agent: SocketAddrV4) -> bool {
        let mut rounds = self.rounds.iter();
        rounds.any(|agents| agents.binary_search(&agent).is_ok()) || self.agents.contains(&agent)
    }

    /// Adds an agent that has denied the flow.
    pub(super) fn add(&mut self, agent: SocketAddrV4) {
        if !self.contains(agent) {
            self.agents.insert(agent);
        }
    }

    /// Adds the agents that denied the flow in a round, in the order of their addresses.
    pub(super) fn add_round(&mut self, agents: &Arc<[SocketAddrV4]>) {
        if !agents.iter().all(|agent| self.contains(*agent)) {
            self.rounds.push(Arc::clone(agents));
        }
    }

    /// Forgets all agents, as the caller has opened another flow.
    pub(super) fn clear(&mut self) {
        self.rounds.clear();
        self.agents.clear();
    }
}
