//! A bounded memory of what was met lately.

use std::{collections::HashMap, time::Duration};

use crate::clock::Time;

/// Time for which an entry is kept at least, unless the memory is full.
const KEPT_TIME: Duration = Duration::from_secs(30);

/// Entries of one generation.
const MAX_ENTRIES: usize = 65_536;

/// Two generations of entries; the older one is forgotten as a whole.
#[derive(Debug)]
pub struct Recent<T> {
    newer: HashMap<u64, T>,
    older: HashMap<u64, T>,
    turn: Time,
}

impl<T> Default for Recent<T> {
    fn default() -> Self {
        Self {
            newer: HashMap::new(),
            older: HashMap::new(),
            turn: Time::default(),
        }
    }
}

impl<T: Copy> Recent<T> {
    /// Returns an entry.
    pub fn get(&mut self, key: u64, now: Time) -> Option<T> {
        self.forget(now);
        self.newer
            .get(&key)
            .or_else(|| self.older.get(&key))
            .copied()
    }

    /// Sets an entry and keeps it for the full time again.
    pub fn put(&mut self, key: u64, value: T, now: Time) {
        if self.newer.len() >= MAX_ENTRIES {
            self.turn = now;
        }
        self.forget(now);
        self.newer.insert(key, value);
    }

    fn forget(&mut self, now: Time) {
        if now < self.turn {
            return;
        }
        if now > self.turn + KEPT_TIME {
            self.newer.clear();
        }
        self.older = std::mem::take(&mut self.newer);
        self.turn = now + KEPT_TIME;
    }
}
