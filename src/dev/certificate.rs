//! Certificates for development, made anew at each start.

use std::{fs, path::PathBuf};

use rustls::pki_types::CertificateDer;
use snafu::ResultExt;

use super::{CertificateSnafu, DevError, StandInSnafu};

/// A self-signed certificate for all services, in a folder of its own.
#[derive(Debug)]
pub struct DevCertificate {
    /// Certificate that callers trust.
    pub root: CertificateDer<'static>,
    /// Certificate chain in PEM.
    pub certificate: PathBuf,
    /// Private key in PEM.
    pub private_key: PathBuf,
    folder: PathBuf,
}

impl DevCertificate {
    /// Makes a certificate for the names of services.
    ///
    /// # Errors
    ///
    /// Fails if the files can't be written.
    pub fn make(services: Vec<String>) -> Result<Self, DevError> {
        let made = rcgen::generate_simple_self_signed(services).context(CertificateSnafu)?;
        let folder =
            std::env::temp_dir().join(format!("berylvalve-{:016x}", rand::random::<u64>()));
        fs::create_dir_all(&folder).context(StandInSnafu)?;
        let certificate = folder.join("certificate.pem");
        let private_key = folder.join("private-key.pem");
        fs::write(&certificate, made.cert.pem()).context(StandInSnafu)?;
        fs::write(&private_key, made.signing_key.serialize_pem()).context(StandInSnafu)?;
        Ok(Self {
            root: made.cert.der().clone(),
            certificate,
            private_key,
            folder,
        })
    }
}

impl Drop for DevCertificate {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
