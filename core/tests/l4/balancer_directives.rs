//! Evacuation of failure domains at a balancer.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use berylvalve_core::{
    l4::{
        directives::Directives,
        message::{Message, Refusal},
        routes::ServiceKey,
        workload::Load,
    },
    member::{MemberState, Record, Role, View},
    owner_id::Incarnation,
    store::Position,
};

use crate::{
    balancer::{Harness, agent},
    codec::{DATA, OPENING, flow},
};

/// Returns a balancer of domain "a" that knows agents 1 and 2 of domain "a", and 3 and 4 of domain "b".
fn fleet_of_two_domains() -> Harness {
    let mut harness = Harness::new(0);
    apply_view(&mut harness, MemberState::Ready);
    harness.advance(1_000);
    harness
}

fn apply_view(harness: &mut Harness, state_in_a: MemberState) {
    let mut members = BTreeMap::new();
    for index in 1..=4 {
        let is_in_a = index <= 2;
        let record = Record {
            address: agent(index),
            control: agent(index),
            incarnation: Incarnation(1),
            domain: if is_in_a { "a" } else { "b" }.into(),
            role: Role::Agent,
            service: ServiceKey::of("desk").tag(),
            state: if is_in_a {
                state_in_a
            } else {
                MemberState::Ready
            },
            weight: 100,
            version: 0,
            revision: 0,
        };
        members.insert(record.address, record);
    }
    let base = View {
        joined: true,
        ..View::default()
    };
    harness
        .balancer
        .apply_view(&base.next(members), harness.now, &mut harness.sent);
}

fn evacuate(harness: &mut Harness, domains: &[&str]) {
    let evacuated = domains
        .iter()
        .map(|domain| ((*domain).to_owned(), Position::START));
    let directives = Arc::new(Directives {
        evacuated: evacuated.collect(),
        ..Directives::default()
    });
    harness
        .balancer
        .apply_directives(&directives, harness.now, &mut harness.sent);
}

/// Guards against placements in an evacuated domain, also while all other agents refuse or are silent:
/// an evacuation is absolute.
#[test]
fn nothing_is_placed_in_an_evacuated_domain() {
    let mut harness = fleet_of_two_domains();
    evacuate(&mut harness, &["a"]);
    let mut tried = BTreeSet::new();
    for port in 1..=40 {
        harness.receive_from_caller(OPENING, port);
        for _ in 0..6 {
            for agent in harness.drain_openings() {
                tried.insert(agent);
                harness.refuse(agent, Refusal::Busy, port);
            }
        }
    }
    for port in 41..=60 {
        harness.receive_from_caller(OPENING, port);
        harness.advance(200);
        tried.extend(harness.drain_openings());
    }
    assert_eq!(tried, BTreeSet::from([agent(3), agent(4)]));
}

/// Guards against an evacuation that ends open flows, or forwards them elsewhere.
#[test]
fn open_flows_stay_at_their_agents_during_an_evacuation() {
    let mut harness = fleet_of_two_domains();
    harness.receive_from_caller(OPENING, 1);
    let owner = harness.drain_openings()[0];
    assert!([agent(1), agent(2)].contains(&owner), "a local agent");
    let opened = Message::Opened {
        flow: flow(1),
        initial: 90,
        load: Load::default(),
    };
    harness.receive_from_peer(owner, opened, &[]);
    evacuate(&mut harness, &["a"]);
    harness.receive_from_caller(OPENING, 1);
    assert_eq!(harness.drain_openings(), [owner], "a repeated opening");
    harness.receive_from_caller(DATA, 1);
    assert_eq!(harness.sent.messages.pop(), Some((owner, Message::Forward)));
    assert_eq!(harness.sent.resets, 0);
}

/// Guards against openings that were sent to an agent just before its domain was evacuated and are lost.
#[test]
fn opening_that_an_evacuated_agent_refuses_goes_to_another_domain() {
    let mut harness = fleet_of_two_domains();
    harness.receive_from_caller(OPENING, 1);
    let first = harness.drain_openings()[0];
    evacuate(&mut harness, &["a"]);
    harness.refuse(first, Refusal::Draining, 1);
    let second = harness.drain_openings();
    assert!([agent(3), agent(4)].contains(&second[0]), "{second:?}");
}

/// Guards against callers that wait for an answer which can't come.
#[test]
fn opening_is_reset_at_once_if_all_domains_are_evacuated() {
    let mut harness = fleet_of_two_domains();
    evacuate(&mut harness, &["a", "b"]);
    harness.receive_from_caller(OPENING, 1);
    assert!(harness.drain_openings().is_empty());
    assert_eq!(harness.sent.resets, 1);
    assert_eq!(resets(&harness, "evacuated"), 1);
}

/// Guards against a reason that blames the evacuation while another domain's agents refuse.
#[test]
fn reset_names_the_evacuation_only_if_it_leaves_no_agent() {
    let mut harness = fleet_of_two_domains();
    evacuate(&mut harness, &["a"]);
    harness.receive_from_caller(OPENING, 1);
    for _ in 0..2 {
        let tried = harness.drain_openings()[0];
        harness.refuse(tried, Refusal::NoServer, 1);
    }
    assert_eq!(
        (resets(&harness, "no_agent"), resets(&harness, "evacuated")),
        (1, 0)
    );
    evacuate(&mut harness, &["b"]);
    apply_view(&mut harness, MemberState::Draining);
    harness.receive_from_caller(OPENING, 2);
    assert_eq!(resets(&harness, "evacuated"), 1);
}

fn resets(harness: &Harness, reason: &'static str) -> u64 {
    let family = &harness.balancer.metrics().reset;
    family.get_or_create(&[("reason", reason)]).get()
}

/// Guards against a herd on servers that may be cold, at the end of an evacuation.
#[test]
fn a_domain_gets_no_flows_at_once_when_its_evacuation_ends() {
    let mut harness = fleet_of_two_domains();
    evacuate(&mut harness, &["a"]);
    harness.advance(2_000);
    evacuate(&mut harness, &[]);
    let mut in_a = 0;
    for port in 1..=50 {
        harness.receive_from_caller(OPENING, port);
        let placed = harness.drain_openings()[0];
        in_a += usize::from(placed == agent(1) || placed == agent(2));
        let load = Load {
            slots: 8,
            ..Load::default()
        };
        let opened = Message::Opened {
            flow: flow(port),
            initial: 0,
            load,
        };
        harness.receive_from_peer(placed, opened, &[]);
    }
    assert!(in_a <= 1, "{in_a} of 50");
}

/// Guards against an opening that is sent to the same cold agent until its tries are used up: such an
/// agent refuses a forced opening too.
#[test]
fn agent_that_refuses_a_forced_opening_as_busy_is_not_asked_again() {
    let mut harness = Harness::new(3);
    harness.receive_from_caller(OPENING, 1);
    let mut tried = Vec::new();
    while let [next] = harness.drain_openings()[..] {
        tried.push(next);
        harness.refuse(next, Refusal::Busy, 1);
    }
    let forced = &tried[2..];
    let distinct: BTreeSet<_> = forced.iter().collect();
    assert_eq!((forced.len(), distinct.len()), (3, 3), "{tried:?}");
    assert_eq!(harness.sent.resets, 1);
}
