//! A process's replica of the settings: the newest revision of each part, if the tree is valid.

use xxhash_rust::xxh3::xxh3_64;

use super::part::{Content, Part, PartName, Parts, join, max_revision, split};
use crate::config::{Violation, tree::Region};

/// Change id and author of parts that come from a process's own file.
const FILE_CHANGE: &str = "file";

/// The result of a merge.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MergeOutcome {
    /// At least one part was newer, and the merged tree is active.
    Advanced {
        /// Parts that changed.
        changed: Vec<PartName>,
    },
    /// No part was newer.
    Unchanged,
    /// The merged tree is not valid; the previous one stays active.
    Rejected(Violation),
}

/// The active parts of one process and the tree that they form.
#[derive(Clone, Debug)]
pub struct Replica {
    parts: Parts,
    tree: Region,
}

impl Replica {
    /// Returns a replica with the tree of the process's own file, at revision 0.
    pub fn from_file(tree: Region) -> Self {
        let template = Part {
            revision: 0,
            change: FILE_CHANGE.to_owned(),
            author: FILE_CHANGE.to_owned(),
            time_ms: 0,
            content: Content::Region(tree.policy.clone()),
        };
        Self {
            parts: split(&tree, &template),
            tree,
        }
    }

    /// Returns the active tree, which is always valid.
    pub fn tree(&self) -> &Region {
        &self.tree
    }

    /// Returns the active parts, removed services included.
    pub fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Returns the highest active revision; 0 if the tree comes from the file.
    pub fn revision(&self) -> u64 {
        max_revision(&self.parts)
    }

    /// Returns a 64-bit hash of the names, revisions and change ids of all parts.
    ///
    /// Replicas with different parts have different digests except for hash collisions.
    pub fn digest(&self) -> u64 {
        let mut digest = 0;
        for (name, part) in &self.parts {
            let line = format!("{name} {} {}", part.revision, part.change);
            digest ^= xxh3_64(line.as_bytes());
        }
        digest
    }

    /// Merges each part that is newer than the replica's, provided that the resulting tree is valid.
    ///
    /// Parts of the file are dropped as soon as any other part is known, so that processes with
    /// different files converge. Merging is commutative, associative and idempotent where all trees
    /// are valid (a join semilattice), so the order of merges does not matter.
    pub fn merge(&mut self, other: &Parts) -> MergeOutcome {
        let mut parts = self.parts.clone();
        let mut changed = Vec::new();
        if max_revision(other) > 0 {
            parts.retain(|_, part| part.revision > 0);
        }
        for (name, part) in other {
            let known = parts.get(name);
            if part.revision == 0 || known.is_some_and(|known| !part.supersedes(known)) {
                continue;
            }
            parts.insert(name.clone(), part.clone());
            changed.push(name.clone());
        }
        if changed.is_empty() {
            return MergeOutcome::Unchanged;
        }
        match join(&self.tree.region, &parts) {
            Ok(tree) => {
                self.parts = parts;
                self.tree = tree;
                MergeOutcome::Advanced { changed }
            }
            Err(violation) => MergeOutcome::Rejected(violation),
        }
    }

    /// Returns the active parts that a store lacks or holds at an older revision.
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
