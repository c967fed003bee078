//! Which other agent of the service is asked to run a request that has no slot here.
//!
//! A peer that had no room is left alone for a time that doubles with each refusal in a row,
//! so that passing costs little when all are busy. A request of higher priority may still ask.

use std::{collections::HashMap, net::SocketAddrV4, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{clock::Time, placement::Candidate};

const FIRST_PAUSE: Duration = Duration::from_millis(5);
const MAX_PAUSE: Duration = Duration::from_millis(320);

/// Peers asked for one request.
pub const MAX_ATTEMPTS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Pause {
    priority: u8,
    until: Time,
    step: Duration,
}

/// What is known of the other agents.
#[derive(Debug)]
pub struct Peers {
    pauses: HashMap<SocketAddrV4, Pause>,
    random: SmallRng,
}

impl Peers {
    /// Returns the choice of one agent, with the seed of its randomness.
    pub fn new(seed: u64) -> Self {
        Self {
            pauses: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns a peer to ask, by weight among those that may have room for a priority.
    pub fn choose(
        &mut self,
        candidates: &[Candidate],
        priority: u8,
        now: Time,
    ) -> Option<SocketAddrV4> {
        let open = |c: &&Candidate| {
            let pause = self.pauses.get(&c.address);
            pause.is_none_or(|p| now >= p.until || priority < p.priority)
        };
        let open: Vec<&Candidate> = candidates.iter().filter(open).collect();
        let total: u32 = open.iter().map(|c| u32::from(c.weight)).sum();
        if total == 0 {
            return None;
        }
        let mut left = self.random.random_range(0..total);
        for candidate in open {
            let weight = u32::from(candidate.weight);
            if left < weight {
                return Some(candidate.address);
            }
            left -= weight;
        }
        None
    }

    /// Learns that a peer took a request.
    pub fn accepted(&mut self, peer: SocketAddrV4) {
        self.pauses.remove(&peer);
    }

    /// Learns that a peer had no room for a priority, or did not answer.
    pub fn refused(&mut self, peer: SocketAddrV4, priority: u8, now: Time) {
        let before = self.pauses.get(&peer);
        let step = before.map_or(FIRST_PAUSE, |p| MAX_PAUSE.min(p.step * 2));
        let until = now + step;
        let pause = Pause {
            priority,
            step,
            until,
        };
        self.pauses.insert(peer, pause);
    }
}
