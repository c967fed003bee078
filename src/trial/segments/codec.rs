//! The wire format of the model: fixed fields, one after the other.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::l4::segment::{Codec, Flags, FlowKey, Segment};

use super::{
    caller::OPENING_COPY_TIMES,
    wire::{Content, DATA_BYTES, Outgoing, Wire},
};

const HEAD_BYTES: usize = 27;
const FLAGS: usize = 22;
const MARK: usize = 23;

const ACK: u8 = 1;
const BOUNCED: u8 = 2;
const FIN: u8 = 4;
const RST: u8 = 8;
const SYN: u8 = 16;

/// First byte of what a segment carries.
const REQUEST: u8 = b'r';
const SERVED: u8 = b's';
const FAILED: u8 = b'f';

/// Reads and writes segments of the model.
#[derive(Clone, Copy, Debug)]
pub struct ModelCodec;

impl Wire for ModelCodec {
    fn write(&self, outgoing: &Outgoing) -> Vec<u8> {
        let data = outgoing.content.map(data);
        write(&outgoing.segment, data.as_ref().map_or(&[], |d| &d[..]))
    }

    fn content(&self, datagram: &[u8]) -> Option<Content> {
        let data = datagram.get(HEAD_BYTES..)?;
        let id = data.get(1..9)?.try_into().ok().map(u64::from_be_bytes)?;
        let answer = |served| Content::Answer {
            request: id,
            served,
        };
        match data[0] {
            REQUEST => Some(Content::Request(id)),
            SERVED => Some(answer(true)),
            FAILED => Some(answer(false)),
            _ => None,
        }
    }

    fn bounce(&self, datagram: &[u8]) -> Vec<u8> {
        let mut bytes = datagram.to_vec();
        bytes[FLAGS] |= BOUNCED;
        bytes
    }

    fn fixed(&self, datagram: &[u8]) -> Vec<u8> {
        let mut bytes = datagram.to_vec();
        bytes[FLAGS] &= !BOUNCED;
        bytes[MARK..HEAD_BYTES].fill(0);
        bytes
    }
}

fn data(content: Content) -> [u8; DATA_BYTES as usize] {
    let (kind, id) = match content {
        Content::Request(id) => (REQUEST, id),
        Content::Answer {
            request,
            served: true,
        } => (SERVED, request),
        Content::Answer { request, .. } => (FAILED, request),
    };
    let mut data = [0; DATA_BYTES as usize];
    data[0] = kind;
    data[1..9].copy_from_slice(&id.to_be_bytes());
    data
}

fn write(segment: &Segment, data: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(HEAD_BYTES + data.len());
    for end in [segment.source, segment.destination] {
        bytes.extend(end.ip().octets());
        bytes.extend(end.port().to_be_bytes());
    }
    bytes.extend(segment.sequence.to_be_bytes());
    bytes.extend(segment.acknowledged.to_be_bytes());
    bytes.extend((data.len() as u16).to_be_bytes());
    bytes.push(bits(segment.flags));
    bytes.extend(segment.mark.to_be_bytes());
    bytes.extend(data);
    bytes
}

fn bits(flags: Flags) -> u8 {
    let all = [
        (flags.ack, ACK),
        (flags.bounced, BOUNCED),
        (flags.fin, FIN),
        (flags.rst, RST),
        (flags.syn, SYN),
    ];
    all.iter().filter(|(set, _)| *set).map(|(_, bit)| bit).sum()
}

fn end(bytes: &[u8]) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(bytes[0], bytes[1], bytes[2], bytes[3]);
    SocketAddrV4::new(ip, u16::from_be_bytes([bytes[4], bytes[5]]))
}

fn long(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

impl Codec for ModelCodec {
    fn read(&self, datagram: &[u8]) -> Option<Segment> {
        let head = datagram.get(..HEAD_BYTES)?;
        let bits = head[FLAGS];
        Some(Segment {
            source: end(&head[..6]),
            destination: end(&head[6..12]),
            sequence: long(head, 12),
            acknowledged: long(head, 16),
            length: u16::from_be_bytes([head[20], head[21]]),
            flags: Flags {
                ack: bits & ACK != 0,
                bounced: bits & BOUNCED != 0,
                fin: bits & FIN != 0,
                rst: bits & RST != 0,
                syn: bits & SYN != 0,
            },
            mark: long(head, MARK),
        })
    }

    fn opening_age(&self, opening: &Segment) -> Duration {
        match opening.acknowledged as usize {
            0 => Duration::ZERO,
            copy => OPENING_COPY_TIMES[copy.min(OPENING_COPY_TIMES.len()) - 1],
        }
    }

    fn next_copy_age(&self, opening: &Segment) -> Option<Duration> {
        OPENING_COPY_TIMES
            .get(opening.acknowledged as usize)
            .copied()
    }

    fn mark(&self, datagram: &mut [u8], mark: u32) {
        datagram[MARK..HEAD_BYTES].copy_from_slice(&mark.to_be_bytes());
        datagram[FLAGS] &= !BOUNCED;
    }

    fn reset(&self, flow: &FlowKey, sequence: u32, buffer: &mut Vec<u8>) {
        let segment = Segment {
            source: flow.address,
            destination: flow.caller,
            sequence,
            acknowledged: 0,
            length: 0,
            flags: Flags {
                rst: true,
                ..Flags::default()
            },
            mark: 0,
        };
        *buffer = write(&segment, &[]);
    }

    fn reports_failure(&self, datagram: &[u8]) -> Option<bool> {
        match self.content(datagram) {
            Some(Content::Answer { served, .. }) => Some(!served),
            _ => None,
        }
    }

    fn request_id<'a>(&self, _: &'a [u8]) -> Option<&'a str> {
        None
    }
}
