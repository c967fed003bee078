//! Decides for each encapsulated datagram whether the agent accepts, forwards or drops it.
//!
//! The balancer sends a new flow to its first choice of agent and names two fallbacks in the
//! header: its second choice and the earlier choice, which is the first choice of the earlier
//! placement table. A first choice that is busy or draining forwards a new flow to the second
//! choice (compare SRLB, Desmouceaux et al., IEEE/ACM Transactions on Networking 26, 2018). It
//! records the target, so that later datagrams of the same handshake reach the same agent. A
//! datagram of an unknown flow is forwarded to the earlier choice (compare Beamer, Olteanu et al.,
//! NSDI 2018).

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

mod expiring_map;

use expiring_map::ExpiringMap;

/// Lowest [`Pressure`](super::pressure::Pressure) at which a first choice forwards new flows, in
/// thousandths.
pub const FORWARD_THRESHOLD: u32 = 800;

/// What to do with a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DatagramAction {
    /// Process it: this agent owns the flow, becomes its owner or resets it.
    Accept,
    /// Send it to another agent, which decides again.
    Forward {
        /// Data address of the other agent.
        agent: SocketAddrV4,
        /// Agents to which that agent may forward it if it does not accept it.
        fallbacks: [Option<SocketAddrV4>; 2],
    },
    /// Discard it.
    Drop(DropReason),
}

/// State of the agent at the arrival of a datagram.
#[derive(Clone, Copy, Debug)]
pub struct AgentStatus {
    /// Address of the agent's data socket.
    pub address: SocketAddrV4,
    /// Service that the agent serves.
    pub service: ServiceTag,
    /// Incarnation with which the agent started.
    pub incarnation: Incarnation,
    /// Whether the agent is draining and so accepts no new flows.
    pub is_draining: bool,
    /// Running plus waiting requests relative to the backend server's concurrency limit, in
    /// thousandths; may exceed 1000.
    pub pressure: u32,
}

/// Earlier decision about a flow without an owner id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RecordedAction {
    Accepted,
    ForwardedTo(SocketAddrV4),
}

/// Decides about datagrams and tracks flows that have no owner id yet.
#[derive(Debug, Default)]
pub struct FlowTable {
    flows: ExpiringMap<RecordedAction>,
}

impl FlowTable {
    /// Returns what to do with a QUIC datagram.
    pub fn decide(
        &mut self,
        now: Time,
        status: &AgentStatus,
        view: &View,
        keyring: &Keyring,
        header: &Header,
        payload: &[u8],
    ) -> DatagramAction {
        match flow::parse(keyring, status.service, payload) {
            _ if header.service != status.service => DatagramAction::Drop(DropReason::OtherService),
            Ok(flow) => self.decide_flow(now, status, view, header, &flow),
            Err(reason) => DatagramAction::Drop(reason),
        }
    }

    /// Returns what to do with a datagram of a flow and records the decision if the datagram has no
    /// owner id.
    pub fn decide_flow(
        &mut self,
        now: Time,
        status: &AgentStatus,
        view: &View,
        header: &Header,
        flow: &Flow<'_>,
    ) -> DatagramAction {
        if header.service != status.service {
            return DatagramAction::Drop(DropReason::OtherService);
        }
        if let Some(owner) = &flow.owner {
            return decide_owned(status, view, header, owner);
        }
        let key = xxh3_64(flow.key);
        let action = match self.flows.get(key, now) {
            Some(RecordedAction::Accepted) => DatagramAction::Accept,
            Some(RecordedAction::ForwardedTo(agent)) => {
                decide_forwarded(status, header, flow, agent)
            }
            None => decide_untracked(status, view, header, flow),
        };
        match action {
            DatagramAction::Accept => self.flows.insert(key, RecordedAction::Accepted, now),
            DatagramAction::Forward { agent, .. } => {
                self.flows
                    .insert(key, RecordedAction::ForwardedTo(agent), now)
            }
            DatagramAction::Drop(_) => {}
        }
        action
    }
}

/// Decides about a datagram that contains an owner id.
///
/// A flow of another agent is reset here only if both the balancer and this agent consider the
/// owner gone, since a single view may be outdated.
fn decide_owned(
    status: &AgentStatus,
    view: &View,
    header: &Header,
    owner: &Owner,
) -> DatagramAction {
    if owner.address == status.address || flow::owner_status(view, owner) == OwnerStatus::Gone {
        return DatagramAction::Accept;
    }
    forward(status, header, owner.address, [None, None])
        .unwrap_or(DatagramAction::Drop(DropReason::TooManyHops))
}

/// Decides about a flow that this agent has forwarded before.
///
/// An opening that arrives from another agent is accepted unless this agent is draining; otherwise
/// two agents could forward it to each other until the hop limit.
fn decide_forwarded(
    status: &AgentStatus,
    header: &Header,
    flow: &Flow<'_>,
    agent: SocketAddrV4,
) -> DatagramAction {
    let must_accept = flow.opening == Opening::Yes && header.hops > 0 && !status.is_draining;
    let forwarded = forward(status, header, agent, [None, None]).filter(|_| !must_accept);
    match forwarded {
        Some(forwarded) => forwarded,
        None if flow.opening == Opening::No => DatagramAction::Drop(DropReason::TooManyHops),
        None => DatagramAction::Accept,
    }
}

/// Decides about a flow that this agent does not track.
///
/// Forwards the datagram to the earlier choice first unless it opens the flow. A datagram that does
/// not open a flow then goes to the second choice if it comes directly from the balancer, and is
/// dropped otherwise. Any other datagram is forwarded if this agent is draining, if it was asked as
/// the earlier choice, or if it is busy and the datagram comes directly from the balancer. It is
/// accepted otherwise, or if no candidate is left.
fn decide_untracked(
    status: &AgentStatus,
    view: &View,
    header: &Header,
    flow: &Flow<'_>,
) -> DatagramAction {
    let [second, earlier] = header.fallbacks;
    let fallback_to_self = [Some(status.address), None];
    if flow.opening != Opening::Yes
        && let Some(earlier) = earlier
        && let Some(forwarded) = forward(status, header, earlier, fallback_to_self)
    {
        return forwarded;
    }
    if flow.opening == Opening::No {
        // Only a datagram that comes directly from the balancer is forwarded to the second choice;
        // one that another agent forwarded is dropped.
        let next = second.filter(|_| header.hops == 0);
        return next
            .and_then(|second| forward(status, header, second, [None, None]))
            .unwrap_or(DatagramAction::Drop(DropReason::UnknownFlow));
    }
    // The first agent forwards to the earlier choice with itself as the only fallback.
    let is_asked_as_earlier_choice =
        flow.opening == Opening::Maybe && header.hops == 1 && earlier.is_none();
    let is_busy_first_choice = header.hops == 0 && status.pressure >= FORWARD_THRESHOLD;
    if !status.is_draining && !is_busy_first_choice && !is_asked_as_earlier_choice {
        return DatagramAction::Accept;
    }
    for agent in [second, earlier].into_iter().flatten() {
        if let Some(forwarded) = forward(status, header, agent, [None, None]) {
            return forwarded;
        }
        // A busy first choice tries one fallback only; otherwise both are tried.
        if is_busy_first_choice {
            break;
        }
    }
    if status.is_draining {
        return forward_by_view(status, view, header, flow).unwrap_or(DatagramAction::Accept);
    }
    DatagramAction::Accept
}

/// Forwards a flow of a draining agent to an agent that the local view selects.
fn forward_by_view(
    status: &AgentStatus,
    view: &View,
    header: &Header,
    flow: &Flow<'_>,
) -> Option<DatagramAction> {
    let table = view.tables.get(&status.service)?;
    let choice = table.choose(status.service, flow.key)?;
    let agents = [Some(choice.first), choice.second];
    let mut targets = agents
        .into_iter()
        .flatten()
        .filter_map(|agent| forward(status, header, agent, [None, None]));
    targets.next()
}

/// Returns the action that forwards a datagram to `agent`.
///
/// `None` if that is the agent itself or if the hop limit is reached.
fn forward(
    status: &AgentStatus,
    header: &Header,
    agent: SocketAddrV4,
    fallbacks: [Option<SocketAddrV4>; 2],
) -> Option<DatagramAction> {
    let allowed = agent != status.address && header.hops < MAX_HOPS;
    allowed.then_some(DatagramAction::Forward { agent, fallbacks })
}
