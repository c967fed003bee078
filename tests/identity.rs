//! Replacement of a service's certificate while the agent runs.

use std::{fs, path::PathBuf, sync::Arc};

use berylvalve::agent::identity::{IdentityError, IdentityFiles, ReloadableIdentity};

struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        let name = format!("berylvalve-identity-{:016x}", rand::random::<u64>());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    fn files(&self) -> IdentityFiles {
        IdentityFiles {
            certificate: self.0.join("certificate.pem"),
            private_key: self.0.join("private-key.pem"),
        }
    }

    /// Writes a new certificate, with the private key of another certificate unless `is_matching`.
    fn write(&self, is_matching: bool) {
        let generated = rcgen::generate_simple_self_signed(["wind".to_owned()]).unwrap();
        let other = rcgen::generate_simple_self_signed(["wind".to_owned()]).unwrap();
        let key = if is_matching {
            &generated.signing_key
        } else {
            &other.signing_key
        };
        fs::write(self.files().certificate, generated.cert.pem()).unwrap();
        fs::write(self.files().private_key, key.serialize_pem()).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_new_certificate_is_used_after_a_reload() {
    let folder = Folder::new();
    folder.write(true);
    let identity = Arc::new(ReloadableIdentity::open(folder.files()).unwrap());
    let before = identity.current();
    identity.reload();
    assert_eq!(identity.current().cert, before.cert);
    folder.write(true);
    identity.reload();
    assert_ne!(identity.current().cert, before.cert);
}

/// Guards against an agent without a usable certificate: it may read the files while only one of
/// them has been replaced, or while one is missing.
#[test]
fn a_partly_replaced_certificate_leaves_the_old_one_in_use() {
    let folder = Folder::new();
    folder.write(true);
    let identity = ReloadableIdentity::open(folder.files()).unwrap();
    let before = identity.current();
    folder.write(false);
    identity.reload();
    assert_eq!(identity.current().cert, before.cert);
    fs::remove_file(folder.files().private_key).unwrap();
    identity.reload();
    assert_eq!(identity.current().cert, before.cert);
}

#[test]
fn opening_fails_if_the_key_does_not_match_the_certificate() {
    let folder = Folder::new();
    folder.write(false);
    let result = ReloadableIdentity::open(folder.files());
    assert!(
        matches!(result, Err(IdentityError::InvalidPair { .. })),
        "{result:?}"
    );
}
