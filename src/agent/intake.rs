//! The agent's decision for each wrapped datagram: take it, hand it on, or drop it.
//!
//! A first choice that is busy or draining hands a new flow on to the second choice (compare
//! SRLB, Desmouceaux et al., IEEE/ACM Transactions on Networking 26, 2018) and remembers that, so
//! that all datagrams of the opening stay together. A datagram of a flow that the agent does not
//! know goes to the earlier owner (compare Beamer, Olteanu et al., NSDI 2018).

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Time,
    consts::MAX_HOPS,
    flow::{self, DropReason, Flow, Opening, OwnerStatus},
    frame::Header,
    member::View,
    owner_id::{Incarnation, Keyring, Owner, ServiceTag},
};

mod recent;

use recent::Recent;

/// Use of the backend server's capacity from which new flows are handed on, in thousandths.
pub const HAND_ON_PRESSURE: u32 = 800;

/// What to do with a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Intake {
    /// It belongs here.
    Take,
    /// Another agent decides.
    HandOn {
        /// The other agent.
        agent: SocketAddrV4,
        /// Agents to which that one may hand it.
        others: [Option<SocketAddrV4>; 2],
    },
    /// It belongs nowhere.
    Drop(DropReason),
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
    /// Use of the backend server's capacity, in thousandths.
    pub pressure: u32,
}

/// What became of a flow that has no owner id yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Settled {
    Taken,
    HandedTo(SocketAddrV4),
}

/// Decides about datagrams and remembers flows without an owner id for a while.
#[derive(Debug, Default)]
pub struct FlowTable {
    flows: Recent<Settled>,
}

impl FlowTable {
    /// Decides what to do with a QUIC datagram.
    pub fn decide(
        &mut self,
        now: Time,
        standing: &Standing,
        view: &View,
        keyring: &Keyring,
        header: &Header,
        payload: &[u8],
    ) -> Intake {
        match flow::parse(keyring, standing.service, payload) {
            _ if header.service != standing.service => Intake::Drop(DropReason::OtherService),
            Ok(flow) => self.decide_flow(now, standing, view, header, &flow),
            Err(reason) => Intake::Drop(reason),
        }
    }

    /// Decides what to do with a datagram of a flow.
    pub fn decide_flow(
        &mut self,
        now: Time,
        standing: &Standing,
        view: &View,
        header: &Header,
        flow: &Flow<'_>,
    ) -> Intake {
        if header.service != standing.service {
            return Intake::Drop(DropReason::OtherService);
        }
        if let Some(owner) = &flow.owner {
            return owned(standing, view, header, owner);
        }
        let key = xxh3_64(flow.key);
        let intake = match self.flows.get(key, now) {
            Some(Settled::Taken) => Intake::Take,
            Some(Settled::HandedTo(agent)) => handed_before(standing, header, flow, agent),
            None => settle_unknown(standing, view, header, flow),
        };
        match intake {
            Intake::Take => self.flows.put(key, Settled::Taken, now),
            Intake::HandOn { agent, .. } => self.flows.put(key, Settled::HandedTo(agent), now),
            Intake::Drop(_) => {}
        }
        intake
    }
}

/// Decides about a datagram that names its owner.
///
/// A flow of another agent is reset only if both the balancer and this agent hold that one for
/// gone; a single view may be wrong.
fn owned(standing: &Standing, view: &View, header: &Header, owner: &Owner) -> Intake {
    if owner.address == standing.address || flow::owner_status(view, owner) == OwnerStatus::Gone {
        return Intake::Take;
    }
    hand_on(standing, header, owner.address, [None, None])
        .unwrap_or(Intake::Drop(DropReason::TooManyHops))
}

/// Decides about a flow that this agent has handed on before.
///
/// An opening that comes from another agent is kept, or two agents would pass it to and fro.
fn handed_before(
    standing: &Standing,
    header: &Header,
    flow: &Flow<'_>,
    agent: SocketAddrV4,
) -> Intake {
    let returned = flow.opening == Opening::Yes && header.hops > 0 && !standing.draining;
    let handed = hand_on(standing, header, agent, [None, None]).filter(|_| !returned);
    match handed {
        Some(handed) => handed,
        None if flow.opening == Opening::No => Intake::Drop(DropReason::TooManyHops),
        None => Intake::Take,
    }
}

/// Decides about a flow that this agent has not met.
fn settle_unknown(standing: &Standing, view: &View, header: &Header, flow: &Flow<'_>) -> Intake {
    let [second, earlier] = header.fallbacks;
    let home = [Some(standing.address), None];
    if flow.opening != Opening::Yes
        && let Some(earlier) = earlier
        && let Some(asked) = hand_on(standing, header, earlier, home)
    {
        return asked;
    }
    if flow.opening == Opening::No {
        // An agent that was asked as the earlier owner ends the search.
        let asked = second.filter(|_| header.hops == 0);
        return asked
            .and_then(|second| hand_on(standing, header, second, [None, None]))
            .unwrap_or(Intake::Drop(DropReason::UnknownFlow));
    }
    let asked = flow.opening == Opening::Maybe && header.hops == 1 && earlier.is_none();
    let busy = header.hops == 0 && standing.pressure >= HAND_ON_PRESSURE;
    if !standing.draining && !busy && !asked {
        return Intake::Take;
    }
    for agent in [second, earlier].into_iter().flatten() {
        if let Some(handed) = hand_on(standing, header, agent, [None, None]) {
            return handed;
        }
        if busy {
            break;
        }
    }
    if standing.draining {
        return hand_on_by_view(standing, view, header, flow).unwrap_or(Intake::Take);
    }
    Intake::Take
}

/// Hands a flow that a draining agent does not take to one that its own view names.
fn hand_on_by_view(
    standing: &Standing,
    view: &View,
    header: &Header,
    flow: &Flow<'_>,
) -> Option<Intake> {
    let table = view.tables.get(&standing.service)?;
    let choice = table.choose(standing.service, flow.key)?;
    let agents = [Some(choice.first), choice.second];
    let mut handed = agents
        .into_iter()
        .flatten()
        .filter_map(|agent| hand_on(standing, header, agent, [None, None]));
    handed.next()
}

/// Returns the hand-on to an agent; `None` to itself or after too many.
fn hand_on(
    standing: &Standing,
    header: &Header,
    agent: SocketAddrV4,
    others: [Option<SocketAddrV4>; 2],
) -> Option<Intake> {
    let allowed = agent != standing.address && header.hops < MAX_HOPS;
    allowed.then_some(Intake::HandOn { agent, others })
}
