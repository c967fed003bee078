//! Timers of suspected members, and the rule that stops removal at mass silence.
//!
//! The timer follows Lifeguard (Dadgar et al., "Lifeguard: Local Health Awareness for More Accurate
//! Failure Detection", DSN 2018): long at first, shorter with each independent accuser.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddrV4,
    time::Duration,
};

use super::{message::Verdict, probe::PROBE_INTERVAL, roster::Roster};
use crate::clock::Time;

/// Probe intervals from suspicion to removal, times the decimal logarithm of the fleet's size.
const MIN_INTERVALS: f64 = 4.0;

/// Ratio of the longest to the shortest timer.
const MAX_RATIO: f64 = 4.0;

/// Independent accusers that shorten the timer to its minimum.
const ACCUSERS: usize = 3;

/// Time for which a removed member still counts as silent.
const SILENCE_WINDOW: Duration = Duration::from_secs(60);

/// Time after which a silent member is removed although removal has stopped.
pub const HOLD_LIMIT: Duration = Duration::from_secs(2 * 3600);

/// Silent members of a failure domain below which removal never stops.
const MIN_SILENT: usize = 2;

/// Share of a failure domain, as a divisor, that falls silent before removal stops.
const DOMAIN_DIVISOR: usize = 3;

/// Share of the fleet, as a divisor, that falls silent before removal stops.
const FLEET_DIVISOR: usize = 4;

/// The timer of one suspected member.
#[derive(Clone, Debug)]
pub struct Suspicion {
    accusers: BTreeSet<SocketAddrV4>,
    since: Time,
    timer: Time,
}

/// All suspected members.
#[derive(Clone, Debug, Default)]
pub struct Suspicions {
    timers: BTreeMap<SocketAddrV4, Suspicion>,
}

impl Suspicions {
    /// Starts or confirms the suspicion of a member; returns whether the accuser is a new one.
    pub fn accuse(&mut self, address: SocketAddrV4, accuser: SocketAddrV4, now: Time) -> bool {
        let timer = self.timers.entry(address).or_insert_with(|| Suspicion {
            accusers: BTreeSet::new(),
            since: now,
            timer: now,
        });
        timer.accusers.len() <= ACCUSERS && timer.accusers.insert(accuser)
    }

    /// Ends the suspicion of a member.
    pub fn clear(&mut self, address: SocketAddrV4) {
        self.timers.remove(&address);
    }

    /// Returns whether any member is suspected.
    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    /// Returns the suspected member that follows another in the order of addresses.
    pub fn after(&self, address: SocketAddrV4) -> Option<SocketAddrV4> {
        let mut later = self.timers.range(address..).map(|(a, _)| *a);
        let next = later.find(|a| *a != address);
        next.or_else(|| self.timers.keys().next().copied())
    }

    /// Moves all timers by the time in which this process stood still.
    pub fn shift(&mut self, gap: Duration) {
        for timer in self.timers.values_mut() {
            timer.since = timer.since + gap;
            timer.timer = timer.timer + gap;
        }
    }

    /// Starts the timers anew of members that may not be removed now.
    pub fn hold(&mut self, now: Time, covers: impl Fn(SocketAddrV4) -> bool) {
        for (address, timer) in &mut self.timers {
            if covers(*address) {
                timer.timer = now;
            }
        }
    }

    /// Returns the members whose timer or hold limit is over, and whether it is the limit.
    pub fn due(&self, fleet: usize, now: Time) -> Vec<(SocketAddrV4, bool)> {
        let mut due = Vec::new();
        for (address, timer) in &self.timers {
            let expired = now.since(timer.since) >= HOLD_LIMIT;
            if expired || now.since(timer.timer) >= timeout(timer.accusers.len(), fleet) {
                due.push((*address, expired));
            }
        }
        due
    }
}

/// Returns the time from suspicion to removal.
pub fn timeout(accusers: usize, fleet: usize) -> Duration {
    let scale = (fleet.max(10) as f64).log10();
    let min = PROBE_INTERVAL.mul_f64(MIN_INTERVALS * scale);
    let others = accusers.saturating_sub(1) as f64;
    let share = ((others + 1.0).ln() / (ACCUSERS as f64 + 1.0).ln()).min(1.0);
    min.mul_f64(MAX_RATIO - (MAX_RATIO - 1.0) * share)
}

/// Members of a group, and how many of them are silent.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Silence {
    /// Members that are alive, silent, or removed lately.
    pub members: usize,
    /// Those that are silent or were removed lately.
    pub silent: usize,
}

impl Silence {
    fn is_mass(self, divisor: usize) -> bool {
        self.silent >= MIN_SILENT && self.silent * divisor > self.members
    }
}

/// Where removal has stopped.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Hold {
    /// Failure domains in which too many members are silent.
    pub domains: BTreeMap<String, Silence>,
    /// Silence of the whole fleet, if it is too much.
    pub fleet: Option<Silence>,
}

impl Hold {
    /// Counts the silent members and returns where removal stops.
    pub fn compute(roster: &Roster, now: Time) -> Self {
        let mut domains: BTreeMap<&str, Silence> = BTreeMap::new();
        let mut fleet = Silence::default();
        for entry in roster.iter() {
            let recent = entry.retired.is_none_or(|t| now.since(t) < SILENCE_WINDOW);
            let gone = entry.verdict == Verdict::Dead && recent;
            if !entry.is_live() && !gone {
                continue;
            }
            let silent = usize::from(entry.verdict != Verdict::Alive);
            if !domains.contains_key(entry.record.domain.as_str()) {
                domains.insert(&entry.record.domain, Silence::default());
            }
            let domain = domains.get_mut(entry.record.domain.as_str());
            for group in domain.into_iter().chain([&mut fleet]) {
                group.members += 1;
                group.silent += silent;
            }
        }
        let mass = domains
            .into_iter()
            .filter(|(_, s)| s.is_mass(DOMAIN_DIVISOR));
        Self {
            domains: mass.map(|(name, s)| (name.to_owned(), s)).collect(),
            fleet: fleet.is_mass(FLEET_DIVISOR).then_some(fleet),
        }
    }

    /// Returns whether a member of a failure domain may not be removed.
    pub fn covers(&self, domain: &str) -> bool {
        self.fleet.is_some() || self.domains.contains_key(domain)
    }
}
