//! Weighted tables that place the first packets of a flow.
//!
//! All processes that know the same members compute the same table.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::owner_id::ServiceTag;

mod relays;
mod slots;

pub use relays::{RELAYS, relays};
pub use slots::Slots;

/// Members up to which rendezvous hashing is used: its lookups cost in proportion to them.
const MAX_RANKED: usize = 128;

const RANK_SEED: u64 = 5;

/// A member that can be placed on.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Address of the agent's data socket.
    pub address: SocketAddrV4,
    /// Relative share of new flows, at least 1.
    pub weight: u16,
}

/// The two agents that a flow may be placed on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Agent that decides first.
    pub first: SocketAddrV4,
    /// Agent that the first may hand the flow to.
    pub second: Option<SocketAddrV4>,
}

/// A placement table of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Table {
    /// Rendezvous hashing over a few members.
    Ranked(Vec<Candidate>),
    /// Maglev's table over many members.
    Slotted(Slots),
}

impl Default for Table {
    fn default() -> Self {
        Table::Ranked(Vec::new())
    }
}

impl Table {
    /// Builds the table of the candidates, whose order does not matter.
    pub fn build(candidates: &[Candidate]) -> Self {
        let mut sorted = candidates.to_vec();
        sorted.sort_unstable();
        sorted.dedup_by_key(|c| c.address);
        match sorted.len() > MAX_RANKED {
            true => Table::Slotted(Slots::build(&sorted)),
            false => Table::Ranked(sorted),
        }
    }

    /// Returns the agents for a flow, or `None` if the table is empty.
    pub fn choose(&self, service: ServiceTag, flow: &[u8]) -> Option<Choice> {
        match self {
            Table::Ranked(candidates) => rank(candidates, service, flow),
            Table::Slotted(slots) => slots.choose(service, flow),
        }
    }

    /// Returns the members, in order.
    pub fn members(&self) -> Vec<SocketAddrV4> {
        match self {
            Table::Ranked(candidates) => candidates.iter().map(|c| c.address).collect(),
            Table::Slotted(slots) => slots.members().to_vec(),
        }
    }

    /// Returns the memory that the table holds, in bytes.
    pub fn bytes(&self) -> usize {
        match self {
            Table::Ranked(candidates) => candidates.capacity() * size_of::<Candidate>(),
            Table::Slotted(slots) => slots.bytes(),
        }
    }
}

/// Returns the two highest scores of weighted rendezvous hashing (Thaler and Ravishankar, IEEE/ACM
/// Transactions on Networking 6, 1998; weights as by Schindelhauer and Schomaker, SPAA 2005).
///
/// The second choice is the one that takes the place of the first when that one leaves.
pub fn rank(candidates: &[Candidate], service: ServiceTag, flow: &[u8]) -> Option<Choice> {
    let key = hash(flow, service, RANK_SEED);
    let mut first = None;
    let mut second = None;
    for candidate in candidates {
        let entry = Some((score(candidate, key), candidate.address));
        if entry > first {
            second = first;
            first = entry;
        } else if entry > second {
            second = entry;
        }
    }
    Some(Choice {
        first: first?.1,
        second: second.map(|(_, address)| address),
    })
}

fn score(candidate: &Candidate, key: u64) -> f64 {
    let address = u64::from(candidate.address.ip().to_bits()) << 16;
    let seed = address | u64::from(candidate.address.port());
    let hash = xxh3_64_with_seed(&key.to_le_bytes(), seed);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(candidate.weight.max(1)) / -uniform.ln()
}

fn hash(flow: &[u8], service: ServiceTag, seed: u64) -> u64 {
    xxh3_64_with_seed(flow, seed ^ (u64::from(service.0) << 16))
}
