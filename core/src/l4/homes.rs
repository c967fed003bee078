//! Registry of the owners of flows. The registration of a flow is held by its homes: two agents of its
//! service that a rendezvous hash selects, the same in all processes that know the same agents.
//!
//! A balancer that does not know the owner of a flow queries the homes before all agents. Only
//! long-lived flows are registered, so that the many short ones cost nothing.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use rustc_hash::FxBuildHasher;

use super::segment::FlowKey;
use crate::{
    clock::Time,
    owner_id::ServiceTag,
    placement::{Candidate, rendezvous_choice},
};

/// Time after which a home removes a registration; owners renew it after half of that.
pub const REGISTRATION_TTL: Duration = Duration::from_secs(30);

/// Largest number of registrations at one home: twice a process's share in the largest fleet.
const MAX_REGISTRATIONS: usize = 60_000;

/// The agents of a service, of which two are the homes of each flow.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    agents: Vec<Candidate>,
}

impl Homes {
    /// Returns the homes of flows of a service with these agents.
    pub fn new(agents: impl Iterator<Item = SocketAddrV4>) -> Self {
        let agents = agents.map(|address| Candidate { address, weight: 1 });
        Self {
            agents: agents.collect(),
        }
    }

    /// Returns the two homes of a flow; fewer if the service has fewer agents.
    pub fn of(&self, flow: &FlowKey) -> [Option<SocketAddrV4>; 2] {
        match rendezvous_choice(&self.agents, ServiceTag::default(), &flow.to_bytes()) {
            Some(choice) => [Some(choice.first), choice.second],
            None => [None, None],
        }
    }
}

/// The registration of one flow.
#[derive(Clone, Copy, Debug)]
struct Registration {
    owner: SocketAddrV4,
    /// Another agent that has registered the flow since. Two servers may accept copies of one opening, of which
    /// the caller completes one.
    rival: Option<SocketAddrV4>,
    expires: Time,
}

impl Registration {
    fn new(owner: SocketAddrV4, now: Time) -> Self {
        Self {
            owner,
            rival: None,
            expires: now + REGISTRATION_TTL,
        }
    }

    /// Returns the registration after an agent has registered the flow. Of two agents, the one that registers
    /// again is the owner: an agent renews only flows that go on.
    fn renew(self, agent: SocketAddrV4, now: Time) -> Self {
        if now >= self.expires || self.owner == agent || self.rival == Some(agent) {
            return Self::new(agent, now);
        }
        Self {
            rival: Some(agent),
            ..Self::new(self.owner, now)
        }
    }

    /// Returns the owner, or `None` if two agents have registered the flow.
    fn certain_owner(&self) -> Option<SocketAddrV4> {
        self.rival.is_none().then_some(self.owner)
    }
}

/// The owners that are registered at one home, by flow.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    owners: HashMap<FlowKey, Registration, FxBuildHasher>,
}

impl Registry {
    /// Adds or renews the registration of a flow. A new one is dropped if the registry is full.
    pub fn register(&mut self, flow: FlowKey, owner: SocketAddrV4, now: Time) {
        if let Some(known) = self.owners.get_mut(&flow) {
            *known = known.renew(owner, now);
        } else if self.owners.len() < MAX_REGISTRATIONS {
            self.owners.insert(flow, Registration::new(owner, now));
        }
    }

    /// Returns the registered owner of a flow, or `None` if there is none or two agents have registered it.
    pub fn owner(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        self.owners.get(flow)?.certain_owner()
    }

    /// Returns the flows that are registered as an owner's.
    pub fn flows_of(&self, owner: SocketAddrV4) -> impl Iterator<Item = FlowKey> {
        let of_owner = self
            .owners
            .iter()
            .filter(move |(_, registration)| registration.certain_owner() == Some(owner));
        of_owner.map(|(flow, _)| *flow)
    }

    /// Removes the registrations that have not been renewed within [`REGISTRATION_TTL`].
    pub fn expire(&mut self, now: Time) {
        self.owners
            .retain(|_, registration| now < registration.expires);
    }
}
