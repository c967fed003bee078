//! Admission of requests to one backend server: slots, connections and a short queue.
//!
//! Waiting requests start by priority, then by deadline (earliest deadline first). The queue is
//! bounded by the time that it needs (compare Nichols and Jacobson, "Controlling Queue Delay", ACM
//! Queue 2012): a request that is still waiting after [`QUEUE_TIME`] gets one of the next slots for
//! certain, or is refused. A refusal therefore never comes late, and the queue never runs empty
//! while there is more work than the server can carry.

use std::{collections::BTreeSet, time::Duration};

use slotmap::{SlotMap, new_key_type};

use crate::clock::Time;

/// Longest time that a request waits before it is refused or gets one of the next slots.
pub const QUEUE_TIME: Duration = Duration::from_millis(40);

/// Span over which refusals are counted for the Retry-After of the next ones.
const REFUSAL_SPAN: Duration = Duration::from_secs(1);
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

new_key_type! {
    /// A waiting request.
    pub struct WaiterId;
}

/// A request that asks for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Point at which its caller gives up.
    pub deadline: Time,
    /// Rank under overload: 0 is refused last.
    pub priority: u8,
    /// Requests that may wait when one of this type arrives.
    pub queue: u32,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Reason {
    /// All connections of the backend server are in use.
    Connections,
    /// It can't end before its deadline.
    Deadline,
    /// A request of higher priority took its place in the queue.
    Evicted,
    /// The queue is full.
    Full,
    /// No slot became free for it in time.
    Overdue,
}

impl Reason {
    /// Returns the reason for the logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Reason::Connections => "connections",
            Reason::Deadline => "deadline",
            Reason::Evicted => "evicted",
            Reason::Full => "queue_full",
            Reason::Overdue => "overdue",
        }
    }
}

/// A refusal: the request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: Reason,
    /// Point from which another attempt is worth while.
    pub retry_at: Time,
}

/// The answer to an arrival.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It has a slot.
    Start,
    /// It waits for a slot.
    Wait(WaiterId),
    /// It is refused.
    Refuse(Refusal),
}

/// What becomes of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// It has a slot.
    Start(WaiterId),
    /// It is refused.
    Refuse(WaiterId, Refusal),
}

/// What the backend server can carry, as measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pace {
    /// Requests that it works on at once.
    pub limit: u32,
    /// Mean time in service; zero while it is not known.
    pub service: Duration,
}

/// Order in which waiting requests start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    unreserved: bool,
    priority: u8,
    deadline: Time,
    sequence: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    arrived: Time,
    rank: Rank,
}

/// Refusals of the current and of the last span.
#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    until: Time,
    current: u32,
    last: u32,
}

/// The slots, the connections and the queue of one backend server.
#[derive(Debug)]
pub struct Admission {
    connections: u32,
    feeds: u32,
    order: BTreeSet<(Rank, WaiterId)>,
    pace: Pace,
    refused: RefusalCount,
    reserved: u32,
    running: u32,
    sequence: u64,
    waiters: SlotMap<WaiterId, Waiter>,
}

impl Admission {
    /// Returns the admission of an idle server with its slots and connections.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self {
            connections: connections.saturating_sub(slots),
            feeds: 0,
            order: BTreeSet::new(),
            pace: Pace {
                limit: slots.max(1),
                service: Duration::ZERO,
            },
            refused: RefusalCount::default(),
            reserved: 0,
            running: 0,
            sequence: 0,
            waiters: SlotMap::with_key(),
        }
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.order.len()
    }

    /// Returns the number of feeds that hold a connection.
    pub fn feeds(&self) -> u32 {
        self.feeds
    }

    /// Returns the share of the slots that is in use or waited for, in thousandths.
    pub fn pressure(&self) -> u32 {
        let wanted = self.running as usize + self.order.len();
        (wanted * 1000 / self.pace.limit as usize) as u32
    }

    /// Returns whether a request that arrives now gets a slot at once.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.pace.limit && self.order.is_empty()
    }

    /// Returns whether a request would get a slot at once, or the place of one of lower priority.
    pub fn has_room(&self, priority: u8) -> bool {
        let last = self.order.last().map(|(rank, _)| rank);
        self.has_free_slot() || last.is_some_and(|l| l.unreserved && l.priority > priority)
    }

    /// Sets what the server can carry.
    pub fn set_pace(&mut self, pace: Pace) {
        self.pace = pace;
        self.pace.limit = pace.limit.max(1);
    }

    /// Decides on a request that arrives; [`Admission::poll`] tells what becomes of the others.
    pub fn arrive(&mut self, arrival: &Arrival, now: Time) -> Verdict {
        if now >= arrival.deadline {
            return Verdict::Refuse(self.refusal(Reason::Deadline, now));
        }
        if self.has_free_slot() {
            self.running += 1;
            return Verdict::Start;
        }
        let rank = self.next_rank(arrival);
        let ahead = self.order.iter().take_while(|(r, _)| *r < rank).count();
        if now + self.time_to_end(ahead) > arrival.deadline {
            return Verdict::Refuse(self.refusal(Reason::Deadline, now));
        }
        let bound = self.max_waiting().min(arrival.queue as usize);
        let outranked = self.order.last().is_some_and(|(last, _)| *last > rank);
        if self.order.len() >= bound && !outranked {
            return Verdict::Refuse(self.refusal(Reason::Full, now));
        }
        let id = self.waiters.insert(Waiter { arrived: now, rank });
        self.order.insert((rank, id));
        Verdict::Wait(id)
    }

    /// Decides on a feed, which holds a connection instead of a slot.
    ///
    /// # Errors
    ///
    /// Returns the refusal if all connections are in use.
    pub fn open_feed(&mut self, now: Time) -> Result<(), Refusal> {
        if self.feeds >= self.connections {
            return Err(self.refusal(Reason::Connections, now));
        }
        self.feeds += 1;
        Ok(())
    }

    /// Frees the connection of a feed.
    pub fn close_feed(&mut self) {
        self.feeds = self.feeds.saturating_sub(1);
    }

    /// Frees the slot of a request that has ended.
    pub fn finish(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Forgets a waiting request whose caller is gone.
    pub fn cancel(&mut self, id: WaiterId) {
        self.remove(id);
    }

    /// Returns what becomes of waiting requests; to be called after each event.
    pub fn poll(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start_waiters(now, &mut actions);
        self.refuse_hopeless(now, &mut actions);
        self.shed_overflow(now, &mut actions);
        self.settle_overdue(now, &mut actions);
        actions
    }

    /// Returns the point at which [`Admission::poll`] has to be called without an event.
    pub fn next_poll(&self) -> Option<Time> {
        let due = self.waiters.values().map(|waiter| {
            if waiter.rank.unreserved {
                (waiter.arrived + QUEUE_TIME).min(waiter.rank.deadline)
            } else {
                waiter.rank.deadline
            }
        });
        due.min()
    }

    fn start_waiters(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.running < self.pace.limit {
            let Some((rank, id)) = self.order.first().copied() else {
                return;
            };
            self.remove(id);
            if now >= rank.deadline {
                let refusal = self.refusal(Reason::Deadline, now);
                actions.push(Action::Refuse(id, refusal));
                continue;
            }
            self.running += 1;
            actions.push(Action::Start(id));
        }
    }

    /// Refuses waiters that can't end before their deadline.
    fn refuse_hopeless(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut hopeless = Vec::new();
        let mut ahead = 0;
        for (rank, id) in &self.order {
            if now + self.time_to_end(ahead) > rank.deadline {
                hopeless.push(*id);
                continue;
            }
            ahead += 1;
        }
        for id in hopeless {
            self.refuse(id, Reason::Deadline, now, actions);
        }
    }

    /// Refuses the lowest ranks of a queue that is too long.
    fn shed_overflow(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.order.len() > self.max_waiting() {
            let Some((rank, id)) = self.order.last().copied() else {
                return;
            };
            if !rank.unreserved {
                return;
            }
            self.refuse(id, Reason::Evicted, now, actions);
        }
    }

    /// Gives those that have waited long enough one of the next slots, or refuses them.
    fn settle_overdue(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut overdue = Vec::new();
        for (rank, id) in &self.order {
            if rank.unreserved && now >= self.waiters[*id].arrived + QUEUE_TIME {
                overdue.push(*id);
            }
        }
        for id in overdue {
            if self.reserved >= self.pace.limit {
                self.refuse(id, Reason::Overdue, now, actions);
                continue;
            }
            self.reserve(id);
        }
    }

    fn reserve(&mut self, id: WaiterId) {
        let waiter = &mut self.waiters[id];
        self.order.remove(&(waiter.rank, id));
        waiter.rank.unreserved = false;
        self.order.insert((waiter.rank, id));
        self.reserved += 1;
    }

    fn refuse(&mut self, id: WaiterId, reason: Reason, now: Time, actions: &mut Vec<Action>) {
        self.remove(id);
        let refusal = self.refusal(reason, now);
        actions.push(Action::Refuse(id, refusal));
    }

    fn remove(&mut self, id: WaiterId) {
        let Some(waiter) = self.waiters.remove(id) else {
            return;
        };
        self.order.remove(&(waiter.rank, id));
        self.reserved -= u32::from(!waiter.rank.unreserved);
    }

    fn next_rank(&mut self, arrival: &Arrival) -> Rank {
        self.sequence += 1;
        Rank {
            unreserved: true,
            priority: arrival.priority,
            deadline: arrival.deadline,
            sequence: self.sequence,
        }
    }

    /// Returns the time to the end of a request with `ahead` others before it in the queue.
    fn time_to_end(&self, ahead: usize) -> Duration {
        self.time_for(ahead as u32 + 1) + self.pace.service
    }

    /// Returns the time in which a number of slots becomes free.
    fn time_for(&self, requests: u32) -> Duration {
        self.pace.service * requests / self.pace.limit
    }

    /// Returns the number of requests that start within [`QUEUE_TIME`], at least one a slot.
    fn max_waiting(&self) -> usize {
        let service = self.pace.service.as_micros();
        let limit = self.pace.limit as usize;
        if service == 0 {
            return limit;
        }
        let within = QUEUE_TIME.as_micros() * limit as u128 / service;
        (within as usize).max(limit)
    }

    /// Returns a refusal whose Retry-After is the time that the server needs for what was refused
    /// of late and for what waits.
    fn refusal(&mut self, reason: Reason, now: Time) -> Refusal {
        self.refused.count(now);
        let backlog = self.refused.recent() + self.order.len() as u32;
        let wait = self.time_for(backlog);
        let wait = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Refusal {
            reason,
            retry_at: now + wait,
        }
    }
}

impl RefusalCount {
    fn count(&mut self, now: Time) {
        if now >= self.until {
            let recent = now < self.until + REFUSAL_SPAN;
            self.last = if recent { self.current } else { 0 };
            self.current = 0;
            self.until = now + REFUSAL_SPAN;
        }
        self.current += 1;
    }

    fn recent(&self) -> u32 {
        self.current.max(self.last)
    }
}
