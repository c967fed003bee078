//! Joining through seeds, and repair of what the spread of news missed.

use std::{net::SocketAddrV4, time::Duration};

use rand::{Rng, rngs::SmallRng};

use super::{
    budget::Level,
    digest::{self, MAX_SHARDS},
    message::{Body, KEYS_PER_MESSAGE, Key, Message, Packed, Update, Verdict},
    swim::Swim,
};
use crate::{clock::Time, member::Record};

/// Interval between two comparisons that a process starts.
pub const SYNC_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between two comparisons of a process that has just started.
const EARLY_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which a process counts as just started.
const EARLY_TIME: Duration = Duration::from_secs(10);

/// Interval between two attempts to reach seeds.
const JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a process that has found nobody to ask counts as joined: it is the first of its
/// fleet, as seeds in the store last for 10 s.
const LONE_TIME: Duration = Duration::from_secs(10);

/// Seeds of no known member that are joined at once.
const MAX_STRANGERS: usize = 8;

/// Seeds that are tried at once, since some of them may be gone.
const JOIN_SEEDS: usize = 3;

/// Interval in which a shard that was asked for is expected.
const PULL_INTERVAL: Duration = Duration::from_millis(500);

/// Shards that are asked for at once.
const PULLS: usize = 8;

/// Shards that are listed in answer to one comparison.
const LISTED_SHARDS: usize = 4;

/// Comparisons out of which one goes to a seed.
const SEED_TURN: u32 = 3;

/// A shard that a new process still has to fetch.
#[derive(Clone, Copy, Debug)]
struct Pending {
    shard: u16,
    parts: u16,
    asked: Option<Time>,
}

/// The progress of joins and comparisons.
#[derive(Debug)]
pub struct Sync {
    due: Time,
    /// Until when the process counts as just started.
    early: Time,
    join: Time,
    next_seed: usize,
    turn: u32,
    shards: u16,
    pending: Vec<Pending>,
    welcomed: bool,
    /// Seeds of no known member that were found and not joined yet.
    strangers: Vec<SocketAddrV4>,
    /// When the process counts as joined although it has found nobody to ask.
    lone: Time,
}

impl Sync {
    /// Returns the start of a process.
    pub fn new(now: Time, rng: &mut SmallRng) -> Self {
        Self {
            due: now + EARLY_INTERVAL.mul_f64(1.0 + rng.random::<f64>()),
            early: now + EARLY_TIME,
            join: now,
            next_seed: rng.random_range(0..usize::from(u16::MAX)),
            turn: 0,
            shards: 1,
            pending: Vec::new(),
            welcomed: false,
            strangers: Vec::new(),
            lone: now + LONE_TIME,
        }
    }
}

impl Swim {
    /// Returns whether the process has fetched what its seed knew.
    pub fn is_joined(&self) -> bool {
        self.sync.welcomed && self.sync.pending.is_empty()
    }

    /// Returns whether the process has just started.
    ///
    /// Where a whole fleet starts at once, everybody passes on news of everybody, more than budgets
    /// allow: then news is sent less often, and comparisons repair what is missed.
    pub(super) fn is_early(&self) -> bool {
        self.ticked() < self.sync.early
    }

    /// Starts joins, fetches and comparisons that are due.
    pub(super) fn sync_tick(&mut self, now: Time) {
        let alone = self.roster.live() <= 1;
        if (alone || !self.sync.welcomed) && now >= self.sync.join {
            self.sync.join = now + JOIN_INTERVAL;
            self.join(now);
        }
        self.join_strangers(now);
        self.pull(now);
        if now < self.sync.due {
            return;
        }
        let jitter = self.rng.random_range(0.8..1.2);
        let interval = match self.is_early() && self.sync.welcomed {
            true => EARLY_INTERVAL,
            false => SYNC_INTERVAL,
        };
        self.sync.due = now + interval.mul_f64(jitter);
        self.compare();
    }

    /// Answers the messages of joins and comparisons.
    pub(super) fn sync_answer(&mut self, message: &Message) -> Option<Message> {
        let to = message.header.control.0;
        match &message.body {
            Body::Join => Some(self.welcome()),
            Body::Welcome { members } => {
                self.welcomed(*members);
                None
            }
            Body::Digest { digests } => {
                self.list_differences(to, digests);
                None
            }
            Body::Keys {
                shards,
                shard,
                complete,
                keys,
            } => self.compare_keys(*shards, *shard, *complete, keys),
            Body::Pull { shards, shard } => {
                self.send_shard(to, *shards, *shard);
                None
            }
            Body::Part { shard, parts } => {
                self.part_arrived(*shard, *parts);
                None
            }
            _ => None,
        }
    }

    /// Returns the seeds other than this process.
    fn other_seeds(&self) -> Vec<SocketAddrV4> {
        let own = self.own.control;
        self.seeds.iter().copied().filter(|s| *s != own).collect()
    }

    fn seed(&mut self) -> Option<SocketAddrV4> {
        let others = self.other_seeds();
        if others.is_empty() {
            return None;
        }
        Some(others[self.rng.random_range(0..others.len())])
    }

    /// Returns the next few seeds in turn.
    fn next_seeds(&mut self) -> Vec<SocketAddrV4> {
        let others = self.other_seeds();
        let start = self.sync.next_seed;
        self.sync.next_seed = start.wrapping_add(JOIN_SEEDS);
        let turn = others.iter().cycle().skip(start % others.len().max(1));
        turn.take(JOIN_SEEDS.min(others.len())).copied().collect()
    }

    fn join(&mut self, now: Time) {
        let mut seeds = self.next_seeds();
        if seeds.is_empty() {
            // Those who have found this process know others.
            let peers = self.peers(JOIN_SEEDS);
            seeds.extend(peers.into_iter().filter_map(|peer| self.control(peer)));
        }
        self.sync.welcomed |= seeds.is_empty() && now >= self.sync.lone;
        for seed in seeds {
            let mut message = self.message(Body::Join);
            message.add(Update::full(&self.own, Verdict::Alive));
            self.send(seed, Level::Probe, message);
        }
    }

    pub(super) fn add_stranger(&mut self, seed: SocketAddrV4) {
        if self.sync.strangers.len() < MAX_STRANGERS && !self.sync.strangers.contains(&seed) {
            self.sync.strangers.push(seed);
        }
    }

    /// Announces the process to seeds that it did not know, and compares views more often for a while.
    fn join_strangers(&mut self, now: Time) {
        let own = self.own.control;
        let strangers = std::mem::take(&mut self.sync.strangers);
        for seed in strangers.into_iter().filter(|seed| *seed != own) {
            self.sync.early = now + EARLY_TIME;
            self.sync.due = self.sync.due.min(now + EARLY_INTERVAL);
            let mut message = self.message(Body::Join);
            message.add(Update::full(&self.own, Verdict::Alive));
            self.send(seed, Level::Probe, message);
        }
    }

    fn welcome(&mut self) -> Message {
        let members = self.roster.live() as u32;
        let mut message = self.message(Body::Welcome { members });
        message.add(Update::full(&self.own, Verdict::Alive));
        for peer in self.peers(PULLS) {
            self.add_full(&mut message, peer);
        }
        message
    }

    fn welcomed(&mut self, members: u32) {
        if self.sync.welcomed && self.roster.live() > 2 {
            return;
        }
        self.sync.welcomed = true;
        self.sync.shards = digest::shards(members as usize);
        for shard in 0..self.sync.shards {
            self.sync.pending.push(Pending {
                shard,
                parts: 0,
                asked: None,
            });
        }
    }

    /// Asks random members for shards, so that no seed carries all joins.
    fn pull(&mut self, now: Time) {
        let mut shards = Vec::new();
        for pending in &mut self.sync.pending {
            let waits = pending
                .asked
                .is_some_and(|at| now.since(at) < PULL_INTERVAL);
            if waits || shards.len() == PULLS {
                continue;
            }
            pending.asked = Some(now);
            pending.parts = 0;
            shards.push(pending.shard);
        }
        if shards.is_empty() {
            return;
        }
        let peers = self.peers(PULLS);
        for (index, shard) in shards.into_iter().enumerate() {
            let Some(peer) = peers.get(index % peers.len().max(1)) else {
                return;
            };
            let Some(control) = self.control(*peer) else {
                continue;
            };
            let message = self.message(Body::Pull {
                shards: self.sync.shards,
                shard,
            });
            self.send(control, Level::State, message);
        }
    }

    fn send_shard(&mut self, to: SocketAddrV4, shards: u16, shard: u16) {
        if shards == 0 || shards > MAX_SHARDS {
            return;
        }
        let empty = self.message(Body::Part { shard, parts: 1 });
        let mut messages = vec![empty.clone()];
        for entry in self.roster.iter() {
            let address = entry.record.address;
            if !entry.is_live() || digest::shard_of(address, shards) != shard {
                continue;
            }
            let update = Update::full(&entry.record, entry.verdict);
            let last = messages.last_mut().expect("one message");
            if last.add(update.clone()) {
                continue;
            }
            let mut next = empty.clone();
            next.add(update);
            messages.push(next);
        }
        let parts = messages.len() as u16;
        for mut message in messages {
            message.body = Body::Part { shard, parts };
            self.send(to, Level::Verdict, message);
        }
    }

    fn part_arrived(&mut self, shard: u16, parts: u16) {
        for pending in &mut self.sync.pending {
            if pending.shard == shard {
                pending.parts += 1;
            }
        }
        self.sync
            .pending
            .retain(|pending| pending.shard != shard || pending.parts < parts);
    }

    /// Sends the digests of all shards to a random member, or to a seed in its turn.
    fn compare(&mut self) {
        self.sync.turn += 1;
        let member = self.peers(1).first().and_then(|peer| self.control(*peer));
        let to = match self.sync.turn.is_multiple_of(SEED_TURN) {
            true => self.seed().or(member),
            false => member.or_else(|| self.seed()),
        };
        let Some(to) = to else {
            return;
        };
        let shards = digest::shards(self.roster.live());
        let digests = digest::digests(&self.roster, shards);
        let message = self.message(Body::Digest { digests });
        self.send(to, self.repair_level(), message);
    }

    /// Returns how much a comparison matters: where everybody has just started, it saves news.
    fn repair_level(&self) -> Level {
        match self.is_early() {
            true => Level::State,
            false => Level::Repair,
        }
    }

    fn list_differences(&mut self, to: SocketAddrV4, digests: &[u32]) {
        let shards = digests.len() as u16;
        if shards == 0 || digests.len() > usize::from(MAX_SHARDS) {
            return;
        }
        let ours = digest::digests(&self.roster, shards);
        let mut differing = Vec::new();
        for (shard, digest) in digests.iter().enumerate() {
            if ours[shard] != *digest {
                differing.push(shard as u16);
            }
        }
        let start = self.rng.random_range(0..differing.len().max(1));
        if !differing.is_empty() {
            differing.rotate_left(start);
        }
        for shard in differing.into_iter().take(LISTED_SHARDS) {
            let mut keys = digest::keys(&self.roster, shards, shard);
            let complete = keys.len() <= KEYS_PER_MESSAGE;
            if !complete {
                let start = self.rng.random_range(0..keys.len());
                keys.rotate_left(start);
                keys.truncate(KEYS_PER_MESSAGE);
            }
            let message = self.message(Body::Keys {
                shards,
                shard,
                complete,
                keys,
            });
            self.send(to, self.repair_level(), message);
        }
    }

    fn compare_keys(
        &mut self,
        shards: u16,
        shard: u16,
        complete: bool,
        keys: &[Key],
    ) -> Option<Message> {
        if shards == 0 || shards > MAX_SHARDS {
            return None;
        }
        let mut reply = self.message(Body::News);
        for key in keys {
            let theirs = (key.incarnation, key.version);
            let Some(entry) = self.roster.get(key.address.0) else {
                if !self.roster.is_buried(key.address.0, theirs) {
                    reply.want(key.address.0);
                } else if let Some(obituary) = self.roster.obituary(key.address.0) {
                    reply.add(obituary);
                }
                continue;
            };
            let ours = (entry.record.incarnation, entry.record.version);
            if theirs > ours {
                reply.want(key.address.0);
            } else if theirs < ours || !entry.is_live() {
                reply.add(Update::full(&entry.record, entry.verdict));
            }
        }
        for key in digest::keys(&self.roster, shards, shard) {
            let listed = keys.iter().any(|k| k.address == key.address);
            if complete && !listed {
                self.add_full(&mut reply, key.address.0);
            }
        }
        let news = !reply.updates.is_empty() || !reply.wanted.is_empty();
        news.then_some(reply)
    }

    /// Takes members that were known before, as a fleet that has run for long has them.
    pub fn preload(&mut self, members: &[Record], now: Time) {
        for record in members {
            let update = Update::full(record, Verdict::Alive);
            if record.address == self.own.address || self.roster.get(record.address).is_some() {
                continue;
            }
            self.roster.apply(&update, now);
            self.probes.add(Packed(record.address).0, &mut self.rng);
        }
        self.sync.welcomed = true;
        self.sync.early = now;
    }
}
