//! Servers that fail are found, and sound ones are left alone.

use berylvalve_core::{clock::Time, l4::outlier::Outlier};
use rand::{Rng, SeedableRng, rngs::SmallRng};

const REQUEST_MS: u64 = 10;

/// Feeds answers of which some fail, and returns when the server was first taken out and for how
/// many of the answers it was out.
fn run(percent: u32, answers: u64, seed: u64) -> (Option<u64>, u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outlier = Outlier::default();
    let mut first = None;
    let mut out = 0;
    for count in 0..answers {
        let now = Time::from_millis(count * REQUEST_MS);
        if outlier.is_ejected(now) {
            out += 1;
            continue;
        }
        if rng.random_range(0..100) < percent {
            if outlier.failed(now).is_some() {
                first.get_or_insert(count);
            }
        } else {
            outlier.succeeded(now);
        }
    }
    (first, out)
}

#[test]
fn server_that_fails_two_of_five_is_taken_out_within_twenty_answers() {
    for seed in 0..50 {
        let (first, out) = run(40, 1_000, seed);
        assert!(
            first.is_some_and(|first| first <= 20),
            "seed {seed}: {first:?}"
        );
        assert!(out > 500, "seed {seed}: out for {out} of 1000");
    }
}

#[test]
fn server_that_fails_one_in_two_hundred_stays() {
    let mut ejected = 0;
    for seed in 0..50 {
        ejected += u32::from(run(0, 1_000, seed).0.is_some());
        ejected += u32::from(run(1, 200, seed).1 > 100);
    }
    assert_eq!(ejected, 0);
}

#[test]
fn server_that_works_again_comes_back() {
    let mut outlier = Outlier::default();
    let mut until = Time::default();
    for _ in 0..3 {
        if let Some(time) = outlier.failed(Time::default()) {
            until = Time::default() + time;
        }
    }
    assert!(outlier.is_ejected(Time::default()));
    assert!(!outlier.is_ejected(until));
    outlier.succeeded(until);
    assert!(!outlier.is_ejected(until));
}

#[test]
fn server_that_goes_down_and_up_is_out_for_longer_each_time() {
    let mut outlier = Outlier::default();
    let mut now = Time::default();
    let mut times = Vec::new();
    while times.len() < 4 {
        if let Some(time) = outlier.failed(now) {
            times.push(time.as_millis());
            now = now + time;
        }
    }
    assert_eq!(times, [500, 1_000, 2_000, 4_000]);
}
