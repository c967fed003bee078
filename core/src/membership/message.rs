//! Messages between the processes of a fleet, encoded in MessagePack.
//!
//! A signed message is at most [`MAX_MESSAGE_BYTES`] long. Lengths are computed as upper bounds, so
//! that a message can be filled without encoding it.

use std::net::{Ipv4Addr, SocketAddrV4};

use serde::{Deserialize, Serialize};

use super::signer::SIGNATURE_BYTES;
use crate::{
    member::{MemberState, Record, Role},
    owner_id::{Incarnation, ServiceTag},
};

/// Largest signed message, in bytes of UDP payload.
pub const MAX_MESSAGE_BYTES: usize = 1200;

/// Bytes of the IPv4 and UDP headers of one message.
pub const PACKET_OVERHEAD_BYTES: usize = 28;

/// Upper bound of the encoded header, body name, body numbers and signature, in bytes.
const FIXED_BYTES: usize = 76 + SIGNATURE_BYTES;

/// Upper bound of an encoded update without details, in bytes.
const BRIEF_BYTES: usize = 40;

/// Upper bound of encoded details without the name of the failure domain, in bytes.
const DETAILS_BYTES: usize = 32;

/// Upper bound of an encoded address, in bytes.
const ADDRESS_BYTES: usize = 9;

/// Upper bound of an encoded [`RecordVersion`], in bytes.
const VERSION_BYTES: usize = 24;

/// Upper bound of an encoded shard digest, in bytes.
const DIGEST_BYTES: usize = 5;

/// Space for the lists of a message, in bytes.
const CONTENT_BYTES: usize = MAX_MESSAGE_BYTES - FIXED_BYTES;

/// Largest number of record versions in one message.
pub const VERSIONS_PER_MESSAGE: usize = CONTENT_BYTES / VERSION_BYTES;

/// An address that is encoded as an integer: the IP address above the 16 bits of the port.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(from = "u64", into = "u64")]
pub struct PackedAddress(pub SocketAddrV4);

impl From<u64> for PackedAddress {
    fn from(value: u64) -> Self {
        let ip = Ipv4Addr::from((value >> 16) as u32);
        Self(SocketAddrV4::new(ip, value as u16))
    }
}

impl From<PackedAddress> for u64 {
    fn from(packed: PackedAddress) -> Self {
        let ip = u64::from(u32::from(*packed.0.ip()));
        ip << 16 | u64::from(packed.0.port())
    }
}

/// Whether a member responds to probes, as far as the other processes know.
///
/// The order is that of precedence among reports on the same version of a record.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// No process suspects the member.
    #[default]
    Alive,
    /// A probe of the member failed; it is removed unless it refutes this or answers in time.
    Suspect,
    /// The suspicion timed out and the member was removed.
    Dead,
}

/// The announced state of a member and its liveness, encoded in one byte.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(try_from = "u8", into = "u8")]
pub struct CombinedState {
    /// State that the member announced: `Ready`, `Draining` or `Left`.
    pub announced: MemberState,
    /// Liveness according to the other processes.
    pub liveness: Liveness,
}

impl TryFrom<u8> for CombinedState {
    type Error = &'static str;

    fn try_from(byte: u8) -> Result<Self, Self::Error> {
        let announced = match byte & 3 {
            0 => MemberState::Ready,
            1 => MemberState::Draining,
            2 => MemberState::Left,
            _ => return Err("unknown announced state in bits 0-1 of the combined state"),
        };
        let liveness = match byte >> 2 {
            0 => Liveness::Alive,
            1 => Liveness::Suspect,
            2 => Liveness::Dead,
            _ => return Err("unknown liveness in bits 2-7 of the combined state"),
        };
        Ok(Self {
            announced,
            liveness,
        })
    }
}

impl From<CombinedState> for u8 {
    fn from(combined_state: CombinedState) -> Self {
        let announced = match combined_state.announced {
            MemberState::Draining => 1,
            MemberState::Left => 2,
            MemberState::Ready | MemberState::Suspect | MemberState::Dead => 0,
        };
        let liveness = match combined_state.liveness {
            Liveness::Alive => 0,
            Liveness::Suspect => 1,
            Liveness::Dead => 2,
        };
        announced | liveness << 2
    }
}

/// The fields of a record other than address, incarnation, version, state and weight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Details {
    /// Address of the control socket.
    pub control: PackedAddress,
    /// Failure domain of the VM.
    pub domain: String,
    /// Whether the process is a balancer; otherwise it is an agent.
    pub is_balancer: bool,
    /// Service that an agent serves; zero for a balancer.
    pub service: ServiceTag,
    /// Latest settings revision of the member that the sender knows.
    pub revision: u64,
}

/// An update about one member.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Update {
    /// Address of the member's data socket.
    pub address: PackedAddress,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Version of the record within the incarnation.
    pub version: u64,
    /// Announced state and liveness.
    pub combined_state: CombinedState,
    /// Relative share of new flows.
    pub weight: u16,
    /// Process that gossips the suspicion.
    ///
    /// `None` if the member is not suspected, in updates with details, and in updates that only
    /// tell a member that it is suspected.
    pub reporter: Option<PackedAddress>,
    /// The rest of the record, for receivers that do not know the member yet.
    pub details: Option<Details>,
}

impl Update {
    /// Returns an update without details.
    pub fn brief(record: &Record, liveness: Liveness) -> Self {
        Self {
            address: PackedAddress(record.address),
            incarnation: record.incarnation,
            version: record.version,
            combined_state: CombinedState {
                announced: record.state,
                liveness,
            },
            weight: record.weight,
            reporter: None,
            details: None,
        }
    }

    /// Returns an update with details.
    pub fn full(record: &Record, liveness: Liveness) -> Self {
        let details = Details {
            control: PackedAddress(record.control),
            domain: record.domain.clone(),
            is_balancer: record.role == Role::Balancer,
            service: record.service,
            revision: record.revision,
        };
        Self {
            details: Some(details),
            ..Self::brief(record, liveness)
        }
    }

    /// Returns the announced record, or `None` if the update has no details.
    pub fn record(&self) -> Option<Record> {
        let details = self.details.as_ref()?;
        Some(Record {
            address: self.address.0,
            control: details.control.0,
            incarnation: self.incarnation,
            domain: details.domain.clone(),
            role: match details.is_balancer {
                true => Role::Balancer,
                false => Role::Agent,
            },
            service: details.service,
            state: self.combined_state.announced,
            weight: self.weight,
            version: self.version,
            revision: details.revision,
        })
    }

    /// Returns an upper bound of the encoded length, in bytes.
    pub fn size(&self) -> usize {
        let details = self.details.as_ref();
        BRIEF_BYTES + details.map_or(0, |d| DETAILS_BYTES + d.domain.len())
    }
}

/// The sender of a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Address of the sender's data socket.
    pub from: PackedAddress,
    /// Address of the sender's control socket.
    pub control: PackedAddress,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Revision of the settings that the sender has applied.
    pub revision: u64,
}

/// The version of one live member's record, for the comparison of a shard.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RecordVersion {
    /// Address of the member's data socket.
    pub address: PackedAddress,
    /// Incarnation of the member.
    pub incarnation: Incarnation,
    /// Version of the record within the incarnation.
    pub version: u64,
}

/// Kind of a message, with its parameters.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Body {
    /// Asks the receiver for an acknowledgement.
    #[serde(rename = "p")]
    Ping {
        /// Sequence number of the probe.
        sequence: u32,
    },
    /// Answers a ping.
    #[serde(rename = "a")]
    Ack {
        /// Sequence number of the ping that is acknowledged.
        sequence: u32,
    },
    /// Asks the receiver to ping another member on behalf of the sender.
    #[serde(rename = "i")]
    PingRequest {
        /// Sequence number of the sender's probe.
        sequence: u32,
        /// Control address of the member to ping.
        target: PackedAddress,
    },
    /// Carries only updates and requests for records.
    #[serde(rename = "n")]
    Gossip,
    /// Asks a seed for the size of the fleet and for some members.
    #[serde(rename = "j")]
    Join,
    /// Answers a [`Body::Join`].
    #[serde(rename = "w")]
    JoinReply {
        /// Number of live members that the seed knows.
        members: u32,
    },
    /// Starts an anti-entropy comparison of the live members of all shards.
    #[serde(rename = "d")]
    Digest {
        /// Digest of each shard; the number of shards is a power of two.
        digests: Vec<u32>,
    },
    /// Lists the record versions of a shard whose digests differ.
    #[serde(rename = "k")]
    Versions {
        /// Total number of shards.
        shards: u16,
        /// Shard that is listed, from zero.
        shard: u16,
        /// Whether all live members of the shard are listed.
        complete: bool,
        /// Record versions of live members of the shard.
        versions: Vec<RecordVersion>,
    },
    /// Requests the records of all live members of a shard.
    #[serde(rename = "s")]
    Pull {
        /// Total number of shards.
        shards: u16,
        /// Requested shard, from zero.
        shard: u16,
    },
    /// Carries a part of a requested shard as updates.
    #[serde(rename = "t")]
    ShardPart {
        /// Requested shard, from zero.
        shard: u16,
        /// Number of messages that the shard is split into.
        parts: u16,
    },
}

/// A message on the control socket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Message {
    /// The sender.
    pub header: Header,
    /// Kind and parameters.
    pub body: Body,
    /// Updates about members, at most as many as fit.
    pub updates: Vec<Update>,
    /// Members whose full records the sender requests.
    pub requested: Vec<PackedAddress>,
}

impl Message {
    /// Returns an upper bound of the length on the wire, with IP and UDP headers, in bytes.
    pub fn size(&self) -> usize {
        let updates: usize = self.updates.iter().map(Update::size).sum();
        let body = match &self.body {
            Body::Digest { digests } => digests.len() * DIGEST_BYTES,
            Body::Versions { versions, .. } => versions.len() * VERSION_BYTES,
            _ => 0,
        };
        let requested = self.requested.len() * ADDRESS_BYTES;
        PACKET_OVERHEAD_BYTES + FIXED_BYTES + body + updates + requested
    }

    /// Returns how many more bytes of content fit.
    pub fn remaining_bytes(&self) -> usize {
        (MAX_MESSAGE_BYTES + PACKET_OVERHEAD_BYTES).saturating_sub(self.size())
    }

    /// Requests the full record of a member, if the request fits.
    pub fn request_record(&mut self, address: SocketAddrV4) {
        if self.remaining_bytes() >= ADDRESS_BYTES
            && !self.requested.contains(&PackedAddress(address))
        {
            self.requested.push(PackedAddress(address));
        }
    }

    /// Adds an update if it fits; returns whether it did.
    pub fn add(&mut self, update: Update) -> bool {
        let fits = self.remaining_bytes() >= update.size();
        if fits {
            self.updates.push(update);
        }
        fits
    }
}
