//! Selection of the peer to which a request is offloaded.
//!
//! A peer that refused a request is skipped for a backoff that doubles with each refusal in a row,
//! so that offloading costs little when all agents are busy. A request of higher priority ignores
//! the backoff.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{clock::Time, placement::Candidate};

const INITIAL_BACKOFF_DELAY: Duration = Duration::from_millis(5);
const MAX_BACKOFF_DELAY: Duration = Duration::from_millis(320);

/// Peers to which one request is offered at most.
pub const MAX_OFFLOAD_ATTEMPTS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Backoff {
    priority: u8,
    until: Time,
    delay: Duration,
}

/// Selects peers by weight and backs off from those that refused a request.
#[derive(Debug)]
pub struct PeerSelector {
    backoffs: HashMap<SocketAddrV4, Backoff>,
    random: SmallRng,
}

impl PeerSelector {
    /// Creates a selector without backoffs; `seed` seeds its random choice.
    pub fn new(seed: u64) -> Self {
        Self {
            backoffs: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns a random peer, by weight, among those without a backoff for this priority.
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        priority: u8,
        now: Time,
    ) -> Option<SocketAddrV4> {
        let available = |c: &&Candidate| {
            let backoff = self.backoffs.get(&c.address);
            backoff.is_none_or(|b| now >= b.until || priority < b.priority)
        };
        let available: Vec<&Candidate> = candidates.iter().filter(available).collect();
        let total: u32 = available.iter().map(|c| u32::from(c.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut remaining = self.random.random_range(0..total);
        for candidate in available {
            let weight = u32::from(candidate.weight);
            if remaining < weight {
                return Some(candidate.address);
            }
            remaining -= weight;
        }
        None
    }

    /// Ends the backoff of a peer that took a request.
    pub fn record_accepted(&mut self, peer: SocketAddrV4) {
        self.backoffs.remove(&peer);
    }

    /// Starts or doubles the backoff of a peer that refused a request or did not answer.
    pub fn record_refused(&mut self, peer: SocketAddrV4, priority: u8, now: Time) {
        let previous = self.backoffs.get(&peer);
        let delay = previous.map_or(INITIAL_BACKOFF_DELAY, |b| {
            MAX_BACKOFF_DELAY.min(b.delay * 2)
        });
        let until = now + delay;
        let backoff = Backoff {
            priority,
            delay,
            until,
        };
        self.backoffs.insert(peer, backoff);
    }
}
