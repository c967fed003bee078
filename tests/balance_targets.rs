//! The targets of balance and overload, on the real state machines under virtual time.

use std::time::Duration;

use berylvalve::{
    dev,
    trial::balance::{Figures, Schedule, Way, bench::Bench},
};

const MAX_IMBALANCE: f64 = 1.10;
const MIN_USEFUL: f64 = 0.95;
const MAX_REFUSAL_MS: f64 = 50.0;
const SEED: u64 = 1;

/// Runs every service of a site and returns the figures by service.
fn figures(name: &str, load: f64, way: Way) -> Vec<(String, Figures)> {
    let site = dev::site(name).unwrap();
    let mut all = Vec::new();
    for group in &site.servers {
        let service = group.service_ms.iter().copied();
        let schedule = Schedule {
            service: service.map(Duration::from_millis).collect(),
            slots: group.slots,
            load,
            burst: false,
            seed: SEED,
        };
        let figures = Bench::new(&schedule, way).run();
        all.push((group.service.clone(), figures));
    }
    all
}

fn balanced(name: &str) {
    for (service, figures) in figures(name, 0.9, Way::Passing) {
        assert!(figures.imbalance <= MAX_IMBALANCE, "{service}: {figures:?}");
        assert!(
            figures.refusal_max_ms <= MAX_REFUSAL_MS,
            "{service}: {figures:?}"
        );
    }
}

fn useful(name: &str) {
    for (service, figures) in figures(name, 3.0, Way::Passing) {
        assert!(figures.useful >= MIN_USEFUL, "{service}: {figures:?}");
        assert!(
            figures.refusal_max_ms <= MAX_REFUSAL_MS,
            "{service}: {figures:?}"
        );
        let shares: Vec<f64> = figures.refused.iter().map(|(_, share)| *share).collect();
        assert!(shares.is_sorted(), "{service}: {figures:?}");
        assert!(shares[0] < shares[1] / 4.0, "{service}: {figures:?}");
    }
}

#[test]
fn haverkamp_is_balanced_with_a_slow_and_a_lying_server() {
    balanced("haverkamp");
}

#[test]
fn dolbom_is_balanced_with_a_slow_and_a_lying_server() {
    balanced("dolbom");
}

#[test]
fn haverkamp_does_useful_work_at_three_times_the_load() {
    useful("haverkamp");
}

#[test]
fn dolbom_does_useful_work_at_three_times_the_load() {
    useful("dolbom");
}
