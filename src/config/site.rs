//! A whole site for development: its fleet, its backend servers and its callers' mix.

use serde::{Deserialize, Serialize};

use super::{Check, Fault, tree::Region};

/// The backend servers of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// Name of the service.
    pub service: String,
    /// Time that each server needs for a request, in milliseconds; one entry a server.
    pub service_ms: Vec<u64>,
    /// Requests that one server works on at once.
    pub slots: u32,
    /// Connections that one server holds.
    pub connections: u32,
}

/// One kind of request in the callers' mix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    /// Name of the service.
    pub service: String,
    /// Name of the request type.
    pub request: String,
    /// Requests a second, for requests that end.
    #[serde(default)]
    pub rate: f64,
    /// Feeds held open, for feeds.
    #[serde(default)]
    pub open: u32,
    /// Length of the answer's body in bytes.
    #[serde(default)]
    pub answer_bytes: usize,
}

/// A site that `berylvalve dev` starts on loopback.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Name of the site.
    pub name: String,
    /// Failure domains of the region.
    pub domains: Vec<String>,
    /// Number of balancers.
    pub balancers: usize,
    /// Backend servers by service.
    pub servers: Vec<ServerGroup>,
    /// What the callers send.
    pub mix: Vec<MixEntry>,
    /// The operators' settings.
    pub tree: Region,
}

impl Check for Site {
    fn check(&self) -> Result<(), Fault> {
        if self.domains.is_empty() {
            return Err(Fault::new("domains", "at least one failure domain"));
        }
        if self.balancers == 0 {
            return Err(Fault::new("balancers", "at least 1"));
        }
        for (index, group) in self.servers.iter().enumerate() {
            if !self.tree.services.contains_key(&group.service) {
                return Err(Fault::new(
                    format!("servers[{index}].service"),
                    "a service of the tree",
                ));
            }
        }
        for (index, entry) in self.mix.iter().enumerate() {
            let service = self.tree.services.get(&entry.service);
            if !service.is_some_and(|s| s.requests.contains_key(&entry.request)) {
                return Err(Fault::new(
                    format!("mix[{index}].request"),
                    "a request type of the service",
                ));
            }
        }
        self.tree
            .check()
            .map_err(|fault| Fault::new(format!("tree.{}", fault.path), fault.expected))
    }
}
