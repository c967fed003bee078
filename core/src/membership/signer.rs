//! Authentication of control messages.
//!
//! A signature does not prevent replay of a captured message, so every message must be harmless
//! when repeated: records are ordered by incarnation and version, an acknowledgement counts only
//! for an open probe, and replies are sent to the control address inside the message.

use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::Snafu;

use crate::owner_id::{FleetKey, Purpose};

/// Length of a truncated signature, in bytes.
pub const SIGNATURE_BYTES: usize = 16;

/// An error in verifying or decoding a control message.
#[derive(Debug, Snafu)]
pub enum MessageError {
    /// The signature matches none of the fleet keys.
    #[snafu(display("control message signature matches no fleet key"))]
    InvalidSignature,
    /// The message is shorter than a signature, or its body does not decode.
    #[snafu(display("control message is truncated or its body is not the expected MessagePack"))]
    Malformed,
}

/// Signs and verifies control messages (HMAC-SHA-256, truncated to 16 bytes).
#[derive(Clone, Debug)]
pub struct Signer {
    keys: Vec<[u8; 32]>,
}

impl Signer {
    /// Returns a signer that signs with the first key and accepts signatures of all keys.
    pub fn new(keys: &[FleetKey]) -> Self {
        let keys = keys
            .iter()
            .map(|key| key.derive(Purpose::Control))
            .collect();
        Self { keys }
    }

    /// Encodes a message in MessagePack and appends its signature.
    pub fn sign<T: Serialize>(&self, message: &T) -> Vec<u8> {
        let mut bytes = rmp_serde::to_vec(message).expect("messages encode");
        let signature = compute_signature(&self.keys[0], &bytes);
        bytes.extend_from_slice(&signature);
        bytes
    }

    /// Verifies and decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the signature matches no fleet key, or if the message is truncated or malformed.
    pub fn verify<T: for<'a> Deserialize<'a>>(&self, bytes: &[u8]) -> Result<T, MessageError> {
        let Some(length) = bytes.len().checked_sub(SIGNATURE_BYTES) else {
            return Err(MessageError::Malformed);
        };
        let (body, signature) = bytes.split_at(length);
        let is_valid = self
            .keys
            .iter()
            .any(|key| is_valid_signature(key, body, signature));
        if !is_valid {
            return Err(MessageError::InvalidSignature);
        }
        rmp_serde::from_slice(body).map_err(|_| MessageError::Malformed)
    }
}

fn compute_signature(key: &[u8], body: &[u8]) -> [u8; SIGNATURE_BYTES] {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length fits");
    mac.update(body);
    let full = mac.finalize().into_bytes();
    full[..SIGNATURE_BYTES].try_into().expect("16 bytes")
}

fn is_valid_signature(key: &[u8], body: &[u8], signature: &[u8]) -> bool {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).expect("any key length fits");
    mac.update(body);
    mac.verify_truncated_left(signature).is_ok()
}
