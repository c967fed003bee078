//! The ledger of requests that must run at most once.

use std::collections::HashMap;

use super::answer::Answer;
use crate::clock::Time;

/// What the ledger says about a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin {
    /// The key is new: run the request.
    Run,
    /// The request of this key is running.
    Running,
    /// The request of this key has ended.
    Ended(Answer),
    /// The request of this key may have run; its answer is not known.
    Unknown,
}

#[derive(Clone, Debug)]
enum Entry {
    Ended(Answer),
    Running,
    Unknown,
}

/// The ledger of one incarnation.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<u32, (Time, Entry)>,
}

impl Ledger {
    /// Looks a key up and marks it as running if it is new.
    pub fn begin(&mut self, key: u32, now: Time) -> Begin {
        match self.entries.get(&key) {
            None => {
                self.entries.insert(key, (now, Entry::Running));
                Begin::Run
            }
            Some((_, Entry::Running)) => Begin::Running,
            Some((_, Entry::Unknown)) => Begin::Unknown,
            Some((_, Entry::Ended(answer))) => Begin::Ended(answer.clone()),
        }
    }

    /// Records the answer of a running request.
    pub fn end(&mut self, key: u32, answer: Answer, now: Time) {
        self.entries.insert(key, (now, Entry::Ended(answer)));
    }

    /// Records that a request may have run.
    pub fn lose(&mut self, key: u32, now: Time) {
        self.entries.insert(key, (now, Entry::Unknown));
    }

    /// Frees the key of a request that certainly did not run.
    pub fn release(&mut self, key: u32) {
        self.entries.remove(&key);
    }
}
