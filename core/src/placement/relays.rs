//! Selection of the relays, the balancers that watch the store on behalf of all other processes.

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::{MemberState, Role, View};

/// Number of relays in each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 2;

const RELAY_HASH_SEED: u64 = 0x7265_6c61_7973;

/// Returns the relays of a failure domain: its ready balancers with the lowest hashes, at most
/// [`RELAYS_PER_DOMAIN`].
///
/// Uses rendezvous hashing (Thaler and Ravishankar, 1998), so that a balancer that joins or leaves
/// changes at most one relay of the domain.
pub fn relays(view: &View, domain: &str) -> Vec<SocketAddrV4> {
    let mut ranked = Vec::new();
    for record in view.members.values() {
        let is_candidate = record.role == Role::Balancer && record.state == MemberState::Ready;
        if !is_candidate || record.domain != domain {
            continue;
        }
        let address = record.address.to_string();
        ranked.push((
            xxh3_64_with_seed(address.as_bytes(), RELAY_HASH_SEED),
            record.address,
        ));
    }
    ranked.sort_unstable();
    ranked.truncate(RELAYS_PER_DOMAIN);
    ranked.into_iter().map(|(_, address)| address).collect()
}
