//! Order of the documents of directives that a process learns of, also across restores of the store.
//!
//! A store that is restored from an older copy starts a new era, and the operator writes again what the
//! copy lacks. Until the era has settled, an evacuation that the copy lacks stays in effect, and one
//! that had ended and is in the copy again is ignored.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Directives, StoredDirectives};
use crate::{clock::Time, store::Position};

/// Time after a restore of the store in which the operator writes again what was lost.
pub const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Revision of a document whose reader can't read the cold rates and has none from before. It is
/// below that of any other document of the era, so that it replaces none of them.
const INCOMPLETE_REVISION: u64 = 1;

/// The documents that a process has accepted.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Newest document. Until its era has settled, it includes evacuations of earlier eras, which are
    /// told by the positions of their keys.
    document: Arc<Directives>,
    /// The document without evacuations that are ignored.
    effective: Arc<Directives>,
    /// Position of the last read that returned the contents of the document.
    confirmed: Position,
    /// Position of the key of each evacuation that has ended.
    ended: BTreeMap<String, Position>,
    /// When the era of the document has settled; `None` once it has.
    settled_at: Option<Time>,
}

impl History {
    /// Returns the newest document, which has position [`Position::START`] until the first one arrives.
    pub fn document(&self) -> &Arc<Directives> {
        &self.document
    }

    /// Returns the directives in effect.
    pub fn effective(&self) -> &Arc<Directives> {
        &self.effective
    }

    /// Returns when [`History::settle`] has to be called next.
    pub fn due(&self) -> Option<Time> {
        self.settled_at
    }

    /// Accepts the contents of a linearizable read if they are newer and differ from the document.
    pub fn accept_read(&mut self, read: &StoredDirectives, now: Time) -> bool {
        let current = self.document.as_ref();
        if read.position <= current.position {
            return false;
        }
        let cold_rates = read.cold_rates.as_ref();
        let is_complete = cold_rates.is_some() || current.position.revision > INCOMPLETE_REVISION;
        let position = match is_complete {
            true => read.position,
            false => Position {
                revision: INCOMPLETE_REVISION,
                ..read.position
            },
        };
        let offered = Directives {
            position,
            evacuated: read.evacuated.clone(),
            cold_rates: cold_rates.unwrap_or(&current.cold_rates).clone(),
        };
        let in_store = |key: &Position| key.era == current.position.era;
        let evacuated = current.evacuated.iter().filter(|(_, key)| in_store(key));
        let is_unchanged = position.era == current.position.era
            && current.position != Position::START
            && evacuated.eq(offered.evacuated.iter())
            && offered.cold_rates == current.cold_rates;
        if is_unchanged {
            self.confirmed = self.confirmed.max(position);
            return false;
        }
        self.accept(offered, now)
    }

    /// Accepts a document if it is newer. Of an older one, only evacuations of earlier eras are added,
    /// until the present era has settled. Returns whether the document or the directives in effect have
    /// changed.
    pub fn accept(&mut self, mut offered: Directives, now: Time) -> bool {
        let has_settled = self.settle(now);
        if offered.position <= self.document.position {
            return self.hold_missing(&offered, now) || has_settled;
        }
        if offered.position <= self.confirmed {
            // The contents had changed and were changed back before the read that confirmed them.
            let mut document = self.document.as_ref().clone();
            document.position = self.confirmed;
            self.replace(document);
            return true;
        }
        let era = offered.position.era;
        if era > self.document.position.era {
            self.settled_at = Some(now + SETTLE_TIME);
        }
        for (domain, key) in &self.document.evacuated {
            if offered.evacuated.contains_key(domain) {
                continue;
            }
            // A key of an earlier era was not seen in this one, so it may be missing from the copy.
            if key.era < era && self.settled_at.is_some() && !self.is_ignored(domain, key) {
                offered.evacuated.insert(domain.clone(), *key);
                continue;
            }
            self.ended.insert(domain.clone(), *key);
        }
        if self.settled_at.is_none() {
            offered.evacuated.retain(|_, key| key.era == era);
        }
        self.replace(offered);
        true
    }

    /// Ends the evacuations of earlier eras and applies those that were ignored once the era has
    /// settled. Returns whether the directives in effect have changed.
    pub fn settle(&mut self, now: Time) -> bool {
        if self.settled_at.is_none_or(|settled_at| now < settled_at) {
            return false;
        }
        self.settled_at = None;
        let mut document = self.document.as_ref().clone();
        let era = document.position.era;
        let held = document.evacuated.extract_if(.., |_, key| key.era < era);
        self.ended.extend(held);
        let before = self.effective.clone();
        self.replace(document);
        self.effective != before
    }

    /// Adds the evacuations of earlier eras that `older` has and this document lacks: a process that
    /// starts after a restore has not seen them itself.
    fn hold_missing(&mut self, older: &Directives, now: Time) -> bool {
        if self.settled_at.is_none_or(|settled_at| now >= settled_at) {
            return false;
        }
        let mut document = self.document.as_ref().clone();
        for (domain, key) in &older.evacuated {
            let has_ended = self.ended.get(domain).is_some_and(|ended| ended >= key);
            if key.era < document.position.era && !has_ended {
                document.evacuated.entry(domain.clone()).or_insert(*key);
            }
        }
        if document == *self.document {
            return false;
        }
        self.replace(document);
        true
    }

    /// Returns whether a key is an evacuation that had ended in an earlier era and is in the copy again.
    fn is_ignored(&self, domain: &str, key: &Position) -> bool {
        let ended = self.ended.get(domain);
        let is_same = |ended: &Position| ended.revision == key.revision && ended.era < key.era;
        self.settled_at.is_some() && ended.is_some_and(is_same)
    }

    fn replace(&mut self, document: Directives) {
        let mut effective = document.clone();
        for (domain, key) in &document.evacuated {
            match self.is_ignored(domain, key) {
                true => drop(effective.evacuated.remove(domain)),
                false => drop(self.ended.remove(domain)),
            }
        }
        self.document = Arc::new(document);
        self.effective = Arc::new(effective);
    }
}
