//! Routes reach every balancer and never go back.

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
};

use berylvalve_core::{
    clock::Time,
    l4::{
        routes::RouteTable,
        spread::{Action, Event, Spread},
    },
    member::{MemberState, Record, Role, View},
    owner_id::{Incarnation, ServiceTag},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 7001)
}

fn table(version: u64) -> RouteTable {
    RouteTable {
        version,
        idle_ms: 15_000,
        routes: HashMap::new(),
    }
}

fn view(versions: &[u64]) -> View {
    let mut members = BTreeMap::new();
    for (index, revision) in versions.iter().enumerate() {
        let record = Record {
            address: address(index as u8),
            control: address(index as u8),
            incarnation: Incarnation(1),
            domain: "a".into(),
            role: Role::Balancer,
            service: ServiceTag(0),
            state: MemberState::Ready,
            weight: 100,
            version: 0,
            revision: *revision,
        };
        members.insert(record.address, record);
    }
    View::default().next(members)
}

fn spread() -> Spread {
    Spread::new(address(0), "a")
}

#[test]
fn process_reads_then_watches_from_what_it_read() {
    let mut spread = spread();
    let now = Time::default();
    assert_eq!(spread.handle(Event::Tick, now), [Action::Read]);
    let actions = spread.handle(Event::Read(41, Some(table(7))), now);
    assert!(actions.contains(&Action::Watch(41)));
    assert_eq!(spread.table().version, 7);
}

#[test]
fn ended_watch_is_followed_by_a_read_and_a_new_watch() {
    let mut spread = spread();
    spread.handle(Event::Tick, Time::default());
    spread.handle(Event::Read(41, Some(table(7))), Time::default());
    spread.handle(Event::WatchEnded, Time::from_millis(10));
    let later = Time::from_millis(400);
    assert_eq!(spread.handle(Event::Tick, later), [Action::Read]);
    let actions = spread.handle(Event::Read(60, Some(table(9))), later);
    assert!(actions.contains(&Action::Watch(60)));
}

#[test]
fn change_during_a_read_is_read_again() {
    let mut spread = spread();
    let now = Time::default();
    spread.handle(Event::Tick, now);
    spread.handle(Event::Changed, now);
    let actions = spread.handle(Event::Read(41, Some(table(7))), now);
    assert!(actions.contains(&Action::Read), "{actions:?}");
}

#[test]
fn process_that_can_not_read_the_store_pulls_from_a_peer_that_is_ahead() {
    let mut spread = spread();
    spread.handle(Event::Tick, Time::default());
    spread.handle(Event::ReadFailed, Time::default());
    spread.meet(&view(&[0, 3, 8]));
    let actions = spread.handle(Event::Tick, Time::from_millis(1));
    assert_eq!(actions, [Action::Pull(address(2))]);
    spread.handle(Event::Pulled(Some(table(8))), Time::from_millis(2));
    assert_eq!(spread.table().version, 8);
}

fn event() -> impl Strategy<Value = Event> {
    let version = || proptest::option::of((1..20_u64).prop_map(table));
    prop_oneof![
        Just(Event::Tick),
        (1..99_u64, version()).prop_map(|(revision, table)| Event::Read(revision, table)),
        Just(Event::ReadFailed),
        Just(Event::Changed),
        Just(Event::WatchEnded),
        version().prop_map(Event::Pulled),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(61), ..Config::default() })]

    #[test]
    fn version_in_force_never_goes_back(events in proptest::collection::vec(event(), 0..60)) {
        let mut spread = spread();
        let mut newest = 0;
        for (step, event) in events.into_iter().enumerate() {
            let offered = match &event {
                Event::Read(_, Some(table)) | Event::Pulled(Some(table)) => table.version,
                _ => 0,
            };
            spread.handle(event, Time::from_millis(step as u64 * 50));
            newest = newest.max(offered);
            prop_assert_eq!(spread.table().version, newest);
        }
    }
}
