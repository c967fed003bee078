//! What must hold, judged from what callers and backend servers see.

use std::{net::SocketAddrV4, time::Duration};

use berylvalve_core::{
    clock::Time,
    l4::segment::{FlowKey, Segment},
};
use berylvalve_platform_standin::packet::PacketCodec;

use super::{Place, World, servers};
use crate::{soak::report::Taker, trial::segments::wire::Wire};

/// Time without an unplanned disturbance from which flows must not be broken: `contact_ms` of the
/// platform's bounds.
const CALM_TIME: Duration = Duration::from_secs(4);

/// Time for which an open flow's segments may miss its server: `flow_ms` of the platform's bounds.
pub const FLOW_TIME: Duration = Duration::from_secs(2);

/// Time after which a leaving server gets no new flow: `drain_ms` of the platform's bounds.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// Time until a change of the config is in force: `config_apply_ms` of the platform's bounds.
pub const CONFIG_TIME: Duration = Duration::from_secs(3);

/// Requests that begin this long before the end and up to [`LAST_TIME`] before it must be answered.
const SETTLED_TIME: Duration = Duration::from_secs(6);
const LAST_TIME: Duration = Duration::from_millis(1_500);

/// Share of these that must be answered; the rest may fall to lost datagrams.
const SETTLED_SHARE: f64 = 0.99;

impl World {
    pub(super) fn broke(&mut self, what: String) {
        tracing::error!(event = "promise_broken", what);
        self.report.broke(self.now, what, Vec::new());
    }

    fn broke_by(&mut self, what: String, takers: &[(Place, Time)]) {
        tracing::error!(event = "promise_broken", what);
        let takers = takers.iter().map(|(place, started)| Taker {
            place: *place,
            up_ms: self.now.since(*started).as_millis() as u64,
        });
        self.report.broke(self.now, what, takers.collect());
    }

    /// Returns whether a process and the store were left alone for long enough.
    fn is_calm(&self, place: Place) -> bool {
        let node = &self.nodes[&place];
        let since = |time: Time| self.now.since(time) >= CALM_TIME && self.now >= time;
        !node.paused && since(node.disturbed) && since(self.store_disturbed)
    }

    fn all_calm(&self) -> bool {
        self.nodes.keys().all(|place| self.is_calm(*place))
    }

    /// Checks a datagram that reached a server: written by a caller, of the server's service, and not
    /// of a flow that is open elsewhere.
    pub(super) fn check_delivery(&mut self, index: usize, segment: &Segment, datagram: &[u8]) {
        if !self.witness.was_written(&PacketCodec.fixed(datagram)) {
            self.broke(format!("server {index} got a segment that no caller wrote"));
        }
        let flow = segment.flow_of_caller();
        if segment.is_opening() && self.servers[index].alive {
            self.check_opening(index, &flow);
        }
        let Some(home) = self.witness.home(&flow) else {
            return;
        };
        let holds = home.holds(&self.servers, &flow);
        let strays = self.witness.strays(&flow, index, holds, self.now);
        let own = home.server;
        let takers = self.takers.get(&flow);
        let taker = takers.and_then(|takers| takers.last());
        let calm = taker.is_some_and(|(taker, _)| self.is_calm(*taker));
        if strays && calm && self.is_calm(Place::Agent(own)) {
            let takers = takers.cloned().unwrap_or_default();
            let what = format!("segments of {flow} reach server {index} and not {own}");
            self.broke_by(what, &takers);
        }
        if index == own
            && let Some(takers) = self.takers.get_mut(&flow)
        {
            takers.drain(..takers.len().saturating_sub(1));
        }
    }

    fn check_opening(&mut self, index: usize, flow: &FlowKey) {
        let desk = flow.address != servers::maps_address();
        if desk != self.is_desk(index) {
            self.broke(format!("an opening of {flow} reached server {index}"));
        }
        let left = self.servers[index].left;
        let leaving = left.is_some_and(|left| self.now >= left + DRAIN_TIME);
        if leaving && self.all_calm() {
            self.broke(format!(
                "an opening of {flow} reached the leaving server {index}"
            ));
        }
        let late = |dropped: Time| self.now >= dropped + CONFIG_TIME;
        let extra = self.extras.iter().find(|e| e.address == flow.address);
        let dropped = extra.and_then(|extra| extra.dropped);
        if dropped.is_some_and(late) && self.all_calm() {
            self.broke(format!(
                "an opening of {flow} was served after its route had gone"
            ));
        }
    }

    /// A request that must not run twice must not run twice.
    pub(super) fn check_run(&mut self, request: u64) {
        let runs = self.witness.ran(request);
        let caller = self.layout.caller_index(((request >> 32) as u32).into());
        if runs > 1 && caller.is_some_and(|caller| !self.callers[caller].idempotent) {
            self.broke(format!("request {request:016x} ran {runs} times"));
        }
    }

    /// Checks a datagram that reached a caller: written by a server, or a reset of a flow that is not
    /// open at a live server.
    pub(super) fn check_arrival(
        &mut self,
        index: usize,
        segment: &Segment,
        datagram: &[u8],
        sender: SocketAddrV4,
    ) {
        if !segment.flags.rst {
            if !self.answers.contains(&PacketCodec.fixed(datagram)) {
                self.broke(format!(
                    "a caller got a segment of {sender} that no server wrote"
                ));
            }
            return;
        }
        let flow = segment.flow_of_server();
        if self.callers[index].flow != Some(flow) {
            return;
        }
        let Some(home) = self.witness.home(&flow) else {
            return;
        };
        let Some(place) = self.layout.place(*sender.ip()) else {
            self.broke(format!("a reset came from {sender}"));
            return;
        };
        let dropped = self
            .extras
            .iter()
            .any(|e| e.address == flow.address && e.dropped.is_some());
        let calm = self.is_calm(place) && self.is_calm(Place::Agent(home.server));
        if calm && !dropped && home.holds(&self.servers, &flow) {
            let own = home.server;
            self.broke(format!(
                "{place} reset the open flow {flow} of server {own}"
            ));
        }
    }

    /// Returns whether requests that begin at a time must be answered.
    pub(super) fn is_settled(&self, began: Time) -> bool {
        began >= self.end - SETTLED_TIME && began < self.end - LAST_TIME
    }

    /// Checks that callers are served again at the end.
    pub(super) fn check_settled(&mut self) {
        let (all, served) = (self.report.settled, self.report.settled_served);
        if all == 0 || (served as f64) < SETTLED_SHARE * all as f64 {
            self.broke(format!(
                "{served} of {all} requests were answered after all faults"
            ));
        }
    }
}
