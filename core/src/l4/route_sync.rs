//! Distribution of the route table to all balancers. The relays of each failure domain watch the
//! store. All balancers pull the table from peers that announce a newer version, directly or in their
//! membership record, and read the store at the start and every `RESYNC_INTERVAL`.
//!
//! [`RouteSync`] is the state machine of one process, and [`service`] does its I/O. A table is only
//! replaced by a complete newer one, so no order of responses brings back an older version.

pub mod service;

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{directives::StoredDirectives, routes::RouteTable};
use crate::{
    clock::Time,
    member::{MemberState, Role, View},
    placement::relays,
    store::{Consistency, Position},
};

/// Delay of a retry after the first failed call to the store; it doubles with each failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Longest delay of a retry after a failed call to the store.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Shortest interval between two pulls from peers. A peer that does not reply within it may be frozen or
/// cut off, so that the table is pulled from another one too.
const PULL_INTERVAL: Duration = Duration::from_millis(50);

/// Limit of peers with newer tables beyond which announcements are ignored. Frames between processes are
/// not signed, so that a stranger may announce any number of them; the tables themselves are signed.
const MAX_NEWER_PEERS: usize = 64;

/// Limit of pulls at the same time.
const MAX_PULLS: u32 = 2;

/// Time from the start after which a relay watches the store. Before, a process that does not know the
/// others yet takes itself for a relay.
const WATCH_DELAY: Duration = Duration::from_secs(1);

/// Interval at which a process reads the store even if no change was reported.
const RESYNC_INTERVAL: Duration = Duration::from_secs(10);

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A read of the store succeeded: its position, and the table if there is a valid one.
    ReadSucceeded(Position, Option<RouteTable>),
    /// A linearizable read of the store succeeded and returned these directives.
    DirectivesRead(StoredDirectives),
    /// A read of the store failed.
    ReadFailed,
    /// The watch reported a change of the store.
    Changed,
    /// The watch ended or could not be started.
    WatchEnded,
    /// The store was restored from an older copy.
    StoreRestored,
    /// The peer with this control address announced this version.
    Announced(SocketAddrV4, u64),
    /// A pull ended, with the peer's table or `None` if it failed.
    PullEnded(Option<RouteTable>),
}

/// Output of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the table from the store.
    Read(Consistency),
    /// Watch the store for changes after a position.
    Watch(Position),
    /// End the watch.
    StopWatch,
    /// Pull the table from the peer with this control address.
    Pull(SocketAddrV4),
    /// Publish the table, which has replaced an older one.
    Publish(Arc<RouteTable>),
    /// Publish the directives of a read of the store.
    PublishDirectives(Arc<StoredDirectives>),
    /// Report that the store has become reachable (`true`) or unreachable.
    ReportStore(bool),
    /// Report that the store holds a table of this version, older than the one in use.
    ReportOlder(u64),
}

/// Synchronizes the route table of one process.
#[derive(Debug)]
pub struct RouteSync {
    domain: String,
    /// Data address of this process.
    address: SocketAddrV4,
    table: Arc<RouteTable>,
    /// Versions of peers with newer tables, by the peers' control addresses.
    newer_peers: BTreeMap<SocketAddrV4, u64>,
    is_relay: bool,
    is_reading: bool,
    /// Whether the store changed during a read, so that it has to be read again.
    needs_reread: bool,
    is_watching: bool,
    /// When the first watch may start, set at the first event.
    watch_start: Option<Time>,
    /// Whether the next read must include all writes that the store has acknowledged. The periodic
    /// reads need not: they only repair what relays and peers have missed.
    needs_latest: bool,
    /// Version of an older table that was reported last.
    older_version: Option<u64>,
    store_reachable: bool,
    retry_delay: Duration,
    read_due: Time,
    /// Number of pulls that have not ended.
    pulls: u32,
    pull_due: Time,
}

impl RouteSync {
    /// Returns the state of a process that has no routes yet.
    pub fn new(address: SocketAddrV4, domain: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            address,
            table: Arc::default(),
            newer_peers: BTreeMap::new(),
            is_relay: true,
            is_reading: false,
            needs_reread: false,
            is_watching: false,
            watch_start: None,
            needs_latest: true,
            older_version: None,
            store_reachable: true,
            retry_delay: MIN_RETRY_DELAY,
            read_due: Time::default(),
            pulls: 0,
            pull_due: Time::default(),
        }
    }

    /// Returns the current table, which has version 0 until the first one arrives.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Updates the relays and the peers with newer tables from a view of the membership.
    pub fn apply_view(&mut self, view: &View) {
        let relays = relays(view, &self.domain);
        let was_relay = self.is_relay;
        self.is_relay = relays.is_empty() || relays.contains(&self.address);
        if self.is_relay && !was_relay {
            // The earlier relays may have gone with a change that nobody else has read.
            self.needs_latest = true;
            self.read_due = Time::default();
        }
        for record in view.members.values() {
            // The revision in the record of a balancer is the version of its route table.
            let live = matches!(record.state, MemberState::Ready | MemberState::Draining);
            if record.role != Role::Balancer {
                continue;
            }
            if !live {
                self.newer_peers.remove(&record.control);
            } else if record.revision > self.table.version {
                self.newer_peers.insert(record.control, record.revision);
            }
        }
    }

    /// Handles an event and returns the actions that follow.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let watch_start = *self.watch_start.get_or_insert(now + WATCH_DELAY);
        if self.is_watching && !self.is_relay {
            self.is_watching = false;
            actions.push(Action::StopWatch);
        }
        match event {
            Event::Tick => {}
            Event::ReadSucceeded(position, table) => {
                self.is_reading = false;
                self.retry_delay = MIN_RETRY_DELAY;
                self.set_store_reachable(true, &mut actions);
                self.report_if_older(table.as_ref(), &mut actions);
                self.apply_if_newer(table, &mut actions);
                self.read_due = now + RESYNC_INTERVAL;
                if self.needs_reread {
                    self.needs_reread = false;
                    self.needs_latest = true;
                    self.read_due = now;
                } else if self.is_relay && !self.is_watching && now < watch_start {
                    self.needs_latest = true;
                    self.read_due = watch_start;
                } else if self.is_relay && !self.is_watching {
                    self.is_watching = true;
                    actions.push(Action::Watch(position));
                }
            }
            Event::DirectivesRead(mut directives) => {
                // A store that was restored may hold older settings than those in use.
                if directives.version < self.table.version {
                    directives.cold_rates = None;
                }
                actions.push(Action::PublishDirectives(Arc::new(directives)));
            }
            Event::ReadFailed => {
                self.is_reading = false;
                self.needs_latest = true;
                self.set_store_reachable(false, &mut actions);
                self.read_due = now + self.retry_delay;
                self.retry_delay = self.max_retry_delay().min(self.retry_delay * 2);
            }
            Event::Changed => {
                self.needs_reread = self.is_reading;
                self.needs_latest = true;
                self.read_due = now;
            }
            Event::StoreRestored => {
                self.needs_reread = self.is_reading;
                self.needs_latest = true;
                self.read_due = now;
            }
            Event::WatchEnded => {
                self.is_watching = false;
                self.needs_latest = true;
                self.read_due = self.read_due.min(now + self.retry_delay);
            }
            Event::Announced(peer, version) => {
                if self.newer_peers.len() < MAX_NEWER_PEERS {
                    self.newer_peers.insert(peer, version);
                }
            }
            Event::PullEnded(table) => {
                self.pulls = self.pulls.saturating_sub(1);
                if self.apply_if_newer(table, &mut actions) {
                    self.pull_due = now;
                    if !self.is_relay {
                        // The relays read the store for all.
                        self.read_due = now + RESYNC_INTERVAL;
                        self.needs_latest = false;
                    }
                }
            }
        }
        self.start_due_calls(now, &mut actions);
        actions
    }

    /// Extends `actions` with the read and the pull that are due.
    fn start_due_calls(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.is_reading && now >= self.read_due {
            self.is_reading = true;
            let consistency = match std::mem::take(&mut self.needs_latest) {
                true => Consistency::Linearizable,
                false => Consistency::Stale,
            };
            actions.push(Action::Read(consistency));
        }
        let version = self.table.version;
        self.newer_peers.retain(|_, theirs| *theirs > version);
        if self.pulls >= MAX_PULLS || now < self.pull_due {
            return;
        }
        // Each process prefers other peers, so that not all pull from the same one.
        let seed = u64::from(u32::from(*self.address.ip()));
        let rank = |peer: &SocketAddrV4| xxh3_64_with_seed(&peer.ip().octets(), seed);
        let peers = self.newer_peers.iter();
        let newest = peers.max_by_key(|(peer, version)| (**version, rank(peer)));
        let Some(peer) = newest.map(|(peer, _)| *peer) else {
            return;
        };
        self.pulls += 1;
        self.pull_due = now + PULL_INTERVAL;
        // If this pull fails, the next one goes to another peer.
        self.newer_peers.remove(&peer);
        actions.push(Action::Pull(peer));
    }

    /// Applies a table that is newer than the one in use; returns whether it is.
    fn apply_if_newer(&mut self, table: Option<RouteTable>, actions: &mut Vec<Action>) -> bool {
        let Some(table) = table.filter(|table| table.version > self.table.version) else {
            return false;
        };
        self.table = Arc::new(table);
        actions.push(Action::Publish(self.table.clone()));
        true
    }

    /// Reports an older table in the store, once for each version: the store was restored from an
    /// older copy, and the operator has not written the newer table again yet.
    fn report_if_older(&mut self, table: Option<&RouteTable>, actions: &mut Vec<Action>) {
        let older = table.map(|table| table.version);
        let older = older.filter(|version| *version < self.table.version);
        if older != self.older_version {
            self.older_version = older;
            actions.extend(older.map(Action::ReportOlder));
        }
    }

    /// Returns the longest delay of a retry. A fleet in which nobody has routes serves nobody, so its few
    /// relays go on at the shortest delay; they tell the others.
    fn max_retry_delay(&self) -> Duration {
        match self.is_relay && self.table.version == 0 {
            true => MIN_RETRY_DELAY,
            false => MAX_RETRY_DELAY,
        }
    }

    fn set_store_reachable(&mut self, store_reachable: bool, actions: &mut Vec<Action>) {
        if self.store_reachable != store_reachable {
            self.store_reachable = store_reachable;
            actions.push(Action::ReportStore(store_reachable));
        }
    }
}
