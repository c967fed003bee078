//! Property test with random loss, delay, repetition, freezes, restarts and partitions.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use berylvalve::{
    member::MemberState,
    membership::{
        budget::{BURST_BYTES, RATE_BYTES_PER_S},
        message::MAX_MESSAGE_BYTES,
    },
    owner_id::Incarnation,
    trial::membership::network::{Conditions, Network, record},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::{DOMAINS, count_views_with_state, seconds, seeds};

const SIZE: usize = 14;

#[derive(Clone, Debug)]
enum Step {
    Freeze(usize),
    Thaw(usize),
    Restart(usize),
    Drain(usize),
    SetWeight(usize, u16),
    Cut(bool),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..SIZE;
    prop_oneof![
        node.clone().prop_map(Step::Freeze),
        node.clone().prop_map(Step::Thaw),
        node.clone().prop_map(Step::Restart),
        node.clone().prop_map(Step::Drain),
        (node, 1..200_u16).prop_map(|(n, w)| Step::SetWeight(n, w)),
        any::<bool>().prop_map(Step::Cut),
        (1..8000_u64).prop_map(Step::Wait),
    ]
}

/// Generates the seed of a network, its loss, repetition and delay in ms, and the steps of a run.
fn schedule() -> impl Strategy<Value = (u64, f64, f64, u64, Vec<Step>)> {
    (
        any::<u64>(),
        0.0..0.3,
        0.0..0.3,
        1..80_u64,
        prop::collection::vec(step(), 1..25),
    )
}

/// The latest incarnation and version of each member that each process has had.
type ObservedVersions = BTreeMap<(usize, SocketAddrV4), (Incarnation, u64)>;

fn step_and_check(network: &mut Network, versions: &mut ObservedVersions, time: Duration) {
    let end = network.now + time;
    while let Some(acted) = network.step(end) {
        let Some(node) = acted else {
            continue;
        };
        check_node(network, versions, node);
    }
    network.now = end;
}

/// Checks that no record of a process goes back to an older version, that the process has no wrong
/// state for itself, and that it keeps the send budget and `MAX_MESSAGE_BYTES`.
fn check_node(network: &Network, versions: &mut ObservedVersions, number: usize) {
    let node = &network.nodes[number];
    for entry in node.swim.roster().iter() {
        let key = (number, entry.record.address);
        let version = (entry.record.incarnation, entry.record.version);
        let last = versions.insert(key, version).unwrap_or(version);
        assert!(version >= last, "{key:?} went from {last:?} to {version:?}");
    }
    let own = node.swim.state_of(node.local.address);
    assert_eq!(own, Some(node.swim.own().state));
    assert!(node.longest <= MAX_MESSAGE_BYTES);
    let elapsed = network.now.since(Default::default()).as_secs_f64();
    let allowed = RATE_BYTES_PER_S as f64 * elapsed + BURST_BYTES as f64;
    assert!(node.bytes as f64 <= allowed);
}

fn apply(
    network: &mut Network,
    current: &mut [usize],
    versions: &mut ObservedVersions,
    step: &Step,
) {
    match step {
        Step::Freeze(n) => network.nodes[current[*n]].frozen = true,
        Step::Thaw(n) => network.thaw(current[*n]),
        Step::Restart(n) => {
            let old = current[*n];
            network.nodes[old].running = false;
            let mut record = record(*n, DOMAINS);
            let tenths = network.now.as_millis() / 100;
            record.incarnation = Incarnation(1_000 + tenths as u32);
            let controls = seeds(network);
            let side = network.nodes[old].side;
            current[*n] = network.start(record, controls);
            network.nodes[current[*n]].side = side;
        }
        Step::Drain(n) => network.update(current[*n], |record| {
            record.state = match record.state {
                MemberState::Ready => MemberState::Draining,
                _ => MemberState::Ready,
            };
        }),
        Step::SetWeight(n, weight) => network.update(current[*n], |record| record.weight = *weight),
        Step::Cut(cut) => network.cut = *cut,
        Step::Wait(millis) => step_and_check(network, versions, Duration::from_millis(*millis)),
    }
}

/// After all faults end, every process must have the announced state of every other in its view.
#[test]
fn views_agree_after_any_order_of_faults() {
    let config = Config {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let result = runner.run(&schedule(), |(seed, loss, repeat, delay, steps)| {
        let mut network = Network::new(seed);
        network.conditions = Conditions {
            delay: Duration::from_millis(delay),
            loss,
            repeat,
        };
        let records: Vec<_> = (0..SIZE).map(|n| record(n, DOMAINS)).collect();
        let controls = [records[0].control, records[1].control];
        network.start_fleet(&records, &controls);
        for (number, node) in network.nodes.iter_mut().enumerate() {
            node.side = u8::from(number % 3 == 0);
        }
        // Index of the latest start of each process.
        let mut current: Vec<usize> = (0..SIZE).collect();
        let mut versions = ObservedVersions::new();
        for step in &steps {
            apply(&mut network, &mut current, &mut versions, step);
        }
        network.cut = false;
        network.conditions = Conditions::default();
        for node in &current {
            network.thaw(*node);
        }
        step_and_check(&mut network, &mut versions, seconds(60));
        for node in &current {
            let state = network.nodes[*node].local.state;
            prop_assert_eq!(count_views_with_state(&network, *node, state), SIZE - 1);
        }
        Ok(())
    });
    result.unwrap();
}
