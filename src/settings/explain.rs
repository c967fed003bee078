//! Which level of the tree sets each value of a request type.

use serde::Serialize;
use serde_json::{Value, json};

use crate::config::tree::{Policy, Region, RequestPlan};

/// A level of the tree.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Level {
    /// No level sets the value.
    Default,
    /// The region.
    Region,
    /// The service.
    Service,
    /// The request type.
    Request,
}

impl Level {
    /// Returns the level's name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Level::Default => "default",
            Level::Region => "region",
            Level::Service => "service",
            Level::Request => "request",
        }
    }
}

/// A value with the level that set it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Explained {
    /// Name of the request type.
    pub request: String,
    /// Name of the value.
    pub name: &'static str,
    /// The value in force.
    pub value: Value,
    /// The level that set it.
    pub level: Level,
}

/// A value of a policy: its name, whether a policy sets it, and its resolved value.
type Row = (&'static str, fn(&Policy) -> bool, fn(&RequestPlan) -> Value);

const ROWS: &[Row] = &[
    (
        "timeout_ms",
        |policy| policy.timeout_ms.is_some(),
        |plan| json!(plan.timeout.as_millis() as u64),
    ),
    (
        "priority",
        |policy| policy.priority.is_some(),
        |plan| json!(plan.priority),
    ),
    (
        "idempotent",
        |policy| policy.idempotent.is_some(),
        |plan| json!(plan.idempotent),
    ),
    (
        "feed",
        |policy| policy.feed.is_some(),
        |plan| json!(plan.feed),
    ),
    (
        "queue",
        |policy| policy.queue.is_some(),
        |plan| json!(plan.queue),
    ),
];

/// Returns each value of a service's request types; empty if there is none of that name.
pub fn explain(tree: &Region, service: &str, request: Option<&str>) -> Vec<Explained> {
    let mut values = Vec::new();
    let Some(settings) = tree.services.get(service) else {
        return values;
    };
    for plan in tree.plans(service) {
        if request.is_some_and(|name| name != plan.name) {
            continue;
        }
        let levels = [
            (Level::Request, &settings.requests[&plan.name].policy),
            (Level::Service, &settings.policy),
            (Level::Region, &tree.policy),
        ];
        for (name, is_set, value) in ROWS {
            let setter = levels.iter().find(|(_, policy)| is_set(policy));
            values.push(Explained {
                request: plan.name.clone(),
                name,
                value: value(&plan),
                level: setter.map_or(Level::Default, |(level, _)| *level),
            });
        }
    }
    values
}
