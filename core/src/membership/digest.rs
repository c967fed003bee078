//! Comparison of rosters by digests over shards (anti-entropy; Demers et al., 1987).

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    message::{Key, Packed},
    roster::{Entry, Roster},
};

/// Members of one shard, on average.
const SHARD_MEMBERS: usize = 16;

/// Largest number of shards.
pub const MAX_SHARDS: u16 = 128;

/// Returns the number of shards for a number of members.
pub fn shards(members: usize) -> u16 {
    let wanted = (members / SHARD_MEMBERS).next_power_of_two();
    wanted.clamp(1, usize::from(MAX_SHARDS)) as u16
}

/// Returns the shard of a member.
pub fn shard_of(address: SocketAddrV4, shards: u16) -> u16 {
    let number = u64::from(Packed(address));
    (xxh3_64(&number.to_le_bytes()) % u64::from(shards.max(1))) as u16
}

/// Returns the digest of the live members of each shard.
pub fn digests(roster: &Roster, shards: u16) -> Vec<u32> {
    let mut digests = vec![0; usize::from(shards)];
    for entry in roster.iter() {
        if !entry.is_live() {
            continue;
        }
        let shard = shard_of(entry.record.address, shards);
        digests[usize::from(shard)] ^= hash(entry);
    }
    digests
}

/// Returns the keys of the live members of a shard.
pub fn keys(roster: &Roster, shards: u16, shard: u16) -> Vec<Key> {
    let mut keys = Vec::new();
    for entry in roster.iter() {
        if !entry.is_live() || shard_of(entry.record.address, shards) != shard {
            continue;
        }
        keys.push(Key {
            address: Packed(entry.record.address),
            incarnation: entry.record.incarnation,
            version: entry.record.version,
        });
    }
    keys
}

fn hash(entry: &Entry) -> u32 {
    let record = &entry.record;
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&u64::from(Packed(record.address)).to_le_bytes());
    bytes[8..12].copy_from_slice(&record.incarnation.0.to_le_bytes());
    bytes[12..].copy_from_slice(&record.version.to_le_bytes());
    xxh3_64(&bytes) as u32
}
