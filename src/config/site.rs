//! Settings of a development site: its fleet, backend servers and request mix.

use serde::{Deserialize, Serialize};

use super::{Check, Violation, tree::Region};

/// The backend servers of one service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerGroup {
    /// Name of the service.
    pub service: String,
    /// Time to process a request in milliseconds, with one entry for each server.
    pub service_ms: Vec<u64>,
    /// Number of requests that each server processes concurrently.
    pub slots: u32,
    /// Largest number of connections that each server accepts.
    pub connections: u32,
}

/// A request type in the callers' request mix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MixEntry {
    /// Name of the service.
    pub service: String,
    /// Name of the request type.
    pub request: String,
    /// Requests per second, for request types that are not feeds.
    #[serde(default)]
    pub rate: f64,
    /// Number of feeds that are kept open, for feeds.
    #[serde(default)]
    pub open: u32,
    /// Length of the response body in bytes.
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
    /// Requests that the callers send.
    pub mix: Vec<MixEntry>,
    /// Settings of the region.
    pub tree: Region,
}

impl Check for Site {
    fn check(&self) -> Result<(), Violation> {
        if self.domains.is_empty() {
            return Err(Violation::new("domains", "at least one failure domain"));
        }
        if self.balancers == 0 {
            return Err(Violation::new("balancers", "at least 1"));
        }
        for (index, group) in self.servers.iter().enumerate() {
            if !self.tree.services.contains_key(&group.service) {
                return Err(Violation::new(
                    format!("servers[{index}].service"),
                    "a service of the tree",
                ));
            }
        }
        for (index, entry) in self.mix.iter().enumerate() {
            let service = self.tree.services.get(&entry.service);
            if !service.is_some_and(|s| s.requests.contains_key(&entry.request)) {
                return Err(Violation::new(
                    format!("mix[{index}].request"),
                    "a request type of the service",
                ));
            }
        }
        self.tree.check().map_err(|violation| {
            Violation::new(format!("tree.{}", violation.path), violation.expected)
        })
    }
}
