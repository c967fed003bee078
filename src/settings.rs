//! The operators' settings that are active in this process, and their distribution.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::Arc,
};

use arc_swap::ArcSwap;

use crate::{
    config::tree::{Region, RequestType},
    owner_id::ServiceTag,
};

pub mod bootstrap;
pub mod change;
pub mod client;
pub mod driver;
pub mod edit;
pub mod explain;
pub mod layout;
pub mod part;
pub mod replica;
pub mod sync;

/// A region's settings with lookup tables and with all inherited values resolved.
#[derive(Clone, Debug, Default)]
pub struct ResolvedSettings {
    /// Revision of the settings; grows with each change.
    pub revision: u64,
    /// The settings as the operators wrote them.
    pub tree: Region,
    /// Tag of each service by the address that callers send to.
    pub tags: HashMap<SocketAddr, ServiceTag>,
    /// Address that callers send to, by the service's tag.
    pub addresses: HashMap<ServiceTag, SocketAddr>,
    /// Request types by the service's name.
    pub request_types: BTreeMap<String, Vec<Arc<RequestType>>>,
}

impl ResolvedSettings {
    /// Resolves the tree of a region.
    pub fn resolve(tree: Region, revision: u64) -> Self {
        let mut settings = Self {
            revision,
            ..Self::default()
        };
        for (name, service) in &tree.services {
            settings.tags.insert(service.address, service.tag);
            settings.addresses.insert(service.tag, service.address);
            let request_types = tree.request_types(name).into_iter().map(Arc::new).collect();
            settings.request_types.insert(name.clone(), request_types);
        }
        settings.tree = tree;
        settings
    }

    /// Returns the request type of a service with a method and path; `None` if nothing matches.
    pub fn find_request_type(
        &self,
        service: &str,
        method: &str,
        path: &str,
    ) -> Option<&Arc<RequestType>> {
        let request_types = self.request_types.get(service)?;
        request_types
            .iter()
            .find(|request_type| request_type.path == path && request_type.method == method)
    }
}

/// The active settings of a process, published in the kernel's registry as [`ActiveSettings::NAME`].
#[derive(Debug)]
pub struct ActiveSettings {
    settings: ArcSwap<ResolvedSettings>,
}

impl ActiveSettings {
    /// Name of the component in the kernel's registry.
    pub const NAME: &'static str = "settings";

    /// Returns the component with the settings that a process starts with.
    pub fn new(settings: ResolvedSettings) -> Self {
        Self {
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// Returns the active settings.
    pub fn current(&self) -> Arc<ResolvedSettings> {
        self.settings.load_full()
    }

    /// Activates settings unless their revision is lower; returns whether they were activated.
    pub fn advance(&self, settings: ResolvedSettings) -> bool {
        let settings = Arc::new(settings);
        let before = self.settings.rcu(|current| {
            if settings.revision >= current.revision {
                settings.clone()
            } else {
                current.clone()
            }
        });
        settings.revision >= before.revision
    }
}
