//! Which processes read the seeds from the store, by the members that they know.

use std::{collections::BTreeMap, net::SocketAddrV4};

use berylvalve_core::{
    l4::daemon::{SeedNeed, seed_need},
    member::{MemberState, Record, Role, View},
    owner_id::{Incarnation, ServiceTag},
};

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 7001)
}

fn view(members: &[(u8, Role, MemberState)]) -> View {
    let records = members.iter().map(|(number, role, state)| Record {
        address: address(*number),
        control: address(*number),
        incarnation: Incarnation(1),
        domain: "a".into(),
        role: *role,
        service: ServiceTag(0),
        state: *state,
        weight: 100,
        version: 0,
        revision: 0,
    });
    let members: BTreeMap<_, _> = records.map(|record| (record.address, record)).collect();
    View::default().next(members)
}

/// Guards against an agent that stays separated from the fleet: once the last balancer that it knows is
/// gone, no process gives it the addresses of the others. It has to read the seeds from the store.
/// Balancers read them periodically, as parts of the fleet may have lost contact with each other.
#[test]
fn agents_read_seeds_while_they_know_no_balancer_and_balancers_do_so_periodically() {
    use MemberState::{Dead, Left, Ready};
    use Role::{Agent, Balancer};
    for (own, others, expected) in [
        (Agent, vec![], SeedNeed::Now),
        (Agent, vec![(2, Agent, Ready)], SeedNeed::Now),
        (
            Agent,
            vec![(2, Balancer, Left), (3, Balancer, Dead)],
            SeedNeed::Now,
        ),
        (
            Agent,
            vec![(2, Agent, Ready), (3, Balancer, Ready)],
            SeedNeed::Never,
        ),
        (Balancer, vec![], SeedNeed::Now),
        (Balancer, vec![(2, Agent, Dead)], SeedNeed::Now),
        (Balancer, vec![(2, Agent, Ready)], SeedNeed::Periodic),
        (Balancer, vec![(2, Balancer, Ready)], SeedNeed::Periodic),
    ] {
        let mut members = vec![(1, own, Ready)];
        members.extend(others);
        let need = seed_need(&view(&members), address(1), "a", own);
        assert_eq!(need, expected, "{members:?}");
    }
}
