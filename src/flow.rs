//! Properties of a flow that routing uses: its key, whether the datagram opens it, and its owner if
//! the datagram names one. They are parsed from QUIC headers or taken from a five-tuple of UDP or
//! TCP.

use crate::{
    consts::OWNER_ID_BYTES,
    member::View,
    owner_id::{Keyring, Owner, ServiceTag},
    packet::{self, Packet},
};

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The QUIC header can't be parsed; `damaged` in logs and metrics.
    InvalidHeader,
    /// The connection id was not issued by the fleet, or it was issued for another service.
    Foreign,
    /// The service has no agent that accepts new flows.
    NoAgent,
    /// The frame was addressed to another service than the agent's.
    OtherService,
    /// Agents forwarded the datagram too often.
    TooManyHops,
    /// The datagram does not open a flow, and no queried agent knows its flow.
    UnknownFlow,
}

impl DropReason {
    /// Returns the reason as written to logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            DropReason::InvalidHeader => "damaged",
            DropReason::Foreign => "foreign",
            DropReason::NoAgent => "no_agent",
            DropReason::OtherService => "other_service",
            DropReason::TooManyHops => "too_many_hops",
            DropReason::UnknownFlow => "unknown_flow",
        }
    }
}

/// Whether a datagram opens its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opening {
    /// It is treated as opening: a QUIC Initial or 0-RTT packet, or a long-header packet of a
    /// version other than 1 (whose type is not known), without an owner id of the service; or a TCP
    /// SYN.
    Yes,
    /// It does not: a QUIC packet with an owner id, or any other TCP segment.
    No,
    /// Not known, as UDP has no opening packet.
    Maybe,
}

/// Properties of a flow that one datagram contains.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Flow<'a> {
    /// Connection id of the datagram, or the five-tuple. All datagrams of the flow share it until
    /// the flow has an owner id.
    pub key: &'a [u8],
    /// Whether the datagram opens the flow.
    pub opening: Opening,
    /// Agent that the datagram's owner id names; `None` if it has no owner id of this service.
    pub owner: Option<Owner>,
}

/// Parses the flow of a QUIC datagram that was sent to a service.
///
/// # Errors
///
/// Returns the reason to drop the datagram if it belongs to no flow of the service.
pub fn parse<'a>(
    keyring: &Keyring,
    service: ServiceTag,
    datagram: &'a [u8],
) -> Result<Flow<'a>, DropReason> {
    let (key, may_be_caller_id) = match packet::parse(datagram).ok_or(DropReason::InvalidHeader)? {
        Packet::Short { rest } => {
            let id = rest
                .get(..OWNER_ID_BYTES)
                .ok_or(DropReason::InvalidHeader)?;
            (id, false)
        }
        Packet::Long {
            id,
            may_be_caller_id,
        } => (id, may_be_caller_id),
    };
    let decrypted = keyring.decrypt(key).map(|(owner, _)| owner);
    let owner = decrypted.filter(|owner| owner.service == service);
    match (owner, may_be_caller_id) {
        (Some(_), _) => Ok(Flow {
            key,
            opening: Opening::No,
            owner,
        }),
        (None, true) => Ok(Flow {
            key,
            opening: Opening::Yes,
            owner,
        }),
        (None, false) => Err(DropReason::Foreign),
    }
}

/// Liveness of the agent that issued an owner id, as known to one process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OwnerStatus {
    /// The agent, or a newer incarnation of the service at its address, is running as far as the
    /// view shows.
    Alive,
    /// The agent has left or is dead, or another service runs at its address.
    Gone,
    /// The view has no record of the agent, or only one of an earlier incarnation.
    Unknown,
}

/// Returns the status of an owner according to a view.
pub fn owner_status(view: &View, owner: &Owner) -> OwnerStatus {
    let Some(record) = view.members.get(&owner.address) else {
        return OwnerStatus::Unknown;
    };
    if record.incarnation < owner.incarnation {
        return OwnerStatus::Unknown;
    }
    let has_stopped = record.state.is_gone();
    // A newer incarnation at the address may still hold the flow, if the process was only frozen
    // and not restarted. An agent that does not hold the flow resets it.
    match has_stopped || record.service != owner.service {
        true => OwnerStatus::Gone,
        false => OwnerStatus::Alive,
    }
}
