//! New flows at an agent: taken, refused with a reason, or kept until a slot is free.

use std::net::SocketAddrV4;

use super::{Agent, MUTE_RETRY, OPENING_ANSWER};
use crate::{
    clock::Time,
    l4::{
        agent::flows::Stage,
        message::{Message, Received, Refusal},
        outbox::Outbox,
        routes::ServiceKey,
        segment::{Codec, FlowKey, Segment},
        server::ServerState,
        waiting::Urgency,
    },
};

impl<C: Codec> Agent<C> {
    /// Notes that the backend server does not answer, if it has not answered an opening segment.
    pub(super) fn check_offer(&mut self, flow: &FlowKey, now: Time) {
        let unanswered = self.flows.check_offer(flow, &mut self.workload);
        if !unanswered || self.mute.is_some() {
            return;
        }
        let server = self.server.id().unwrap_or("-");
        tracing::warn!(event = "server_mute", server, %flow);
        self.mute = Some(now + MUTE_RETRY);
    }

    pub(super) fn refusal(
        &mut self,
        segment: &Segment,
        service: ServiceKey,
        forced: bool,
        now: Time,
    ) -> Option<Refusal> {
        if service != self.options.service {
            return Some(Refusal::OtherService);
        }
        let held = self.flows.get(&segment.flow_of_caller());
        if held.is_some_and(|held| held.stage != Stage::Ended) {
            return None;
        }
        match self.server.state(now) {
            None => return Some(Refusal::NoServer),
            Some(ServerState::Draining) => return Some(Refusal::Draining),
            Some(ServerState::Ready) => {}
        }
        if !forced && self.outlier.is_ejected(now) {
            return Some(Refusal::Failing);
        }
        if let Some(retry) = self.mute {
            if now < retry {
                return Some(Refusal::Mute);
            }
            self.mute = Some(now + MUTE_RETRY);
        }
        let waits = !self.waiting.has_room(self.workload.interval());
        if waits || self.workload.flows() >= self.options.max_flows {
            return Some(Refusal::Full);
        }
        (!forced && !self.workload.has_room()).then_some(Refusal::Busy)
    }

    /// Takes a flow: offers it to the backend server, or lets it wait for a slot.
    pub(super) fn open(
        &mut self,
        segment: &Segment,
        urgency: Urgency,
        received: &Received<'_>,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let flow = segment.flow_of_caller();
        let from = received.from;
        if self.waiting.contains(&flow) {
            return;
        }
        let known = self.flows.get(&flow).is_some();
        if known || (self.waiting.is_empty() && self.workload.can_queue()) {
            self.offer(flow, from, received.datagram, now, out);
            return;
        }
        self.waiting
            .add(flow, from, received.datagram, urgency, now);
        self.workload.set_waiting(self.waiting.len());
        self.counts.waited.inc();
        let load = self.workload.load();
        tracing::info!(event = "flow_waits", %flow, waiting = self.waiting.len(), busy = load.busy);
        self.tell(from, &Message::Waits { flow, load }, &[], out);
    }

    fn offer(
        &mut self,
        flow: FlowKey,
        from: SocketAddrV4,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        self.flows.offer(flow, from, &mut self.workload, now);
        self.offers.push_back((now + OPENING_ANSWER, flow));
        self.deliver(from, datagram, out);
    }

    /// Offers waiting flows while the backend server has room, and refuses those that are too late.
    pub(super) fn serve_waiting(&mut self, now: Time, out: &mut impl Outbox) {
        if self.waiting.is_empty() {
            return;
        }
        while let Some(late) = self.waiting.expired(now) {
            self.refuse(late.balancer, Refusal::Full, &late.datagram, out);
        }
        if self.server.state(now) != Some(ServerState::Ready) {
            for waiting in self.waiting.drain() {
                let refusal = Refusal::Draining;
                self.refuse(waiting.balancer, refusal, &waiting.datagram, out);
            }
        }
        while self.workload.can_queue() {
            let Some(next) = self.waiting.next(now) else {
                break;
            };
            self.offer(next.flow, next.balancer, &next.datagram, now, out);
        }
        self.workload.set_waiting(self.waiting.len());
    }

    pub(super) fn refuse(
        &mut self,
        balancer: SocketAddrV4,
        refusal: Refusal,
        datagram: &[u8],
        out: &mut impl Outbox,
    ) {
        let load = self.workload.load();
        self.tell(balancer, &Message::Refused { refusal, load }, datagram, out);
    }
}
