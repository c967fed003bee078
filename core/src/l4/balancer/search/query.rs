//! Queries for one flow to the agents that may hold it after a round.

use std::time::Duration;

use super::{Balancer, Stage};
use crate::{
    clock::Time,
    l4::{
        balancer::FlowState,
        message::Ownership,
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
    /// Queries the agents that have not replied, or ends the search if that was done often enough.
    /// Postpones the queries if the budget is spent.
    pub(super) fn query_agents(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let silent = search.agents_with(None);
        if search.tries >= MAX_TRIES {
            tracing::info!(event = "flow_search_replies_missing", %flow, silent = ?silent);
            self.metrics.count_search("silence");
            // Missing replies are set to `NotHeld` only to complete the search, so that unsure agents get
            // a trial delivery. An agent that has not replied may hold the flow, so the flow is not
            // reset.
            search.is_conclusive = false;
            for (_, reply) in &mut search.queried {
                reply.get_or_insert(Ownership::NotHeld);
            }
            let has_unsure = !search.agents_with(Some(Ownership::Unsure)).is_empty();
            for agent in silent {
                self.record_unanswered(agent, now);
            }
            match has_unsure {
                true => self.advance_if_complete(flow, now, out),
                false => drop(self.flows.remove(flow)),
            }
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
    fn postpone(&mut self, flow: &FlowKey, asked: usize, now: Time) {
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

    /// Sends the first buffered segment to the next agents that are unsure, those of the flow's present
    /// service first, within the budget: after a restart of all agents, each unknown flow is sent to all of
    /// them.
    pub(super) fn start_trial(
        &mut self,
        flow: &FlowKey,
        timeout: Duration,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let service = self.service_of(flow).unwrap_or_default().tag();
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let mut untried = search.untried();
        untried.sort_by_key(|agent| {
            let agent = self.fleet.get(*agent);
            agent.is_none_or(|agent| agent.service != service)
        });
        untried.truncate(MAX_BATCH);
        let bytes = untried.len() as u64 * QUERY_BYTES;
        if !self.budget.try_consume(bytes, now) {
            self.postpone(flow, untried.len(), now);
            return;
        }
        search.stage = Stage::Trial;
        search.tried.extend(&untried);
        let datagram = search.buffered.first().cloned().unwrap_or_default();
        self.set_due(flow, now + timeout);
        for agent in untried {
            self.forward(agent, &datagram, out);
        }
    }
}
