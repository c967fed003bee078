//! Where the owner of a flow is remembered besides at the owner: two agents of its service, its
//! homes, which all processes that know the same agents compute alike.
//!
//! A balancer that does not know a flow asks its homes instead of all agents. Only flows that last
//! are registered, so that the many short ones cost nothing.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use rustc_hash::FxBuildHasher;

use super::segment::FlowKey;
use crate::{
    clock::Time,
    owner_id::ServiceTag,
    placement::{Candidate, rendezvous_choice},
};

/// Time for which a home remembers an owner; owners register again in half of it.
pub const REGISTERED_TIME: Duration = Duration::from_secs(30);

/// Flows that one home remembers, at most: twice a daemon's share in the largest fleet.
const MAX_REGISTERED: usize = 60_000;

/// The agents of a service, of which two are the homes of each flow.
#[derive(Clone, Debug, Default)]
pub struct Homes {
    agents: Vec<Candidate>,
}

impl Homes {
    /// Returns the homes among some agents.
    pub fn new(agents: impl Iterator<Item = SocketAddrV4>) -> Self {
        let agents = agents.map(|address| Candidate { address, weight: 1 });
        Self {
            agents: agents.collect(),
        }
    }

    /// Returns the homes of a flow.
    pub fn of(&self, flow: &FlowKey) -> [Option<SocketAddrV4>; 2] {
        match rendezvous_choice(&self.agents, ServiceTag::default(), &flow.to_bytes()) {
            Some(choice) => [Some(choice.first), choice.second],
            None => [None, None],
        }
    }
}

/// The owners that a home remembers.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    owners: HashMap<FlowKey, (SocketAddrV4, Time), FxBuildHasher>,
}

impl Registry {
    /// Remembers the owner of a flow.
    pub fn register(&mut self, flow: FlowKey, owner: SocketAddrV4, now: Time) {
        if self.owners.len() < MAX_REGISTERED || self.owners.contains_key(&flow) {
            self.owners.insert(flow, (owner, now + REGISTERED_TIME));
        }
    }

    /// Returns the owner of a flow.
    pub fn owner(&self, flow: &FlowKey) -> Option<SocketAddrV4> {
        self.owners.get(flow).map(|(owner, _)| *owner)
    }

    /// Forgets what has not been registered again.
    pub fn expire(&mut self, now: Time) {
        self.owners.retain(|_, (_, expires)| now < *expires);
    }
}
