//! Enforcement of the operator's directives by an agent.

use std::sync::Arc;

use super::Agent;
use crate::{
    clock::Time,
    l4::{directives::Directives, outbox::Outbox, segment::Codec},
};

impl<C: Codec> Agent<C> {
    /// Replaces the directives in effect.
    pub fn apply_directives(
        &mut self,
        directives: &Arc<Directives>,
        _now: Time,
        _out: &mut impl Outbox,
    ) {
        self.directives = directives.clone();
    }

    /// Returns the directives in effect.
    pub fn directives(&self) -> &Arc<Directives> {
        &self.directives
    }
}
