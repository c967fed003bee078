//! Keys of stateless reset tokens, shared by all agents of a fleet (RFC 9000, section 10.3).

use quinn_proto::crypto::{CryptoError, HmacKey};
use ring::hmac::{HMAC_SHA256, Key, sign, verify};

use crate::owner_id::{FleetKey, Purpose};

/// Length of an HMAC-SHA-256 tag, in bytes.
const SIGNATURE_BYTES: usize = 32;

/// Reset keys derived from the fleet keys; the first byte of a connection id selects the key.
///
/// Agents before and after a key rotation therefore compute the same token for a connection id.
#[derive(Debug)]
pub struct ResetKeys(Vec<(u8, Key)>);

impl ResetKeys {
    /// Derives the reset keys of `keys`, which must not be empty.
    pub fn new(keys: &[FleetKey]) -> Self {
        let derive = |key: &FleetKey| {
            let secret = key.derive(Purpose::Reset);
            (key.id, Key::new(HMAC_SHA256, &secret))
        };
        Self(keys.iter().map(derive).collect())
    }

    fn key(&self, connection_id: &[u8]) -> &Key {
        let is_selected = |(id, _): &&(u8, Key)| Some(id) == connection_id.first();
        let (_, key) = self.0.iter().find(is_selected).unwrap_or(&self.0[0]);
        key
    }
}

impl HmacKey for ResetKeys {
    fn sign(&self, data: &[u8], signature_out: &mut [u8]) {
        let tag = sign(self.key(data), data);
        signature_out.copy_from_slice(tag.as_ref());
    }

    fn signature_len(&self) -> usize {
        SIGNATURE_BYTES
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        verify(self.key(data), data, signature).map_err(|_| CryptoError)
    }
}
