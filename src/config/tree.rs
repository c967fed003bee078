//! The operators' tree of settings: a region, its services and their request types.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::{Check, Violation};
use crate::owner_id::ServiceTag;

const MAX_TIMEOUT_MS: u64 = 600_000;
const MAX_QUEUE_LENGTH: u32 = 100_000;
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
const DEFAULT_PRIORITY: u8 = 4;
const MAX_PRIORITY: u8 = 7;
const DEFAULT_QUEUE_LENGTH: u32 = 64;

/// Values that apply to requests; a narrower level overrides each value that it sets.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// Default request timeout in milliseconds, for callers that send none; 1 to 600000.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
    /// Priority under overload, 0 to 7; requests with a higher number are shed first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub priority: Option<u8>,
    /// Whether it is safe to execute a request twice; by default, for `GET` and `HEAD`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotent: Option<bool>,
    /// Whether the response is a feed, which stays open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub feed: Option<bool>,
    /// Largest number of requests queued at one agent; 0 to 100000.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub queue: Option<u32>,
}

impl Policy {
    /// Returns this policy overridden by the values that `narrower` sets.
    pub fn overridden_by(&self, narrower: &Policy) -> Policy {
        Policy {
            timeout_ms: narrower.timeout_ms.or(self.timeout_ms),
            priority: narrower.priority.or(self.priority),
            idempotent: narrower.idempotent.or(self.idempotent),
            feed: narrower.feed.or(self.feed),
            queue: narrower.queue.or(self.queue),
        }
    }

    fn check(&self, path: &str) -> Result<(), Violation> {
        if self
            .timeout_ms
            .is_some_and(|ms| ms == 0 || ms > MAX_TIMEOUT_MS)
        {
            return Err(Violation::new(
                format!("{path}.timeout_ms"),
                format!("1 to {MAX_TIMEOUT_MS}"),
            ));
        }
        if self.priority.is_some_and(|p| p > MAX_PRIORITY) {
            return Err(Violation::new(
                format!("{path}.priority"),
                format!("0 to {MAX_PRIORITY}"),
            ));
        }
        if self.queue.is_some_and(|n| n > MAX_QUEUE_LENGTH) {
            return Err(Violation::new(
                format!("{path}.queue"),
                format!("0 to {MAX_QUEUE_LENGTH}"),
            ));
        }
        Ok(())
    }
}

/// A request type, identified by its method and path.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestSettings {
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Policy values that override those of the service.
    #[serde(default)]
    pub policy: Policy,
}

/// A service with the address that callers send to and its request types.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Number that identifies the service in packets, 1 to 65535; never reused for another service.
    pub tag: ServiceTag,
    /// Address that callers send to.
    pub address: SocketAddr,
    /// Policy values that override those of the region.
    #[serde(default)]
    pub policy: Policy,
    /// Request types by name.
    pub requests: BTreeMap<String, RequestSettings>,
}

/// A region with its default policy and its services.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// Name of the region.
    pub region: String,
    /// Policy values that apply unless a service or request type overrides them.
    #[serde(default)]
    pub policy: Policy,
    /// Services by name.
    pub services: BTreeMap<String, ServiceSettings>,
}

impl Check for Region {
    fn check(&self) -> Result<(), Violation> {
        self.policy.check("policy")?;
        let mut addresses: HashMap<SocketAddr, &str> = HashMap::new();
        let mut tags: HashMap<ServiceTag, &str> = HashMap::new();
        for (name, service) in &self.services {
            let path = format!("services.{name}");
            service.policy.check(&format!("{path}.policy"))?;
            if service.tag.0 == 0 {
                return Err(Violation::new(format!("{path}.tag"), "1 to 65535"));
            }
            if let Some(other) = tags.insert(service.tag, name) {
                return Err(Violation::new(
                    format!("{path}.tag"),
                    format!("a tag that service {other} does not use"),
                ));
            }
            // The operating system chooses a port for port 0, so several services may have it.
            let is_fixed = service.address.port() != 0;
            let duplicate = is_fixed
                .then(|| addresses.insert(service.address, name))
                .flatten();
            if let Some(other) = duplicate {
                let expected = format!("an address that service {other} does not use");
                return Err(Violation::new(format!("{path}.address"), expected));
            }
            check_requests(&path, service)?;
        }
        Ok(())
    }
}

fn check_requests(path: &str, service: &ServiceSettings) -> Result<(), Violation> {
    for (name, request) in &service.requests {
        let path = format!("{path}.requests.{name}");
        request.policy.check(&format!("{path}.policy"))?;
        if !request.path.starts_with('/') {
            return Err(Violation::new(
                format!("{path}.path"),
                "a path that begins with /",
            ));
        }
        if request.method.parse::<http::Method>().is_err() {
            return Err(Violation::new(format!("{path}.method"), "an HTTP method"));
        }
    }
    Ok(())
}

/// A request type with its policy values resolved through all levels.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestType {
    /// Name of the request type.
    pub name: String,
    /// HTTP method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Timeout if the caller sends none.
    pub timeout: Duration,
    /// Priority under overload, 0 to 7; requests with a higher number are shed first.
    pub priority: u8,
    /// Whether it is safe to execute a request twice.
    pub idempotent: bool,
    /// Whether the response is a feed, which stays open.
    pub feed: bool,
    /// Largest number of requests queued at one agent.
    pub queue: u32,
}

impl Region {
    /// Returns the resolved request types of a service; empty if the service does not exist.
    pub fn request_types(&self, service: &str) -> Vec<RequestType> {
        let Some(settings) = self.services.get(service) else {
            return Vec::new();
        };
        let inherited = self.policy.overridden_by(&settings.policy);
        let mut request_types = Vec::with_capacity(settings.requests.len());
        for (name, request) in &settings.requests {
            request_types.push(resolve(
                name,
                request,
                &inherited.overridden_by(&request.policy),
            ));
        }
        request_types
    }
}

fn resolve(name: &str, request: &RequestSettings, policy: &Policy) -> RequestType {
    let is_safe = matches!(request.method.as_str(), "GET" | "HEAD");
    RequestType {
        name: name.to_owned(),
        method: request.method.clone(),
        path: request.path.clone(),
        timeout: Duration::from_millis(policy.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS)),
        priority: policy.priority.unwrap_or(DEFAULT_PRIORITY),
        idempotent: policy.idempotent.unwrap_or(is_safe),
        feed: policy.feed.unwrap_or(false),
        queue: policy.queue.unwrap_or(DEFAULT_QUEUE_LENGTH),
    }
}
