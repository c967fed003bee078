//! Resolved policy values of request types, with the level of the tree that sets each.

use serde::Serialize;
use serde_json::{Value, json};

use crate::config::tree::{Policy, Region, RequestType};

/// A level of the tree that can set a policy value.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// No level; the built-in default applies.
    Default,
    /// The region.
    Region,
    /// The service.
    Service,
    /// The request type.
    Request,
}

impl Level {
    /// Returns the name of the level, as printed and in JSON.
    pub const fn as_str(self) -> &'static str {
        match self {
            Level::Default => "default",
            Level::Region => "region",
            Level::Service => "service",
            Level::Request => "request",
        }
    }
}

/// A resolved policy value of a request type.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ExplainedValue {
    /// Name of the request type.
    pub request: String,
    /// Key of the value in the policy.
    pub name: &'static str,
    /// Resolved value.
    pub value: Value,
    /// Level that sets the value.
    pub level: Level,
}

/// The key of a policy value, whether a policy sets it, and its resolved value.
type PolicyValue = (&'static str, fn(&Policy) -> bool, fn(&RequestType) -> Value);

const POLICY_VALUES: &[PolicyValue] = &[
    (
        "timeout_ms",
        |policy| policy.timeout_ms.is_some(),
        |request| json!(request.timeout.as_millis() as u64),
    ),
    (
        "priority",
        |policy| policy.priority.is_some(),
        |request| json!(request.priority),
    ),
    (
        "idempotent",
        |policy| policy.idempotent.is_some(),
        |request| json!(request.idempotent),
    ),
    (
        "feed",
        |policy| policy.feed.is_some(),
        |request| json!(request.feed),
    ),
    (
        "queue",
        |policy| policy.queue.is_some(),
        |request| json!(request.queue),
    ),
];

/// Returns the policy values of a service's request types, or of the one named `request`.
///
/// Returns nothing if the service or the request type does not exist.
pub fn explain(tree: &Region, service: &str, request: Option<&str>) -> Vec<ExplainedValue> {
    let mut values = Vec::new();
    let Some(settings) = tree.services.get(service) else {
        return values;
    };
    for resolved in tree.request_types(service) {
        if request.is_some_and(|name| name != resolved.name) {
            continue;
        }
        let levels = [
            (Level::Request, &settings.requests[&resolved.name].policy),
            (Level::Service, &settings.policy),
            (Level::Region, &tree.policy),
        ];
        for (name, is_set, value) in POLICY_VALUES {
            let source = levels.iter().find(|(_, policy)| is_set(policy));
            values.push(ExplainedValue {
                request: resolved.name.clone(),
                name,
                value: value(&resolved),
                level: source.map_or(Level::Default, |(level, _)| *level),
            });
        }
    }
    values
}
