//! Rolling restarts of the processes of a role.

use std::{fmt, time::Duration};

use rand::{Rng, rngs::SmallRng};
use serde::Serialize;

use super::place::{Place, Size};

/// Time from one process to the next of a role that is restarted one by one: longer than a process needs
/// to stop and to be ready again.
pub const ROLL_GAP: Duration = Duration::from_millis(2_500);

/// Most processes of a role that rolls restart one by one, so that a roll ends within a run, and of a role whose
/// rolls overlap each other.
pub const MAX_ONE_BY_ONE: usize = 12;

/// Paces of planned work in a large fleet: processes that are stopped at a time, and the time from one stop to
/// the next.
const PACES: [(usize, Duration); 2] = [
    (15, Duration::from_millis(1_300)),
    (27, Duration::from_millis(1_000)),
];

/// Processes of the fleet in which the paces hold; in other fleets, the same share is stopped at a time.
const PACED_FLEET: usize = 204;

/// Shares of a role's processes that a roll restarts, in quarters.
const QUARTERS: std::ops::RangeInclusive<usize> = 1..=4;

/// Planned restarts of processes of a role in the order of their indexes, some at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Roll {
    /// Whether balancers are restarted.
    pub balancers: bool,
    /// Index of the first process; process 0 follows the last one.
    pub first: usize,
    /// Processes that are restarted.
    pub total: usize,
    /// Processes that are stopped at a time.
    pub batch: usize,
    /// Time from one stop to the next.
    pub gap: Duration,
}

impl Roll {
    /// Returns a roll of all processes of a role, one by one.
    pub fn one_by_one(size: Size, balancers: bool) -> Self {
        Self {
            balancers,
            first: 0,
            total: size.count(balancers),
            batch: 1,
            gap: ROLL_GAP,
        }
    }

    /// Draws a roll: the first process, the share of the role's processes and the pace.
    pub fn draw(rng: &mut SmallRng, size: Size, balancers: bool) -> Self {
        let count = size.count(balancers);
        let total = (count * rng.random_range(QUARTERS)).div_ceil(*QUARTERS.end());
        let first = rng.random_range(0..count);
        let is_small = count <= MAX_ONE_BY_ONE;
        let paces = PACES.len() + usize::from(is_small);
        let (batch, gap) = match PACES.get(rng.random_range(0..paces)) {
            Some((batch, gap)) => ((batch * count).div_ceil(PACED_FLEET), *gap),
            None => (1, ROLL_GAP),
        };
        Self {
            balancers,
            first,
            total,
            batch,
            gap,
        }
    }

    /// Returns the time from the start of the roll to its end.
    pub fn length(&self) -> Duration {
        self.gap * self.total.div_ceil(self.batch) as u32
    }

    /// Returns the processes with the time from the start of the roll to their stop.
    pub fn stops(&self, size: Size) -> impl Iterator<Item = (Duration, Place)> {
        let roll = *self;
        let count = size.count(roll.balancers);
        (0..roll.total).map(move |number| {
            let index = (roll.first + number) % count;
            let place = match roll.balancers {
                true => Place::Balancer(index),
                false => Place::Agent(index),
            };
            (roll.gap * (number / roll.batch) as u32, place)
        })
    }
}

impl fmt::Display for Roll {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let role = match self.balancers {
            true => "balancers",
            false => "agents",
        };
        let Self {
            total, batch, gap, ..
        } = self;
        write!(f, "{total} {role} restart, {batch} each {gap:?}")
    }
}
