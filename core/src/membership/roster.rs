//! The member list of one process.

use std::{
    collections::{BTreeMap, btree_map},
    net::SocketAddrV4,
    time::Duration,
};

use super::{
    message::{CombinedState, Liveness, PackedAddress, Update},
    update_queue::UpdateClass,
};
use crate::{
    clock::Time,
    member::{MemberState, Record},
    owner_id::Incarnation,
};

/// Time for which the record of a member that is dead or has left is kept.
pub const GONE_RECORD_TTL: Duration = Duration::from_secs(300);

/// Time for which the tombstone of a freed record rejects stale updates.
pub const TOMBSTONE_TTL: Duration = Duration::from_secs(24 * 3600);

/// A member as this process knows it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Record as the member announced it.
    pub record: Record,
    /// Liveness according to the other processes and this one.
    pub liveness: Liveness,
    /// When the member was found dead or left; `None` while it is live.
    pub gone_since: Option<Time>,
}

impl Entry {
    /// Returns whether the member is neither dead nor left.
    pub fn is_live(&self) -> bool {
        self.liveness != Liveness::Dead && self.record.state != MemberState::Left
    }

    /// Returns the state in the view.
    ///
    /// A member that left is `Left` even if it was found dead; a suspected member is `Suspect` only
    /// if it announced `Ready`.
    pub fn view_state(&self) -> MemberState {
        match (self.record.state, self.liveness) {
            (MemberState::Left, _) => MemberState::Left,
            (_, Liveness::Dead) => MemberState::Dead,
            (MemberState::Ready, Liveness::Suspect) => MemberState::Suspect,
            (announced, _) => announced,
        }
    }

    /// Returns the record with the state in the view.
    pub fn view_record(&self) -> Record {
        Record {
            state: self.view_state(),
            ..self.record.clone()
        }
    }
}

/// The last version of a member whose record was freed.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    incarnation: Incarnation,
    version: u64,
    expires: Time,
}

/// The outcome of applying an update.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// The member changed; if the update is gossiped, it has this class.
    Changed(UpdateClass),
    /// The roster already had the update.
    Unchanged,
    /// The member or its incarnation is unknown and the update has no details.
    MissingDetails,
    /// The roster has a newer version, or a tombstone has this version or a newer one.
    Stale,
}

/// All known members and the tombstones of freed ones.
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

    /// Returns the number of members that are neither dead nor left.
    pub fn live_count(&self) -> usize {
        self.live
    }

    /// Returns the numbers of records and of tombstones.
    pub fn record_counts(&self) -> (usize, usize) {
        (self.entries.len(), self.tombstones.len())
    }

    /// Returns the records of all members with their states in the view, by data address.
    pub fn view_records(&self) -> BTreeMap<SocketAddrV4, Record> {
        let entries = self.entries.iter();
        entries
            .map(|(a, entry)| (*a, entry.view_record()))
            .collect()
    }

    /// Changes the entry of a known member, and with it the live count and `gone_since`.
    pub fn update(&mut self, address: SocketAddrV4, now: Time, change: impl FnOnce(&mut Entry)) {
        let Some(entry) = self.entries.get_mut(&address) else {
            return;
        };
        self.live -= usize::from(entry.is_live());
        change(entry);
        self.live += usize::from(entry.is_live());
        entry.gone_since = match entry.is_live() {
            true => None,
            false => entry.gone_since.or(Some(now)),
        };
    }

    /// Applies an update if it is newer than the entry of its member, or equally new with a worse
    /// liveness.
    pub fn apply(&mut self, update: &Update, now: Time) -> UpdateOutcome {
        let address = update.address.0;
        if self.is_tombstoned(address, (update.incarnation, update.version)) {
            return UpdateOutcome::Stale;
        }
        let Some(entry) = self.entries.get(&address) else {
            return self.insert(update, now);
        };
        let known = (entry.record.incarnation, entry.record.version);
        let offered = (update.incarnation, update.version);
        if offered < known {
            return UpdateOutcome::Stale;
        }
        if offered == known {
            return self.apply_liveness(update, now);
        }
        if update.incarnation != entry.record.incarnation {
            return self.insert(update, now);
        }
        let class = if entry.record.state != update.combined_state.announced || !entry.is_live() {
            UpdateClass::State
        } else if entry.record.weight != update.weight && entry.liveness == Liveness::Alive {
            UpdateClass::Weight
        } else {
            UpdateClass::Liveness
        };
        self.update(address, now, |entry| {
            entry.record.version = update.version;
            entry.record.state = update.combined_state.announced;
            entry.record.weight = update.weight;
            entry.liveness = update.combined_state.liveness;
        });
        UpdateOutcome::Changed(class)
    }

    /// Returns an update that reports a member with a tombstone as left and dead, as the tombstone
    /// does not keep which of the two it was.
    pub fn tombstone_update(&self, address: SocketAddrV4) -> Option<Update> {
        let tombstone = self.tombstones.get(&address)?;
        Some(Update {
            address: PackedAddress(address),
            incarnation: tombstone.incarnation,
            version: tombstone.version,
            combined_state: CombinedState {
                announced: MemberState::Left,
                liveness: Liveness::Dead,
            },
            weight: 0,
            reporter: None,
            details: None,
        })
    }

    /// Returns whether the tombstone of a member covers an incarnation and version.
    pub fn is_tombstoned(&self, address: SocketAddrV4, version: (Incarnation, u64)) -> bool {
        let tombstone = self.tombstones.get(&address);
        tombstone.is_some_and(|s| version <= (s.incarnation, s.version))
    }

    /// Frees expired records and tombstones; returns whether a record was freed.
    pub fn expire(&mut self, now: Time) -> bool {
        self.tombstones
            .retain(|_, tombstone| tombstone.expires > now);
        let mut freed = Vec::new();
        for (address, entry) in &self.entries {
            let Some(gone_since) = entry.gone_since else {
                continue;
            };
            if now.since(gone_since) >= GONE_RECORD_TTL {
                freed.push(*address);
            }
        }
        for address in &freed {
            let Some(entry) = self.entries.remove(address) else {
                continue;
            };
            let tombstone = Tombstone {
                incarnation: entry.record.incarnation,
                version: entry.record.version,
                expires: now + TOMBSTONE_TTL,
            };
            self.tombstones.insert(*address, tombstone);
        }
        !freed.is_empty()
    }

    fn insert(&mut self, update: &Update, now: Time) -> UpdateOutcome {
        let Some(record) = update.record() else {
            return UpdateOutcome::MissingDetails;
        };
        let address = record.address;
        let entry = Entry {
            record,
            liveness: update.combined_state.liveness,
            gone_since: None,
        };
        self.tombstones.remove(&address);
        if let Some(old) = self.entries.insert(address, entry) {
            self.live -= usize::from(old.is_live());
        }
        self.live += 1;
        let live = self.entries[&address].is_live();
        if !live {
            self.live -= 1;
            self.update(address, now, |_| {});
        }
        UpdateOutcome::Changed(UpdateClass::State)
    }

    fn apply_liveness(&mut self, update: &Update, now: Time) -> UpdateOutcome {
        let entry = &self.entries[&update.address.0];
        if update.combined_state.liveness <= entry.liveness {
            return UpdateOutcome::Unchanged;
        }
        self.update(update.address.0, now, |entry| {
            entry.liveness = update.combined_state.liveness;
        });
        UpdateOutcome::Changed(UpdateClass::Liveness)
    }
}
