//! Drawing of the faults of a soak.

use std::{collections::BTreeSet, time::Duration};

use berylvalve::soak::{
    Size,
    fault::{self, Fault},
    place::Place,
    roll::{ROLL_GAP, Roll},
};
use berylvalve_core::clock::Time;
use rand::{SeedableRng, rngs::SmallRng};

const SMALL: Size = Size {
    balancers: 6,
    agents: 9,
    callers: 60,
};

const LARGE: Size = Size {
    balancers: 91,
    agents: 204,
    callers: 250,
};

/// Time in which faults begin in a run of the usual length.
const FAULT_TIME: Duration = Duration::from_secs(35);

fn rolls(size: Size, balancers: bool) -> Vec<Roll> {
    let mut rng = SmallRng::seed_from_u64(1);
    let rolls = (0..200).map(|_| Roll::draw(&mut rng, size, balancers));
    rolls.collect()
}

#[test]
fn rolls_of_a_large_fleet_end_within_a_run() {
    for balancers in [true, false] {
        for roll in rolls(LARGE, balancers) {
            let (last, _) = roll.stops(LARGE).last().expect("a process restarts");
            assert!(last < FAULT_TIME, "{roll:?}");
        }
    }
}

#[test]
fn rolls_restart_each_process_of_their_share_once() {
    for size in [SMALL, LARGE] {
        let mut totals = BTreeSet::new();
        for roll in rolls(size, false) {
            let places: BTreeSet<Place> = roll.stops(size).map(|(_, place)| place).collect();
            assert_eq!(places.len(), roll.total, "{roll:?}");
            let last = Place::Agent(size.agents - 1);
            assert!(places.iter().all(|place| *place <= last), "{roll:?}");
            totals.insert(roll.total);
        }
        assert_eq!(totals.len(), 4);
        assert_eq!(totals.last(), Some(&size.agents));
    }
}

#[test]
fn paces_are_those_of_planned_work_at_the_largest_size() {
    let paces = |size| -> BTreeSet<(usize, Duration)> {
        let rolls = rolls(size, false).into_iter();
        rolls.map(|roll| (roll.batch, roll.gap)).collect()
    };
    let planned = [(15, 1_300), (27, 1_000)].map(|(batch, ms)| (batch, Duration::from_millis(ms)));
    assert_eq!(paces(LARGE), planned.into());
    assert!(paces(SMALL).contains(&(1, ROLL_GAP)));
    assert_eq!(paces(SMALL).len(), 3);
}

#[test]
fn some_rolls_of_both_roles_begin_at_the_same_time() {
    let end = Time::default() + FAULT_TIME;
    let is_roll = |fault: &Fault, wanted| match fault {
        Fault::Roll(roll) => roll.balancers == wanted,
        _ => false,
    };
    let begin_together = |seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = fault::restarts(&mut rng, LARGE, Time::default(), end);
        faults.windows(2).any(|pair| {
            pair[0].0 == pair[1].0 && is_roll(&pair[0].1, true) && is_roll(&pair[1].1, false)
        })
    };
    assert!((1..=20).filter(|seed| begin_together(*seed)).count() >= 15);
}
