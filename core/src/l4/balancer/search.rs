//! Search for the agent that holds a flow, in up to four steps.
//!
//! 1. The flow's two homes are queried. The owner registers the flow at one of them before the caller
//!    learns that it is open, so nearly all searches end here.
//! 2. A round asks all agents, of any service, for a filter of the flows that they hold, on behalf of
//!    all searches that wait ([`round`]).
//! 3. Agents whose filter contains the flow, and agents that sent none, are queried for the flow
//!    ([`query`]).
//! 4. Agents that are unsure are sent a segment of the flow ([`trial`]): a backend server returns a
//!    segment of a flow that it does not hold.
//!
//! Resets and trial deliveries rest on the same condition ([`gap`]): every agent that may hold the flow is
//! known here and has replied. Until it holds, the search is kept and takes part in further rounds.
//!
//! A flow that a live server holds is never reset: every agent of the fleet has denied it in a round of the
//! search, whatever service the routes name for it now. Its agent has an entry for it, or is not sure of all
//! flows of its server. In the first case the flow is in the agent's filter, which has no false negatives;
//! in the second case the agent is unsure until its server has returned a segment of the flow. A
//! reply counts only in the round that it repeats the number of, and a round counts only for the
//! searches that had begun before it, so that each reply is later than the segment that is searched for.
//! Numbers start at random, so that a reply to an earlier process of this balancer does not
//! fit. A missing or malformed reply proves nothing. An agent that this balancer does not know can hold
//! the flow only as long as no agent that replies knows it either, and the known agents have not
//! changed for the time that an update takes to reach all processes before the round began
//! ([`Stability`](super::stability::Stability)).

pub(super) mod budget;
mod denials;
mod evidence;
mod gap;
pub(super) mod query;
pub(super) mod round;
mod trial;
mod verdict;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Duration,
};

use self::{denials::Denials, evidence::Evidence};
use super::{Balancer, FlowState};
use crate::{
    clock::Time,
    l4::{
        message::{Message, Ownership},
        outbox::Outbox,
        segment::{Codec, FlowKey, Segment},
    },
    member::KnownAgents,
};

/// Time for the replies of the homes, after which the search waits for a round.
const HOMES_TIMEOUT: Duration = Duration::from_millis(8);

/// Number of segments that are buffered during a search; callers have at most 16 in flight.
const MAX_BUFFERED_SEGMENTS: usize = 16;

/// Time after the last segment of its caller after which a search is removed. Callers retransmit after
/// at most 1.6 s.
const SEARCH_TTL: Duration = Duration::from_secs(3);

/// Step of a search.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The homes of the flow have been queried.
    Homes,
    /// The search waits for the next round.
    Waiting,
    /// The search takes part in the round with this number.
    Round(u32),
    /// Agents that may hold the flow by their replies to the round, or did not reply, are queried.
    Agents,
    /// Agents that are unsure have been sent a buffered segment.
    Trial,
    /// The replies tell neither the owner nor that there is none. The search waits until its next round.
    Kept,
}

/// The search for the owner of a flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Last acknowledgement number of the caller. Only a backend server whose initial sequence number
    /// fits it can be the one that the caller talks to.
    pub(super) acknowledged: u32,
    buffered: Vec<Box<[u8]>>,
    /// Agents that have been queried for the flow in the present step, with their replies.
    queried: Vec<(SocketAddrV4, Option<Ownership>)>,
    /// Agents that have denied the flow.
    denials: Denials,
    /// Agents whose filters of the last round contain the flow.
    holders: Vec<SocketAddrV4>,
    /// Agents that have been sent a segment on trial.
    tried: BTreeSet<SocketAddrV4>,
    /// Agents that are still to be sent the segment of the present trial delivery.
    untried: Vec<SocketAddrV4>,
    /// Position in the buffer of the segment that is delivered on trial.
    segment: usize,
    /// Number of buffered segments that have been delivered on trial.
    delivered: usize,
    /// Replies to the last round.
    evidence: Evidence,
    /// Homes that had not replied when the first round began. One that a round leaves out as unreachable
    /// may still hold the flow.
    unanswered: Vec<SocketAddrV4>,
    /// Number of rounds that the search has taken part in.
    rounds: u32,
    /// Number of queries to the agents in the present step.
    tries: u8,
    stage: Stage,
    /// When the present step times out.
    due: Time,
    /// When the last round began.
    round_started: Time,
    /// When `acknowledged` was set. Earlier rounds prove nothing about a flow that the caller has opened
    /// again.
    changed_at: Time,
    /// Whether all agents replied to the last round that they know all flows of their servers.
    all_sure: bool,
    /// What the processes knew in their last replies that knew agents unknown here.
    informed: BTreeMap<SocketAddrV4, KnownAgents>,
    /// Agent whose return of a segment started the search.
    denied_by: Option<SocketAddrV4>,
    /// Whether the search was postponed, which is logged once.
    is_postponed: bool,
    /// Why the search was kept last.
    kept_for: Option<&'static str>,
    pub(super) expires: Time,
}

impl Search {
    /// Returns a search that has queried nobody and has no segment.
    fn new(acknowledged: u32, now: Time) -> Self {
        Self {
            acknowledged,
            buffered: Vec::new(),
            queried: Vec::new(),
            denials: Denials::default(),
            holders: Vec::new(),
            tried: BTreeSet::new(),
            untried: Vec::new(),
            segment: 0,
            delivered: 0,
            evidence: Evidence::default(),
            unanswered: Vec::new(),
            rounds: 0,
            tries: 0,
            stage: Stage::Homes,
            due: now,
            round_started: now,
            changed_at: now,
            all_sure: false,
            informed: BTreeMap::new(),
            denied_by: None,
            is_postponed: false,
            kept_for: None,
            expires: now + SEARCH_TTL,
        }
    }

    /// Buffers a segment until the search ends; drops it if the buffer is full.
    fn push_segment(&mut self, segment: &Segment, datagram: &[u8], now: Time) {
        self.expires = now + SEARCH_TTL;
        if self.acknowledged != segment.acknowledged {
            self.acknowledged = segment.acknowledged;
            self.changed_at = now;
            self.denials.clear();
            self.tried.clear();
        }
        if self.buffered.len() < MAX_BUFFERED_SEGMENTS {
            self.buffered.push(datagram.into());
        }
    }

    /// Records which agents a process knows by its last reply. It may be silent in later rounds.
    fn record_known_agents(&mut self, peer: SocketAddrV4, agents: KnownAgents, knows_all: bool) {
        match knows_all {
            true => self.informed.remove(&peer),
            false => self.informed.insert(peer, agents),
        };
    }

    fn record_reply(&mut self, peer: SocketAddrV4, ownership: Ownership) {
        self.unanswered.retain(|home| *home != peer);
        for (queried, reply) in &mut self.queried {
            if *queried == peer {
                *reply = Some(ownership);
            }
        }
    }

    /// Returns whether to accept an agent that another process names as the owner: not if the agent
    /// has replied itself, to a query or to the round, or has returned the segment that started the
    /// search. A registration may be older than a restart of the agent's server.
    fn may_be_owner(&self, agent: SocketAddrV4, is_known: bool) -> bool {
        if self.denied_by == Some(agent) || self.denials.contains(agent) {
            return false;
        }
        let reply = self.queried.iter().find(|(queried, _)| *queried == agent);
        let after_round = matches!(self.stage, Stage::Agents | Stage::Trial | Stage::Kept);
        match reply {
            Some((_, reply)) => reply.is_none(),
            None => !(after_round && is_known),
        }
    }

    /// Returns whether an agent was queried for the flow because of a round.
    fn is_queried_after_round(&self, agent: SocketAddrV4) -> bool {
        let after_round = !matches!(self.stage, Stage::Homes | Stage::Waiting);
        after_round
            && self.is_current()
            && self.queried.iter().any(|(queried, _)| *queried == agent)
    }

    /// Returns whether the last round began after the caller has opened the flow.
    fn is_current(&self) -> bool {
        self.round_started >= self.changed_at
    }

    fn is_missing(&self, agent: SocketAddrV4) -> bool {
        self.queried.contains(&(agent, None))
    }

    fn has_missing_replies(&self) -> bool {
        self.queried.iter().any(|(_, reply)| reply.is_none())
    }

    /// Returns the agents that are unsure and have not denied the flow.
    fn candidates(&self) -> impl Iterator<Item = SocketAddrV4> {
        let unsure = Some(Ownership::Unsure);
        let same = self
            .queried
            .iter()
            .filter(move |(_, reply)| *reply == unsure);
        let agents = same.map(|(agent, _)| *agent);
        agents.filter(|agent| !self.denials.contains(*agent))
    }

    /// Returns the queried agents with a given reply, or with none.
    fn agents_with(&self, wanted: Option<Ownership>) -> Vec<SocketAddrV4> {
        let same = self.queried.iter().filter(|(_, reply)| *reply == wanted);
        same.map(|(agent, _)| *agent).collect()
    }
}

impl<C: Codec> Balancer<C> {
    /// Starts a search with the query of the homes.
    pub(super) fn start_search(
        &mut self,
        flow: &FlowKey,
        segment: &Segment,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let due = now + HOMES_TIMEOUT;
        let service = self.service_of(flow).unwrap_or_default();
        let queried = self.fleet.homes(service.tag(), flow);
        let mut search = Search::new(segment.acknowledged, now);
        search.buffered.push(datagram.into());
        search
            .queried
            .extend(queried.iter().map(|peer| (*peer, None)));
        search.due = due;
        tracing::info!(
            event = "flow_searched",
            %flow,
            request = self.codec.request_id(datagram).unwrap_or("-"),
            asked = search.queried.len(),
            routes = self.routes.version,
            view = self.view_version,
        );
        self.insert(flow, FlowState::Searching(search));
        self.search_timers.push(Reverse((due, *flow)));
        self.send_queries(flow, segment.acknowledged, &queried, out);
    }

    /// Searches for the owner of a flow whose presumed one is gone, before the caller's next segment.
    pub(super) fn search_again(&mut self, flow: &FlowKey, acknowledged: u32, now: Time) {
        let search = Search::new(acknowledged, now);
        self.insert(flow, FlowState::Searching(search));
        self.wait_for_round(flow);
    }

    /// Buffers a segment of a flow that is searched for. If the search was kept, the homes are queried
    /// again: the owner may have registered the flow since, and be unknown here.
    pub(super) fn continue_search(
        &mut self,
        flow: &FlowKey,
        segment: &Segment,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        search.push_segment(segment, datagram, now);
        if search.kept_for.is_some() {
            let service = self.service_of(flow).unwrap_or_default();
            let homes = self.fleet.homes(service.tag(), flow);
            self.send_queries(flow, segment.acknowledged, &homes, out);
        }
    }

    fn send_queries(
        &mut self,
        flow: &FlowKey,
        acknowledged: u32,
        peers: &[SocketAddrV4],
        out: &mut impl Outbox,
    ) {
        let find = Message::Find {
            flow: *flow,
            acknowledged,
        };
        for peer in peers {
            self.send(*peer, &find, &[], out);
        }
    }

    /// Handles the reply of an agent or a balancer to a query, with the agents that it knows.
    pub(super) fn handle_found(
        &mut self,
        flow: &FlowKey,
        from: SocketAddrV4,
        (ownership, agents): (Ownership, KnownAgents),
        now: Time,
        out: &mut impl Outbox,
    ) {
        let knows_all = self.compare_known_agents(from, &agents);
        let search = match self.flows.get_mut(flow) {
            Some(FlowState::Searching(search)) => search,
            Some(FlowState::Owned(owned)) => {
                owned.is_confirmed |= ownership == Ownership::Held && owned.agent == from;
                return;
            }
            _ => return,
        };
        search.record_known_agents(from, agents, knows_all);
        match ownership {
            Ownership::Held => self.end_found(flow, (from, true), now, out),
            Ownership::HeldBy(agent)
                if search.may_be_owner(agent, self.fleet.get(agent).is_some())
                    && !self.fleet.has_left(agent) =>
            {
                if !self.fleet.is_live(agent) {
                    self.dead_agents.add(agent, now);
                }
                self.end_found(flow, (agent, false), now, out)
            }
            // A late reply must not replace the result of the trial delivery.
            Ownership::HeldBy(_) | Ownership::Unsure if search.stage == Stage::Trial => {}
            // The agent tells what is registered with it, and not whether it is sure of its own flows.
            Ownership::HeldBy(_) if search.is_queried_after_round(from) => {
                search.record_reply(from, Ownership::Unsure);
                self.advance_if_complete(flow, now, out);
            }
            Ownership::HeldBy(_) | Ownership::NotHeld => {
                // A home replies so as well, of its registrations, and before the first round.
                if ownership == Ownership::NotHeld && search.is_queried_after_round(from) {
                    search.denials.add(from);
                }
                search.record_reply(from, Ownership::NotHeld);
                self.advance_if_complete(flow, now, out);
            }
            Ownership::Unsure => {
                search.record_reply(from, ownership);
                self.advance_if_complete(flow, now, out);
            }
        }
    }

    /// Handles a segment that an agent returned because it does not hold the flow.
    pub(super) fn handle_unknown(
        &mut self,
        segment: &Segment,
        agent: SocketAddrV4,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let flow = segment.flow_of_caller();
        self.metrics.returned.inc();
        match self.flows.get_mut(&flow) {
            Some(FlowState::Searching(search)) => {
                if search.acknowledged == segment.acknowledged {
                    search.denials.add(agent);
                }
                search.record_reply(agent, Ownership::NotHeld);
                self.advance_if_complete(&flow, now, out);
            }
            Some(FlowState::Owned(owned)) if owned.agent != agent => {
                let owner = owned.agent;
                self.forward(owner, datagram, out);
            }
            Some(FlowState::Reset { .. } | FlowState::Opening(_)) => {}
            _ => {
                self.start_search(&flow, segment, datagram, now, out);
                if let Some(FlowState::Searching(search)) = self.flows.get_mut(&flow) {
                    search.denied_by = Some(agent);
                    search.denials.add(agent);
                    search.record_reply(agent, Ownership::NotHeld);
                }
            }
        }
    }

    /// Ends a search: sets the owner, with whether it has said so itself, and forwards the buffered segments
    /// to it.
    pub(super) fn end_found(
        &mut self,
        flow: &FlowKey,
        (agent, is_confirmed): (SocketAddrV4, bool),
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Searching(search)) = self.flows.remove(flow) else {
            return;
        };
        tracing::info!(event = "flow_found", %flow, %agent, is_confirmed, rounds = search.rounds);
        self.metrics.count_search("found");
        self.set_owner(flow, (agent, is_confirmed), search.acknowledged, now);
        // What the owner was sent on trial is not sent again.
        let delivered = match search.tried.contains(&agent) {
            true => search.delivered,
            false => 0,
        };
        for datagram in search.buffered.iter().skip(delivered) {
            self.forward(agent, datagram, out);
        }
    }

    /// Goes to the next step of a search, or ends it, once all replies have arrived.
    fn advance_if_complete(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        match search.stage {
            Stage::Trial => self.decide(flow, now, out),
            _ if search.has_missing_replies() => {}
            Stage::Homes => self.wait_for_round(flow),
            Stage::Agents => self.decide(flow, now, out),
            Stage::Waiting | Stage::Round(_) | Stage::Kept => {}
        }
    }

    /// Handles the timeout of a step of a search.
    pub(super) fn handle_search_timeout(
        &mut self,
        flow: &FlowKey,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        if now < search.due {
            return;
        }
        if now >= search.expires {
            self.flows.remove(flow);
            return;
        }
        match search.stage {
            Stage::Homes | Stage::Kept => self.wait_for_round(flow),
            Stage::Agents if search.has_missing_replies() => self.query_agents(flow, now, out),
            Stage::Agents => self.decide(flow, now, out),
            Stage::Trial => self.end_trial(flow, now, out),
            Stage::Waiting | Stage::Round(_) => {}
        }
    }

    /// Sets the time at which the present step of a search times out.
    fn set_due(&mut self, flow: &FlowKey, due: Time) {
        if let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) {
            search.due = due;
            self.search_timers.push(Reverse((due, *flow)));
        }
    }
}
