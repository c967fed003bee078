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

/// The owners that are registered at one home, by flow.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    owners: HashMap<FlowKey, (SocketAddrV4, Time), FxBuildHasher>,
}

impl Registry {
    /// Adds or renews the registration of a flow. A new one is dropped if the registry is full.
    pub fn register(&mut self, flow: FlowKey, owner: SocketAddrV4, now: Time) {
        if self.owners.len() < MAX_REGISTRATIONS || self.owners.contains_key(&flow) {
            self.owners.insert(flow, (owner, now + REGISTRATION_TTL));
        }
    }

    /// Returns the registered owner of a flow.
    pub fn owner(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        self.owners.get(flow).map(|(owner, _)| *owner)
    }

    /// Returns the flows that are registered as an owner's.
    pub fn flows_of(&self, owner: SocketAddrV4) -> impl Iterator<Item = FlowKey> {
        let of_owner = self
            .owners
            .iter()
            .filter(move |(_, (named, _))| *named == owner);
        of_owner.map(|(flow, _)| *flow)
    }

    /// Removes the registrations that have not been renewed within [`REGISTRATION_TTL`].
    pub fn expire(&mut self, now: Time) {
        self.owners.retain(|_, (_, expires)| now < *expires);
    }
}
