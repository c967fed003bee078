//! The tree of settings in parts: the region's defaults, and each service with its request types.

use std::{collections::BTreeMap, fmt, path::Path, str::FromStr};

use serde::{Deserialize, Serialize};

use crate::{
    config::{
        self, Check, ConfigError, Fault,
        tree::{Policy, Region, ServiceSettings},
    },
    owner_id::ServiceTag,
};

/// Largest part in the store, in bytes.
pub const PART_BYTES: usize = 256 << 10;

const REGION: &str = "region";
const SERVICES: &str = "services/";

/// Name of a part; its text is the part's key in the store behind the region's prefix.
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
            PartName::Region => f.write_str(REGION),
            PartName::Service(name) => write!(f, "{SERVICES}{name}"),
        }
    }
}

impl FromStr for PartName {
    type Err = Fault;

    fn from_str(text: &str) -> Result<Self, Fault> {
        if text == REGION {
            return Ok(PartName::Region);
        }
        match text.strip_prefix(SERVICES) {
            Some(name) if !name.is_empty() => Ok(PartName::Service(name.to_owned())),
            _ => Err(Fault::new(text, "region or services/NAME")),
        }
    }
}

/// What a part says.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "lowercase")]
pub enum Content {
    /// Defaults of the region.
    Region(Policy),
    /// A service.
    Service(ServiceSettings),
    /// A service that was taken out; its tag is never given to another one.
    Removed(ServiceTag),
}

/// A part as the store holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Revision of the settings that brought this content.
    pub revision: u64,
    /// Id of the change.
    pub change: String,
    /// Who made the change.
    pub author: String,
    /// When the change was made, in milliseconds since 1970.
    pub time_ms: u64,
    /// What the part says.
    pub content: Content,
}

impl Part {
    /// Returns whether this part replaces `other` of the same name.
    pub fn supersedes(&self, other: &Part) -> bool {
        (self.revision, &self.change) > (other.revision, &other.change)
    }

    /// Returns the part's value in the store.
    pub fn encode(&self) -> String {
        serde_json::to_string(self).expect("parts encode")
    }

    /// Reads a part's value in the store.
    ///
    /// # Errors
    ///
    /// Fails if the value is cut short, has unknown fields, or does not fit the part's name.
    pub fn decode(name: &PartName, text: &str) -> Result<Self, ConfigError> {
        config::parse::<Checked>(Path::new(&name.to_string()), text).and_then(|checked| {
            let part = checked.0;
            let fits = matches!(part.content, Content::Region(_)) == (*name == PartName::Region);
            if fits {
                return Ok(part);
            }
            Err(ConfigError::Invalid {
                file: name.to_string().into(),
                path: "content".into(),
                expected: "content of the part's kind".into(),
            })
        })
    }
}

/// A part whose values are checked only together with all other parts.
#[derive(Deserialize)]
#[serde(transparent)]
struct Checked(Part);

impl Check for Checked {
    fn check(&self) -> Result<(), Fault> {
        Ok(())
    }
}

/// Parts by name.
pub type Parts = BTreeMap<PartName, Part>;

/// Returns the highest revision of some parts; 0 if there are none.
pub fn head_revision(parts: &Parts) -> u64 {
    parts.values().map(|part| part.revision).max().unwrap_or(0)
}

/// Returns the parts of a tree, all with the revision, change and author of `stamp`.
pub fn split(tree: &Region, stamp: &Part) -> Parts {
    let part = |content| Part {
        content,
        ..stamp.clone()
    };
    let mut parts = Parts::new();
    parts.insert(PartName::Region, part(Content::Region(tree.policy.clone())));
    for (name, service) in &tree.services {
        let content = Content::Service(service.clone());
        parts.insert(PartName::Service(name.clone()), part(content));
    }
    parts
}

/// Returns the tree that parts make up, checked as a whole.
///
/// # Errors
///
/// Fails with the first fault, also if a tag was that of a service taken out.
pub fn join(region: &str, parts: &Parts) -> Result<Region, Fault> {
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
            _ => return Err(Fault::new(name.to_string(), "content of the part's kind")),
        }
    }
    tree.check()?;
    for (name, service) in &tree.services {
        if let Some(other) = removed.get(&service.tag.0) {
            let expected = format!("a tag that the removed service {other} did not have");
            return Err(Fault::new(format!("services.{name}.tag"), expected));
        }
    }
    Ok(tree)
}
