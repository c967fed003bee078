//! Outlier detection ejects servers that fail and leaves healthy ones in use.

use berylvalve_core::{clock::Time, l4::outlier::OutlierDetector};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const REQUEST_INTERVAL_MS: u64 = 10;

/// Records answers of which `percent` fail, and returns the index of the answer that ejected the server
/// first and for how many answers it was ejected.
fn run(percent: u32, answers: u64, seed: u64) -> (Option<u64>, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outlier = OutlierDetector::default();
    let mut first = None;
    let mut ejected_count = 0;
    for count in 0..answers {
        let now = Time::from_millis(count * REQUEST_INTERVAL_MS);
        if outlier.is_ejected(now) {
            ejected_count += 1;
            continue;
        }
        if rng.random_range(0..100) < percent {
            if outlier.record_failure(now).is_some() {
                first.get_or_insert(count);
            }
        } else {
            outlier.record_success(now);
        }
    }
    (first, ejected_count)
}

#[test]
fn server_that_fails_two_of_five_is_ejected_early_and_most_of_the_time() {
    for seed in 0..50 {
        let (first, ejected_count) = run(40, 1_000, seed);
        assert!(
            first.is_some_and(|first| first <= 20),
            "seed {seed}: {first:?}"
        );
        assert!(
            ejected_count > 500,
            "seed {seed}: ejected for {ejected_count} of 1000"
        );
    }
}

#[test]
fn server_is_never_ejected_without_failures_and_at_most_half_the_time_at_one_percent() {
    let mut violations = 0;
    for seed in 0..50 {
        violations += u32::from(run(0, 1_000, seed).0.is_some());
        violations += u32::from(run(1, 200, seed).1 > 100);
    }
    assert_eq!(violations, 0);
}

#[test]
fn ejection_ends_with_its_period_and_a_success_does_not_renew_it() {
    let mut outlier = OutlierDetector::default();
    let mut until = Time::default();
    for _ in 0..3 {
        if let Some(period) = outlier.record_failure(Time::default()) {
            until = Time::default() + period;
        }
    }
    assert!(outlier.is_ejected(Time::default()));
    assert!(!outlier.is_ejected(until));
    outlier.record_success(until);
    assert!(!outlier.is_ejected(until));
}

#[test]
fn ejection_period_doubles_for_a_server_that_fails_repeatedly() {
    let mut outlier = OutlierDetector::default();
    let mut now = Time::default();
    let mut periods = Vec::new();
    while periods.len() < 4 {
        if let Some(period) = outlier.record_failure(now) {
            periods.push(period.as_millis());
            now = now + period;
        }
    }
    assert_eq!(periods, [500, 1_000, 2_000, 4_000]);
}
