//! Which processes watch the store for the others.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{MemberState, Role, View};

/// Relays in each failure domain.
pub const RELAYS: usize = 2;

const RELAY_SEED: u64 = 0x7265_6c61_7973;

/// Returns the relays of a failure domain: the live balancers that rank first.
///
/// Ranks by rendezvous hashing (Thaler and Ravishankar, 1998), so that a balancer that joins or
/// leaves moves at most one duty.
pub fn relays(view: &View, domain: &str) -> Vec<SocketAddrV4> {
    let mut ranked = Vec::new();
    for record in view.members.values() {
        let ready = record.role == Role::Balancer && record.state == MemberState::Ready;
        if !ready || record.domain != domain {
            continue;
        }
        let name = record.address.to_string();
        ranked.push((
            xxh3_64_with_seed(name.as_bytes(), RELAY_SEED),
            record.address,
        ));
    }
    ranked.sort_unstable();
    ranked.truncate(RELAYS);
    ranked.into_iter().map(|(_, address)| address).collect()
}
