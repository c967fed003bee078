//! Enforcement of the operator's directives by a balancer: no new flows for the agents of evacuated
//! failure domains.

use std::sync::Arc;

use super::Balancer;
use crate::{
    clock::Time,
    l4::{directives::Directives, outbox::Outbox, segment::Codec},
};

impl<C: Codec> Balancer<C> {
    /// Replaces the directives in effect. Flows that are open, or whose opening an agent has got, stay
    /// where they are; that agent refuses an opening that it has not delivered.
    pub fn apply_directives(
        &mut self,
        directives: &Arc<Directives>,
        now: Time,
        _out: &mut impl Outbox,
    ) {
        let before = std::mem::replace(&mut self.directives, directives.clone());
        for domain in directives.evacuated_since(&before) {
            self.log_evacuation("evacuation_started", domain);
        }
        for domain in before.evacuated_since(directives) {
            self.log_evacuation("evacuation_ended", domain);
        }
        let evacuated = directives.evacuated.keys().cloned().collect();
        self.fleet.set_evacuated(evacuated, now);
    }

    /// Returns the directives in effect.
    pub fn directives(&self) -> &Arc<Directives> {
        &self.directives
    }

    fn log_evacuation(&self, event: &'static str, domain: &str) {
        let position = self.directives.position;
        tracing::info!(
            event,
            domain,
            era = position.era,
            revision = position.revision,
            agents = self.fleet.count_in_domain(domain),
        );
    }
}
