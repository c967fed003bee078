//! Placement of new flows, and the trial that compares methods of flow affinity.

use std::net::{Ipv4Addr, SocketAddrV4};

use berylvalve::{
    owner_id::ServiceTag,
    placement::{Candidate, Table},
    trial,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, RngSeed},
};

const SERVICE: ServiceTag = ServiceTag(1);

/// Upper bound of the agents of a service; covers the current sizes and much larger ones.
const MAX_AGENTS: u16 = 100;

fn config() -> Config {
    Config {
        cases: 256,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(43),
        ..Config::default()
    }
}

fn candidates() -> impl Strategy<Value = Vec<Candidate>> {
    prop::collection::vec(1..400_u16, 2..usize::from(MAX_AGENTS)).prop_map(|weights| {
        let numbered = weights.into_iter().zip(1..);
        let candidate = |(weight, port)| Candidate {
            address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
            weight,
        };
        numbered.map(candidate).collect()
    })
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn a_removal_moves_only_the_flows_of_the_removed_agent_to_their_second_choice(
        all in candidates(),
        removed_index in any::<prop::sample::Index>(),
        keys in prop::collection::vec(any::<u64>(), 50),
    ) {
        let mut remaining = all.clone();
        let removed = remaining.remove(removed_index.index(all.len()));
        let (before, after) = (Table::build(&all), Table::build(&remaining));
        for key in keys {
            let old = before.choose(SERVICE, &key.to_le_bytes()).unwrap();
            let new = after.choose(SERVICE, &key.to_le_bytes()).unwrap();
            let expected = match old.first == removed.address {
                true => old.second.unwrap(),
                false => old.first,
            };
            prop_assert_eq!(new.first, expected);
        }
    }

    /// The order in which a process learns of the agents must not affect its table.
    #[test]
    fn all_processes_compute_the_same_table(
        mut all in candidates(),
        rotation in any::<prop::sample::Index>(),
    ) {
        let table = Table::build(&all);
        let middle = rotation.index(all.len());
        all.rotate_left(middle);
        prop_assert_eq!(Table::build(&all), table);
    }
}

#[test]
fn owner_ids_break_no_flow_in_planned_changes() {
    let figures = (trial::find("flows").unwrap().run)(7);
    let owner_id = &figures["modes"]["owner_id"];
    assert_eq!(owner_id["broken_by_planned_change"], 0, "{figures}");
    assert_eq!(
        owner_id["told_of_their_loss"], owner_id["lost_with_their_server"],
        "{figures}"
    );
    // The trial's changes do break flows without owner ids, so the check above is not void.
    assert_ne!(
        figures["modes"]["consistent_hash"]["broken_by_planned_change"], 0,
        "{figures}"
    );
}
