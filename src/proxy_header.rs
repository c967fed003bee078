//! The PROXY protocol, version 2, in front of each datagram between the fabric and a balancer.

use std::net::SocketAddr;

use ppp::v2::{Addresses, Builder, Command, Header, Protocol, Version};

/// Source and destination of a datagram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Endpoints {
    /// Address that sent the datagram.
    pub source: SocketAddr,
    /// Address that the datagram was sent to.
    pub destination: SocketAddr,
}

/// Writes a header and a payload to `buffer`, replacing its contents.
pub fn encode(endpoints: Endpoints, payload: &[u8], buffer: &mut Vec<u8>) {
    let addresses = Addresses::from((endpoints.source, endpoints.destination));
    let version = Version::Two | Command::Proxy;
    let builder = Builder::with_addresses(version, Protocol::Datagram, addresses);
    let header = builder
        .build()
        .expect("two socket addresses fit into a header");
    buffer.clear();
    buffer.extend_from_slice(&header);
    buffer.extend_from_slice(payload);
}

/// Returns the endpoints and the payload of a datagram.
///
/// Returns `None` if the header is invalid or its addresses are neither IPv4 nor IPv6.
pub fn decode(datagram: &[u8]) -> Option<(Endpoints, &[u8])> {
    let header = Header::try_from(datagram).ok()?;
    let endpoints = match header.addresses {
        Addresses::IPv4(v4) => Endpoints {
            source: (v4.source_address, v4.source_port).into(),
            destination: (v4.destination_address, v4.destination_port).into(),
        },
        Addresses::IPv6(v6) => Endpoints {
            source: (v6.source_address, v6.source_port).into(),
            destination: (v6.destination_address, v6.destination_port).into(),
        },
        Addresses::Unspecified | Addresses::Unix(_) => return None,
    };
    let length = header.len();
    Some((endpoints, datagram.get(length..)?))
}
