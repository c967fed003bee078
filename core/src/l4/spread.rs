//! Spread of a document among the members: a process that accepts a newer one tells a few random
//! members at once and again later, and all compare theirs with a random member, which repairs what
//! was lost.
//!
//! [`Spread`] decides whom to tell and when. What is sent is up to the document's own module: the
//! directives fit a datagram, of the route table only the version does.

use std::{net::SocketAddrV4, time::Duration};

use rand::{SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    clock::Time,
    member::{Role, View},
};

/// Number of members that are told each time.
const FANOUT: usize = 4;

/// Number of times that members are told of a document.
const PUSHES: u32 = 3;

/// Interval between two pushes of a document.
const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// Interval between two comparisons with a random member.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);

/// Schedule of one process for one document.
#[derive(Debug)]
pub struct Spread {
    /// Data address of this process.
    address: SocketAddrV4,
    /// Role of the members that have the document, or `None` if all have it.
    role: Option<Role>,
    /// Interval between two queries of a process that has no document.
    query_interval: Duration,
    /// Data addresses of the other members.
    members: Vec<SocketAddrV4>,
    compare_due: Time,
    pushes_left: u32,
    push_due: Time,
    rng: SmallRng,
}

impl Spread {
    /// Returns the schedule of a process that knows no members. It queries them every
    /// `query_interval` while it has no document.
    pub fn new(address: SocketAddrV4, role: Option<Role>, query_interval: Duration) -> Self {
        let seed = xxh3_64(address.to_string().as_bytes());
        Self {
            address,
            role,
            query_interval,
            members: Vec::new(),
            compare_due: Time::default(),
            pushes_left: 0,
            push_due: Time::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Updates the members from a view of the membership.
    pub fn apply_view(&mut self, view: &View) {
        self.members.clear();
        for record in view.members.values() {
            let has_role = self.role.is_none_or(|role| record.role == role);
            if has_role && !record.state.is_gone() && record.address != self.address {
                self.members.push(record.address);
            }
        }
    }

    /// Starts to push the document, which was just replaced.
    pub fn start_push(&mut self, now: Time) {
        self.pushes_left = PUSHES;
        self.push_due = now;
    }

    /// Returns the members to which the document is pushed now; none if no push is due.
    pub fn take_push(&mut self, now: Time) -> Vec<SocketAddrV4> {
        if self.pushes_left == 0 || now < self.push_due || self.members.is_empty() {
            return Vec::new();
        }
        self.pushes_left -= 1;
        self.push_due = now + PUSH_INTERVAL;
        self.random_members(FANOUT)
    }

    /// Returns the members to which the position of the document is sent now: one if there is a
    /// document, more if it is asked for; none if no comparison is due.
    pub fn take_compare(&mut self, has_document: bool, now: Time) -> Vec<SocketAddrV4> {
        if self.members.is_empty() || now < self.compare_due {
            return Vec::new();
        }
        let (interval, count) = match has_document {
            true => (COMPARE_INTERVAL, 1),
            false => (self.query_interval, FANOUT),
        };
        self.compare_due = now + interval;
        self.random_members(count)
    }

    /// Returns when a push or a comparison is due, or `None` without members.
    pub fn due(&self) -> Option<Time> {
        if self.members.is_empty() {
            return None;
        }
        match self.pushes_left {
            0 => Some(self.compare_due),
            _ => Some(self.compare_due.min(self.push_due)),
        }
    }

    fn random_members(&mut self, count: usize) -> Vec<SocketAddrV4> {
        let chosen = self.members.choose_multiple(&mut self.rng, count);
        chosen.copied().collect()
    }
}
