//! Tests of the view that is computed from the members.

use std::{collections::BTreeMap, net::SocketAddrV4, sync::Arc};

use berylvalve::{
    member::{MemberState, Record, View},
    owner_id::ServiceTag,
    trial::membership::network::record,
};

fn members(count: usize) -> BTreeMap<SocketAddrV4, Record> {
    let records = (0..count).map(|n| record(n, 4));
    records
        .map(|mut r| {
            r.service.0 %= 10;
            (r.address, r)
        })
        .collect()
}

fn agents_of(view: &View, service: u16) -> Vec<SocketAddrV4> {
    let table = &view.tables[&ServiceTag(service)];
    let mut agents = table.addresses();
    agents.sort_unstable();
    agents.dedup();
    agents
}

#[test]
fn only_tables_of_changed_services_are_rebuilt() {
    let mut members = members(80);
    let first = View::default().next(members.clone());
    let address = record(3, 4).address;
    members.get_mut(&address).unwrap().state = MemberState::Draining;
    let second = first.next(members);
    for (service, table) in &second.tables {
        let same = Arc::ptr_eq(table, &first.tables[service]);
        assert_eq!(same, *service != ServiceTag(3), "{service:?}");
    }
    assert!(Arc::ptr_eq(
        &second.earlier_tables[&ServiceTag(3)],
        &first.tables[&ServiceTag(3)]
    ));
    assert!(!agents_of(&second, 3).contains(&address));
}

#[test]
fn suspects_are_candidates_only_without_ready_agents() {
    let mut members = members(80);
    let is_in_service = |r: &Record| r.service == ServiceTag(5);
    let agents: Vec<_> = agents_of(&View::default().next(members.clone()), 5);
    for address in &agents[1..] {
        members.get_mut(address).unwrap().state = MemberState::Suspect;
    }
    let view = View::default().next(members.clone());
    assert_eq!(agents_of(&view, 5), agents[..1]);
    members.get_mut(&agents[0]).unwrap().state = MemberState::Draining;
    let view = view.next(members.clone());
    assert_eq!(agents_of(&view, 5), agents[1..]);
    for record in members.values_mut().filter(|r| is_in_service(r)) {
        record.state = MemberState::Dead;
    }
    let view = view.next(members);
    assert!(!view.tables.contains_key(&ServiceTag(5)));
}
