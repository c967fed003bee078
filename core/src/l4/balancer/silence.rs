//! Agents that do not answer, and the proof that they are absent.
//!
//! Two unanswered queries tell nothing about the time between them: an agent that is restarted twice is
//! silent twice and alive in between. So a silent agent is queried again and again, at intervals shorter
//! than any planned life of an agent, and counts as absent only if it has answered none of the queries for
//! [`ABSENCE_TIME`]. Any message of the agent, and any newer record that the membership has of it, ends the
//! silence. A gap between the queries, as after a freeze of this process, starts it anew.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    fmt::{self, Display, Formatter},
    net::SocketAddrV4,
    time::Duration,
};

use super::{Balancer, Timers, idle_timeout, pop_due, search::query::QUERY_BYTES};
use crate::{
    clock::Time,
    consts::LEAVE_ANNOUNCE_DELAY,
    l4::{outbox::Outbox, segment::Codec},
};

/// Time for which an agent has to leave all queries unanswered before it counts as absent. A planned
/// restart of an agent whose backend server keeps running is shorter.
const ABSENCE_TIME: Duration = Duration::from_millis(3500);

/// Interval of the queries to a silent agent.
pub(super) const QUERY_INTERVAL: Duration = Duration::from_millis(120);

/// Longest time between two queries that count as one series.
const MAX_QUERY_GAP: Duration = Duration::from_millis(250);

// An agent that is stopped as planned answers until it ends, so each of its lives gets a query, and two of
// them as long as this process is not delayed.
const _: () = assert!(MAX_QUERY_GAP.as_millis() < LEAVE_ANNOUNCE_DELAY.as_millis());
const _: () = assert!(2 * QUERY_INTERVAL.as_millis() < LEAVE_ANNOUNCE_DELAY.as_millis());

/// Number of silent agents up to which those that the membership suspects are queried before a search needs
/// it. As the budget counts them, their queries take 10 KB a second, what a daemon may spend on control.
const MAX_QUERIED_SUSPECTS: usize = 12;

/// A series of unanswered queries to one agent.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// When the series began.
    since: Time,
    /// When the last query was sent.
    queried_at: Time,
    /// When the next query is sent.
    due: Time,
    /// Number of queries since `since`.
    queries: u32,
    /// When the agent is no longer queried: the idle timeout of flows after the last search that missed its
    /// reply. A flow that it held is searched for or idle until then.
    needed_until: Time,
}

impl Silence {
    fn starts(now: Time, due: Time, needed_until: Time) -> Self {
        Self {
            since: now,
            queried_at: now,
            due,
            queries: 0,
            needed_until,
        }
    }

    /// Returns whether the series is unbroken until now.
    fn is_current(&self, now: Time) -> bool {
        now.since(self.queried_at) <= MAX_QUERY_GAP
    }
}

/// What shows that an agent is absent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    pub(super) agent: SocketAddrV4,
    /// Time for which the agent has not answered.
    silent: Duration,
    /// Number of queries in this time.
    queries: u32,
}

impl Display for Absence {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let silent_ms = self.silent.as_millis();
        write!(f, "{}/{silent_ms}ms/{}q", self.agent, self.queries)
    }
}

/// The agents that have left a search without an answer and are queried since.
#[derive(Clone, Debug, Default)]
pub(super) struct Silences {
    agents: BTreeMap<SocketAddrV4, Silence>,
    /// When agents are due. The timers of silences that have ended stay until they are due.
    timers: Timers<SocketAddrV4>,
}

impl Silences {
    /// Returns when an agent has to be queried next, or `None` if none is silent.
    pub(super) fn due(&self) -> Option<Time> {
        self.timers.peek().map(|Reverse((due, _))| *due)
    }

    /// Has an agent queried from `silence.due` until `silence.needed_until`. If it is not queried yet and
    /// `limit` others are, it is left out, and does not count as absent.
    fn add(&mut self, agent: SocketAddrV4, silence: Silence, limit: usize) {
        if let Some(known) = self.agents.get_mut(&agent) {
            known.needed_until = silence.needed_until;
        } else if self.agents.len() < limit {
            tracing::info!(event = "agent_silence_started", %agent);
            self.timers.push(Reverse((silence.due, agent)));
            self.agents.insert(agent, silence);
        }
    }

    /// Returns until when an agent is queried, or `None` if it is not due.
    fn needed_until(&self, agent: SocketAddrV4, now: Time) -> Option<Time> {
        let silence = self.agents.get(&agent)?;
        (now >= silence.due).then_some(silence.needed_until)
    }

    /// Records that an agent is queried. Returns what shows its absence if it counts as absent from this
    /// query on.
    fn record_query(&mut self, agent: SocketAddrV4, now: Time) -> Option<Absence> {
        let silence = self.agents.get_mut(&agent)?;
        if !silence.is_current(now) {
            let gap_ms = now.since(silence.queried_at).as_millis() as u64;
            tracing::info!(event = "agent_silence_restarted", %agent, gap_ms);
            *silence = Silence::starts(now, now, silence.needed_until);
        }
        let was_absent = silence.queried_at.since(silence.since) >= ABSENCE_TIME;
        silence.queries += 1;
        silence.queried_at = now;
        silence.due = now + QUERY_INTERVAL;
        self.timers.push(Reverse((silence.due, agent)));
        match was_absent {
            true => None,
            false => self.absence(agent, now),
        }
    }

    /// Ends the silence of an agent that is known to live.
    pub(super) fn end(&mut self, agent: SocketAddrV4, reason: &'static str, now: Time) {
        let Some(silence) = self.agents.remove(&agent) else {
            return;
        };
        tracing::info!(
            event = "agent_silence_ended",
            %agent,
            reason,
            silent_ms = now.since(silence.since).as_millis() as u64,
            queries = silence.queries,
        );
    }

    /// Returns whether an agent has been silent since before a time.
    pub(super) fn is_older(&self, agent: SocketAddrV4, time: Time) -> bool {
        let silence = self.agents.get(&agent);
        silence.is_some_and(|silence| silence.since < time)
    }

    /// Returns what shows that an agent is absent, or `None` if it may live.
    pub(super) fn absence(&self, agent: SocketAddrV4, now: Time) -> Option<Absence> {
        let silence = self.agents.get(&agent)?;
        let silent = now.since(silence.since);
        let is_absent = silent >= ABSENCE_TIME && silence.is_current(now);
        is_absent.then_some(Absence {
            agent,
            silent,
            queries: silence.queries,
        })
    }
}

impl<C: Codec> Balancer<C> {
    /// Records that an agent has not answered a query of a search.
    pub(super) fn record_unanswered(&mut self, agent: SocketAddrV4, now: Time) {
        let limit = self.max_silent_agents();
        self.watch(agent, now + QUERY_INTERVAL, limit, now);
    }

    /// Has an agent queried that was declared dead.
    pub(super) fn record_dead(&mut self, agent: SocketAddrV4, now: Time) {
        let limit = self.max_silent_agents();
        self.watch(agent, now, limit, now);
    }

    /// Has an agent queried that the membership suspects, so that its flows are reset soon if it is declared
    /// dead. A daemon's budget for control allows few.
    pub(super) fn record_suspected(&mut self, agent: SocketAddrV4, now: Time) {
        self.watch(agent, now, MAX_QUERIED_SUSPECTS, now);
    }

    fn watch(&mut self, agent: SocketAddrV4, due: Time, limit: usize, now: Time) {
        let needed_until = now + idle_timeout(&self.routes);
        let silence = Silence::starts(now, due, needed_until);
        self.silences.add(agent, silence, limit);
    }

    /// Returns the number of silent agents up to which the queries to them take half of the budget of
    /// searches.
    fn max_silent_agents(&self) -> usize {
        self.budget.half_count(QUERY_BYTES, QUERY_INTERVAL)
    }

    /// Queries the silent agents that are due, and forgets those that have left or that no search needs any
    /// more.
    pub(super) fn query_silent_agents(&mut self, now: Time, out: &mut impl Outbox) {
        while let Some(agent) = pop_due(&mut self.silences.timers, now) {
            let Some(needed_until) = self.silences.needed_until(agent, now) else {
                continue;
            };
            let is_owner = !self.fleet.has_left(agent) || self.dead_agents.contains(agent);
            if !is_owner || now >= needed_until {
                self.silences.agents.remove(&agent);
                continue;
            }
            self.budget.charge(QUERY_BYTES);
            self.send_probe(agent, out);
            let Some(absence) = self.silences.record_query(agent, now) else {
                continue;
            };
            self.metrics.absent_agents.inc();
            tracing::info!(
                event = "agent_absent",
                %agent,
                silent_ms = absence.silent.as_millis() as u64,
                queries = absence.queries,
            );
        }
        let count = self.silences.agents.len();
        self.metrics.silent_agents.set(count as i64);
    }
}
