//! Joins through seeds, and anti-entropy for updates that gossip has missed.

use std::{net::SocketAddrV4, time::Duration};

use rand::{Rng, rngs::SmallRng};

use super::{
    budget::SendPriority,
    digest::{self, MAX_SHARDS},
    message::{
        Body, Liveness, MAX_MESSAGE_BYTES, Message, PackedAddress, RecordVersion, Update,
        VERSIONS_PER_MESSAGE,
    },
    swim::Swim,
};
use crate::{clock::Time, member::Record};

/// Interval between two comparisons that a process starts.
pub const COMPARISON_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between two comparisons of a process that is starting and whose join was answered.
/// At 500 ms, the last of 70 processes that start at once became known up to 1.5 s after the start.
const STARTUP_COMPARISON_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a process counts as starting.
const STARTUP_PERIOD: Duration = Duration::from_secs(10);

/// Interval between the first two joins; it doubles until one is answered.
const MIN_JOIN_INTERVAL: Duration = Duration::from_millis(50);

/// Longest interval between two joins. At 250 ms from the first join on, processes that started before
/// their seeds after a loss of power took no part for that long.
const MAX_JOIN_INTERVAL: Duration = Duration::from_millis(250);

/// Time after which a process without any seed or peer counts as joined.
///
/// Seeds are registered in the store under leases of 10 s, so a process that finds none for that
/// long counts as the first.
const LONE_JOIN_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of discovered seeds, unknown as members, that wait for a join.
const MAX_UNKNOWN_SEEDS: usize = 8;

/// Seeds that receive a join at once, since some of them may be gone.
const SEEDS_PER_JOIN: usize = 3;

/// Time without an answer after which a shard is requested from another member.
const PULL_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest number of requested shards that one member has not answered yet. Answers name more members, so
/// that the shards of a large fleet are spread over many.
const MAX_PULLS_PER_MEMBER: usize = 2;

/// Members that are asked at once how many they know.
const CLAIMS_PER_ROUND: usize = 3;

/// Answers, if as many members are asked, without which a round of claims decides nothing.
const MIN_CLAIMS: usize = 2;

/// Time for which a round of claims waits for answers, and from one round to the next.
const CLAIM_INTERVAL: Duration = Duration::from_millis(250);

/// Largest number of random members that are added to a join reply.
const MAX_JOIN_REPLY_MEMBERS: usize = 4;

/// The same for a process whose budget is short. Three such replies name enough members to fetch from.
const MIN_JOIN_REPLY_MEMBERS: usize = 2;

/// Shards that are listed in answer to one comparison.
const MAX_LISTED_SHARDS: usize = 12;

/// One comparison in this many is sent to a seed.
const COMPARISONS_PER_SEED: u32 = 3;

/// A shard that a starting process still has to fetch.
#[derive(Clone, Copy, Debug)]
struct PendingShard {
    shard: u16,
    received_parts: u16,
    request: Option<PullRequest>,
}

/// A request for a shard.
#[derive(Clone, Copy, Debug)]
struct PullRequest {
    control: SocketAddrV4,
    deadline: Time,
}

/// How many members others say that they know, asked once the shards are fetched.
#[derive(Debug, Default)]
struct ClaimRound {
    /// Control addresses of the members that have not answered yet.
    asked: Vec<SocketAddrV4>,
    claims: Vec<(SocketAddrV4, u32)>,
    /// Number of claims without which the round decides nothing.
    required: usize,
}

/// How far a process has come with fetching the members.
#[derive(Debug)]
enum Progress {
    /// No join was answered.
    Joining,
    /// Shards are missing.
    Fetching,
    /// The members known here are compared with the claims of others.
    Checking {
        round: ClaimRound,
        /// When the next round begins.
        next_round: Time,
    },
    /// Others claim no more members than are known here, or there are no others.
    Joined,
}

/// The progress of joins and comparisons.
#[derive(Debug)]
pub struct SyncState {
    next_comparison: Time,
    /// Until when the process counts as starting.
    startup_end: Time,
    next_join: Time,
    /// Number of times that a join was sent.
    joins: u32,
    /// Position in the rotation of seeds.
    seed_offset: usize,
    comparisons: u32,
    shard_count: u16,
    pending: Vec<PendingShard>,
    progress: Progress,
    /// Largest number of members in the last round of claims.
    claimed: u32,
    /// Discovered seeds that are no known members and have not received a join yet.
    unknown_seeds: Vec<SocketAddrV4>,
    /// When the process counts as joined if it has no seed or peer.
    lone_deadline: Time,
}

impl SyncState {
    /// Returns the state of a process that has just started.
    pub fn new(now: Time, rng: &mut SmallRng) -> Self {
        Self {
            next_comparison: now + STARTUP_COMPARISON_INTERVAL.mul_f64(1.0 + rng.random::<f64>()),
            startup_end: now + STARTUP_PERIOD,
            next_join: now,
            joins: 0,
            seed_offset: rng.random_range(0..usize::from(u16::MAX)),
            comparisons: 0,
            shard_count: 1,
            pending: Vec::new(),
            progress: Progress::Joining,
            claimed: 0,
            unknown_seeds: Vec::new(),
            lone_deadline: now + LONE_JOIN_TIMEOUT,
        }
    }
}

impl Swim {
    /// Returns whether the process has once known as many members as others claimed, or found no other
    /// process in time.
    pub fn is_joined(&self) -> bool {
        matches!(self.sync.progress, Progress::Joined)
    }

    /// Returns the largest number of live members that another process claimed to know in the last round,
    /// or zero.
    pub fn claimed_members(&self) -> u32 {
        self.sync.claimed
    }

    fn is_join_answered(&self) -> bool {
        !matches!(self.sync.progress, Progress::Joining)
    }

    /// Returns whether the process has just started or has just discovered unknown seeds.
    ///
    /// When a whole fleet starts at once, every process gossips updates about all others, more than
    /// the budgets allow. A starting process therefore transmits each update less often, and
    /// comparisons repair what is missed.
    pub(super) fn is_starting(&self) -> bool {
        self.last_tick() < self.sync.startup_end
    }

    /// Sends the joins, shard requests and comparisons that are due.
    pub(super) fn sync_tick(&mut self, now: Time) {
        let is_alone = self.roster.live_count() <= 1;
        if (is_alone || !self.is_join_answered()) && now >= self.sync.next_join {
            let interval = MIN_JOIN_INTERVAL * (1 << self.sync.joins.min(4));
            self.sync.next_join = now + interval.min(MAX_JOIN_INTERVAL);
            self.sync.joins += 1;
            self.join(now);
        }
        self.join_unknown_seeds(now);
        self.pull(now);
        self.check_claims(now);
        if now < self.sync.next_comparison {
            return;
        }
        let jitter = self.rng.random_range(0.8..1.2);
        let interval = match self.is_starting() && self.is_join_answered() {
            true => STARTUP_COMPARISON_INTERVAL,
            false => COMPARISON_INTERVAL,
        };
        self.sync.next_comparison = now + interval.mul_f64(jitter);
        self.send_digests();
    }

    /// Processes the messages of joins and comparisons; returns the reply, if there is one.
    pub(super) fn sync_reply(&mut self, message: &Message, now: Time) -> Option<Message> {
        let to = message.header.control.0;
        match &message.body {
            Body::Join => Some(self.join_reply(message)),
            Body::JoinReply { members } => {
                self.apply_join_reply(*members);
                self.pull(now);
                self.record_claim(to, *members, now);
                None
            }
            Body::Digest { digests } => {
                self.send_versions(to, digests);
                None
            }
            Body::Versions {
                shards,
                shard,
                complete,
                versions,
            } => self.compare_versions(*shards, *shard, *complete, versions),
            Body::Pull { shards, shard } => {
                self.send_shard(to, *shards, *shard);
                None
            }
            Body::ShardPart { shard, parts } => {
                self.count_part(to, *shard, *parts);
                self.pull(now);
                self.check_claims(now);
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

    fn random_seed(&mut self) -> Option<SocketAddrV4> {
        let others = self.other_seeds();
        if others.is_empty() {
            return None;
        }
        Some(others[self.rng.random_range(0..others.len())])
    }

    /// Returns the next few seeds in rotation.
    fn next_seeds(&mut self) -> Vec<SocketAddrV4> {
        let others = self.other_seeds();
        let start = self.sync.seed_offset;
        self.sync.seed_offset = start.wrapping_add(SEEDS_PER_JOIN);
        let rotated = others.iter().cycle().skip(start % others.len().max(1));
        rotated
            .take(SEEDS_PER_JOIN.min(others.len()))
            .copied()
            .collect()
    }

    fn join(&mut self, now: Time) {
        let mut targets = self.next_seeds();
        if targets.is_empty() {
            // Processes that have joined through this one know other members.
            let peers = self.random_peers(SEEDS_PER_JOIN);
            targets.extend(
                peers
                    .into_iter()
                    .filter_map(|peer| self.control_address(peer)),
            );
        }
        if targets.is_empty() && now >= self.sync.lone_deadline {
            self.sync.progress = Progress::Joined;
        }
        for target in targets {
            let mut message = self.message(Body::Join);
            message.add(Update::full(&self.own, Liveness::Alive));
            self.send(target, SendPriority::Probe, message);
        }
    }

    pub(super) fn add_unknown_seed(&mut self, seed: SocketAddrV4) {
        if self.sync.unknown_seeds.len() < MAX_UNKNOWN_SEEDS
            && !self.sync.unknown_seeds.contains(&seed)
        {
            self.sync.unknown_seeds.push(seed);
        }
    }

    /// Sends joins to discovered seeds and compares more often for [`STARTUP_PERIOD`].
    fn join_unknown_seeds(&mut self, now: Time) {
        let own = self.own.control;
        let unknown_seeds = std::mem::take(&mut self.sync.unknown_seeds);
        for seed in unknown_seeds.into_iter().filter(|seed| *seed != own) {
            self.sync.startup_end = now + STARTUP_PERIOD;
            self.sync.next_comparison = self
                .sync
                .next_comparison
                .min(now + STARTUP_COMPARISON_INTERVAL);
            let mut message = self.message(Body::Join);
            message.add(Update::full(&self.own, Liveness::Alive));
            self.send(seed, SendPriority::Probe, message);
        }
    }

    /// Answers a process that joins, or one that only asks for the number of members.
    fn join_reply(&mut self, join: &Message) -> Message {
        let sender = join.header.from.0;
        let is_known = self.control_address(sender).is_some();
        let members = self.roster.live_count() + usize::from(!is_known);
        let mut message = self.message(Body::JoinReply {
            members: members as u32,
        });
        let mut senders = join.updates.iter().map(|update| update.address.0);
        if !senders.any(|address| address == sender) {
            return message;
        }
        message.add(Update::full(&self.own, Liveness::Alive));
        let count = match self.can_send(SendPriority::State, MAX_MESSAGE_BYTES) {
            true => MAX_JOIN_REPLY_MEMBERS,
            false => MIN_JOIN_REPLY_MEMBERS,
        };
        for peer in self.random_peers(count) {
            self.add_full(&mut message, peer);
        }
        message
    }

    fn apply_join_reply(&mut self, members: u32) {
        // A process that knows at most one other member fetches the shards of each further reply.
        if self.is_join_answered() && self.roster.live_count() > 2 {
            return;
        }
        if !self.is_joined() {
            self.sync.progress = Progress::Fetching;
        }
        self.sync.shard_count = digest::shard_count(members as usize);
        let shards = 0..self.sync.shard_count;
        self.sync.pending = shards
            .map(|shard| PendingShard {
                shard,
                received_parts: 0,
                request: None,
            })
            .collect();
    }

    /// Requests pending shards from random members, so that joins do not load the seeds.
    fn pull(&mut self, now: Time) {
        let is_open = |pending: &PendingShard| pending.request.is_some_and(|r| now < r.deadline);
        let shards = self.sync.pending.iter().copied();
        let (open, due): (Vec<PendingShard>, Vec<_>) = shards.partition(is_open);
        if due.is_empty() {
            return;
        }
        let mut peers = Vec::new();
        for peer in self.random_peers(due.len()) {
            let Some(control) = self.control_address(peer) else {
                continue;
            };
            let requests = open.iter().filter_map(|pending| pending.request);
            let waiting = requests.filter(|r| r.control == control).count();
            let free = MAX_PULLS_PER_MEMBER.saturating_sub(waiting);
            peers.push((control, free));
        }
        let first = peers.iter().filter(|(_, free)| *free > 0);
        let second = peers.iter().filter(|(_, free)| *free > 1);
        let controls: Vec<_> = first.chain(second).map(|(control, _)| *control).collect();
        for (pending, control) in due.into_iter().zip(controls) {
            let message = self.message(Body::Pull {
                shards: self.sync.shard_count,
                shard: pending.shard,
            });
            if !self.send(control, SendPriority::Answer, message) {
                return;
            }
            let request = PullRequest {
                control,
                deadline: now + PULL_TIMEOUT,
            };
            for asked in &mut self.sync.pending {
                if asked.shard == pending.shard {
                    asked.request = Some(request);
                    asked.received_parts = 0;
                }
            }
        }
    }

    /// Begins a round of claims if the shards are fetched and no round is open.
    fn check_claims(&mut self, now: Time) {
        if !self.sync.pending.is_empty() {
            return;
        }
        match &mut self.sync.progress {
            Progress::Joining | Progress::Joined => return,
            Progress::Checking { next_round, .. } if now < *next_round => return,
            Progress::Fetching | Progress::Checking { .. } => {}
        }
        if self.judge_claims() {
            return;
        }
        let peers = self.random_peers(CLAIMS_PER_ROUND);
        let asked: Vec<_> = peers
            .into_iter()
            .filter_map(|peer| self.control_address(peer))
            .collect();
        for control in &asked {
            let message = self.message(Body::Join);
            self.send(*control, SendPriority::Answer, message);
        }
        self.sync.progress = Progress::Checking {
            round: ClaimRound {
                required: MIN_CLAIMS.min(asked.len()),
                asked,
                claims: Vec::new(),
            },
            next_round: now + CLAIM_INTERVAL,
        };
    }

    /// Records how many members another process knows, and judges the round once all have answered.
    fn record_claim(&mut self, from: SocketAddrV4, members: u32, now: Time) {
        let Progress::Checking { round, next_round } = &mut self.sync.progress else {
            return;
        };
        if now >= *next_round || !round.asked.contains(&from) {
            return;
        }
        round.asked.retain(|control| *control != from);
        round.claims.push((from, members));
        if round.asked.is_empty() {
            self.judge_claims();
        }
    }

    /// Ends the open round: the process has joined if enough others answered and none knows more members.
    /// Otherwise the members are compared with those of the one that knows most. Returns whether the
    /// process has joined.
    ///
    /// A claim may count a member that has just left, so a later round asks others again.
    fn judge_claims(&mut self) -> bool {
        let Progress::Checking { round, .. } = &mut self.sync.progress else {
            return false;
        };
        let required = round.required;
        let claims = std::mem::take(&mut round.claims);
        round.asked.clear();
        let Some((control, claimed)) = claims.iter().max_by_key(|(_, members)| *members) else {
            return false;
        };
        self.sync.claimed = *claimed;
        self.metrics.claimed.set(i64::from(*claimed));
        let known = self.roster.live_count();
        if *claimed as usize > known {
            self.send_digests_to(*control, SendPriority::Answer);
            return false;
        }
        let is_joined = claims.len() >= required;
        if is_joined {
            self.sync.progress = Progress::Joined;
        }
        is_joined
    }

    fn send_shard(&mut self, to: SocketAddrV4, shards: u16, shard: u16) {
        if shards == 0 || shards > MAX_SHARDS {
            return;
        }
        let empty = self.message(Body::ShardPart { shard, parts: 1 });
        let mut messages = vec![empty.clone()];
        for entry in self.roster.iter() {
            let address = entry.record.address;
            if !entry.is_live() || digest::shard_of(address, shards) != shard {
                continue;
            }
            let update = Update::full(&entry.record, entry.liveness);
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
            message.body = Body::ShardPart { shard, parts };
            self.send(to, SendPriority::Answer, message);
        }
    }

    /// Counts a part of a shard that was requested from `from`.
    fn count_part(&mut self, from: SocketAddrV4, shard: u16, parts: u16) {
        self.sync.pending.retain_mut(|pending| {
            let is_asked = pending.request.is_some_and(|r| r.control == from);
            if pending.shard != shard || !is_asked {
                return true;
            }
            pending.received_parts += 1;
            pending.received_parts < parts
        });
    }

    /// Sends the digests of all shards to a random member, or to a seed once in
    /// [`COMPARISONS_PER_SEED`].
    fn send_digests(&mut self) {
        self.sync.comparisons += 1;
        let member = self
            .random_peers(1)
            .first()
            .and_then(|peer| self.control_address(*peer));
        let to = match self.sync.comparisons.is_multiple_of(COMPARISONS_PER_SEED) {
            true => self.random_seed().or(member),
            false => member.or_else(|| self.random_seed()),
        };
        if let Some(to) = to {
            self.send_digests_to(to, self.comparison_priority());
        }
    }

    /// Sends the digests of all shards to one process.
    pub(super) fn send_digests_to(&mut self, to: SocketAddrV4, priority: SendPriority) {
        let shards = digest::shard_count(self.roster.live_count());
        let digests = digest::digests(&self.roster, shards);
        let message = self.message(Body::Digest { digests });
        self.send(to, priority, message);
    }

    /// Returns the priority of comparisons, which is higher while starting as they replace gossip.
    fn comparison_priority(&self) -> SendPriority {
        match self.is_starting() {
            true => SendPriority::State,
            false => SendPriority::Repair,
        }
    }

    fn send_versions(&mut self, to: SocketAddrV4, digests: &[u32]) {
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
        for shard in differing.into_iter().take(MAX_LISTED_SHARDS) {
            let mut versions = digest::record_versions(&self.roster, shards, shard);
            let complete = versions.len() <= VERSIONS_PER_MESSAGE;
            if !complete {
                let start = self.rng.random_range(0..versions.len());
                versions.rotate_left(start);
                versions.truncate(VERSIONS_PER_MESSAGE);
            }
            let message = self.message(Body::Versions {
                shards,
                shard,
                complete,
                versions,
            });
            self.send(to, self.comparison_priority(), message);
        }
    }

    fn compare_versions(
        &mut self,
        shards: u16,
        shard: u16,
        complete: bool,
        versions: &[RecordVersion],
    ) -> Option<Message> {
        if shards == 0 || shards > MAX_SHARDS {
            return None;
        }
        let mut reply = self.message(Body::Gossip);
        for remote in versions {
            let theirs = (remote.incarnation, remote.version);
            let Some(entry) = self.roster.get(remote.address.0) else {
                if !self.roster.is_tombstoned(remote.address.0, theirs) {
                    reply.request_record(remote.address.0);
                } else if let Some(tombstone) = self.roster.tombstone_update(remote.address.0) {
                    reply.add(tombstone);
                }
                continue;
            };
            let ours = (entry.record.incarnation, entry.record.version);
            if theirs > ours {
                reply.request_record(remote.address.0);
            } else if theirs < ours || !entry.is_live() {
                reply.add(Update::full(&entry.record, entry.liveness));
            }
        }
        for local in digest::record_versions(&self.roster, shards, shard) {
            let is_listed = versions
                .iter()
                .any(|remote| remote.address == local.address);
            if complete && !is_listed {
                self.add_full(&mut reply, local.address.0);
            }
        }
        let has_content = !reply.updates.is_empty() || !reply.requested.is_empty();
        has_content.then_some(reply)
    }

    /// Adds members without an exchange of messages, for simulations of a fleet that is already
    /// running.
    pub fn preload(&mut self, members: &[Record], now: Time) {
        for record in members {
            let update = Update::full(record, Liveness::Alive);
            if record.address == self.own.address || self.roster.get(record.address).is_some() {
                continue;
            }
            self.roster.apply(&update, now);
            self.probes
                .insert(PackedAddress(record.address).0, &mut self.rng);
        }
        self.sync.progress = Progress::Joined;
        self.sync.startup_end = now;
    }
}
