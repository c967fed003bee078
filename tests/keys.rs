//! Rotation of fleet keys, and secrets in `Debug` output.

use std::net::{Ipv4Addr, SocketAddrV4};

use berylvalve::{
    config::daemon::KeySettings,
    membership::{MessageError, Signer},
    owner_id::{FleetKey, Incarnation, Keyring, Owner, Purpose, ServiceTag},
};

const SECRET: &str = "00112233445566778899aabbccddeeff";

fn key(id: u8) -> FleetKey {
    FleetKey {
        id,
        secret: vec![id; 16],
    }
}

fn owner() -> Owner {
    Owner {
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, 2, 3), 4433),
        service: ServiceTag(7),
        incarnation: Incarnation(99),
    }
}

/// Returns the keys of each stage of a rotation; processes of two successive stages run together.
fn rotation_stages() -> [Vec<FleetKey>; 4] {
    [
        vec![key(1)],
        vec![key(1), key(2)],
        vec![key(2), key(1)],
        vec![key(2)],
    ]
}

/// Guards against owner ids that half of a fleet cannot decrypt while a new stage is rolled out.
#[test]
fn processes_in_successive_rotation_stages_decrypt_each_others_ids() {
    let stages = rotation_stages();
    for pair in stages.windows(2) {
        for (sender, receiver) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let encrypted = Keyring::new(sender, Purpose::Connection).encrypt(&owner(), 5);
            let decrypted = Keyring::new(receiver, Purpose::Connection).decrypt(&encrypted);
            assert_eq!(decrypted, Some((owner(), 5)));
        }
    }
}

/// Guards against control messages that half of a fleet rejects while a new stage is rolled out.
#[test]
fn processes_in_successive_rotation_stages_accept_each_others_messages() {
    let stages = rotation_stages();
    for pair in stages.windows(2) {
        for (sender, receiver) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let signed = Signer::new(sender).sign(&"hello");
            let verified: Result<String, MessageError> = Signer::new(receiver).verify(&signed);
            assert_eq!(verified.unwrap(), "hello");
        }
    }
}

#[test]
fn ids_and_messages_of_a_removed_key_are_rejected() {
    let encrypted = Keyring::new(&[key(1)], Purpose::Connection).encrypt(&owner(), 5);
    assert_eq!(
        Keyring::new(&[key(2)], Purpose::Connection).decrypt(&encrypted),
        None
    );
    let signed = Signer::new(&[key(1)]).sign(&"hello");
    let verified: Result<String, MessageError> = Signer::new(&[key(2)]).verify(&signed);
    assert!(matches!(verified, Err(MessageError::InvalidSignature)));
}

#[test]
fn an_id_of_one_purpose_does_not_decrypt_to_its_owner_for_another() {
    let encrypted = Keyring::new(&[key(1)], Purpose::Request).encrypt(&owner(), 5);
    let decrypted = Keyring::new(&[key(1)], Purpose::Connection).decrypt(&encrypted);
    assert_ne!(decrypted, Some((owner(), 5)));
}

#[test]
fn debug_output_contains_no_secret() {
    let settings = KeySettings {
        id: 1,
        secret: SECRET.to_owned(),
    };
    let output = format!(
        "{settings:?} {:?} {:?}",
        key(65),
        Keyring::new(&[key(65)], Purpose::Request)
    );
    assert!(!output.contains(SECRET), "{output}");
    // Each byte of the secret of `key(65)` is 65, and a `Vec<u8>` prints as decimal numbers.
    assert!(!output.contains("65, 65"), "{output}");
}
