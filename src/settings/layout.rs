//! Where the settings stand in the store.
//!
//! A region has the keys `tree/head`, `tree/parts/PART`, `history/PART` and `seeds/ADDRESS` behind
//! the prefix `berylvalve/REGION/`. Each edit writes the head, so that edits follow each other.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddrV4,
};

use serde::{Deserialize, Serialize};

use super::part::{Part, PartName, Parts, head_revision};
use crate::store::{Compare, Snapshot, Transaction, Write};

/// Changes that the head names.
pub const RECENT_CHANGES: usize = 32;

/// Earlier values that the store keeps of each part.
pub const HISTORY_LENGTH: usize = 8;

/// Keys of one region.
#[derive(Clone, Debug)]
pub struct Layout {
    prefix: String,
}

/// An accepted change as the head names it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeMark {
    /// Revision of the settings.
    pub revision: u64,
    /// Id of the change.
    pub change: String,
}

/// Value of the head.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Highest revision of the settings in the store.
    pub revision: u64,
    /// Last changes, newest first.
    pub recent: VecDeque<ChangeMark>,
}

impl Head {
    /// Returns the head after a change.
    pub fn with(&self, mark: ChangeMark) -> Head {
        let mut head = self.clone();
        head.revision = head.revision.max(mark.revision);
        head.recent.push_front(mark);
        head.recent.truncate(RECENT_CHANGES);
        head
    }

    /// Returns the mark of a change, if it is among the last ones.
    pub fn find(&self, change: &str) -> Option<&ChangeMark> {
        self.recent.iter().find(|mark| mark.change == change)
    }

    /// Returns whether a change after `revision` might have left the list.
    pub fn forgot_after(&self, revision: u64) -> bool {
        let oldest = self.recent.back().map_or(0, |mark| mark.revision);
        self.recent.len() == RECENT_CHANGES && oldest > revision
    }
}

/// The tree as the store holds it.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Stored {
    /// The head.
    pub head: Head,
    /// Store revision of the head; 0 if there is none.
    pub head_version: u64,
    /// Parts that can be read.
    pub parts: Parts,
    /// Keys whose value can't be read.
    pub damaged: Vec<String>,
    /// Store revision of the snapshot.
    pub version: u64,
}

/// Parts to write under the condition that nothing was written since `head_version`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Proposal {
    /// Store revision of the head that was read; 0 if there was none.
    pub head_version: u64,
    /// The head to write.
    pub head: Head,
    /// The parts to write.
    pub parts: Parts,
}

impl Layout {
    /// Returns the keys of a region.
    pub fn new(region: &str) -> Self {
        Self {
            prefix: format!("berylvalve/{region}/"),
        }
    }

    /// Returns the prefix of the head and all parts.
    pub fn tree(&self) -> String {
        format!("{}tree/", self.prefix)
    }

    /// Returns the key of the head.
    pub fn head(&self) -> String {
        format!("{}tree/head", self.prefix)
    }

    /// Returns the prefix of all parts.
    pub fn parts(&self) -> String {
        format!("{}tree/parts/", self.prefix)
    }

    /// Returns the key of a part's earlier values.
    pub fn history(&self, name: &PartName) -> String {
        format!("{}history/{name}", self.prefix)
    }

    /// Returns the prefix of the seeds.
    pub fn seeds(&self) -> String {
        format!("{}seeds/", self.prefix)
    }

    /// Returns the key of a seed.
    pub fn seed(&self, control: SocketAddrV4) -> String {
        format!("{}seeds/{control}", self.prefix)
    }

    /// Reads a snapshot of the tree; values that can't be read are named, not taken.
    pub fn read(&self, snapshot: &Snapshot) -> Stored {
        let mut stored = Stored {
            version: snapshot.revision,
            ..Stored::default()
        };
        let (head, parts) = (self.head(), self.parts());
        for item in &snapshot.items {
            let text = String::from_utf8_lossy(&item.value);
            if item.key == head {
                stored.head_version = item.revision;
                match serde_json::from_str(&text) {
                    Ok(head) => stored.head = head,
                    Err(_) => stored.damaged.push(item.key.clone()),
                }
                continue;
            }
            let name = item.key.strip_prefix(&parts).and_then(|n| n.parse().ok());
            let part = name.and_then(|name| Some((Part::decode(&name, &text).ok()?, name)));
            match part {
                Some((part, name)) => {
                    stored.parts.insert(name, part);
                }
                None => stored.damaged.push(item.key.clone()),
            }
        }
        stored
    }

    /// Returns the transaction of a proposal; `histories` are the earlier values of its parts.
    pub fn write(&self, proposal: &Proposal, histories: &Histories) -> Transaction {
        let mut transaction = Transaction {
            compares: vec![Compare {
                key: self.head(),
                revision: proposal.head_version,
            }],
            writes: vec![write(self.head(), &proposal.head)],
        };
        for (name, part) in &proposal.parts {
            let key = format!("{}{name}", self.parts());
            transaction.writes.push(write(key, part));
            let mut history = histories.get(name).cloned().unwrap_or_default();
            history.push_front(part.clone());
            history.truncate(HISTORY_LENGTH);
            transaction.writes.push(write(self.history(name), &history));
        }
        transaction
    }
}

/// Values of parts by name, newest first.
pub type Histories = BTreeMap<PartName, VecDeque<Part>>;

fn write<T: Serialize>(key: String, value: &T) -> Write {
    Write {
        key,
        value: serde_json::to_vec(value).expect("values encode"),
        lease: None,
    }
}

/// Returns the proposal that writes parts back which a store has lost.
pub fn write_back(stored: &Stored, missing: &Parts, limit: usize) -> Proposal {
    let mut head = stored.head.clone();
    let mut oldest: Vec<_> = missing.iter().collect();
    oldest.sort_by_key(|(_, part)| part.revision);
    oldest.truncate(limit);
    let mut parts = Parts::new();
    for (name, part) in oldest {
        head = head.with(ChangeMark {
            revision: part.revision,
            change: part.change.clone(),
        });
        parts.insert(name.clone(), part.clone());
    }
    head.revision = head.revision.max(head_revision(&parts));
    Proposal {
        head_version: stored.head_version,
        head,
        parts,
    }
}
