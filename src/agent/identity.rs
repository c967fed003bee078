//! TLS certificate of a service, reloaded from its files without a restart.

use std::{
    fs::File,
    io::{self, BufReader},
    path::{Path, PathBuf},
    sync::Arc,
    time::Duration,
};

use arc_swap::ArcSwap;
use rustls::{
    crypto::ring::sign::any_supported_type,
    pki_types::{CertificateDer, PrivateKeyDer},
    server::{ClientHello, ResolvesServerCert},
    sign::CertifiedKey,
};
use snafu::{OptionExt, ResultExt, Snafu};

/// Interval at which the files are reloaded.
const RELOAD_INTERVAL: Duration = Duration::from_secs(10);

/// An error while a certificate or private key is loaded.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A file can't be read.
    #[snafu(display("can't read {}: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file contains no private key in PEM format.
    #[snafu(display("{}: expected a private key in PEM format, found none", file.display()))]
    NoKey {
        /// The file.
        file: PathBuf,
    },
    /// The private key is of an unsupported type or does not match the certificate.
    #[snafu(display("can't use the certificate {} with its private key: {source}", file.display()))]
    InvalidPair {
        /// File of the certificate.
        file: PathBuf,
        /// The library's error.
        source: rustls::Error,
    },
}

/// Paths of a certificate chain and its private key, both in PEM format.
#[derive(Clone, Debug)]
pub struct IdentityFiles {
    /// File of the certificate chain, with the certificate of the service first.
    pub certificate: PathBuf,
    /// File of the private key of the first certificate.
    pub private_key: PathBuf,
}

impl IdentityFiles {
    /// Reads the files and checks that the private key matches the certificate.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read, if there is no private key, or if the key is of an
    /// unsupported type or does not match the certificate.
    pub fn read(&self) -> Result<CertifiedKey, IdentityError> {
        let chain: Result<Vec<CertificateDer<'static>>, _> =
            rustls_pemfile::certs(&mut open(&self.certificate)?).collect();
        let chain = chain.context(UnreadableSnafu {
            file: &self.certificate,
        })?;
        let key: PrivateKeyDer<'static> =
            rustls_pemfile::private_key(&mut open(&self.private_key)?)
                .context(UnreadableSnafu {
                    file: &self.private_key,
                })?
                .context(NoKeySnafu {
                    file: &self.private_key,
                })?;
        let invalid_pair = InvalidPairSnafu {
            file: &self.certificate,
        };
        let key = any_supported_type(&key).context(invalid_pair)?;
        let certified = CertifiedKey::new(chain, key);
        certified.keys_match().context(invalid_pair)?;
        Ok(certified)
    }
}

fn open(file: &Path) -> Result<BufReader<File>, IdentityError> {
    let opened = File::open(file).context(UnreadableSnafu { file })?;
    Ok(BufReader::new(opened))
}

/// A certificate that can be replaced at run time; open connections keep the earlier one.
#[derive(Debug)]
pub struct ReloadableIdentity {
    current: ArcSwap<CertifiedKey>,
    files: IdentityFiles,
}

impl ReloadableIdentity {
    /// Loads the certificate and the private key.
    ///
    /// # Errors
    ///
    /// Fails like [`IdentityFiles::read`].
    pub fn open(files: IdentityFiles) -> Result<Self, IdentityError> {
        let certified = files.read()?;
        Ok(Self {
            current: ArcSwap::from_pointee(certified),
            files,
        })
    }

    /// Returns the certificate for new connections.
    pub fn current(&self) -> Arc<CertifiedKey> {
        self.current.load_full()
    }

    /// Reloads the files; the current certificate stays in use if they are invalid.
    pub fn reload(&self) {
        let certified = match self.files.read() {
            Ok(certified) => certified,
            Err(error) => {
                tracing::warn!(event = "certificate_kept", %error);
                return;
            }
        };
        if certified.cert == self.current.load().cert {
            return;
        }
        tracing::info!(event = "certificate_replaced", file = %self.files.certificate.display());
        self.current.store(Arc::new(certified));
    }

    /// Reloads the files periodically until the task is aborted.
    pub async fn reload_periodically(self: Arc<Self>) {
        loop {
            tokio::time::sleep(RELOAD_INTERVAL).await;
            self.reload();
        }
    }
}

impl ResolvesServerCert for ReloadableIdentity {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }
}
