//! Certificates of a service, replaced while the agent runs.

use std::{fs, path::PathBuf, sync::Arc};

use berylvalve::agent::identity::{IdentityError, IdentityFiles, LiveIdentity};

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

    /// Writes a new certificate; the key of another one if `fitting` is false.
    fn write(&self, fitting: bool) {
        let made = rcgen::generate_simple_self_signed(["wind".to_owned()]).unwrap();
        let other = rcgen::generate_simple_self_signed(["wind".to_owned()]).unwrap();
        let key = if fitting {
            &made.signing_key
        } else {
            &other.signing_key
        };
        fs::write(self.files().certificate, made.cert.pem()).unwrap();
        fs::write(self.files().private_key, key.serialize_pem()).unwrap();
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_new_certificate_is_taken_without_a_restart() {
    let folder = Folder::new();
    folder.write(true);
    let identity = Arc::new(LiveIdentity::open(folder.files()).unwrap());
    let before = identity.current();
    identity.refresh();
    assert_eq!(identity.current().cert, before.cert);
    folder.write(true);
    identity.refresh();
    assert_ne!(identity.current().cert, before.cert);
}

#[test]
fn a_half_written_certificate_leaves_the_old_one_in_use() {
    let folder = Folder::new();
    folder.write(true);
    let identity = LiveIdentity::open(folder.files()).unwrap();
    let before = identity.current();
    folder.write(false);
    identity.refresh();
    assert_eq!(identity.current().cert, before.cert);
    fs::remove_file(folder.files().private_key).unwrap();
    identity.refresh();
    assert_eq!(identity.current().cert, before.cert);
}

#[test]
fn a_key_of_another_certificate_is_refused_at_the_start() {
    let folder = Folder::new();
    folder.write(false);
    let refused = LiveIdentity::open(folder.files());
    assert!(
        matches!(refused, Err(IdentityError::Unfit { .. })),
        "{refused:?}"
    );
}
