//! Messages on the control port that are not from the fleet, or not new.

use berylvalve::{
    member::{MemberState, Record},
    membership::{
        Signer,
        message::{Body, Header, Message, Packed, Update, Verdict},
    },
    owner_id::FleetKey,
    trial::membership::network::{Network, record},
};

use crate::{DOMAINS, fleet, seconds};

fn message(sender: &Record, body: Body) -> Message {
    Message {
        header: Header {
            from: Packed(sender.address),
            control: Packed(sender.control),
            incarnation: sender.incarnation,
            revision: sender.revision,
        },
        body,
        updates: Vec::new(),
        wanted: Vec::new(),
    }
}

/// Sends the bytes to all and checks that no member changes for any of them.
fn changes_nothing(network: &mut Network, bytes: &[u8]) {
    let before: Vec<_> = network.nodes.iter().map(|n| n.swim.members()).collect();
    for number in 0..network.nodes.len() {
        let control = network.nodes[number].local.control;
        network.inject(control, bytes.to_vec());
    }
    network.run(seconds(3));
    for (node, before) in network.nodes.iter().zip(before) {
        assert_eq!(node.swim.members(), before);
    }
}

fn death(of: &Record, by: &Record) -> Message {
    let mut message = message(by, Body::News);
    message.add(Update::full(of, Verdict::Dead));
    message
}

#[test]
fn unsigned_messages_change_nothing() {
    let mut network = fleet(14, 41);
    let message = death(&record(2, DOMAINS), &record(3, DOMAINS));
    changes_nothing(&mut network, &[]);
    changes_nothing(&mut network, &[0; 2000]);
    changes_nothing(&mut network, &rmp_serde::to_vec(&message).unwrap());
}

#[test]
fn wrongly_signed_messages_change_nothing() {
    let mut network = fleet(14, 42);
    let key = FleetKey {
        id: 1,
        secret: vec![8; 16],
    };
    let message = death(&record(2, DOMAINS), &record(3, DOMAINS));
    changes_nothing(&mut network, &Signer::new(&[key]).seal(&message));
    let mut bytes = network.seal(&message);
    bytes[40] ^= 1;
    changes_nothing(&mut network, &bytes);
}

#[test]
fn replayed_old_records_change_nothing() {
    let mut network = fleet(14, 43);
    let mut old = record(2, DOMAINS);
    let mut message = message(&record(3, DOMAINS), Body::News);
    message.add(Update::full(&old, Verdict::Alive));
    let ready = network.seal(&message);
    let dead = network.seal(&death(&old, &record(3, DOMAINS)));
    network.update(2, |record| record.state = MemberState::Draining);
    network.run(seconds(3));
    changes_nothing(&mut network, &ready);
    changes_nothing(&mut network, &dead);
    old.weight = 7;
    let reweighted = network.seal(&death(&old, &record(3, DOMAINS)));
    changes_nothing(&mut network, &reweighted);
}

/// A dead member's captured messages don't make it answer.
#[test]
fn replayed_messages_of_the_dead_do_not_keep_them_alive() {
    let mut network = fleet(14, 44);
    let sender = record(5, DOMAINS);
    let mut captured = Vec::new();
    for sequence in 0..50 {
        for body in [Body::Ping { sequence }, Body::Ack { sequence }, Body::News] {
            captured.push(network.seal(&message(&sender, body)));
        }
    }
    network.nodes[5].running = false;
    for round in 0..100 {
        let bytes = &captured[round % captured.len()];
        for number in 0..14 {
            let control = network.nodes[number].local.control;
            network.inject(control, bytes.clone());
        }
        network.run(seconds(1) / 5);
    }
    assert_eq!(crate::seen(&network, 5, MemberState::Dead), 13);
}
