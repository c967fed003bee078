//! The certificate of a service, replaced while connections are open.

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

/// Interval at which the files are read again.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// An error of a certificate or a private key.
#[derive(Debug, Snafu)]
pub enum IdentityError {
    /// A file can't be read.
    #[snafu(display("{}: {source}", file.display()))]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// A file holds no private key.
    #[snafu(display("{}: no private key in PEM", file.display()))]
    NoKey {
        /// The file.
        file: PathBuf,
    },
    /// The certificate and the private key do not belong together.
    #[snafu(display("{}: {source}", file.display()))]
    Unfit {
        /// File of the certificate.
        file: PathBuf,
        /// The library's error.
        source: rustls::Error,
    },
}

/// Files of a certificate chain and its private key, in PEM.
#[derive(Clone, Debug)]
pub struct IdentityFiles {
    /// Certificate chain.
    pub certificate: PathBuf,
    /// Private key.
    pub private_key: PathBuf,
}

impl IdentityFiles {
    /// Reads the files and checks that they belong together.
    ///
    /// # Errors
    ///
    /// Fails if a file can't be read or if the key does not belong to the certificate.
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
        let unfit = UnfitSnafu {
            file: &self.certificate,
        };
        let key = any_supported_type(&key).context(unfit)?;
        let certified = CertifiedKey::new(chain, key);
        certified.keys_match().context(unfit)?;
        Ok(certified)
    }
}

fn open(file: &Path) -> Result<BufReader<File>, IdentityError> {
    let opened = File::open(file).context(UnreadableSnafu { file })?;
    Ok(BufReader::new(opened))
}

/// The certificate for new connections; open ones keep theirs.
#[derive(Debug)]
pub struct LiveIdentity {
    current: ArcSwap<CertifiedKey>,
    files: IdentityFiles,
}

impl LiveIdentity {
    /// Reads the files.
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

    /// Reads the files again; the current certificate stays if they do not hold.
    pub fn refresh(&self) {
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

    /// Reads the files again at intervals, for ever.
    pub async fn watch(self: Arc<Self>) {
        loop {
            tokio::time::sleep(READ_INTERVAL).await;
            self.refresh();
        }
    }
}

impl ResolvesServerCert for LiveIdentity {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.current())
    }
}
