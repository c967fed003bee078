//! Choice of the agent for a new flow, by load, speed and failure domain.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        choice::{
            AgentCandidate, CandidateAverage, add_ramp_load, best, expected_us, ramp_share,
            thin_out_ramps,
        },
        workload::Load,
    },
};

const SLOTS: u16 = 2;

fn candidate(index: u8, is_local: bool, busy: u16, work_us: u32) -> AgentCandidate {
    AgentCandidate {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 7001),
        is_local,
        load: Load {
            slots: SLOTS,
            busy,
            flows: 0,
            work_us,
            failing: false,
        },
        placed: 0,
        ramp: 0.0,
    }
}

fn chosen(candidates: &[AgentCandidate]) -> u8 {
    let average = CandidateAverage::of(candidates);
    let best = best(candidates, &average, 0).unwrap();
    best.address.ip().octets()[3]
}

#[test]
fn idle_server_is_preferred_to_a_busy_one_of_the_same_speed() {
    let candidates = [candidate(1, true, 2, 15_000), candidate(2, true, 0, 15_000)];
    assert_eq!(chosen(&candidates), 2);
}

#[test]
fn local_server_is_preferred_until_it_is_heavily_loaded() {
    let light_load = [
        candidate(1, true, 1, 15_000),
        candidate(2, false, 0, 15_000),
    ];
    assert_eq!(chosen(&light_load), 1);
    let heavy_load = [
        candidate(1, true, 4, 15_000),
        candidate(2, false, 0, 15_000),
    ];
    assert_eq!(chosen(&heavy_load), 2);
}

#[test]
fn slow_server_gets_fewer_flows_than_a_fast_one() {
    let mut candidates = [candidate(1, true, 0, 30_000), candidate(2, true, 0, 10_000)];
    let mut placed = [0; 2];
    for _ in 0..100 {
        let index = usize::from(chosen(&candidates)) - 1;
        candidates[index].placed += 1;
        placed[index] += 1;
    }
    // A server that is three times as fast gets about three times the flows.
    assert!((70..=80).contains(&placed[1]), "{placed:?}");
}

#[test]
fn own_placements_since_the_last_report_count_as_load() {
    let mut candidates = vec![candidate(1, true, 0, 15_000), candidate(2, true, 0, 15_000)];
    candidates[0].placed = 3;
    assert_eq!(chosen(&candidates), 2);
}

#[test]
fn server_without_an_answer_yet_counts_as_an_average_one() {
    let candidates = [candidate(1, true, 0, 0), candidate(2, true, 0, 20_000)];
    let average = CandidateAverage::of(&candidates);
    let [unknown, known] = candidates.map(|c| expected_us(&c, &average));
    assert_eq!(unknown, known);
}

/// Guards against a changed choice where no evacuation has ended.
#[test]
fn candidates_without_a_ramp_stay_as_they_are() {
    let candidates = vec![candidate(1, true, 3, 15_000), candidate(2, false, 0, 0)];
    for draw in [0, u32::MAX / 2, u32::MAX] {
        let mut ramped = candidates.clone();
        add_ramp_load(&mut ramped);
        thin_out_ramps(&mut ramped, draw);
        assert_eq!(ramped, candidates);
    }
}

/// Guards against a service without a server to place flows on, when all its domains return at once.
#[test]
fn candidates_that_are_all_on_a_ramp_are_kept_with_their_load() {
    let mut candidates = vec![candidate(1, true, 3, 15_000), candidate(2, false, 0, 0)];
    for candidate in &mut candidates {
        candidate.ramp = 0.9;
    }
    let mut ramped = candidates.clone();
    add_ramp_load(&mut ramped);
    thin_out_ramps(&mut ramped, 0);
    assert_eq!(ramped, candidates);
}

#[test]
fn candidate_on_a_ramp_counts_as_holding_a_share_of_the_mean_load() {
    let mut candidates = [candidate(1, true, 4, 15_000), candidate(2, true, 1, 15_000)];
    candidates[0].load.flows = 20;
    candidates[1].ramp = 0.5;
    add_ramp_load(&mut candidates);
    assert_eq!((candidates[0].load.busy, candidates[0].load.flows), (4, 20));
    assert_eq!(
        (candidates[1].load.busy, candidates[1].load.flows),
        (1 + 2, 10)
    );
}

#[test]
fn ramp_falls_from_the_whole_share_to_none() {
    let shares = [0, 2_500, 5_000, 9_000].map(|millis| {
        ramp_share(
            Time::from_millis(5_000),
            Duration::from_secs(5),
            Time::from_millis(millis),
        )
    });
    assert_eq!(shares, [1.0, 0.5, 0.0, 0.0]);
}
