//! The membership protocol of one process as a state machine without I/O.
//!
//! Follows SWIM (Das et al., DSN 2002) with suspicion, refutation and piggybacked updates, the
//! timers of Lifeguard (Dadgar et al., DSN 2018), and anti-entropy by shards of members.

mod gossip;

mod probing;
mod removal;
mod updates;

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    budget::{Budget, SendPriority},
    message::{Body, Header, Liveness, Message, PackedAddress, Update},
    metrics::MembershipMetrics,
    probe::{PROBE_INTERVAL, Probes},
    roster::{Entry, Roster, UpdateOutcome},
    suspicion::{RemovalHold, SilentCount, Suspicions},
    sync::SyncState,
    update_queue::{UpdateClass, UpdateQueue, transmit_limit},
};
use crate::{
    clock::Time,
    member::{MemberState, Record},
    owner_id::Incarnation,
};

/// Interval between two calls of [`Swim::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks of the suspicion timers.
const SUSPICION_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two sweeps of expired records and tombstones.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Shortest interval between two publications of the members.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest interval between two views that differ only in weights, freed records, or settings
/// revisions that are not newer than this process's own.
const MINOR_PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of free space in a message per queued update that is considered for it: about half of an
/// update without details, so that enough are left after some are skipped.
const PEEK_BYTES_PER_UPDATE: usize = 22;

/// Reason of the first update of the own record, which is applied and not refuted.
const STARTED: &str = "started";

/// Reason of a change that came in a join reply or a shard part; the other members know it already,
/// so it is not gossiped.
const FETCHED: &str = "fetched";

/// An action for the caller of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sign a message and send it to a control address.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// Message to sign.
        message: Message,
    },
    /// Publish [`Swim::members`].
    Publish,
    /// Set a new incarnation in the local record.
    NewIncarnation(Incarnation),
    /// Write an event to the log.
    Log(Event),
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member changed in state, liveness or incarnation.
    MemberChanged {
        /// Record with the state in the view.
        record: Record,
        /// Cause of the change.
        reason: &'static str,
    },
    /// Removal of members is held.
    RemovalHeld {
        /// Failure domain, or `None` for the whole fleet.
        domain: Option<String>,
        /// Members and silent members of the domain or fleet.
        count: SilentCount,
    },
    /// Removal of members is no longer held.
    RemovalResumed {
        /// Failure domain, or `None` for the whole fleet.
        domain: Option<String>,
    },
    /// The process was frozen.
    Frozen {
        /// Time since the last tick.
        gap: Duration,
    },
}

/// The membership protocol of one process.
#[derive(Debug)]
pub struct Swim {
    /// Record that this process announces.
    pub(super) own: Record,
    pub(super) roster: Roster,
    pub(super) probes: Probes,
    pub(super) rng: SmallRng,
    pub(super) seeds: Vec<SocketAddrV4>,
    pub(super) sync: SyncState,
    /// Local record whose state and weight were announced last.
    last_local: Record,
    update_queue: UpdateQueue,
    suspicions: Suspicions,
    hold: RemovalHold,
    budget: Budget,
    pub(super) metrics: MembershipMetrics,
    actions: Vec<Action>,
    recent_acks: Vec<(SocketAddrV4, Time)>,
    /// Last member selected for a probe because removal is held in its failure domain.
    hold_cursor: SocketAddrV4,
    /// Last suspected member selected for a probe besides the round.
    suspect_cursor: SocketAddrV4,
    /// Number of gossip messages that still announce a new settings revision of this process.
    revision_sends_left: u32,
    schedule: Schedule,
    /// Most important class of the changes that are not published yet.
    unpublished: Option<UpdateClass>,
    last_publish: Option<Time>,
}

/// Additional content of a reply.
#[derive(Debug, Default)]
struct ReplyContent {
    missing: Vec<PackedAddress>,
    tombstones: Vec<Update>,
}

/// The time of the last tick and the due times of the periodic work.
#[derive(Clone, Debug)]
struct Schedule {
    last_tick: Time,
    next_probe: Time,
    next_suspicion_check: Time,
    next_expiry: Time,
}

impl Swim {
    /// Returns the state of a process that knows only its seeds; `rng_seed` makes its choices
    /// reproducible.
    pub fn new(own: Record, seeds: Vec<SocketAddrV4>, now: Time, rng_seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(rng_seed);
        let phase = PROBE_INTERVAL.mul_f64(rng.random());
        let mut swim = Self {
            last_local: own.clone(),
            own,
            roster: Roster::default(),
            probes: Probes::default(),
            seeds,
            sync: SyncState::new(now, &mut rng),
            rng,
            update_queue: UpdateQueue::default(),
            suspicions: Suspicions::default(),
            hold: RemovalHold::default(),
            budget: Budget::new(now),
            metrics: MembershipMetrics::default(),
            actions: Vec::new(),
            recent_acks: Vec::new(),
            hold_cursor: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            suspect_cursor: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            revision_sends_left: 0,
            schedule: Schedule {
                last_tick: now,
                next_probe: now + phase,
                next_suspicion_check: now,
                next_expiry: now + EXPIRE_INTERVAL,
            },
            unpublished: None,
            last_publish: None,
        };
        swim.apply_update(
            &Update::full(&swim.own.clone(), Liveness::Alive),
            STARTED,
            now,
        );
        swim
    }

    /// Adds control addresses of seeds.
    ///
    /// A seed that is no known member may belong to a partition of the fleet that does not know
    /// this process, so a join is sent to it on the next tick.
    pub fn add_seeds(&mut self, seeds: &[SocketAddrV4]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
            let mut live = self.roster.iter().filter(|entry| entry.is_live());
            if !live.any(|entry| entry.record.control == *seed) {
                self.add_unknown_seed(*seed);
            }
        }
    }

    /// Compares the members with those of one process now, as it is known to have others.
    pub fn compare_with(&mut self, control: SocketAddrV4, now: Time) -> Vec<Action> {
        self.refill_budget_and_handle_freeze(now);
        self.send_digests_to(control, SendPriority::State);
        self.take_actions(now)
    }

    /// Returns the records of all members with their states in the view, by data address.
    pub fn members(&self) -> BTreeMap<SocketAddrV4, Record> {
        self.roster.view_records()
    }

    /// Returns the state of a member in the view, or `None` if it is unknown.
    pub fn state_of(&self, address: SocketAddrV4) -> Option<MemberState> {
        self.roster.get(address).map(Entry::view_state)
    }

    /// Returns the member list.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns where removal is held.
    pub fn hold(&self) -> &RemovalHold {
        &self.hold
    }

    /// Returns the metrics, to be registered once at the start.
    pub fn metrics(&self) -> &MembershipMetrics {
        &self.metrics
    }

    /// Returns the record that the process announces.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the number of queued updates, at most one per member.
    pub fn queued_updates(&self) -> usize {
        self.update_queue.len()
    }

    /// Announces changes of the state, weight or settings revision in the local record.
    pub fn apply_local(&mut self, record: &Record, now: Time) -> Vec<Action> {
        if record.revision > self.own.revision {
            self.own.revision = record.revision;
            self.revision_sends_left = transmit_limit(
                UpdateClass::State,
                self.roster.live_count(),
                self.is_starting(),
            );
            let revision = record.revision;
            let address = self.own.address;
            self.roster
                .update(address, now, |entry| entry.record.revision = revision);
            self.mark_unpublished(UpdateClass::Weight);
        }
        let state = record.state;
        if state == self.last_local.state && record.weight == self.last_local.weight {
            return self.take_actions(now);
        }
        let class = match state == self.last_local.state {
            true => UpdateClass::Weight,
            false => UpdateClass::State,
        };
        self.last_local = record.clone();
        self.own.state = state;
        self.own.weight = record.weight;
        self.own.version += 1;
        self.announce(class, "local", now);
        self.take_actions(now)
    }

    /// Processes a message from another process.
    pub fn receive(&mut self, message: &Message, now: Time) -> Vec<Action> {
        self.refill_budget_and_handle_freeze(now);
        let from = message.header.from.0;
        if from == self.own.address && message.header.control.0 == self.own.control {
            return self.take_actions(now);
        }
        let mut extra = ReplyContent::default();
        let reason = match &message.body {
            Body::ShardPart { .. } | Body::JoinReply { .. } => FETCHED,
            _ => "gossip",
        };
        for update in &message.updates {
            match self.apply_update(update, reason, now) {
                UpdateOutcome::MissingDetails => extra.missing.push(update.address),
                UpdateOutcome::Stale => extra
                    .tombstones
                    .extend(self.roster.tombstone_update(update.address.0)),
                UpdateOutcome::Changed(_) | UpdateOutcome::Unchanged => {}
            }
        }
        if self.apply_header(&message.header) {
            extra.missing.push(message.header.from);
        }
        self.process_body(message, extra, now);
        self.take_actions(now)
    }

    /// Does the periodic work; called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.refill_budget_and_handle_freeze(now);
        self.schedule.last_tick = now;
        for probe in self.probes.mark_overdue(now) {
            self.request_indirect_probes(probe.target, probe.sequence);
        }
        for probe in self.probes.remove_failed(now) {
            self.probes.raise_health_score();
            self.suspect(probe.target, now);
        }
        if now >= self.schedule.next_probe {
            self.schedule.next_probe = now + PROBE_INTERVAL;
            self.start_due_probes(now);
        }
        if now >= self.schedule.next_suspicion_check {
            self.schedule.next_suspicion_check = now + SUSPICION_CHECK_INTERVAL;
            self.remove_timed_out(now);
        }
        if now >= self.schedule.next_expiry {
            self.schedule.next_expiry = now + EXPIRE_INTERVAL;
            if self.roster.expire(now) {
                self.mark_unpublished(UpdateClass::Weight);
            }
        }
        self.sync_tick(now);
        self.gossip();
        self.take_actions(now)
    }

    /// Sends a message, if the budget allows it, with as many updates as fit unless it is an answer;
    /// returns whether it does.
    pub(super) fn send(
        &mut self,
        to: SocketAddrV4,
        priority: SendPriority,
        mut message: Message,
    ) -> bool {
        let base_size = message.size();
        if !self.budget.allows(priority, base_size) {
            self.metrics.count_refused(&message.body);
            return false;
        }
        let added = self.add_updates(priority, &mut message);
        let taken = self.budget.spend(priority, message.size());
        debug_assert!(taken, "message with its updates exceeds the send budget");
        for address in added {
            self.count_send(address);
        }
        self.actions.push(Action::Send { to, message });
        true
    }

    /// Returns whether a message of `bytes` leaves what higher priorities need.
    pub(super) fn can_send(&self, priority: SendPriority, bytes: usize) -> bool {
        self.budget.allows(priority, bytes)
    }

    /// Returns the time of the last tick.
    pub(super) fn last_tick(&self) -> Time {
        self.schedule.last_tick
    }

    /// Counts a transmission of a member's update.
    pub(super) fn count_send(&mut self, address: SocketAddrV4) {
        let fleet_size = self.roster.live_count();
        let is_startup_join = self.is_starting() && self.is_running(address);
        self.update_queue.count_send(address, |class| {
            transmit_limit(class, fleet_size, is_startup_join)
        });
    }

    /// Returns whether a member is neither suspected nor gone nor draining, except that a member that
    /// has just started may be draining.
    pub(super) fn is_running(&self, address: SocketAddrV4) -> bool {
        self.roster.get(address).is_some_and(|entry| {
            let has_started = entry.record.state == MemberState::Ready || entry.record.version == 0;
            entry.is_live() && entry.liveness == Liveness::Alive && has_started
        })
    }

    /// Returns a message without updates.
    pub(super) fn message(&self, body: Body) -> Message {
        Message {
            header: Header {
                from: PackedAddress(self.own.address),
                control: PackedAddress(self.own.control),
                incarnation: self.own.incarnation,
                revision: self.own.revision,
            },
            body,
            updates: Vec::new(),
            requested: Vec::new(),
        }
    }

    /// Returns the control address of a live member.
    pub(super) fn control_address(&self, address: SocketAddrV4) -> Option<SocketAddrV4> {
        let entry = self.roster.get(address)?;
        entry.is_live().then_some(entry.record.control)
    }

    /// Returns up to `count` random live members, other than this process, that are not suspected.
    pub(super) fn random_peers(&mut self, count: usize) -> Vec<SocketAddrV4> {
        let own = self.own.address;
        let roster = &self.roster;
        self.probes.sample(&mut self.rng, count, |address| {
            let entry = roster.get(address);
            address != own && entry.is_some_and(|e| e.is_live() && e.liveness == Liveness::Alive)
        })
    }

    /// Adds the full record of a member to a message; returns `false` if it does not fit.
    pub(super) fn add_full(&self, message: &mut Message, address: SocketAddrV4) -> bool {
        let Some(entry) = self.roster.get(address) else {
            return true;
        };
        message.add(Update::full(&entry.record, entry.liveness))
    }

    fn add_updates(
        &mut self,
        message_priority: SendPriority,
        message: &mut Message,
    ) -> Vec<SocketAddrV4> {
        let mut added = Vec::new();
        if message_priority == SendPriority::Answer {
            return added;
        }
        let classes = [
            (UpdateClass::State, SendPriority::State),
            (UpdateClass::Liveness, SendPriority::Liveness),
            (UpdateClass::Weight, SendPriority::Repair),
        ];
        let lowest_first = classes.iter().rev();
        let allowed = lowest_first
            .filter(|(_, priority)| self.budget.allows(*priority, message.size()))
            .map(|(class, _)| *class)
            .next();
        let Some(lowest) = allowed else {
            return added;
        };
        for address in self
            .update_queue
            .peek(lowest, message.remaining_bytes() / PEEK_BYTES_PER_UPDATE)
        {
            let Some(update) = self.pending_update(address) else {
                continue;
            };
            let listed = message.updates.iter().any(|u| u.address == update.address);
            // The lower priority of the two, as the order is highest first.
            let priority = message_priority.max(priority_of(
                self.update_queue
                    .class_of(address)
                    .unwrap_or(UpdateClass::Weight),
            ));
            let size = message.size() + update.size();
            if listed || !self.budget.allows(priority, size) || !message.add(update) {
                continue;
            }
            added.push(address);
        }
        added
    }

    fn pending_update(&self, address: SocketAddrV4) -> Option<Update> {
        let entry = self.roster.get(address)?;
        // Receivers may not know a member that joined or started a new incarnation.
        let needs_details = self.update_queue.class_of(address) == Some(UpdateClass::State)
            && entry.record.state == MemberState::Ready
            && entry.liveness == Liveness::Alive;
        if needs_details {
            return Some(Update::full(&entry.record, entry.liveness));
        }
        let mut update = Update::brief(&entry.record, entry.liveness);
        if entry.liveness == Liveness::Suspect {
            // A process that forwards a suspicion counts as one of its reporters.
            update.reporter = Some(PackedAddress(self.own.address));
        }
        Some(update)
    }

    /// Updates the settings revision of the sender; returns whether its record is missing or
    /// outdated.
    fn apply_header(&mut self, header: &Header) -> bool {
        let address = header.from.0;
        let Some(entry) = self.roster.get(address) else {
            return true;
        };
        if entry.record.incarnation != header.incarnation {
            return entry.record.incarnation < header.incarnation;
        }
        if header.revision > entry.record.revision {
            let ahead = header.revision > self.own.revision;
            let revision = header.revision;
            self.roster
                .update(address, self.schedule.last_tick, |entry| {
                    entry.record.revision = revision;
                });
            self.mark_unpublished(if ahead {
                UpdateClass::State
            } else {
                UpdateClass::Weight
            });
        }
        false
    }

    /// Processes the body of a message and sends a reply if there is something to send.
    fn process_body(&mut self, message: &Message, extra: ReplyContent, now: Time) {
        let to = message.header.control.0;
        let reply = match &message.body {
            Body::Ping { sequence } => Some(self.message(Body::Ack {
                sequence: *sequence,
            })),
            Body::Ack { sequence } => {
                self.handle_ack(*sequence, now);
                None
            }
            Body::PingRequest { sequence, target } => {
                self.probe_on_behalf(to, *sequence, target.0, now);
                None
            }
            _ => self.sync_reply(message, now),
        };
        let priority = match reply.as_ref().map(|r| &r.body) {
            Some(Body::Ack { .. }) => SendPriority::Probe,
            Some(Body::JoinReply { .. }) => SendPriority::Answer,
            _ if !message.requested.is_empty() => SendPriority::Answer,
            _ => SendPriority::Liveness,
        };
        let has_content = !message.requested.is_empty()
            || !extra.missing.is_empty()
            || !extra.tombstones.is_empty();
        let mut reply = match reply {
            Some(reply) => reply,
            None if has_content => self.message(Body::Gossip),
            None => return,
        };
        for address in &message.requested {
            if !self.add_full(&mut reply, address.0) {
                break;
            }
        }
        for address in extra.missing {
            reply.request_record(address.0);
        }
        for update in extra.tombstones {
            reply.add(update);
        }
        let sender = self.roster.get(message.header.from.0);
        if let Some(entry) = sender.filter(|e| e.liveness != Liveness::Alive) {
            let update = Update::brief(&entry.record, entry.liveness);
            reply.add(update);
        }
        self.send(to, priority, reply);
    }

    /// Marks a change for publication; its class determines how soon the view is published.
    pub(super) fn mark_unpublished(&mut self, class: UpdateClass) {
        self.unpublished = Some(self.unpublished.map_or(class, |pending| pending.min(class)));
    }

    fn queue_member_event(&mut self, address: SocketAddrV4, reason: &'static str) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        self.actions.push(Action::Log(Event::MemberChanged {
            record: entry.view_record(),
            reason,
        }));
    }

    /// Returns the collected actions, with a publication if one is due.
    fn take_actions(&mut self, now: Time) -> Vec<Action> {
        let interval = match self.unpublished {
            Some(UpdateClass::Weight) => MINOR_PUBLISH_INTERVAL,
            Some(UpdateClass::State | UpdateClass::Liveness) => PUBLISH_INTERVAL,
            None => return std::mem::take(&mut self.actions),
        };
        if self
            .last_publish
            .is_none_or(|last| now.since(last) >= interval)
        {
            self.unpublished = None;
            self.last_publish = Some(now);
            self.actions.push(Action::Publish);
        }
        std::mem::take(&mut self.actions)
    }
}

fn priority_of(class: UpdateClass) -> SendPriority {
    match class {
        UpdateClass::State => SendPriority::State,
        UpdateClass::Liveness => SendPriority::Liveness,
        UpdateClass::Weight => SendPriority::Repair,
    }
}
