//! Comparison of the agents that a balancer knows with what other processes know.

use std::net::SocketAddrV4;

use berylvalve_core::{
    l4::balancer::known_agents::AgentSet,
    member::{KnownAgents, MemberState, Record, Role, View},
    owner_id::{Incarnation, ServiceTag},
};

const LEFT: MemberState = MemberState::Left;
const DEAD: MemberState = MemberState::Dead;
const READY: MemberState = MemberState::Ready;

fn view(agents: &[(u8, MemberState)]) -> View {
    let records = agents.iter().map(|(number, state)| Record {
        address: SocketAddrV4::new([10, 0, 1, *number].into(), 7001),
        control: SocketAddrV4::new([10, 0, 1, *number].into(), 7000),
        incarnation: Incarnation(1),
        domain: "a".into(),
        role: Role::Agent,
        service: ServiceTag(1),
        state: *state,
        weight: 100,
        version: 0,
        revision: 0,
    });
    View::default().next(records.map(|record| (record.address, record)).collect())
}

fn known(numbers: &[u8]) -> KnownAgents {
    let agents: Vec<_> = numbers.iter().map(|number| (*number, READY)).collect();
    view(&agents).known_agents()
}

/// A wrong `true` could reset an open flow at an agent that is unknown here.
#[test]
fn set_of_another_process_is_included_only_if_it_has_no_agent_that_is_unknown_here() {
    let mut set = AgentSet::default();
    set.update(&view(&[
        (1, READY),
        (2, READY),
        (3, READY),
        (4, LEFT),
        (5, LEFT),
        (6, DEAD),
    ]));
    for (numbers, included) in [
        (&[1, 2, 3][..], true),
        (&[1, 2], true),
        (&[1, 2, 3, 4], true),
        (&[1, 2, 3, 4, 5], true),
        (&[1, 2, 4], true),
        (&[1, 2, 3, 6], false),
        (&[1, 2, 3, 7], false),
        (&[1, 2, 7], false),
        (&[1, 2, 3, 4, 7], false),
        (&[1, 2, 4, 7], false),
    ] {
        assert_eq!(set.includes(&known(numbers)), included, "{numbers:?}");
    }
}
