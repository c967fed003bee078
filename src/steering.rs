//! Routing decision of a balancer for each datagram, without I/O and without per-flow state.

use std::net::SocketAddrV4;

use crate::{
    flow::{self, Flow, OwnerStatus},
    member::View,
    owner_id::{Keyring, ServiceTag},
    placement::Table,
};

pub use crate::flow::DropReason;

/// Why a datagram was routed to its agent.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RouteReason {
    /// The datagram names its owner, which is not known to be gone.
    Owner,
    /// The owner is gone; the datagram goes to another agent, which resets the flow.
    OwnerGone,
    /// The datagram has no owner id; the placement table selected the agent.
    Placed,
}

impl RouteReason {
    /// Returns the reason as written to logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            RouteReason::Owner => "owner",
            RouteReason::OwnerGone => "owner_dead",
            RouteReason::Placed => "placed",
        }
    }
}

/// Destination of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Agent that receives the datagram.
    pub agent: SocketAddrV4,
    /// Second choice and the first choice of the earlier table, to which the agent may forward the
    /// datagram.
    pub fallbacks: [Option<SocketAddrV4>; 2],
    /// Version of the view that was used.
    pub version: u64,
    /// Reason for the choice of the agent.
    pub reason: RouteReason,
}

/// Returns the route of a QUIC datagram that was sent to `service`.
///
/// # Errors
///
/// Returns the reason to drop the datagram.
pub fn steer(
    view: &View,
    keyring: &Keyring,
    service: ServiceTag,
    datagram: &[u8],
) -> Result<Route, DropReason> {
    let flow = flow::parse(keyring, service, datagram)?;
    steer_flow(view, service, &flow)
}

/// Returns the route of a datagram of `flow` that was sent to `service`.
///
/// # Errors
///
/// Returns the reason to drop the datagram.
pub fn steer_flow(view: &View, service: ServiceTag, flow: &Flow<'_>) -> Result<Route, DropReason> {
    let Some(owner) = flow.owner else {
        return place(view, service, flow.key, RouteReason::Placed);
    };
    if flow::owner_status(view, &owner) == OwnerStatus::Gone {
        return place(view, service, flow.key, RouteReason::OwnerGone);
    }
    Ok(Route {
        agent: owner.address,
        fallbacks: [None, None],
        version: view.version,
        reason: RouteReason::Owner,
    })
}

fn place(
    view: &View,
    service: ServiceTag,
    key: &[u8],
    reason: RouteReason,
) -> Result<Route, DropReason> {
    let table = view.tables.get(&service).ok_or(DropReason::NoAgent)?;
    let choice = table.choose(service, key).ok_or(DropReason::NoAgent)?;
    let earlier = earlier_choice(
        view.earlier_tables.get(&service).map(AsRef::as_ref),
        service,
        key,
    );
    let earlier = earlier.filter(|address| *address != choice.first);
    Ok(Route {
        agent: choice.first,
        fallbacks: [choice.second, earlier],
        version: view.version,
        reason,
    })
}

fn earlier_choice(table: Option<&Table>, service: ServiceTag, key: &[u8]) -> Option<SocketAddrV4> {
    table?.choose(service, key).map(|choice| choice.first)
}
