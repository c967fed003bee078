//! The membership of one process as a state machine without I/O.
//!
//! Follows SWIM (Das et al., DSN 2002) with suspicion, refutation and piggybacked updates, the
//! timers of Lifeguard (Dadgar et al., DSN 2018), and anti-entropy between shards.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    budget::{Budget, Level},
    message::{Body, Header, Message, Packed, Update, Verdict},
    news::{Class, News, sends},
    probe::{PROBE_INTERVAL, Probes, RELAYS},
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

/// Time without a tick after which the process was frozen.
const FREEZE_GAP: Duration = Duration::from_secs(1);

/// Length of a freeze after which others may have given the process up.
const REBIRTH_GAP: Duration = Duration::from_millis(2500);

/// Members that are sent a state change at once.
const STATE_FANOUT: usize = 3;

/// Members that are sent a verdict at once.
const VERDICT_FANOUT: usize = 2;

/// Time after an answer within which a member is not given up on another's word.
const FRESH_ANSWER: Duration = Duration::from_secs(2);

/// Members of silent failure domains, not suspected yet, that are probed in each interval.
const HELD_PROBES: usize = 3;

/// Suspected members that are probed besides the one whose turn it is.
const SUSPECT_PROBES: usize = 3;

/// Interval between two checks of the suspicion timers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two attempts to free what is long gone.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between two views that differ in weights only.
const WEIGHT_INTERVAL: Duration = Duration::from_secs(1);

/// Reason of a change that was asked for, and that the others know already.
const FETCHED: &str = "fetched";

/// Answers that are remembered as fresh.
const FRESH_ANSWERS: usize = 16;

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
            self.revision_sends = sends(Class::State, self.roster.live());
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
        let fleet = self.roster.live();
        for address in filled {
            self.news.sent(address, fleet);
        }
        self.actions.push(Action::Send { to, message });
        true
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

    fn announce(&mut self, class: Class, reason: &'static str, now: Time) {
        let own = self.own.clone();
        self.roster.change(own.address, now, |entry| {
            entry.record = own.clone();
            entry.verdict = Verdict::Alive;
        });
        self.news.push(own.address, class);
        self.mark(class);
        if class != Class::Weight {
            self.log(own.address, reason);
        }
    }

    /// Takes an update and passes it on if it is new.
    fn learn(&mut self, update: &Update, reason: &'static str, now: Time) -> Applied {
        let address = update.address.0;
        if address == self.own.address && reason != "self" {
            self.refute(update, now);
            return Applied::Known;
        }
        let softened = self.soften(update, now);
        let update = softened.as_ref().unwrap_or(update);
        let known = self.roster.get(address).is_some();
        let applied = self.roster.apply(update, now);
        let accuser = update.accuser.map(|a| a.0);
        if let (Applied::Known, Verdict::Suspect, Some(accuser)) =
            (applied, update.condition.verdict, accuser)
        {
            self.confirm(address, accuser, now);
        }
        let Applied::Changed(class) = applied else {
            return applied;
        };
        if !known {
            self.probes.add(address, &mut self.rng);
        }
        self.track(address, accuser, now);
        if update.condition.verdict == Verdict::Alive {
            self.probes.forget(address);
        }
        if reason != FETCHED {
            self.news.push(address, class);
        }
        self.mark(class);
        if class != Class::Weight {
            self.log(address, reason);
        }
        applied
    }

    /// Keeps a member suspect that another gave up, where this process knows better.
    fn soften(&self, update: &Update, now: Time) -> Option<Update> {
        if update.condition.verdict != Verdict::Dead {
            return None;
        }
        let entry = self.roster.get(update.address.0)?;
        let fresh = self
            .answers
            .iter()
            .any(|(a, at)| *a == update.address.0 && now.since(*at) < FRESH_ANSWER);
        if !entry.is_live() || !(fresh || self.hold.covers(&entry.record.domain)) {
            return None;
        }
        let mut softened = update.clone();
        softened.condition.verdict = Verdict::Suspect;
        Some(softened)
    }

    /// Starts or ends the timer of a member after a change.
    fn track(&mut self, address: SocketAddrV4, accuser: Option<SocketAddrV4>, now: Time) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        let suspect = entry.is_live() && entry.verdict == Verdict::Suspect;
        if !suspect {
            self.suspicions.clear(address);
            return;
        }
        let accuser = accuser.unwrap_or(self.own.address);
        self.suspicions.accuse(address, accuser, now);
    }

    fn confirm(&mut self, address: SocketAddrV4, accuser: SocketAddrV4, now: Time) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        if entry.verdict == Verdict::Suspect && entry.is_live() {
            self.suspicions.accuse(address, accuser, now);
        }
    }

    fn suspect(&mut self, address: SocketAddrV4, now: Time) {
        let Some(entry) = self.roster.get(address) else {
            return;
        };
        if !entry.is_live() {
            return;
        }
        let known = entry.verdict == Verdict::Suspect;
        self.suspicions.accuse(address, self.own.address, now);
        if known {
            return;
        }
        self.roster
            .change(address, now, |entry| entry.verdict = Verdict::Suspect);
        self.news.push(address, Class::Verdict);
        self.mark(Class::Verdict);
        self.log(address, "probe_failed");
    }

    /// Answers what others say about this process with a newer record.
    fn refute(&mut self, update: &Update, now: Time) {
        let theirs = (update.incarnation, update.version);
        let ours = (self.own.incarnation, self.own.version);
        let accused = update.condition.verdict != Verdict::Alive;
        if theirs < ours || (theirs == ours && !accused) {
            return;
        }
        if self.own.state == MemberState::Left {
            return;
        }
        if update.incarnation > self.own.incarnation {
            self.begin_life(Incarnation(update.incarnation.0 + 1), "superseded", now);
            return;
        }
        self.own.version = update.version + 1;
        if accused {
            self.probes.worsen();
        }
        let class = match update.condition.verdict {
            Verdict::Dead => Class::State,
            _ => Class::Verdict,
        };
        self.announce(class, "refuted", now);
    }

    fn begin_life(&mut self, incarnation: Incarnation, reason: &'static str, now: Time) {
        self.own.incarnation = incarnation;
        self.own.version = 0;
        self.actions.push(Action::Reborn(incarnation));
        self.announce(Class::State, reason, now);
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
            Some(Body::Ack { .. }) => Level::Probe,
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

    fn acknowledged(&mut self, sequence: u32, now: Time) {
        if let Some(relay) = self.probes.relay_answered(sequence) {
            let reply = self.message(Body::Ack {
                sequence: relay.theirs,
            });
            self.send(relay.asker, Level::Probe, reply);
            return;
        }
        let Some(address) = self.probes.answered(sequence) else {
            return;
        };
        if self.answers.len() == FRESH_ANSWERS {
            self.answers.remove(0);
        }
        self.answers.push((address, now));
        let suspect = self.roster.get(address);
        if suspect.is_none_or(|e| e.verdict != Verdict::Suspect) {
            return;
        }
        self.suspicions.clear(address);
        self.roster
            .change(address, now, |entry| entry.verdict = Verdict::Alive);
        self.mark(Class::Verdict);
        self.log(address, "answered");
    }

    fn probe(&mut self, now: Time) {
        let own = self.own.address;
        let roster = &self.roster;
        let next = self.probes.next(&mut self.rng, |address| {
            address != own && roster.get(address).is_some_and(|e| e.is_live())
        });
        if let Some(target) = next {
            self.ping(target, now);
        }
        for _ in 0..HELD_PROBES {
            let Some(held) = self.next_held() else {
                break;
            };
            self.held_cursor = held;
            if !self.probes.is_open(held) {
                self.ping(held, now);
            }
        }
        for _ in 0..SUSPECT_PROBES {
            let Some(suspect) = self.suspicions.after(self.suspect_cursor) else {
                return;
            };
            self.suspect_cursor = suspect;
            if !self.probes.is_open(suspect) {
                self.ping(suspect, now);
            }
        }
    }

    /// Returns the next member of a silent failure domain that is not suspected yet: the news of
    /// its suspicion may have been lost, and a whole round of probes would take too long.
    fn next_held(&self) -> Option<SocketAddrV4> {
        if self.hold.domains.is_empty() {
            return None;
        }
        let own = self.own.address;
        let mut first = None;
        for entry in self.roster.iter() {
            let record = &entry.record;
            let held = entry.verdict == Verdict::Alive && entry.is_live();
            if !held || record.address == own || !self.hold.domains.contains_key(&record.domain) {
                continue;
            }
            if record.address > self.held_cursor {
                return Some(record.address);
            }
            first = first.or(Some(record.address));
        }
        first
    }

    fn ping(&mut self, target: SocketAddrV4, now: Time) {
        let Some(control) = self.control(target) else {
            return;
        };
        let mut message = self.message(Body::Ping { sequence: 0 });
        if let Some(entry) = self.roster.get(target)
            && entry.verdict == Verdict::Suspect
        {
            message.add(Update::brief(&entry.record, entry.verdict));
        }
        if !self.budget.allows(Level::Probe, message.size()) {
            return;
        }
        let sequence = self.probes.open(target, &mut self.rng, now);
        message.body = Body::Ping { sequence };
        self.send(control, Level::Probe, message);
    }

    fn ask_others(&mut self, target: SocketAddrV4, sequence: u32) {
        let suspect = self.roster.get(target);
        let Some(entry) = suspect.filter(|e| e.is_live() && e.verdict == Verdict::Alive) else {
            return;
        };
        let control = Packed(entry.record.control);
        for peer in self.peers(RELAYS + 1) {
            let Some(to) = self.control(peer).filter(|_| peer != target) else {
                continue;
            };
            let request = self.message(Body::PingRequest {
                sequence,
                target: control,
            });
            self.send(to, Level::Probe, request);
        }
    }

    fn probe_for(&mut self, asker: SocketAddrV4, theirs: u32, target: SocketAddrV4, now: Time) {
        let relay = self.probes.relay(asker, theirs, &mut self.rng, now);
        let Some(sequence) = relay else {
            return;
        };
        let ping = self.message(Body::Ping { sequence });
        self.send(target, Level::Probe, ping);
    }

    /// Removes the members whose timer is over, where removal has not stopped.
    fn check(&mut self, now: Time) {
        if self.suspicions.is_empty() && self.hold == Hold::default() {
            return;
        }
        self.update_hold(now);
        for (address, expired) in self.suspicions.due(self.roster.live(), now) {
            let Some(entry) = self.roster.get(address) else {
                self.suspicions.clear(address);
                continue;
            };
            if self.hold.covers(&entry.record.domain) && !expired {
                continue;
            }
            self.suspicions.clear(address);
            self.roster
                .change(address, now, |entry| entry.verdict = Verdict::Dead);
            self.news.push(address, Class::Verdict);
            self.mark(Class::State);
            let reason = match expired {
                true => "hold_limit",
                false => "suspicion_timeout",
            };
            self.log(address, reason);
            self.update_hold(now);
        }
    }

    fn update_hold(&mut self, now: Time) {
        let hold = Hold::compute(&self.roster, now);
        let roster = &self.roster;
        self.suspicions.hold(now, |address| {
            let entry = roster.get(address);
            entry.is_some_and(|e| hold.covers(&e.record.domain))
        });
        let old = std::mem::replace(&mut self.hold, hold.clone());
        for (domain, silence) in &hold.domains {
            if old.domains.contains_key(domain) {
                continue;
            }
            self.actions.push(Action::Log(Event::RemovalHeld {
                domain: Some(domain.clone()),
                silence: *silence,
            }));
        }
        for domain in old.domains.into_keys() {
            if hold.domains.contains_key(&domain) {
                continue;
            }
            self.actions.push(Action::Log(Event::RemovalResumed {
                domain: Some(domain),
            }));
        }
        match (old.fleet, hold.fleet) {
            (None, Some(silence)) => self.actions.push(Action::Log(Event::RemovalHeld {
                domain: None,
                silence,
            })),
            (Some(_), None) => self
                .actions
                .push(Action::Log(Event::RemovalResumed { domain: None })),
            _ => {}
        }
    }

    /// Sends state changes, verdicts and a new settings revision without waiting for a probe.
    fn gossip(&mut self) {
        let (level, fanout) = match self.news.class() {
            Some(Class::State) => (Level::State, STATE_FANOUT),
            _ if self.revision_sends > 0 => (Level::State, STATE_FANOUT),
            Some(Class::Verdict) => (Level::Verdict, VERDICT_FANOUT),
            Some(Class::Weight) | None => return,
        };
        for peer in self.peers(fanout) {
            let Some(control) = self.control(peer) else {
                continue;
            };
            let message = self.message(Body::News);
            if !self.send(control, level, message) {
                return;
            }
            self.revision_sends = self.revision_sends.saturating_sub(1);
        }
    }

    /// Notices that this process stood still, and does not blame the others for it.
    fn wake(&mut self, now: Time) {
        self.budget.refill(now);
        let gap = now.since(self.due.ticked);
        if gap < FREEZE_GAP {
            return;
        }
        self.due.ticked = now;
        self.probes.reset();
        self.suspicions.shift(gap);
        self.actions.push(Action::Log(Event::Frozen { gap }));
        if gap < REBIRTH_GAP || self.own.state == MemberState::Left {
            return;
        }
        let lost = (gap.as_millis() / 100).max(1) as u32;
        let incarnation = Incarnation(self.own.incarnation.0 + lost);
        self.begin_life(incarnation, "frozen", now);
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
