//! The agent's decision for each wrapped datagram: take it, hand it on, or drop it.

use std::net::SocketAddrV4;

use crate::{
    consts::{MAX_HOPS, OWNER_ID_BYTES},
    frame::Header,
    owner_id::{Incarnation, Keyring, Owner, ServiceTag},
    packet::{self, Packet},
};

/// What to do with a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Intake {
    /// It belongs here.
    Take,
    /// Another agent takes it.
    HandOn(SocketAddrV4),
    /// It belongs nowhere.
    Drop(&'static str),
}

/// What the agent is when a datagram arrives.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Address of the agent's data socket.
    pub address: SocketAddrV4,
    /// Service that the agent serves.
    pub service: ServiceTag,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Whether the agent takes no new flows.
    pub draining: bool,
}

/// Decides what to do with a datagram.
pub fn decide(standing: &Standing, keyring: &Keyring, header: &Header, payload: &[u8]) -> Intake {
    if header.service != standing.service {
        return Intake::Drop("other_service");
    }
    match packet::parse(payload) {
        None => Intake::Drop("damaged"),
        Some(Packet::Short { rest }) => match rest.get(..OWNER_ID_BYTES) {
            Some(id) => owned(standing, keyring.open(id).map(|(owner, _)| owner)),
            None => Intake::Drop("damaged"),
        },
        Some(Packet::Long { id, opening }) => match keyring.open(id) {
            Some((owner, _)) if owner.service == standing.service => owned(standing, Some(owner)),
            _ if opening => opened(standing, header),
            _ => Intake::Drop("foreign"),
        },
    }
}

/// A datagram of another agent's flow comes only if that agent is dead: it is taken and reset.
fn owned(standing: &Standing, owner: Option<Owner>) -> Intake {
    match owner {
        Some(owner) if owner.service == standing.service => Intake::Take,
        _ => Intake::Drop("foreign"),
    }
}

fn opened(standing: &Standing, header: &Header) -> Intake {
    let can_hand_on = standing.draining && header.hops < MAX_HOPS;
    match header.others[0] {
        Some(other) if can_hand_on && other != standing.address => Intake::HandOn(other),
        _ => Intake::Take,
    }
}
