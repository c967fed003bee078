//! Targets for load balance, and for goodput and priorities under overload, on the agents' state
//! machines under virtual time.

use std::time::Duration;

use berylvalve::{
    dev,
    trial::balance::{Figures, Schedule, Way, bench::Bench},
};

const MAX_IMBALANCE: f64 = 1.10;
const MIN_USEFUL_SHARE: f64 = 0.95;
const MAX_REFUSAL_MS: f64 = 50.0;
const SEED: u64 = 1;

/// Simulates every service of a site at a load relative to its capacity; returns the figures by
/// service.
fn simulate(name: &str, load: f64, way: Way) -> Vec<(String, Figures)> {
    let site = dev::site(name).unwrap();
    let mut all = Vec::new();
    for group in &site.servers {
        let service_times = group.service_ms.iter().copied();
        let schedule = Schedule {
            service: service_times.map(Duration::from_millis).collect(),
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

fn assert_balanced(name: &str) {
    for (service, figures) in simulate(name, 0.9, Way::Offload) {
        assert!(figures.imbalance <= MAX_IMBALANCE, "{service}: {figures:?}");
        assert!(
            figures.refusal_max_ms <= MAX_REFUSAL_MS,
            "{service}: {figures:?}"
        );
    }
}

fn assert_goodput(name: &str) {
    for (service, figures) in simulate(name, 3.0, Way::Offload) {
        assert!(figures.useful >= MIN_USEFUL_SHARE, "{service}: {figures:?}");
        assert!(
            figures.refusal_max_ms <= MAX_REFUSAL_MS,
            "{service}: {figures:?}"
        );
        let shares: Vec<f64> = figures.refused.iter().map(|(_, share)| *share).collect();
        // Lower priorities are refused first: the highest less than a quarter as often as the next.
        assert!(shares.is_sorted(), "{service}: {figures:?}");
        assert!(shares[0] < shares[1] / 4.0, "{service}: {figures:?}");
    }
}

#[test]
fn haverkamp_is_balanced_with_a_slow_server_and_a_false_load_report() {
    assert_balanced("haverkamp");
}

#[test]
fn dolbom_is_balanced_with_a_slow_server_and_a_false_load_report() {
    assert_balanced("dolbom");
}

#[test]
fn haverkamp_keeps_its_goodput_at_three_times_its_capacity() {
    assert_goodput("haverkamp");
}

#[test]
fn dolbom_keeps_its_goodput_at_three_times_its_capacity() {
    assert_goodput("dolbom");
}
