//! Delivery of callers' segments on known flows: at once, or held until the backend server has room
//! for the request that they begin.

use std::{net::SocketAddrV4, time::Duration};

use super::{Agent, requests::Pace};
use crate::{
    clock::Time,
    l4::{
        message::{Message, Received},
        outbox::Outbox,
        segment::{Codec, FlowKey, Segment},
    },
};

/// Time without an answer after which a request no longer counts as occupying a slot. Its caller may
/// have gone away in the middle of the request, so that the server never starts on it.
pub(super) const STALL_TIMEOUT: Duration = Duration::from_secs(1);

impl<C: Codec> Agent<C> {
    /// Holds a forwarded segment, delivers it to the backend server, or returns it as unknown.
    pub(super) fn handle_forward(
        &mut self,
        received: &Received<'_>,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(segment) = self.codec.read(received.datagram) else {
            return;
        };
        let (from, datagram) = (received.from, received.datagram);
        if !self.hold(&segment, from, datagram, now, out) {
            self.forward(&segment, from, datagram, now, out);
        }
        // The segment may have made room: by the end of a flow, or as a part of a long request.
        if !self.requests.is_empty() && self.workload.has_request_room(false) {
            self.serve_waiting(now, out);
        }
    }

    /// Delivers a segment to the backend server, or returns it as unknown.
    fn forward(
        &mut self,
        segment: &Segment,
        from: SocketAddrV4,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let begins_request =
            self.flows
                .record_caller_segment(segment, from, &mut self.workload, now);
        match begins_request {
            Some(true) => {
                let flow = segment.flow_of_caller();
                let pace = Pace::of(&self.workload);
                self.requests.record_start(&flow, pace, now);
                self.started_requests.push_back((now, flow));
                self.count_cold_request(segment, now);
                self.record_request(segment, datagram);
            }
            Some(false) => {}
            // A server that has accepted a flow itself holds no earlier one with the same key.
            None if self.may_hold_prior_flows() && !self.flows.is_accepted(segment) => {
                let flow = segment.flow_of_caller();
                self.count_cold_request(segment, now);
                self.flows
                    .record_trial_delivery(flow, from, &mut self.workload, now);
            }
            None => {
                self.send(from, &Message::Unknown, datagram, out);
                return;
            }
        }
        self.deliver(from, datagram, out);
    }

    /// Holds a segment that begins a request for which the backend server has no room, or that follows
    /// a held one of its flow. Returns whether it is held; if not, it is to be forwarded, and what was
    /// held of its flow has been released.
    fn hold(
        &mut self,
        segment: &Segment,
        from: SocketAddrV4,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) -> bool {
        let flow = segment.flow_of_caller();
        let ends_flow = segment.flags.fin || segment.flags.rst;
        if self.requests.contains(&flow) {
            if ends_flow {
                self.release_held(&flow, "caller_ended", now, out);
                return false;
            }
            if self.flows.was_delivered(segment) {
                return false;
            }
            if !self.requests.hold_later(segment, from, datagram) {
                self.metrics.passed_by_bound.inc();
                self.release_held(&flow, "bound", now, out);
                return false;
            }
            self.flows.record_held_segment(segment, from, now);
            return true;
        }
        let is_off = self.workload.has_request_room(false)
            || !self.workload.has_slots()
            || self.stopping
            || self.server.has_left();
        if is_off || ends_flow || !self.flows.begins_request(segment) {
            return false;
        }
        let pace = Pace::of(&self.workload);
        if !self.requests.hold(segment, from, datagram, pace, now) {
            let is_full = self.requests.knows_route(&flow.address);
            self.metrics.passed_by_bound.inc_by(u64::from(is_full));
            return false;
        }
        self.flows.record_held_segment(segment, from, now);
        self.workload.set_held(self.requests.len());
        tracing::info!(
            event = "request_held",
            request = self.codec.request_id(datagram).unwrap_or("-"),
            %flow,
            held = self.requests.len(),
            busy = self.workload.load().busy,
            slots = self.workload.load().slots,
        );
        true
    }

    /// Delivers the held request that is next, unless a waiting opening goes first. Returns whether one
    /// was delivered.
    pub(super) fn start_held(
        &mut self,
        include_late: bool,
        now: Time,
        out: &mut impl Outbox,
    ) -> bool {
        let pace = Pace::of(&self.workload);
        let Some(next) = self.requests.next(include_late, pace, now) else {
            return false;
        };
        let interval = self.workload.answer_interval();
        let opening = self.waiting.next(include_late, interval, now);
        // An opening that the cold rate delays must not delay requests on open flows.
        let opening = opening.filter(|_| self.cold_limit.admits(now));
        if opening.is_some_and(|opening| self.requests.opening_goes_first(opening, &next, now)) {
            return false;
        }
        self.release_held(&next.flow, "room", now, out);
        true
    }

    /// Delivers held requests without room: those at the bound of time, or all of them if the agent
    /// stops or the backend server leaves.
    pub(super) fn pass_held(&mut self, now: Time, out: &mut impl Outbox) {
        if self.requests.is_empty() {
            return;
        }
        if self.stopping || self.server.has_left() {
            self.release_all_held(now, out);
        }
        for flow in self.requests.passing(now) {
            self.metrics.passed_by_bound.inc();
            self.release_held(&flow, "bound", now, out);
        }
    }

    /// Delivers all held requests, oldest first.
    pub(super) fn release_all_held(&mut self, now: Time, out: &mut impl Outbox) {
        for flow in self.requests.flows() {
            self.release_held(&flow, "server_changed", now, out);
        }
    }

    /// Delivers the held request of a flow, if there is one, with the later segments of the flow.
    pub(super) fn release_held(
        &mut self,
        flow: &FlowKey,
        reason: &'static str,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(request) = self.requests.take(flow) else {
            return;
        };
        self.workload.set_held(self.requests.len());
        let held = now.since(request.held_at);
        self.metrics.count_held(request.priority);
        self.metrics.held_times.observe(held.as_secs_f64());
        tracing::info!(
            event = "request_released",
            %flow,
            reason,
            held_ms = held.as_millis() as u64,
            priority = request.priority,
            held = self.requests.len(),
        );
        for held in &request.segments {
            if let Some(segment) = self.codec.read(&held.datagram) {
                self.forward(&segment, held.balancer, &held.datagram, now, out);
            }
        }
    }

    /// Stops counting requests as occupying a slot that were not answered within the timeout.
    pub(super) fn stall_requests(&mut self, now: Time) {
        let is_due = |(started, _): &mut (Time, FlowKey)| *started + STALL_TIMEOUT <= now;
        while let Some((started, flow)) = self.started_requests.pop_front_if(is_due) {
            self.flows.stall_request(&flow, started, &mut self.workload);
        }
    }
}
