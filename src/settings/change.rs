//! Changes of the settings that operators request.

use std::{collections::BTreeMap, path::Path};

use serde_json::{Map, Value};

use super::part::{Content, MAX_PART_BYTES, Part, PartName, Parts, join};
use crate::config::{self, ConfigError, Violation, tree::Region};

/// Largest number of parts that one edit writes.
///
/// etcd allows 128 operations in a transaction; an edit writes the head, and two keys for each part.
pub const MAX_EDIT_PARTS: usize = 60;

/// A requested change of the tree.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
    /// Sets one value; `null` removes it.
    Set {
        /// Path in the tree, with the keys separated by dots, such as `services.wind.policy.timeout_ms`.
        path: String,
        /// New value.
        value: Value,
    },
    /// Replaces the whole tree.
    Replace(Region),
}

impl Change {
    /// Returns the parts that the change modifies, with their new content.
    ///
    /// Checks neither the tree of a [`Change::Replace`] nor the tags of removed services; the caller
    /// must check the result with [`join`].
    ///
    /// # Errors
    ///
    /// Fails with the first violation if the stored tree or the tree with a set value is not valid,
    /// the change is too large, or it modifies the region's name or a service's tag.
    pub fn apply(
        &self,
        region: &str,
        parts: &Parts,
    ) -> Result<BTreeMap<PartName, Content>, Violation> {
        let tree = join(region, parts)?;
        let requested = match self {
            Change::Set { path, value } => set_value(&tree, path, value)?,
            Change::Replace(requested) => requested.clone(),
        };
        if requested.region != region {
            return Err(Violation::new(
                "region",
                format!("{region}, the name of the edited region"),
            ));
        }
        let changed = changed_parts(parts, &requested);
        check_tags(parts, &changed)?;
        check_sizes(&changed)?;
        Ok(changed)
    }
}

fn set_value(tree: &Region, path: &str, value: &Value) -> Result<Region, Violation> {
    let mut root = serde_json::to_value(tree).expect("trees encode");
    let mut keys: Vec<&str> = path.split('.').collect();
    let last = keys.pop().unwrap_or_default();
    let mut node = &mut root;
    for key in keys {
        let Value::Object(map) = node else {
            return Err(Violation::new(path, "a path through objects"));
        };
        node = map.entry(key).or_insert_with(|| Value::Object(Map::new()));
    }
    let Value::Object(map) = node else {
        return Err(Violation::new(path, "a path through objects"));
    };
    if value.is_null() {
        map.remove(last);
    } else {
        map.insert(last.to_owned(), value.clone());
    }
    let parsed = config::parse::<Region>(Path::new("tree"), &root.to_string());
    parsed.map_err(|error| match error {
        ConfigError::Malformed {
            path,
            message: expected,
            ..
        }
        | ConfigError::Invalid { path, expected, .. } => {
            // The parsed text is generated, so its line and column are of no use to the operator.
            let expected = expected.split(" at line ").next().unwrap_or_default();
            Violation::new(path, expected)
        }
        ConfigError::Unreadable { source, .. } => Violation::new(path, source.to_string()),
    })
}

fn changed_parts(parts: &Parts, requested: &Region) -> BTreeMap<PartName, Content> {
    let mut changed = BTreeMap::new();
    changed.insert(PartName::Region, Content::Region(requested.policy.clone()));
    for (name, service) in &requested.services {
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

/// Rejects a new tag for an existing service, because open flows carry the old one.
fn check_tags(parts: &Parts, changed: &BTreeMap<PartName, Content>) -> Result<(), Violation> {
    for (name, content) in changed {
        let old = parts.get(name).map(|part| &part.content);
        let (Some(Content::Service(old)), Content::Service(new)) = (old, content) else {
            continue;
        };
        if old.tag != new.tag {
            let path = name.to_string().replace('/', ".");
            let expected = format!("{}, the current tag, which open flows carry", old.tag.0);
            return Err(Violation::new(format!("{path}.tag"), expected));
        }
    }
    Ok(())
}

fn check_sizes(changed: &BTreeMap<PartName, Content>) -> Result<(), Violation> {
    if changed.len() > MAX_EDIT_PARTS {
        let expected = format!(
            "a change of at most {MAX_EDIT_PARTS} parts (services and the region's defaults) at once"
        );
        return Err(Violation::new("services", expected));
    }
    for (name, content) in changed {
        let length = serde_json::to_string(content).map_or(0, |text| text.len());
        if length > MAX_PART_BYTES {
            let expected = format!("at most {MAX_PART_BYTES} bytes");
            return Err(Violation::new(name.to_string(), expected));
        }
    }
    Ok(())
}

/// A value that differs between two states of a part.
#[derive(Clone, Debug, Eq, PartialEq, serde::Serialize)]
pub struct Difference {
    /// Path in the part's content, such as `service.policy.timeout_ms`; empty for the whole
    /// content.
    pub path: String,
    /// Earlier value; `null` if there was none.
    pub before: Value,
    /// Current value; `null` if there is none.
    pub now: Value,
}

/// Returns the values that differ between two states of a part.
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
