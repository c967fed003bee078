//! Keys and values of the settings in the store.
//!
//! A region has the keys `tree/head`, `tree/parts/PART`, `history/PART` and `seeds/ADDRESS` under
//! the prefix `berylvalve/REGION/`. Each edit writes the head under the condition that it has not
//! changed, which serializes all edits of a region.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
};

use serde::{Deserialize, Serialize};

use super::part::{Part, PartName, Parts, max_revision};
use crate::store::{Compare, Position, Snapshot, Transaction, Write};

/// Largest number of recent changes that the head lists.
pub const MAX_RECENT_CHANGES: usize = 32;

/// Largest number of values that the history of a part keeps, the current one included.
pub const MAX_HISTORY_ENTRIES: usize = 8;

/// The keys of one region.
#[derive(Clone, Debug)]
pub struct Layout {
    prefix: String,
}

/// A reference to an accepted change.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRef {
    /// Revision that the change brought.
    pub revision: u64,
    /// Id of the change.
    pub change: String,
}

/// The value of the key `tree/head`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Highest revision of the settings in the store.
    pub revision: u64,
    /// Recent changes, newest first.
    pub recent: VecDeque<ChangeRef>,
}

impl Head {
    /// Returns the head with a change added.
    pub fn with_change(&self, change: ChangeRef) -> Head {
        let mut head = self.clone();
        head.revision = head.revision.max(change.revision);
        head.recent.push_front(change);
        head.recent.truncate(MAX_RECENT_CHANGES);
        head
    }

    /// Returns a recent change by its id; `None` if it is not listed.
    pub fn find(&self, change: &str) -> Option<&ChangeRef> {
        self.recent.iter().find(|recent| recent.change == change)
    }

    /// Returns whether a change newer than `revision` may have been dropped from the list.
    pub fn may_omit_after(&self, revision: u64) -> bool {
        let oldest = self.recent.back().map_or(0, |recent| recent.revision);
        self.recent.len() == MAX_RECENT_CHANGES && oldest > revision
    }
}

/// The head and parts that a read of the store returned.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredTree {
    /// Head; empty if there is none or it can't be decoded.
    pub head: Head,
    /// Position of the head's last write; [`Position::START`] if there is none.
    pub head_position: Position,
    /// Parts that can be decoded.
    pub parts: Parts,
    /// Keys whose name or value can't be decoded.
    pub unreadable: Vec<String>,
    /// Position of the snapshot.
    pub position: Position,
}

/// Parts to write under the condition that the head is still at `head_position`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Position of the last write of the head that was read; [`Position::START`] if there was none.
    pub head_position: Position,
    /// New head.
    pub head: Head,
    /// New parts.
    pub parts: Parts,
}

impl Layout {
    /// Returns the layout of a region.
    pub fn new(region: &str) -> Self {
        Self {
            prefix: format!("berylvalve/{region}/"),
        }
    }

    /// Returns the prefix of the head and all parts.
    pub fn tree_prefix(&self) -> String {
        format!("{}tree/", self.prefix)
    }

    /// Returns the key of the head.
    pub fn head_key(&self) -> String {
        format!("{}tree/head", self.prefix)
    }

    /// Returns the prefix of all parts.
    pub fn parts_prefix(&self) -> String {
        format!("{}tree/parts/", self.prefix)
    }

    /// Returns the key of a part's history.
    pub fn history_key(&self, name: &PartName) -> String {
        format!("{}history/{name}", self.prefix)
    }

    /// Returns the prefix of the seeds.
    pub fn seeds_prefix(&self) -> String {
        format!("{}seeds/", self.prefix)
    }

    /// Returns the key of the seed with a control address.
    pub fn seed_key(&self, control: SocketAddrV4) -> String {
        format!("{}seeds/{control}", self.prefix)
    }

    /// Decodes a snapshot of the tree; items that can't be decoded are listed as unreadable.
    pub fn decode(&self, snapshot: &Snapshot) -> StoredTree {
        let mut stored = StoredTree {
            position: snapshot.position,
            ..StoredTree::default()
        };
        let (head, parts) = (self.head_key(), self.parts_prefix());
        for item in &snapshot.items {
            let text = String::from_utf8_lossy(&item.value);
            if item.key == head {
                stored.head_position = item.position;
                match serde_json::from_str(&text) {
                    Ok(head) => stored.head = head,
                    Err(_) => stored.unreadable.push(item.key.clone()),
                }
                continue;
            }
            let name = item.key.strip_prefix(&parts).and_then(|n| n.parse().ok());
            let part = name.and_then(|name| Some((Part::decode(&name, &text).ok()?, name)));
            match part {
                Some((part, name)) => {
                    stored.parts.insert(name, part);
                }
                None => stored.unreadable.push(item.key.clone()),
            }
        }
        stored
    }

    /// Returns the transaction of a proposal; `histories` holds the present histories of its parts.
    pub fn transaction(&self, proposal: &Proposal, histories: &Histories) -> Transaction {
        let mut transaction = Transaction {
            compares: vec![Compare {
                key: self.head_key(),
                position: proposal.head_position,
            }],
            writes: vec![put(self.head_key(), &proposal.head)],
        };
        for (name, part) in &proposal.parts {
            let key = format!("{}{name}", self.parts_prefix());
            transaction.writes.push(put(key, part));
            let mut history = histories.get(name).cloned().unwrap_or_default();
            history.push_front(part.clone());
            history.truncate(MAX_HISTORY_ENTRIES);
            transaction
                .writes
                .push(put(self.history_key(name), &history));
        }
        transaction
    }
}

/// Histories by part name, with the newest value first.
pub type Histories = BTreeMap<PartName, VecDeque<Part>>;

fn put<T: Serialize>(key: String, value: &T) -> Write {
    Write {
        key,
        value: serde_json::to_vec(value).expect("values encode"),
        lease: None,
    }
}

/// Returns a proposal that restores up to `limit` missing parts, lowest revisions first.
pub fn restore_proposal(stored: &StoredTree, missing: &Parts, limit: usize) -> Proposal {
    let mut head = stored.head.clone();
    let mut oldest: Vec<_> = missing.iter().collect();
    oldest.sort_by_key(|(_, part)| part.revision);
    oldest.truncate(limit);
    let mut parts = Parts::new();
    for (name, part) in oldest {
        head = head.with_change(ChangeRef {
            revision: part.revision,
            change: part.change.clone(),
        });
        parts.insert(name.clone(), part.clone());
    }
    head.revision = head.revision.max(max_revision(&parts));
    Proposal {
        head_position: stored.head_position,
        head,
        parts,
    }
}
