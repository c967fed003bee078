//! The agent's filter of held flows, by which a balancer proves for many flows at once that they are lost.

use std::net::SocketAddrV4;

use super::{Agent, flows::FlowState};
use crate::l4::{
    flow_set::{self, FlowHash},
    message::Message,
    outbox::Outbox,
    segment::Codec,
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
        let mut filter = Vec::new();
        flow_set::encode(&flows, &mut filter);
        self.send(balancer, &held, &filter, out);
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
