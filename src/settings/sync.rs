//! Distribution of settings to all processes: relays watch the store, the others pull from peers.

use std::{
    collections::{HashSet, VecDeque},
    net::SocketAddrV4,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde::{Deserialize, Serialize};

use super::{
    change::MAX_EDIT_PARTS,
    layout::{Head, Proposal, StoredTree, restore_proposal},
    part::{Part, PartName, Parts},
    replica::{MergeOutcome, Replica},
};
use crate::{
    clock::Time,
    config::{Violation, tree::Region},
    member::View,
    placement::relays,
    store::{CommitOutcome, Position},
};

/// Size at which a page of parts ends, in bytes; the part that exceeds it is still included.
pub const PAGE_TARGET_BYTES: usize = 128 << 10;

/// Mean interval at which a relay reads the head, in addition to its watch.
const RELAY_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which a process that knows no live peer reads the store.
///
/// If all 4,600 daemons of the largest fleet were isolated, they would make 1,840 calls per second.
const ISOLATED_READ_INTERVAL: Duration = Duration::from_millis(2500);

/// Mean interval of anti-entropy comparisons with a random peer.
const COMPARISON_INTERVAL: Duration = Duration::from_secs(10);
const PULL_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay before the next pull after a page with unreadable or rejected parts.
const INVALID_PAGE_DELAY: Duration = Duration::from_secs(1);
/// Shortest delay before a relay restores missing parts; the longest is three times as long.
const RESTORE_DELAY: Duration = Duration::from_millis(500);

/// Peers that get each hint of a new revision (rumor mongering, Demers et al., 1987).
const HINT_FANOUT: usize = 4;

/// Rounds of hints about one revision.
///
/// With three rounds, hardly any process has to wait for the membership records to learn of it.
const HINT_ROUNDS: u8 = 3;

const HINT_INTERVAL: Duration = Duration::from_millis(200);

/// A request for the parts after a position in the order of revision and name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Pull {
    /// Revision of the last part that the sender has.
    pub revision: u64,
    /// Name of that part; empty for all parts with a higher revision.
    pub name: String,
}

/// The response to a [`Pull`], with parts in the order of revision and name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Page {
    /// Names and encoded values of parts.
    pub parts: Vec<(String, String)>,
    /// Digest of all active parts of the responding process.
    pub digest: u64,
    /// Highest active revision of the responding process.
    pub revision: u64,
    /// Whether the responding process belongs to another region; the page has no parts then.
    pub wrong_region: bool,
    /// Whether more parts follow this page.
    pub has_more: bool,
}

/// An input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A periodic tick at which timers are checked.
    Tick,
    /// A watch reported a change in the store.
    StoreChanged,
    /// The head was read, with its store revision.
    HeadRead(Position, Head),
    /// The head and the parts that changed after a store revision were read.
    PartsRead(Position, StoredTree),
    /// A call to the store failed.
    StoreFailed,
    /// A transaction that restores missing parts was executed, or conflicted with another one.
    RestoreEnded(CommitOutcome),
    /// A peer announced its active revision.
    HintReceived(SocketAddrV4, u64),
    /// A peer returned a page.
    PullSucceeded(Page),
    /// A peer did not return a page.
    PullFailed,
}

/// An output of the state machine that the driver carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the head.
    ReadHead,
    /// Read the head and the parts that changed after a store revision.
    ReadParts(Position),
    /// Write parts that the store has lost back to it.
    Restore(Proposal),
    /// Pull parts from a peer.
    Pull(SocketAddrV4, Pull),
    /// Announce the active revision to some peers.
    Hint(Vec<SocketAddrV4>, u64),
    /// Start or stop the tasks of a relay: the watch of the store and the upkeep of its seed.
    SetRelay(bool),
    /// Publish the replica's tree, in which these parts have changed.
    Publish(Vec<PartName>),
    /// Report that a tree was rejected; the previous one stays active.
    ReportInvalid(Violation),
    /// Report keys or parts whose value can't be decoded and was ignored.
    ReportUnreadable(Vec<String>),
    /// Report that the store holds older settings than the active ones.
    ReportStoreOlder {
        /// Highest revision in the store.
        revision: u64,
        /// Number of parts that are missing or older in the store.
        missing: usize,
    },
    /// Report that the store has become reachable or unreachable.
    ReportReachability(bool),
}

/// The state machine that keeps the settings of one process up to date.
#[derive(Debug)]
pub struct SettingsSync {
    domain: String,
    /// Control addresses of processes that belong to another region.
    foreign_peers: HashSet<SocketAddrV4>,
    replica: Replica,
    address: SocketAddrV4,
    rng: SmallRng,
    peers: Vec<Peer>,
    /// Whether a store is configured and the process knows no live peer.
    is_isolated: bool,
    is_relay: bool,
    store: StoreState,
    pull: PullState,
    /// Sender and revision of the hint with the highest revision that was not pulled yet.
    hint: Option<(SocketAddrV4, u64)>,
    /// Rounds of hints that are still to be sent.
    hint_rounds: u8,
    next_hint: Time,
    next_comparison: Time,
}

#[derive(Clone, Debug)]
struct Peer {
    control: SocketAddrV4,
    is_local: bool,
    revision: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    in_flight: bool,
    is_configured: bool,
    /// Whether the store changed during a call, so that it is read again at once.
    read_again: bool,
    /// Position of the head and id of its newest change, if any, at the last read of parts.
    last_head: Option<(Position, Option<String>)>,
    next_read: Time,
    /// When to restore missing parts, if the store still lacks them.
    restore_at: Option<Time>,
    is_reachable: bool,
    /// Position up to which parts were read; [`Position::START`] if all are to be read again.
    read_position: Position,
}

#[derive(Debug, Default)]
struct PullState {
    in_flight: bool,
    next_pull: Time,
    peer: Option<SocketAddrV4>,
    received: Parts,
    /// Whether all parts are pulled, not only those newer than the replica's.
    is_full: bool,
}

impl SettingsSync {
    /// Returns the state of a process that has only the tree of its own file.
    ///
    /// Only a process that has a store can be a relay.
    pub fn new(
        tree: Region,
        address: SocketAddrV4,
        domain: &str,
        has_store: bool,
        seed: u64,
    ) -> Self {
        Self {
            domain: domain.to_owned(),
            foreign_peers: HashSet::new(),
            replica: Replica::from_file(tree),
            address,
            rng: SmallRng::seed_from_u64(seed),
            peers: Vec::new(),
            is_isolated: false,
            is_relay: false,
            store: StoreState {
                is_configured: has_store,
                is_reachable: true,
                ..StoreState::default()
            },
            pull: PullState::default(),
            hint: None,
            hint_rounds: 0,
            next_hint: Time::default(),
            next_comparison: Time::default(),
        }
    }

    /// Returns the replica with the active settings.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Merges the parts that the process starts with.
    ///
    /// # Errors
    ///
    /// Fails if the merged tree is not valid; the parts are ignored then.
    pub fn apply_initial(&mut self, parts: &Parts) -> Result<(), Violation> {
        match self.replica.merge(parts) {
            MergeOutcome::Rejected(violation) => Err(violation),
            MergeOutcome::Advanced { .. } | MergeOutcome::Unchanged => Ok(()),
        }
    }

    /// Returns whether this process watches the store on behalf of its failure domain.
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Replaces the known peers by the members of a view, and updates the relay role.
    pub fn apply_view(&mut self, view: &View, now: Time) -> VecDeque<Action> {
        let mut actions = VecDeque::new();
        self.peers.clear();
        for record in view.members.values() {
            let is_gone = record.state.is_gone();
            let is_foreign = self.foreign_peers.contains(&record.control);
            if is_gone || is_foreign || record.address == self.address {
                continue;
            }
            self.peers.push(Peer {
                control: record.control,
                is_local: record.domain == self.domain,
                revision: record.revision,
            });
        }
        let is_relay =
            self.store.is_configured && relays(view, &self.domain).contains(&self.address);
        if is_relay != self.is_relay {
            self.is_relay = is_relay;
            self.store.next_read = now;
            actions.push_back(Action::SetRelay(is_relay));
        }
        let is_isolated = self.store.is_configured && self.peers.is_empty();
        if is_isolated && !self.is_isolated && !is_relay {
            self.store.next_read = now + ISOLATED_READ_INTERVAL;
        }
        self.is_isolated = is_isolated;
        self.start_due_calls(now, &mut actions);
        actions
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, event: Event, now: Time) -> VecDeque<Action> {
        let mut actions = VecDeque::new();
        match event {
            Event::Tick => {}
            Event::StoreChanged => {
                self.store.read_again = self.store.in_flight;
                self.store.next_read = now;
            }
            Event::HeadRead(position, head) => self.handle_head(position, &head, now, &mut actions),
            Event::PartsRead(since, stored) => self.apply_stored(since, &stored, now, &mut actions),
            Event::StoreFailed => {
                self.finish_store_call(now, &mut actions, false);
            }
            Event::RestoreEnded(_) => {
                self.finish_store_call(now, &mut actions, true);
                self.store.last_head = None;
                self.store.next_read = now;
            }
            Event::HintReceived(peer, revision) => {
                let known = self.hint.map_or(0, |(_, revision)| revision);
                if revision > known.max(self.replica.revision()) {
                    self.hint = Some((peer, revision));
                }
            }
            Event::PullSucceeded(page) => self.apply_page(&page, now, &mut actions),
            Event::PullFailed => {
                self.finish_pull(now);
                self.pull.next_pull = now + PULL_RETRY_DELAY;
            }
        }
        self.start_due_calls(now, &mut actions);
        actions
    }

    /// Returns the first page of the parts after the position of a pull.
    pub fn page_after(&self, pull: &Pull) -> Page {
        let mut newer: Vec<(u64, String, &Part)> = Vec::new();
        for (name, part) in self.replica.parts() {
            let name = name.to_string();
            let after = part.revision > pull.revision
                || (part.revision == pull.revision && !pull.name.is_empty() && name > pull.name);
            if after && part.revision > 0 {
                newer.push((part.revision, name, part));
            }
        }
        newer.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        let mut page = Page {
            digest: self.replica.digest(),
            revision: self.replica.revision(),
            ..Page::default()
        };
        let mut bytes = 0;
        for (_, name, part) in newer {
            if bytes > PAGE_TARGET_BYTES {
                page.has_more = true;
                break;
            }
            let value = part.encode();
            bytes += value.len();
            page.parts.push((name, value));
        }
        page
    }

    /// Sends the active revision to random peers, in [`HINT_ROUNDS`] rounds after it changed.
    fn send_hints(&mut self, now: Time, actions: &mut VecDeque<Action>) {
        if self.hint_rounds == 0 || now < self.next_hint {
            return;
        }
        self.hint_rounds -= 1;
        self.next_hint = now + HINT_INTERVAL;
        let peers = self.peers.choose_multiple(&mut self.rng, HINT_FANOUT);
        let hinted = peers.map(|peer| peer.control).collect();
        actions.push_back(Action::Hint(hinted, self.replica.revision()));
    }

    /// Sends hints and starts the store read and the pull that are due.
    fn start_due_calls(&mut self, now: Time, actions: &mut VecDeque<Action>) {
        self.send_hints(now, actions);
        if (self.is_relay || self.is_isolated)
            && !self.store.in_flight
            && now >= self.store.next_read
        {
            self.store.in_flight = true;
            actions.push_back(Action::ReadHead);
        }
        if self.pull.in_flight || now < self.pull.next_pull {
            return;
        }
        let current = self.replica.revision();
        if let Some((peer, revision)) = self.hint.take()
            && revision > current
        {
            self.start_pull(peer, current, actions);
            return;
        }
        let ahead = |peer: &&Peer| peer.revision > current;
        let local: Vec<&Peer> = self
            .peers
            .iter()
            .filter(ahead)
            .filter(|p| p.is_local)
            .collect();
        let all: Vec<&Peer> = self.peers.iter().filter(ahead).collect();
        let chosen = local.choose(&mut self.rng).or(all.choose(&mut self.rng));
        if let Some(peer) = chosen {
            let control = peer.control;
            self.start_pull(control, current, actions);
            return;
        }
        if now < self.next_comparison {
            return;
        }
        let jitter = self.rng.random_range(0.5..1.5);
        self.next_comparison = now + COMPARISON_INTERVAL.mul_f64(jitter);
        if let Some(peer) = self.peers.choose(&mut self.rng) {
            let control = peer.control;
            self.start_pull(control, current, actions);
        }
    }

    fn start_pull(&mut self, peer: SocketAddrV4, after: u64, actions: &mut VecDeque<Action>) {
        self.pull.in_flight = true;
        self.pull.peer = Some(peer);
        self.pull.is_full = after == 0;
        let pull = Pull {
            revision: after,
            name: String::new(),
        };
        actions.push_back(Action::Pull(peer, pull));
    }

    fn finish_pull(&mut self, next_pull: Time) {
        self.pull = PullState {
            next_pull,
            ..PullState::default()
        };
    }

    fn apply_page(&mut self, page: &Page, now: Time, actions: &mut VecDeque<Action>) {
        let Some(peer) = self.pull.peer else {
            return;
        };
        if page.wrong_region {
            self.foreign_peers.insert(peer);
            self.peers.retain(|other| other.control != peer);
            self.finish_pull(now);
            return;
        }
        for (name, value) in &page.parts {
            let part = name.parse().ok();
            let part = part.and_then(|name| Some((Part::decode(&name, value).ok()?, name)));
            let Some((part, name)) = part else {
                actions.push_back(Action::ReportUnreadable(vec![name.clone()]));
                self.finish_pull(now + INVALID_PAGE_DELAY);
                return;
            };
            self.pull.received.insert(name, part);
        }
        if let (true, Some((name, _))) = (page.has_more, page.parts.last()) {
            let revision = self.pull.received.values().map(|part| part.revision).max();
            let pull = Pull {
                revision: revision.unwrap_or(0),
                name: name.clone(),
            };
            actions.push_back(Action::Pull(peer, pull));
            return;
        }
        let received = std::mem::take(&mut self.pull.received);
        let is_full = self.pull.is_full;
        let is_empty = received.is_empty();
        self.finish_pull(if is_empty {
            now + PULL_RETRY_DELAY
        } else {
            now
        });
        if !self.merge(&received, actions) {
            self.pull.next_pull = now + INVALID_PAGE_DELAY;
            return;
        }
        let is_peer_current = self.replica.revision() <= page.revision;
        if is_peer_current && self.replica.digest() != page.digest {
            // Different digests at the same revision mean that the two processes hold different
            // parts, so this one pulls all; the delay limits the rate of full pulls.
            self.pull.next_pull = now + PULL_RETRY_DELAY;
            if !is_full {
                self.start_pull(peer, 0, actions);
            }
        }
    }

    /// Merges parts into the replica; returns whether the tree with them is valid.
    fn merge(&mut self, parts: &Parts, actions: &mut VecDeque<Action>) -> bool {
        match self.replica.merge(parts) {
            MergeOutcome::Advanced { changed } => {
                actions.push_back(Action::Publish(changed));
                self.hint_rounds = HINT_ROUNDS;
                self.next_hint = Time::default();
            }
            MergeOutcome::Unchanged => {}
            MergeOutcome::Rejected(violation) => {
                actions.push_back(Action::ReportInvalid(violation));
                return false;
            }
        }
        true
    }

    fn finish_store_call(&mut self, now: Time, actions: &mut VecDeque<Action>, answered: bool) {
        self.store.in_flight = false;
        self.store.next_read = if std::mem::take(&mut self.store.read_again) {
            now
        } else {
            let jitter = self.rng.random_range(0.9..1.1);
            let interval = if self.is_relay {
                RELAY_READ_INTERVAL
            } else {
                ISOLATED_READ_INTERVAL
            };
            now + interval.mul_f64(jitter)
        };
        if answered != self.store.is_reachable {
            self.store.is_reachable = answered;
            actions.push_back(Action::ReportReachability(answered));
        }
    }

    fn handle_head(
        &mut self,
        position: Position,
        head: &Head,
        now: Time,
        actions: &mut VecDeque<Action>,
    ) {
        let is_restore_due = self.store.restore_at.is_some_and(|due| now >= due);
        let newest = head.recent.front().map(|change| change.change.clone());
        let known = self.store.last_head.as_ref();
        if !is_restore_due && known == Some(&(position, newest)) {
            self.finish_store_call(now, actions, true);
            return;
        }
        // Unless the head lists the newest known change, the store may have been reset to an older
        // state; only a read of all parts shows what it has lost.
        let follows = known.is_some_and(|(known, change)| {
            let change = change.as_ref();
            let is_later = position.continues(known) && position != *known;
            is_later && change.is_some_and(|change| head.find(change).is_some())
        });
        let since = if follows && !is_restore_due {
            self.store.read_position
        } else {
            Position::START
        };
        actions.push_back(Action::ReadParts(since));
    }

    fn apply_stored(
        &mut self,
        since: Position,
        stored: &StoredTree,
        now: Time,
        actions: &mut VecDeque<Action>,
    ) {
        self.finish_store_call(now, actions, true);
        if !stored.unreadable.is_empty() {
            actions.push_back(Action::ReportUnreadable(stored.unreadable.clone()));
        }
        let is_rejected = !self.merge(&stored.parts, actions);
        let newest = stored
            .head
            .recent
            .front()
            .map(|change| change.change.clone());
        self.store.last_head = Some((stored.head_position, newest));
        // The replica lacks rejected and unreadable parts, so the next read must return all parts.
        let is_partial = is_rejected || !stored.unreadable.is_empty();
        self.store.read_position = if is_partial {
            Position::START
        } else {
            stored.position
        };
        if since == Position::START && self.is_relay {
            self.restore_missing(stored, now, actions);
        }
    }

    /// Restores parts that the store has lost, after a random delay that lets one relay go first.
    fn restore_missing(&mut self, stored: &StoredTree, now: Time, actions: &mut VecDeque<Action>) {
        let missing = self.replica.missing_in(&stored.parts);
        if missing.is_empty() || !stored.unreadable.is_empty() {
            self.store.restore_at = None;
            return;
        }
        let Some(due) = self.store.restore_at else {
            let jitter = self.rng.random_range(1.0..3.0);
            self.store.restore_at = Some(now + RESTORE_DELAY.mul_f64(jitter));
            return;
        };
        if now < due {
            return;
        }
        actions.push_back(Action::ReportStoreOlder {
            revision: stored.head.revision,
            missing: missing.len(),
        });
        self.store.restore_at = None;
        self.store.in_flight = true;
        actions.push_back(Action::Restore(restore_proposal(
            stored,
            &missing,
            MAX_EDIT_PARTS,
        )));
    }
}
