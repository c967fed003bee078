//! Rounds: one query to each agent on behalf of all searches that wait.
//!
//! A round asks every agent of the fleet, whatever the routes say: an earlier route table may have sent a
//! flow to another service than the present one does, and an agent that was not asked proves nothing. The
//! agents are asked in batches, those of the services that the routes name for the flows first, and the
//! round ends as soon as all its searches have found an owner. So only flows that are lost, or that another
//! service holds, cost a query to each agent of a large fleet.
//!
//! A query for each flow to each agent would fill the link of a small balancer when thousands of flows
//! arrive at balancers that have no entry for them: after a loss of power, or when the fabric adds or
//! removes a balancer. The cost of a round depends on the number of agents only. There is one round at a
//! time, so that slow agents and a full link delay rounds instead of piling them up. Replies to an earlier
//! round, and all but the first of an agent, are ignored.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use super::{
    Balancer, Stage,
    evidence::Evidence,
    query::{MAX_BATCH, MAX_TRIES, QUERY_BYTES, QUERY_TIMEOUT},
};
use crate::{
    clock::Time,
    l4::{
        balancer::{FlowState, silence::Absence},
        flow_set::{FlowHash, FlowSet},
        message::{Message, Ownership},
        outbox::Outbox,
        routes::ServiceKey,
        segment::{Codec, FlowKey},
    },
    member::KnownAgents,
};

/// Shortest time between the starts of two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which a round looks whether the queries to the holders of its flows have been answered, before
/// it asks further agents.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Number of times that a round does so, after which it asks further agents.
const MAX_HOLDER_CHECKS: u8 = 4;

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
    /// When the agents of the batch that have not replied are queried again, or the next batch may begin.
    due: Time,
    /// Number of queries to the present batch.
    tries: u8,
    flows: Vec<RoundFlow>,
    /// Number of checks since the present batch replied.
    checks: u8,
    /// Agents that are asked at present.
    batch: Vec<SocketAddrV4>,
    /// Agents of the batches to come, in the order in which they are asked.
    unasked: Vec<SocketAddrV4>,
    /// Agents that have been asked, with whether they are sure once they have replied.
    replies: BTreeMap<SocketAddrV4, Option<bool>>,
    /// Agents that replied that they know agents unknown here.
    informed: Vec<(SocketAddrV4, KnownAgents)>,
}

/// What a round has shown by its end.
#[derive(Clone, Debug)]
struct Outcome {
    evidence: Evidence,
    /// Agents that know all flows of their servers.
    sure: Arc<[SocketAddrV4]>,
    /// Agents that may lack flows of their servers.
    unsure: Vec<SocketAddrV4>,
    /// Agents that have not replied and may live.
    silent: Vec<SocketAddrV4>,
}

#[derive(Clone, Copy, Debug)]
struct RoundFlow {
    key: FlowKey,
    hash: FlowHash,
}

impl Round {
    fn is_batch_complete(&self) -> bool {
        let replied = |agent| self.replies.get(agent).is_some_and(Option::is_some);
        self.batch.iter().all(replied)
    }

    /// Returns the agents that were asked and gave a certain reply, or none.
    fn agents_with(&self, reply: Option<bool>) -> Vec<SocketAddrV4> {
        let same = self.replies.iter().filter(|(_, given)| **given == reply);
        same.map(|(agent, _)| *agent).collect()
    }
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

    /// Repeats the queries of the present batch, asks the next one or ends the round, and starts the next
    /// round, when they are due.
    pub(in crate::l4::balancer) fn run_rounds(&mut self, now: Time, out: &mut impl Outbox) {
        if let Some(round) = &self.rounds.current
            && now >= round.due
        {
            match round.tries < MAX_TRIES && !round.is_batch_complete() {
                true => self.query_batch(now, out),
                false => self.start_batch(now, out),
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
        let mut flows = Vec::with_capacity(waiting.len());
        let mut services = BTreeSet::new();
        for key in waiting {
            let service = self.service_of(&key);
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
            search.queried.clear();
            search.holders.clear();
            let hash = FlowHash::new(&key, number);
            flows.push(RoundFlow { key, hash });
            services.extend(service.map(ServiceKey::tag));
        }
        if flows.is_empty() {
            return;
        }
        let mut unasked = self.fleet.possible_owners(&services);
        // An agent that was declared dead may have come back since.
        let dead = self.dead_agents.addresses();
        let dead: Vec<_> = dead.filter(|agent| !unasked.contains(agent)).collect();
        unasked.extend(dead);
        // Absent agents come last: their batch ends only after all tries.
        let is_absent = |agent: &SocketAddrV4| self.silences.absence(*agent, now).is_some();
        unasked.sort_by_key(is_absent);
        self.rounds.current = Some(Round {
            number,
            started: now,
            due: now,
            tries: 0,
            checks: 0,
            flows,
            batch: Vec::new(),
            unasked,
            replies: BTreeMap::new(),
            informed: Vec::new(),
        });
        self.start_batch(now, out);
    }

    /// Asks the next agents of the present round once the budget allows it. Ends the round if all agents
    /// have been asked, or none of its searches still needs them.
    fn start_batch(&mut self, now: Time, out: &mut impl Outbox) {
        let Some(round) = &mut self.rounds.current else {
            return;
        };
        let stage = Stage::Round(round.number);
        let mut is_needed = false;
        let mut needs_others = false;
        for flow in &round.flows {
            let Some(FlowState::Searching(search)) = self.flows.get(&flow.key) else {
                continue;
            };
            is_needed |= search.stage == stage;
            needs_others |= search.stage == stage && !search.has_missing_replies();
        }
        if round.unasked.is_empty() || !is_needed {
            self.finish_round(now, out);
            return;
        }
        round.batch.clear();
        if !needs_others && round.checks < MAX_HOLDER_CHECKS {
            round.checks += 1;
            round.due = now + HOLDER_CHECK_INTERVAL;
            return;
        }
        round.due = self.budget.available_at(now);
        if now < round.due {
            return;
        }
        round.checks = 0;
        let later = round.unasked.split_off(MAX_BATCH.min(round.unasked.len()));
        round.batch = std::mem::replace(&mut round.unasked, later);
        round.tries = 0;
        for agent in &round.batch {
            round.replies.insert(*agent, None);
        }
        self.query_batch(now, out);
    }

    /// Queries the agents of the present batch that have not replied.
    fn query_batch(&mut self, now: Time, out: &mut impl Outbox) {
        let Some(round) = &mut self.rounds.current else {
            return;
        };
        round.tries += 1;
        let bytes = round.batch.len() as u64 * (QUERY_BYTES + REPLY_BYTES);
        round.due = now + QUERY_TIMEOUT.max(self.budget.link_time(bytes));
        let query = Message::ListFlows {
            round: round.number,
        };
        let mut silent = round.batch.clone();
        silent.retain(|agent| round.replies.get(agent) == Some(&None));
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
        if !knows_all {
            round.informed.push((from, agents));
        }
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
            search.holders.push(from);
            let acknowledged = search.acknowledged;
            self.budget.charge(QUERY_BYTES);
            self.send_queries(&flow, acknowledged, &[from], out);
        }
        let round = self.rounds.current.as_ref();
        if round.is_some_and(Round::is_batch_complete) {
            self.start_batch(now, out);
        }
    }

    /// Ends the present round: its searches go on with the agents that may hold their flows.
    fn finish_round(&mut self, now: Time, out: &mut impl Outbox) {
        let Some(round) = self.rounds.current.take() else {
            return;
        };
        let mut silent = round.agents_with(None);
        let unsure = round.agents_with(Some(false));
        let sure: Arc<[SocketAddrV4]> = round.agents_with(Some(true)).into();
        let mut absent = Vec::new();
        for agent in std::mem::take(&mut silent) {
            self.record_unanswered(agent, now);
            match self.silences.absence(agent, now) {
                Some(absence) => absent.push(absence),
                None => silent.push(agent),
            }
        }
        let unreachable: Arc<[Absence]> = absent.into();
        if !silent.is_empty() || !unsure.is_empty() {
            // Half of the budget is left for the queries to the agents that ignore rounds, and for trial
            // deliveries.
            let bytes = round.replies.len() as u64 * (QUERY_BYTES + REPLY_BYTES);
            let next_start = round.started + self.budget.time_for(2 * bytes);
            self.rounds.next_start = self.rounds.next_start.max(next_start);
        }
        tracing::info!(
            event = "search_round_ended",
            round = round.number,
            flows = round.flows.len(),
            asked = round.replies.len(),
            silent = silent.len(),
            unsure = unsure.len(),
            unasked = round.unasked.len(),
            unreachable = describe(&unreachable),
            took_us = now.since(round.started).as_micros() as u64,
        );
        let counts = [
            ("sure", sure.len()),
            ("unsure", unsure.len()),
            ("silent", silent.len()),
            ("unreachable", unreachable.len()),
            ("not_asked", round.unasked.len()),
        ];
        self.metrics.count_replies(&counts);
        let outcome = Outcome {
            evidence: Evidence {
                round: round.number,
                sure: sure.len(),
                unsure: unsure.len(),
                unreachable,
            },
            sure,
            unsure,
            silent,
        };
        for flow in &round.flows {
            self.apply_outcome(&flow.key, &round, &outcome, now, out);
        }
    }

    /// Records the outcome of a round in a search that took part in it. Queries the agents that have not replied
    /// for the flow, or decides the search.
    fn apply_outcome(
        &mut self,
        flow: &FlowKey,
        round: &Round,
        outcome: &Outcome,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        if search.stage != Stage::Round(round.number) {
            return;
        }
        search.stage = Stage::Agents;
        search.evidence = outcome.evidence.clone();
        // The last reply of a process that is silent now stands, unless the process is gone or its agents are
        // known meanwhile.
        let (known, fleet, silences) = (&mut self.known_agents, &self.fleet, &self.silences);
        search.informed.retain(|peer, agents| {
            let has_replied = matches!(round.replies.get(peer), Some(Some(_)));
            let is_awaited = fleet.is_live(*peer) && silences.absence(*peer, now).is_none();
            !has_replied && is_awaited && !known.includes(agents)
        });
        search.informed.extend(round.informed.iter().copied());
        search.all_sure = outcome.silent.is_empty() && outcome.unsure.is_empty();
        // An agent whose filter contains the flow has denied it only once it replies so.
        if !search.has_missing_replies() && search.is_current() {
            search.denials.add_round(&outcome.sure);
        }
        let mut has_silent = false;
        for agent in &outcome.silent {
            if !is_queried(&search.queried, *agent) && !search.denials.contains(*agent) {
                // An agent that is in a series of queries already would not answer another one.
                has_silent |= !silences.is_older(*agent, round.started);
                search.queried.push((*agent, None));
            }
        }
        for agent in &outcome.unsure {
            if !is_queried(&search.queried, *agent) {
                search.queried.push((*agent, Some(Ownership::Unsure)));
            }
        }
        // A round tells what an agent holds, not what is registered with it. The owner may be outside the round,
        // so a home whose reply was lost is queried again.
        for agent in &search.unanswered {
            if fleet.is_live(*agent) && !is_queried(&search.queried, *agent) {
                has_silent |= !silences.is_older(*agent, round.started);
                search.all_sure &= round.replies.get(agent).copied().flatten() == Some(true);
                search.queried.push((*agent, None));
            }
        }
        // Replies of agents whose filters contain the flow may be missing.
        let awaits_holder = search.holders.iter().any(|agent| search.is_missing(*agent));
        if has_silent {
            self.query_agents(flow, now, out);
        } else if awaits_holder {
            search.tries = 1;
            self.set_due(flow, now + QUERY_TIMEOUT);
        } else {
            search.tries = MAX_TRIES;
            self.decide(flow, now, out);
        }
    }
}

/// Returns the absent agents as one field of a log line.
pub(super) fn describe(absent: &[Absence]) -> String {
    let absent: Vec<String> = absent.iter().map(Absence::to_string).collect();
    format!("[{}]", absent.join(", "))
}

fn is_queried(queried: &[(SocketAddrV4, Option<Ownership>)], agent: SocketAddrV4) -> bool {
    queried.iter().any(|(known, _)| *known == agent)
}
