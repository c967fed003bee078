//! Placement of first packets, and the trial that compares ways of keeping flows.

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

/// Members of a service of today's sizes and well above.
const MANY: u16 = 100;

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
    prop::collection::vec(1..400_u16, 2..usize::from(MANY)).prop_map(|weights| {
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

    /// Only the flows of the server that leaves move, each to its second choice.
    #[test]
    fn a_leave_moves_only_the_flows_of_the_server_that_leaves(
        all in candidates(),
        leaving in any::<prop::sample::Index>(),
        keys in prop::collection::vec(any::<u64>(), 50),
    ) {
        let mut fewer = all.clone();
        let removed = fewer.remove(leaving.index(all.len()));
        let (before, after) = (Table::build(&all), Table::build(&fewer));
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

    /// A table depends on its members, not on the order in which they became known.
    #[test]
    fn all_processes_compute_the_same_table(
        mut all in candidates(),
        turn in any::<prop::sample::Index>(),
    ) {
        let table = Table::build(&all);
        let middle = turn.index(all.len());
        all.rotate_left(middle);
        prop_assert_eq!(Table::build(&all), table);
    }
}

#[test]
fn owner_ids_lose_no_flow_by_a_planned_change() {
    let figures = (trial::find("flows").unwrap().run)(7);
    let owner_id = &figures["modes"]["owner_id"];
    assert_eq!(owner_id["broken_by_planned_change"], 0, "{figures}");
    assert_eq!(
        owner_id["told_of_their_loss"], owner_id["lost_with_their_server"],
        "{figures}"
    );
    assert_ne!(
        figures["modes"]["consistent_hash"]["broken_by_planned_change"], 0,
        "{figures}"
    );
}
