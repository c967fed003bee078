//! How settings reach every process: relays watch the store, the others pull from peers.

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddrV4,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use super::{
    change::EDIT_PARTS,
    in_force::{Holdings, Verdict},
    layout::{Head, Proposal, Stored, write_back},
    part::{Part, PartName, Parts},
};
use crate::{
    clock::Time,
    config::{Fault, tree::Region},
    member::View,
    placement::relays,
    store::CommitOutcome,
};

/// Largest page of parts that one pull returns, in bytes.
pub const PAGE_BYTES: usize = 128 << 10;

const READ_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a process that knows no live peer reads the store itself.
///
/// All 4,600 daemons of the largest fleet would make 1,840 calls a second if all were alone.
const ALONE_INTERVAL: Duration = Duration::from_millis(2500);

const AUDIT_INTERVAL: Duration = Duration::from_secs(10);
const PULL_PAUSE: Duration = Duration::from_millis(200);
const REPAIR_DELAY: Duration = Duration::from_millis(500);
/// Peers that a process tells of a new revision (rumor mongering, Demers et al., 1987).
const HINTED_PEERS: usize = 4;

/// Times that a process tells peers of a revision, so that hardly any waits for a record.
const HINT_ROUNDS: u8 = 3;

const HINT_INTERVAL: Duration = Duration::from_millis(200);

/// A request for the parts behind a place in the order of revision and name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Revision of the last part that the sender has.
    pub revision: u64,
    /// Name of that part; empty for all parts behind the revision.
    pub name: String,
}

/// Parts in the order of revision and name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Names and values of parts.
    pub parts: Vec<(String, String)>,
    /// Digest of all parts that the answering process has in force.
    pub digest: u64,
    /// Highest revision that the answering process has in force.
    pub revision: u64,
    /// Whether the answering process belongs to another region and has nothing to say.
    pub foreign: bool,
    /// Whether there are parts behind this page.
    pub more: bool,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A watch reported a change in the store.
    StoreChanged,
    /// The head was read, with its store revision.
    Head(u64, Head),
    /// The head and the parts that changed after a store revision were read.
    Parts(u64, Stored),
    /// A call to the store failed.
    StoreFailed,
    /// Lost parts were written back, or another process was faster.
    WroteBack(CommitOutcome),
    /// A peer has a revision in force.
    Hinted(SocketAddrV4, u64),
    /// A peer answered.
    Pulled(Page),
    /// A peer did not answer.
    PullFailed,
}

/// What to do next, or to say.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head.
    ReadHead,
    /// Read the head and the parts that changed after a store revision.
    ReadParts(u64),
    /// Write parts back that the store has lost.
    WriteBack(Proposal),
    /// Ask a peer for parts.
    Pull(SocketAddrV4, Pull),
    /// Tell some peers which revision is in force here.
    Hint(Vec<SocketAddrV4>, u64),
    /// Watch the store from now on, or no longer.
    Watch(bool),
    /// The holdings have changed; publish them.
    Publish(Vec<PartName>),
    /// A tree was refused; the one before stays in force.
    Refused(Fault),
    /// Values in the store can't be read; they are passed over.
    Damaged(Vec<String>),
    /// The store holds older settings than those in force.
    StoreOlder {
        /// Highest revision in the store.
        revision: u64,
        /// Number of parts that it has lost.
        lost: usize,
    },
    /// The store answers again, or no longer.
    StoreReachable(bool),
}

/// The state machine of one process.
#[derive(Debug)]
pub struct Spread {
    domain: String,
    /// Processes that belong to another region.
    foreign: HashSet<SocketAddrV4>,
    holdings: Holdings,
    own: SocketAddrV4,
    rng: SmallRng,
    peers: Vec<Peer>,
    /// Whether no peer is alive, as far as this process knows.
    alone: bool,
    relay: bool,
    store: StoreSide,
    pull: PullSide,
    /// The last hint of a higher revision.
    hint: Option<(SocketAddrV4, u64)>,
    /// Rounds of hints that are left, and when the next one is due.
    rounds: u8,
    next_round: Time,
    audit: Time,
}

#[derive(Clone, Debug)]
struct Peer {
    control: SocketAddrV4,
    near: bool,
    revision: u64,
}

#[derive(Debug, Default)]
struct StoreSide {
    /// Whether a call is open.
    busy: bool,
    /// Whether there is a store.
    known: bool,
    /// Whether the store changed while a call was open.
    again: bool,
    /// Store revision and newest change of the head when the parts were read.
    last: Option<(u64, Option<String>)>,
    next: Time,
    /// When to write lost parts back, if the store still lacks them.
    repair: Option<Time>,
    reachable: bool,
    /// Store revision up to which parts were read.
    seen: u64,
}

#[derive(Debug, Default)]
struct PullSide {
    busy: bool,
    next: Time,
    peer: Option<SocketAddrV4>,
    staged: Parts,
    whole: bool,
}

impl Spread {
    /// Returns the state of a process that knows only its own file.
    ///
    /// `store` tells whether it can reach a store, and so can be a relay.
    pub fn new(tree: Region, own: SocketAddrV4, domain: &str, store: bool, seed: u64) -> Self {
        Self {
            domain: domain.to_owned(),
            foreign: HashSet::new(),
            holdings: Holdings::from_file(tree),
            own,
            rng: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            alone: false,
            relay: false,
            store: StoreSide {
                known: store,
                reachable: true,
                ..StoreSide::default()
            },
            pull: PullSide::default(),
            hint: None,
            rounds: 0,
            next_round: Time::default(),
            audit: Time::default(),
        }
    }

    /// Returns the settings in force.
    pub fn holdings(&self) -> &Holdings {
        &self.holdings
    }

    /// Takes parts that are known before the process meets others.
    ///
    /// # Errors
    ///
    /// Fails if the tree would not be valid.
    pub fn adopt(&mut self, parts: &Parts) -> Result<(), Fault> {
        match self.holdings.offer(parts) {
            Verdict::Refused(fault) => Err(fault),
            Verdict::Advanced { .. } | Verdict::Unchanged => Ok(()),
        }
    }

    /// Returns whether this process watches the store for the others.
    pub fn is_relay(&self) -> bool {
        self.relay
    }

    /// Takes the members of the fleet.
    pub fn meet(&mut self, view: &View, now: Time) -> VecDeque<Action> {
        let mut actions = VecDeque::new();
        self.peers.clear();
        for record in view.members.values() {
            let gone = record.state.is_gone();
            let foreign = self.foreign.contains(&record.control);
            if gone || foreign || record.address == self.own {
                continue;
            }
            self.peers.push(Peer {
                control: record.control,
                near: record.domain == self.domain,
                revision: record.revision,
            });
        }
        let relay = self.store.known && relays(view, &self.domain).contains(&self.own);
        if relay != self.relay {
            self.relay = relay;
            self.store.next = now;
            actions.push_back(Action::Watch(relay));
        }
        let alone = self.store.known && self.peers.is_empty();
        if alone && !self.alone && !relay {
            self.store.next = now + ALONE_INTERVAL;
        }
        self.alone = alone;
        self.tick(now, &mut actions);
        actions
    }

    /// Takes an event.
    pub fn handle(&mut self, event: Event, now: Time) -> VecDeque<Action> {
        let mut actions = VecDeque::new();
        match event {
            Event::Tick => {}
            Event::StoreChanged => {
                self.store.again = self.store.busy;
                self.store.next = now;
            }
            Event::Head(version, head) => self.compare_head(version, &head, now, &mut actions),
            Event::Parts(since, stored) => self.take_stored(since, &stored, now, &mut actions),
            Event::StoreFailed => {
                self.end_call(now, &mut actions, false);
            }
            Event::WroteBack(_) => {
                self.end_call(now, &mut actions, true);
                self.store.last = None;
                self.store.next = now;
            }
            Event::Hinted(peer, revision) => {
                let known = self.hint.map_or(0, |(_, revision)| revision);
                if revision > known.max(self.holdings.revision()) {
                    self.hint = Some((peer, revision));
                }
            }
            Event::Pulled(page) => self.take_page(&page, now, &mut actions),
            Event::PullFailed => {
                self.end_pull(now);
                self.pull.next = now + PULL_PAUSE;
            }
        }
        self.tick(now, &mut actions);
        actions
    }

    /// Answers a peer.
    pub fn answer(&self, pull: &Pull) -> Page {
        let mut behind: Vec<(u64, String, &Part)> = Vec::new();
        for (name, part) in self.holdings.parts() {
            let name = name.to_string();
            let after = part.revision > pull.revision
                || (part.revision == pull.revision && !pull.name.is_empty() && name > pull.name);
            if after && part.revision > 0 {
                behind.push((part.revision, name, part));
            }
        }
        behind.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        let mut page = Page {
            digest: self.holdings.digest(),
            revision: self.holdings.revision(),
            ..Page::default()
        };
        let mut bytes = 0;
        for (_, name, part) in behind {
            if bytes > PAGE_BYTES {
                page.more = true;
                break;
            }
            let value = part.encode();
            bytes += value.len();
            page.parts.push((name, value));
        }
        page
    }

    /// Tells some random peers of the revision in force, a few times after it changed.
    fn spread_rumor(&mut self, now: Time, actions: &mut VecDeque<Action>) {
        if self.rounds == 0 || now < self.next_round {
            return;
        }
        self.rounds -= 1;
        self.next_round = now + HINT_INTERVAL;
        let peers = self.peers.choose_multiple(&mut self.rng, HINTED_PEERS);
        let hinted = peers.map(|peer| peer.control).collect();
        actions.push_back(Action::Hint(hinted, self.holdings.revision()));
    }

    fn tick(&mut self, now: Time, actions: &mut VecDeque<Action>) {
        self.spread_rumor(now, actions);
        if (self.relay || self.alone) && !self.store.busy && now >= self.store.next {
            self.store.busy = true;
            actions.push_back(Action::ReadHead);
        }
        if self.pull.busy || now < self.pull.next {
            return;
        }
        let own = self.holdings.revision();
        if let Some((peer, revision)) = self.hint.take()
            && revision > own
        {
            self.start_pull(peer, own, actions);
            return;
        }
        let ahead = |peer: &&Peer| peer.revision > own;
        let near: Vec<&Peer> = self.peers.iter().filter(ahead).filter(|p| p.near).collect();
        let all: Vec<&Peer> = self.peers.iter().filter(ahead).collect();
        let chosen = near.choose(&mut self.rng).or(all.choose(&mut self.rng));
        if let Some(peer) = chosen {
            let control = peer.control;
            self.start_pull(control, own, actions);
            return;
        }
        if now < self.audit {
            return;
        }
        let jitter = self.rng.random_range(0.5..1.5);
        self.audit = now + AUDIT_INTERVAL.mul_f64(jitter);
        if let Some(peer) = self.peers.choose(&mut self.rng) {
            let control = peer.control;
            self.start_pull(control, own, actions);
        }
    }

    fn start_pull(&mut self, peer: SocketAddrV4, after: u64, actions: &mut VecDeque<Action>) {
        self.pull.busy = true;
        self.pull.peer = Some(peer);
        self.pull.whole = after == 0;
        let pull = Pull {
            revision: after,
            name: String::new(),
        };
        actions.push_back(Action::Pull(peer, pull));
    }

    fn end_pull(&mut self, now: Time) {
        self.pull = PullSide {
            next: now,
            ..PullSide::default()
        };
    }

    fn take_page(&mut self, page: &Page, now: Time, actions: &mut VecDeque<Action>) {
        let Some(peer) = self.pull.peer else {
            return;
        };
        if page.foreign {
            self.foreign.insert(peer);
            self.peers.retain(|other| other.control != peer);
            self.end_pull(now);
            return;
        }
        for (name, value) in &page.parts {
            let part = name.parse().ok();
            let part = part.and_then(|name| Some((Part::decode(&name, value).ok()?, name)));
            let Some((part, name)) = part else {
                actions.push_back(Action::Damaged(vec![name.clone()]));
                self.end_pull(now + READ_INTERVAL);
                return;
            };
            self.pull.staged.insert(name, part);
        }
        if let (true, Some((name, _))) = (page.more, page.parts.last()) {
            let revision = self.pull.staged.values().map(|part| part.revision).max();
            let pull = Pull {
                revision: revision.unwrap_or(0),
                name: name.clone(),
            };
            actions.push_back(Action::Pull(peer, pull));
            return;
        }
        let staged = std::mem::take(&mut self.pull.staged);
        let whole = self.pull.whole;
        let empty = staged.is_empty();
        self.end_pull(if empty { now + PULL_PAUSE } else { now });
        if !self.offer(&staged, actions) {
            self.pull.next = now + READ_INTERVAL;
            return;
        }
        let level = self.holdings.revision() <= page.revision;
        if level && self.holdings.digest() != page.digest {
            // Something was missed earlier on: compare all parts, but not without a pause.
            self.pull.next = now + PULL_PAUSE;
            if !whole {
                self.start_pull(peer, 0, actions);
            }
        }
    }

    /// Offers parts to the holdings; returns whether the tree with them is valid.
    fn offer(&mut self, parts: &Parts, actions: &mut VecDeque<Action>) -> bool {
        match self.holdings.offer(parts) {
            Verdict::Advanced { changed } => {
                actions.push_back(Action::Publish(changed));
                self.rounds = HINT_ROUNDS;
                self.next_round = Time::default();
            }
            Verdict::Unchanged => {}
            Verdict::Refused(fault) => {
                actions.push_back(Action::Refused(fault));
                return false;
            }
        }
        true
    }

    fn end_call(&mut self, now: Time, actions: &mut VecDeque<Action>, answered: bool) {
        self.store.busy = false;
        self.store.next = if std::mem::take(&mut self.store.again) {
            now
        } else {
            let jitter = self.rng.random_range(0.9..1.1);
            let interval = if self.relay {
                READ_INTERVAL
            } else {
                ALONE_INTERVAL
            };
            now + interval.mul_f64(jitter)
        };
        if answered != self.store.reachable {
            self.store.reachable = answered;
            actions.push_back(Action::StoreReachable(answered));
        }
    }

    fn compare_head(
        &mut self,
        version: u64,
        head: &Head,
        now: Time,
        actions: &mut VecDeque<Action>,
    ) {
        let repair_due = self.store.repair.is_some_and(|due| now >= due);
        let newest = head.recent.front().map(|mark| mark.change.clone());
        let known = self.store.last.as_ref();
        if !repair_due && known == Some(&(version, newest)) {
            self.end_call(now, actions, true);
            return;
        }
        // A head that does not follow the known one means that the store went back; only a reading
        // of all parts shows what it has lost.
        let follows = known.is_some_and(|(known, change)| {
            let change = change.as_ref();
            version > *known && change.is_some_and(|change| head.find(change).is_some())
        });
        let since = if follows && !repair_due {
            self.store.seen
        } else {
            0
        };
        actions.push_back(Action::ReadParts(since));
    }

    fn take_stored(
        &mut self,
        since: u64,
        stored: &Stored,
        now: Time,
        actions: &mut VecDeque<Action>,
    ) {
        self.end_call(now, actions, true);
        if !stored.damaged.is_empty() {
            actions.push_back(Action::Damaged(stored.damaged.clone()));
        }
        let refused = !self.offer(&stored.parts, actions);
        let newest = stored.head.recent.front().map(|mark| mark.change.clone());
        self.store.last = Some((stored.head_version, newest));
        // What was refused is missing here, so that the next change needs all parts again.
        let partial = refused || !stored.damaged.is_empty();
        self.store.seen = if partial { 0 } else { stored.version };
        if since == 0 && self.relay {
            self.mend(stored, now, actions);
        }
    }

    /// Writes back what the store has lost, after a delay that lets another relay be first.
    fn mend(&mut self, stored: &Stored, now: Time, actions: &mut VecDeque<Action>) {
        let missing = self.holdings.missing_in(&stored.parts);
        if missing.is_empty() || !stored.damaged.is_empty() {
            self.store.repair = None;
            return;
        }
        let Some(due) = self.store.repair else {
            let jitter = self.rng.random_range(1.0..3.0);
            self.store.repair = Some(now + REPAIR_DELAY.mul_f64(jitter));
            return;
        };
        if now < due {
            return;
        }
        actions.push_back(Action::StoreOlder {
            revision: stored.head.revision,
            lost: missing.len(),
        });
        self.store.repair = None;
        self.store.busy = true;
        actions.push_back(Action::WriteBack(write_back(stored, &missing, EDIT_PARTS)));
    }
}
