//! Updates that still have to be passed on, the most important and least sent first.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
};

/// How much an update matters; the order is that of sending.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Class {
    /// A member joined, drains, left or began a new life.
    State,
    /// A member is suspected, given up, or refutes it.
    Verdict,
    /// A member changed its weight.
    Weight,
}

/// Sends of a state change or verdict beyond the logarithm of the fleet's size.
const EXTRA_SENDS: u32 = 4;

/// Sends of a weight change.
const WEIGHT_SENDS: u32 = 4;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    class: Class,
    sent: u32,
    order: u64,
    address: SocketAddrV4,
}

/// The members whose news is still passed on.
#[derive(Clone, Debug, Default)]
pub struct News {
    order: u64,
    queue: BTreeSet<Rank>,
    ranks: BTreeMap<SocketAddrV4, Rank>,
}

impl News {
    /// Passes a member's news on; an unsent more important one keeps its class.
    pub fn push(&mut self, address: SocketAddrV4, class: Class) {
        let mut class = class;
        if let Some(rank) = self.ranks.remove(&address) {
            self.queue.remove(&rank);
            class = class.min(rank.class);
        }
        self.order += 1;
        let rank = Rank {
            class,
            sent: 0,
            order: u64::MAX - self.order,
            address,
        };
        self.queue.insert(rank);
        self.ranks.insert(address, rank);
    }

    /// Returns the first members in line, up to a class.
    pub fn first(&self, worst: Class, count: usize) -> Vec<SocketAddrV4> {
        let queue = self.queue.iter().take_while(|rank| rank.class <= worst);
        queue.take(count).map(|rank| rank.address).collect()
    }

    /// Returns the class of the first member in line.
    pub fn class(&self) -> Option<Class> {
        self.queue.first().map(|rank| rank.class)
    }

    /// Returns the class of a member's news.
    pub fn class_of(&self, address: SocketAddrV4) -> Option<Class> {
        self.ranks.get(&address).map(|rank| rank.class)
    }

    /// Counts a send of a member's news, which is passed on `most` times for its class.
    pub fn sent(&mut self, address: SocketAddrV4, most: impl Fn(Class) -> u32) {
        let Some(mut rank) = self.ranks.remove(&address) else {
            return;
        };
        self.queue.remove(&rank);
        rank.sent += 1;
        if rank.sent >= most(rank.class) {
            return;
        }
        self.queue.insert(rank);
        self.ranks.insert(address, rank);
    }

    /// Returns the number of members in line.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether nothing is in line.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }
}

/// Returns how often one process of a fleet of a size sends an update; `early` if it has just started.
pub fn sends(class: Class, fleet: usize, early: bool) -> u32 {
    let rounds = usize::BITS - fleet.leading_zeros();
    match class {
        Class::State | Class::Verdict if early => rounds,
        Class::State | Class::Verdict => rounds + EXTRA_SENDS,
        Class::Weight => WEIGHT_SENDS,
    }
}
