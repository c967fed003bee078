//! What an agent tells about the ownership of flows: of one flow, and by a filter of all held ones, by which
//! a balancer proves for many flows at once that they are lost.

use std::net::SocketAddrV4;

use super::{Agent, flows::FlowState};
use crate::l4::{
    flow_set::{self, FlowHash},
    message::{Message, Ownership},
    outbox::Outbox,
    segment::{Codec, FlowKey, acknowledges_start},
};

impl<C: Codec> Agent<C> {
    /// Sends a balancer the filter of the flows that the backend server holds or may hold.
    pub(super) fn send_held_flows(
        &mut self,
        balancer: SocketAddrV4,
        round: u32,
        out: &mut impl Outbox,
    ) {
        let mut flows = Vec::new();
        for (flow, entry) in self.flows.iter() {
            if may_be_held(entry.state) {
                flows.push(FlowHash::new(flow, round));
            }
        }
        let held = Message::HeldFlows {
            round,
            sure: !self.may_hold_prior_flows(),
            agents: self.known_agents,
        };
        if self.may_hold_prior_flows() {
            let prior = self.prior.iter();
            flows.extend(prior.map(|flow| FlowHash::new(flow, round)));
        }
        let mut filter = Vec::new();
        flow_set::encode(&flows, &mut filter);
        self.send(balancer, &held, &filter, out);
    }

    /// Returns the ownership of a flow for a caller that has acknowledged `acknowledged`.
    pub(super) fn ownership(&self, flow: &FlowKey, acknowledged: u32) -> Ownership {
        match self.flows.get(flow).map(|entry| entry.state) {
            Some(FlowState::Open | FlowState::Ended) => Ownership::Held,
            Some(FlowState::Accepted { initial }) if acknowledges_start(acknowledged, initial) => {
                Ownership::Held
            }
            // The server may hold the flow already, and answer no late copy of its opening segment.
            Some(FlowState::OpeningSent) if self.may_hold_prior_flows() => Ownership::Unsure,
            Some(FlowState::Accepted { .. } | FlowState::OpeningSent) => Ownership::NotHeld,
            Some(FlowState::TrialDelivered) if self.is_registered_prior(flow) => Ownership::Held,
            Some(FlowState::TrialDelivered) => Ownership::Unsure,
            None => self.ownership_without_entry(flow),
        }
    }

    /// Returns whether a home has named this agent as the owner of a flow from before its start.
    fn is_registered_prior(&self, flow: &FlowKey) -> bool {
        self.may_hold_prior_flows() && self.prior.contains(flow)
    }

    /// Returns the ownership of a flow that has no entry in the flow table.
    fn ownership_without_entry(&self, flow: &FlowKey) -> Ownership {
        match self.registry.owner(flow) {
            Some(owner) => Ownership::HeldBy(owner),
            None if self.is_registered_prior(flow) => Ownership::Held,
            None if self.may_hold_prior_flows() => Ownership::Unsure,
            None => Ownership::NotHeld,
        }
    }
}

/// Returns whether the reply to a query for a flow in this state can be another one than that the
/// agent does not hold it. Whether an accepted flow is held depends on what its caller has
/// acknowledged, which only a query tells.
fn may_be_held(state: FlowState) -> bool {
    match state {
        FlowState::Accepted { .. }
        | FlowState::Ended
        | FlowState::Open
        | FlowState::TrialDelivered => true,
        FlowState::OpeningSent => false,
    }
}
