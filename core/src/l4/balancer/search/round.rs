//! Rounds: one query to each possible owner on behalf of all searches that wait.
//!
//! A query for each flow to each agent would fill the link of a small balancer when thousands of flows
//! arrive at balancers that have no entry for them: after a loss of power, or when the fabric adds or
//! removes a balancer. The cost of a round depends on the number of agents only. There is one round at a
//! time, so that slow agents and a full link delay rounds instead of piling them up. Replies to an earlier
//! round, and all but the first of an agent, are ignored.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
    time::Duration,
};

use super::{
    Balancer, Stage,
    query::{MAX_TRIES, QUERY_BYTES, QUERY_TIMEOUT},
};
use crate::{
    clock::Time,
    l4::{
        balancer::FlowState,
        flow_set::{FlowHash, FlowSet},
        message::{Message, Ownership},
        outbox::Outbox,
        segment::{Codec, FlowKey},
    },
    member::KnownAgents,
    owner_id::ServiceTag,
};

/// Shortest time between the starts of two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Size of a reply on the wire without its filter.
const REPLY_BYTES: u64 = 100;

/// The searches that wait for a round, and the round that runs.
#[derive(Clone, Debug)]
pub(in crate::l4::balancer) struct Rounds {
    /// Number of the last round.
    number: u32,
    waiting: Vec<FlowKey>,
    current: Option<Round>,
    /// Earliest start of the next round.
    next_start: Time,
}

#[derive(Clone, Debug)]
struct Round {
    number: u32,
    started: Time,
    /// When the agents that have not replied are queried again.
    due: Time,
    tries: u8,
    flows: Vec<RoundFlow>,
    /// Possible owners of the flows of each service.
    owners: HashMap<ServiceTag, Vec<SocketAddrV4>>,
    /// Queried agents, with whether they are sure once they have replied.
    replies: BTreeMap<SocketAddrV4, Option<bool>>,
    /// Whether no agent that replied knows an agent that is unknown here.
    knows_all: bool,
}

#[derive(Clone, Copy, Debug)]
struct RoundFlow {
    key: FlowKey,
    hash: FlowHash,
    service: ServiceTag,
}

impl Rounds {
    /// Returns no rounds; the first one has the number after `number`, which must be random.
    pub(in crate::l4::balancer) fn new(number: u32) -> Self {
        Self {
            number,
            waiting: Vec::new(),
            current: None,
            next_start: Time::default(),
        }
    }

    /// Returns when [`Balancer::run_rounds`] must run next, or `None` if no search waits.
    pub(in crate::l4::balancer) fn due(&self) -> Option<Time> {
        match &self.current {
            Some(round) => Some(round.due),
            None => (!self.waiting.is_empty()).then_some(self.next_start),
        }
    }
}

impl<C: Codec> Balancer<C> {
    /// Lets a search take part in the next round.
    pub(super) fn wait_for_round(&mut self, flow: &FlowKey) {
        if let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) {
            search.stage = Stage::Waiting;
            self.rounds.waiting.push(*flow);
        }
    }

    /// Repeats the queries of the present round or ends it, and starts the next one, when they are due.
    pub(in crate::l4::balancer) fn run_rounds(&mut self, now: Time, out: &mut impl Outbox) {
        if let Some(round) = &mut self.rounds.current
            && now >= round.due
        {
            if round.tries < MAX_TRIES {
                self.query_round(now, out);
            } else {
                self.finish_round(now, out);
            }
        }
        if self.rounds.current.is_some() || self.rounds.waiting.is_empty() {
            return;
        }
        self.rounds.next_start = self.rounds.next_start.max(self.budget.available_at(now));
        if now >= self.rounds.next_start {
            self.start_round(now, out);
        }
    }

    fn start_round(&mut self, now: Time, out: &mut impl Outbox) {
        let number = self.rounds.number.wrapping_add(1);
        self.rounds.number = number;
        self.rounds.next_start = now + ROUND_INTERVAL;
        let waiting = std::mem::take(&mut self.rounds.waiting);
        let mut round = Round {
            number,
            started: now,
            due: now,
            tries: 0,
            flows: Vec::with_capacity(waiting.len()),
            owners: HashMap::new(),
            replies: BTreeMap::new(),
            knows_all: true,
        };
        for key in waiting {
            let service = self.service_of(&key).unwrap_or_default().tag();
            let Some(FlowState::Searching(search)) = self.flows.get_mut(&key) else {
                continue;
            };
            if search.stage != Stage::Waiting {
                continue;
            }
            search.stage = Stage::Round(number);
            if search.rounds == 0 {
                search.unanswered = search.agents_with(None);
            }
            search.rounds += 1;
            search.tries = 0;
            search.round_started = now;
            search.is_conclusive = true;
            search.queried.clear();
            let hash = FlowHash::new(&key, number);
            round.flows.push(RoundFlow { key, hash, service });
            round.owners.entry(service).or_insert_with(|| {
                let mut owners = self.fleet.possible_owners(service, now);
                owners.extend(self.dead_agents.addresses());
                // An agent that was declared dead may have come back since.
                let owners: BTreeSet<SocketAddrV4> = owners.into_iter().collect();
                owners.into_iter().collect()
            });
        }
        if round.flows.is_empty() {
            return;
        }
        for owner in round.owners.values().flatten() {
            round.replies.insert(*owner, None);
        }
        self.rounds.current = Some(round);
        self.query_round(now, out);
        self.finish_round_if_complete(now, out);
    }

    /// Queries the agents that have not replied to the present round.
    fn query_round(&mut self, now: Time, out: &mut impl Outbox) {
        let Some(round) = &mut self.rounds.current else {
            return;
        };
        round.tries += 1;
        let bytes = round.replies.len() as u64 * (QUERY_BYTES + REPLY_BYTES);
        round.due = now + QUERY_TIMEOUT.max(self.budget.link_time(bytes));
        let query = Message::ListFlows {
            round: round.number,
        };
        let silent = round.replies.iter().filter(|(_, reply)| reply.is_none());
        let silent: Vec<SocketAddrV4> = silent.map(|(agent, _)| *agent).collect();
        self.budget.charge(silent.len() as u64 * QUERY_BYTES);
        for agent in silent {
            self.send(agent, &query, &[], out);
        }
    }

    /// Handles the reply of an agent to a round: queries the agent for the flows that its filter contains.
    pub(in crate::l4::balancer) fn handle_held_flows(
        &mut self,
        from: SocketAddrV4,
        (number, sure, agents): (u32, bool, KnownAgents),
        filter: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        self.budget.charge(REPLY_BYTES + filter.len() as u64);
        let is_awaited = self.rounds.current.as_ref().is_some_and(|round| {
            round.number == number && round.replies.get(&from).is_some_and(Option::is_none)
        });
        if !is_awaited {
            return;
        }
        let knows_all = self.compare_known_agents(from, &agents);
        let Some(round) = &mut self.rounds.current else {
            return;
        };
        let Some(reply) = round.replies.get_mut(&from) else {
            return;
        };
        let Some(held) = FlowSet::decode(filter) else {
            tracing::debug!(event = "held_flows_rejected", agent = %from, bytes = filter.len());
            return;
        };
        *reply = Some(sure);
        round.knows_all &= knows_all;
        let contained = round.flows.iter().filter(|flow| held.contains(flow.hash));
        let contained: Vec<FlowKey> = contained.map(|flow| flow.key).collect();
        for flow in contained {
            let Some(FlowState::Searching(search)) = self.flows.get_mut(&flow) else {
                continue;
            };
            if search.stage != Stage::Round(number) {
                continue;
            }
            search.queried.push((from, None));
            let acknowledged = search.acknowledged;
            self.budget.charge(QUERY_BYTES);
            self.send_queries(&flow, acknowledged, &[from], out);
        }
        self.finish_round_if_complete(now, out);
    }

    fn finish_round_if_complete(&mut self, now: Time, out: &mut impl Outbox) {
        let round = self.rounds.current.as_ref();
        if round.is_some_and(|round| round.replies.values().all(Option::is_some)) {
            self.finish_round(now, out);
        }
    }

    /// Ends the present round: its searches go on with the agents that may hold their flows.
    fn finish_round(&mut self, now: Time, out: &mut impl Outbox) {
        let Some(round) = self.rounds.current.take() else {
            return;
        };
        let silent = round.replies.values().filter(|reply| reply.is_none());
        let silent = silent.count();
        if silent > 0 {
            // Half of the budget is left for the queries to the agents that ignore rounds.
            let bytes = round.replies.len() as u64 * (QUERY_BYTES + REPLY_BYTES);
            let next_start = round.started + self.budget.time_for(2 * bytes);
            self.rounds.next_start = self.rounds.next_start.max(next_start);
        }
        tracing::info!(
            event = "search_round_ended",
            round = round.number,
            flows = round.flows.len(),
            asked = round.replies.len(),
            silent,
            took_us = now.since(round.started).as_micros() as u64,
        );
        for flow in &round.flows {
            let Some(FlowState::Searching(search)) = self.flows.get_mut(&flow.key) else {
                continue;
            };
            if search.stage != Stage::Round(round.number) {
                continue;
            }
            search.stage = Stage::Agents;
            // A round that no agent was asked in proves nothing.
            search.is_conclusive &= round.knows_all && !round.replies.is_empty();
            search.all_sure = true;
            let mut has_silent = false;
            for owner in round.owners.get(&flow.service).into_iter().flatten() {
                let reply = round.replies.get(owner).copied().flatten();
                search.all_sure &= reply == Some(true);
                if search.queried.iter().any(|(agent, _)| agent == owner) {
                    continue;
                }
                match reply {
                    Some(true) => {}
                    Some(false) => search.queried.push((*owner, Some(Ownership::Unsure))),
                    None => {
                        has_silent = true;
                        search.queried.push((*owner, None));
                    }
                }
            }
            // A round tells what an agent holds, not what is registered with it. The owner may be outside
            // the round, so a home whose reply was lost is queried again.
            for agent in &search.unanswered {
                let is_queried = search.queried.iter().any(|(queried, _)| queried == agent);
                if !is_queried && self.fleet.get(*agent).is_some() {
                    has_silent = true;
                    search.all_sure &= round.replies.get(agent).copied().flatten() == Some(true);
                    search.queried.push((*agent, None));
                }
            }
            if has_silent {
                self.query_agents(&flow.key, now, out);
                continue;
            }
            search.tries = 1;
            self.set_due(&flow.key, now + QUERY_TIMEOUT);
            self.advance_if_complete(&flow.key, now, out);
        }
    }
}
