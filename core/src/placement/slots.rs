//! Maglev's table (Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer",
//! NSDI 2016, section 3.4) with weights: each member takes turns in proportion to its weight.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Candidate, Choice, hash};
use crate::owner_id::ServiceTag;

const ENTRIES_PER_MEMBER: usize = 100;
const OFFSET_SEED: u64 = 1;
const SKIP_SEED: u64 = 2;
const FIRST_SEED: u64 = 3;
const SECOND_SEED: u64 = 4;
const SECOND_TRIES: u64 = 4;

/// Prime table sizes; the smallest that holds the members is used.
const SIZES: [usize; 8] = [
    251, 1_021, 4_099, 16_381, 65_537, 262_147, 1_048_573, 4_194_301,
];

/// A table whose slots name members.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Slots {
    addresses: Vec<SocketAddrV4>,
    slots: Vec<u16>,
}

struct Turn {
    offset: usize,
    skip: usize,
    next: usize,
    credit: u32,
    weight: u32,
}

impl Slots {
    /// Builds the table of sorted candidates with different addresses.
    pub fn build(sorted: &[Candidate]) -> Self {
        if sorted.is_empty() {
            return Self::default();
        }
        let size = table_size(sorted.len());
        let slots = fill(sorted, size);
        let addresses = sorted.iter().map(|c| c.address).collect();
        Self { addresses, slots }
    }

    /// Returns the agents for a flow, or `None` if the table is empty.
    pub fn choose(&self, service: ServiceTag, flow: &[u8]) -> Option<Choice> {
        if self.slots.is_empty() {
            return None;
        }
        let first = self.lookup(hash(flow, service, FIRST_SEED));
        let second = self.second(first, service, flow);
        Some(Choice { first, second })
    }

    /// Returns another agent than `first`; `None` only if there is no other.
    fn second(
        &self,
        first: SocketAddrV4,
        service: ServiceTag,
        flow: &[u8],
    ) -> Option<SocketAddrV4> {
        if self.addresses.len() < 2 {
            return None;
        }
        for attempt in 0..SECOND_TRIES {
            let other = self.lookup(hash(flow, service, SECOND_SEED + attempt));
            if other != first {
                return Some(other);
            }
        }
        let start = (hash(flow, service, SECOND_SEED) % self.slots.len() as u64) as usize;
        let (before, after) = self.slots.split_at(start);
        let mut others = after.iter().chain(before);
        let other = others.find(|i| self.addresses[usize::from(**i)] != first)?;
        Some(self.addresses[usize::from(*other)])
    }

    /// Returns the agent in each slot, in order.
    pub fn slots(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.slots.iter().map(|i| self.addresses[usize::from(*i)])
    }

    /// Returns the members.
    pub fn members(&self) -> &[SocketAddrV4] {
        &self.addresses
    }

    /// Returns the memory that the table holds, in bytes.
    pub fn bytes(&self) -> usize {
        self.slots.capacity() * size_of::<u16>()
            + self.addresses.capacity() * size_of::<SocketAddrV4>()
    }

    fn lookup(&self, hash: u64) -> SocketAddrV4 {
        let slot = (hash % self.slots.len() as u64) as usize;
        self.addresses[usize::from(self.slots[slot])]
    }
}

fn table_size(members: usize) -> usize {
    let wanted = members * ENTRIES_PER_MEMBER;
    let found = SIZES.iter().find(|size| **size >= wanted);
    *found.unwrap_or(&SIZES[SIZES.len() - 1])
}

fn fill(candidates: &[Candidate], size: usize) -> Vec<u16> {
    const EMPTY: u16 = u16::MAX;
    let heaviest = candidates
        .iter()
        .map(|c| c.weight)
        .max()
        .unwrap_or(1)
        .max(1);
    let mut turns: Vec<Turn> = candidates.iter().map(|c| turn(c, size)).collect();
    let mut slots = vec![EMPTY; size];
    let mut filled = 0;
    while filled < size {
        for (index, turn) in turns.iter_mut().enumerate() {
            turn.credit += turn.weight;
            if turn.credit < u32::from(heaviest) {
                continue;
            }
            turn.credit -= u32::from(heaviest);
            let slot = next_empty(turn, &slots, EMPTY);
            slots[slot] = index as u16;
            filled += 1;
            if filled == size {
                break;
            }
        }
    }
    slots
}

fn turn(candidate: &Candidate, size: usize) -> Turn {
    let name = candidate.address.to_string();
    Turn {
        offset: (xxh3_64_with_seed(name.as_bytes(), OFFSET_SEED) % size as u64) as usize,
        skip: (xxh3_64_with_seed(name.as_bytes(), SKIP_SEED) % (size as u64 - 1)) as usize + 1,
        next: 0,
        credit: 0,
        weight: u32::from(candidate.weight.max(1)),
    }
}

fn next_empty(turn: &mut Turn, slots: &[u16], empty: u16) -> usize {
    loop {
        let slot = (turn.offset + turn.next * turn.skip) % slots.len();
        turn.next += 1;
        if slots[slot] == empty {
            return slot;
        }
    }
}
