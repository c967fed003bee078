//! The platform's packets as what callers and servers send.

use berylvalve_platform_standin::{
    message,
    packet::{self, PacketCodec},
};

use crate::trial::segments::wire::{Content, DATA_BYTES, Outgoing, Wire};

impl Wire for PacketCodec {
    fn write(&self, outgoing: &Outgoing) -> Vec<u8> {
        let length = usize::from(DATA_BYTES);
        let data = match outgoing.content {
            None => Vec::new(),
            Some(Content::Request(id)) => message::request(id, length),
            Some(Content::Answer { request, served }) => message::answer(request, served, length),
        };
        packet::encode(&outgoing.segment, &data)
    }

    fn content(&self, datagram: &[u8]) -> Option<Content> {
        let data = packet::data(datagram);
        let id = message::request_id(data)?;
        Some(match message::is_served(data) {
            None => Content::Request(id),
            Some(served) => Content::Answer {
                request: id,
                served,
            },
        })
    }

    fn bounce(&self, datagram: &[u8]) -> Vec<u8> {
        packet::bounce(datagram)
    }

    fn fixed(&self, datagram: &[u8]) -> Vec<u8> {
        packet::zero_mutable_fields(datagram)
    }
}
