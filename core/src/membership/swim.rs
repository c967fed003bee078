//! The membership of one process as a state machine without I/O.
//!
//! Follows SWIM (Das et al., DSN 2002) with suspicion, refutation and piggybacked updates, the
//! timers of Lifeguard (Dadgar et al., DSN 2018), and anti-entropy between shards.

mod gossip;
mod learning;
mod probing;
mod removal;

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    budget::{Budget, Level},
    message::{Body, Header, Message, Packed, Update, Verdict},
    news::{Class, News, sends},
    probe::{PROBE_INTERVAL, Probes},
    roster::{Applied, Entry, Roster},
    suspicion::{Hold, Silence, Suspicions},
    sync::Sync,
};
use crate::{
    clock::Time,
    member::{MemberState, Record},
    owner_id::Incarnation,
};

/// Interval between two ticks.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between two checks of the suspicion timers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two attempts to free what is long gone.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between two views that differ in weights only.
const WEIGHT_INTERVAL: Duration = Duration::from_secs(1);

/// Reason of a change that was asked for, and that the others know already.
const FETCHED: &str = "fetched";

/// What a process has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sign the message and send it to a control address.
    Send {
        /// Control address of the receiver.
        to: SocketAddrV4,
        /// The message.
        message: Message,
    },
    /// Publish [`Swim::members`].
    Publish,
    /// Begin a new life and drop what the old one promised.
    Reborn(Incarnation),
    /// Write an event to the log.
    Log(Event),
}

/// What is worth a log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A member changed.
    Member {
        /// Its record as the view shows it.
        record: Record,
        /// Why it changed.
        reason: &'static str,
    },
    /// Removal stopped in a failure domain, or in the whole fleet if there is none.
    RemovalHeld {
        /// The failure domain.
        domain: Option<String>,
        /// How many are silent.
        silence: Silence,
    },
    /// Removal goes on.
    RemovalResumed {
        /// The failure domain.
        domain: Option<String>,
    },
    /// The process stood still.
    Frozen {
        /// For how long.
        gap: Duration,
    },
}

/// The membership of one process.
#[derive(Debug)]
pub struct Swim {
    pub(super) own: Record,
    pub(super) roster: Roster,
    pub(super) probes: Probes,
    pub(super) rng: SmallRng,
    pub(super) seeds: Vec<SocketAddrV4>,
    pub(super) sync: Sync,
    announced: Record,
    news: News,
    suspicions: Suspicions,
    hold: Hold,
    budget: Budget,
    actions: Vec<Action>,
    answers: Vec<(SocketAddrV4, Time)>,
    held_cursor: SocketAddrV4,
    suspect_cursor: SocketAddrV4,
    revision_sends: u32,
    due: Due,
    dirty: Option<Class>,
    published: Option<Time>,
}

/// What an answer has to carry besides its body.
#[derive(Debug, Default)]
struct Reply {
    missing: Vec<Packed>,
    buried: Vec<Update>,
}

/// When the periodic work is due next.
#[derive(Clone, Debug)]
struct Due {
    ticked: Time,
    probe: Time,
    check: Time,
    expire: Time,
}

impl Swim {
    /// Returns the membership of a process that knows only its seeds.
    pub fn new(own: Record, seeds: Vec<SocketAddrV4>, now: Time, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let phase = PROBE_INTERVAL.mul_f64(rng.random());
        let mut swim = Self {
            announced: own.clone(),
            own,
            roster: Roster::default(),
            probes: Probes::default(),
            seeds,
            sync: Sync::new(now, &mut rng),
            rng,
            news: News::default(),
            suspicions: Suspicions::default(),
            hold: Hold::default(),
            budget: Budget::new(now),
            actions: Vec::new(),
            answers: Vec::new(),
            held_cursor: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            suspect_cursor: SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, 0),
            revision_sends: 0,
            due: Due {
                ticked: now,
                probe: now + phase,
                check: now,
                expire: now + EXPIRE_INTERVAL,
            },
            dirty: None,
            published: None,
        };
        swim.learn(
            &Update::full(&swim.own.clone(), Verdict::Alive),
            "self",
            now,
        );
        swim
    }

    /// Adds control addresses to announce to; those of no known member may belong to a part of the
    /// fleet that has lost sight of this one, and are joined at once.
    pub fn add_seeds(&mut self, seeds: &[SocketAddrV4]) {
        for seed in seeds {
            if !self.seeds.contains(seed) {
                self.seeds.push(*seed);
            }
            let mut live = self.roster.iter().filter(|entry| entry.is_live());
            if !live.any(|entry| entry.record.control == *seed) {
                self.add_stranger(*seed);
            }
        }
    }

    /// Returns the members as the view shows them.
    pub fn members(&self) -> BTreeMap<SocketAddrV4, Record> {
        self.roster.shown()
    }

    /// Returns the state of a member as the view shows it.
    pub fn state_of(&self, address: SocketAddrV4) -> Option<MemberState> {
        self.roster.get(address).map(Entry::state)
    }

    /// Returns what is known of the members.
    pub fn roster(&self) -> &Roster {
        &self.roster
    }

    /// Returns where removal has stopped.
    pub fn hold(&self) -> &Hold {
        &self.hold
    }

    /// Returns the record that the process announces.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Returns the number of members whose news is still passed on.
    pub fn backlog(&self) -> usize {
        self.news.len()
    }

    /// Takes a change of the local record: its state, weight and settings revision.
    pub fn local(&mut self, record: &Record, now: Time) -> Vec<Action> {
        if record.revision > self.own.revision {
            self.own.revision = record.revision;
            self.revision_sends = sends(Class::State, self.roster.live(), self.is_early());
            let revision = record.revision;
            let address = self.own.address;
            self.roster
                .change(address, now, |entry| entry.record.revision = revision);
            self.mark(Class::Weight);
        }
        let state = record.state;
        if state == self.announced.state && record.weight == self.announced.weight {
            return self.finish(now);
        }
        let class = match state == self.announced.state {
            true => Class::Weight,
            false => Class::State,
        };
        self.announced = record.clone();
        self.own.state = state;
        self.own.weight = record.weight;
        self.own.version += 1;
        self.announce(class, "local", now);
        self.finish(now)
    }

    /// Takes a message from another process.
    pub fn receive(&mut self, message: &Message, now: Time) -> Vec<Action> {
        self.wake(now);
        let from = message.header.from.0;
        if from == self.own.address && message.header.control.0 == self.own.control {
            return self.finish(now);
        }
        let mut reply = Reply::default();
        let reason = match &message.body {
            Body::Part { .. } | Body::Welcome { .. } => FETCHED,
            _ => "heard",
        };
        for update in &message.updates {
            match self.learn(update, reason, now) {
                Applied::Missing => reply.missing.push(update.address),
                Applied::Stale => reply.buried.extend(self.roster.obituary(update.address.0)),
                Applied::Changed(_) | Applied::Known => {}
            }
        }
        if self.hear(&message.header) {
            reply.missing.push(message.header.from);
        }
        self.answer(message, reply, now);
        self.finish(now)
    }

    /// Does the periodic work.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        self.wake(now);
        self.due.ticked = now;
        for probe in self.probes.overdue(now) {
            self.ask_others(probe.target, probe.sequence);
        }
        for probe in self.probes.failed(now) {
            self.probes.worsen();
            self.suspect(probe.target, now);
        }
        if now >= self.due.probe {
            self.due.probe = now + PROBE_INTERVAL;
            self.probe(now);
        }
        if now >= self.due.check {
            self.due.check = now + CHECK_INTERVAL;
            self.check(now);
        }
        if now >= self.due.expire {
            self.due.expire = now + EXPIRE_INTERVAL;
            if self.roster.expire(now) {
                self.mark(Class::Weight);
            }
        }
        self.sync_tick(now);
        self.gossip();
        self.finish(now)
    }

    /// Sends a message with as many updates as fit, if the budget allows it.
    pub(super) fn send(&mut self, to: SocketAddrV4, level: Level, mut message: Message) -> bool {
        let base = message.size();
        if !self.budget.allows(level, base) {
            return false;
        }
        let filled = self.fill(level, &mut message);
        let taken = self.budget.take(level, message.size());
        debug_assert!(taken, "filling leaves the reserves");
        for address in filled {
            self.count_send(address);
        }
        self.actions.push(Action::Send { to, message });
        true
    }

    /// Returns when the process did its periodic work last.
    pub(super) fn ticked(&self) -> Time {
        self.due.ticked
    }

    /// Counts that a member's news was passed on once.
    pub(super) fn count_send(&mut self, address: SocketAddrV4) {
        let (fleet, early) = (self.roster.live(), self.is_early());
        self.news.sent(address, |class| sends(class, fleet, early));
    }

    /// Returns a message without updates.
    pub(super) fn message(&self, body: Body) -> Message {
        Message {
            header: Header {
                from: Packed(self.own.address),
                control: Packed(self.own.control),
                incarnation: self.own.incarnation,
                revision: self.own.revision,
            },
            body,
            updates: Vec::new(),
            wanted: Vec::new(),
        }
    }

    /// Returns the control address of a live member.
    pub(super) fn control(&self, address: SocketAddrV4) -> Option<SocketAddrV4> {
        let entry = self.roster.get(address)?;
        entry.is_live().then_some(entry.record.control)
    }

    /// Returns random members that answer, other than this process.
    pub(super) fn peers(&mut self, count: usize) -> Vec<SocketAddrV4> {
        let own = self.own.address;
        let roster = &self.roster;
        self.probes.sample(&mut self.rng, count, |address| {
            let entry = roster.get(address);
            address != own && entry.is_some_and(|e| e.is_live() && e.verdict == Verdict::Alive)
        })
    }

    /// Adds the full record of a member to a message if it fits.
    pub(super) fn add_full(&self, message: &mut Message, address: SocketAddrV4) -> bool {
        let Some(entry) = self.roster.get(address) else {
            return true;
        };
        message.add(Update::full(&entry.record, entry.verdict))
    }

    fn fill(&mut self, base: Level, message: &mut Message) -> Vec<SocketAddrV4> {
        let mut filled = Vec::new();
        let classes = [
            (Class::State, Level::State),
            (Class::Verdict, Level::Verdict),
            (Class::Weight, Level::Repair),
        ];
        let worst = classes.iter().rev();
        let allowed = worst
            .filter(|(_, level)| self.budget.allows(*level, message.size()))
            .map(|(class, _)| *class)
            .next();
        let Some(worst) = allowed else {
            return filled;
        };
        for address in self.news.first(worst, message.room() / 22) {
            let Some(update) = self.update(address) else {
                continue;
            };
            let listed = message.updates.iter().any(|u| u.address == update.address);
            let level = base.max(level(self.news.class_of(address).unwrap_or(Class::Weight)));
            let size = message.size() + update.size();
            if listed || !self.budget.allows(level, size) || !message.add(update) {
                continue;
            }
            filled.push(address);
        }
        filled
    }

    fn update(&self, address: SocketAddrV4) -> Option<Update> {
        let entry = self.roster.get(address)?;
        let fresh = self.news.class_of(address) == Some(Class::State)
            && entry.record.state == MemberState::Ready
            && entry.verdict == Verdict::Alive;
        if fresh {
            return Some(Update::full(&entry.record, entry.verdict));
        }
        let mut update = Update::brief(&entry.record, entry.verdict);
        if entry.verdict == Verdict::Suspect {
            update.accuser = Some(Packed(self.own.address));
        }
        Some(update)
    }

    /// Notes who sends; returns whether its record is missing.
    fn hear(&mut self, header: &Header) -> bool {
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
            self.roster.change(address, self.due.ticked, |entry| {
                entry.record.revision = revision;
            });
            self.mark(if ahead { Class::State } else { Class::Weight });
        }
        false
    }

    fn answer(&mut self, message: &Message, extra: Reply, now: Time) {
        let to = message.header.control.0;
        let reply = match &message.body {
            Body::Ping { sequence } => Some(self.message(Body::Ack {
                sequence: *sequence,
            })),
            Body::Ack { sequence } => {
                self.acknowledged(*sequence, now);
                None
            }
            Body::PingRequest { sequence, target } => {
                self.probe_for(to, *sequence, target.0, now);
                None
            }
            _ => self.sync_answer(message),
        };
        let level = match reply.as_ref().map(|r| &r.body) {
            Some(Body::Ack { .. } | Body::Welcome { .. }) => Level::Probe,
            _ => Level::Verdict,
        };
        let asked =
            !message.wanted.is_empty() || !extra.missing.is_empty() || !extra.buried.is_empty();
        let mut reply = match reply {
            Some(reply) => reply,
            None if asked => self.message(Body::News),
            None => return,
        };
        for address in &message.wanted {
            if !self.add_full(&mut reply, address.0) {
                break;
            }
        }
        for address in extra.missing {
            reply.want(address.0);
        }
        for update in extra.buried {
            reply.add(update);
        }
        let accused = self.roster.get(message.header.from.0);
        if let Some(entry) = accused.filter(|e| e.verdict != Verdict::Alive) {
            let update = Update::brief(&entry.record, entry.verdict);
            reply.add(update);
        }
        self.send(to, level, reply);
    }

    pub(super) fn mark(&mut self, class: Class) {
        self.dirty = Some(self.dirty.map_or(class, |dirty| dirty.min(class)));
    }

    fn log(&mut self, address: SocketAddrV4, reason: &'static str) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        self.actions.push(Action::Log(Event::Member {
            record: entry.shown(),
            reason,
        }));
    }

    fn finish(&mut self, now: Time) -> Vec<Action> {
        let interval = match self.dirty {
            Some(Class::Weight) => WEIGHT_INTERVAL,
            Some(Class::State | Class::Verdict) => TICK_INTERVAL / 2,
            None => return std::mem::take(&mut self.actions),
        };
        if self
            .published
            .is_none_or(|last| now.since(last) >= interval)
        {
            self.dirty = None;
            self.published = Some(now);
            self.actions.push(Action::Publish);
        }
        std::mem::take(&mut self.actions)
    }
}

fn level(class: Class) -> Level {
    match class {
        Class::State => Level::State,
        Class::Verdict => Level::Verdict,
        Class::Weight => Level::Repair,
    }
}
