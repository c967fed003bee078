//! Admission of new flows: delivered to the backend server, refused with a reason, or kept waiting
//! until the server can queue a request.

use std::{net::SocketAddrV4, time::Duration};

use super::{Agent, OPENING_TIMEOUT, UNRESPONSIVE_RETRY_INTERVAL};
use crate::{
    clock::Time,
    l4::{
        agent::flows::FlowState,
        message::{Message, Received, Refusal},
        outbox::Outbox,
        routes::ServiceKey,
        segment::{Codec, FlowKey, Segment},
        server::ServerState,
        waiting::Urgency,
    },
};

impl<C: Codec> Agent<C> {
    /// Ends the opening of a flow at its timeout. Marks the backend server as unresponsive if the
    /// opening segment is still unanswered.
    pub(super) fn expire_opening(&mut self, flow: &FlowKey, now: Time) {
        let opening_unanswered = self.flows.end_opening(flow, &mut self.workload);
        if !opening_unanswered || self.retry_at.is_some() {
            return;
        }
        let server = self.server.id().unwrap_or("-");
        tracing::warn!(event = "server_unresponsive", server, %flow);
        self.retry_at = Some(now + UNRESPONSIVE_RETRY_INTERVAL);
    }

    /// Returns why a new flow is refused, or `None` if it is admitted. A retransmitted opening is
    /// admitted, whatever the server's state and load, if the flow has an entry that has not ended
    /// and the service is that of the agent. If the server is unresponsive, an opening after
    /// `retry_at` postpones that time.
    pub(super) fn check_admission(
        &mut self,
        segment: &Segment,
        service: ServiceKey,
        forced: bool,
        urgency: &Urgency,
        now: Time,
    ) -> Option<Refusal> {
        if service != self.options.service {
            return Some(Refusal::OtherService);
        }
        let entry = self.flows.get(&segment.flow_of_caller());
        if entry.is_some_and(|entry| entry.state != FlowState::Ended) {
            return None;
        }
        if self.is_evacuated() {
            self.metrics.evacuation_refusals.inc();
            return Some(Refusal::Draining);
        }
        if self.stopping {
            return Some(Refusal::Draining);
        }
        match self.server.state(now) {
            None => return Some(Refusal::NoServer),
            Some(ServerState::Draining) => return Some(Refusal::Draining),
            Some(ServerState::Ready) => {}
        }
        if !forced && self.outlier.is_ejected(now) {
            return Some(Refusal::Failing);
        }
        if let Some(retry_at) = self.retry_at {
            if now < retry_at {
                return Some(Refusal::Unresponsive);
            }
            self.retry_at = Some(now + UNRESPONSIVE_RETRY_INTERVAL);
        }
        let interval = self.start_interval(now);
        let waiting_full = !self.waiting.has_room(urgency, interval, now);
        if waiting_full || self.workload.flows() >= self.options.max_flows {
            return Some(Refusal::Full);
        }
        if !forced && !self.cold_limit.admits(now) {
            self.metrics.cold_refusals.inc();
            self.update_cold_load(now);
            return Some(Refusal::Busy);
        }
        (!forced && !self.workload.has_free_slot()).then_some(Refusal::Busy)
    }

    /// Returns the mean time between two deliveries of waiting flows.
    fn start_interval(&self, now: Time) -> Duration {
        let answer_interval = self.workload.answer_interval();
        answer_interval.max(self.cold_limit.interval(now))
    }

    /// Delivers the opening segment of an admitted flow, or adds the flow to the waiting ones.
    pub(super) fn admit(
        &mut self,
        segment: &Segment,
        urgency: &Urgency,
        received: &Received<'_>,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let flow = segment.flow_of_caller();
        let from = received.from;
        if self.waiting.set_balancer(&flow, from) {
            let load = self.workload.load();
            self.send(from, &Message::Waits { flow, load }, &[], out);
            return;
        }
        let entry = self.flows.get(&flow);
        let has_entry = entry.is_some();
        if entry.is_some_and(|entry| entry.state != FlowState::Ended) {
            self.deliver_opening(flow, from, received.datagram, now, out);
            return;
        }
        let can_start = self.workload.can_start(urgency.is_late());
        let comes_next = has_entry || (can_start && self.waiting.count_in_time(now) == 0);
        if comes_next && self.cold_limit.admits(now) {
            self.cold_limit.record_opening(flow, now);
            self.update_cold_load(now);
            self.deliver_opening(flow, from, received.datagram, now, out);
            return;
        }
        let evicted = self
            .waiting
            .add(flow, from, received.datagram, urgency, now);
        if let Some(evicted) = evicted {
            self.refuse(evicted.balancer, Refusal::Full, &evicted.datagram, out);
        }
        self.workload.set_waiting(self.waiting.count_in_time(now));
        self.metrics.waited.inc();
        let load = self.workload.load();
        tracing::info!(
            event = "flow_waiting",
            %flow,
            waiting = self.waiting.len(),
            busy = load.busy,
            late = urgency.is_late(),
            age_ms = urgency.age.as_millis() as u64,
        );
        self.send(from, &Message::Waits { flow, load }, &[], out);
    }

    fn deliver_opening(
        &mut self,
        flow: FlowKey,
        from: SocketAddrV4,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        self.flows
            .record_opening(flow, from, &mut self.workload, now);
        self.opening_timeouts
            .push_back((now + OPENING_TIMEOUT, flow));
        self.deliver(from, datagram, out);
    }

    /// Delivers waiting flows and held requests while the backend server can queue requests, and
    /// refuses waiting flows that have expired, or all of them if the server takes no new flows.
    pub(super) fn serve_waiting(&mut self, now: Time, out: &mut impl Outbox) {
        self.pass_held(now, out);
        if self.waiting.is_empty() && self.requests.is_empty() {
            return;
        }
        while let Some(expired) = self.waiting.pop_expired(now) {
            self.refuse(expired.balancer, Refusal::Full, &expired.datagram, out);
        }
        let is_evacuated = self.is_evacuated();
        if is_evacuated || self.stopping || self.server.state(now) != Some(ServerState::Ready) {
            for waiting in self.waiting.take_all() {
                let refusal = Refusal::Draining;
                if is_evacuated {
                    self.metrics.evacuation_refusals.inc();
                }
                self.refuse(waiting.balancer, refusal, &waiting.datagram, out);
            }
        }
        while self.workload.can_start(false) {
            let include_late = self.workload.can_start(true);
            if self.start_held(include_late, now, out) {
                continue;
            }
            if !self.cold_limit.admits(now) {
                break;
            }
            let interval = self.start_interval(now);
            let Some(next) = self.waiting.pop_next(include_late, interval, now) else {
                break;
            };
            self.cold_limit.record_opening(next.flow, now);
            self.deliver_opening(next.flow, next.balancer, &next.datagram, now, out);
        }
        self.workload.set_waiting(self.waiting.count_in_time(now));
    }

    pub(super) fn refuse(
        &mut self,
        balancer: SocketAddrV4,
        refusal: Refusal,
        datagram: &[u8],
        out: &mut impl Outbox,
    ) {
        let load = self.workload.load();
        self.send(balancer, &Message::Refused { refusal, load }, datagram, out);
    }
}
