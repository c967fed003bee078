//! End of a search that has found no owner: the reset of the flow, or another attempt later.

use std::{net::SocketAddrV4, time::Duration};

use super::{Balancer, Stage, round::describe};
use crate::{
    clock::Time,
    l4::{
        balancer::FlowState,
        message::Ownership,
        outbox::Outbox,
        segment::{Codec, FlowKey},
    },
};

/// Time in which a backend server returns a segment of a flow that it does not hold.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(40);

/// Interval of the rounds of a search that waits until an agent which another process knows is known here.
const KEPT_INTERVAL: Duration = Duration::from_millis(100);

impl<C: Codec> Balancer<C> {
    /// Decides a search to which all agents have replied: by a trial delivery if agents are unsure, else
    /// by the reset of the flow.
    ///
    /// The flow is reset only if the replies are conclusive, this balancer has joined and knows an agent,
    /// and its agents were stable when the round began. Otherwise an agent that has just joined may be
    /// the owner, and the search is kept.
    pub(super) fn decide(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let unsure = search.agents_with(Some(Ownership::Unsure));
        if !unsure.is_empty() {
            let is_awaited = unsure.iter().any(|agent| search.tried.contains(agent));
            if search.stage != Stage::Trial || !is_awaited {
                self.start_trial(flow, TRIAL_TIMEOUT, now, out);
            }
            return;
        }
        let is_stable = search.round_started >= self.stability.stable_at(search.all_sure, now);
        let is_current = search.round_started >= search.changed_at;
        let knows_members = self.joined && self.known_agents.summary().count > 0;
        // An agent may have answered between the end of the round and the replies to the last queries.
        let mut unreachable = search.evidence.unreachable.iter();
        let is_current = is_current
            && unreachable.all(|absent| self.silences.absence(absent.agent, now).is_some());
        if search.is_conclusive && knows_members && is_stable && is_current {
            let evidence = &search.evidence;
            tracing::info!(
                event = "flow_proved_lost",
                %flow,
                round = evidence.round,
                sure = evidence.sure,
                returned = evidence.unsure,
                unreachable = describe(&evidence.unreachable),
                gone = self.fleet.count_gone(),
                view = self.view_version,
            );
            let acknowledged = search.acknowledged;
            self.reset_flow(flow, acknowledged, "not_held", now, out);
            return;
        }
        if !search.is_kept {
            tracing::info!(
                event = "flow_not_found",
                %flow,
                conclusive = search.is_conclusive,
                joined = self.joined,
                stable = is_stable,
                agents = self.known_agents.summary().count,
                view = self.view_version,
            );
            self.metrics.count_search("not_found");
        }
        let is_silent = search.tries >= super::query::MAX_TRIES;
        if is_silent && !search.is_conclusive {
            // Silence proves nothing; the next retransmission starts a new search.
            self.flows.remove(flow);
            return;
        }
        search.is_kept = true;
        search.stage = Stage::Kept;
        let is_complete = search.is_conclusive && knows_members;
        let due = match is_complete {
            true => self.stability.stable_at(search.all_sure, now).max(now),
            false => now + KEPT_INTERVAL,
        };
        self.set_due(flow, due);
    }

    /// Lets a kept search wait for the next round once the known agents are stable.
    pub(super) fn retry_kept(&mut self, flow: &FlowKey, now: Time) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let stable_at = self.stability.stable_at(search.all_sure, now);
        match now < stable_at {
            true => self.set_due(flow, stable_at),
            false => self.wait_for_round(flow),
        }
    }

    /// Ends a trial delivery at its timeout: goes on with the unsure agents that have not been tried, if
    /// there are any. If exactly one agent's server has not returned the segment, that agent is the owner.
    /// Otherwise the search is removed, and a retransmission starts a new one.
    pub(super) fn end_trial(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get(flow) else {
            return;
        };
        if !search.untried().is_empty() {
            self.start_trial(flow, TRIAL_TIMEOUT, now, out);
            return;
        }
        let possible_holders: Vec<SocketAddrV4> = search.agents_with(Some(Ownership::Unsure));
        match possible_holders[..] {
            [agent] => self.end_found(flow, agent, now, out),
            _ => drop(self.flows.remove(flow)),
        }
    }
}
