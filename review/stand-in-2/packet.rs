//! The packets of consumers and servers.

use std::net::{Ipv4Addr, SocketAddrV4};

pub const ACK: u8 = 1;
pub const BOUNCED: u8 = 2;
pub const SYN: u8 = 16;
pub const RST: u8 = 64;
pub const FIN: u8 = 128;
const HEAD: usize = 36;

#[derive(Clone, Debug)]
pub struct Packet {
    pub from: SocketAddrV4,
    pub to: SocketAddrV4,
    pub seq: u32,
    pub ack: u32,
    pub flags: u8,
    pub sum: u32,
    pub data: Vec<u8>,
}

impl Packet {
    pub fn read(bytes: &[u8]) -> Option<Packet> {
        if bytes.len() < HEAD || bytes.len() != HEAD + usize::from(u16_at(bytes, 4)) {
            return None;
        }
        Some(Packet {
            sum: u32_at(bytes, 0),
            to: SocketAddrV4::new(Ipv4Addr::from(u32_at(bytes, 6)), u16_at(bytes, 12)),
            from: SocketAddrV4::new(Ipv4Addr::from(u32_at(bytes, 14)), u16_at(bytes, 10)),
            seq: u32_at(bytes, 18),
            ack: u32_at(bytes, 22),
            flags: bytes[30],
            data: bytes[HEAD..].to_vec(),
        })
    }

    /// Returns the packet with its sum.
    pub fn write(from: SocketAddrV4, to: SocketAddrV4, flags: u8, seq: u32, ack: u32, data: &[u8]) -> Vec<u8> {
        let mut bytes = vec![0; HEAD];
        bytes[4..6].copy_from_slice(&(data.len() as u16).to_be_bytes());
        bytes[6..10].copy_from_slice(&to.ip().octets());
        bytes[10..12].copy_from_slice(&from.port().to_be_bytes());
        bytes[12..14].copy_from_slice(&to.port().to_be_bytes());
        bytes[14..18].copy_from_slice(&from.ip().octets());
        bytes[18..22].copy_from_slice(&seq.to_be_bytes());
        bytes[22..26].copy_from_slice(&ack.to_be_bytes());
        bytes[30] = flags;
        bytes.extend(data);
        let sum = sum(&bytes);
        bytes[..4].copy_from_slice(&sum.to_be_bytes());
        bytes
    }
}

/// Returns the sum over all fields but echo, pad and BOUNCED; never 0.
pub fn sum(bytes: &[u8]) -> u32 {
    let mut hash: u32 = 0x5bd1_e995;
    for (offset, byte) in bytes.iter().enumerate() {
        let byte = match offset {
            0..=3 | 26..=29 | 31..=35 => 0,
            30 => byte & !BOUNCED,
            _ => *byte,
        };
        hash = (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    }
    hash.max(1)
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_be_bytes([bytes[offset], bytes[offset + 1]])
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from_be_bytes(bytes[offset..offset + 4].try_into().unwrap())
}
