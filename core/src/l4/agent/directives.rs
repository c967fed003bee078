//! The directives of the operator at an agent: from peers and to peers.

use std::net::SocketAddrV4;

use super::Agent;
use crate::{
    clock::Time,
    l4::{directives::gossip::Gossip, message::Received, outbox::Outbox, segment::Codec},
};

impl<C: Codec> Agent<C> {
    /// Returns the agent with the exchange of directives, for settings that ask for them.
    pub fn with_directives(mut self) -> Self {
        self.gossip = Some(Gossip::new(self.options.address));
        self.await_directives();
        self
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
            // The balancers hear at once that a rate which was awaited delays nothing more.
            self.next_runs.load_report = now;
        }
    }

    /// Asks a balancer that places a flow here for the directives, if there are none yet.
    pub(super) fn ask_for_directives(
        &mut self,
        balancer: SocketAddrV4,
        now: Time,
        out: &mut impl Outbox,
    ) {
        if let Some(gossip) = &mut self.gossip {
            gossip.ask(balancer, now, out);
        }
    }

    pub(super) fn tick_directives(&mut self, now: Time, out: &mut impl Outbox) {
        let gossip = self.gossip.as_mut();
        if let Some(directives) = gossip.and_then(|gossip| gossip.tick(now, out)) {
            self.metrics.set_evacuated(&directives);
            self.apply_directives(&directives, now, out);
        }
    }
}
