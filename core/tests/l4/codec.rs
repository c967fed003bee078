//! A wire format for tests: kind, port of the caller, and acknowledgement in tens.

use std::net::{Ipv4Addr, SocketAddrV4};

use berylvalve_core::l4::segment::{Codec, Flags, FlowKey, Segment};

/// Host of the balancer that bounced datagrams name.
pub const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// A codec whose datagrams are kind, port of the caller, and acknowledgement in tens.
#[derive(Clone, Debug)]
pub struct Bytes;

/// Kind of a datagram.
pub const OPENING: u8 = b'S';
/// Kind of a datagram.
pub const DATA: u8 = b'D';
/// Kind of a datagram.
pub const FINISH: u8 = b'F';
/// Kind of a datagram.
pub const ACCEPT: u8 = b'A';
/// Kind of a datagram.
pub const ANSWER: u8 = b'W';
/// Kind of a datagram.
pub const BOUNCED: u8 = b'B';
/// Kind of a datagram.
pub const RESET: u8 = b'R';

/// Returns the flow of a caller's port.
pub fn flow(port: u8) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port.into()),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

impl Codec for Bytes {
    fn read(&self, datagram: &[u8]) -> Option<Segment> {
        let [kind, port, tens, ..] = *datagram else {
            return None;
        };
        let from_server = matches!(kind, ACCEPT | ANSWER);
        let (caller, address) = (flow(port).caller, flow(port).address);
        Some(Segment {
            source: if from_server { address } else { caller },
            destination: if from_server { caller } else { address },
            sequence: u32::from(tens) * 10,
            acknowledged: u32::from(tens) * 10,
            length: u16::from(matches!(kind, DATA | ANSWER | BOUNCED)),
            flags: Flags {
                ack: kind == ACCEPT,
                bounced: kind == BOUNCED,
                fin: kind == FINISH,
                syn: matches!(kind, OPENING | ACCEPT),
                ..Flags::default()
            },
            mark: u32::from(BALANCER),
        })
    }

    fn mark(&self, _: &mut [u8], _: u32) {}

    fn reset(&self, flow: &FlowKey, _: u32, buffer: &mut Vec<u8>) {
        *buffer = vec![RESET, flow.caller.port() as u8, 0];
    }

    fn reports_failure(&self, _: &[u8]) -> Option<bool> {
        Some(false)
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }
}
