//! The balancer's decision for each datagram, without I/O and without state per flow.

use std::net::SocketAddrV4;

use crate::{
    consts::OWNER_ID_BYTES,
    member::{MemberState, View},
    owner_id::{Keyring, Owner, ServiceTag},
    packet::{self, Packet},
    placement::Table,
};

/// Why a datagram went where it went.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// The connection id names its owner.
    Owner,
    /// The owner is dead; another agent resets the flow.
    OwnerDead,
    /// The flow is new and was placed by the table.
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

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The QUIC header can't be read.
    Damaged,
    /// The connection id is not one of the fleet's, or belongs to another service.
    Foreign,
    /// The service has no agent that takes new flows.
    NoAgent,
}

impl DropReason {
    /// Returns the word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            DropReason::Damaged => "damaged",
            DropReason::Foreign => "foreign",
            DropReason::NoAgent => "no_agent",
        }
    }
}

/// Where a datagram goes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route {
    /// Agent that gets the datagram.
    pub agent: SocketAddrV4,
    /// Agents that it may hand the datagram to.
    pub others: [Option<SocketAddrV4>; 2],
    /// Version of the view that decided.
    pub version: u64,
    /// Why.
    pub reason: Reason,
}

/// Decides where a datagram for `service` goes.
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
    match packet::parse(datagram).ok_or(DropReason::Damaged)? {
        Packet::Short { rest } => {
            let id = rest.get(..OWNER_ID_BYTES).ok_or(DropReason::Damaged)?;
            let owner = open(keyring, service, id).ok_or(DropReason::Foreign)?;
            to_owner(view, owner, id)
        }
        Packet::Long { id, opening } => match open(keyring, service, id) {
            Some(owner) => to_owner(view, owner, id),
            None if opening => place(view, service, id),
            None => Err(DropReason::Foreign),
        },
    }
}

fn open(keyring: &Keyring, service: ServiceTag, id: &[u8]) -> Option<Owner> {
    let (owner, _) = keyring.open(id)?;
    (owner.service == service).then_some(owner)
}

fn to_owner(view: &View, owner: Owner, id: &[u8]) -> Result<Route, DropReason> {
    let record = view.members.get(&owner.address);
    let dead = record.is_some_and(|r| matches!(r.state, MemberState::Dead | MemberState::Left));
    if dead {
        let mut route = place(view, owner.service, id)?;
        route.reason = Reason::OwnerDead;
        return Ok(route);
    }
    Ok(Route {
        agent: owner.address,
        others: [None, None],
        version: view.version,
        reason: Reason::Owner,
    })
}

fn place(view: &View, service: ServiceTag, id: &[u8]) -> Result<Route, DropReason> {
    let table = view.tables.get(&service).ok_or(DropReason::NoAgent)?;
    let choice = table.choose(service, id).ok_or(DropReason::NoAgent)?;
    let earlier = earlier_owner(view.earlier.get(&service).map(AsRef::as_ref), service, id);
    let earlier = earlier.filter(|address| *address != choice.first);
    Ok(Route {
        agent: choice.first,
        others: [choice.second, earlier],
        version: view.version,
        reason: Reason::Placed,
    })
}

fn earlier_owner(table: Option<&Table>, service: ServiceTag, id: &[u8]) -> Option<SocketAddrV4> {
    table?.choose(service, id).map(|choice| choice.first)
}
