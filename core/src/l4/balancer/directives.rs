//! The directives of the operator at a balancer: from the store, from peers and to peers.

use std::time::Duration;

use super::Balancer;
use crate::{
    clock::Time,
    l4::{
        directives::{StoredDirectives, gossip::Gossip},
        message::Received,
        outbox::Outbox,
        segment::Codec,
    },
};

/// Longest time for which a balancer that has routes waits for directives.
const DIRECTIVES_TIMEOUT: Duration = Duration::from_secs(3);

impl<C: Codec> Balancer<C> {
    /// Returns the balancer with the exchange of directives, for settings that ask for them.
    pub fn with_directives(mut self) -> Self {
        self.gossip = Some(Gossip::new(self.address));
        self
    }

    /// Applies the directives of a linearizable read of the store.
    pub fn apply_stored_directives(
        &mut self,
        read: &StoredDirectives,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let gossip = self.gossip.as_mut();
        if let Some(directives) = gossip.and_then(|gossip| gossip.apply_read(read, now)) {
            self.metrics.set_evacuated(&directives);
            self.apply_directives(&directives, now, out);
        }
    }

    /// Handles a peer's directives or its position.
    pub(super) fn receive_directives(
        &mut self,
        received: &Received<'_>,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let gossip = self.gossip.as_mut();
        if let Some(directives) = gossip.and_then(|gossip| gossip.receive(received, now, out)) {
            self.metrics.set_evacuated(&directives);
            self.apply_directives(&directives, now, out);
        }
    }

    pub(super) fn tick_directives(&mut self, now: Time, out: &mut impl Outbox) {
        let Some(gossip) = &mut self.gossip else {
            return;
        };
        if self.routes.version > 0 {
            self.directives_deadline
                .get_or_insert(now + DIRECTIVES_TIMEOUT);
        }
        if let Some(directives) = gossip.tick(now, out) {
            self.metrics.set_evacuated(&directives);
            self.apply_directives(&directives, now, out);
        }
    }

    /// Returns whether the settings ask for directives, none have arrived, and the balancer has not
    /// waited long enough for them.
    pub(super) fn awaits_directives(&self, now: Time) -> bool {
        let gossip = self.gossip.as_ref();
        let has_waited = self.directives_deadline.is_some_and(|due| now >= due);
        !has_waited && gossip.is_some_and(|gossip| !gossip.has_document())
    }
}
