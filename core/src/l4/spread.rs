//! How routes reach every balancer: some of each failure domain watch the store, the others pull
//! from peers whose membership record shows a newer version.
//!
//! The state of one process; [`service`] does its I/O. The newest whole table is in force, so that
//! no order of answers makes a process go back.

pub mod service;

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use super::routes::RouteTable;
use crate::{
    clock::Time,
    member::{MemberState, Role, View},
    placement::relays,
};

/// Pause after a failed call to the store, at first.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// Pause after a failed call to the store, at most.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Pause between two pulls from peers.
const PULL_PAUSE: Duration = Duration::from_millis(200);

/// Interval at which a process reads the store although it has heard of no change.
const AUDIT_INTERVAL: Duration = Duration::from_secs(10);

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// The store answered a read: its revision, and the table if there is one that can be read.
    Read(u64, Option<RouteTable>),
    /// The store did not answer a read.
    ReadFailed,
    /// The watch reported a change.
    Changed,
    /// The watch ended.
    WatchEnded,
    /// A peer answered.
    Pulled(Option<RouteTable>),
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read the store.
    Read,
    /// Watch the store for changes after a revision.
    Watch(u64),
    /// Ask a peer's control address for its table.
    Pull(SocketAddrV4),
    /// The table is in force.
    Publish(Arc<RouteTable>),
    /// The store answers again, or no longer.
    Reachable(bool),
}

/// Spread of routes in one process.
#[derive(Debug)]
pub struct Spread {
    domain: String,
    own: SocketAddrV4,
    table: Arc<RouteTable>,
    /// Peers that are ahead, with their versions.
    ahead: Vec<(SocketAddrV4, u64)>,
    relay: bool,
    reading: bool,
    /// Whether the store changed while a read was open.
    again: bool,
    watching: bool,
    reachable: bool,
    pause: Duration,
    read_due: Time,
    pulling: bool,
    pull_due: Time,
}

impl Spread {
    /// Returns the state of a process that knows no routes.
    pub fn new(own: SocketAddrV4, domain: &str) -> Self {
        Self {
            domain: domain.to_owned(),
            own,
            table: Arc::default(),
            ahead: Vec::new(),
            relay: true,
            reading: false,
            again: false,
            watching: false,
            reachable: true,
            pause: MIN_PAUSE,
            read_due: Time::default(),
            pulling: false,
            pull_due: Time::default(),
        }
    }

    /// Returns the table in force.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Takes the members of the fleet.
    pub fn meet(&mut self, view: &View) {
        let relays = relays(view, &self.domain);
        self.relay = relays.is_empty() || relays.contains(&self.own);
        self.ahead.clear();
        for record in view.members.values() {
            let live = matches!(record.state, MemberState::Ready | MemberState::Draining);
            if live && record.role == Role::Balancer && record.revision > self.table.version {
                self.ahead.push((record.control, record.revision));
            }
        }
    }

    /// Takes an event and returns what to do.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => {}
            Event::Read(revision, table) => {
                self.reading = false;
                self.pause = MIN_PAUSE;
                self.reach(true, &mut actions);
                self.offer(table, &mut actions);
                self.read_due = now + AUDIT_INTERVAL;
                if self.again {
                    self.again = false;
                    self.read_due = now;
                } else if self.relay && !self.watching {
                    self.watching = true;
                    actions.push(Action::Watch(revision));
                }
            }
            Event::ReadFailed => {
                self.reading = false;
                self.reach(false, &mut actions);
                self.read_due = now + self.pause;
                self.pause = MAX_PAUSE.min(self.pause * 2);
            }
            Event::Changed => {
                self.again = self.reading;
                self.read_due = now;
            }
            Event::WatchEnded => {
                self.watching = false;
                self.read_due = self.read_due.min(now + self.pause);
            }
            Event::Pulled(table) => {
                self.pulling = false;
                self.offer(table, &mut actions);
            }
        }
        self.act(now, &mut actions);
        actions
    }

    fn act(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.reading && now >= self.read_due {
            self.reading = true;
            actions.push(Action::Read);
        }
        let version = self.table.version;
        self.ahead.retain(|(_, theirs)| *theirs > version);
        if self.pulling || now < self.pull_due {
            return;
        }
        let newest = self.ahead.iter().max_by_key(|(_, version)| *version);
        let Some((peer, _)) = newest.copied() else {
            return;
        };
        self.pulling = true;
        self.pull_due = now + PULL_PAUSE;
        // The next attempt asks another peer, if there is one.
        self.ahead.retain(|(other, _)| *other != peer);
        actions.push(Action::Pull(peer));
    }

    fn offer(&mut self, table: Option<RouteTable>, actions: &mut Vec<Action>) {
        let Some(table) = table.filter(|table| table.version > self.table.version) else {
            return;
        };
        self.table = Arc::new(table);
        actions.push(Action::Publish(self.table.clone()));
    }

    fn reach(&mut self, reachable: bool, actions: &mut Vec<Action>) {
        if self.reachable != reachable {
            self.reachable = reachable;
            actions.push(Action::Reachable(reachable));
        }
    }
}
