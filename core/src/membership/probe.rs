//! The probes of one process: whose turn it is, and what is not answered yet.
//!
//! The order follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", DSN 2002, section 4.3): each member once per round, in an
//! order that is shuffled anew.

use std::{net::SocketAddrV4, time::Duration};

use rand::{Rng, rngs::SmallRng, seq::SliceRandom};

use crate::clock::Time;

/// Interval between two probes of a process.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an answer after which others are asked to probe.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without any answer after which a member is suspected.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Members that are asked to probe one that does not answer.
pub const RELAYS: usize = 3;

/// Time for which an asked member waits for the answer.
const RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest score of an unhealthy process.
const MAX_HEALTH: u32 = 4;

/// Relays that are open at once, at most.
const MAX_RELAYS: usize = 64;

/// A probe that is not answered yet.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Member that is probed.
    pub target: SocketAddrV4,
    /// Number of the probe.
    pub sequence: u32,
    /// Whether others have been asked.
    pub relayed: bool,
    direct: Time,
    last: Time,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub struct Relay {
    /// Control address of the member that asked.
    pub asker: SocketAddrV4,
    /// Its number of the probe.
    pub theirs: u32,
    ours: u32,
    expires: Time,
}

/// The probes of one process.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    ring: Vec<SocketAddrV4>,
    cursor: usize,
    open: Vec<Probe>,
    relays: Vec<Relay>,
    health: u32,
}

impl Probes {
    /// Adds a member at a random place of the round.
    pub fn add(&mut self, address: SocketAddrV4, rng: &mut SmallRng) {
        let place = rng.random_range(0..=self.ring.len());
        self.ring.push(address);
        let last = self.ring.len() - 1;
        self.ring.swap(place, last);
    }

    /// Returns the next member that passes the check; others leave the round.
    pub fn next(
        &mut self,
        rng: &mut SmallRng,
        check: impl Fn(SocketAddrV4) -> bool,
    ) -> Option<SocketAddrV4> {
        while !self.ring.is_empty() {
            if self.cursor >= self.ring.len() {
                self.ring.shuffle(rng);
                self.cursor = 0;
            }
            let address = self.ring[self.cursor];
            if check(address) {
                self.cursor += 1;
                return Some(address);
            }
            self.ring.swap_remove(self.cursor);
        }
        None
    }

    /// Returns up to `count` different random members that pass the check.
    pub fn sample(
        &self,
        rng: &mut SmallRng,
        count: usize,
        check: impl Fn(SocketAddrV4) -> bool,
    ) -> Vec<SocketAddrV4> {
        let mut chosen = Vec::with_capacity(count);
        if self.ring.len() <= 4 * count {
            let mut all: Vec<SocketAddrV4> =
                self.ring.iter().copied().filter(|a| check(*a)).collect();
            all.shuffle(rng);
            all.truncate(count);
            return all;
        }
        for _ in 0..8 * count {
            if chosen.len() == count {
                break;
            }
            let address = self.ring[rng.random_range(0..self.ring.len())];
            if check(address) && !chosen.contains(&address) {
                chosen.push(address);
            }
        }
        chosen
    }

    /// Opens a probe and returns its number.
    pub fn open(&mut self, target: SocketAddrV4, rng: &mut SmallRng, now: Time) -> u32 {
        let sequence = rng.random();
        let scale = 1 + self.health;
        self.open.push(Probe {
            target,
            sequence,
            relayed: false,
            direct: now + DIRECT_TIMEOUT * scale,
            last: now + PROBE_TIMEOUT * scale,
        });
        sequence
    }

    /// Opens a probe on behalf of another member and returns its number.
    pub fn relay(
        &mut self,
        asker: SocketAddrV4,
        theirs: u32,
        rng: &mut SmallRng,
        now: Time,
    ) -> Option<u32> {
        if self.relays.len() >= MAX_RELAYS {
            return None;
        }
        let ours = rng.random();
        self.relays.push(Relay {
            asker,
            theirs,
            ours,
            expires: now + RELAY_TIMEOUT,
        });
        Some(ours)
    }

    /// Takes an answer; returns the member that it proves alive.
    pub fn answered(&mut self, sequence: u32) -> Option<SocketAddrV4> {
        let index = self.open.iter().position(|p| p.sequence == sequence)?;
        self.health = self.health.saturating_sub(1);
        Some(self.open.swap_remove(index).target)
    }

    /// Takes the answer to a probe on behalf of another member.
    pub fn relay_answered(&mut self, sequence: u32) -> Option<Relay> {
        let index = self.relays.iter().position(|r| r.ours == sequence)?;
        Some(self.relays.swap_remove(index))
    }

    /// Returns the probes whose direct answer is overdue, once each.
    pub fn overdue(&mut self, now: Time) -> Vec<Probe> {
        let mut overdue = Vec::new();
        for probe in &mut self.open {
            if probe.relayed || now < probe.direct {
                continue;
            }
            probe.relayed = true;
            overdue.push(probe.clone());
        }
        overdue
    }

    /// Removes and returns the probes that have failed.
    pub fn failed(&mut self, now: Time) -> Vec<Probe> {
        self.relays.retain(|relay| relay.expires > now);
        let (failed, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|probe| now >= probe.last);
        self.open = open;
        failed
    }

    /// Returns whether a member is being probed.
    pub fn is_open(&self, target: SocketAddrV4) -> bool {
        self.open.iter().any(|probe| probe.target == target)
    }

    /// Forgets the probes of a member that was heard of in another way.
    pub fn forget(&mut self, target: SocketAddrV4) {
        self.open.retain(|probe| probe.target != target);
    }

    /// Counts a sign that this process itself is slow.
    pub fn worsen(&mut self) {
        self.health = (self.health + 1).min(MAX_HEALTH);
    }

    /// Forgets all open probes after this process stood still.
    pub fn reset(&mut self) {
        self.open.clear();
        self.relays.clear();
        self.health = MAX_HEALTH;
    }
}
