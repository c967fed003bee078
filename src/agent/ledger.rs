//! The ledger of requests that must run at most once.

use std::collections::HashMap;

use bytes::Bytes;

use crate::clock::Time;

/// The recorded answer of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Recorded {
    /// HTTP status.
    pub status: u16,
    /// Whole body.
    pub body: Bytes,
    /// Backend server that ran the request.
    pub server: String,
}

/// What the ledger says about a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin {
    /// The key is new: run the request.
    Run,
    /// The request of this key is running.
    Running,
    /// The request of this key has ended.
    Ended(Recorded),
    /// The request of this key may have run; its answer is not known.
    Unknown,
}

#[derive(Clone, Debug)]
enum Entry {
    Ended(Recorded),
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
            Some((_, Entry::Ended(recorded))) => Begin::Ended(recorded.clone()),
        }
    }

    /// Records the answer of a running request.
    pub fn end(&mut self, key: u32, recorded: Recorded, now: Time) {
        self.entries.insert(key, (now, Entry::Ended(recorded)));
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
