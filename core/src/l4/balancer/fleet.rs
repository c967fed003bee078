//! Agents as one balancer knows them, from the membership and from their messages.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
    time::Duration,
};

use crate::{
    clock::Time,
    l4::{
        choice::{AgentCandidate, ramp_share},
        homes::Homes,
        message::Refusal,
        segment::FlowKey,
        workload::Load,
    },
    member::{MemberState, Role, View},
    owner_id::{Incarnation, ServiceTag},
};

/// Time for which an agent that did not reply to an opening in time gets new flows only if no other
/// agent can take them.
const TIMEOUT_BACKOFF: Duration = Duration::from_secs(1);

/// Time for which an agent that refused a flow for another reason than `Busy` or `Failing` gets new
/// flows only if no other agent can take them. Both backoffs end when the agent
/// accepts a flow or lets it wait.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(300);

/// Time over which load returns to a failure domain after its evacuation.
pub const RAMP_TIME: Duration = Duration::from_secs(5);

/// State and load of one agent.
#[derive(Clone, Debug)]
pub struct AgentEntry {
    /// Failure domain in the agent's membership record.
    domain: String,
    /// Service in the agent's membership record.
    pub service: ServiceTag,
    /// State in the agent's membership record.
    pub state: MemberState,
    is_local: bool,
    load: Load,
    placed: u16,
    backoff_until: Time,
    /// When the agent gets its full share of new flows after an evacuation of its domain.
    ramp_end: Time,
    /// Incarnation and version of the agent's membership record.
    announced: (Incarnation, u64),
}

impl AgentEntry {
    fn is_avoided(&self, now: Time) -> bool {
        now < self.backoff_until || self.load.failing
    }
}

/// Changes of the agents between two views.
#[derive(Clone, Debug, Default)]
pub struct AgentChanges {
    /// Agents that have left, were declared dead or have disappeared.
    pub gone: Vec<SocketAddrV4>,
    /// Whether an agent has appeared, or come back.
    pub has_new: bool,
    /// Agents that the membership has begun to suspect.
    pub suspected: Vec<SocketAddrV4>,
    /// Agents that have announced a newer record: they live, or lived when they announced it.
    pub renewed: Vec<SocketAddrV4>,
}

/// All agents of the view.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    agents: BTreeMap<SocketAddrV4, AgentEntry>,
    homes: HashMap<ServiceTag, Homes>,
    /// Agents of each service that are not gone, in the order of their addresses.
    service_agents: HashMap<ServiceTag, Vec<SocketAddrV4>>,
    /// Failure domains whose agents get no new flows.
    evacuated: BTreeSet<String>,
    /// Ends of the ramps of domains whose evacuation has ended.
    ramp_ends: BTreeMap<String, Time>,
}

impl Fleet {
    /// Updates the members from a view; returns the changes since the last one.
    pub fn apply_view(&mut self, view: &View, domain: &str) -> AgentChanges {
        let mut changes = AgentChanges::default();
        self.update_services(view);
        for (address, record) in &view.members {
            if record.role != Role::Agent {
                continue;
            }
            let is_gone = record.state.is_gone();
            let was_live = self.is_live(*address);
            changes.has_new |= !is_gone && !was_live;
            if is_gone && was_live {
                changes.gone.push(*address);
            }
            let announced = (record.incarnation, record.version);
            let ramp_end = self.ramp_ends.get(&record.domain).copied();
            let agent = self.agents.entry(*address).or_insert_with(|| AgentEntry {
                domain: record.domain.clone(),
                service: record.service,
                state: record.state,
                is_local: record.domain == domain,
                load: Load::default(),
                placed: 0,
                backoff_until: Time::default(),
                ramp_end: ramp_end.unwrap_or_default(),
                announced,
            });
            let is_suspect = record.state == MemberState::Suspect;
            if is_suspect && agent.state != MemberState::Suspect {
                changes.suspected.push(*address);
            }
            if announced > agent.announced {
                changes.renewed.push(*address);
            }
            agent.announced = announced;
            agent.state = record.state;
            agent.service = record.service;
            if agent.domain != record.domain {
                agent.domain.clone_from(&record.domain);
            }
        }
        let members = &view.members;
        self.agents.retain(|address, agent| {
            let known = members.contains_key(address);
            if !known && !agent.state.is_gone() {
                changes.gone.push(*address);
            }
            known
        });
        changes
    }

    /// Returns the agent at a data address, or `None` if the last view does not have it.
    pub fn get(&self, address: SocketAddrV4) -> Option<&AgentEntry> {
        self.agents.get(&address)
    }

    /// Returns whether an agent is known, and neither dead nor left.
    pub fn is_live(&self, address: SocketAddrV4) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| !agent.state.is_gone())
    }

    /// Returns whether an agent has announced that it has left.
    pub fn has_left(&self, address: SocketAddrV4) -> bool {
        let agent = self.agents.get(&address);
        agent.is_some_and(|agent| agent.state == MemberState::Left)
    }

    /// Returns the agents of all services that are not gone, those of some services first: an earlier
    /// route table may have sent a flow to another service than the present one does.
    pub fn possible_owners(&self, first: &BTreeSet<ServiceTag>) -> Vec<SocketAddrV4> {
        let mut owners = Vec::new();
        let mut others = Vec::new();
        for (address, agent) in &self.agents {
            if agent.state.is_gone() {
                continue;
            }
            let group = match first.contains(&agent.service) {
                true => &mut owners,
                false => &mut others,
            };
            group.push(*address);
        }
        owners.extend(others);
        owners
    }

    /// Returns the number of agents that have left or were declared dead.
    pub fn count_gone(&self) -> usize {
        let agents = self.agents.values();
        agents.filter(|agent| agent.state.is_gone()).count()
    }

    /// Returns up to `count` agents of any service, in the order of their addresses from a position
    /// that `offset` selects.
    pub fn sample(&self, count: usize, offset: u64) -> impl Iterator<Item = SocketAddrV4> {
        let start = offset as usize % self.agents.len().max(1);
        let agents = self.agents.iter().cycle().skip(start);
        let agents = agents.take(count.min(self.agents.len()));
        agents.map(|(address, _)| *address)
    }

    /// Rebuilds the agents and the homes of each service.
    fn update_services(&mut self, view: &View) {
        let mut services: HashMap<ServiceTag, Vec<SocketAddrV4>> = HashMap::new();
        for record in view.agents() {
            let agents = services.entry(record.service).or_default();
            agents.push(record.address);
        }
        self.homes.clear();
        for (service, agents) in &services {
            let homes = Homes::new(agents.iter().copied());
            self.homes.insert(*service, homes);
        }
        self.service_agents = services;
    }

    /// Returns the homes of a flow: at most two agents.
    pub fn homes(&self, service: ServiceTag, flow: &FlowKey) -> Vec<SocketAddrV4> {
        let homes = self.homes.get(&service).map(|homes| homes.of(flow));
        homes.into_iter().flatten().flatten().collect()
    }

    /// Returns whether any agent of any service is ready.
    pub fn has_ready(&self) -> bool {
        self.agents
            .values()
            .any(|agent| agent.state == MemberState::Ready)
    }

    /// Sets the failure domains whose agents get no new flows. For those that are no longer among them,
    /// starts the ramp of `RAMP_TIME`.
    pub fn set_evacuated(&mut self, evacuated: BTreeSet<String>, now: Time) {
        self.ramp_ends.retain(|_, end| now < *end);
        for domain in self.evacuated.difference(&evacuated) {
            let end = now + RAMP_TIME;
            self.ramp_ends.insert(domain.clone(), end);
            let returning = self.agents.values_mut();
            for agent in returning.filter(|agent| agent.domain == *domain) {
                agent.ramp_end = end;
            }
        }
        self.evacuated = evacuated;
    }

    /// Returns the number of agents in a failure domain that are not gone.
    pub fn count_in_domain(&self, domain: &str) -> usize {
        let agents = self.agents.values();
        let agents = agents.filter(|agent| agent.domain == domain && !agent.state.is_gone());
        agents.count()
    }

    /// Returns whether the agents that could take flows of a service are all in evacuated domains, and
    /// there is one.
    pub fn is_all_evacuated(&self, service: ServiceTag) -> bool {
        let mut has_evacuated = false;
        for address in self.service_agents.get(&service).into_iter().flatten() {
            let Some(agent) = self.agents.get(address) else {
                continue;
            };
            if !matches!(agent.state, MemberState::Ready | MemberState::Suspect) {
                continue;
            }
            if !self.evacuated.contains(&agent.domain) {
                return false;
            }
            has_evacuated = true;
        }
        has_evacuated
    }

    /// Replaces `candidates` by the agents that may take a flow of a service and are not in `excluded`:
    /// those that are ready and not avoided or, if there are none, the avoided and suspect ones. An
    /// agent is avoided while its server fails, and for a time after it did not reply or refused a
    /// flow. Agents of evacuated domains are left out even if there are no others.
    pub fn collect_candidates(
        &self,
        service: ServiceTag,
        excluded: &[SocketAddrV4],
        now: Time,
        candidates: &mut Vec<AgentCandidate>,
    ) {
        candidates.clear();
        let Some(agents) = self.service_agents.get(&service) else {
            return;
        };
        for avoided in [false, true] {
            for address in agents {
                let Some(agent) = self.agents.get(address) else {
                    continue;
                };
                let is_eligible = match agent.state {
                    MemberState::Ready => avoided == agent.is_avoided(now),
                    MemberState::Suspect => avoided,
                    _ => false,
                };
                if !is_eligible || excluded.contains(address) {
                    continue;
                }
                if self.evacuated.contains(&agent.domain) {
                    continue;
                }
                candidates.push(AgentCandidate {
                    address: *address,
                    is_local: agent.is_local,
                    load: agent.load,
                    placed: agent.placed,
                    ramp: ramp_share(agent.ramp_end, RAMP_TIME, now),
                });
            }
            if !candidates.is_empty() {
                return;
            }
        }
    }

    /// Counts a new flow that is sent to an agent, until the agent reports its load.
    pub fn record_placement(&mut self, address: SocketAddrV4) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.placed = agent.placed.saturating_add(1);
        }
    }

    /// Replaces the load of an agent by its report.
    pub fn update_load(&mut self, address: SocketAddrV4, load: Load) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.load = load;
            agent.placed = 0;
        }
    }

    /// Records that an agent accepted a flow or let it wait.
    pub fn record_acceptance(&mut self, address: SocketAddrV4, load: Load) {
        self.update_load(address, load);
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.backoff_until = Time::default();
        }
    }

    /// Records that an agent refused a flow. The agent is avoided for `REFUSAL_BACKOFF`, unless the
    /// reason shows in its load.
    pub fn record_refusal(
        &mut self,
        address: SocketAddrV4,
        refusal: Refusal,
        load: Load,
        now: Time,
    ) {
        self.update_load(address, load);
        if !matches!(refusal, Refusal::Busy | Refusal::Failing)
            && let Some(agent) = self.agents.get_mut(&address)
        {
            agent.backoff_until = now + REFUSAL_BACKOFF;
        }
    }

    /// Records that an agent did not reply to an opening in time.
    pub fn record_timeout(&mut self, address: SocketAddrV4, now: Time) {
        if let Some(agent) = self.agents.get_mut(&address) {
            agent.backoff_until = now + TIMEOUT_BACKOFF;
        }
    }
}
