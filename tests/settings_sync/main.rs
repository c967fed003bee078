//! Runs the state machines of edits and settings sync under random failures, in virtual time.
//!
//! Lost calls, frozen and restarted processes and a store reset to an older state must not revert or
//! lose an accepted change that some process has received.

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
        sync::{Action, Event, SettingsSync},
    },
    store::Position,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

use world::*;

fn injection() -> impl Strategy<Value = Injection> {
    prop_oneof![
        6 => (0..3_usize, 0..1000_u64).prop_map(|(service, value)| Injection::Edit(service, value)),
        2 => any::<bool>().prop_map(Injection::SetStoreDown),
        2 => (0..NODES, 100..4000_u64)
            .prop_map(|(node, duration_ms)| Injection::Freeze(node, duration_ms)),
        2 => (0..NODES).prop_map(Injection::Restart),
        1 => Just(Injection::SaveStore),
        1 => Just(Injection::ResetStore),
    ]
}

fn config() -> Config {
    Config {
        cases: 64,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn accepted_changes_become_active_everywhere_and_never_revert(
        seed in any::<u64>(),
        injections in prop::collection::vec((injection(), 0..1500_u64), 1..25),
    ) {
        let mut world = World::new(seed);
        world.start_setup(0);
        world.run(2000);
        for (injection, pause_ms) in &injections {
            world.inject(injection);
            world.run(*pause_ms);
        }
        world.has_random_failures = false;
        world.is_store_down = false;
        world.run(20_000);
        for (edit, outcome) in &world.edits {
            prop_assert!(outcome.is_some(), "{} has no outcome", edit.id());
        }
        let first = world.nodes[0].sync.replica().digest();
        for node in &world.nodes {
            prop_assert!(world.holds_accepted(node.sync.replica()));
            prop_assert_eq!(node.sync.replica().digest(), first);
        }
        // All parts that the store lost have been restored.
        let missing = world.nodes[0].sync.replica().missing_in(&world.store.stored(Position::START).parts);
        prop_assert!(missing.is_empty(), "the store lacks {:?}", missing.keys());
    }
}

#[test]
fn accepted_change_is_active_everywhere_within_three_seconds() {
    let mut world = World::new(1);
    world.has_random_failures = false;
    world.start_setup(0);
    world.run(3000);
    assert_eq!(world.count_up_to_date(), NODES);
    world.start_edit(0, 1);
    world.run(200);
    assert_eq!(world.accepted_parts.len(), 4);
    world.run(2800);
    assert_eq!(world.count_up_to_date(), NODES);
}

#[test]
fn process_started_during_a_store_outage_gets_settings_from_peers() {
    let mut world = World::new(2);
    world.has_random_failures = false;
    world.start_edit(0, 1);
    world.start_setup(50);
    world.run(3000);
    world.is_store_down = true;
    world.inject(&Injection::Restart(5));
    assert_eq!(world.nodes[5].sync.replica().revision(), 0);
    world.run(2000);
    assert_eq!(world.count_up_to_date(), NODES);
}

#[test]
fn store_reset_to_an_older_state_gets_its_lost_parts_back() {
    let mut world = World::new(3);
    world.has_random_failures = false;
    world.start_setup(0);
    world.run(3000);
    world.inject(&Injection::SaveStore);
    world.start_edit(0, 1);
    world.run(3000);
    world.inject(&Injection::ResetStore);
    world.run(5000);
    assert_eq!(world.count_up_to_date(), NODES);
    let missing = world.nodes[0]
        .sync
        .replica()
        .missing_in(&world.store.stored(Position::START).parts);
    assert!(missing.is_empty(), "{missing:?}");
}

#[test]
fn truncated_value_and_invalid_tree_are_never_activated() {
    let mut world = World::new(4);
    world.has_random_failures = false;
    world.start_setup(0);
    world.run(3000);
    let before = world.nodes[0].sync.replica().clone();
    let key = format!("{}services/a", Layout::new(REGION).parts_prefix());
    let mut stored = world.store.stored(Position::START);
    let head = Layout::new(REGION).head_key();
    // A writer bypasses the tool and stores a truncated value, then a service with the address of
    // another one.
    let mut part = stored.parts.remove(&PartName::Service("a".into())).unwrap();
    part.revision += 1;
    let encoded = part.encode();
    world.store.revision += 1;
    let revision = world.store.revision;
    world
        .store
        .entries
        .insert(key.clone(), (encoded[..encoded.len() / 2].into(), revision));
    world.store.entries.get_mut(&head).unwrap().1 = revision;
    world.run(3000);
    assert_eq!(world.nodes[0].sync.replica().parts(), before.parts());
    let duplicate = encoded.replace("10.0.0.1:443", "10.0.0.2:443");
    world.store.revision += 1;
    let revision = world.store.revision;
    world
        .store
        .entries
        .insert(key, (duplicate.into(), revision));
    world.store.entries.get_mut(&head).unwrap().1 = revision;
    world.run(3000);
    assert_eq!(world.nodes[0].sync.replica().parts(), before.parts());
}

#[test]
fn domain_has_two_balancers_as_relays_and_keeps_the_other_if_one_drains() {
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
fn edit_on_a_store_reset_to_an_older_state_waits_for_lost_parts() {
    let mut world = World::new(6);
    world.has_random_failures = false;
    world.start_edit(0, 1);
    let change = Change::Replace(tree());
    let deadline = Time::from_millis(60_000);
    let setup = Edit::new(REGION, change, "setup".into(), "setup".into(), deadline);
    world.edits.push((setup, None));
    world.schedule(50, Step::EditCall(1, EditAction::Read));
    world.run(3000);
    world.inject(&Injection::SaveStore);
    // The store loses the new address of service a; the second edit requests it for service b.
    world.start_edit(0, 369);
    world.run(3000);
    world.inject(&Injection::ResetStore);
    world.start_edit(1, 369);
    world.run(10_000);
    let outcome = world.edits.last().unwrap().1.clone().unwrap();
    assert!(matches!(outcome, Outcome::Invalid { .. }), "{outcome:?}");
    assert_eq!(world.count_up_to_date(), NODES);
}

#[test]
fn isolated_process_reads_the_store() {
    let mut sync = SettingsSync::new(tree(), address(5), &domain(5), true, 1);
    let full = World::new(7).view();
    let mut members = full.members.clone();
    for (own, record) in &mut members {
        if *own != address(5) {
            record.state = MemberState::Dead;
        }
    }
    let isolated = View {
        members,
        ..View::default()
    };
    sync.apply_view(&isolated, Time::from_millis(0));
    let early = sync.handle(Event::Tick, Time::from_millis(1000));
    assert!(!early.contains(&Action::ReadHead), "{early:?}");
    let late = sync.handle(Event::Tick, Time::from_millis(2600));
    assert!(late.contains(&Action::ReadHead), "{late:?}");
    let mut connected = SettingsSync::new(tree(), address(5), &domain(5), true, 1);
    connected.apply_view(&full, Time::from_millis(0));
    let late = connected.handle(Event::Tick, Time::from_millis(2600));
    assert!(!late.contains(&Action::ReadHead), "{late:?}");
}
