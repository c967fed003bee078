//! Search for the agent that holds a flow, in up to four steps.
//!
//! 1. The flow's two homes are queried. The owner registers the flow at one of them before the caller
//!    learns that it is open, so nearly all searches end here.
//! 2. The balancers of the failure domain are queried, through which the caller may have come before.
//! 3. The query is broadcast to all possible owners.
//! 4. Agents that are unsure are sent a segment of the flow (trial delivery): a backend server
//!    returns a segment of a flow that it does not hold.
//!
//! When the fabric adds or removes a balancer, nearly all flows of a failure domain arrive at
//! balancers that have no entry for them. Further queries for each would fill the link of a small
//! balancer, so steps 2 and 3 have a budget. A search that exceeds it waits, and queries the homes again.

pub(super) mod budget;

use std::{cmp::Reverse, net::SocketAddrV4, time::Duration};

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

/// Time for the replies to the first and the second step, after which the next step begins.
const TARGETED_TIMEOUT: Duration = Duration::from_millis(8);

/// Time after which a search that exceeded the budget is continued.
const POSTPONE_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which agents that have not replied to a broadcast are queried again.
const QUERY_TIMEOUT: Duration = Duration::from_millis(25);

/// Size of a query on the wire, with all headers.
const QUERY_BYTES: u64 = 100;

/// Number of rounds of queries: the homes, the domain, and three broadcasts.
const MAX_ROUNDS: u8 = 5;

/// Time in which a backend server returns a segment of a flow that it does not hold.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(40);

/// Number of segments that are buffered during a search; callers have at most 16 in flight.
const MAX_BUFFERED_SEGMENTS: usize = 16;

/// Time after which a search is removed.
const SEARCH_TTL: Duration = Duration::from_secs(2);

/// Processes that have been queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    /// The homes of the flow.
    Homes,
    /// Also the balancers of the failure domain.
    Domain,
    /// Also all possible owners.
    All,
}

/// The search for the owner of a flow.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// Acknowledgement number in the segment that started the search. Only a backend server whose
    /// initial sequence number fits it can be the one that the caller talks to.
    pub(super) acknowledged: u32,
    buffered: Vec<Box<[u8]>>,
    /// Queried agents and balancers with their replies.
    queried: Vec<(SocketAddrV4, Option<Ownership>)>,
    rounds: u8,
    scope: Scope,
    /// Whether the next step waits for the budget, until `due`.
    is_postponed: bool,
    /// Whether the agents that are unsure have been sent the first buffered segment.
    trial_sent: bool,
    due: Time,
    /// Whether negative replies may be taken as proof that no agent holds the flow: false once a process
    /// has replied that knows agents unknown here, or the search has given up on missing replies.
    is_conclusive: bool,
    pub(super) expires: Time,
}

impl Search {
    /// Buffers a segment until the search ends; drops it if the buffer is full.
    pub(super) fn push_segment(&mut self, datagram: &[u8]) {
        if self.buffered.len() < MAX_BUFFERED_SEGMENTS {
            self.buffered.push(datagram.into());
        }
    }

    fn record_reply(&mut self, peer: SocketAddrV4, ownership: Ownership) {
        for (queried, reply) in &mut self.queried {
            if *queried == peer {
                *reply = Some(ownership);
            }
        }
    }

    /// Returns whether to accept an agent that another process names as the owner: not if the agent
    /// has replied itself.
    fn may_be_owner(&self, agent: SocketAddrV4) -> bool {
        let reply = self.queried.iter().find(|(queried, _)| *queried == agent);
        reply.is_none_or(|(_, reply)| reply.is_none())
    }

    fn count_replies(&self, ownership: Ownership) -> usize {
        let same = self
            .queried
            .iter()
            .filter(|(_, reply)| *reply == Some(ownership));
        same.count()
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
        let due = now + TARGETED_TIMEOUT;
        let service = self.service_of(flow).unwrap_or_default();
        let queried = self.fleet.homes(service.tag(), flow);
        let search = Search {
            acknowledged: segment.acknowledged,
            buffered: vec![datagram.into()],
            queried: queried.iter().map(|peer| (*peer, None)).collect(),
            rounds: 1,
            scope: Scope::Homes,
            is_postponed: false,
            trial_sent: false,
            due,
            is_conclusive: true,
            expires: now + SEARCH_TTL,
        };
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

    /// Begins the next step of a search: queries the balancers of the failure domain, then all possible
    /// owners. Postpones it if the budget is spent.
    fn widen(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let service = self.service_of(flow).unwrap_or_default();
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let (scope, timeout, mut others) = match search.scope {
            Scope::Homes => {
                let balancers = self.fleet.local_balancers().to_vec();
                (Scope::Domain, TARGETED_TIMEOUT, balancers)
            }
            Scope::Domain | Scope::All => {
                let mut owners = self.fleet.possible_owners(service.tag(), now);
                owners.extend(self.dead_agents.addresses());
                (Scope::All, QUERY_TIMEOUT, owners)
            }
        };
        let queried = &search.queried;
        others
            .retain(|peer| *peer != self.address && queried.iter().all(|(other, _)| other != peer));
        if !self
            .budget
            .try_consume(others.len() as u64 * QUERY_BYTES, now)
        {
            self.postpone(flow, others.len(), now, out);
            return;
        }
        // Balancers only cache owners, so the search does not wait for one that has not replied.
        let fleet = &self.fleet;
        search
            .queried
            .retain(|(peer, reply)| reply.is_some() || fleet.get(*peer).is_some());
        search.scope = scope;
        search.is_postponed = false;
        search.rounds += 1;
        search.due = now + timeout;
        search
            .queried
            .extend(others.iter().map(|peer| (*peer, None)));
        let (due, acknowledged) = (search.due, search.acknowledged);
        self.search_timers.push(Reverse((due, *flow)));
        self.send_queries(flow, acknowledged, &others, out);
        self.advance_if_complete(flow, now, out);
    }

    /// Postpones the next step of a search, and queries the homes again meanwhile.
    fn postpone(&mut self, flow: &FlowKey, asked: usize, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        if !search.is_postponed {
            tracing::info!(event = "flow_search_postponed", %flow, asked);
            self.metrics.count_search("postponed");
        }
        search.is_postponed = true;
        search.due = now + POSTPONE_INTERVAL;
        let (due, acknowledged) = (search.due, search.acknowledged);
        self.search_timers.push(Reverse((due, *flow)));
        let service = self.service_of(flow).unwrap_or_default();
        let homes = self.fleet.homes(service.tag(), flow);
        self.send_queries(flow, acknowledged, &homes, out);
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
        let knows_all = self.known_agents.includes(&agents);
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        search.is_conclusive &= knows_all;
        match ownership {
            Ownership::Held => self.end_found(flow, from, now, out),
            Ownership::HeldBy(agent) if search.may_be_owner(agent) => {
                self.end_found(flow, agent, now, out)
            }
            Ownership::HeldBy(_) | Ownership::NotHeld => {
                search.record_reply(from, Ownership::NotHeld);
                self.advance_if_complete(flow, now, out);
            }
            // A late reply must not replace the result of the trial delivery.
            Ownership::Unsure if search.trial_sent => {}
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
        match self.flows.get_mut(&flow) {
            Some(FlowState::Searching(search)) => {
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
                    search.record_reply(agent, Ownership::NotHeld);
                }
            }
        }
    }

    /// Ends a search: sets the owner and forwards the buffered segments to it.
    pub(super) fn end_found(
        &mut self,
        flow: &FlowKey,
        agent: SocketAddrV4,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Searching(search)) = self.flows.remove(flow) else {
            return;
        };
        tracing::info!(event = "flow_found", %flow, %agent, rounds = search.rounds);
        self.metrics.count_search("found");
        self.set_owner(flow, agent, search.acknowledged, now);
        // A trial delivery has already sent the first segment to the unsure agents, so it is not sent
        // again. If the owner is another agent, the caller retransmits the segment.
        let delivered = usize::from(search.trial_sent);
        for datagram in search.buffered.iter().skip(delivered) {
            self.forward(agent, datagram, out);
        }
    }

    /// Goes to the next step of a search, or ends it, once all replies have arrived.
    fn advance_if_complete(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let is_incomplete = search.queried.iter().any(|(_, reply)| reply.is_none());
        if is_incomplete || search.is_postponed {
            return;
        }
        if search.scope != Scope::All {
            self.widen(flow, now, out);
            return;
        }
        let unsure_count = search.count_replies(Ownership::Unsure);
        if unsure_count == 0 {
            let (acknowledged, is_conclusive) = (search.acknowledged, search.is_conclusive);
            self.end_not_found(flow, acknowledged, is_conclusive, now, out);
            return;
        }
        if search.trial_sent {
            return;
        }
        search.trial_sent = true;
        search.due = now + TRIAL_TIMEOUT;
        let due = search.due;
        let mut unsure_agents = Vec::with_capacity(unsure_count);
        for (agent, reply) in &search.queried {
            if *reply == Some(Ownership::Unsure) {
                unsure_agents.push(*agent);
            }
        }
        let datagram = search.buffered.first().cloned().unwrap_or_default();
        self.search_timers.push(Reverse((due, *flow)));
        for agent in unsure_agents {
            self.forward(agent, &datagram, out);
        }
    }

    /// Ends a search that has found no owner. The flow is reset only if the replies are conclusive,
    /// this balancer has joined and knows an agent, and its agents have been stable for
    /// [`STABILIZATION_WINDOW`](super::STABILIZATION_WINDOW). Otherwise an agent that has just joined
    /// may be the owner, and the next retransmission of the caller starts a new search.
    fn end_not_found(
        &mut self,
        flow: &FlowKey,
        acknowledged: u32,
        is_conclusive: bool,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let knows_members = self.joined && self.known_agents.summary().count > 0;
        if is_conclusive && knows_members && now >= self.stable_at {
            self.reset_flow(flow, acknowledged, "not_held", now, out);
            return;
        }
        tracing::info!(
            event = "flow_not_found",
            %flow,
            conclusive = is_conclusive,
            joined = self.joined,
            stable = now >= self.stable_at,
            agents = self.known_agents.summary().count,
            view = self.view_version,
        );
        self.metrics.count_search("not_found");
        self.flows.remove(flow);
    }

    /// Handles the timeout of a search: broadcasts the query, repeats it, starts or ends the trial
    /// delivery, or ends the search.
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
        if search.trial_sent {
            self.end_trial(flow, now, out);
            return;
        }
        if search.scope != Scope::All {
            self.widen(flow, now, out);
            return;
        }
        if search.rounds >= MAX_ROUNDS {
            let silent = search.queried.iter().filter(|(_, reply)| reply.is_none());
            let silent: Vec<SocketAddrV4> = silent.map(|(peer, _)| *peer).collect();
            tracing::info!(event = "flow_search_replies_missing", %flow, silent = ?silent);
            self.metrics.count_search("silence");
            for peer in &silent {
                self.fleet.record_unanswered(*peer, now);
            }
            // Missing replies are set to `NotHeld` only to complete the search, so that unsure agents get
            // a trial delivery. An agent that has not replied may hold the flow, so the flow is not
            // reset.
            search.is_conclusive = false;
            for (_, reply) in &mut search.queried {
                reply.get_or_insert(Ownership::NotHeld);
            }
            let has_unsure = search.count_replies(Ownership::Unsure) > 0;
            match has_unsure {
                true => self.advance_if_complete(flow, now, out),
                false => drop(self.flows.remove(flow)),
            }
            return;
        }
        search.rounds += 1;
        search.due = now + QUERY_TIMEOUT;
        let (due, acknowledged) = (search.due, search.acknowledged);
        let silent = search.queried.iter().filter(|(_, reply)| reply.is_none());
        let silent: Vec<SocketAddrV4> = silent.map(|(peer, _)| *peer).collect();
        self.search_timers.push(Reverse((due, *flow)));
        self.send_queries(flow, acknowledged, &silent, out);
    }

    /// Ends a trial delivery: if exactly one agent's server has not returned the segment, that agent
    /// is the owner. Otherwise the search is removed, and a retransmission starts a new one.
    fn end_trial(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(FlowState::Searching(search)) = self.flows.get(flow) else {
            return;
        };
        let replies = search.queried.iter();
        let unsure = replies.filter(|(_, reply)| *reply == Some(Ownership::Unsure));
        let possible_holders: Vec<SocketAddrV4> = unsure.map(|(agent, _)| *agent).collect();
        match possible_holders[..] {
            [agent] => self.end_found(flow, agent, now, out),
            _ => drop(self.flows.remove(flow)),
        }
    }
}
