//! Trial deliveries: agents that are unsure are sent a segment of the flow, which servers that do not hold
//! it return.
//!
//! A flow of which some segments reach other servers, and none its own, counts as broken. So a segment goes
//! on trial only once every agent that may hold the flow is known and has replied, and then to all of them.

use std::{net::SocketAddrV4, time::Duration};

use super::{
    Balancer, Stage,
    query::{MAX_BATCH, QUERY_BYTES},
};
use crate::{
    clock::Time,
    l4::{
        balancer::FlowState,
        outbox::Outbox,
        segment::{Codec, FlowKey},
    },
};

/// Time in which a backend server returns a segment of a flow that it does not hold.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(40);

/// Shortest time between two batches of a trial delivery.
const BATCH_INTERVAL: Duration = Duration::from_millis(10);

impl<C: Codec> Balancer<C> {
    /// Sends a segment on trial to the agents that may hold a flow, or keeps the search if one of them may be
    /// missing.
    pub(super) fn try_candidates(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get(flow) else {
            return;
        };
        let candidates: Vec<SocketAddrV4> = search.candidates().collect();
        let gap = self.find_gap(search, now);
        let mut untried = candidates.clone();
        untried.retain(|agent| !search.tried.contains(agent));
        match gap {
            Some(gap) => self.keep_search(flow, gap.name(), now),
            None if search.buffered.is_empty() => self.keep_search(flow, "no_segment", now),
            None if untried.is_empty() => self.retry_candidates(flow, candidates, now, out),
            None => self.start_trial(flow, (untried, 0), now, out),
        }
    }

    /// Goes on when no server of the agents that may hold a flow has returned the segment in time. The only
    /// one of them is the owner if it has replied that the segment was delivered. Otherwise the next
    /// segment goes to all of them: a server acknowledges every second one.
    fn retry_candidates(
        &mut self,
        flow: &FlowKey,
        candidates: Vec<SocketAddrV4>,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Searching(search)) = self.flows.get(flow) else {
            return;
        };
        let next = search.delivered;
        match candidates[..] {
            [agent] if search.holders.contains(&agent) => {
                self.end_found(flow, (agent, false), now, out);
            }
            _ if next < search.buffered.len() => {
                self.start_trial(flow, (candidates, next), now, out);
            }
            _ => self.keep_search(flow, "undecided", now),
        }
    }

    /// Sends a buffered segment to agents, those of the flow's present service first. The budget is charged
    /// for all of them, so that the last ones do not get the segment much later than the first.
    fn start_trial(
        &mut self,
        flow: &FlowKey,
        (mut agents, index): (Vec<SocketAddrV4>, usize),
        now: Time,
        out: &mut impl Outbox,
    ) {
        let bytes = agents.len() as u64 * QUERY_BYTES;
        if !self.budget.try_consume(bytes, now) {
            self.postpone(flow, agents.len(), now);
            return;
        }
        let service = self.service_of(flow).unwrap_or_default().tag();
        agents.sort_by_key(|agent| {
            let agent = self.fleet.get(*agent);
            agent.is_none_or(|agent| agent.service != service)
        });
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        tracing::info!(
            event = "flow_tried",
            %flow,
            servers = agents.len(),
            segment = index,
            absent = search.evidence.unreachable.len(),
            agents = self.known_agents.summary().count,
            view = self.view_version,
        );
        self.metrics.trials.inc();
        self.metrics.trial_segments.inc_by(agents.len() as u64);
        search.stage = Stage::Trial;
        search.segment = index;
        search.delivered = search.delivered.max(index + 1);
        search.untried = agents;
        self.send_trial_batch(flow, now, out);
    }

    /// Sends the segment of a trial delivery to the next agents.
    fn send_trial_batch(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let later = search
            .untried
            .split_off(MAX_BATCH.min(search.untried.len()));
        let batch = std::mem::replace(&mut search.untried, later);
        search.tried.extend(&batch);
        let datagram = search.buffered.get(search.segment).cloned();
        let datagram = datagram.unwrap_or_default();
        let wait = match search.untried.is_empty() {
            true => TRIAL_TIMEOUT,
            false => BATCH_INTERVAL.max(self.budget.link_time(batch.len() as u64 * QUERY_BYTES)),
        };
        self.set_due(flow, now + wait);
        for agent in batch {
            self.forward(agent, &datagram, out);
        }
    }

    /// Handles the timeout of a trial delivery: sends the segment to the agents that are left. If there are
    /// none, the next round asks the agents whose servers have not returned the segment.
    pub(super) fn end_trial(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get(flow) else {
            return;
        };
        match search.untried.is_empty() {
            true => self.wait_for_round(flow),
            false => self.send_trial_batch(flow, now, out),
        }
    }
}
