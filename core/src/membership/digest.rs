//! Digests over shards of the live members, for anti-entropy (Demers et al., 1987).

use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64;

use super::{
    message::{PackedAddress, RecordVersion},
    roster::{Entry, Roster},
};

/// Target number of members in a shard.
const SHARD_MEMBERS: usize = 16;

/// Largest number of shards, which bounds the length of a digest message.
pub const MAX_SHARDS: u16 = 128;

/// Returns the number of shards, a power of two, for a number of members.
pub fn shard_count(members: usize) -> u16 {
    let wanted = (members / SHARD_MEMBERS).next_power_of_two();
    wanted.clamp(1, usize::from(MAX_SHARDS)) as u16
}

/// Returns the shard of a member, from zero.
pub fn shard_of(address: SocketAddrV4, shards: u16) -> u16 {
    let number = u64::from(PackedAddress(address));
    (xxh3_64(&number.to_le_bytes()) % u64::from(shards.max(1))) as u16
}

/// Returns a digest of the record versions of each shard.
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

/// Returns the record versions of the live members of a shard.
pub fn record_versions(roster: &Roster, shards: u16, shard: u16) -> Vec<RecordVersion> {
    let mut versions = Vec::new();
    for entry in roster.iter() {
        if !entry.is_live() || shard_of(entry.record.address, shards) != shard {
            continue;
        }
        versions.push(RecordVersion {
            address: PackedAddress(entry.record.address),
            incarnation: entry.record.incarnation,
            version: entry.record.version,
        });
    }
    versions
}

fn hash(entry: &Entry) -> u32 {
    let record = &entry.record;
    let mut bytes = [0; 20];
    bytes[..8].copy_from_slice(&u64::from(PackedAddress(record.address)).to_le_bytes());
    bytes[8..12].copy_from_slice(&record.incarnation.0.to_le_bytes());
    bytes[12..].copy_from_slice(&record.version.to_le_bytes());
    xxh3_64(&bytes) as u32
}
