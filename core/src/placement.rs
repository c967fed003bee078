//! Weighted consistent hashing that selects the agents for the first packets of a flow.
//!
//! All processes with the same candidates compute the same table.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::owner_id::ServiceTag;

mod maglev;
mod relays;

pub use maglev::MaglevTable;
pub use relays::{RELAYS_PER_DOMAIN, relays};

/// Largest number of candidates for rendezvous hashing, whose lookup cost grows with their number.
const MAX_RENDEZVOUS_CANDIDATES: usize = 128;

const RENDEZVOUS_HASH_SEED: u64 = 5;

/// An agent that can be selected for a flow.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Candidate {
    /// Address of the agent's data socket.
    pub address: SocketAddrV4,
    /// Relative share of new flows, at least 1.
    pub weight: u16,
}

/// The two agents selected for a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Agent that the flow is sent to first.
    pub first: SocketAddrV4,
    /// Agent that takes the place of `first` if it is not available; `None` if there is no other.
    pub second: Option<SocketAddrV4>,
}

/// A placement table, built for the agents of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Table {
    /// Rendezvous hashing, for up to 128 candidates.
    Rendezvous(Vec<Candidate>),
    /// Maglev hashing, for more candidates.
    Maglev(MaglevTable),
}

impl Default for Table {
    fn default() -> Self {
        Table::Rendezvous(Vec::new())
    }
}

impl Table {
    /// Builds the table of the candidates; their order does not matter.
    ///
    /// Of several candidates with one address, the one with the lowest weight is used.
    pub fn build(candidates: &[Candidate]) -> Self {
        let mut sorted = candidates.to_vec();
        sorted.sort_unstable();
        sorted.dedup_by_key(|c| c.address);
        match sorted.len() > MAX_RENDEZVOUS_CANDIDATES {
            true => Table::Maglev(MaglevTable::build(&sorted)),
            false => Table::Rendezvous(sorted),
        }
    }

    /// Returns the agents selected for a flow, or `None` if the table is empty.
    ///
    /// `flow` is the key of the flow, such as a connection id; `service` is hashed with it.
    pub fn choose(&self, service: ServiceTag, flow: &[u8]) -> Option<Choice> {
        match self {
            Table::Rendezvous(candidates) => rendezvous_choice(candidates, service, flow),
            Table::Maglev(table) => table.choose(service, flow),
        }
    }

    /// Returns the addresses of the candidates in ascending order.
    pub fn addresses(&self) -> Vec<SocketAddrV4> {
        match self {
            Table::Rendezvous(candidates) => candidates.iter().map(|c| c.address).collect(),
            Table::Maglev(table) => table.addresses().to_vec(),
        }
    }

    /// Returns the heap memory of the table, in bytes.
    pub fn memory_bytes(&self) -> usize {
        match self {
            Table::Rendezvous(candidates) => candidates.capacity() * size_of::<Candidate>(),
            Table::Maglev(table) => table.memory_bytes(),
        }
    }
}

/// Returns the two candidates with the highest scores in weighted rendezvous hashing (Thaler and Ravishankar, IEEE/ACM
/// Transactions on Networking 6, 1998; weights as by Schindelhauer and Schomaker, SPAA 2005).
///
/// The second one is the candidate that becomes the first when the first leaves; `None` is returned if
/// there are no candidates.
pub fn rendezvous_choice(
    candidates: &[Candidate],
    service: ServiceTag,
    flow: &[u8],
) -> Option<Choice> {
    let flow_hash = hash(flow, service, RENDEZVOUS_HASH_SEED);
    let mut first = None;
    let mut second = None;
    for candidate in candidates {
        let scored = Some((score(candidate, flow_hash), candidate.address));
        if scored > first {
            second = first;
            first = scored;
        } else if scored > second {
            second = scored;
        }
    }
    Some(Choice {
        first: first?.1,
        second: second.map(|(_, address)| address),
    })
}

fn score(candidate: &Candidate, flow_hash: u64) -> f64 {
    let address = u64::from(candidate.address.ip().to_bits()) << 16;
    let seed = address | u64::from(candidate.address.port());
    let hash = xxh3_64_with_seed(&flow_hash.to_le_bytes(), seed);
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    f64::from(candidate.weight.max(1)) / -uniform.ln()
}

fn hash(flow: &[u8], service: ServiceTag, seed: u64) -> u64 {
    xxh3_64_with_seed(flow, seed ^ (u64::from(service.0) << 16))
}
