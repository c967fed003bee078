//! The PROXY protocol, version 2, in front of each datagram between the fabric and a balancer.

use std::net::SocketAddr;

use ppp::v2::{Addresses, Builder, Command, Header, Protocol, Version};

/// The two ends of a caller's datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Ends {
    /// Where the datagram came from.
    pub source: SocketAddr,
    /// Where the datagram was sent to.
    pub target: SocketAddr,
}

/// Writes a header and a payload to `buffer`, in place of what it held.
pub fn wrap(ends: Ends, payload: &[u8], buffer: &mut Vec<u8>) {
    let addresses = Addresses::from((ends.source, ends.target));
    let version = Version::Two | Command::Proxy;
    let builder = Builder::with_addresses(version, Protocol::Datagram, addresses);
    let header = builder.build().expect("addresses fit a header");
    buffer.clear();
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(payload);
}

/// Returns the ends and the payload of a datagram; `None` if the header is damaged.
pub fn unwrap(datagram: &[u8]) -> Option<(Ends, &[u8])> {
    let header = Header::try_from(datagram).ok()?;
    let ends = match header.addresses {
        Addresses::IPv4(v4) => Ends {
            source: (v4.source_address, v4.source_port).into(),
            target: (v4.destination_address, v4.destination_port).into(),
        },
        Addresses::IPv6(v6) => Ends {
            source: (v6.source_address, v6.source_port).into(),
            target: (v6.destination_address, v6.destination_port).into(),
        },
        Addresses::Unspecified | Addresses::Unix(_) => return None,
    };
    let length = header.len();
    Some((ends, datagram.get(length..)?))
}
