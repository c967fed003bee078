//! Serde codecs for socket addresses as byte strings of one length per address family: the IP address,
//! then the port, in network byte order.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, SocketAddrV4};

const V4_BYTES: usize = 6;
const V6_BYTES: usize = 18;

fn encode_v4(address: &SocketAddrV4) -> [u8; V4_BYTES] {
    let mut bytes = [0; V4_BYTES];
    bytes[..4].copy_from_slice(&address.ip().octets());
    bytes[4..].copy_from_slice(&address.port().to_be_bytes());
    bytes
}

fn decode_v4(bytes: &[u8]) -> Option<SocketAddrV4> {
    let bytes: [u8; V4_BYTES] = bytes.try_into().ok()?;
    let [a, b, c, d, high, low] = bytes;
    let port = u16::from_be_bytes([high, low]);
    Some(SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), port))
}

/// Codec of an IPv4 socket address, in 6 bytes.
pub mod v4 {
    use std::net::SocketAddrV4;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Serializes an address into 6 bytes.
    pub fn serialize<S: Serializer>(address: &SocketAddrV4, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_bytes(&super::encode_v4(address))
    }

    /// Deserializes an address; fails unless there are 6 bytes.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<SocketAddrV4, D::Error> {
        let bytes = <&[u8]>::deserialize(d)?;
        super::decode_v4(bytes).ok_or_else(|| Error::invalid_length(bytes.len(), &"6 bytes"))
    }
}

/// Codec of two optional IPv4 socket addresses, in 12 bytes; 6 zero bytes encode `None`.
pub mod optional_v4_pair {
    use std::net::{Ipv4Addr, SocketAddrV4};

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    use super::V4_BYTES;

    const NONE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

    /// Serializes both addresses; an address `0.0.0.0:0` becomes `None` when it is read.
    pub fn serialize<S: Serializer>(
        addresses: &[Option<SocketAddrV4>; 2],
        s: S,
    ) -> Result<S::Ok, S::Error> {
        let mut bytes = [0; 2 * V4_BYTES];
        for (chunk, address) in bytes.chunks_mut(V4_BYTES).zip(addresses) {
            chunk.copy_from_slice(&super::encode_v4(&address.unwrap_or(NONE)));
        }
        s.serialize_bytes(&bytes)
    }

    /// Deserializes two addresses; fails unless there are 12 bytes.
    pub fn deserialize<'de, D: Deserializer<'de>>(
        d: D,
    ) -> Result<[Option<SocketAddrV4>; 2], D::Error> {
        let bytes = <&[u8]>::deserialize(d)?;
        let halves = bytes.split_at_checked(V4_BYTES);
        let pair = halves.and_then(|(a, b)| Some([super::decode_v4(a)?, super::decode_v4(b)?]));
        let pair = pair.ok_or_else(|| Error::invalid_length(bytes.len(), &"12 bytes"))?;
        Ok(pair.map(|address| Some(address).filter(|a| *a != NONE)))
    }
}

/// Codec of an IPv4 socket address, in 6 bytes, or an IPv6 one, in 18 bytes.
pub mod v4_or_v6 {
    use std::net::SocketAddr;

    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Serializes an address; the flow label and scope id of IPv6 are dropped.
    pub fn serialize<S: Serializer>(address: &SocketAddr, s: S) -> Result<S::Ok, S::Error> {
        match address {
            SocketAddr::V4(address) => super::v4::serialize(address, s),
            SocketAddr::V6(address) => {
                let mut bytes = [0; super::V6_BYTES];
                bytes[..16].copy_from_slice(&address.ip().octets());
                bytes[16..].copy_from_slice(&address.port().to_be_bytes());
                s.serialize_bytes(&bytes)
            }
        }
    }

    /// Deserializes an address; fails unless there are 6 or 18 bytes.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<SocketAddr, D::Error> {
        let bytes = <&[u8]>::deserialize(d)?;
        let address = super::decode_v4_or_v6(bytes);
        address.ok_or_else(|| Error::invalid_length(bytes.len(), &"6 or 18 bytes"))
    }
}

fn decode_v4_or_v6(bytes: &[u8]) -> Option<SocketAddr> {
    if let Some(address) = decode_v4(bytes) {
        return Some(address.into());
    }
    let bytes: [u8; V6_BYTES] = bytes.try_into().ok()?;
    let (ip, port) = bytes.split_at(16);
    let ip: [u8; 16] = ip.try_into().ok()?;
    let port = u16::from_be_bytes([port[0], port[1]]);
    Some((Ipv6Addr::from(ip), port).into())
}
