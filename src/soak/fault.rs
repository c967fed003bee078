//! What goes wrong in a run of the soak, and when.

use std::{collections::BTreeMap, fmt, time::Duration};

use berylvalve_core::clock::Time;
use rand::{Rng, rngs::SmallRng};
use serde::Serialize;

use super::{
    place::{Place, Size},
    proxy::LinkFault,
    roll::{MAX_ONE_BY_ONE, ROLL_GAP, Roll},
};

/// Shortest and longest pause between the starts of two faults, in milliseconds; most last longer, so
/// that they overlap.
const GAP_MS: std::ops::Range<u64> = 200..1_600;

/// Time in which anything may happen, and time in which only planned changes do, in turn: flows are
/// judged from 4 s after the last unplanned disturbance on.
const ROUGH_MS: u64 = 5_000;
const PLANNED_MS: u64 = 14_000;

/// Shortest and longest time for which a process is paused or a link is disturbed, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 300..4_000;

/// Fewest and most stops of a process that is stopped several times in a row.
const SERIES_STOPS: std::ops::RangeInclusive<u32> = 2..=8;

/// Shortest and longest delay of a disturbed link, in milliseconds.
const DELAY_MS: std::ops::Range<u64> = 20..600;

/// One fault or planned change.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub enum Fault {
    /// A process is stopped as planned, and started again; with a second SIGTERM on its way.
    Restart(Place),
    /// A process is stopped as planned so many times in a row, each time soon after its start.
    Series(Place, u32),
    /// Processes of a role are stopped and started in turn.
    Roll(Roll),
    /// A process is told that its settings may have changed.
    Reload(Place),
    /// A process is killed.
    Kill(Place),
    /// All processes are killed.
    KillAll,
    /// A process stands still.
    Pause(Place, Duration),
    /// The way from a process to the store is disturbed.
    StoreLink(Place, Link, Duration),
    /// The ways from all processes to the store are disturbed.
    AllStoreLinks(Link, Duration),
    /// The store refuses all calls.
    StoreBusy(Duration),
    /// The store does what it is asked without an answer.
    StoreMute(Duration),
    /// The store forgets the history of its changes.
    StoreForgets,
    /// All leases end, unseen by their holders.
    LeasesEnd,
    /// Datagrams of callers to a balancer are lost or late.
    CallerLink(usize, Link, Duration),
    /// A backend server ends without a word, and starts again.
    ServerCrash(usize, Duration),
    /// A backend server leaves as planned, and starts again.
    ServerDrain(usize),
    /// A backend server works slowly from now on.
    ServerSlow(usize),
    /// The config gets another address.
    AddRoute,
    /// The config loses the address that was added last.
    DropRoute,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Restart(place) => write!(f, "{place} restarts"),
            Fault::Series(place, stops) => write!(f, "{place} restarts {stops} times in a row"),
            Fault::Roll(roll) => write!(f, "{roll}"),
            Fault::AllStoreLinks(link, time) => {
                write!(f, "all ways to the store are {link} for {time:?}")
            }
            other => write!(f, "{other:?}"),
        }
    }
}

/// What happens on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub enum Link {
    /// All is late.
    Delayed(Duration),
    /// Connections are closed, datagrams lost.
    Reset,
    /// Only one direction works.
    OneWay,
    /// Nothing passes.
    Silent,
}

impl fmt::Display for Link {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Link::Delayed(time) => write!(f, "late by {time:?}"),
            Link::Reset => f.write_str("reset"),
            Link::OneWay => f.write_str("cut one way"),
            Link::Silent => f.write_str("silent"),
        }
    }
}

impl From<Link> for LinkFault {
    fn from(link: Link) -> Self {
        match link {
            Link::Delayed(time) => LinkFault::Delay(time),
            Link::Reset => LinkFault::Reset,
            Link::OneWay => LinkFault::OneWay,
            Link::Silent => LinkFault::Silent,
        }
    }
}

/// Draws the faults between two points in time, in the order of time.
pub fn schedule(rng: &mut SmallRng, size: Size, from: Time, to: Time) -> Vec<(Time, Fault)> {
    let mut faults = Vec::new();
    let mut at = from;
    let turn = ROUGH_MS + PLANNED_MS;
    let offset = rng.random_range(0..turn);
    while at < to {
        let rough = (offset + at.as_millis()) % turn < ROUGH_MS;
        let fault = match rough {
            true => draw(rng, size),
            false => draw_planned(rng, size),
        };
        faults.push((at, fault));
        at = at + Duration::from_millis(rng.random_range(GAP_MS));
    }
    faults
}

/// Draws planned restarts and nothing else, which overlap: of agents several times in a row, of single processes,
/// and rolls of either role or of both.
pub fn restarts(rng: &mut SmallRng, size: Size, from: Time, to: Time) -> Vec<(Time, Fault)> {
    let mut faults = Vec::new();
    let mut at = from;
    while at < to {
        let agent = Place::Agent(rng.random_range(0..size.agents));
        let drawn = match rng.random_range(0..7) {
            0 => vec![Fault::Restart(place(rng, size))],
            1 => vec![Fault::Roll(Roll::draw(rng, size, true))],
            2 | 3 => vec![Fault::Roll(Roll::draw(rng, size, false))],
            4 => {
                let roles = [true, false];
                let rolls = roles.map(|balancers| Roll::draw(rng, size, balancers));
                rolls.map(Fault::Roll).to_vec()
            }
            _ => vec![Fault::Series(agent, rng.random_range(SERIES_STOPS))],
        };
        faults.extend(drawn.into_iter().map(|fault| (at, fault)));
        at = at + Duration::from_millis(rng.random_range(GAP_MS));
    }
    drop_overlapping_rolls(&mut faults, size);
    faults
}

/// Drops the rolls of a large role that begin before the last one of the role has ended, as planned work restarts
/// such a role once at a time.
fn drop_overlapping_rolls(faults: &mut Vec<(Time, Fault)>, size: Size) {
    let mut ends = BTreeMap::new();
    faults.retain(|(at, fault)| {
        let Fault::Roll(roll) = fault else {
            return true;
        };
        let end = ends.entry(roll.balancers).or_insert(*at);
        let is_kept = *at >= *end || size.count(roll.balancers) <= MAX_ONE_BY_ONE;
        if is_kept {
            *end = *at + roll.length();
        }
        is_kept
    });
}

/// Returns the faults of a tour: every balancer restarts, then every agent while the store is silent.
pub fn tour(size: Size) -> Vec<(Time, Fault)> {
    let first = Time::from_millis(8_000);
    let second = first + ROLL_GAP * size.balancers as u32;
    let outage = Duration::from_secs(10);
    vec![
        (first, Fault::Roll(Roll::one_by_one(size, true))),
        (second, Fault::AllStoreLinks(Link::Silent, outage)),
        (second, Fault::Roll(Roll::one_by_one(size, false))),
    ]
}

fn draw(rng: &mut SmallRng, size: Size) -> Fault {
    let lasts = Duration::from_millis(rng.random_range(LASTS_MS));
    let server = rng.random_range(0..size.agents);
    match rng.random_range(0..16) {
        0 | 1 => Fault::Kill(place(rng, size)),
        2 => Fault::KillAll,
        3 | 4 => Fault::Pause(place(rng, size), lasts),
        5 => Fault::StoreLink(place(rng, size), link(rng), lasts),
        6 => Fault::AllStoreLinks(link(rng), lasts),
        7 => Fault::StoreBusy(lasts),
        8 => Fault::StoreMute(lasts),
        9 => Fault::StoreForgets,
        10 => Fault::LeasesEnd,
        11 => Fault::CallerLink(rng.random_range(0..size.balancers), link(rng), lasts),
        12 => Fault::ServerCrash(server, lasts),
        13 => Fault::ServerSlow(server),
        _ => draw_planned(rng, size),
    }
}

fn draw_planned(rng: &mut SmallRng, size: Size) -> Fault {
    match rng.random_range(0..7) {
        0 | 1 => Fault::Restart(place(rng, size)),
        2 => Fault::Roll(Roll::one_by_one(size, rng.random())),
        3 => Fault::Reload(place(rng, size)),
        4 => Fault::ServerDrain(rng.random_range(0..size.agents)),
        5 => Fault::AddRoute,
        _ => Fault::DropRoute,
    }
}

fn place(rng: &mut SmallRng, size: Size) -> Place {
    let index = rng.random_range(0..size.balancers + size.agents);
    match index.checked_sub(size.balancers) {
        None => Place::Balancer(index),
        Some(index) => Place::Agent(index),
    }
}

fn link(rng: &mut SmallRng) -> Link {
    match rng.random_range(0..4) {
        0 => Link::Delayed(Duration::from_millis(rng.random_range(DELAY_MS))),
        1 => Link::Reset,
        2 => Link::OneWay,
        _ => Link::Silent,
    }
}
