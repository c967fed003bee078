//! Probes of members: their order and those that are not acknowledged yet.
//!
//! The order follows SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
//! Process Group Membership Protocol", DSN 2002, section 4.3): each member once per round, and a
//! new random order in each round.

use std::{net::SocketAddrV4, time::Duration};

use rand::{Rng, rngs::SmallRng, seq::SliceRandom};

use crate::clock::Time;

/// Interval at which a process starts probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Time without an acknowledgement after which indirect probes are requested, at local health score
/// 0; multiplied by the score plus one.
pub const DIRECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Time without any acknowledgement after which a member is suspected, at local health score 0;
/// multiplied by the score plus one.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of members that are asked to probe a member that has not acknowledged a ping.
///
/// One more is asked if the target is not among those selected, and fewer if too few are eligible.
pub const INDIRECT_PROBES: usize = 3;

/// Time after which an indirect probe is discarded.
const INDIRECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest local health score (Lifeguard); zero is healthy.
const MAX_HEALTH_SCORE: u32 = 4;

/// Largest number of open indirect probes.
const MAX_OPEN_INDIRECT_PROBES: usize = 64;

/// A probe that is not acknowledged yet.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Member that is probed.
    pub target: SocketAddrV4,
    /// Random number that identifies the probe.
    pub sequence: u32,
    /// Whether indirect probes have been requested.
    pub has_indirect: bool,
    direct_deadline: Time,
    deadline: Time,
}

/// A probe on behalf of another member.
#[derive(Clone, Copy, Debug)]
pub struct IndirectProbe {
    /// Control address of the member that requested the probe.
    pub requester: SocketAddrV4,
    /// Sequence number of that member's own probe.
    pub requester_sequence: u32,
    sequence: u32,
    expires: Time,
}

/// The order of probes and the open probes of one process.
#[derive(Clone, Debug, Default)]
pub struct Probes {
    order: Vec<SocketAddrV4>,
    cursor: usize,
    open: Vec<Probe>,
    indirect: Vec<IndirectProbe>,
    health_score: u32,
}

impl Probes {
    /// Inserts a member at a random position of the round.
    pub fn insert(&mut self, address: SocketAddrV4, rng: &mut SmallRng) {
        let index = rng.random_range(0..=self.order.len());
        self.order.push(address);
        let last = self.order.len() - 1;
        self.order.swap(index, last);
    }

    /// Returns the next eligible member of the round and removes the ineligible ones before it.
    pub fn next_target(
        &mut self,
        rng: &mut SmallRng,
        is_eligible: impl Fn(SocketAddrV4) -> bool,
    ) -> Option<SocketAddrV4> {
        while !self.order.is_empty() {
            if self.cursor >= self.order.len() {
                self.order.shuffle(rng);
                self.cursor = 0;
            }
            let address = self.order[self.cursor];
            if is_eligible(address) {
                self.cursor += 1;
                return Some(address);
            }
            self.order.swap_remove(self.cursor);
        }
        None
    }

    /// Returns up to `count` distinct eligible members, chosen at random.
    pub fn sample(
        &self,
        rng: &mut SmallRng,
        count: usize,
        is_eligible: impl Fn(SocketAddrV4) -> bool,
    ) -> Vec<SocketAddrV4> {
        let mut chosen = Vec::with_capacity(count);
        if self.order.len() <= 4 * count {
            let mut all: Vec<SocketAddrV4> = self
                .order
                .iter()
                .copied()
                .filter(|a| is_eligible(*a))
                .collect();
            all.shuffle(rng);
            all.truncate(count);
            return all;
        }
        for _ in 0..8 * count {
            if chosen.len() == count {
                break;
            }
            let address = self.order[rng.random_range(0..self.order.len())];
            if is_eligible(address) && !chosen.contains(&address) {
                chosen.push(address);
            }
        }
        chosen
    }

    /// Opens a probe and returns its sequence number.
    ///
    /// The timeouts grow with the local health score, as in Lifeguard.
    pub fn open(&mut self, target: SocketAddrV4, rng: &mut SmallRng, now: Time) -> u32 {
        let sequence = rng.random();
        let scale = 1 + self.health_score;
        self.open.push(Probe {
            target,
            sequence,
            has_indirect: false,
            direct_deadline: now + DIRECT_TIMEOUT * scale,
            deadline: now + PROBE_TIMEOUT * scale,
        });
        sequence
    }

    /// Opens a probe on behalf of another member and returns its sequence number, or `None` if too
    /// many are open.
    pub fn open_indirect(
        &mut self,
        requester: SocketAddrV4,
        requester_sequence: u32,
        rng: &mut SmallRng,
        now: Time,
    ) -> Option<u32> {
        if self.indirect.len() >= MAX_OPEN_INDIRECT_PROBES {
            return None;
        }
        let sequence = rng.random();
        self.indirect.push(IndirectProbe {
            requester,
            requester_sequence,
            sequence,
            expires: now + INDIRECT_TIMEOUT,
        });
        Some(sequence)
    }

    /// Completes an acknowledged probe and returns its target, or `None` if no such probe is open.
    pub fn complete(&mut self, sequence: u32) -> Option<SocketAddrV4> {
        let index = self.open.iter().position(|p| p.sequence == sequence)?;
        self.health_score = self.health_score.saturating_sub(1);
        Some(self.open.swap_remove(index).target)
    }

    /// Completes an acknowledged probe on behalf of another member, if it is open.
    pub fn complete_indirect(&mut self, sequence: u32) -> Option<IndirectProbe> {
        let index = self.indirect.iter().position(|r| r.sequence == sequence)?;
        Some(self.indirect.swap_remove(index))
    }

    /// Returns the probes that now need indirect probes, each of them only once.
    pub fn mark_overdue(&mut self, now: Time) -> Vec<Probe> {
        let mut overdue = Vec::new();
        for probe in &mut self.open {
            if probe.has_indirect || now < probe.direct_deadline {
                continue;
            }
            probe.has_indirect = true;
            overdue.push(probe.clone());
        }
        overdue
    }

    /// Removes and returns the probes that have timed out.
    pub fn remove_failed(&mut self, now: Time) -> Vec<Probe> {
        self.indirect.retain(|probe| probe.expires > now);
        let (failed, open) = std::mem::take(&mut self.open)
            .into_iter()
            .partition(|probe| now >= probe.deadline);
        self.open = open;
        failed
    }

    /// Returns whether a probe of a member is open.
    pub fn is_open(&self, target: SocketAddrV4) -> bool {
        self.open.iter().any(|probe| probe.target == target)
    }

    /// Cancels the open probes of a member that has been found alive in another way.
    pub fn cancel(&mut self, target: SocketAddrV4) {
        self.open.retain(|probe| probe.target != target);
    }

    /// Raises the local health score after a sign that this process itself is slow.
    pub fn raise_health_score(&mut self) {
        self.health_score = (self.health_score + 1).min(MAX_HEALTH_SCORE);
    }

    /// Discards all open probes and assumes the worst local health after this process was frozen.
    pub fn reset(&mut self) {
        self.open.clear();
        self.indirect.clear();
        self.health_score = MAX_HEALTH_SCORE;
    }
}
