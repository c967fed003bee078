//! The state machine of one edit of the tree in the store, with optimistic concurrency control.

use std::time::Duration;

use serde::Serialize;

use super::{
    change::{Change, Difference, differences},
    layout::{ChangeRef, Proposal, StoredTree},
    part::{Part, PartName, Parts},
};
use crate::{
    clock::Time,
    config::Violation,
    store::{CommitOutcome, StoreError},
};

/// Delay between two attempts while the store does not answer or is behind.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The outcome of an edit.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum Outcome {
    /// The change is in the store.
    Accepted {
        /// Revision of the change; later changes may have raised that of the settings.
        revision: u64,
        /// Whether the response to the write was lost and the change was found by a later read.
        read_back: bool,
    },
    /// The tree already equals the requested one.
    Unchanged {
        /// Revision of the settings.
        revision: u64,
    },
    /// The change is not valid, or a value in the store can't be decoded; nothing was changed.
    Invalid {
        /// Path in the tree, or the store key whose value can't be decoded.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// The part has another change that this edit is not based on; nothing was changed.
    Refused {
        /// Name of the part.
        part: String,
        /// Author of the other change.
        author: String,
        /// Id of the other change.
        change: String,
        /// Values that the other change modified.
        differences: Vec<Difference>,
    },
    /// The store holds older settings than the fleet; nothing was changed.
    Behind,
    /// The store did not answer or refused the calls; nothing was changed.
    Unavailable,
    /// A write may have taken effect, and later reads did not show whether it has.
    Unknown,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// The tree was read, with the wall clock in milliseconds since 1970.
    Read(StoredTree, u64),
    /// The tree was read, but the fleet has newer active settings.
    Behind,
    /// The store applied a write, or rejected it because the head had changed.
    WriteEnded(CommitOutcome),
    /// A read or a write failed.
    Failed {
        /// Whether the call may have taken effect.
        indeterminate: bool,
    },
    /// The time of [`Action::Wait`] has come.
    Resumed,
}

impl From<&StoreError> for Event {
    fn from(error: &StoreError) -> Self {
        Event::Failed {
            indeterminate: error.is_indeterminate(),
        }
    }
}

/// An output of the state machine that [`SettingsClient`](super::client::SettingsClient) carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Read the whole tree.
    Read,
    /// Write if the head is unchanged since it was read.
    Write(Proposal),
    /// Wait until a time, then report [`Event::Resumed`].
    Wait(Time),
    /// The edit has ended.
    Finish(Outcome),
}

/// The state machine of one edit.
#[derive(Clone, Debug)]
pub struct Edit {
    author: String,
    /// Stored parts that the first proposal was based on.
    base: Option<Parts>,
    change: Change,
    deadline: Time,
    id: String,
    proposal: Option<Proposal>,
    region: String,
    /// Highest revision that the parts to change may have.
    if_revision: Option<u64>,
    /// Whether a write may have taken effect.
    is_uncertain: bool,
    /// Whether the last returned action is a write.
    is_writing: bool,
}

impl Edit {
    /// Returns an edit that is retried until a deadline.
    pub fn new(region: &str, change: Change, id: String, author: String, deadline: Time) -> Self {
        Self {
            author,
            base: None,
            change,
            deadline,
            id,
            proposal: None,
            region: region.to_owned(),
            if_revision: None,
            is_uncertain: false,
            is_writing: false,
        }
    }

    /// Returns the edit with a bound: it is refused if a part to change has a higher revision;
    /// `None` sets no bound.
    pub fn with_if_revision(mut self, revision: Option<u64>) -> Self {
        self.if_revision = revision;
        self
    }

    /// Returns the id of the change.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Handles an event and returns the next action; the caller starts with [`Action::Read`].
    pub fn handle(&mut self, event: Event, now: Time) -> Action {
        let was_writing = std::mem::take(&mut self.is_writing);
        match event {
            Event::Read(stored, wall_ms) => self.evaluate(&stored, wall_ms),
            Event::WriteEnded(CommitOutcome::Applied) => Action::Finish(Outcome::Accepted {
                revision: self.proposed_revision(),
                read_back: false,
            }),
            Event::WriteEnded(CommitOutcome::Conflict) | Event::Resumed => Action::Read,
            Event::Behind => self.retry(Outcome::Behind, now),
            Event::Failed { indeterminate } => {
                self.is_uncertain |= was_writing && indeterminate;
                self.retry(Outcome::Unavailable, now)
            }
        }
    }

    /// Waits for a retry until the deadline, then ends with `outcome` or, after an indeterminate
    /// write, with [`Outcome::Unknown`].
    fn retry(&self, outcome: Outcome, now: Time) -> Action {
        if now < self.deadline {
            return Action::Wait(now + RETRY_DELAY);
        }
        Action::Finish(if self.is_uncertain {
            Outcome::Unknown
        } else {
            outcome
        })
    }

    fn proposed_revision(&self) -> u64 {
        let proposal = self.proposal.as_ref();
        proposal.map_or(0, |proposal| proposal.head.revision)
    }

    fn evaluate(&mut self, stored: &StoredTree, wall_ms: u64) -> Action {
        if let Some(key) = stored.unreadable.first() {
            return invalid(Violation::new(key, "a value that can be read"));
        }
        if let (true, Some(proposal)) = (self.is_uncertain, &self.proposal) {
            if let Some(found) = stored.head.find(&self.id) {
                return Action::Finish(Outcome::Accepted {
                    revision: found.revision,
                    read_back: true,
                });
            }
            if stored.head_position == proposal.head_position {
                // The write may still arrive. Only one of two identical writes can succeed, so
                // the repetition makes the outcome certain.
                self.is_writing = true;
                return Action::Write(proposal.clone());
            }
            let base_revisions = proposal.parts.keys().filter_map(|name| {
                let base = self.base.as_ref()?;
                base.get(name).map(|part| part.revision)
            });
            if stored
                .head
                .may_omit_after(base_revisions.max().unwrap_or(0))
            {
                // The head may no longer list this edit's change, so its absence proves nothing.
                return Action::Finish(Outcome::Unknown);
            }
            self.is_uncertain = false;
        }
        self.propose(stored, wall_ms)
    }

    fn propose(&mut self, stored: &StoredTree, wall_ms: u64) -> Action {
        let contents = match self.change.apply(&self.region, &stored.parts) {
            Ok(contents) => contents,
            Err(violation) => return invalid(violation),
        };
        // Parts of the previous proposal are checked too: another edit may have made the same
        // change, so that they are no longer in `contents`.
        let previous = self.proposal.as_ref().map(|p| p.parts.keys().cloned());
        let mut targets: Vec<PartName> = contents.keys().cloned().collect();
        targets.extend(previous.into_iter().flatten());
        for name in &targets {
            if let Some(refusal) = self.find_refusal(name, stored) {
                return Action::Finish(refusal);
            }
        }
        if contents.is_empty() {
            return Action::Finish(Outcome::Unchanged {
                revision: stored.head.revision,
            });
        }
        // A hybrid logical clock (Kulkarni et al., 2014) stays above revisions that a store has lost.
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
        if let Err(violation) = super::part::join(&self.region, &all) {
            return invalid(violation);
        }
        let reference = ChangeRef {
            revision,
            change: self.id.clone(),
        };
        let proposal = Proposal {
            head_position: stored.head_position,
            head: stored.head.with_change(reference),
            parts,
        };
        self.base.get_or_insert_with(|| stored.parts.clone());
        self.proposal = Some(proposal.clone());
        self.is_writing = true;
        Action::Write(proposal)
    }

    /// Returns the refusal if a part was changed since the first proposal or after `if_revision`.
    fn find_refusal(&self, name: &PartName, stored: &StoredTree) -> Option<Outcome> {
        let now = stored.parts.get(name);
        let before = self.base.as_ref().and_then(|base| base.get(name));
        let has_changed = self.base.is_some() && before != now;
        let is_newer = self
            .if_revision
            .is_some_and(|revision| now.is_some_and(|part| part.revision > revision));
        if !has_changed && !is_newer {
            return None;
        }
        let known = if has_changed { before } else { None };
        Some(Outcome::Refused {
            part: name.to_string(),
            author: now.map(|part| part.author.clone()).unwrap_or_default(),
            change: now.map(|part| part.change.clone()).unwrap_or_default(),
            differences: differences(known, now),
        })
    }
}

fn invalid(violation: Violation) -> Action {
    Action::Finish(Outcome::Invalid {
        path: violation.path,
        expected: violation.expected,
    })
}
