//! Maglev hashing (Eisenbud et al., "Maglev: A Fast and Reliable Software Network Load Balancer",
//! NSDI 2016, section 3.4) with weights: each agent fills entries in proportion to its weight.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Candidate, Choice, hash};
use crate::owner_id::ServiceTag;

/// The paper uses more than 100 entries per agent, for shares that differ by at most 1 %.
const MIN_ENTRIES_PER_CANDIDATE: usize = 100;
const OFFSET_HASH_SEED: u64 = 1;
const SKIP_HASH_SEED: u64 = 2;
const FIRST_HASH_SEED: u64 = 3;
const SECOND_HASH_SEED: u64 = 4;
/// Largest number of hashes tried for a second choice before the table is searched in order; their seeds are
/// [`SECOND_HASH_SEED`] and the numbers after it.
const MAX_SECOND_CHOICE_HASHES: u64 = 4;

/// Prime table sizes; the smallest with [`MIN_ENTRIES_PER_CANDIDATE`] entries for each candidate is used, or the
/// largest if there is none.
const TABLE_SIZES: [usize; 8] = [
    251, 1_021, 4_099, 16_381, 65_537, 262_147, 1_048_573, 4_194_301,
];

/// A Maglev lookup table, whose entries are indices of addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MaglevTable {
    addresses: Vec<SocketAddrV4>,
    entries: Vec<u16>,
}

/// The order in which a candidate claims entries, and its progress while the table is filled.
struct Permutation {
    offset: usize,
    skip: usize,
    /// Steps of the permutation taken so far.
    steps: usize,
    /// Weight gained and not yet spent on entries.
    credit: u32,
    weight: u32,
}

impl MaglevTable {
    /// Builds the table of candidates sorted by address, at most one for each address.
    ///
    /// There may be at most 65 535 candidates: entries are 16-bit indices, and 65 535 marks an empty one.
    pub fn build(sorted: &[Candidate]) -> Self {
        if sorted.is_empty() {
            return Self::default();
        }
        let size = table_size(sorted.len());
        let entries = populate(sorted, size);
        let addresses = sorted.iter().map(|c| c.address).collect();
        Self { addresses, entries }
    }

    /// Returns the agents selected for a flow, or `None` if the table is empty.
    pub fn choose(&self, service: ServiceTag, flow: &[u8]) -> Option<Choice> {
        if self.entries.is_empty() {
            return None;
        }
        let first = self.lookup(hash(flow, service, FIRST_HASH_SEED));
        let second = self.second_choice(first, service, flow);
        Some(Choice { first, second })
    }

    /// Returns an agent other than `first`, or `None` if `first` is the only one.
    fn second_choice(
        &self,
        first: SocketAddrV4,
        service: ServiceTag,
        flow: &[u8],
    ) -> Option<SocketAddrV4> {
        if self.addresses.len() < 2 {
            return None;
        }
        for attempt in 0..MAX_SECOND_CHOICE_HASHES {
            let other = self.lookup(hash(flow, service, SECOND_HASH_SEED + attempt));
            if other != first {
                return Some(other);
            }
        }
        let start = (hash(flow, service, SECOND_HASH_SEED) % self.entries.len() as u64) as usize;
        let (before, after) = self.entries.split_at(start);
        let mut others = after.iter().chain(before);
        let other = others.find(|i| self.addresses[usize::from(**i)] != first)?;
        Some(self.addresses[usize::from(*other)])
    }

    /// Returns the address of the agent of each entry, in order.
    pub fn addresses_by_entry(&self) -> impl Iterator<Item = SocketAddrV4> {
        self.entries.iter().map(|i| self.addresses[usize::from(*i)])
    }

    /// Returns the addresses of the candidates in ascending order.
    pub fn addresses(&self) -> &[SocketAddrV4] {
        &self.addresses
    }

    /// Returns the heap memory of the table, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<u16>()
            + self.addresses.capacity() * size_of::<SocketAddrV4>()
    }

    fn lookup(&self, hash: u64) -> SocketAddrV4 {
        let position = (hash % self.entries.len() as u64) as usize;
        self.addresses[usize::from(self.entries[position])]
    }
}

fn table_size(candidates: usize) -> usize {
    let min_size = candidates * MIN_ENTRIES_PER_CANDIDATE;
    let found = TABLE_SIZES.iter().find(|size| **size >= min_size);
    *found.unwrap_or(&TABLE_SIZES[TABLE_SIZES.len() - 1])
}

/// Returns the entries of the table: indices of candidates.
///
/// In each round, a candidate gains its weight as credit and claims an entry once its credit reaches the
/// highest weight.
fn populate(candidates: &[Candidate], size: usize) -> Vec<u16> {
    const EMPTY: u16 = u16::MAX;
    let max_weight = candidates
        .iter()
        .map(|c| c.weight)
        .max()
        .unwrap_or(1)
        .max(1);
    let mut permutations: Vec<Permutation> =
        candidates.iter().map(|c| permutation(c, size)).collect();
    let mut entries = vec![EMPTY; size];
    let mut filled = 0;
    while filled < size {
        for (index, permutation) in permutations.iter_mut().enumerate() {
            permutation.credit += permutation.weight;
            if permutation.credit < u32::from(max_weight) {
                continue;
            }
            permutation.credit -= u32::from(max_weight);
            let position = next_empty(permutation, &entries, EMPTY);
            entries[position] = index as u16;
            filled += 1;
            if filled == size {
                break;
            }
        }
    }
    entries
}

fn permutation(candidate: &Candidate, size: usize) -> Permutation {
    let address = candidate.address.to_string();
    Permutation {
        offset: (xxh3_64_with_seed(address.as_bytes(), OFFSET_HASH_SEED) % size as u64) as usize,
        skip: (xxh3_64_with_seed(address.as_bytes(), SKIP_HASH_SEED) % (size as u64 - 1)) as usize
            + 1,
        steps: 0,
        credit: 0,
        weight: u32::from(candidate.weight.max(1)),
    }
}

/// Returns the position of the first entry of the permutation that is empty, and advances past it.
fn next_empty(permutation: &mut Permutation, entries: &[u16], empty: u16) -> usize {
    loop {
        let position = (permutation.offset + permutation.steps * permutation.skip) % entries.len();
        permutation.steps += 1;
        if entries[position] == empty {
            return position;
        }
    }
}
