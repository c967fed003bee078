//! The version-independent fields of QUIC packets (RFC 8999) and, for version 1, the packet type.

const LONG_HEADER_BIT: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const VERSION_1: u32 = 1;
/// Bytes before the destination connection id: first byte, version and length of the id.
const LONG_PREFIX_BYTES: usize = 6;
/// Limit of QUIC version 1 (RFC 9000), applied to all versions.
const MAX_CONNECTION_ID_BYTES: usize = 20;

/// The fields of a QUIC packet that a balancer can read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Packet<'a> {
    /// A packet with a long header, which the handshake uses.
    Long {
        /// Destination connection id.
        id: &'a [u8],
        /// Whether the caller may have chosen the id: an Initial or 0-RTT packet, or any packet of
        /// a version other than 1.
        may_be_caller_id: bool,
    },
    /// A packet with a short header, which an established connection uses.
    Short {
        /// All bytes after the first; they begin with the destination connection id.
        rest: &'a [u8],
    },
}

/// Parses the header of a datagram's first QUIC packet.
///
/// Returns `None` if the header is truncated or the connection id is too long.
pub fn parse(datagram: &[u8]) -> Option<Packet<'_>> {
    let first = *datagram.first()?;
    if first & LONG_HEADER_BIT == 0 {
        return Some(Packet::Short {
            rest: &datagram[1..],
        });
    }
    if datagram.len() < LONG_PREFIX_BYTES {
        return None;
    }
    let version = u32::from_be_bytes([datagram[1], datagram[2], datagram[3], datagram[4]]);
    let length = usize::from(datagram[5]);
    if length > MAX_CONNECTION_ID_BYTES {
        return None;
    }
    let id = datagram.get(LONG_PREFIX_BYTES..LONG_PREFIX_BYTES + length)?;
    let packet_type = (first & LONG_TYPE_MASK) >> 4;
    let may_be_caller_id = version != VERSION_1 || packet_type <= 1;
    Some(Packet::Long {
        id,
        may_be_caller_id,
    })
}
