//! Records the outcome of each idempotency key, so that its request runs at most once.
//!
//! A key is identified by its number, the nonce in the encrypted idempotency key; the numbers are
//! consecutive. The ledger stores one time mark for each second in which keys were issued and one
//! entry for each key that was used. No request of a key below the floor may start: entries below
//! it are removed unless their request is running, and a key below it without an entry has an
//! unknown outcome.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::reply::Reply;
use crate::clock::Time;

/// Time after the issue of a key during which its request may start.
pub const KEY_TTL: Duration = Duration::from_secs(120);
/// Time after the issue of a key during which its outcome is stored; longer than
/// [`KEY_TTL`] and any timeout of a caller.
pub const OUTCOME_TTL: Duration = Duration::from_secs(900);
/// Memory limit of the stored outcomes, in bytes.
pub const MAX_LEDGER_BYTES: usize = 48 << 20;
/// Accounted memory of an entry without the body of its reply, in bytes.
pub const ENTRY_BYTES: usize = 256;

/// Shortest time between two time marks; the resolution of the issue times.
const MARK_INTERVAL: Duration = Duration::from_secs(1);

/// Digest of the method, path and body of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fingerprint(pub u128);

/// Status of a key at the arrival of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyStatus {
    /// The key was unused and is now running: the request has to run.
    New,
    /// The request of the key is running.
    Running,
    /// The request of the key has completed with this reply.
    Completed(Reply),
    /// The request of the key may have run, and its reply is not known.
    Unknown,
    /// The key was used by a request with another fingerprint.
    Mismatch,
    /// The key was not used within [`KEY_TTL`].
    Expired,
    /// The key has not been issued.
    NotIssued,
}

#[derive(Clone, Debug)]
enum State {
    Completed(Reply),
    Running,
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: State,
}

impl Entry {
    fn bytes(&self) -> usize {
        match &self.state {
            State::Completed(reply) => ENTRY_BYTES + reply.body.len(),
            State::Running | State::Unknown => ENTRY_BYTES,
        }
    }

    fn start(&self, fingerprint: Fingerprint) -> KeyStatus {
        if self.fingerprint != fingerprint {
            return KeyStatus::Mismatch;
        }
        match &self.state {
            State::Running => KeyStatus::Running,
            State::Unknown => KeyStatus::Unknown,
            State::Completed(reply) => KeyStatus::Completed(reply.clone()),
        }
    }
}

/// The first key issued in an interval of [`MARK_INTERVAL`].
#[derive(Clone, Copy, Debug)]
struct IssueMark {
    first_key: u32,
    issued_at: Time,
}

/// The idempotency keys of one process and the outcomes of their requests.
#[derive(Debug)]
pub struct Ledger {
    bytes: usize,
    entries: BTreeMap<u32, Entry>,
    floor: u32,
    max_bytes: usize,
    marks: VecDeque<IssueMark>,
    next: u32,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(MAX_LEDGER_BYTES)
    }
}

impl Ledger {
    /// Returns a ledger that keeps outcomes in at most `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            bytes: 0,
            entries: BTreeMap::new(),
            floor: 0,
            max_bytes,
            marks: VecDeque::new(),
            next: 0,
        }
    }

    /// Returns an empty ledger whose first key is `first_key`.
    ///
    /// With a random first key, two processes that have the same incarnation by accident issue
    /// different keys.
    pub fn with_first_key(first_key: u32) -> Self {
        Self {
            floor: first_key,
            next: first_key,
            ..Self::default()
        }
    }

    /// Issues a key; `None` if all keys have been issued.
    pub fn issue(&mut self, now: Time) -> Option<u32> {
        let key = self.next;
        self.next = self.next.checked_add(1)?;
        let interval_end = self.marks.back().map(|mark| mark.issued_at + MARK_INTERVAL);
        if interval_end.is_none_or(|end| now >= end) {
            let mark = IssueMark {
                first_key: key,
                issued_at: now,
            };
            self.marks.push_back(mark);
            self.expire(now);
        }
        Some(key)
    }

    /// Returns the status of a key and marks the key as running if it is new.
    pub fn start(&mut self, key: u32, fingerprint: Fingerprint, now: Time) -> KeyStatus {
        self.expire(now);
        if let Some(entry) = self.entries.get(&key) {
            return entry.start(fingerprint);
        }
        if key >= self.next {
            return KeyStatus::NotIssued;
        }
        if key < self.floor {
            return KeyStatus::Unknown;
        }
        if self.issue_time(key) + KEY_TTL <= now {
            return KeyStatus::Expired;
        }
        let entry = Entry {
            fingerprint,
            state: State::Running,
        };
        self.bytes += entry.bytes();
        self.entries.insert(key, entry);
        KeyStatus::New
    }

    /// Returns the final reply of a key; `None` if the request is running, unknown or not recorded.
    pub fn reply(&self, key: u32) -> Option<&Reply> {
        match &self.entries.get(&key)?.state {
            State::Completed(reply) => Some(reply),
            State::Running | State::Unknown => None,
        }
    }

    /// Records the final reply of a running request, which may be a refusal.
    ///
    /// A refusal does not free the key: a delayed duplicate of the request could then run after its
    /// caller has received the outcome "not run".
    pub fn complete(&mut self, key: u32, reply: Reply) {
        self.set_state(key, State::Completed(reply));
    }

    /// Records an unknown outcome for a request that is still running; it may have run.
    pub fn mark_unknown(&mut self, key: u32) {
        let running = |entry: &Entry| matches!(entry.state, State::Running);
        if self.entries.get(&key).is_some_and(running) {
            self.set_state(key, State::Unknown);
        }
    }

    /// Returns the number of entries, including those of running requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the ledger has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the accounted memory of all entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn set_state(&mut self, key: u32, state: State) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        self.bytes -= entry.bytes();
        entry.state = state;
        self.bytes += entry.bytes();
        if key < self.floor {
            self.remove(key);
        }
        self.evict_oldest();
    }

    fn remove(&mut self, key: u32) {
        if let Some(entry) = self.entries.remove(&key) {
            self.bytes -= entry.bytes();
        }
    }

    /// Returns the start of the interval in which a key was issued.
    fn issue_time(&self, key: u32) -> Time {
        let after = self.marks.partition_point(|mark| mark.first_key <= key);
        let mark = after.checked_sub(1).and_then(|index| self.marks.get(index));
        mark.map_or(Time::default(), |mark| mark.issued_at)
    }

    fn expire(&mut self, now: Time) {
        while let Some(mark) = self.marks.front() {
            if mark.issued_at + MARK_INTERVAL + OUTCOME_TTL > now {
                return;
            }
            self.marks.pop_front();
            let floor = self.marks.front().map_or(self.next, |mark| mark.first_key);
            self.raise_floor(floor);
        }
    }

    /// Evicts the oldest entries that are not running until the memory limit holds.
    fn evict_oldest(&mut self) {
        while self.bytes > self.max_bytes {
            let is_ended = |entry: &Entry| !matches!(entry.state, State::Running);
            let oldest = self.entries.iter().find(|(_, entry)| is_ended(entry));
            let Some((key, _)) = oldest else { return };
            self.raise_floor(key + 1);
        }
    }

    /// Raises the floor and removes the entries below it that are not running.
    fn raise_floor(&mut self, floor: u32) {
        self.floor = self.floor.max(floor);
        let mut removed = Vec::new();
        for (key, entry) in self.entries.range(..self.floor) {
            if matches!(entry.state, State::Running) {
                continue;
            }
            removed.push(*key);
        }
        for key in removed {
            self.remove(key);
        }
    }
}
