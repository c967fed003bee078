//! Looks for the agent that holds a flow: asks those that probably know it, then all, and lets
//! agents that can't tell try.
//!
//! When a balancer joins or leaves the rotation, nearly all flows of a failure domain come to
//! balancers that don't know them. Asking everybody about each would fill a small balancer's link:
//! the first question goes to the balancers of the domain and to the flow's two homes, and the
//! question to everybody has a budget.

pub(super) mod budget;

use std::{cmp::Reverse, net::SocketAddrV4, time::Duration};

use super::{Balancer, Entry};
use crate::{
    clock::Time,
    l4::{
        message::{Message, Ownership},
        outbox::Outbox,
        segment::{Codec, FlowKey, Segment},
    },
    member::KnownAgents,
};

/// Time in which those that probably know a flow answer; then all are asked.
const LIKELY_TIME: Duration = Duration::from_millis(8);

/// Time after which agents that have not answered are asked again.
const ANSWER_TIME: Duration = Duration::from_millis(25);

/// Bytes of a question or an answer on the wire, with all headers.
const QUESTION_BYTES: u64 = 100;

/// Times that agents are asked.
const ROUNDS: u8 = 4;

/// Time in which a backend server returns a segment that it does not hold.
const TEST_TIME: Duration = Duration::from_millis(40);

/// Segments that wait for the end of a search; callers have at most 16 on their way.
const MAX_WAITING: usize = 16;

/// Time after which a search is forgotten.
const SEARCH_TIME: Duration = Duration::from_secs(2);

/// A flow whose owner is looked for.
#[derive(Clone, Debug)]
pub(super) struct Search {
    /// What the caller acknowledged.
    pub(super) acknowledged: u32,
    waiting: Vec<Box<[u8]>>,
    /// Agents with what they said.
    asked: Vec<(SocketAddrV4, Option<Ownership>)>,
    rounds: u8,
    /// Whether only those that probably know the flow have been asked.
    narrow: bool,
    /// Whether agents that can't tell have been sent a segment.
    testing: bool,
    due: Time,
    /// Whether nobody who answered knows agents that this balancer does not.
    agreed: bool,
    pub(super) expires: Time,
}

impl Search {
    /// Keeps a segment until the search ends.
    pub(super) fn keep(&mut self, datagram: &[u8]) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push(datagram.into());
        }
    }

    fn note(&mut self, agent: SocketAddrV4, ownership: Ownership) {
        for (asked, said) in &mut self.asked {
            if *asked == agent {
                *said = Some(ownership);
            }
        }
    }

    /// Returns whether a flow can be at an agent that a balancer remembers as its owner: the agent
    /// has not said otherwise.
    fn can_be_at(&self, agent: SocketAddrV4) -> bool {
        let said = self.asked.iter().find(|(asked, _)| *asked == agent);
        said.is_none_or(|(_, said)| said.is_none())
    }

    fn count(&self, ownership: Ownership) -> usize {
        let same = self
            .asked
            .iter()
            .filter(|(_, said)| *said == Some(ownership));
        same.count()
    }
}

impl<C: Codec> Balancer<C> {
    /// Starts to look for the owner of a flow.
    pub(super) fn search(
        &mut self,
        flow: &FlowKey,
        segment: &Segment,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let due = now + LIKELY_TIME;
        let service = self.service_of(flow).unwrap_or_default();
        let mut asked = self.fleet.likely(service.tag(), flow);
        asked.retain(|peer| *peer != self.own);
        let search = Search {
            acknowledged: segment.acknowledged,
            waiting: vec![datagram.into()],
            asked: asked.iter().map(|peer| (*peer, None)).collect(),
            rounds: 1,
            narrow: true,
            testing: false,
            due,
            agreed: true,
            expires: now + SEARCH_TIME,
        };
        tracing::info!(
            event = "flow_searched",
            %flow,
            request = self.codec.request_id(datagram).unwrap_or("-"),
            asked = search.asked.len(),
            routes = self.routes.version,
            view = self.view_version,
        );
        self.insert(flow, Entry::Searching(search));
        self.searches.push(Reverse((due, *flow)));
        self.ask(flow, segment.acknowledged, &asked, out);
    }

    /// Asks all that have not been asked.
    fn widen(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let service = self.service_of(flow).unwrap_or_default();
        let Some(Entry::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let mut others = self.fleet.holders(service.tag(), now);
        others.extend(self.departures.doubtful());
        let known = &search.asked;
        others.retain(|peer| known.iter().all(|(asked, _)| asked != peer));
        if !self.budget.take(others.len() as u64 * QUESTION_BYTES, now) {
            tracing::info!(event = "flow_search_postponed", %flow, asked = others.len());
            self.counts.count_search("postponed");
            self.flows.remove(flow);
            return;
        }
        // Balancers only remember; a silent one says nothing about who holds the flow.
        let fleet = &self.fleet;
        search
            .asked
            .retain(|(peer, said)| said.is_some() || fleet.get(*peer).is_some());
        search.narrow = false;
        search.rounds += 1;
        search.due = now + ANSWER_TIME;
        search.asked.extend(others.iter().map(|peer| (*peer, None)));
        let (due, acknowledged) = (search.due, search.acknowledged);
        self.searches.push(Reverse((due, *flow)));
        self.ask(flow, acknowledged, &others, out);
        self.conclude(flow, now, out);
    }

    fn ask(
        &mut self,
        flow: &FlowKey,
        acknowledged: u32,
        agents: &[SocketAddrV4],
        out: &mut impl Outbox,
    ) {
        let find = Message::Find {
            flow: *flow,
            acknowledged,
        };
        for agent in agents {
            self.send(*agent, &find, &[], out);
        }
    }

    /// Takes the answer of an agent or a balancer about a flow, with the agents that it knows.
    pub(super) fn found(
        &mut self,
        flow: &FlowKey,
        from: SocketAddrV4,
        (ownership, agents): (Ownership, KnownAgents),
        now: Time,
        out: &mut impl Outbox,
    ) {
        let own_agents = self.agents;
        let Some(Entry::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        search.agreed &= own_agents.covers(&agents);
        match ownership {
            Ownership::Held => self.resolve(flow, from, now, out),
            Ownership::HeldBy(agent) if search.can_be_at(agent) => {
                self.resolve(flow, agent, now, out)
            }
            Ownership::HeldBy(_) | Ownership::NotHeld => {
                search.note(from, Ownership::NotHeld);
                self.conclude(flow, now, out);
            }
            Ownership::Unsure if search.testing => {}
            Ownership::Unsure => {
                search.note(from, ownership);
                self.conclude(flow, now, out);
            }
        }
    }

    /// Takes back a segment of a flow that an agent does not hold.
    pub(super) fn not_held(
        &mut self,
        segment: &Segment,
        agent: SocketAddrV4,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let flow = segment.flow_of_caller();
        match self.flows.get_mut(&flow) {
            Some(Entry::Searching(search)) => {
                search.note(agent, Ownership::NotHeld);
                self.conclude(&flow, now, out);
            }
            Some(Entry::Owned(owned)) if owned.agent != agent => {
                let owner = owned.agent;
                self.carry(owner, datagram, out);
            }
            Some(Entry::Lost { .. } | Entry::Opening(_)) => {}
            _ => {
                self.search(&flow, segment, datagram, now, out);
                if let Some(Entry::Searching(search)) = self.flows.get_mut(&flow) {
                    search.note(agent, Ownership::NotHeld);
                }
            }
        }
    }

    /// Ends a search with success.
    pub(super) fn resolve(
        &mut self,
        flow: &FlowKey,
        agent: SocketAddrV4,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(Entry::Searching(search)) = self.flows.remove(flow) else {
            return;
        };
        tracing::info!(event = "flow_found", %flow, %agent, rounds = search.rounds);
        self.counts.count_search("found");
        self.own(flow, agent, search.acknowledged, now);
        // A test has brought the first segment to the agent.
        let delivered = usize::from(search.testing);
        for datagram in search.waiting.iter().skip(delivered) {
            self.carry(agent, datagram, out);
        }
    }

    /// Ends a search if all answers are there.
    fn conclude(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(Entry::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        let open = search.asked.iter().any(|(_, said)| said.is_none());
        if open {
            return;
        }
        if search.narrow {
            self.widen(flow, now, out);
            return;
        }
        let unsure = search.count(Ownership::Unsure);
        if unsure == 0 {
            let (acknowledged, agreed) = (search.acknowledged, search.agreed);
            self.miss(flow, acknowledged, agreed, now, out);
            return;
        }
        if search.testing {
            return;
        }
        search.testing = true;
        search.due = now + TEST_TIME;
        let due = search.due;
        let mut testers = Vec::with_capacity(unsure);
        for (agent, said) in &search.asked {
            if *said == Some(Ownership::Unsure) {
                testers.push(*agent);
            }
        }
        let datagram = search.waiting.first().cloned().unwrap_or_default();
        self.searches.push(Reverse((due, *flow)));
        for agent in testers {
            self.carry(agent, &datagram, out);
        }
    }

    /// Notes that no agent holds a flow. Its caller is told if this balancer knows all agents: else
    /// the owner may be one that has just joined, and the caller's next copy starts a new search.
    fn miss(
        &mut self,
        flow: &FlowKey,
        acknowledged: u32,
        agreed: bool,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let knows = self.joined && self.agents.count > 0;
        if agreed && knows && now >= self.complete {
            self.lose(flow, acknowledged, "not_held", now, out);
            return;
        }
        tracing::info!(
            event = "flow_not_found",
            %flow,
            agreed,
            joined = self.joined,
            quiet = now >= self.complete,
            agents = self.agents.count,
            view = self.view_version,
        );
        self.counts.count_search("not_found");
        self.flows.remove(flow);
    }

    /// Goes on with a search whose answers are late.
    pub(super) fn search_overdue(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(Entry::Searching(search)) = self.flows.get_mut(flow) else {
            return;
        };
        if now < search.due {
            return;
        }
        if search.testing {
            self.end_test(flow, now, out);
            return;
        }
        if search.narrow {
            self.widen(flow, now, out);
            return;
        }
        if search.rounds >= ROUNDS {
            let silent = search.asked.iter().filter(|(_, said)| said.is_none());
            let silent: Vec<SocketAddrV4> = silent.map(|(peer, _)| *peer).collect();
            tracing::info!(event = "flow_search_ended", %flow, silent = ?silent);
            self.counts.count_search("silence");
            for peer in &silent {
                self.fleet.unanswered(*peer, now);
            }
            // Agents that can't tell may try, although others have not answered; but silence is no
            // proof that a flow is not held.
            search.agreed = false;
            for (_, said) in &mut search.asked {
                said.get_or_insert(Ownership::NotHeld);
            }
            let unsure = search.count(Ownership::Unsure) > 0;
            match unsure {
                true => self.conclude(flow, now, out),
                false => drop(self.flows.remove(flow)),
            }
            return;
        }
        search.rounds += 1;
        search.due = now + ANSWER_TIME;
        let (due, acknowledged) = (search.due, search.acknowledged);
        let silent = search.asked.iter().filter(|(_, said)| said.is_none());
        let silent: Vec<SocketAddrV4> = silent.map(|(agent, _)| *agent).collect();
        self.searches.push(Reverse((due, *flow)));
        self.ask(flow, acknowledged, &silent, out);
    }

    /// Ends a test: the one agent whose server has not returned the segment holds the flow.
    fn end_test(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(Entry::Searching(search)) = self.flows.get(flow) else {
            return;
        };
        let unsure = search.asked.iter();
        let unsure = unsure.filter(|(_, said)| *said == Some(Ownership::Unsure));
        let holders: Vec<SocketAddrV4> = unsure.map(|(agent, _)| *agent).collect();
        match holders[..] {
            [agent] => self.resolve(flow, agent, now, out),
            _ => drop(self.flows.remove(flow)),
        }
    }
}
