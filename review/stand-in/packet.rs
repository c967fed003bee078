//! Packets as PROTOCOL.md ("Packets") writes them. The key of the sum is this stand-in's own.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const HEAD: usize = 36;
pub const ACK: u8 = 1;
pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 16;
pub const RST: u8 = 64;
pub const FIN: u8 = 128;

#[derive(Clone, Debug)]
pub struct Packet {
    pub src: SocketAddrV4,
    pub dst: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub data: Vec<u8>,
}

/// A consumer's end and a route's end.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Flow {
    pub consumer: SocketAddrV4,
    pub route: SocketAddrV4,
}

impl Packet {
    pub fn end(&self) -> u32 {
        self.seq.wrapping_add(self.data.len() as u32)
    }

    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[4..6].copy_from_slice(&(self.data.len() as u16).to_be_bytes());
        bytes[6..10].copy_from_slice(&self.dst.ip().octets());
        bytes[10..12].copy_from_slice(&self.src.port().to_be_bytes());
        bytes[12..14].copy_from_slice(&self.dst.port().to_be_bytes());
        bytes[14..18].copy_from_slice(&self.src.ip().octets());
        bytes[18..22].copy_from_slice(&self.seq.to_be_bytes());
        bytes[22..26].copy_from_slice(&self.ack.to_be_bytes());
        bytes[30] = self.flags;
        bytes.extend_from_slice(&self.data);
        let sum = sum(&bytes);
        bytes[..4].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Returns the packet and whether its sum is right; `None` if the bytes are no packet.
    pub fn decode(bytes: &[u8]) -> Option<(Packet, bool)> {
        if bytes.len() < HEAD || bytes.len() != HEAD + usize::from(u16_at(bytes, 4)) {
            return None;
        }
        let packet = Packet {
            src: SocketAddrV4::new(ip_at(bytes, 14), u16_at(bytes, 10)),
            dst: SocketAddrV4::new(ip_at(bytes, 6), u16_at(bytes, 12)),
            seq: u32_at(bytes, 18),
            ack: u32_at(bytes, 22),
            flags: bytes[30] & !BOUNCED,
            data: bytes[HEAD..].to_vec(),
        };
        Some((packet, u32_at(bytes, 0) == sum(bytes)))
    }
}

/// Returns a packet as a server bounces it.
pub fn bounce(bytes: &[u8]) -> Vec<u8> {
    let mut bounced = bytes.to_vec();
    bounced[30] |= BOUNCED;
    bounced[31..HEAD].fill(0);
    bounced
}

/// Returns whether bytes are a reset of the system's own: sum 0 and no data.
pub fn is_own_reset(bytes: &[u8]) -> bool {
    bytes.len() == HEAD && u32_at(bytes, 0) == 0 && bytes[30] & RST != 0
}

fn sum(bytes: &[u8]) -> u32 {
    let mut hash: u32 = 0x811c_9dc5;
    let mut add = |byte: u8| hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    bytes[4..26].iter().for_each(|byte| add(*byte));
    add(bytes[30] & !BOUNCED);
    bytes[HEAD..].iter().for_each(|byte| add(*byte));
    hash.max(1)
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([bytes[at], bytes[at + 1]])
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

fn ip_at(bytes: &[u8], at: usize) -> Ipv4Addr {
    Ipv4Addr::from(u32_at(bytes, at))
}
