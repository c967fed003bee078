//! What a soak does and reports, without its processes: faults, failed seeds, views.

use std::{collections::BTreeSet, time::Duration};

use berylvalve::soak::{
    Size,
    fault::{self, Fault},
    place::{LARGEST_SITE, Place, USUAL_SIZE},
    report::Report,
    roll::{ROLL_GAP, Roll},
    seeds::failed_seeds,
    views::{View, counts_at_ready},
};
use berylvalve_core::clock::Time;
use rand::{SeedableRng, rngs::SmallRng};

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
        for roll in rolls(LARGEST_SITE, balancers) {
            let (last, _) = roll.stops(LARGEST_SITE).last().expect("a process restarts");
            assert!(last < FAULT_TIME, "{roll:?}");
        }
    }
}

#[test]
fn rolls_restart_each_process_of_their_share_once() {
    for size in [USUAL_SIZE, LARGEST_SITE] {
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
    assert_eq!(paces(LARGEST_SITE), planned.into());
    assert!(paces(USUAL_SIZE).contains(&(1, ROLL_GAP)));
    assert_eq!(paces(USUAL_SIZE).len(), 3);
}

fn drawn_rolls(seed: u64, size: Size) -> Vec<(Time, Roll)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let end = Time::default() + FAULT_TIME;
    let faults = fault::restarts(&mut rng, size, Time::default(), end);
    let rolls = faults.into_iter().filter_map(|(at, fault)| match fault {
        Fault::Roll(roll) => Some((at, roll)),
        _ => None,
    });
    rolls.collect()
}

#[test]
fn rolls_of_a_role_follow_each_other_in_large_fleets_beside_those_of_the_other_role() {
    for seed in 1..=20 {
        let rolls = drawn_rolls(seed, LARGEST_SITE);
        let end = |(at, roll): &(Time, Roll)| *at + roll.length();
        let overlap = |first: &(Time, Roll), second: &(Time, Roll)| {
            first.0 < end(second) && second.0 < end(first)
        };
        let mut has_both = false;
        for (number, first) in rolls.iter().enumerate() {
            for second in &rolls[number + 1..] {
                let same_role = first.1.balancers == second.1.balancers;
                assert!(
                    !(same_role && overlap(first, second)),
                    "{first:?} {second:?}"
                );
                has_both |= !same_role && overlap(first, second);
            }
        }
        assert!(has_both, "seed {seed}: {rolls:?}");
    }
}

#[test]
fn failed_seeds_of_large_fleets_run_on_request() {
    let seeds = |large| -> Vec<u64> { failed_seeds(large).map(|failed| failed.seed).collect() };
    assert_eq!(seeds(false), [2, 41, 61, 229]);
    assert_eq!(seeds(true), [2, 41, 61, 229, 9313, 9321]);
}

#[test]
fn views_count_the_agents_known_at_ready_after_a_restart() {
    let log = "\
        level=info event=started name=balancer-0\n\
        level=info event=member address=127.1.1.1:9 role=Agent reason=fetched\n\
        level=info event=reported_ready\n\
        level=info event=started name=balancer-0\n\
        level=info event=member address=127.1.0.2:9 role=Balancer reason=fetched\n\
        level=info event=member address=127.1.1.1:9 role=Agent reason=fetched\n\
        level=info event=member address=127.1.1.1:9 role=Agent reason=gossip\n\
        level=info event=member address=127.1.1.2:9 role=Agent reason=gossip\n\
        level=info event=reported_ready\n\
        level=info event=member address=127.1.1.3:9 role=Agent reason=gossip\n\
        level=info event=started name=balancer-0\n";
    assert_eq!(counts_at_ready(log), [2]);
}

#[test]
fn the_report_sums_up_views() {
    let mut report = Report::new(1, LARGEST_SITE);
    assert_eq!(report.view_line(), None);
    let place = Place::Balancer(0);
    report.views = [204, 32, 71].map(|agents| View { place, agents }).into();
    let line = report.view_line().expect("views");
    assert_eq!(
        line,
        "3 starts of balancers: ready with 32 to 204 of 204 agents, median 71"
    );
}
