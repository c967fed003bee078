//! What an operator asks for, applied to a tree.

use std::{collections::BTreeMap, path::Path};

use serde_json::{Map, Value};

use super::part::{Content, PART_BYTES, Part, PartName, Parts, join};
use crate::config::{self, ConfigError, Fault, tree::Region};

/// Most parts that one edit writes; a transaction holds 128 operations.
pub const EDIT_PARTS: usize = 60;

/// A change of the tree.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Sets one value; `Null` removes it.
    Set {
        /// Path in the tree, such as `services.wind.policy.timeout_ms`.
        path: String,
        /// The value.
        value: Value,
    },
    /// Replaces the whole tree.
    Replace(Region),
}

impl Change {
    /// Returns the parts that differ after the change, with their new content.
    ///
    /// # Errors
    ///
    /// Fails with the first fault of the whole tree after the change.
    pub fn apply(&self, region: &str, parts: &Parts) -> Result<BTreeMap<PartName, Content>, Fault> {
        let tree = join(region, parts)?;
        let wanted = match self {
            Change::Set { path, value } => set(&tree, path, value)?,
            Change::Replace(wanted) => wanted.clone(),
        };
        if wanted.region != region {
            return Err(Fault::new("region", format!("the region's name, {region}")));
        }
        let changed = differing(parts, &wanted);
        check_tags(parts, &changed)?;
        check_sizes(&changed)?;
        Ok(changed)
    }
}

fn set(tree: &Region, path: &str, value: &Value) -> Result<Region, Fault> {
    let mut whole = serde_json::to_value(tree).expect("trees encode");
    let mut steps: Vec<&str> = path.split('.').collect();
    let last = steps.pop().unwrap_or_default();
    let mut place = &mut whole;
    for step in steps {
        let Value::Object(map) = place else {
            return Err(Fault::new(path, "a path through objects"));
        };
        place = map.entry(step).or_insert_with(|| Value::Object(Map::new()));
    }
    let Value::Object(map) = place else {
        return Err(Fault::new(path, "a path through objects"));
    };
    if value.is_null() {
        map.remove(last);
    } else {
        map.insert(last.to_owned(), value.clone());
    }
    let parsed = config::parse::<Region>(Path::new("tree"), &whole.to_string());
    parsed.map_err(|error| match error {
        ConfigError::Unfit { path, expected, .. } | ConfigError::Invalid { path, expected, .. } => {
            // The place in a text that the operator never sees is of no use.
            let expected = expected.split(" at line ").next().unwrap_or_default();
            Fault::new(path, expected)
        }
        ConfigError::Unreadable { source, .. } => Fault::new(path, source.to_string()),
    })
}

fn differing(parts: &Parts, wanted: &Region) -> BTreeMap<PartName, Content> {
    let mut changed = BTreeMap::new();
    changed.insert(PartName::Region, Content::Region(wanted.policy.clone()));
    for (name, service) in &wanted.services {
        let content = Content::Service(service.clone());
        changed.insert(PartName::Service(name.clone()), content);
    }
    for (name, part) in parts {
        if let Content::Service(service) = &part.content {
            changed
                .entry(name.clone())
                .or_insert(Content::Removed(service.tag));
        }
    }
    changed.retain(|name, content| parts.get(name).is_none_or(|part| part.content != *content));
    changed
}

/// Refuses a new tag for a service whose flows carry the old one.
fn check_tags(parts: &Parts, changed: &BTreeMap<PartName, Content>) -> Result<(), Fault> {
    for (name, content) in changed {
        let old = parts.get(name).map(|part| &part.content);
        let (Some(Content::Service(old)), Content::Service(new)) = (old, content) else {
            continue;
        };
        if old.tag != new.tag {
            let path = name.to_string().replace('/', ".");
            let expected = format!("{}, which open flows carry", old.tag.0);
            return Err(Fault::new(format!("{path}.tag"), expected));
        }
    }
    Ok(())
}

fn check_sizes(changed: &BTreeMap<PartName, Content>) -> Result<(), Fault> {
    if changed.len() > EDIT_PARTS {
        let expected = format!("a change of at most {EDIT_PARTS} services at once");
        return Err(Fault::new("services", expected));
    }
    for (name, content) in changed {
        let length = serde_json::to_string(content).map_or(0, |text| text.len());
        if length > PART_BYTES {
            let expected = format!("at most {PART_BYTES} bytes");
            return Err(Fault::new(name.to_string(), expected));
        }
    }
    Ok(())
}

/// A value that two trees have differently.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Difference {
    /// Path in the part.
    pub path: String,
    /// Value before.
    pub before: Value,
    /// Value now.
    pub now: Value,
}

/// Returns the values in which two states of a part differ.
pub fn differences(before: Option<&Part>, now: Option<&Part>) -> Vec<Difference> {
    let value = |part: Option<&Part>| {
        part.map_or(Value::Null, |part| {
            serde_json::to_value(&part.content).unwrap_or_default()
        })
    };
    let mut found = Vec::new();
    compare("", &value(before), &value(now), &mut found);
    found
}

fn compare(path: &str, before: &Value, now: &Value, found: &mut Vec<Difference>) {
    if before == now {
        return;
    }
    let (Value::Object(old), Value::Object(new)) = (before, now) else {
        found.push(Difference {
            path: path.to_owned(),
            before: before.clone(),
            now: now.clone(),
        });
        return;
    };
    let mut keys: Vec<&String> = old.keys().chain(new.keys()).collect();
    keys.sort();
    keys.dedup();
    for key in keys {
        let path = if path.is_empty() {
            key.clone()
        } else {
            format!("{path}.{key}")
        };
        let side = |map: &Map<String, Value>| map.get(key).cloned().unwrap_or(Value::Null);
        compare(&path, &side(old), &side(new), found);
    }
}
