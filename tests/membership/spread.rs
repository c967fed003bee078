//! Tests of how fast joins, leaves, weights and revisions spread, within the send budget.

use std::time::Duration;

use berylvalve::{
    clock::Time,
    member::{MemberState, Record, Role},
    membership::{
        budget::{BURST_BYTES, RATE_BYTES_PER_S},
        message::MAX_MESSAGE_BYTES,
        swim::{Action, Swim},
    },
    trial::membership::network::{Conditions, Network, record},
};

use crate::{DOMAINS, count_views_with_state, fleet, seconds, seeds};

fn assert_leave_is_known_within_3_s(size: usize) {
    let mut network = fleet(size, 11);
    network.conditions.loss = 0.05;
    network.update(5, |record| record.state = MemberState::Draining);
    network.run(seconds(3));
    assert_eq!(
        count_views_with_state(&network, 5, MemberState::Draining),
        size - 1
    );
    network.update(5, |record| record.state = MemberState::Left);
    network.run(seconds(3));
    assert_eq!(
        count_views_with_state(&network, 5, MemberState::Left),
        size - 1
    );
}

#[test]
fn leave_is_known_to_14_processes_within_3_s() {
    assert_leave_is_known_within_3_s(14);
}

#[test]
fn leave_is_known_to_100_processes_within_3_s() {
    assert_leave_is_known_within_3_s(100);
}

#[test]
fn processes_find_each_other_through_one_seed() {
    let mut network = Network::new(3);
    let seed = record(0, DOMAINS).control;
    for number in 0..30 {
        network.start(record(number, DOMAINS), vec![seed]);
    }
    network.run(seconds(5));
    for node in &network.nodes {
        assert_eq!(
            node.swim.roster().live_count(),
            30,
            "{}",
            node.local.address
        );
    }
}

#[test]
fn new_process_knows_all_members_and_is_known_to_all() {
    let mut network = fleet(100, 4);
    let controls = seeds(&network);
    let added = network.start(record(100, DOMAINS), controls);
    network.run(seconds(3));
    assert_eq!(
        count_views_with_state(&network, added, MemberState::Ready),
        100
    );
    assert_eq!(network.nodes[added].swim.roster().live_count(), 101);
    assert!(network.nodes[added].swim.is_joined());
}

/// The first process of a fleet has no seeds. After a restart it depends on the processes that join
/// through it, so it must not count as joined before one of them has answered.
#[test]
fn process_without_seeds_has_joined_once_a_peer_answers_it() {
    let mut network = Network::new(5);
    let first = network.start(record(0, DOMAINS), Vec::new());
    network.run(seconds(2));
    assert!(!network.nodes[first].swim.is_joined());
    let seed = network.nodes[first].local.control;
    for number in 1..4 {
        network.start(record(number, DOMAINS), vec![seed]);
    }
    network.run(seconds(2));
    assert!(network.nodes[first].swim.is_joined());
    assert_eq!(network.nodes[first].swim.roster().live_count(), 4);
}

#[test]
fn process_without_seeds_or_peers_counts_as_joined_after_the_timeout() {
    let mut network = Network::new(6);
    let first = network.start(record(0, DOMAINS), Vec::new());
    network.run(seconds(11));
    assert!(network.nodes[first].swim.is_joined());
}

/// Seeds in the store may expire while processes restart. Processes that start meanwhile find only
/// each other and form a separate part of the fleet.
#[test]
fn separate_parts_of_a_fleet_merge_once_one_process_finds_a_seed_of_the_other() {
    let mut network = Network::new(7);
    for number in 0..16 {
        let part = number % 2;
        let seed = record(part, DOMAINS).control;
        network.start(record(number, DOMAINS), vec![seed]);
    }
    network.run(seconds(20));
    assert!(
        network
            .nodes
            .iter()
            .all(|n| n.swim.roster().live_count() == 8)
    );
    let other = network.nodes[1].local.control;
    network.nodes[4].swim.add_seeds(&[other]);
    network.run(seconds(12));
    for node in &network.nodes {
        assert_eq!(
            node.swim.roster().live_count(),
            16,
            "{}",
            node.local.address
        );
    }
}

/// Guards against the 10 s until the next comparison, in which a balancer that lacks an agent can't prove
/// that a flow is lost.
#[test]
fn comparison_with_a_better_informed_member_fetches_what_is_missing_at_once() {
    let now = Time::from_millis(1_000);
    let records: Vec<Record> = (0..3).map(|number| record(number, DOMAINS)).collect();
    let mut swims = [
        Swim::new(records[0].clone(), Vec::new(), now, 1),
        Swim::new(records[1].clone(), Vec::new(), now, 2),
    ];
    swims[0].preload(&records[..2], now);
    swims[1].preload(&records, now);
    let mut actions = swims[0].compare_with(records[1].control, now);
    for receiver in [1, 0, 1, 0] {
        let mut replies = Vec::new();
        for action in actions {
            if let Action::Send { to, message } = action
                && to == records[receiver].control
            {
                replies.extend(swims[receiver].receive(&message, now));
            }
        }
        actions = replies;
    }
    let state = swims[0].state_of(records[2].address);
    assert_eq!(state, Some(MemberState::Ready));
}

#[test]
fn weight_change_reaches_all_members() {
    let mut network = fleet(100, 5);
    network.update(7, |record| record.weight = 31);
    network.run(seconds(60));
    let address = network.nodes[7].local.address;
    for node in &network.nodes {
        let entry = node.swim.roster().get(address).unwrap();
        assert_eq!(entry.record.weight, 31);
    }
}

/// A process that receives a newer revision applies it and announces it to others.
#[test]
fn settings_revision_reaches_all_members_within_3_s() {
    let mut network = fleet(100, 6);
    network.update(2, |record| record.revision = 9);
    for _ in 0..30 {
        network.run(seconds(1) / 10);
        for node in &mut network.nodes {
            let revisions = node.swim.roster().iter().map(|e| e.record.revision);
            node.local.revision = revisions.max().unwrap();
        }
    }
    for node in &network.nodes {
        assert_eq!(node.local.revision, 9);
    }
}

/// Changes all weights and states every 100 ms, so that every process has more to send than its
/// budget allows.
#[test]
fn budget_is_never_exceeded() {
    let mut network = fleet(60, 7);
    network.conditions = Conditions {
        loss: 0.2,
        ..Conditions::default()
    };
    let start: Vec<u64> = network.nodes.iter().map(|n| n.bytes).collect();
    for round in 0..200 {
        for node in 0..60 {
            network.update(node, |record| {
                record.weight = round + 1;
                record.state = match round % 2 {
                    0 => MemberState::Draining,
                    _ => MemberState::Ready,
                };
            });
        }
        network.run(seconds(1) / 10);
    }
    for (node, start) in network.nodes.iter().zip(start) {
        let sent = node.bytes - start;
        assert!(
            sent <= 20 * RATE_BYTES_PER_S + BURST_BYTES,
            "{sent} bytes in 20 s"
        );
        assert!(
            sent > 10 * RATE_BYTES_PER_S,
            "the budget is used: {sent} bytes"
        );
        assert!(node.longest <= MAX_MESSAGE_BYTES, "{} bytes", node.longest);
    }
}

/// The fleet is so large that each shard is sent to a new process in several messages.
#[test]
fn new_process_knows_all_members_of_1000() {
    let mut network = fleet(1000, 8);
    let controls = seeds(&network);
    let added = network.start(record(1000, DOMAINS), controls);
    network.run(seconds(5));
    assert!(network.nodes[added].swim.is_joined());
    assert_eq!(network.nodes[added].swim.roster().live_count(), 1001);
    assert_eq!(
        count_views_with_state(&network, added, MemberState::Ready),
        1000
    );
}

#[test]
fn new_process_joins_within_a_second_if_most_of_its_seeds_are_gone() {
    for seed in 1..=10 {
        let mut network = fleet(14, seed);
        let mut seeds: Vec<_> = (100..107).map(|n| record(n, DOMAINS).control).collect();
        seeds.push(network.nodes[0].local.control);
        let added = network.start(record(14, DOMAINS), seeds);
        network.run(seconds(1));
        let live = network.nodes[added].swim.roster().live_count();
        assert_eq!(live, 15, "seed {seed}");
    }
}

/// After a loss of power, a process that starts before its seeds takes no flows until it has joined. With
/// joins every 250 ms from the first one on, it stood idle for that long.
#[test]
fn process_that_starts_just_before_its_seed_joins_within_200_ms_of_its_start() {
    for seed in 1..=20 {
        let mut network = Network::new(seed);
        let first = network.start(record(1, DOMAINS), vec![record(0, DOMAINS).control]);
        network.run(Duration::from_millis(110));
        network.start(record(0, DOMAINS), Vec::new());
        let took = network.run_while(Duration::from_millis(200), |network| {
            network.nodes[first].swim.roster().live_count() < 2
        });
        assert!(took.is_some(), "seed {seed}");
    }
}

/// Returns after how many tenths of a second all processes know each other, if all start within
/// about a second, in the state `initial_state`, and become ready shortly after; 200 if they never do.
fn tenths_until_agreement(
    size: usize,
    seed_count: usize,
    initial_state: MemberState,
    seed: u64,
) -> usize {
    let mut network = Network::new(seed);
    network.conditions.loss = 0.01;
    let seeds: Vec<_> = (0..seed_count)
        .map(|n| record(n, DOMAINS).control)
        .collect();
    let mut started = 0;
    for tenth in 0..200 {
        while started < size && started <= (tenth + 1) * size / 8 {
            let mut initial = record(started, DOMAINS);
            initial.state = initial_state;
            network.start(initial, seeds.clone());
            started += 1;
        }
        network.run(seconds(1) / 10);
        if (3..=11).contains(&tenth) {
            for node in 0..started {
                if node % 9 == tenth - 3 {
                    network.update(node, |record| record.state = MemberState::Ready);
                }
            }
        }
        let all = network
            .nodes
            .iter()
            .all(|node| node.swim.roster().live_count() == size);
        if started == size && all {
            return tenth;
        }
    }
    200
}

/// After a power failure all processes start at once. Callers must be served again within 12 s, and
/// lost flows are reported to them only once the views agree.
#[test]
fn fleet_that_starts_at_once_agrees_within_12_s() {
    for seed in 1..=6 {
        let tenths = tenths_until_agreement(94, 3, MemberState::Draining, seed);
        assert!(tenths <= 120, "seed {seed}: {tenths} tenths of a second");
    }
}

/// Guards against a large fleet in which each balancer learns of the last agents one by one: while new
/// agents appear, no search for the owner of a flow is conclusive.
#[test]
fn large_fleet_that_starts_at_once_agrees_within_6_s() {
    for seed in 1..=2 {
        let tenths = tenths_until_agreement(295, 12, MemberState::Ready, seed);
        assert!(tenths <= 60, "seed {seed}: {tenths} tenths of a second");
    }
}

/// Kills an agent of a fleet that has started at once. Returns how long after all balancers the last
/// process knew of the death.
fn delay_of_a_death_at_the_last_process(size: usize, seed: u64) -> Duration {
    let mut network = Network::new(seed);
    network.conditions.loss = 0.01;
    let controls: Vec<_> = (0..2).map(|n| record(n, DOMAINS).control).collect();
    for number in 0..size {
        network.start(record(number, DOMAINS), controls.clone());
    }
    network.run(seconds(1));
    let victim = 5;
    network.nodes[victim].running = false;
    let address = network.nodes[victim].local.address;
    let is_missed = |network: &Network, only_balancers: bool| {
        network.nodes.iter().any(|node| {
            let is_asked = node.running && (!only_balancers || node.local.role == Role::Balancer);
            is_asked && node.swim.state_of(address) != Some(MemberState::Dead)
        })
    };
    let limit = seconds(20);
    network
        .run_while(limit, |network| is_missed(network, true))
        .expect("the balancers learn of the death");
    network
        .run_while(limit, |network| is_missed(network, false))
        .expect("all processes learn of the death")
}

/// Guards against a death soon after the start that some processes learn late. An agent resets a flow
/// of a dead one only if it knows of the death itself, and the callers wait for that.
#[test]
fn death_soon_after_the_start_is_known_to_all_soon_after_the_balancers() {
    for seed in 1..=200 {
        let delay = delay_of_a_death_at_the_last_process(15, seed);
        assert!(
            delay <= Duration::from_millis(800),
            "seed {seed}: {delay:?}"
        );
    }
}

/// Guards against the last few agents of a fleet that become known one by one after a loss of power.
/// Comparisons every 500 ms took up to 1.5 s.
#[test]
fn balancers_know_all_of_70_processes_that_start_at_once_within_1200_ms() {
    for seed in 1..=20 {
        let mut network = Network::new(seed);
        network.conditions.loss = 0.01;
        let controls: Vec<_> = (0..6).map(|n| record(n * 8, DOMAINS).control).collect();
        for number in 0..70 {
            network.start(record(number, DOMAINS), controls.clone());
        }
        let took = network.run_while(Duration::from_millis(1200), |network| {
            network.nodes.iter().any(|node| {
                node.local.role == Role::Balancer && node.swim.roster().live_count() < 70
            })
        });
        assert!(took.is_some(), "seed {seed}");
    }
}
