//! Joins, leaves, deaths and weights, and the budget.

use berylvalve::{
    member::MemberState,
    membership::{
        budget::{BURST, RATE},
        message::MESSAGE_BYTES,
    },
    trial::membership::network::{Conditions, Network, record},
};

use crate::{DOMAINS, fleet, seconds, seeds, seen};

fn leave_is_known_within_3_s(size: usize) {
    let mut network = fleet(size, 11);
    network.conditions.loss = 0.05;
    network.update(5, |record| record.state = MemberState::Draining);
    network.run(seconds(3));
    assert_eq!(seen(&network, 5, MemberState::Draining), size - 1);
    network.update(5, |record| record.state = MemberState::Left);
    network.run(seconds(3));
    assert_eq!(seen(&network, 5, MemberState::Left), size - 1);
}

#[test]
fn leave_is_known_within_3_s_at_14() {
    leave_is_known_within_3_s(14);
}

#[test]
fn leave_is_known_within_3_s_at_100() {
    leave_is_known_within_3_s(100);
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
        assert_eq!(node.swim.roster().live(), 30, "{}", node.local.address);
    }
}

#[test]
fn newcomer_learns_all_and_is_known_to_all() {
    let mut network = fleet(100, 4);
    let all = seeds(&network);
    let newcomer = network.start(record(100, DOMAINS), all);
    network.run(seconds(3));
    assert_eq!(seen(&network, newcomer, MemberState::Ready), 100);
    assert_eq!(network.nodes[newcomer].swim.roster().live(), 101);
    assert!(network.nodes[newcomer].swim.is_joined());
}

/// The first of a fleet has no seeds; after a restart it has to learn from those who find it.
#[test]
fn process_without_seeds_has_joined_once_it_has_asked_somebody() {
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
    assert_eq!(network.nodes[first].swim.roster().live(), 4);
}

#[test]
fn process_without_seeds_joins_alone_after_a_while() {
    let mut network = Network::new(6);
    let first = network.start(record(0, DOMAINS), Vec::new());
    network.run(seconds(11));
    assert!(network.nodes[first].swim.is_joined());
}

/// Seeds in the store may end while processes restart; those that start meanwhile find only each other.
#[test]
fn two_parts_of_a_fleet_become_one_once_one_process_finds_a_seed_of_the_other() {
    let mut network = Network::new(7);
    for number in 0..16 {
        let part = number % 2;
        let seed = record(part, DOMAINS).control;
        network.start(record(number, DOMAINS), vec![seed]);
    }
    network.run(seconds(20));
    assert!(network.nodes.iter().all(|n| n.swim.roster().live() == 8));
    let other = network.nodes[1].local.control;
    network.nodes[4].swim.add_seeds(&[other]);
    network.run(seconds(12));
    for node in &network.nodes {
        assert_eq!(node.swim.roster().live(), 16, "{}", node.local.address);
    }
}

#[test]
fn weight_change_reaches_all() {
    let mut network = fleet(100, 5);
    network.update(7, |record| record.weight = 31);
    network.run(seconds(60));
    let address = network.nodes[7].local.address;
    for node in &network.nodes {
        let entry = node.swim.roster().get(address).unwrap();
        assert_eq!(entry.record.weight, 31);
    }
}

/// A process that hears of a newer revision pulls it and tells others.
#[test]
fn settings_revision_reaches_all_within_3_s() {
    let mut network = fleet(100, 6);
    network.update(2, |record| record.revision = 9);
    for _ in 0..30 {
        network.run(seconds(1) / 10);
        for node in &mut network.nodes {
            let heard = node.swim.roster().iter().map(|e| e.record.revision);
            node.local.revision = heard.max().unwrap();
        }
    }
    for node in &network.nodes {
        assert_eq!(node.local.revision, 9);
    }
}

/// Changes everything all the time, so that every process has more to send than it may.
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
        assert!(sent <= 20 * RATE + BURST, "{sent} bytes in 20 s");
        assert!(sent > 10 * RATE, "the budget is used: {sent} bytes");
        assert!(node.longest <= MESSAGE_BYTES, "{} bytes", node.longest);
    }
}

/// A fleet of so many shards that a newcomer needs several messages for each.
#[test]
fn newcomer_learns_all_of_1000() {
    let mut network = fleet(1000, 8);
    let all = seeds(&network);
    let newcomer = network.start(record(1000, DOMAINS), all);
    network.run(seconds(5));
    assert!(network.nodes[newcomer].swim.is_joined());
    assert_eq!(network.nodes[newcomer].swim.roster().live(), 1001);
    assert_eq!(seen(&network, newcomer, MemberState::Ready), 1000);
}

#[test]
fn a_newcomer_joins_within_a_second_where_most_of_its_seeds_are_gone() {
    for seed in 1..=10 {
        let mut network = fleet(14, seed);
        let mut seeds: Vec<_> = (100..107).map(|n| record(n, DOMAINS).control).collect();
        seeds.push(network.nodes[0].local.control);
        let newcomer = network.start(record(14, DOMAINS), seeds);
        network.run(seconds(1));
        let live = network.nodes[newcomer].swim.roster().live();
        assert_eq!(live, 15, "seed {seed}");
    }
}

/// Returns after how many tenths of a second all processes know each other, if all start at once and
/// become ready within a second.
fn tenths_until_agreement(size: usize, seed: u64) -> usize {
    let mut network = Network::new(seed);
    network.conditions.loss = 0.01;
    let seeds: Vec<_> = (0..3).map(|n| record(n, DOMAINS).control).collect();
    let mut started = 0;
    for tenth in 0..200 {
        while started < size && started <= (tenth + 1) * size / 8 {
            let mut first = record(started, DOMAINS);
            first.state = MemberState::Draining;
            network.start(first, seeds.clone());
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
            .all(|node| node.swim.roster().live() == size);
        if started == size && all {
            return tenth;
        }
    }
    200
}

/// After a loss of power everybody starts at once; callers have to be served again within 12 s, and lost
/// flows are only told once views agree.
#[test]
fn a_fleet_that_starts_at_once_agrees_within_12_s() {
    for seed in 1..=6 {
        let tenths = tenths_until_agreement(94, seed);
        assert!(tenths <= 120, "seed {seed}: {tenths} tenths of a second");
    }
}
