//! The ledger of requests that must run at most once.
//!
//! Keys are numbers issued in order. A time mark is kept for each second of issue, an entry only
//! for a key that was used. Below the floor nothing is kept, and every key counts as unknown.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::answer::Answer;
use crate::clock::Time;

/// Time from the issue of a key in which its request may start.
pub const KEY_LIFETIME: Duration = Duration::from_secs(120);
/// Time from the issue of a key in which its outcome is kept; longer than any key lives and any
/// caller waits.
pub const KEY_HOLD: Duration = Duration::from_secs(900);
/// Most memory of the kept outcomes, in bytes.
pub const LEDGER_BYTES: usize = 48 << 20;
/// Memory of an entry besides its answer's body, in bytes.
pub const ENTRY_BYTES: usize = 256;

const MARK_INTERVAL: Duration = Duration::from_secs(1);

/// Digest of a request's method, path and body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fingerprint(pub u128);

/// What the ledger says about a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Begin {
    /// The key is new: run the request.
    Run,
    /// The request of this key is running.
    Running,
    /// The request of this key has its final answer.
    Ended(Answer),
    /// The request of this key may have run; its answer is not known.
    Unknown,
    /// Another request has this key.
    Mismatch,
    /// The key is too old to start, and no request has used it.
    Stale,
    /// This incarnation has not issued the key.
    NotIssued,
}

#[derive(Clone, Debug)]
enum State {
    Ended(Answer),
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
            State::Ended(answer) => ENTRY_BYTES + answer.body.len(),
            State::Running | State::Unknown => ENTRY_BYTES,
        }
    }

    fn begin(&self, fingerprint: Fingerprint) -> Begin {
        if self.fingerprint != fingerprint {
            return Begin::Mismatch;
        }
        match &self.state {
            State::Running => Begin::Running,
            State::Unknown => Begin::Unknown,
            State::Ended(answer) => Begin::Ended(answer.clone()),
        }
    }
}

/// The first key issued in an interval.
#[derive(Clone, Copy, Debug)]
struct Mark {
    first: u32,
    issued: Time,
}

/// The ledger of one incarnation.
#[derive(Debug)]
pub struct Ledger {
    bytes: usize,
    entries: BTreeMap<u32, Entry>,
    floor: u32,
    limit: usize,
    marks: VecDeque<Mark>,
    next: u32,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(LEDGER_BYTES)
    }
}

impl Ledger {
    /// Returns a ledger that keeps outcomes in at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            bytes: 0,
            entries: BTreeMap::new(),
            floor: 0,
            limit,
            marks: VecDeque::new(),
            next: 0,
        }
    }

    /// Returns an empty ledger whose first key is `first`.
    ///
    /// Two lives that came to have one incarnation then issue different keys.
    pub fn starting_at(first: u32) -> Self {
        Self {
            floor: first,
            next: first,
            ..Self::default()
        }
    }

    /// Issues a key; `None` once all keys of this incarnation are used up.
    pub fn issue(&mut self, now: Time) -> Option<u32> {
        let key = self.next;
        self.next = self.next.checked_add(1)?;
        let recent = self.marks.back().map(|mark| mark.issued + MARK_INTERVAL);
        if recent.is_none_or(|end| now >= end) {
            let mark = Mark {
                first: key,
                issued: now,
            };
            self.marks.push_back(mark);
            self.expire(now);
        }
        Some(key)
    }

    /// Looks a key up and marks it as running if it is new.
    pub fn begin(&mut self, key: u32, fingerprint: Fingerprint, now: Time) -> Begin {
        self.expire(now);
        if let Some(entry) = self.entries.get(&key) {
            return entry.begin(fingerprint);
        }
        if key >= self.next {
            return Begin::NotIssued;
        }
        if key < self.floor {
            return Begin::Unknown;
        }
        if self.issued(key) + KEY_LIFETIME <= now {
            return Begin::Stale;
        }
        let entry = Entry {
            fingerprint,
            state: State::Running,
        };
        self.bytes += entry.bytes();
        self.entries.insert(key, entry);
        Begin::Run
    }

    /// Returns the final answer of a key; `None` while it runs or if it is not known.
    pub fn answer(&self, key: u32) -> Option<&Answer> {
        match &self.entries.get(&key)?.state {
            State::Ended(answer) => Some(answer),
            State::Running | State::Unknown => None,
        }
    }

    /// Records the final answer of a running request; a refusal is final too.
    ///
    /// A copy of a refused request may still arrive: were its key free again, it could run after
    /// its caller was told that it did not.
    pub fn end(&mut self, key: u32, answer: Answer) {
        self.settle(key, State::Ended(answer));
    }

    /// Records that a request that is still running has no answer, though it may have run.
    pub fn lose(&mut self, key: u32) {
        let running = |entry: &Entry| matches!(entry.state, State::Running);
        if self.entries.get(&key).is_some_and(running) {
            self.settle(key, State::Unknown);
        }
    }

    /// Returns the number of kept outcomes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no outcome is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the accounted memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    fn settle(&mut self, key: u32, state: State) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        self.bytes -= entry.bytes();
        entry.state = state;
        self.bytes += entry.bytes();
        if key < self.floor {
            self.remove(key);
        }
        self.trim();
    }

    fn remove(&mut self, key: u32) {
        if let Some(entry) = self.entries.remove(&key) {
            self.bytes -= entry.bytes();
        }
    }

    /// Returns a time no later than the issue of a key.
    fn issued(&self, key: u32) -> Time {
        let after = self.marks.partition_point(|mark| mark.first <= key);
        let mark = after.checked_sub(1).and_then(|index| self.marks.get(index));
        mark.map_or(Time::default(), |mark| mark.issued)
    }

    fn expire(&mut self, now: Time) {
        while let Some(mark) = self.marks.front() {
            if mark.issued + MARK_INTERVAL + KEY_HOLD > now {
                return;
            }
            self.marks.pop_front();
            let floor = self.marks.front().map_or(self.next, |mark| mark.first);
            self.raise(floor);
        }
    }

    /// Gives up the oldest outcomes until the rest fits.
    fn trim(&mut self) {
        while self.bytes > self.limit {
            let ended = |entry: &Entry| !matches!(entry.state, State::Running);
            let oldest = self.entries.iter().find(|(_, entry)| ended(entry));
            let Some((key, _)) = oldest else { return };
            self.raise(key + 1);
        }
    }

    /// Raises the floor and drops what ended below it.
    fn raise(&mut self, floor: u32) {
        self.floor = self.floor.max(floor);
        let mut dropped = Vec::new();
        for (key, entry) in self.entries.range(..self.floor) {
            if matches!(entry.state, State::Running) {
                continue;
            }
            dropped.push(*key);
        }
        for key in dropped {
            self.remove(key);
        }
    }
}
