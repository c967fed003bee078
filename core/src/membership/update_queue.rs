//! Updates to be gossiped, ordered by class, then by fewest transmissions, then newest first.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// Importance of an update, the most important class first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum UpdateClass {
    /// A member joined, changed its announced state, started a new incarnation, or is live again.
    State,
    /// A member was suspected or removed, or refuted this.
    Liveness,
    /// The weight of a member changed.
    Weight,
}

/// Transmissions of a join by a process that is starting. With more, a large fleet that starts at once
/// spends its budgets on members that know the join already; with fewer, a join misses members of a small
/// one.
const STARTING_SENDS: u32 = 3;

/// Transmissions of a state or liveness update beyond the bit length of the fleet size.
const EXTRA_SENDS: u32 = 4;

/// Transmissions of a weight update.
const WEIGHT_SENDS: u32 = 4;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuedUpdate {
    class: UpdateClass,
    sends: u32,
    /// Lower for later pushes, which are sent first.
    order: u64,
    address: SocketAddrV4,
}

/// The members with an update that this process still has to transmit.
#[derive(Clone, Debug, Default)]
pub struct UpdateQueue {
    pushes: u64,
    queue: BTreeSet<QueuedUpdate>,
    by_member: BTreeMap<SocketAddrV4, QueuedUpdate>,
}

impl UpdateQueue {
    /// Queues an update of a member and resets its transmissions. If one is queued already, the
    /// more important of the two classes is kept.
    pub fn push(&mut self, address: SocketAddrV4, class: UpdateClass) {
        let mut class = class;
        if let Some(queued) = self.by_member.remove(&address) {
            self.queue.remove(&queued);
            class = class.min(queued.class);
        }
        self.pushes += 1;
        let queued = QueuedUpdate {
            class,
            sends: 0,
            order: u64::MAX - self.pushes,
            address,
        };
        self.queue.insert(queued);
        self.by_member.insert(address, queued);
    }

    /// Returns up to `count` members from the front, none of a class below `lowest`.
    pub fn peek(&self, lowest: UpdateClass, count: usize) -> Vec<SocketAddrV4> {
        let queue = self
            .queue
            .iter()
            .take_while(|queued| queued.class <= lowest);
        queue.take(count).map(|queued| queued.address).collect()
    }

    /// Returns the class of the update at the front.
    pub fn first_class(&self) -> Option<UpdateClass> {
        self.queue.first().map(|queued| queued.class)
    }

    /// Returns the class of the queued update of a member.
    pub fn class_of(&self, address: SocketAddrV4) -> Option<UpdateClass> {
        self.by_member.get(&address).map(|queued| queued.class)
    }

    /// Counts a transmission of a member's update and removes the update once `limit` of its class
    /// is reached.
    pub fn count_send(&mut self, address: SocketAddrV4, limit: impl Fn(UpdateClass) -> u32) {
        let Some(mut queued) = self.by_member.remove(&address) else {
            return;
        };
        self.queue.remove(&queued);
        queued.sends += 1;
        if queued.sends >= limit(queued.class) {
            return;
        }
        self.queue.insert(queued);
        self.by_member.insert(address, queued);
    }

    /// Returns the number of queued updates, at most one per member.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no update is queued.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Returns the number of times that each process transmits an update.
///
/// `is_startup_join` is whether the process is starting and the update tells of a member that is running.
/// Such an update is transmitted less often, as all others may be gossiping the same ones, and those
/// that it misses learn it by their own joins and comparisons. They learn of a suspicion or a death only
/// by gossip.
pub fn transmit_limit(class: UpdateClass, fleet_size: usize, is_startup_join: bool) -> u32 {
    let size_bits = usize::BITS - fleet_size.leading_zeros();
    match class {
        UpdateClass::State if is_startup_join => STARTING_SENDS,
        UpdateClass::State | UpdateClass::Liveness => size_bits + EXTRA_SENDS,
        UpdateClass::Weight => WEIGHT_SENDS,
    }
}
