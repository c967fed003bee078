//! A caller's client: requests over HTTP/3 with honest outcomes, and feeds that are continued.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use bytes::Bytes;
use h3::{
    client::RequestStream,
    error::{Code, StreamError},
};
use http::{Method, Request};
use quinn::{ClientConfig, Endpoint, crypto::rustls::QuicClientConfig};
use rustls::{RootCertStore, pki_types::CertificateDer};
use snafu::{ResultExt, Snafu};

use crate::{agent::transport_config, clock::Clock, retry::RetryBudget};

pub mod call;
pub mod feed;
pub mod path;
pub mod session;

pub use call::{Call, Reply};

use call::KeptKey;
use session::Session;

/// An error at the start of a caller.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// The root certificates or the cipher suites do not fit.
    #[snafu(display("TLS: {why}"))]
    Tls {
        /// The library's error.
        why: String,
    },
    /// The local endpoint can't be opened.
    #[snafu(display("endpoint: {source}"))]
    Endpoint {
        /// The system's error.
        source: std::io::Error,
    },
}

/// Why one attempt got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum AttemptError {
    /// The request did not leave the caller, or was rejected without running.
    #[snafu(display("no connection"))]
    NotSent,
    /// The request left and its answer did not come.
    #[snafu(display("the connection was lost"))]
    Lost,
}

impl AttemptError {
    /// Returns what an error of a request's stream means: a rejected request did not run
    /// (RFC 9114, section 4.1.1).
    fn of(error: StreamError) -> Self {
        match error {
            StreamError::RemoteTerminate { code, .. } if code == Code::H3_REQUEST_REJECTED => {
                AttemptError::NotSent
            }
            _ => AttemptError::Lost,
        }
    }
}

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// A client of one service.
pub struct Caller {
    budget: Arc<Mutex<RetryBudget>>,
    clock: Clock,
    endpoint: Endpoint,
    key: Mutex<Option<KeptKey>>,
    service: String,
    session: tokio::sync::Mutex<Option<Session>>,
    target: SocketAddr,
}

impl std::fmt::Debug for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Caller")
            .field("target", &self.target)
            .finish_non_exhaustive()
    }
}

impl Caller {
    /// Returns a client of the service at `target` that trusts `roots`.
    ///
    /// # Errors
    ///
    /// Fails if the certificates do not fit or if no socket can be opened.
    pub fn new(
        target: SocketAddr,
        service: &str,
        roots: &[CertificateDer<'static>],
    ) -> Result<Self, CallerError> {
        let endpoint = client_endpoint(roots)?;
        Ok(Self::with_endpoint(endpoint, target, service))
    }

    /// Returns a client that shares an endpoint with others.
    pub fn with_endpoint(endpoint: Endpoint, target: SocketAddr, service: &str) -> Self {
        let clock = Clock::start();
        Self {
            budget: Arc::new(Mutex::new(RetryBudget::new(clock.now()))),
            clock,
            endpoint,
            key: Mutex::default(),
            service: service.to_owned(),
            session: tokio::sync::Mutex::default(),
            target,
        }
    }

    /// Returns a client of the same service with no open connection and the same retry budget.
    pub fn fresh(&self) -> Self {
        Self {
            budget: self.budget.clone(),
            clock: self.clock,
            ..Self::with_endpoint(self.endpoint.clone(), self.target, &self.service)
        }
    }

    /// Opens the connection ahead of the first request; returns whether it is open.
    pub async fn connect_ahead(&self) -> bool {
        self.session().await.is_ok()
    }

    /// Closes the connection.
    pub async fn disconnect(&self) {
        let session = self.session.lock().await.take();
        if let Some(session) = session {
            session.connection.close(0_u32.into(), b"done");
        }
    }

    /// Closes the endpoint with all its connections.
    pub async fn close(&self) {
        self.endpoint.close(0_u32.into(), b"done");
        self.endpoint.wait_idle().await;
    }

    fn request(&self, method: &Method, path: &str) -> Request<()> {
        let uri = format!("https://{}{path}", self.service);
        let request = Request::builder().method(method).uri(uri);
        request.body(()).unwrap_or_default()
    }
}

/// Opens an endpoint for callers that trust `roots`.
///
/// # Errors
///
/// Fails if the certificates do not fit or if no socket can be opened.
pub fn client_endpoint(roots: &[CertificateDer<'static>]) -> Result<Endpoint, CallerError> {
    let local: SocketAddr = ([0, 0, 0, 0], 0).into();
    let mut endpoint = Endpoint::client(local).context(EndpointSnafu)?;
    endpoint.set_default_client_config(client_config(roots)?);
    Ok(endpoint)
}

fn client_config(roots: &[CertificateDer<'static>]) -> Result<ClientConfig, CallerError> {
    let tls_error = |error: &dyn std::error::Error| CallerError::Tls {
        why: error.to_string(),
    };
    let mut store = RootCertStore::empty();
    for root in roots {
        store.add(root.clone()).map_err(|error| tls_error(&error))?;
    }
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| tls_error(&error))?
        .with_root_certificates(store)
        .with_no_client_auth();
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|error| tls_error(&error))?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}
