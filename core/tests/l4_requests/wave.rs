//! Effect of scheduling on a load near and above capacity, against the same arrivals at a server
//! without it.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    harness::TARGET_MS,
    simulation::{Arrival, CAPACITY, Outcome, arrivals, rng, run},
};

const URGENT: u8 = 1;
const PLAIN: u8 = 2;
const TARGET: Duration = Duration::from_millis(TARGET_MS as u64);
const SEEDS: std::ops::Range<u64> = 0..5;

/// Callers' hosts other than the one that floods.
const HOSTS: std::ops::RangeInclusive<u8> = 2..=21;
const FLOOD_HOST: u8 = 1;

fn priorities() -> BTreeMap<u8, u8> {
    [(URGENT, 0), (PLAIN, 2)].into()
}

/// Returns two kinds of requests, 40% of them urgent, with a wave of four seconds at `load` of the
/// capacity.
fn wave(seed: u64, load: f64) -> Vec<Arrival> {
    let mut rng = rng(seed);
    let mut all = Vec::new();
    for (route, share) in [(URGENT, 0.4), (PLAIN, 0.6)] {
        for (from, until, load) in [(0, 1_000, 0.6), (1_000, 5_000, load), (5_000, 8_000, 0.6)] {
            let rate = CAPACITY * load * share;
            all.extend(arrivals(&mut rng, (from, until), rate, route, HOSTS));
        }
    }
    all
}

/// Returns the share of outcomes that are in time.
fn share_in_time<'a>(outcomes: impl Iterator<Item = &'a Outcome>) -> f64 {
    let (mut in_time, mut count) = (0, 0);
    for outcome in outcomes {
        count += 1;
        in_time += usize::from(outcome.is_in_time(TARGET));
    }
    in_time as f64 / count as f64
}

fn share_of_route(outcomes: &[Outcome], route: u8) -> f64 {
    share_in_time(
        outcomes
            .iter()
            .filter(|outcome| outcome.arrival.route == route),
    )
}

/// Runs a wave for each seed, and returns the outcomes without and with scheduling.
fn run_waves(load: f64) -> [Vec<Outcome>; 2] {
    [true, false].map(|direct| {
        let outcomes = SEEDS.flat_map(|seed| run(&wave(seed, load), &priorities(), direct));
        outcomes.collect()
    })
}

/// Guards against priorities without effect once a flow is open, and against scheduling that makes many
/// more requests late than it helps.
#[test]
fn wave_above_capacity_keeps_urgent_requests_in_time() {
    for load in [0.9, 1.1, 1.3, 1.6] {
        let [without, with] = run_waves(load);
        for (name, outcomes) in [("without", &without), ("with", &with)] {
            println!(
                "load {load} {name} scheduling: urgent {:.3}, plain {:.3}, all {:.3}, shed {:.3}",
                share_of_route(outcomes, URGENT),
                share_of_route(outcomes, PLAIN),
                share_in_time(outcomes.iter()),
                outcomes.iter().filter(|outcome| outcome.shed).count() as f64
                    / outcomes.len() as f64,
            );
        }
        let urgent = share_of_route(&with, URGENT);
        assert!(urgent >= 0.95, "load {load}: {urgent}");
        assert!(urgent > share_of_route(&without, URGENT));
        let loss = share_in_time(without.iter()) - share_in_time(with.iter());
        assert!(loss < 0.05, "load {load}: {loss}");
    }
}

/// Guards against new flows that get no place beside the requests on open flows, or get all of them. An
/// opening that the agent refuses goes to another agent; here it counts as not in time.
#[test]
fn new_and_open_flows_share_a_wave_by_priority() {
    for load in [1.1, 1.3] {
        let [without, with] = [true, false].map(|direct| {
            let outcomes = SEEDS.flat_map(|seed| {
                let mut arrivals = wave(seed, load);
                // Every third request comes on a new flow.
                for arrival in arrivals.iter_mut().step_by(3) {
                    arrival.opens = true;
                }
                run(&arrivals, &priorities(), direct)
            });
            outcomes.collect::<Vec<Outcome>>()
        });
        for (route, name) in [(URGENT, "urgent"), (PLAIN, "plain")] {
            let shares = [false, true].map(|opens| {
                [&without, &with].map(|outcomes| {
                    let outcomes = outcomes.iter();
                    share_in_time(outcomes.filter(|outcome| {
                        (outcome.arrival.route, outcome.arrival.opens) == (route, opens)
                    }))
                })
            });
            println!(
                "load {load} {name}: open {:.3?}, new {:.3?}",
                shares[0], shares[1]
            );
            let least = if route == URGENT { 0.95 } else { 0.5 };
            for [_, with] in shares {
                assert!(with >= least, "load {load} {name}: {with}");
            }
        }
    }
}

/// Guards against a route that gets nothing for as long as another has requests.
#[test]
fn no_request_starves_in_a_wave() {
    for load in [1.1, 1.6] {
        let [_, with] = run_waves(load);
        let slowest = with.iter().map(|outcome| outcome.took).max().unwrap();
        println!("load {load}: slowest {slowest:?}");
        assert!(slowest < Duration::from_secs(2), "{slowest:?}");
        let plain = share_of_route(&with, PLAIN);
        assert!(plain > 0.3, "load {load}: {plain}");
    }
}

/// Guards against one caller whose flood makes the requests of all others late.
#[test]
fn flood_of_one_caller_costs_that_caller_first() {
    let shares = [true, false].map(|direct| {
        let outcomes = SEEDS.flat_map(|seed| {
            let mut rng = rng(seed);
            let mut all = arrivals(&mut rng, (0, 5_000), 0.5 * CAPACITY, PLAIN, HOSTS);
            let flood = FLOOD_HOST..=FLOOD_HOST;
            all.extend(arrivals(&mut rng, (1_000, 4_000), CAPACITY, PLAIN, flood));
            run(&all, &priorities(), direct)
        });
        let outcomes: Vec<Outcome> = outcomes.collect();
        let (flood, others): (Vec<Outcome>, Vec<Outcome>) = outcomes
            .into_iter()
            .partition(|outcome| outcome.arrival.host == FLOOD_HOST);
        (share_in_time(flood.iter()), share_in_time(others.iter()))
    });
    println!(
        "flood and others: without {:.3?}, with {:.3?}",
        shares[0], shares[1]
    );
    let [(_, others_without), (flood, others)] = shares;
    assert!(others >= 0.97 && others >= others_without, "{others}");
    assert!(flood < others, "{flood}");
}
