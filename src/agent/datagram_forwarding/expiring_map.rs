//! A map with a bounded size whose entries expire.

use std::{collections::HashMap, time::Duration};

use crate::clock::Time;

/// Minimum lifetime of an entry, unless the map is full.
const ENTRY_TTL: Duration = Duration::from_secs(30);

/// Entries of a generation at which the next one starts early.
const MAX_GENERATION_ENTRIES: usize = 65_536;

/// A map of two generations of entries; the older generation is removed as a whole.
#[derive(Debug)]
pub struct ExpiringMap<T> {
    newer: HashMap<u64, T>,
    older: HashMap<u64, T>,
    rotate_at: Time,
}

impl<T> Default for ExpiringMap<T> {
    fn default() -> Self {
        Self {
            newer: HashMap::new(),
            older: HashMap::new(),
            rotate_at: Time::default(),
        }
    }
}

impl<T: Copy> ExpiringMap<T> {
    /// Returns the value of a key; `None` if it was never inserted or has expired.
    pub fn get(&mut self, key: u64, now: Time) -> Option<T> {
        self.rotate(now);
        self.newer
            .get(&key)
            .or_else(|| self.older.get(&key))
            .copied()
    }

    /// Inserts or replaces the value of a key and restarts its lifetime.
    pub fn insert(&mut self, key: u64, value: T, now: Time) {
        if self.newer.len() >= MAX_GENERATION_ENTRIES {
            self.rotate_at = now;
        }
        self.rotate(now);
        self.newer.insert(key, value);
    }

    fn rotate(&mut self, now: Time) {
        if now < self.rotate_at {
            return;
        }
        if now > self.rotate_at + ENTRY_TTL {
            self.newer.clear();
        }
        self.older = std::mem::take(&mut self.newer);
        self.rotate_at = now + ENTRY_TTL;
    }
}
