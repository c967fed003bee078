//! One edit of the tree in the store, from the first read to a certain answer.

use std::time::Duration;

use serde::Serialize;

use super::{
    change::{Change, Difference, differences},
    layout::{ChangeMark, Proposal, Stored},
    part::{Part, PartName, Parts},
};
use crate::{
    clock::Time,
    config::Fault,
    store::{CommitOutcome, StoreError},
};

/// Time between two attempts on a store that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How an edit ended.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// The change is in the store.
    Accepted {
        /// Revision of the settings.
        revision: u64,
        /// Whether the store's answer was lost and the change was read back.
        read_back: bool,
    },
    /// The tree already is as asked for.
    Unchanged {
        /// Revision of the settings.
        revision: u64,
    },
    /// The tree would not be valid; nothing was changed.
    Invalid {
        /// Path in the tree.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// Another operator changed the part first; nothing was changed.
    Refused {
        /// Name of the part.
        part: String,
        /// Who changed it.
        author: String,
        /// Id of the other change.
        change: String,
        /// What the other change did.
        differences: Vec<Difference>,
    },
    /// The store holds older settings than the fleet; nothing was changed.
    Behind,
    /// The store did not answer; nothing was changed.
    Unavailable,
    /// The store did not answer after a write; the change may or may not be in it.
    Unknown,
}

/// What the driver reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// The tree was read, with the wall clock in milliseconds since 1970.
    Read(Stored, u64),
    /// The tree was read, but the fleet has newer settings in force.
    Behind,
    /// A write ended.
    Written(CommitOutcome),
    /// A read or a write failed; the flag tells whether it may have taken effect.
    Failed {
        /// Whether the call may have taken effect.
        lost: bool,
    },
    /// The time to wait for has come.
    Resumed,
}

impl From<&StoreError> for Event {
    fn from(error: &StoreError) -> Self {
        Event::Failed {
            lost: error.is_indeterminate(),
        }
    }
}

/// What the driver does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the whole tree.
    Read,
    /// Write if the head is as read.
    Write(Proposal),
    /// Resume at a time.
    Wait(Time),
    /// The edit has ended.
    Finish(Outcome),
}

/// The state machine of one edit.
#[derive(Clone, Debug)]
pub struct Edit {
    author: String,
    base: Option<Parts>,
    change: Change,
    deadline: Time,
    id: String,
    proposal: Option<Proposal>,
    region: String,
    /// Revision that the operator saw, for the parts to change.
    seen: Option<u64>,
    /// Whether a write may have taken effect.
    uncertain: bool,
    writing: bool,
}

impl Edit {
    /// Returns an edit that gives up at a deadline.
    pub fn new(region: &str, change: Change, id: String, author: String, deadline: Time) -> Self {
        Self {
            author,
            base: None,
            change,
            deadline,
            id,
            proposal: None,
            region: region.to_owned(),
            seen: None,
            uncertain: false,
            writing: false,
        }
    }

    /// Refuses the edit if a part to change is newer than the revision that the operator saw.
    pub fn only_if_seen(mut self, revision: Option<u64>) -> Self {
        self.seen = revision;
        self
    }

    /// Returns the id of the change.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Takes an event and returns what to do next; the first action is always a read.
    pub fn handle(&mut self, event: Event, now: Time) -> Action {
        let was_writing = std::mem::take(&mut self.writing);
        match event {
            Event::Read(stored, wall_ms) => self.weigh(&stored, wall_ms),
            Event::Written(CommitOutcome::Applied) => Action::Finish(Outcome::Accepted {
                revision: self.proposed_revision(),
                read_back: false,
            }),
            Event::Written(CommitOutcome::Conflict) | Event::Resumed => Action::Read,
            Event::Behind => self.retry(Outcome::Behind, now),
            Event::Failed { lost } => {
                self.uncertain |= was_writing && lost;
                self.retry(Outcome::Unavailable, now)
            }
        }
    }

    /// Tries again until the deadline, and ends with `outcome` if no write may have taken effect.
    fn retry(&self, outcome: Outcome, now: Time) -> Action {
        if now < self.deadline {
            return Action::Wait(now + RETRY_INTERVAL);
        }
        Action::Finish(if self.uncertain {
            Outcome::Unknown
        } else {
            outcome
        })
    }

    fn proposed_revision(&self) -> u64 {
        let proposal = self.proposal.as_ref();
        proposal.map_or(0, |proposal| proposal.head.revision)
    }

    fn weigh(&mut self, stored: &Stored, wall_ms: u64) -> Action {
        if let Some(key) = stored.damaged.first() {
            return invalid(Fault::new(key, "a value that can be read"));
        }
        if let (true, Some(proposal)) = (self.uncertain, &self.proposal) {
            if let Some(mark) = stored.head.find(&self.id) {
                return Action::Finish(Outcome::Accepted {
                    revision: mark.revision,
                    read_back: true,
                });
            }
            if stored.head_version == proposal.head_version {
                // The lost write may still arrive; the same write again settles it either way.
                self.writing = true;
                return Action::Write(proposal.clone());
            }
            let base = proposal.parts.keys().filter_map(|name| {
                let base = self.base.as_ref()?;
                base.get(name).map(|part| part.revision)
            });
            if stored.head.forgot_after(base.max().unwrap_or(0)) {
                return Action::Finish(Outcome::Unknown);
            }
            self.uncertain = false;
        }
        self.propose(stored, wall_ms)
    }

    fn propose(&mut self, stored: &Stored, wall_ms: u64) -> Action {
        let contents = match self.change.apply(&self.region, &stored.parts) {
            Ok(contents) => contents,
            Err(fault) => return invalid(fault),
        };
        let earlier = self.proposal.as_ref().map(|p| p.parts.keys().cloned());
        let mut targets: Vec<PartName> = contents.keys().cloned().collect();
        targets.extend(earlier.into_iter().flatten());
        for name in &targets {
            if let Some(refusal) = self.conflict(name, stored) {
                return Action::Finish(refusal);
            }
        }
        if contents.is_empty() {
            return Action::Finish(Outcome::Unchanged {
                revision: stored.head.revision,
            });
        }
        // A hybrid logical clock (Kulkarni et al., 2014): also above what a store has forgotten.
        let revision = (stored.head.revision + 1).max(wall_ms);
        let mut parts = Parts::new();
        let mut all = stored.parts.clone();
        for (name, content) in contents {
            let part = Part {
                revision,
                change: self.id.clone(),
                author: self.author.clone(),
                time_ms: wall_ms,
                content,
            };
            all.insert(name.clone(), part.clone());
            parts.insert(name, part);
        }
        if let Err(fault) = super::part::join(&self.region, &all) {
            return invalid(fault);
        }
        let mark = ChangeMark {
            revision,
            change: self.id.clone(),
        };
        let proposal = Proposal {
            head_version: stored.head_version,
            head: stored.head.with(mark),
            parts,
        };
        self.base.get_or_insert_with(|| stored.parts.clone());
        self.proposal = Some(proposal.clone());
        self.writing = true;
        Action::Write(proposal)
    }

    /// Returns the refusal if another change of a part came between.
    fn conflict(&self, name: &PartName, stored: &Stored) -> Option<Outcome> {
        let now = stored.parts.get(name);
        let before = self.base.as_ref().and_then(|base| base.get(name));
        let moved = self.base.is_some() && before != now;
        let unseen = self
            .seen
            .is_some_and(|seen| now.is_some_and(|part| part.revision > seen));
        if !moved && !unseen {
            return None;
        }
        let known = if moved { before } else { None };
        Some(Outcome::Refused {
            part: name.to_string(),
            author: now.map(|part| part.author.clone()).unwrap_or_default(),
            change: now.map(|part| part.change.clone()).unwrap_or_default(),
            differences: differences(known, now),
        })
    }
}

fn invalid(fault: Fault) -> Action {
    Action::Finish(Outcome::Invalid {
        path: fault.path,
        expected: fault.expected,
    })
}
