//! The agents as one balancer knows them: from the membership, and from what they tell it.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    time::Duration,
};

use crate::{
    clock::Time,
    l4::{choice::Candidate, homes::Homes, message::Refusal, segment::FlowKey, workload::Load},
    member::{MemberState, Role, View},
    owner_id::ServiceTag,
};

/// Time for which an agent that did not answer gets new flows only where no other can take them.
const AVOID_SILENT: Duration = Duration::from_secs(1);

/// Agents up to which all of them are asked for a flow; more would take too many messages.
const SMALL_FLEET: usize = 128;

/// Silence from which an agent counts as gone: longer than a planned restart beside a server that
/// goes on.
const SILENT_END: Duration = Duration::from_millis(3500);

/// Time for which an agent that refused gets no new flows, unless it reports.
const AVOID_REFUSED: Duration = Duration::from_millis(300);

/// One agent.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Service that it serves.
    pub service: ServiceTag,
    /// State in the membership.
    pub state: MemberState,
    near: bool,
    load: Load,
    placed: u16,
    avoid: Time,
    /// Since when it has left questions unanswered.
    unanswered: Option<Time>,
}

impl Peer {
    fn is_avoided(&self, now: Time) -> bool {
        now < self.avoid || self.load.failing
    }
}

/// All agents.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    agents: BTreeMap<SocketAddrV4, Peer>,
    /// Balancers of this failure domain, which callers of the domain may have used before.
    near: Vec<SocketAddrV4>,
    homes: HashMap<ServiceTag, Homes>,
    /// Agents of each service, in order.
    services: HashMap<ServiceTag, Vec<SocketAddrV4>>,
}

impl Fleet {
    /// Takes the members of a view; returns the agents that have just gone for good.
    pub fn meet(&mut self, view: &View, domain: &str) -> Vec<SocketAddrV4> {
        let mut gone = Vec::new();
        self.near.clear();
        self.take_homes(view);
        for (address, record) in &view.members {
            if record.role != Role::Agent {
                let near = record.domain == domain && !record.state.is_gone();
                self.near.extend(near.then_some(*address));
                continue;
            }
            let peer = self.agents.entry(*address).or_insert_with(|| Peer {
                service: record.service,
                state: record.state,
                near: record.domain == domain,
                load: Load::default(),
                placed: 0,
                avoid: Time::default(),
                unanswered: None,
            });
            let ended = record.state.is_gone() && !peer.state.is_gone();
            peer.state = record.state;
            peer.service = record.service;
            if ended {
                gone.push(*address);
            }
        }
        let members = &view.members;
        self.agents.retain(|address, peer| {
            let known = members.contains_key(address);
            if !known && !peer.state.is_gone() {
                gone.push(*address);
            }
            known
        });
        gone
    }

    /// Returns an agent.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Peer> {
        self.agents.get(&address)
    }

    /// Returns the agents that may hold flows of a service: not those that are gone, or have been
    /// silent for so long that the membership has not caught up with their end.
    ///
    /// In a small fleet these are the agents of all services, since an earlier config may have sent
    /// the flow to another one.
    pub fn holders(&self, service: ServiceTag, now: Time) -> Vec<SocketAddrV4> {
        let may_hold = |peer: &Peer| {
            let unanswered = peer.unanswered;
            let silent = unanswered.is_some_and(|since| now.since(since) >= SILENT_END);
            !silent && !peer.state.is_gone()
        };
        if self.agents.len() <= SMALL_FLEET {
            let live = self.agents.iter().filter(|(_, peer)| may_hold(peer));
            return live.map(|(address, _)| *address).collect();
        }
        let mut holders = self.services.get(&service).cloned().unwrap_or_default();
        holders.retain(|address| self.agents.get(address).is_some_and(may_hold));
        holders
    }

    /// Returns some agents of any service, from a random place on.
    pub fn some(&self, count: usize, salt: u64) -> impl Iterator<Item = SocketAddrV4> {
        let start = salt as usize % self.agents.len().max(1);
        let agents = self.agents.iter().cycle().skip(start);
        let agents = agents.take(count.min(self.agents.len()));
        agents.map(|(address, _)| *address)
    }

    /// Notes a sign of life of an agent.
    pub fn heard(&mut self, address: SocketAddrV4) {
        if let Some(peer) = self.agents.get_mut(&address) {
            peer.unanswered = None;
        }
    }

    /// Notes that an agent has not answered a question that was repeated.
    pub fn unanswered(&mut self, address: SocketAddrV4, now: Time) {
        if let Some(peer) = self.agents.get_mut(&address) {
            peer.unanswered.get_or_insert(now);
        }
    }

    fn take_homes(&mut self, view: &View) {
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
        self.services = services;
    }

    /// Returns who probably knows the owner of a flow: the balancers of this failure domain and the
    /// flow's homes.
    pub fn likely(&self, service: ServiceTag, flow: &FlowKey) -> Vec<SocketAddrV4> {
        let mut likely = self.near.clone();
        if let Some(homes) = self.homes.get(&service) {
            likely.extend(homes.of(flow).into_iter().flatten());
        }
        likely
    }

    /// Returns whether any agent of any service takes new flows.
    pub fn has_ready(&self) -> bool {
        self.agents
            .values()
            .any(|peer| peer.state == MemberState::Ready)
    }

    /// Fills `candidates` with the agents that may take a flow of a service: those that answer,
    /// or, where there are none, those that were silent or refused lately.
    pub fn candidates(
        &self,
        service: ServiceTag,
        excluded: &[SocketAddrV4],
        now: Time,
        candidates: &mut Vec<Candidate>,
    ) {
        candidates.clear();
        let Some(agents) = self.services.get(&service) else {
            return;
        };
        for avoided in [false, true] {
            for address in agents {
                let Some(peer) = self.agents.get(address) else {
                    continue;
                };
                let takes = match peer.state {
                    MemberState::Ready => avoided == peer.is_avoided(now),
                    MemberState::Suspect => avoided,
                    _ => false,
                };
                if !takes || excluded.contains(address) {
                    continue;
                }
                candidates.push(Candidate {
                    address: *address,
                    near: peer.near,
                    load: peer.load,
                    placed: peer.placed,
                });
            }
            if !candidates.is_empty() {
                return;
            }
        }
    }

    /// Notes a new flow that is sent to an agent.
    pub fn placed(&mut self, address: SocketAddrV4) {
        if let Some(peer) = self.agents.get_mut(&address) {
            peer.placed = peer.placed.saturating_add(1);
        }
    }

    /// Notes what an agent reports.
    pub fn loaded(&mut self, address: SocketAddrV4, load: Load) {
        if let Some(peer) = self.agents.get_mut(&address) {
            peer.load = load;
            peer.placed = 0;
        }
    }

    /// Notes that an agent accepted a flow.
    pub fn accepted(&mut self, address: SocketAddrV4, load: Load) {
        self.loaded(address, load);
        if let Some(peer) = self.agents.get_mut(&address) {
            peer.avoid = Time::default();
        }
    }

    /// Notes that an agent refused a flow.
    pub fn refused(&mut self, address: SocketAddrV4, refusal: Refusal, load: Load, now: Time) {
        self.loaded(address, load);
        if !matches!(refusal, Refusal::Busy | Refusal::Failing)
            && let Some(peer) = self.agents.get_mut(&address)
        {
            peer.avoid = now + AVOID_REFUSED;
        }
    }

    /// Notes that an agent did not answer.
    pub fn silent(&mut self, address: SocketAddrV4, now: Time) {
        if let Some(peer) = self.agents.get_mut(&address) {
            peer.avoid = now + AVOID_SILENT;
        }
    }
}
