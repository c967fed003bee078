//! Wire format for tests, of three bytes: kind, port of the caller, and a number in tens that is both
//! the sequence and the acknowledgement number. In an opening segment the number is its age in hundreds
//! of milliseconds. An optional fourth byte is the high byte of the port.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::l4::segment::{Codec, Flags, FlowKey, Segment};

/// Host of the balancer in the mark of every datagram.
pub const BALANCER_IP: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

/// Times from the first copy of an opening segment to the others.
const OPENING_COPY_TIMES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];

/// Codec of the wire format for tests.
#[derive(Clone, Debug)]
pub struct TestCodec;

/// Kind of a caller's opening segment.
pub const OPENING: u8 = b'S';
/// Kind of a caller's segment with one byte of data.
pub const DATA: u8 = b'D';
/// Kind of a caller's segment with a FIN.
pub const FINISH: u8 = b'F';
/// Kind of a server's segment that accepts a flow.
pub const ACCEPT: u8 = b'A';
/// Kind of a server's segment with one byte of data.
pub const ANSWER: u8 = b'W';
/// Kind of a caller's segment that the server bounced.
pub const BOUNCED: u8 = b'B';
/// Kind of a reset that [`Codec::reset`] encodes.
pub const RESET: u8 = b'R';

/// Returns the key of the flow from a caller's port below 256.
pub fn flow(port: u8) -> FlowKey {
    flow_from(port.into())
}

/// Returns the key of the flow from a caller's port.
pub fn flow_from(port: u16) -> FlowKey {
    FlowKey {
        caller: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 1), port),
        address: SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443),
    }
}

impl Codec for TestCodec {
    fn read(&self, datagram: &[u8]) -> Option<Segment> {
        let [kind, port, tens, ..] = *datagram else {
            return None;
        };
        let high = datagram.get(3).copied().unwrap_or_default();
        let flow = flow_from(u16::from_be_bytes([high, port]));
        let from_server = matches!(kind, ACCEPT | ANSWER);
        let (caller, address) = (flow.caller, flow.address);
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
            mark: u32::from(BALANCER_IP),
        })
    }

    fn opening_age(&self, opening: &Segment) -> Duration {
        Duration::from_millis(10 * u64::from(opening.acknowledged))
    }

    fn next_copy_age(&self, opening: &Segment) -> Option<Duration> {
        let age = self.opening_age(opening);
        OPENING_COPY_TIMES.into_iter().find(|time| *time > age)
    }

    fn mark(&self, _: &mut [u8], _: u32) {}

    fn reset(&self, flow: &FlowKey, _: u32, buffer: &mut Vec<u8>) {
        let [high, low] = flow.caller.port().to_be_bytes();
        *buffer = vec![RESET, low, 0, high];
    }

    fn reports_failure(&self, _: &[u8]) -> Option<bool> {
        Some(false)
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }
}
