//! Wire format for tests: flags, host and port of the caller, route, sequence and acknowledgement
//! number, then data.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::l4::segment::{Codec, Flags, FlowKey, Segment};

pub const ACK: u8 = 1;
pub const FIN: u8 = 2;
pub const RST: u8 = 4;
pub const SYN: u8 = 8;
const FROM_SERVER: u8 = 16;

const HEADER_BYTES: usize = 13;

/// Returns the key of the flow from a port of a caller's host to a route.
pub fn flow(host: u8, port: u16, route: u8) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, host), port),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, route), 443),
    }
}

/// Returns a caller's segment.
pub fn from_caller(flow: &FlowKey, flags: u8, sequence: u32, ack: u32, data: &[u8]) -> Vec<u8> {
    let mut datagram = vec![flags, flow.caller.ip().octets()[3]];
    datagram.extend(flow.caller.port().to_be_bytes());
    datagram.push(flow.address.ip().octets()[3]);
    datagram.extend(sequence.to_be_bytes());
    datagram.extend(ack.to_be_bytes());
    datagram.extend(data);
    datagram
}

/// Returns a segment of the backend server.
pub fn from_server(flow: &FlowKey, flags: u8, sequence: u32, data: &[u8]) -> Vec<u8> {
    from_caller(flow, flags | FROM_SERVER, sequence, 0, data)
}

/// Returns the flow of a datagram in either direction.
pub fn flow_of(datagram: &[u8]) -> FlowKey {
    let port = u16::from_be_bytes([datagram[2], datagram[3]]);
    flow(datagram[1], port, datagram[4])
}

/// Returns the sequence number in a datagram.
pub fn sequence_of(datagram: &[u8]) -> u32 {
    u32::from_be_bytes(datagram[5..9].try_into().unwrap())
}

/// Returns the data in a datagram.
pub fn data_of(datagram: &[u8]) -> &[u8] {
    &datagram[HEADER_BYTES..]
}

/// Codec of the wire format for tests.
#[derive(Clone, Debug)]
pub struct WireCodec;

impl Codec for WireCodec {
    fn read(&self, datagram: &[u8]) -> Option<Segment> {
        if datagram.len() < HEADER_BYTES {
            return None;
        }
        let flow = flow_of(datagram);
        let flags = datagram[0];
        let is_from_server = flags & FROM_SERVER != 0;
        Some(Segment {
            source: if is_from_server {
                flow.address
            } else {
                flow.caller
            },
            destination: if is_from_server {
                flow.caller
            } else {
                flow.address
            },
            sequence: sequence_of(datagram),
            acknowledged: u32::from_be_bytes(datagram[9..13].try_into().unwrap()),
            length: data_of(datagram).len() as u16,
            flags: Flags {
                ack: flags & ACK != 0,
                bounced: false,
                fin: flags & FIN != 0,
                rst: flags & RST != 0,
                syn: flags & SYN != 0,
            },
            mark: 0,
        })
    }

    fn opening_age(&self, _: &Segment) -> Duration {
        Duration::ZERO
    }

    fn mark(&self, _: &mut [u8], _: u32) {}

    fn reset(&self, flow: &FlowKey, sequence: u32, buffer: &mut Vec<u8>) {
        *buffer = from_server(flow, RST, sequence, &[]);
    }

    fn reports_failure(&self, _: &[u8]) -> Option<bool> {
        Some(false)
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }
}
