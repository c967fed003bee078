//! Fleet keys: rotation, and secrets that no log shows.

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

/// The stages of a rotation, each rolled out while the one before is still in use.
fn stages() -> [Vec<FleetKey>; 4] {
    [
        vec![key(1)],
        vec![key(1), key(2)],
        vec![key(2), key(1)],
        vec![key(2)],
    ]
}

#[test]
fn neighbouring_stages_of_a_rotation_open_each_others_ids() {
    let stages = stages();
    for pair in stages.windows(2) {
        for (sealer, opener) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let sealed = Keyring::new(sealer, Purpose::Connection).seal(&owner(), 5);
            let opened = Keyring::new(opener, Purpose::Connection).open(&sealed);
            assert_eq!(opened, Some((owner(), 5)));
        }
    }
}

#[test]
fn neighbouring_stages_of_a_rotation_accept_each_others_messages() {
    let stages = stages();
    for pair in stages.windows(2) {
        for (sealer, opener) in [(&pair[0], &pair[1]), (&pair[1], &pair[0])] {
            let sealed = Signer::new(sealer).seal(&"hello");
            let opened: Result<String, MessageError> = Signer::new(opener).open(&sealed);
            assert_eq!(opened.unwrap(), "hello");
        }
    }
}

#[test]
fn a_retired_key_opens_nothing() {
    let sealed = Keyring::new(&[key(1)], Purpose::Connection).seal(&owner(), 5);
    assert_eq!(
        Keyring::new(&[key(2)], Purpose::Connection).open(&sealed),
        None
    );
    let sealed = Signer::new(&[key(1)]).seal(&"hello");
    let opened: Result<String, MessageError> = Signer::new(&[key(2)]).open(&sealed);
    assert!(matches!(opened, Err(MessageError::InvalidSignature)));
}

#[test]
fn one_purpose_does_not_open_ids_of_another() {
    let sealed = Keyring::new(&[key(1)], Purpose::Request).seal(&owner(), 5);
    let opened = Keyring::new(&[key(1)], Purpose::Connection).open(&sealed);
    assert_ne!(opened, Some((owner(), 5)));
}

#[test]
fn no_debug_output_shows_a_secret() {
    let settings = KeySettings {
        id: 1,
        secret: SECRET.to_owned(),
    };
    let shown = format!(
        "{settings:?} {:?} {:?}",
        key(65),
        Keyring::new(&[key(65)], Purpose::Request)
    );
    assert!(!shown.contains(SECRET), "{shown}");
    assert!(!shown.contains("65, 65"), "{shown}");
}
