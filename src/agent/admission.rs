//! Admission control of one backend server: slots, connections and a short queue.
//!
//! Waiting requests start by priority, then by deadline (earliest deadline first). The queue is
//! bounded by queueing delay (compare Nichols and Jacobson, "Controlling Queue Delay", ACM Queue
//! 2012): a request that has waited for [`MAX_QUEUE_DELAY`] is refused or gets a reservation, with
//! which it starts before all requests without one. A request without a reservation is therefore
//! started or refused within that time; one with a reservation is refused only if it can't complete
//! before its deadline. The reservations keep the queue from running empty while the load
//! exceeds the server's capacity.

use std::{collections::BTreeSet, time::Duration};

use slotmap::{SlotMap, new_key_type};

use crate::clock::Time;

/// Longest time that a request waits before it is refused or gets a reservation.
pub const MAX_QUEUE_DELAY: Duration = Duration::from_millis(40);

/// Period over which refusals are counted to compute `Refusal::retry_at`.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
const MIN_RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(60);

new_key_type! {
    /// Identifies a waiting request.
    pub struct WaiterId;
}

/// A request that arrives at the admission control.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Arrival {
    /// Time until which its caller waits.
    pub deadline: Time,
    /// Priority; 0 is the highest and is refused last.
    pub priority: u8,
    /// Queue length from which a request of this type is refused, unless it precedes a waiter.
    pub queue_limit: u32,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefusalReason {
    /// All connections for feeds are in use.
    Connections,
    /// The request can't complete before its deadline.
    Deadline,
    /// A request that starts before it, or a lower capacity, displaced it from the queue.
    Evicted,
    /// The queue is full and the request precedes no waiter.
    QueueFull,
    /// It waited for [`MAX_QUEUE_DELAY`] and no slot was left to reserve.
    Overdue,
}

impl RefusalReason {
    /// Returns the reason as written to logs and replies.
    pub const fn as_str(self) -> &'static str {
        match self {
            RefusalReason::Connections => "connections",
            RefusalReason::Deadline => "deadline",
            RefusalReason::Evicted => "evicted",
            RefusalReason::QueueFull => "queue_full",
            RefusalReason::Overdue => "overdue",
        }
    }
}

/// A refusal of a request that did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Earliest time at which the caller should retry.
    pub retry_at: Time,
}

/// Result of [`Admission::try_admit`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request has a slot and may run.
    Start,
    /// The request waits in the queue.
    Wait(WaiterId),
    /// The request is refused.
    Refuse(Refusal),
}

/// A state change of a waiting request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Action {
    /// The request has a slot and may run.
    Start(WaiterId),
    /// The request is refused.
    Refuse(WaiterId, Refusal),
}

/// Measured capacity of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CapacityEstimate {
    /// Concurrency limit: requests that it can work on at once.
    pub concurrency_limit: u32,
    /// Mean service time of a request; zero if nothing has been measured.
    pub service_time: Duration,
}

/// Queue order: waiters start in ascending order, so that those with a reservation precede all
/// others.
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

/// Refusals in the current and the previous window.
#[derive(Clone, Copy, Debug, Default)]
struct RefusalCount {
    window_end: Time,
    current: u32,
    previous: u32,
}

/// Admission control of one backend server.
#[derive(Debug)]
pub struct Admission {
    max_feeds: u32,
    feeds: u32,
    queue: BTreeSet<(Rank, WaiterId)>,
    capacity: CapacityEstimate,
    refusals: RefusalCount,
    reserved_slots: u32,
    running: u32,
    sequence: u64,
    waiters: SlotMap<WaiterId, Waiter>,
}

impl Admission {
    /// Creates the admission control of an idle server; feeds get the connections beyond `slots`.
    pub fn new(slots: u32, connections: u32) -> Self {
        Self {
            max_feeds: connections.saturating_sub(slots),
            feeds: 0,
            queue: BTreeSet::new(),
            capacity: CapacityEstimate {
                concurrency_limit: slots.max(1),
                service_time: Duration::ZERO,
            },
            refusals: RefusalCount::default(),
            reserved_slots: 0,
            running: 0,
            sequence: 0,
            waiters: SlotMap::with_key(),
        }
    }

    /// Returns the number of requests that hold a slot.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Returns the number of feeds that hold a connection.
    pub fn feeds(&self) -> u32 {
        self.feeds
    }

    /// Returns running plus waiting requests relative to the concurrency limit, in thousandths; may
    /// exceed 1000.
    pub fn pressure(&self) -> u32 {
        let demand = self.running as usize + self.queue.len();
        (demand * 1000 / self.capacity.concurrency_limit as usize) as u32
    }

    /// Returns whether a request would get a slot at once.
    pub fn has_free_slot(&self) -> bool {
        self.running < self.capacity.concurrency_limit && self.queue.is_empty()
    }

    /// Returns whether a request of this priority would get a slot at once or precede a waiter
    /// without a reservation by its priority alone.
    pub fn has_room(&self, priority: u8) -> bool {
        let last = self.queue.last().map(|(rank, _)| rank);
        self.has_free_slot() || last.is_some_and(|l| l.unreserved && l.priority > priority)
    }

    /// Updates the measured capacity; the concurrency limit is at least 1.
    pub fn set_capacity(&mut self, capacity: CapacityEstimate) {
        self.capacity = capacity;
        self.capacity.concurrency_limit = capacity.concurrency_limit.max(1);
    }

    /// Starts, queues or refuses a request.
    ///
    /// The request may displace a waiter or delay it beyond its deadline; [`Admission::poll`] then
    /// refuses that waiter.
    pub fn try_admit(&mut self, arrival: &Arrival, now: Time) -> AdmissionDecision {
        if now >= arrival.deadline {
            return AdmissionDecision::Refuse(self.record_refusal(RefusalReason::Deadline, now));
        }
        if self.has_free_slot() {
            self.running += 1;
            return AdmissionDecision::Start;
        }
        let rank = self.next_rank(arrival);
        let ahead = self.queue.iter().take_while(|(r, _)| *r < rank).count();
        if now + self.completion_delay(ahead) > arrival.deadline {
            return AdmissionDecision::Refuse(self.record_refusal(RefusalReason::Deadline, now));
        }
        let max_waiting = self.max_waiting().min(arrival.queue_limit as usize);
        let precedes_last = self.queue.last().is_some_and(|(last, _)| *last > rank);
        if self.queue.len() >= max_waiting && !precedes_last {
            return AdmissionDecision::Refuse(self.record_refusal(RefusalReason::QueueFull, now));
        }
        let id = self.waiters.insert(Waiter { arrived: now, rank });
        self.queue.insert((rank, id));
        AdmissionDecision::Wait(id)
    }

    /// Admits a feed, which holds a connection instead of a slot.
    ///
    /// # Errors
    ///
    /// Returns a refusal if all connections for feeds are in use.
    pub fn open_feed(&mut self, now: Time) -> Result<(), Refusal> {
        if self.feeds >= self.max_feeds {
            return Err(self.record_refusal(RefusalReason::Connections, now));
        }
        self.feeds += 1;
        Ok(())
    }

    /// Releases the connection of a feed that has ended.
    pub fn close_feed(&mut self) {
        self.feeds = self.feeds.saturating_sub(1);
    }

    /// Releases the slot of a request that has ended.
    pub fn release_slot(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a waiting request whose caller has cancelled it.
    pub fn cancel(&mut self, id: WaiterId) {
        self.remove(id);
    }

    /// Starts and refuses waiting requests; must be called after each other change of the state and
    /// at the time of [`Admission::next_poll`].
    pub fn poll(&mut self, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.start_waiters(now, &mut actions);
        self.refuse_unreachable_deadlines(now, &mut actions);
        self.evict_excess(now, &mut actions);
        self.reserve_or_refuse_overdue(now, &mut actions);
        actions
    }

    /// Returns the time at which [`Admission::poll`] is due if the state does not change before.
    pub fn next_poll(&self) -> Option<Time> {
        let due = self.waiters.values().map(|waiter| {
            if waiter.rank.unreserved {
                (waiter.arrived + MAX_QUEUE_DELAY).min(waiter.rank.deadline)
            } else {
                waiter.rank.deadline
            }
        });
        due.min()
    }

    fn start_waiters(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.running < self.capacity.concurrency_limit {
            let Some((rank, id)) = self.queue.first().copied() else {
                return;
            };
            self.remove(id);
            if now >= rank.deadline {
                let refusal = self.record_refusal(RefusalReason::Deadline, now);
                actions.push(Action::Refuse(id, refusal));
                continue;
            }
            self.running += 1;
            actions.push(Action::Start(id));
        }
    }

    /// Refuses waiters that can't complete before their deadline.
    fn refuse_unreachable_deadlines(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut refused_ids = Vec::new();
        let mut ahead = 0;
        for (rank, id) in &self.queue {
            if now + self.completion_delay(ahead) > rank.deadline {
                refused_ids.push(*id);
                continue;
            }
            ahead += 1;
        }
        for id in refused_ids {
            self.refuse(id, RefusalReason::Deadline, now, actions);
        }
    }

    /// Evicts the waiters that start last while the queue is too long; reservations are kept.
    fn evict_excess(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.queue.len() > self.max_waiting() {
            let Some((rank, id)) = self.queue.last().copied() else {
                return;
            };
            if !rank.unreserved {
                return;
            }
            self.refuse(id, RefusalReason::Evicted, now, actions);
        }
    }

    /// Reserves a slot for waiters that have reached [`MAX_QUEUE_DELAY`], or refuses them.
    fn reserve_or_refuse_overdue(&mut self, now: Time, actions: &mut Vec<Action>) {
        let mut overdue = Vec::new();
        for (rank, id) in &self.queue {
            if rank.unreserved && now >= self.waiters[*id].arrived + MAX_QUEUE_DELAY {
                overdue.push(*id);
            }
        }
        for id in overdue {
            if self.reserved_slots >= self.capacity.concurrency_limit {
                self.refuse(id, RefusalReason::Overdue, now, actions);
                continue;
            }
            self.reserve(id);
        }
    }

    fn reserve(&mut self, id: WaiterId) {
        let waiter = &mut self.waiters[id];
        self.queue.remove(&(waiter.rank, id));
        waiter.rank.unreserved = false;
        self.queue.insert((waiter.rank, id));
        self.reserved_slots += 1;
    }

    fn refuse(
        &mut self,
        id: WaiterId,
        reason: RefusalReason,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        self.remove(id);
        let refusal = self.record_refusal(reason, now);
        actions.push(Action::Refuse(id, refusal));
    }

    fn remove(&mut self, id: WaiterId) {
        let Some(waiter) = self.waiters.remove(id) else {
            return;
        };
        self.queue.remove(&(waiter.rank, id));
        self.reserved_slots -= u32::from(!waiter.rank.unreserved);
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

    /// Returns the expected time until a request with `ahead` waiters before it has completed.
    fn completion_delay(&self, ahead: usize) -> Duration {
        self.slot_delay(ahead as u32 + 1) + self.capacity.service_time
    }

    /// Returns the expected time until this number of slots has become free.
    fn slot_delay(&self, slots: u32) -> Duration {
        self.capacity.service_time * slots / self.capacity.concurrency_limit
    }

    /// Returns the number of requests that can start within [`MAX_QUEUE_DELAY`], at least the
    /// concurrency limit.
    fn max_waiting(&self) -> usize {
        let service_us = self.capacity.service_time.as_micros();
        let concurrency_limit = self.capacity.concurrency_limit as usize;
        if service_us == 0 {
            return concurrency_limit;
        }
        let startable = MAX_QUEUE_DELAY.as_micros() * concurrency_limit as u128 / service_us;
        (startable as usize).max(concurrency_limit)
    }

    /// Counts a refusal and returns it; `retry_at` is when the server could have served the
    /// recently refused and the waiting requests, within the bounds of the retry delay.
    fn record_refusal(&mut self, reason: RefusalReason, now: Time) -> Refusal {
        self.refusals.record(now);
        let backlog = self.refusals.per_window() + self.queue.len() as u32;
        let delay = self.slot_delay(backlog);
        let delay = delay.clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
        Refusal {
            reason,
            retry_at: now + delay,
        }
    }
}

impl RefusalCount {
    fn record(&mut self, now: Time) {
        if now >= self.window_end {
            let is_adjacent = now < self.window_end + REFUSAL_WINDOW;
            self.previous = if is_adjacent { self.current } else { 0 };
            self.current = 0;
            self.window_end = now + REFUSAL_WINDOW;
        }
        self.current += 1;
    }

    /// Returns the refusals per window: the current count, or the previous one until it is
    /// exceeded.
    fn per_window(&self) -> u32 {
        self.current.max(self.previous)
    }
}
