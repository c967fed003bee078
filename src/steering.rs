//! The balancer's decision for each datagram, without I/O and without state per flow.

use std::net::SocketAddrV4;

use crate::{
    flow::{self, Fate, Flow},
    member::View,
    owner_id::{Keyring, ServiceTag},
    placement::Table,
};

pub use crate::flow::DropReason;

/// Why a datagram went where it went.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The connection id names its owner.
    Owner,
    /// The owner is dead; another agent resets the flow.
    OwnerDead,
    /// The flow is new, or has no owner id, and was placed by the table.
    Placed,
}

impl Reason {
    /// Returns the word for logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Owner => "owner",
            Reason::OwnerDead => "owner_dead",
            Reason::Placed => "placed",
        }
    }
}

/// Where a datagram goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Agent that gets the datagram.
    pub agent: SocketAddrV4,
    /// Second choice and earlier owner, to which the agent may hand the datagram.
    pub others: [Option<SocketAddrV4>; 2],
    /// Version of the view that decided.
    pub version: u64,
    /// Why.
    pub reason: Reason,
}

/// Decides where a QUIC datagram for `service` goes.
///
/// # Errors
///
/// Returns why the datagram is dropped.
pub fn steer(
    view: &View,
    keyring: &Keyring,
    service: ServiceTag,
    datagram: &[u8],
) -> Result<Route, DropReason> {
    let flow = flow::read(keyring, service, datagram)?;
    steer_flow(view, service, &flow)
}

/// Decides where a datagram of a flow of `service` goes.
///
/// # Errors
///
/// Returns why the datagram is dropped.
pub fn steer_flow(view: &View, service: ServiceTag, flow: &Flow<'_>) -> Result<Route, DropReason> {
    let Some(owner) = flow.owner else {
        return place(view, service, flow.key, Reason::Placed);
    };
    if flow::fate(view, &owner) == Fate::Gone {
        return place(view, service, flow.key, Reason::OwnerDead);
    }
    Ok(Route {
        agent: owner.address,
        others: [None, None],
        version: view.version,
        reason: Reason::Owner,
    })
}

fn place(
    view: &View,
    service: ServiceTag,
    key: &[u8],
    reason: Reason,
) -> Result<Route, DropReason> {
    let table = view.tables.get(&service).ok_or(DropReason::NoAgent)?;
    let choice = table.choose(service, key).ok_or(DropReason::NoAgent)?;
    let earlier = earlier_owner(
        view.earlier_tables.get(&service).map(AsRef::as_ref),
        service,
        key,
    );
    let earlier = earlier.filter(|address| *address != choice.first);
    Ok(Route {
        agent: choice.first,
        others: [choice.second, earlier],
        version: view.version,
        reason,
    })
}

fn earlier_owner(table: Option<&Table>, service: ServiceTag, key: &[u8]) -> Option<SocketAddrV4> {
    table?.choose(service, key).map(|choice| choice.first)
}
