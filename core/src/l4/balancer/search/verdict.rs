//! End of a search that has found no owner: the reset of the flow, or another attempt later.

use std::time::Duration;

use super::{Balancer, Stage, gap::Gap, round::describe};
use crate::{
    clock::Time,
    l4::{
        balancer::FlowState,
        outbox::Outbox,
        segment::{Codec, FlowKey},
    },
};

/// Time from the end of a kept search's round to the next one.
const KEPT_INTERVAL: Duration = Duration::from_millis(100);

impl<C: Codec> Balancer<C> {
    /// Decides a search whose agents have replied, or were queried often enough: by a trial delivery if
    /// agents are unsure, else by the reset of the flow.
    ///
    /// The flow is reset only if every agent has denied it or is absent, see [`Balancer::find_gap`].
    /// Otherwise the search is kept.
    pub(super) fn decide(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get(flow) else {
            return;
        };
        if search.candidates().next().is_some() {
            if search.stage != Stage::Trial {
                self.try_candidates(flow, now, out);
            }
            return;
        }
        if let Some(gap) = self.find_gap(search, now) {
            let stable_at = self.stability.stable_at(search.all_sure, now);
            self.keep_search(flow, gap.name(), now);
            match gap {
                Gap::OldRound => self.set_due(flow, now),
                Gap::Unstable => self.set_due(flow, stable_at),
                Gap::NotJoined | Gap::UnknownAgent | Gap::SilentAgent => {}
            }
            return;
        }
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
    }

    /// Keeps a search that can't be decided yet, and lets it take part in a later round. A reason is logged
    /// once.
    pub(super) fn keep_search(&mut self, flow: &FlowKey, reason: &'static str, now: Time) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        if search.kept_for != Some(reason) {
            tracing::info!(
                event = "flow_not_found",
                %flow,
                reason,
                unsure = search.candidates().count(),
                silent = ?search.agents_with(None),
                agents = self.known_agents.summary().count,
                view = self.view_version,
            );
            self.metrics.count_kept(reason);
        }
        if search.kept_for.is_none() {
            self.metrics.count_search("not_found");
        }
        search.kept_for = Some(reason);
        search.stage = Stage::Kept;
        self.set_due(flow, now + KEPT_INTERVAL);
    }
}
