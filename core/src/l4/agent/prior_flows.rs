//! Flows from before the agent's start, as far as their homes know them.
//!
//! An agent that restarts beside its server has lost its flow table. It asks the other agents of its service
//! which flows are registered there as its own, and answers for these as their owner. Whether the server still
//! holds one shows when a segment is delivered: the server returns those of other flows.

use std::{
    collections::{BTreeMap, HashSet},
    net::SocketAddrV4,
};

use rustc_hash::FxBuildHasher;

use super::Agent;
use crate::{
    clock::Time,
    l4::{
        message::Message,
        outbox::Outbox,
        segment::{self, Codec, FlowKey},
    },
};

/// Number of times that an agent is asked which does not answer.
const MAX_QUESTIONS: u8 = 3;

/// Number of agents that are asked in one interval of registrations.
const MAX_ASKED: usize = 128;

/// Number of prior flows, as a multiple of the flows that the backend server may hold. Flows that have ended
/// stay registered for a while.
const MAX_REGISTERED_SHARE: usize = 4;

/// What is known of the flows that the backend server may hold from before the agent's start.
#[derive(Debug)]
pub(super) struct PriorFlows {
    /// Until when the server may hold any. `None` if it can hold none.
    until: Option<Time>,
    /// Flows that their homes have named, without those that have an entry in the flow table since.
    registered: HashSet<FlowKey, FxBuildHasher>,
    limit: usize,
    /// Agents that have been asked, or will be, with the number of questions; `None` if one has answered.
    asked: BTreeMap<SocketAddrV4, Option<u8>>,
}

impl PriorFlows {
    /// Returns the state of an agent whose server may hold prior flows until a time, and as many flows in all
    /// as `max_flows`.
    pub(super) fn new(until: Time, max_flows: u16) -> Self {
        Self {
            until: Some(until),
            registered: HashSet::default(),
            limit: MAX_REGISTERED_SHARE * usize::from(max_flows),
            asked: BTreeMap::new(),
        }
    }

    /// Returns whether the server may hold prior flows.
    pub(super) fn may_exist(&self) -> bool {
        self.until.is_some()
    }

    /// Records that the server holds no prior flow.
    pub(super) fn clear(&mut self) {
        self.until = None;
        self.registered.clear();
        self.asked.clear();
    }

    pub(super) fn expire(&mut self, now: Time) {
        if self.until.is_some_and(|until| now >= until) {
            self.clear();
        }
    }

    /// Returns whether a home has named the flow.
    pub(super) fn contains(&self, flow: &FlowKey) -> bool {
        self.registered.contains(flow)
    }

    /// Returns the flows that homes have named.
    pub(super) fn iter(&self) -> impl Iterator<Item = &FlowKey> {
        self.registered.iter()
    }

    /// Removes a flow that the server does not hold.
    pub(super) fn remove(&mut self, flow: &FlowKey) {
        self.registered.remove(flow);
    }

    /// Removes the flows that are not to be kept.
    pub(super) fn retain(&mut self, is_kept: impl Fn(&FlowKey) -> bool) {
        self.registered.retain(is_kept);
    }

    /// Adds agents to ask, unless they are known.
    pub(super) fn add_agents(&mut self, agents: impl Iterator<Item = SocketAddrV4>) {
        if !self.may_exist() {
            return;
        }
        for agent in agents {
            self.asked.entry(agent).or_insert(Some(0));
        }
    }

    /// Returns the agents to ask now, and counts the questions.
    fn next_questions(&mut self) -> Vec<SocketAddrV4> {
        let mut agents = Vec::new();
        for (agent, questions) in &mut self.asked {
            let Some(questions) = questions.as_mut().filter(|count| **count < MAX_QUESTIONS) else {
                continue;
            };
            if agents.len() == MAX_ASKED {
                break;
            }
            *questions += 1;
            agents.push(*agent);
        }
        agents
    }

    /// Adds the flows of an agent's answer, and returns the number of new ones.
    fn add(&mut self, agent: SocketAddrV4, flows: impl Iterator<Item = FlowKey>) -> u64 {
        let Some(questions) = self.asked.get_mut(&agent) else {
            return 0;
        };
        *questions = None;
        let before = self.registered.len();
        let room = self.limit.saturating_sub(before);
        self.registered.extend(flows.take(room));
        (self.registered.len() - before) as u64
    }
}

impl<C: Codec> Agent<C> {
    /// Asks agents that have not answered yet which flows are registered there as this agent's.
    pub(super) fn ask_for_registrations(&mut self, out: &mut impl Outbox) {
        for agent in self.prior.next_questions() {
            self.send(agent, &Message::ListRegistrations, &[], out);
        }
    }

    /// Tells an agent which flows are registered here as its own.
    pub(super) fn send_registered(&mut self, owner: SocketAddrV4, out: &mut impl Outbox) {
        let flows: Vec<FlowKey> = self.registry.flows_of(owner).collect();
        // Without flows, an empty list is the answer.
        let lists = flows.chunks(super::registrations::MAX_LIST_FLOWS);
        let empty = flows.is_empty().then_some(&[][..]);
        for list in lists.chain(empty) {
            let list = segment::encode_flows(list);
            self.send(owner, &Message::Registrations, &list, out);
        }
    }

    /// Adds the flows that an agent has registered as this one's.
    pub(super) fn add_registered(&mut self, agent: SocketAddrV4, list: &[u8]) {
        if !self.may_hold_prior_flows() {
            return;
        }
        let flows = segment::decode_flows(list);
        let flows = flows.filter(|flow| self.flows.get(flow).is_none());
        let added = self.prior.add(agent, flows);
        self.metrics.prior_flows.inc_by(added);
    }
}
