//! Edits, relays and peers as state machines under random failures, in virtual time.

mod world;

use berylvalve::{
    clock::Time,
    member::{MemberState, View},
    placement::relays,
    settings::{
        change::Change,
        edit::{Action as EditAction, Edit, Outcome},
        layout::Layout,
        part::PartName,
        spread::{Action, Event, Spread},
    },
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

use world::*;

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        6 => (0..3_usize, 0..1000_u64).prop_map(|(service, value)| Fault::Edit(service, value)),
        2 => any::<bool>().prop_map(Fault::Down),
        2 => (0..NODES, 100..4000_u64).prop_map(|(node, time)| Fault::Freeze(node, time)),
        2 => (0..NODES).prop_map(Fault::Restart),
        1 => Just(Fault::Save),
        1 => Just(Fault::Restore),
    ]
}

fn fixed() -> Config {
    Config {
        cases: 64,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn once_accepted_it_is_in_force_everywhere_and_never_reverts(
        seed in any::<u64>(),
        faults in prop::collection::vec((fault(), 0..1500_u64), 1..25),
    ) {
        let mut world = World::new(seed);
        world.set_up(0);
        world.run(2000);
        for (fault, pause) in &faults {
            world.disturb(fault);
            world.run(*pause);
        }
        world.faults = false;
        world.down = false;
        world.run(20_000);
        for (edit, outcome) in &world.edits {
            prop_assert!(outcome.is_some(), "{} has no answer", edit.id());
        }
        let first = world.nodes[0].spread.holdings().digest();
        for node in &world.nodes {
            prop_assert!(world.holds_accepted(node.spread.holdings()));
            prop_assert_eq!(node.spread.holdings().digest(), first);
        }
        // The store has back what it lost.
        let missing = world.nodes[0].spread.holdings().missing_in(&world.store.stored(0).parts);
        prop_assert!(missing.is_empty(), "the store lacks {:?}", missing.keys());
    }
}

#[test]
fn settings_are_in_force_everywhere_within_seconds_of_acceptance() {
    let mut world = World::new(1);
    world.faults = false;
    world.set_up(0);
    world.run(3000);
    assert_eq!(world.informed(), NODES);
    world.start_edit(0, 1);
    world.run(200);
    assert_eq!(world.accepted.len(), 4);
    world.run(2800);
    assert_eq!(world.informed(), NODES);
}

#[test]
fn a_process_that_starts_while_the_store_is_down_gets_its_peers_settings() {
    let mut world = World::new(2);
    world.faults = false;
    world.start_edit(0, 1);
    world.set_up(50);
    world.run(3000);
    world.down = true;
    world.disturb(&Fault::Restart(5));
    assert_eq!(world.nodes[5].spread.holdings().revision(), 0);
    world.run(2000);
    assert_eq!(world.informed(), NODES);
}

#[test]
fn a_store_that_comes_back_older_changes_nothing_and_is_written_back_to() {
    let mut world = World::new(3);
    world.faults = false;
    world.set_up(0);
    world.run(3000);
    world.disturb(&Fault::Save);
    world.start_edit(0, 1);
    world.run(3000);
    world.disturb(&Fault::Restore);
    world.run(5000);
    assert_eq!(world.informed(), NODES);
    let missing = world.nodes[0]
        .spread
        .holdings()
        .missing_in(&world.store.stored(0).parts);
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn half_a_value_and_an_invalid_tree_never_come_in_force() {
    let mut world = World::new(4);
    world.faults = false;
    world.set_up(0);
    world.run(3000);
    let before = world.nodes[0].spread.holdings().clone();
    let key = format!("{}services/a", Layout::new(REGION).parts());
    let mut stored = world.store.stored(0);
    let head = Layout::new(REGION).head();
    // Somebody writes past the tool: first half a value, then one that shares an address.
    let mut part = stored.parts.remove(&PartName::Service("a".into())).unwrap();
    part.revision += 1;
    let half = part.encode();
    world.store.revision += 1;
    let revision = world.store.revision;
    world
        .store
        .entries
        .insert(key.clone(), (half[..half.len() / 2].into(), revision));
    world.store.entries.get_mut(&head).unwrap().1 = revision;
    world.run(3000);
    assert_eq!(world.nodes[0].spread.holdings().parts(), before.parts());
    let shared = half.replace("10.0.0.1:443", "10.0.0.2:443");
    world.store.revision += 1;
    let revision = world.store.revision;
    world.store.entries.insert(key, (shared.into(), revision));
    world.store.entries.get_mut(&head).unwrap().1 = revision;
    world.run(3000);
    assert_eq!(world.nodes[0].spread.holdings().parts(), before.parts());
}

#[test]
fn relays_are_two_balancers_of_a_domain_and_move_little() {
    let world = World::new(5);
    let view = world.view();
    let before = relays(&view, "d0");
    assert_eq!(before.len(), 2);
    assert!(
        before
            .iter()
            .all(|relay| usize::from(relay.ip().octets()[3]) < BALANCERS)
    );
    let mut members = view.members.clone();
    members.get_mut(&before[0]).unwrap().state = MemberState::Draining;
    let after = relays(
        &View {
            members,
            ..View::default()
        },
        "d0",
    );
    assert_eq!(after, before[1..]);
}

#[test]
fn an_edit_on_a_store_that_came_back_older_waits_until_it_is_written_back_to() {
    let mut world = World::new(6);
    world.faults = false;
    world.start_edit(0, 1);
    let change = Change::Replace(tree());
    let deadline = Time::from_millis(60_000);
    let setup = Edit::new(REGION, change, "setup".into(), "setup".into(), deadline);
    world.edits.push((setup, None));
    world.schedule(50, Step::EditCall(1, EditAction::Read));
    world.run(3000);
    world.disturb(&Fault::Save);
    // The address of a, which the store forgets, is then asked for by b.
    world.start_edit(0, 369);
    world.run(3000);
    world.disturb(&Fault::Restore);
    world.start_edit(1, 369);
    world.run(10_000);
    let outcome = world.edits.last().unwrap().1.clone().unwrap();
    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert_eq!(world.informed(), NODES);
}

#[test]
fn a_process_that_knows_no_live_peer_reads_the_store_itself() {
    let mut spread = Spread::new(tree(), address(5), &domain(5), true, 1);
    let whole = World::new(7).view();
    let mut members = whole.members.clone();
    for (own, record) in &mut members {
        if *own != address(5) {
            record.state = MemberState::Dead;
        }
    }
    let lonely = View {
        members,
        ..View::default()
    };
    spread.meet(&lonely, Time::from_millis(0));
    let early = spread.handle(Event::Tick, Time::from_millis(1000));
    assert!(!early.contains(&Action::ReadHead), "{early:?}");
    let late = spread.handle(Event::Tick, Time::from_millis(2600));
    assert!(late.contains(&Action::ReadHead), "{late:?}");
    let mut befriended = Spread::new(tree(), address(5), &domain(5), true, 1);
    befriended.meet(&whole, Time::from_millis(0));
    let late = befriended.handle(Event::Tick, Time::from_millis(2600));
    assert!(!late.contains(&Action::ReadHead), "{late:?}");
}
