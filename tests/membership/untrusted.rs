//! Unsigned, forged and replayed messages on the control port.

use berylvalve::{
    member::{MemberState, Record},
    membership::{
        Signer,
        message::{Body, Header, Liveness, Message, PackedAddress, Update},
    },
    owner_id::FleetKey,
    trial::membership::network::{Network, record},
};

use crate::{DOMAINS, fleet, seconds};

fn message(sender: &Record, body: Body) -> Message {
    Message {
        header: Header {
            from: PackedAddress(sender.address),
            control: PackedAddress(sender.control),
            incarnation: sender.incarnation,
            revision: sender.revision,
        },
        body,
        updates: Vec::new(),
        requested: Vec::new(),
    }
}

/// Sends the bytes to all processes and checks that none of their member lists changes.
fn assert_members_unchanged(network: &mut Network, bytes: &[u8]) {
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

fn death_message(of: &Record, by: &Record) -> Message {
    let mut message = message(by, Body::Gossip);
    message.add(Update::full(of, Liveness::Dead));
    message
}

#[test]
fn unsigned_messages_change_nothing() {
    let mut network = fleet(14, 41);
    let message = death_message(&record(2, DOMAINS), &record(3, DOMAINS));
    assert_members_unchanged(&mut network, &[]);
    assert_members_unchanged(&mut network, &[0; 2000]);
    assert_members_unchanged(&mut network, &rmp_serde::to_vec(&message).unwrap());
}

#[test]
fn wrongly_signed_messages_change_nothing() {
    let mut network = fleet(14, 42);
    let key = FleetKey {
        id: 1,
        secret: vec![8; 16],
    };
    let message = death_message(&record(2, DOMAINS), &record(3, DOMAINS));
    assert_members_unchanged(&mut network, &Signer::new(&[key]).sign(&message));
    let mut bytes = network.sign(&message);
    bytes[40] ^= 1;
    assert_members_unchanged(&mut network, &bytes);
}

#[test]
fn outdated_records_change_nothing() {
    let mut network = fleet(14, 43);
    let mut old = record(2, DOMAINS);
    let mut message = message(&record(3, DOMAINS), Body::Gossip);
    message.add(Update::full(&old, Liveness::Alive));
    let ready = network.sign(&message);
    let dead = network.sign(&death_message(&old, &record(3, DOMAINS)));
    network.update(2, |record| record.state = MemberState::Draining);
    network.run(seconds(3));
    assert_members_unchanged(&mut network, &ready);
    assert_members_unchanged(&mut network, &dead);
    old.weight = 7;
    let dead_with_other_weight = network.sign(&death_message(&old, &record(3, DOMAINS)));
    assert_members_unchanged(&mut network, &dead_with_other_weight);
}

/// Replayed messages must not count as acknowledgements of the probes of their dead sender.
#[test]
fn replayed_messages_of_a_dead_process_do_not_keep_it_alive() {
    let mut network = fleet(14, 44);
    let sender = record(5, DOMAINS);
    let mut captured = Vec::new();
    for sequence in 0..50 {
        for body in [
            Body::Ping { sequence },
            Body::Ack { sequence },
            Body::Gossip,
        ] {
            captured.push(network.sign(&message(&sender, body)));
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
    assert_eq!(
        crate::count_views_with_state(&network, 5, MemberState::Dead),
        13
    );
}
