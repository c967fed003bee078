//! Which settings are in force: each part by its highest revision, the whole only if it is valid.

use xxhash_rust::xxh3::xxh3_64;

use super::part::{Content, Part, PartName, Parts, head_revision, join, split};
use crate::config::{Fault, tree::Region};

/// Change id of parts that come from a process's own file.
const FILE_CHANGE: &str = "file";

/// What became of offered parts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// A newer tree is in force.
    Advanced {
        /// Parts that changed.
        changed: Vec<PartName>,
    },
    /// Nothing was newer.
    Unchanged,
    /// The tree with the offered parts is not valid; the one before stays in force.
    Refused(Fault),
}

/// The parts in force in one process.
#[derive(Clone, Debug)]
pub struct Holdings {
    parts: Parts,
    tree: Region,
}

impl Holdings {
    /// Returns the holdings of a process that knows only its own file.
    pub fn from_file(tree: Region) -> Self {
        let stamp = Part {
            revision: 0,
            change: FILE_CHANGE.to_owned(),
            author: FILE_CHANGE.to_owned(),
            time_ms: 0,
            content: Content::Region(tree.policy.clone()),
        };
        Self {
            parts: split(&tree, &stamp),
            tree,
        }
    }

    /// Returns the tree in force.
    pub fn tree(&self) -> &Region {
        &self.tree
    }

    /// Returns the parts in force.
    pub fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Returns the highest revision in force; 0 if the tree comes from the file.
    pub fn revision(&self) -> u64 {
        head_revision(&self.parts)
    }

    /// Returns a number that differs wherever the parts differ.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for (name, part) in &self.parts {
            let line = format!("{name} {} {}", part.revision, part.change);
            digest ^= xxh3_64(line.as_bytes());
        }
        digest
    }

    /// Takes each part that is newer than its own, if the whole is valid then.
    ///
    /// Parts of the file count only as long as nothing else is known, so that processes with
    /// different files agree. Merging is commutative, associative and idempotent where all trees
    /// are valid (a join semilattice), so that the order of offers does not matter.
    pub fn offer(&mut self, offered: &Parts) -> Verdict {
        let mut parts = self.parts.clone();
        let mut changed = Vec::new();
        if head_revision(offered) > 0 {
            parts.retain(|_, part| part.revision > 0);
        }
        for (name, part) in offered {
            let known = parts.get(name);
            if part.revision == 0 || known.is_some_and(|known| !part.supersedes(known)) {
                continue;
            }
            parts.insert(name.clone(), part.clone());
            changed.push(name.clone());
        }
        if changed.is_empty() {
            return Verdict::Unchanged;
        }
        match join(&self.tree.region, &parts) {
            Ok(tree) => {
                self.parts = parts;
                self.tree = tree;
                Verdict::Advanced { changed }
            }
            Err(fault) => Verdict::Refused(fault),
        }
    }

    /// Returns the parts in force that a store lacks or holds in an older revision.
    pub fn missing_in(&self, stored: &Parts) -> Parts {
        let mut missing = Parts::new();
        for (name, part) in &self.parts {
            let older = stored.get(name).is_none_or(|other| part.supersedes(other));
            if part.revision > 0 && older {
                missing.insert(name.clone(), part.clone());
            }
        }
        missing
    }
}
