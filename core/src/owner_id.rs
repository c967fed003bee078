//! Identifiers that contain the address of their owner, encrypted with a fleet key.
//!
//! An owner id is used as a QUIC connection id (RFC 9000, section 5.1) and as an idempotency key.
//! Its layout follows the single-pass encryption of the QUIC-LB draft
//! (draft-ietf-quic-load-balancers): a key id in cleartext and one AES-128 block.

use std::net::{Ipv4Addr, SocketAddrV4};

use aes::{
    Aes128,
    cipher::{BlockDecrypt, BlockEncrypt, KeyInit, generic_array::GenericArray},
};
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::consts::OWNER_ID_BYTES;

/// Length of a key and of a block of AES-128, in bytes.
const AES_BYTES: usize = 16;

/// Identifies a service in packets and membership records.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ServiceTag(pub u16);

/// Distinguishes successive incarnations of a process at one address; a higher number supersedes a lower
/// one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Incarnation(pub u32);

/// The agent that owns a flow or an idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Owner {
    /// Address of the agent's data socket, which also identifies the agent.
    pub address: SocketAddrV4,
    /// Service that the agent serves.
    pub service: ServiceTag,
    /// Incarnation of the agent when it issued the id.
    pub incarnation: Incarnation,
}

/// An encrypted owner id, as returned by [`Keyring::encrypt`].
pub type OwnerId = [u8; OWNER_ID_BYTES];

/// Use of a derived key, so that keys of different uses are independent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Purpose {
    /// Idempotency keys of requests.
    Request,
    /// QUIC connection ids.
    Connection,
    /// Stateless reset tokens of QUIC connections.
    Reset,
    /// Authentication of control messages.
    Control,
}

impl Purpose {
    const fn derivation_label(self) -> &'static [u8] {
        match self {
            Purpose::Request => b"berylvalve request key",
            Purpose::Connection => b"berylvalve connection id",
            Purpose::Reset => b"berylvalve stateless reset",
            Purpose::Control => b"berylvalve control message",
        }
    }
}

/// One generation of the secret that all processes of a fleet share.
#[derive(Clone, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetKey {
    /// Number of the generation, in cleartext in each owner id.
    pub id: u8,
    /// Input of the key derivation, at least 16 bytes.
    pub secret: Vec<u8>,
}

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("FleetKey")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

impl FleetKey {
    /// Derives the 32-byte key for one purpose (HMAC-SHA-256, RFC 2104).
    pub fn derive(&self, purpose: Purpose) -> [u8; 32] {
        let mut mac =
            <Hmac<Sha256> as Mac>::new_from_slice(&self.secret).expect("any key length fits");
        mac.update(purpose.derivation_label());
        mac.finalize().into_bytes().into()
    }
}

/// The ciphers of the accepted fleet keys for one purpose; the first key encrypts.
#[derive(Clone)]
pub struct Keyring {
    ciphers: Vec<(u8, Aes128)>,
}

impl std::fmt::Debug for Keyring {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Keyring")
            .field("keys", &self.ciphers.len())
            .finish()
    }
}

impl Keyring {
    /// Derives the keyring of `keys`: the first key encrypts, all of them decrypt.
    ///
    /// `keys` must not be empty, or [`Keyring::encrypt`] panics.
    pub fn new(keys: &[FleetKey], purpose: Purpose) -> Self {
        let mut ciphers = Vec::with_capacity(keys.len());
        for key in keys {
            let derived = key.derive(purpose);
            let cipher = Aes128::new(GenericArray::from_slice(&derived[..AES_BYTES]));
            ciphers.push((key.id, cipher));
        }
        Self { ciphers }
    }

    /// Encrypts an owner and a nonce with the first key.
    ///
    /// The nonce distinguishes the ids of one owner.
    ///
    /// # Panics
    ///
    /// Panics if the keyring has no key.
    pub fn encrypt(&self, owner: &Owner, nonce: u32) -> OwnerId {
        let mut id = [0; OWNER_ID_BYTES];
        let (key_id, cipher) = self.ciphers.first().expect("a keyring has a key");
        id[0] = *key_id;
        id[1..5].copy_from_slice(&owner.address.ip().octets());
        id[5..7].copy_from_slice(&owner.address.port().to_be_bytes());
        id[7..9].copy_from_slice(&owner.service.0.to_be_bytes());
        id[9..13].copy_from_slice(&owner.incarnation.0.to_be_bytes());
        id[13..17].copy_from_slice(&nonce.to_be_bytes());
        cipher.encrypt_block(GenericArray::from_mut_slice(&mut id[1..]));
        id
    }

    /// Decrypts an owner id and returns the owner and the nonce, or `None` if its length is wrong or its key
    /// id unknown.
    ///
    /// The id is not authenticated: one that no fleet key encrypted can decrypt to an arbitrary owner, so
    /// the calling code must compare the owner's service with the service addressed.
    pub fn decrypt(&self, id: &[u8]) -> Option<(Owner, u32)> {
        let id: OwnerId = id.try_into().ok()?;
        let (_, cipher) = self.ciphers.iter().find(|(key_id, _)| *key_id == id[0])?;
        let mut block = [0; AES_BYTES];
        block.copy_from_slice(&id[1..]);
        cipher.decrypt_block(GenericArray::from_mut_slice(&mut block));
        let ip = Ipv4Addr::new(block[0], block[1], block[2], block[3]);
        let owner = Owner {
            address: SocketAddrV4::new(ip, u16::from_be_bytes([block[4], block[5]])),
            service: ServiceTag(u16::from_be_bytes([block[6], block[7]])),
            incarnation: Incarnation(u32::from_be_bytes([
                block[8], block[9], block[10], block[11],
            ])),
        };
        let nonce = u32::from_be_bytes([block[12], block[13], block[14], block[15]]);
        Some((owner, nonce))
    }
}
