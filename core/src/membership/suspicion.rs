//! Suspicion timers, and the rule that holds removal while many members are silent.
//!
//! The timeout follows Lifeguard (Dadgar et al., "Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection", DSN 2018): long at first, shorter with each further reporter.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Duration,
};

use super::{message::Liveness, probe::PROBE_INTERVAL, roster::Roster};
use crate::clock::Time;

/// Shortest suspicion timeout in probe intervals, per decimal logarithm of the fleet size.
const TIMEOUT_MULTIPLIER: f64 = 4.0;

/// Ratio of the longest to the shortest suspicion timeout.
const MAX_TIMEOUT_RATIO: f64 = 4.0;

/// Reporters besides the first that shorten the timeout to its minimum.
const MAX_CONFIRMATIONS: usize = 3;

/// Time for which a removed member still counts as silent.
const SILENCE_WINDOW: Duration = Duration::from_secs(60);

/// Time after which a suspected member is removed although removal is held.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(2 * 3600);

/// Number of silent members below which removal is never held.
const MIN_SILENT_MEMBERS: usize = 2;

/// Removal is held in a failure domain if more than one member in this many is silent.
const DOMAIN_DIVISOR: usize = 3;

/// Removal is held in the fleet if more than one member in this many is silent.
const FLEET_DIVISOR: usize = 4;

/// The suspicion of one member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    reporters: BTreeSet<SocketAddrV4>,
    since: Time,
    timer_start: Time,
}

/// The suspected members and their timers.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    by_member: BTreeMap<SocketAddrV4, Suspicion>,
}

impl Suspicions {
    /// Starts or confirms the suspicion of a member; returns whether the reporter is counted as
    /// new.
    pub fn add_reporter(
        &mut self,
        address: SocketAddrV4,
        reporter: SocketAddrV4,
        now: Time,
    ) -> bool {
        let suspicion = self.by_member.entry(address).or_insert_with(|| Suspicion {
            reporters: BTreeSet::new(),
            since: now,
            timer_start: now,
        });
        suspicion.reporters.len() <= MAX_CONFIRMATIONS && suspicion.reporters.insert(reporter)
    }

    /// Ends the suspicion of a member.
    pub fn clear(&mut self, address: SocketAddrV4) {
        self.by_member.remove(&address);
    }

    /// Returns whether no member is suspected.
    pub fn is_empty(&self) -> bool {
        self.by_member.is_empty()
    }

    /// Returns the suspected member with the next higher address, or the lowest after the highest.
    pub fn next_after(&self, address: SocketAddrV4) -> Option<SocketAddrV4> {
        let mut later = self.by_member.range(address..).map(|(a, _)| *a);
        let next = later.find(|a| *a != address);
        next.or_else(|| self.by_member.keys().next().copied())
    }

    /// Delays all timers by the time for which this process was frozen.
    pub fn delay_timers(&mut self, gap: Duration) {
        for suspicion in self.by_member.values_mut() {
            suspicion.since = suspicion.since + gap;
            suspicion.timer_start = suspicion.timer_start + gap;
        }
    }

    /// Restarts the timers of the members whose removal is held.
    pub fn restart_timers(&mut self, now: Time, is_held: impl Fn(SocketAddrV4) -> bool) {
        for (address, suspicion) in &mut self.by_member {
            if is_held(*address) {
                suspicion.timer_start = now;
            }
        }
    }

    /// Returns the suspected members that are due for removal, each with whether [`HOLD_TIMEOUT`]
    /// has passed.
    pub fn due(&self, fleet_size: usize, now: Time) -> Vec<(SocketAddrV4, bool)> {
        let mut due = Vec::new();
        for (address, suspicion) in &self.by_member {
            let is_hold_timeout = now.since(suspicion.since) >= HOLD_TIMEOUT;
            if is_hold_timeout
                || now.since(suspicion.timer_start)
                    >= timeout(suspicion.reporters.len(), fleet_size)
            {
                due.push((*address, is_hold_timeout));
            }
        }
        due
    }
}

/// Returns the suspicion timeout for a number of reporters and a fleet size.
pub fn timeout(reporters: usize, fleet_size: usize) -> Duration {
    let scale = (fleet_size.max(10) as f64).log10();
    let min = PROBE_INTERVAL.mul_f64(TIMEOUT_MULTIPLIER * scale);
    let others = reporters.saturating_sub(1) as f64;
    let share = ((others + 1.0).ln() / (MAX_CONFIRMATIONS as f64 + 1.0).ln()).min(1.0);
    min.mul_f64(MAX_TIMEOUT_RATIO - (MAX_TIMEOUT_RATIO - 1.0) * share)
}

/// Number of members of a failure domain or fleet, and how many of them are silent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SilentCount {
    /// Members that are live or were removed within `SILENCE_WINDOW`.
    pub members: usize,
    /// Members among them that are suspected or were removed.
    pub silent: usize,
}

impl SilentCount {
    fn exceeds_share(self, divisor: usize) -> bool {
        self.silent >= MIN_SILENT_MEMBERS && self.silent * divisor > self.members
    }
}

/// Where removal is held: in failure domains, in the whole fleet, or nowhere.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RemovalHold {
    /// Failure domains in which too many members are silent.
    pub domains: BTreeMap<String, SilentCount>,
    /// Counts of the whole fleet, if too many of its members are silent.
    pub fleet: Option<SilentCount>,
}

impl RemovalHold {
    /// Counts the silent members and returns where removal is held.
    pub fn compute(roster: &Roster, now: Time) -> Self {
        let mut domains: BTreeMap<&str, SilentCount> = BTreeMap::new();
        let mut fleet = SilentCount::default();
        for entry in roster.iter() {
            let is_recent = entry
                .gone_since
                .is_none_or(|t| now.since(t) < SILENCE_WINDOW);
            let is_recently_dead = entry.liveness == Liveness::Dead && is_recent;
            if !entry.is_live() && !is_recently_dead {
                continue;
            }
            let silent = usize::from(entry.liveness != Liveness::Alive);
            if !domains.contains_key(entry.record.domain.as_str()) {
                domains.insert(&entry.record.domain, SilentCount::default());
            }
            let domain = domains.get_mut(entry.record.domain.as_str());
            for group in domain.into_iter().chain([&mut fleet]) {
                group.members += 1;
                group.silent += silent;
            }
        }
        let held = domains
            .into_iter()
            .filter(|(_, s)| s.exceeds_share(DOMAIN_DIVISOR));
        Self {
            domains: held.map(|(name, s)| (name.to_owned(), s)).collect(),
            fleet: fleet.exceeds_share(FLEET_DIVISOR).then_some(fleet),
        }
    }

    /// Returns whether removal of the members of a failure domain is held.
    pub fn covers(&self, domain: &str) -> bool {
        self.fleet.is_some() || self.domains.contains_key(domain)
    }
}
