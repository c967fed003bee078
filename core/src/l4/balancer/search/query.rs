//! Queries for one flow to the agents that may hold it after a round.

use std::time::Duration;

use super::Balancer;
use crate::{
    clock::Time,
    l4::{
        balancer::FlowState,
        outbox::Outbox,
        segment::{Codec, FlowKey},
    },
};

/// Time after which agents that have not replied are queried again.
pub(super) const QUERY_TIMEOUT: Duration = Duration::from_millis(25);

/// Size of a query on the wire, with all headers.
pub(in crate::l4::balancer) const QUERY_BYTES: u64 = 100;

/// Number of times that an agent is queried, for a round as for one flow.
pub(super) const MAX_TRIES: u8 = 3;

/// Largest number of agents that are asked at once, so that their replies fit into the socket's buffer.
pub(super) const MAX_BATCH: usize = 128;

/// Time after which a search that exceeded the budget is continued.
const POSTPONE_INTERVAL: Duration = Duration::from_millis(50);

impl<C: Codec> Balancer<C> {
    /// Queries the agents that have not replied, or decides the search if that was done often enough.
    /// Postpones the queries if the budget is spent.
    pub(super) fn query_agents(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let silent = search.agents_with(None);
        if search.tries >= MAX_TRIES {
            if search.kept_for.is_none() {
                tracing::info!(event = "flow_search_replies_missing", %flow, silent = ?silent);
                self.metrics.count_search("silence");
            }
            for agent in silent {
                self.record_unanswered(agent, now);
            }
            self.decide(flow, now, out);
            return;
        }
        let bytes = silent.len() as u64 * QUERY_BYTES;
        if !self.budget.try_consume(bytes, now) {
            // The next round may find that the agents reply, or are no longer possible owners.
            let is_first = search.tries == 0;
            self.postpone(flow, silent.len(), now);
            if is_first {
                self.wait_for_round(flow);
            }
            return;
        }
        search.tries += 1;
        let acknowledged = search.acknowledged;
        self.set_due(flow, now + QUERY_TIMEOUT);
        self.send_queries(flow, acknowledged, &silent, out);
    }

    /// Continues a search later because the budget is spent.
    pub(super) fn postpone(&mut self, flow: &FlowKey, asked: usize, now: Time) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        if !search.is_postponed {
            tracing::info!(event = "flow_search_postponed", %flow, asked);
            self.metrics.count_search("postponed");
        }
        search.is_postponed = true;
        self.set_due(flow, now + POSTPONE_INTERVAL);
    }
}
