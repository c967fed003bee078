//! Random orders of loss, delay, repetition, freezes and restarts.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use berylvalve::{
    member::MemberState,
    membership::{
        budget::{BURST, RATE},
        message::MESSAGE_BYTES,
    },
    owner_id::Incarnation,
    trial::membership::network::{Conditions, Network, record},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed, TestRunner},
};

use crate::{DOMAINS, seconds, seeds, seen};

const SIZE: usize = 14;

#[derive(Clone, Debug)]
enum Fault {
    Freeze(usize),
    Thaw(usize),
    Restart(usize),
    Drain(usize),
    Weigh(usize, u16),
    Cut(bool),
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    let node = 0..SIZE;
    prop_oneof![
        node.clone().prop_map(Fault::Freeze),
        node.clone().prop_map(Fault::Thaw),
        node.clone().prop_map(Fault::Restart),
        node.clone().prop_map(Fault::Drain),
        (node, 1..200_u16).prop_map(|(n, w)| Fault::Weigh(n, w)),
        any::<bool>().prop_map(Fault::Cut),
        (1..8000_u64).prop_map(Fault::Wait),
    ]
}

fn schedule() -> impl Strategy<Value = (u64, f64, f64, u64, Vec<Fault>)> {
    (
        any::<u64>(),
        0.0..0.3,
        0.0..0.3,
        1..80_u64,
        prop::collection::vec(fault(), 1..25),
    )
}

/// What each process has seen of each member: its incarnation and version.
type Seen = BTreeMap<(usize, SocketAddrV4), (Incarnation, u64)>;

fn step_and_check(network: &mut Network, seen: &mut Seen, time: Duration) {
    let end = network.now + time;
    while let Some(acted) = network.step(end) {
        let Some(node) = acted else {
            continue;
        };
        check(network, seen, node);
    }
    network.now = end;
}

/// No news goes back, no process counts itself out, and the budget holds.
fn check(network: &Network, seen: &mut Seen, number: usize) {
    let node = &network.nodes[number];
    for entry in node.swim.roster().iter() {
        let key = (number, entry.record.address);
        let now = (entry.record.incarnation, entry.record.version);
        let last = seen.insert(key, now).unwrap_or(now);
        assert!(now >= last, "{key:?} went from {last:?} to {now:?}");
    }
    let own = node.swim.state_of(node.local.address);
    assert_eq!(own, Some(node.swim.own().state));
    assert!(node.longest <= MESSAGE_BYTES);
    let elapsed = network.now.since(Default::default()).as_secs_f64();
    let allowed = RATE as f64 * elapsed + BURST as f64;
    assert!(node.bytes as f64 <= allowed);
}

fn apply(network: &mut Network, current: &mut [usize], seen: &mut Seen, fault: &Fault) {
    match fault {
        Fault::Freeze(n) => network.nodes[current[*n]].frozen = true,
        Fault::Thaw(n) => network.thaw(current[*n]),
        Fault::Restart(n) => {
            let old = current[*n];
            network.nodes[old].running = false;
            let mut record = record(*n, DOMAINS);
            let lived = network.now.as_millis() / 100;
            record.incarnation = Incarnation(1_000 + lived as u32);
            let all = seeds(network);
            let side = network.nodes[old].side;
            current[*n] = network.start(record, all);
            network.nodes[current[*n]].side = side;
        }
        Fault::Drain(n) => network.update(current[*n], |record| {
            record.state = match record.state {
                MemberState::Ready => MemberState::Draining,
                _ => MemberState::Ready,
            };
        }),
        Fault::Weigh(n, weight) => network.update(current[*n], |record| record.weight = *weight),
        Fault::Cut(cut) => network.cut = *cut,
        Fault::Wait(millis) => step_and_check(network, seen, Duration::from_millis(*millis)),
    }
}

/// After all faults end, every process sees every other as it is.
#[test]
fn any_order_of_faults_ends_in_agreement() {
    let config = Config {
        cases: 40,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let result = runner.run(&schedule(), |(seed, loss, repeat, delay, faults)| {
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
        let mut current: Vec<usize> = (0..SIZE).collect();
        let mut seen_before = Seen::new();
        for fault in &faults {
            apply(&mut network, &mut current, &mut seen_before, fault);
        }
        network.cut = false;
        network.conditions = Conditions::default();
        for node in &current {
            network.thaw(*node);
        }
        step_and_check(&mut network, &mut seen_before, seconds(60));
        for node in &current {
            let state = network.nodes[*node].local.state;
            prop_assert_eq!(seen(&network, *node, state), SIZE - 1);
        }
        Ok(())
    });
    result.unwrap();
}
