//! What one process knows of the others.

use std::{
    collections::{BTreeMap, btree_map},
    net::SocketAddrV4,
    time::Duration,
};

use super::{
    message::{Condition, Packed, Update, Verdict},
    news::Class,
};
use crate::{
    clock::Time,
    member::{MemberState, Record},
    owner_id::Incarnation,
};

/// Time for which the record of a member that is gone is kept.
pub const RETIRED_TTL: Duration = Duration::from_secs(300);

/// Time for which a stale record of a member that is gone is recognised.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(24 * 3600);

/// A member and what is known of it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Record as the member announced it.
    pub record: Record,
    /// Verdict of the others or of this process.
    pub verdict: Verdict,
    /// When the member was found to be gone.
    pub retired: Option<Time>,
}

impl Entry {
    /// Returns whether the member counts as a part of the fleet.
    pub fn is_live(&self) -> bool {
        self.verdict != Verdict::Dead && self.record.state != MemberState::Left
    }

    /// Returns the state as the view shows it.
    pub fn state(&self) -> MemberState {
        match (self.record.state, self.verdict) {
            (MemberState::Left, _) => MemberState::Left,
            (_, Verdict::Dead) => MemberState::Dead,
            (MemberState::Ready, Verdict::Suspect) => MemberState::Suspect,
            (announced, _) => announced,
        }
    }

    /// Returns the record with the state as the view shows it.
    pub fn shown(&self) -> Record {
        Record {
            state: self.state(),
            ..self.record.clone()
        }
    }
}

/// What is remembered of a member whose record was freed.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    version: u64,
    expires: Time,
}

/// What an update did to the roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Applied {
    /// It changed a member in a way that is passed on with this class.
    Changed(Class),
    /// It told nothing new.
    Known,
    /// It is news of a member whose details are not known.
    Missing,
    /// It is older than what is known.
    Stale,
}

/// All known members.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    entries: BTreeMap<SocketAddrV4, Entry>,
    live: usize,
    tombstones: BTreeMap<SocketAddrV4, Tombstone>,
}

impl Roster {
    /// Returns the entry of a member.
    pub fn get(&self, address: SocketAddrV4) -> Option<&Entry> {
        self.entries.get(&address)
    }

    /// Returns all entries in the order of their addresses.
    pub fn iter(&self) -> btree_map::Values<'_, SocketAddrV4, Entry> {
        self.entries.values()
    }

    /// Returns the number of members that are neither given up nor left.
    pub fn live(&self) -> usize {
        self.live
    }

    /// Returns the number of records that are held, and of tombstones.
    pub fn held(&self) -> (usize, usize) {
        (self.entries.len(), self.tombstones.len())
    }

    /// Returns the members as the view shows them.
    pub fn shown(&self) -> BTreeMap<SocketAddrV4, Record> {
        let entries = self.entries.iter();
        entries.map(|(a, entry)| (*a, entry.shown())).collect()
    }

    /// Changes the entry of a member.
    pub fn change(&mut self, address: SocketAddrV4, now: Time, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get_mut(&address) else {
            return;
        };
        self.live -= usize::from(entry.is_live());
        change(entry);
        self.live += usize::from(entry.is_live());
        entry.retired = match entry.is_live() {
            true => None,
            false => entry.retired.or(Some(now)),
        };
    }

    /// Takes an update if it is newer than what is known.
    pub fn apply(&mut self, update: &Update, now: Time) -> Applied {
        let address = update.address.0;
        if self.is_buried(address, (update.incarnation, update.version)) {
            return Applied::Stale;
        }
        let Some(entry) = self.entries.get(&address) else {
            return self.insert(update, now);
        };
        let known = (entry.record.incarnation, entry.record.version);
        let newer = (update.incarnation, update.version);
        if newer < known {
            return Applied::Stale;
        }
        if newer == known {
            return self.judge(update, now);
        }
        if update.incarnation != entry.record.incarnation {
            return self.insert(update, now);
        }
        let class = if entry.record.state != update.condition.announced || !entry.is_live() {
            Class::State
        } else if entry.record.weight != update.weight && entry.verdict == Verdict::Alive {
            Class::Weight
        } else {
            Class::Verdict
        };
        self.change(address, now, |entry| {
            entry.record.version = update.version;
            entry.record.state = update.condition.announced;
            entry.record.weight = update.weight;
            entry.verdict = update.condition.verdict;
        });
        Applied::Changed(class)
    }

    /// Returns the news that a member whose record was freed is gone.
    pub fn obituary(&self, address: SocketAddrV4) -> Option<Update> {
        let stone = self.tombstones.get(&address)?;
        Some(Update {
            address: Packed(address),
            incarnation: stone.incarnation,
            version: stone.version,
            condition: Condition {
                announced: MemberState::Left,
                verdict: Verdict::Dead,
            },
            weight: 0,
            accuser: None,
            details: None,
        })
    }

    /// Returns whether a member at this point of its life is known to be gone.
    pub fn is_buried(&self, address: SocketAddrV4, at: (Incarnation, u64)) -> bool {
        let stone = self.tombstones.get(&address);
        stone.is_some_and(|s| at <= (s.incarnation, s.version))
    }

    /// Frees what has been gone for long; returns whether a record was freed.
    pub fn expire(&mut self, now: Time) -> bool {
        self.tombstones.retain(|_, stone| stone.expires > now);
        let mut freed = Vec::new();
        for (address, entry) in &self.entries {
            let Some(retired) = entry.retired else {
                continue;
            };
            if now.since(retired) >= RETIRED_TTL {
                freed.push(*address);
            }
        }
        for address in &freed {
            let Some(entry) = self.entries.remove(address) else {
                continue;
            };
            let stone = Tombstone {
                incarnation: entry.record.incarnation,
                version: entry.record.version,
                expires: now + TOMBSTONE_TTL,
            };
            self.tombstones.insert(*address, stone);
        }
        !freed.is_empty()
    }

    fn insert(&mut self, update: &Update, now: Time) -> Applied {
        let Some(record) = update.record() else {
            return Applied::Missing;
        };
        let address = record.address;
        let entry = Entry {
            record,
            verdict: update.condition.verdict,
            retired: None,
        };
        self.tombstones.remove(&address);
        if let Some(old) = self.entries.insert(address, entry) {
            self.live -= usize::from(old.is_live());
        }
        self.live += 1;
        let live = self.entries[&address].is_live();
        if !live {
            self.live -= 1;
            self.change(address, now, |_| {});
        }
        Applied::Changed(Class::State)
    }

    fn judge(&mut self, update: &Update, now: Time) -> Applied {
        let entry = &self.entries[&update.address.0];
        if update.condition.verdict <= entry.verdict {
            return Applied::Known;
        }
        self.change(update.address.0, now, |entry| {
            entry.verdict = update.condition.verdict;
        });
        Applied::Changed(Class::Verdict)
    }
}
