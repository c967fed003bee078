//! Messages between the processes of a fleet, at most [`MESSAGE_BYTES`] long once signed.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::signer::MAC_BYTES;
use crate::{
    member::{MemberState, Record, Role},
    owner_id::{Incarnation, ServiceTag},
};

/// Largest signed message, in bytes.
pub const MESSAGE_BYTES: usize = 1200;

/// Headers of IP and UDP that each message costs besides its own bytes.
pub const PACKET_OVERHEAD: usize = 28;

/// Largest encoding of the header, the body's name and numbers, and the signature, in bytes.
const FIXED_BYTES: usize = 76 + MAC_BYTES;

/// Largest encoding of an update without its details, in bytes.
const BRIEF_BYTES: usize = 40;

/// Largest encoding of the details without the failure domain's name, in bytes.
const DETAILS_BYTES: usize = 32;

/// Largest encoding of an address, in bytes.
const ADDRESS_BYTES: usize = 9;

/// Largest encoding of one key of a shard, in bytes.
const KEY_BYTES: usize = 24;

/// Largest encoding of one digest, in bytes.
const DIGEST_BYTES: usize = 5;

/// Largest length of the lists of a message, in bytes.
const CONTENT_BYTES: usize = MESSAGE_BYTES - FIXED_BYTES;

/// Keys that fit a message.
pub const KEYS_PER_MESSAGE: usize = CONTENT_BYTES / KEY_BYTES;

/// An address in six bytes of an integer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "u64", into = "u64")]
pub struct Packed(pub SocketAddrV4);

impl From<u64> for Packed {
    fn from(value: u64) -> Self {
        let ip = Ipv4Addr::from((value >> 16) as u32);
        Self(SocketAddrV4::new(ip, value as u16))
    }
}

impl From<Packed> for u64 {
    fn from(packed: Packed) -> Self {
        let ip = u64::from(u32::from(*packed.0.ip()));
        ip << 16 | u64::from(packed.0.port())
    }
}

/// What the others found out about a member.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// Nothing speaks against it.
    #[default]
    Alive,
    /// It does not answer.
    Suspect,
    /// It was given up.
    Dead,
}

/// The announced state of a member and the verdict of the others, in one byte.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct Condition {
    /// State that the member announced: `Ready`, `Draining` or `Left`.
    pub announced: MemberState,
    /// Verdict of the others.
    pub verdict: Verdict,
}

impl TryFrom<u8> for Condition {
    type Error = &'static str;

    fn try_from(byte: u8) -> Result<Self, Self::Error> {
        let announced = match byte & 3 {
            0 => MemberState::Ready,
            1 => MemberState::Draining,
            2 => MemberState::Left,
            _ => return Err("unknown state"),
        };
        let verdict = match byte >> 2 {
            0 => Verdict::Alive,
            1 => Verdict::Suspect,
            2 => Verdict::Dead,
            _ => return Err("unknown verdict"),
        };
        Ok(Self { announced, verdict })
    }
}

impl From<Condition> for u8 {
    fn from(condition: Condition) -> Self {
        let announced = match condition.announced {
            MemberState::Draining => 1,
            MemberState::Left => 2,
            MemberState::Ready | MemberState::Suspect | MemberState::Dead => 0,
        };
        let verdict = match condition.verdict {
            Verdict::Alive => 0,
            Verdict::Suspect => 1,
            Verdict::Dead => 2,
        };
        announced | verdict << 2
    }
}

/// The parts of a record that do not change within one life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Details {
    /// Address of the control socket.
    pub control: Packed,
    /// Failure domain of the VM.
    pub domain: String,
    /// Whether the process is a balancer; else an agent.
    pub balancer: bool,
    /// Service that an agent serves.
    pub service: ServiceTag,
    /// Revision of the settings in force when the record was sent.
    pub revision: u64,
}

/// News of one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Address of the member's data socket.
    pub address: Packed,
    /// Life of the member.
    pub incarnation: Incarnation,
    /// Version of the record within that life.
    pub version: u64,
    /// State and verdict.
    pub condition: Condition,
    /// Relative share of new flows.
    pub weight: u16,
    /// Process that suspects the member.
    pub accuser: Option<Packed>,
    /// The rest of the record, for those who don't know the member.
    pub details: Option<Details>,
}

impl Update {
    /// Returns the news of a record without the details.
    pub fn brief(record: &Record, verdict: Verdict) -> Self {
        Self {
            address: Packed(record.address),
            incarnation: record.incarnation,
            version: record.version,
            condition: Condition {
                announced: record.state,
                verdict,
            },
            weight: record.weight,
            accuser: None,
            details: None,
        }
    }

    /// Returns the news of a record with the details.
    pub fn full(record: &Record, verdict: Verdict) -> Self {
        let details = Details {
            control: Packed(record.control),
            domain: record.domain.clone(),
            balancer: record.role == Role::Balancer,
            service: record.service,
            revision: record.revision,
        };
        Self {
            details: Some(details),
            ..Self::brief(record, verdict)
        }
    }

    /// Returns the record, if the details are there.
    pub fn record(&self) -> Option<Record> {
        let details = self.details.as_ref()?;
        Some(Record {
            address: self.address.0,
            control: details.control.0,
            incarnation: self.incarnation,
            domain: details.domain.clone(),
            role: match details.balancer {
                true => Role::Balancer,
                false => Role::Agent,
            },
            service: details.service,
            state: self.condition.announced,
            weight: self.weight,
            version: self.version,
            revision: details.revision,
        })
    }

    /// Returns a bound of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        let details = self.details.as_ref();
        BRIEF_BYTES + details.map_or(0, |d| DETAILS_BYTES + d.domain.len())
    }
}

/// Who sends a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Address of the sender's data socket.
    pub from: Packed,
    /// Address of the sender's control socket.
    pub control: Packed,
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Revision of the settings in force at the sender.
    pub revision: u64,
}

/// One live member as named in a comparison of shards.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Key {
    /// Address of the member's data socket.
    pub address: Packed,
    /// Life of the member.
    pub incarnation: Incarnation,
    /// Version of the record within that life.
    pub version: u64,
}

/// Purpose of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks the receiver for an acknowledgement.
    #[serde(rename = "p")]
    Ping {
        /// Number of the probe.
        sequence: u32,
    },
    /// Answers a ping.
    #[serde(rename = "a")]
    Ack {
        /// Number of the probe.
        sequence: u32,
    },
    /// Asks the receiver to probe another member.
    #[serde(rename = "i")]
    PingRequest {
        /// Number of the probe.
        sequence: u32,
        /// Control address of the member.
        target: Packed,
    },
    /// Carries updates only.
    #[serde(rename = "n")]
    News,
    /// Asks a seed for the size of the fleet and some members.
    #[serde(rename = "j")]
    Join,
    /// Answers a join.
    #[serde(rename = "w")]
    Welcome {
        /// Number of members that the seed knows.
        members: u32,
    },
    /// Compares the live members of all shards.
    #[serde(rename = "d")]
    Digest {
        /// Digest of each shard; their number is a power of two.
        digests: Vec<u32>,
    },
    /// Lists the live members of a shard that differs.
    #[serde(rename = "k")]
    Keys {
        /// Number of shards.
        shards: u16,
        /// Shard that is listed.
        shard: u16,
        /// Whether these are all of the shard.
        complete: bool,
        /// Live members of the shard.
        keys: Vec<Key>,
    },
    /// Asks for all members of a shard.
    #[serde(rename = "s")]
    Pull {
        /// Number of shards.
        shards: u16,
        /// Shard that is asked for.
        shard: u16,
    },
    /// Carries a part of a shard in its updates.
    #[serde(rename = "t")]
    Part {
        /// Shard that was asked for.
        shard: u16,
        /// Number of parts of the shard.
        parts: u16,
    },
}

/// A message on the control socket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// Who sends it.
    pub header: Header,
    /// Purpose.
    pub body: Body,
    /// News of members.
    pub updates: Vec<Update>,
    /// Members whose full record the sender wants.
    pub wanted: Vec<Packed>,
}

impl Message {
    /// Returns a bound of the length on the wire with IP and UDP headers, in bytes.
    pub fn size(&self) -> usize {
        let updates: usize = self.updates.iter().map(Update::size).sum();
        let body = match &self.body {
            Body::Digest { digests } => digests.len() * DIGEST_BYTES,
            Body::Keys { keys, .. } => keys.len() * KEY_BYTES,
            _ => 0,
        };
        let wanted = self.wanted.len() * ADDRESS_BYTES;
        PACKET_OVERHEAD + FIXED_BYTES + body + updates + wanted
    }

    /// Returns the bytes that are left for more content.
    pub fn room(&self) -> usize {
        (MESSAGE_BYTES + PACKET_OVERHEAD).saturating_sub(self.size())
    }

    /// Adds a wanted member if it fits.
    pub fn want(&mut self, address: SocketAddrV4) {
        if self.room() >= ADDRESS_BYTES && !self.wanted.contains(&Packed(address)) {
            self.wanted.push(Packed(address));
        }
    }

    /// Adds an update if it fits; returns whether it did.
    pub fn add(&mut self, update: Update) -> bool {
        let fits = self.room() >= update.size();
        if fits {
            self.updates.push(update);
        }
        fits
    }
}
