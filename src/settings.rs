//! The operators' settings that are in force in this process.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use arc_swap::ArcSwap;

use crate::{
    config::tree::{Region, RequestPlan},
    owner_id::ServiceTag,
};

pub mod change;
pub mod edit;
pub mod explain;
pub mod first;
pub mod in_force;
pub mod layout;
pub mod operator;
pub mod part;
pub mod service;
pub mod spread;

/// A region's settings with everything resolved that a process looks up.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// Revision of the settings; grows with each change.
    pub revision: u64,
    /// The settings as the operators wrote them.
    pub region: Region,
    /// Services by the address that callers send to.
    pub tags: HashMap<SocketAddr, ServiceTag>,
    /// Addresses that callers send to, by service.
    pub addresses: HashMap<ServiceTag, SocketAddr>,
    /// Resolved request types by the service's name.
    pub requests: BTreeMap<String, Vec<Arc<RequestPlan>>>,
}

impl Plan {
    /// Resolves a region's settings.
    pub fn resolve(region: Region, revision: u64) -> Self {
        let mut plan = Self {
            revision,
            ..Self::default()
        };
        for (name, service) in &region.services {
            plan.tags.insert(service.address, service.tag);
            plan.addresses.insert(service.tag, service.address);
            let requests = region.plans(name).into_iter().map(Arc::new).collect();
            plan.requests.insert(name.clone(), requests);
        }
        plan.region = region;
        plan
    }

    /// Returns the request type that a service answers at a method and path.
    pub fn request(&self, service: &str, method: &str, path: &str) -> Option<&Arc<RequestPlan>> {
        let requests = self.requests.get(service)?;
        requests
            .iter()
            .find(|plan| plan.path == path && plan.method == method)
    }
}

/// The settings in force, under the name [`InForce::NAME`].
#[derive(Debug)]
pub struct InForce {
    plan: ArcSwap<Plan>,
}

impl InForce {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "settings";

    /// Returns the service with the settings that a process starts with.
    pub fn new(plan: Plan) -> Self {
        Self {
            plan: ArcSwap::from_pointee(plan),
        }
    }

    /// Returns the plan in force.
    pub fn plan(&self) -> Arc<Plan> {
        self.plan.load_full()
    }

    /// Puts a plan in force unless its revision is lower; returns whether it did.
    pub fn advance(&self, plan: Plan) -> bool {
        let plan = Arc::new(plan);
        let before = self.plan.rcu(|current| {
            if plan.revision >= current.revision {
                plan.clone()
            } else {
                current.clone()
            }
        });
        plan.revision >= before.revision
    }
}
