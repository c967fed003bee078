//! The parts of a QUIC packet that every version shares (RFC 8999).

const LONG_HEADER: u8 = 0x80;
const LONG_TYPE_MASK: u8 = 0x30;
const VERSION_1: u32 = 1;
const LONG_PREFIX_BYTES: usize = 6;
const MAX_ID_BYTES: usize = 20;

/// What a balancer can see of a QUIC packet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Packet<'a> {
    /// A packet of the handshake.
    Long {
        /// Destination connection id.
        id: &'a [u8],
        /// Whether it is an Initial or 0-RTT packet, whose id the caller may have chosen.
        opening: bool,
    },
    /// A packet of an established connection, with all bytes after the first.
    Short {
        /// Bytes that begin with the destination connection id.
        rest: &'a [u8],
    },
}

/// Parses the invariant header of a datagram's first QUIC packet; `None` if it is damaged.
pub fn parse(datagram: &[u8]) -> Option<Packet<'_>> {
    let first = *datagram.first()?;
    if first & LONG_HEADER == 0 {
        return Some(Packet::Short {
            rest: &datagram[1..],
        });
    }
    if datagram.len() < LONG_PREFIX_BYTES {
        return None;
    }
    let version = u32::from_be_bytes([datagram[1], datagram[2], datagram[3], datagram[4]]);
    let length = usize::from(datagram[5]);
    if length > MAX_ID_BYTES {
        return None;
    }
    let id = datagram.get(LONG_PREFIX_BYTES..LONG_PREFIX_BYTES + length)?;
    let kind = (first & LONG_TYPE_MASK) >> 4;
    let opening = version != VERSION_1 || kind <= 1;
    Some(Packet::Long { id, opening })
}
