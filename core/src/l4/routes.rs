//! Which service takes the flows to an address, and how they are treated.

use std::{collections::HashMap, net::SocketAddrV4};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::segment::FlowKey;
use crate::owner_id::ServiceTag;

/// Keeps the choice of a service apart from other hashes of a flow.
const SPLIT_SEED: u64 = 0x0073_706c_6974;

/// A service that is known by its name only: the hash of the name.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// Returns the key of a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the tag in membership records, which other services may share; never zero.
    pub fn tag(self) -> ServiceTag {
        ServiceTag((self.0 as u16).max(1))
    }
}

/// One of the services that share the flows of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// The service.
    pub service: ServiceKey,
    /// Relative share of the flows.
    pub weight: u32,
}

/// How the flows to one address are treated.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name for logs.
    pub name: String,
    /// Whether the requests may run twice without harm.
    pub idempotent: bool,
    /// Rank under overload: 0 is refused last.
    pub priority: u8,
    /// Time in which answers are expected, in milliseconds.
    pub target_ms: u32,
    /// Services that share the flows.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the service of a flow; the same in all processes that know the route.
    pub fn service(&self, flow: &FlowKey) -> Option<ServiceKey> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if self.targets.len() < 2 || total == 0 {
            return self.targets.first().map(|t| t.service);
        }
        let mut place = xxh3_64_with_seed(&flow.to_bytes(), SPLIT_SEED) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if place < weight {
                return Some(target.service);
            }
            place -= weight;
        }
        None
    }
}

/// All routes of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTable {
    /// Version; a higher one replaces a lower one.
    pub version: u64,
    /// Time without a segment after which a flow may be forgotten, in milliseconds.
    pub idle_ms: u64,
    /// Routes by the address that callers send to.
    pub routes: HashMap<SocketAddrV4, Route>,
}
