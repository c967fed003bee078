//! The filter of held flows: no false negatives, few false positives, bounded size.

use std::net::{Ipv4Addr, SocketAddrV4};

use berylvalve_core::l4::{
    flow_set::{self, FlowHash, FlowSet, MAX_ENCODED_BYTES},
    segment::FlowKey,
};
use proptest::prelude::*;

fn any_flow() -> impl Strategy<Value = FlowKey> {
    let address =
        (any::<u32>(), any::<u16>()).prop_map(|(ip, port)| SocketAddrV4::new(ip.into(), port));
    (address.clone(), address).prop_map(|(caller, address)| FlowKey { caller, address })
}

fn encode(flows: &[FlowKey], seed: u32) -> Vec<u8> {
    let hashes: Vec<FlowHash> = flows.iter().map(|flow| FlowHash::new(flow, seed)).collect();
    let mut encoded = Vec::new();
    flow_set::encode(&hashes, &mut encoded);
    encoded
}

proptest! {
    /// Guards against the reset of a live flow: a filter without a flow that its agent holds would count
    /// as proof that the flow is lost.
    #[test]
    fn filter_contains_all_encoded_flows(
        flows in prop::collection::vec(any_flow(), 0..3_000),
        seed in any::<u32>(),
    ) {
        let encoded = encode(&flows, seed);
        prop_assert!(encoded.len() <= MAX_ENCODED_BYTES);
        let set = FlowSet::decode(&encoded).unwrap();
        for flow in &flows {
            prop_assert!(set.contains(FlowHash::new(flow, seed)));
        }
    }

    /// Guards against a damaged reply that is taken for proof, or ends the process.
    #[test]
    fn filter_of_another_length_is_rejected_and_arbitrary_bytes_are_harmless(
        flows in prop::collection::vec(any_flow(), 0..100),
        bytes in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let encoded = encode(&flows, 1);
        for length in 0..encoded.len() {
            prop_assert!(FlowSet::decode(&encoded[..length]).is_none());
        }
        if let Some(set) = FlowSet::decode(&bytes) {
            for flow in &flows {
                set.contains(FlowHash::new(flow, 1));
            }
        }
    }
}

/// Guards against filters that cause as many queries as they save.
#[test]
fn filter_contains_few_other_flows() {
    let flow = |index: u16| FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), index),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    };
    // The second filter is at the size limit, with 4.4 bits for each flow.
    for (count, limit) in [(800, 200), (2_000, 2_000)] {
        let flows: Vec<FlowKey> = (0..count).map(flow).collect();
        let encoded = encode(&flows, 7);
        let set = FlowSet::decode(&encoded).unwrap();
        let others = (20_000..30_000).map(flow);
        let contained = others.filter(|flow| set.contains(FlowHash::new(flow, 7)));
        let contained = contained.count();
        assert!(contained <= limit, "{contained} of 10000 with {count}");
    }
}
