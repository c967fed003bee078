//! The parts that the tree is stored in: the region's defaults, and each service with its request
//! types.

use std::{collections::BTreeMap, fmt, path::Path, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        self, Check, ConfigError, Violation,
        tree::{Policy, Region, ServiceSettings},
    },
    owner_id::ServiceTag,
};

/// Largest encoded content of a part, in bytes.
pub const MAX_PART_BYTES: usize = 256 << 10;

const REGION_PART: &str = "region";
const SERVICE_PREFIX: &str = "services/";

/// The name of a part, which is also the end of its key in the store.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PartName {
    /// Defaults of the region.
    Region,
    /// A service with its request types.
    Service(String),
}

impl fmt::Display for PartName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PartName::Region => f.write_str(REGION_PART),
            PartName::Service(name) => write!(f, "{SERVICE_PREFIX}{name}"),
        }
    }
}

impl FromStr for PartName {
    type Err = Violation;

    fn from_str(text: &str) -> Result<Self, Violation> {
        if text == REGION_PART {
            return Ok(PartName::Region);
        }
        match text.strip_prefix(SERVICE_PREFIX) {
            Some(name) if !name.is_empty() => Ok(PartName::Service(name.to_owned())),
            _ => Err(Violation::new(text, "region or services/NAME")),
        }
    }
}

/// The content of a part.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum Content {
    /// Defaults of the region.
    Region(Policy),
    /// A service.
    Service(ServiceSettings),
    /// The tombstone of a removed service, whose tag is never reused.
    Removed(ServiceTag),
}

/// A part with the change that brought its content.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Revision of the settings at which this content was set.
    pub revision: u64,
    /// Id of the change.
    pub change: String,
    /// Author of the change.
    pub author: String,
    /// When the change was made, in milliseconds since 1970.
    pub time_ms: u64,
    /// Content of the part.
    pub content: Content,
}

impl Part {
    /// Returns whether this part is newer than `other` of the same name.
    ///
    /// Equal revisions are ordered by the change id, so that all processes choose the same part.
    pub fn supersedes(&self, other: &Part) -> bool {
        (self.revision, &self.change) > (other.revision, &other.change)
    }

    /// Returns the JSON text of the part.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("parts encode")
    }

    /// Parses the JSON text of a part; [`join`] checks its values.
    ///
    /// # Errors
    ///
    /// Fails if the text is truncated, has unknown fields, or holds the content of another kind of part.
    pub fn decode(name: &PartName, text: &str) -> Result<Self, ConfigError> {
        config::parse::<UncheckedPart>(Path::new(&name.to_string()), text).and_then(|unchecked| {
            let part = unchecked.0;
            let is_matching =
                matches!(part.content, Content::Region(_)) == (*name == PartName::Region);
            if is_matching {
                return Ok(part);
            }
            Err(ConfigError::Invalid {
                file: name.to_string().into(),
                path: "content".into(),
                expected: "content that matches the part's name".into(),
            })
        })
    }
}

/// A part whose values are checked only together with all other parts, by [`join`].
#[derive(Deserialize)]
#[serde(transparent)]
struct UncheckedPart(Part);

impl Check for UncheckedPart {
    fn check(&self) -> Result<(), Violation> {
        Ok(())
    }
}

/// Parts by name.
pub type Parts = BTreeMap<PartName, Part>;

/// Returns the highest revision of the parts; 0 if there are none.
pub fn max_revision(parts: &Parts) -> u64 {
    parts.values().map(|part| part.revision).max().unwrap_or(0)
}

/// Splits a tree into parts that take everything but their content from `template`.
pub fn split(tree: &Region, template: &Part) -> Parts {
    let part = |content| Part {
        content,
        ..template.clone()
    };
    let mut parts = Parts::new();
    parts.insert(PartName::Region, part(Content::Region(tree.policy.clone())));
    for (name, service) in &tree.services {
        let content = Content::Service(service.clone());
        parts.insert(PartName::Service(name.clone()), part(content));
    }
    parts
}

/// Joins parts to a tree and checks it as a whole.
///
/// # Errors
///
/// Fails with the first violation, such as a service with the tag of a removed one.
pub fn join(region: &str, parts: &Parts) -> Result<Region, Violation> {
    let mut tree = Region {
        region: region.to_owned(),
        ..Region::default()
    };
    let mut removed = BTreeMap::new();
    for (name, part) in parts {
        match (name, &part.content) {
            (PartName::Region, Content::Region(policy)) => tree.policy = policy.clone(),
            (PartName::Service(service), Content::Service(settings)) => {
                tree.services.insert(service.clone(), settings.clone());
            }
            (PartName::Service(service), Content::Removed(tag)) => {
                removed.insert(tag.0, service);
            }
            _ => {
                return Err(Violation::new(
                    name.to_string(),
                    "content that matches the part's name",
                ));
            }
        }
    }
    tree.check()?;
    for (name, service) in &tree.services {
        if let Some(other) = removed.get(&service.tag.0) {
            let expected = format!("a tag that the removed service {other} did not use");
            return Err(Violation::new(format!("services.{name}.tag"), expected));
        }
    }
    Ok(tree)
}
