//! Routes: the services that take the flows to an address, and the properties of these flows.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{segment::FlowKey, waiting::MAX_OPENING_AGE};
use crate::owner_id::ServiceTag;

/// Makes the choice of a service independent of other hashes of a flow.
const SPLIT_SEED: u64 = 0x0073_706c_6974;

/// Identifies a service by the 64-bit hash of its name.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// Returns the key of the service with a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }

    /// Returns the 16-bit tag in membership records. It is never zero, and services may share one.
    pub fn tag(self) -> ServiceTag {
        ServiceTag((self.0 as u16).max(1))
    }
}

/// One of the services that share the flows of a route.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Target {
    /// Service that takes the flows.
    pub service: ServiceKey,
    /// Share of the flows, relative to the other targets of the route.
    pub weight: u32,
}

/// Targets and properties of the flows to one address.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Route {
    /// Name of the route in the settings.
    pub name: String,
    /// Whether a request may be executed twice without harm.
    pub idempotent: bool,
    /// Priority under overload: flows with 0 are refused last.
    pub priority: u8,
    /// Target latency of answers in milliseconds.
    pub target_ms: u32,
    /// Time after which a caller gives up waiting for an answer, in milliseconds; 0 if it is not known.
    /// It passes between processes beside the table, since earlier builds read the fields by position.
    #[serde(skip)]
    pub timeout_ms: u32,
    /// Services that share the flows.
    pub targets: Vec<Target>,
}

impl Route {
    /// Returns the age of an opening at which it is delivered at the latest, so that its caller has not
    /// given up when the answer comes after `work`.
    pub fn latest_delivery(&self, work: Duration) -> Duration {
        match self.timeout_ms {
            0 => MAX_OPENING_AGE,
            timeout_ms => {
                let timeout = Duration::from_millis(timeout_ms.into());
                MAX_OPENING_AGE.min(timeout.saturating_sub(work))
            }
        }
    }

    /// Returns the service of a flow, the same in all processes that have the route; `None` if the
    /// route has no targets.
    pub fn service(&self, flow: &FlowKey) -> Option<ServiceKey> {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        if self.targets.len() < 2 || total == 0 {
            return self.targets.first().map(|t| t.service);
        }
        let mut point = xxh3_64_with_seed(&flow.to_bytes(), SPLIT_SEED) % total;
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if point < weight {
                return Some(target.service);
            }
            point -= weight;
        }
        None
    }
}

/// All routes of one version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RouteTable {
    /// Version; the table with the higher one is the newer.
    pub version: u64,
    /// Time without a segment after which a flow may be removed, in milliseconds; 0 for the default.
    pub idle_ms: u64,
    /// Routes by the address that callers send to.
    pub routes: HashMap<SocketAddrV4, Route>,
}
