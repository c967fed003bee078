//! What the decisions see of a flow: its key, where its datagram stands in it, and perhaps its
//! owner. QUIC is one source of these; a five-tuple of UDP or TCP is another.

use crate::{
    consts::OWNER_ID_BYTES,
    member::View,
    owner_id::{Keyring, Owner, ServiceTag},
    packet::{self, Packet},
};

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum DropReason {
    /// The QUIC header can't be read.
    Damaged,
    /// The connection id is not one of the fleet's, or belongs to another service.
    Foreign,
    /// The service has no agent that takes new flows.
    NoAgent,
    /// The datagram was wrapped for another service.
    OtherService,
    /// The datagram was handed on too often.
    TooManyHops,
    /// The datagram is from the middle of a flow that no asked agent knows.
    UnknownFlow,
}

impl DropReason {
    /// Returns the word for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            DropReason::Damaged => "damaged",
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
    /// It does: a QUIC Initial, a TCP SYN.
    Yes,
    /// It does not: any other packet of TCP.
    No,
    /// The protocol does not tell: UDP.
    Maybe,
}

/// A flow as one datagram shows it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Flow<'a> {
    /// Bytes that all datagrams of the flow share until it has an owner id.
    pub key: &'a [u8],
    /// Whether the datagram opens the flow.
    pub opening: Opening,
    /// Agent that the datagram names as the owner of the flow.
    pub owner: Option<Owner>,
}

/// Reads the flow of a QUIC datagram that was sent to a service.
///
/// # Errors
///
/// Returns why the datagram belongs to no flow of the service.
pub fn read<'a>(
    keyring: &Keyring,
    service: ServiceTag,
    datagram: &'a [u8],
) -> Result<Flow<'a>, DropReason> {
    let (key, opening) = match packet::parse(datagram).ok_or(DropReason::Damaged)? {
        Packet::Short { rest } => {
            let id = rest.get(..OWNER_ID_BYTES).ok_or(DropReason::Damaged)?;
            (id, false)
        }
        Packet::Long { id, opening } => (id, opening),
    };
    let opened = keyring.decrypt(key).map(|(owner, _)| owner);
    let owner = opened.filter(|owner| owner.service == service);
    match (owner, opening) {
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

/// What a process knows of the life of an agent that issued an owner id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It runs, as far as is known.
    Lives,
    /// It has left or died, or its address serves another service.
    Gone,
    /// Nothing is known.
    Unknown,
}

/// Returns what a view tells of the life of an owner.
pub fn fate(view: &View, owner: &Owner) -> Fate {
    let Some(record) = view.members.get(&owner.address) else {
        return Fate::Unknown;
    };
    if record.incarnation < owner.incarnation {
        return Fate::Unknown;
    }
    let stopped = record.state.is_gone();
    // A later life at the address may still hold the flow, if it was only frozen; if not, it
    // resets the flow itself.
    match stopped || record.service != owner.service {
        true => Fate::Gone,
        false => Fate::Lives,
    }
}
