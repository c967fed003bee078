//! Enforcement of the operator's directives by an agent: it takes no new flows while its failure domain
//! is evacuated, and limits those to a cold server to the cold rate.

use std::sync::Arc;

use super::Agent;
use crate::{
    clock::Time,
    l4::{
        directives::Directives,
        outbox::Outbox,
        segment::{Codec, Segment},
    },
};

impl<C: Codec> Agent<C> {
    /// Applies the operator's directives. At the start of an evacuation of the agent's failure domain,
    /// returns the flows that wait to their balancers.
    pub fn apply_directives(
        &mut self,
        directives: &Arc<Directives>,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let was_evacuated = self.is_evacuated();
        let cold_rate = directives.cold_rate(self.options.service);
        self.directives = directives.clone();
        self.cold_limit.set_rate(cold_rate);
        self.update_cold_load(now);
        if self.is_evacuated() != was_evacuated {
            let event = match was_evacuated {
                false => "evacuation_started",
                true => "evacuation_ended",
            };
            tracing::info!(
                event,
                domain = self.options.domain,
                era = directives.position.era,
                revision = directives.position.revision,
                flows = self.workload.flows(),
                waiting = self.waiting.len(),
            );
        }
        self.serve_waiting(now, out);
    }

    /// Makes the agent admit nothing to a cold server until the first directives state its rate, for at
    /// most [`RATE_TIMEOUT`](super::super::slow_start::RATE_TIMEOUT) from the start. To be called before
    /// the first report if the settings ask for directives.
    pub fn await_directives(&mut self) {
        self.cold_limit.await_rate();
    }

    /// Returns the directives in effect.
    pub fn directives(&self) -> &Arc<Directives> {
        &self.directives
    }

    /// Returns whether the agent's failure domain is evacuated, so that its server takes no new flows.
    pub(super) fn is_evacuated(&self) -> bool {
        self.directives.is_evacuated(&self.options.domain)
    }

    /// Counts a delivered segment of an open flow towards the cold rate if it has data.
    pub(super) fn count_cold_request(&mut self, segment: &Segment, now: Time) {
        if segment.length == 0 {
            return;
        }
        self.cold_limit
            .record_request(segment.flow_of_caller(), now);
        self.update_cold_load(now);
    }

    /// Returns when the cold rate admits the next waiting flow, or `None` if it delays none.
    pub(super) fn cold_start_at(&self) -> Option<Time> {
        let free_at = self.cold_limit.free_at();
        free_at.filter(|_| !self.waiting.is_empty())
    }

    /// Updates the load that the used share of the cold rate stands for.
    pub(super) fn update_cold_load(&mut self, now: Time) {
        self.cold_limit.advance(now);
        let full = self.workload.full_busy();
        self.workload
            .set_cold_busy(self.cold_limit.scaled_load(full, now));
    }
}
