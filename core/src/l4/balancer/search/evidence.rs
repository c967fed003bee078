//! What the verdict on a search rests on.

use std::sync::Arc;

use crate::l4::balancer::silence::Absence;

/// Replies to the last round of a search.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    /// Number of the round.
    pub(super) round: u32,
    /// Number of agents that replied and know all flows of their servers.
    pub(super) sure: usize,
    /// Number of agents that replied and may lack flows of their servers.
    pub(super) unsure: usize,
    /// Agents that did not reply to the round and were absent at its end.
    pub(super) unreachable: Arc<[Absence]>,
}

impl Evidence {
    /// Returns whether an agent has replied to the round.
    pub(super) fn has_replies(&self) -> bool {
        self.sure + self.unsure > 0
    }
}
