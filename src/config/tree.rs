//! The operators' tree of settings: a region, its services, their request types.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Check, Fault};
use crate::owner_id::ServiceTag;

const MAX_TIMEOUT_MS: u64 = 600_000;
const MAX_QUEUE: u32 = 100_000;
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_PRIORITY: u8 = 4;
const MAX_PRIORITY: u8 = 7;
const DEFAULT_QUEUE: u32 = 64;

/// How requests are treated; a narrower level overrides each value that it sets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Time to a request's deadline if the caller names none, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Rank under overload: 0 is refused last, 7 first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Whether a request may run twice without harm.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Whether the answer is a feed that stays open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub feed: Option<bool>,
    /// Requests that may wait at one agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}

impl Policy {
    /// Returns this policy with the values that `narrower` sets in place of its own.
    pub fn overridden(&self, narrower: &Policy) -> Policy {
        Policy {
            timeout_ms: narrower.timeout_ms.or(self.timeout_ms),
            priority: narrower.priority.or(self.priority),
            idempotent: narrower.idempotent.or(self.idempotent),
            feed: narrower.feed.or(self.feed),
            queue: narrower.queue.or(self.queue),
        }
    }

    fn check(&self, path: &str) -> Result<(), Fault> {
        if self
            .timeout_ms
            .is_some_and(|ms| ms == 0 || ms > MAX_TIMEOUT_MS)
        {
            return Err(Fault::new(
                format!("{path}.timeout_ms"),
                format!("1 to {MAX_TIMEOUT_MS}"),
            ));
        }
        if self.priority.is_some_and(|p| p > MAX_PRIORITY) {
            return Err(Fault::new(
                format!("{path}.priority"),
                format!("0 to {MAX_PRIORITY}"),
            ));
        }
        if self.queue.is_some_and(|n| n > MAX_QUEUE) {
            return Err(Fault::new(
                format!("{path}.queue"),
                format!("0 to {MAX_QUEUE}"),
            ));
        }
        Ok(())
    }
}

/// A kind of request, told by its method and path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSettings {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Overrides for this request type.
    #[serde(default)]
    pub policy: Policy,
}

/// A service: an address that callers reach and the requests that it answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Number of the service in packets; never used again for another service.
    pub tag: ServiceTag,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Overrides for this service.
    #[serde(default)]
    pub policy: Policy,
    /// Request types by name.
    pub requests: BTreeMap<String, RequestSettings>,
}

/// A region: defaults and services.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub region: String,
    /// Defaults of the region.
    #[serde(default)]
    pub policy: Policy,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSettings>,
}

impl Check for Region {
    fn check(&self) -> Result<(), Fault> {
        self.policy.check("policy")?;
        let mut addresses: HashMap<SocketAddr, &str> = HashMap::new();
        let mut tags: HashMap<ServiceTag, &str> = HashMap::new();
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            service.policy.check(&format!("{path}.policy"))?;
            if service.tag.0 == 0 {
                return Err(Fault::new(format!("{path}.tag"), "1 to 65535"));
            }
            if let Some(other) = tags.insert(service.tag, name) {
                return Err(Fault::new(
                    format!("{path}.tag"),
                    format!("a tag that {other} does not have"),
                ));
            }
            // Port 0 lets the system choose, so that it can stand at several services.
            let fixed = service.address.port() != 0;
            let taken = fixed
                .then(|| addresses.insert(service.address, name))
                .flatten();
            if let Some(other) = taken {
                let expected = format!("an address that {other} does not have");
                return Err(Fault::new(format!("{path}.address"), expected));
            }
            check_requests(&path, service)?;
        }
        Ok(())
    }
}

fn check_requests(path: &str, service: &ServiceSettings) -> Result<(), Fault> {
    for (kind, request) in &service.requests {
        let path = format!("{path}.requests.{kind}");
        request.policy.check(&format!("{path}.policy"))?;
        if !request.path.starts_with('/') {
            return Err(Fault::new(
                format!("{path}.path"),
                "a path that begins with /",
            ));
        }
        if request.method.parse::<http::Method>().is_err() {
            return Err(Fault::new(format!("{path}.method"), "an HTTP method"));
        }
    }
    Ok(())
}

/// A request type with every value resolved.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestPlan {
    /// Name of the request type.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Time to the deadline if the caller names none.
    pub timeout: Duration,
    /// Rank under overload: 0 is refused last.
    pub priority: u8,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
    /// Whether the answer is a feed that stays open.
    pub feed: bool,
    /// Requests that may wait at one agent.
    pub queue: u32,
}

impl Region {
    /// Returns the resolved request types of a service; empty if the service is unknown.
    pub fn plans(&self, service: &str) -> Vec<RequestPlan> {
        let Some(settings) = self.services.get(service) else {
            return Vec::new();
        };
        let inherited = self.policy.overridden(&settings.policy);
        let mut plans = Vec::with_capacity(settings.requests.len());
        for (name, request) in &settings.requests {
            plans.push(resolve(
                name,
                request,
                &inherited.overridden(&request.policy),
            ));
        }
        plans
    }
}

fn resolve(name: &str, request: &RequestSettings, policy: &Policy) -> RequestPlan {
    let safe = matches!(request.method.as_str(), "GET" | "HEAD");
    RequestPlan {
        name: name.to_owned(),
        method: request.method.clone(),
        path: request.path.clone(),
        timeout: Duration::from_millis(policy.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        priority: policy.priority.unwrap_or(DEFAULT_PRIORITY),
        idempotent: policy.idempotent.unwrap_or(safe),
        feed: policy.feed.unwrap_or(false),
        queue: policy.queue.unwrap_or(DEFAULT_QUEUE),
    }
}
