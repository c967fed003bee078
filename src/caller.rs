//! A caller's client: requests over HTTP/3 with honest outcomes, and feeds that are continued.

use std::{
    future::poll_fn,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::{Buf, Bytes};
use h3::client::{RequestStream, SendRequest};
use http::{Method, Request, Response};
use quinn::{ClientConfig, Endpoint, crypto::rustls::QuicClientConfig};
use rustls::{RootCertStore, pki_types::CertificateDer};
use snafu::{ResultExt, Snafu};
use tokio::time::{Instant, timeout_at};

use crate::{
    agent::{answer::Outcome, transport_config},
    consts::{
        KEY_HEADER, NEXT_KEY_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, SERVED_BY_HEADER,
        TIMEOUT_HEADER,
    },
};

pub mod feed;

/// Longest wait for one attempt to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);
const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

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
    /// The request did not leave the caller.
    #[snafu(display("no connection"))]
    NotSent,
    /// The request left and its answer did not come.
    #[snafu(display("the connection was lost"))]
    Lost,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Name of the request for the logs.
    pub id: String,
    /// Body.
    pub body: Bytes,
    /// Point at which the caller gives up.
    pub deadline: Instant,
    /// Whether the request may run twice without harm.
    pub idempotent: bool,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// How the request ended.
    pub outcome: Outcome,
    /// Whole body.
    pub body: Bytes,
    /// Backend server that ran the request.
    pub server: Option<String>,
}

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// One connection to a service.
#[derive(Clone)]
struct Session {
    connection: quinn::Connection,
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
}

/// A client of one service.
pub struct Caller {
    endpoint: Endpoint,
    key: Mutex<Option<String>>,
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
        Self {
            endpoint,
            key: Mutex::default(),
            service: service.to_owned(),
            session: tokio::sync::Mutex::default(),
            target,
        }
    }

    /// Returns a client of the same service with no open connection.
    pub fn fresh(&self) -> Self {
        Self::with_endpoint(self.endpoint.clone(), self.target, &self.service)
    }

    /// Closes the connection.
    pub async fn disconnect(&self) {
        let session = self.session.lock().await.take();
        if let Some(session) = session {
            session.connection.close(0_u32.into(), b"done");
        }
    }

    /// Sends a request until it has a final answer; `None` if none came before the deadline.
    pub async fn call(&self, call: &Call) -> Option<Reply> {
        timeout_at(call.deadline, self.call_until_final(call))
            .await
            .ok()
    }

    /// Closes the endpoint with all its connections.
    pub async fn close(&self) {
        self.endpoint.close(0_u32.into(), b"done");
        self.endpoint.wait_idle().await;
    }

    async fn call_until_final(&self, call: &Call) -> Reply {
        let mut key = if call.idempotent {
            None
        } else {
            self.take_key()
        };
        let mut backoff = FIRST_BACKOFF;
        loop {
            match self.attempt(call, key.as_deref()).await {
                Ok((reply, next)) => {
                    if !call.idempotent && reply.status == 428 {
                        key = next;
                        continue;
                    }
                    self.put_key(next);
                    return reply;
                }
                Err(error) => {
                    tracing::debug!(event = "attempt_failed", id = call.id, %error);
                }
            }
            tokio::time::sleep(backoff).await;
            backoff = MAX_BACKOFF.min(backoff * 2);
        }
    }

    fn take_key(&self) -> Option<String> {
        self.key.lock().expect("key lock").take()
    }

    fn put_key(&self, next: Option<String>) {
        if next.is_some() {
            *self.key.lock().expect("key lock") = next;
        }
    }

    async fn attempt(
        &self,
        call: &Call,
        key: Option<&str>,
    ) -> Result<(Reply, Option<String>), AttemptError> {
        let left = call
            .deadline
            .saturating_duration_since(Instant::now())
            .as_millis() as u64;
        let mut request = self.request(&call.method, &call.path);
        let headers = request.headers_mut();
        headers.insert(TIMEOUT_HEADER, left.into());
        headers.insert(
            REQUEST_ID_HEADER,
            call.id.parse().map_err(|_| AttemptError::NotSent)?,
        );
        if let Some(key) = key {
            headers.insert(KEY_HEADER, key.parse().map_err(|_| AttemptError::NotSent)?);
        }
        let mut stream = self.open(request).await?;
        let lost = |_| AttemptError::Lost;
        if !call.body.is_empty() {
            stream.send_data(call.body.clone()).await.map_err(lost)?;
        }
        stream.finish().await.map_err(lost)?;
        let head = stream.recv_response().await.map_err(lost)?;
        let mut body = Vec::new();
        while let Some(mut part) = stream.recv_data().await.map_err(lost)? {
            body.extend_from_slice(&part.copy_to_bytes(part.remaining()));
        }
        let next = text_header(&head, NEXT_KEY_HEADER).map(str::to_owned);
        Ok((reply(&head, body.into()), next))
    }

    fn request(&self, method: &Method, path: &str) -> Request<()> {
        let uri = format!("https://{}{path}", self.service);
        let request = Request::builder().method(method).uri(uri);
        request.body(()).unwrap_or_default()
    }

    /// Opens a stream for a request, on a new connection if the current one is gone.
    async fn open(&self, request: Request<()>) -> Result<Stream, AttemptError> {
        let mut session = self.session().await?;
        match session.sender.send_request(request).await {
            Ok(stream) => Ok(stream),
            Err(error) => {
                tracing::debug!(event = "session_closed", %error);
                self.forget(&session).await;
                Err(AttemptError::NotSent)
            }
        }
    }

    async fn session(&self) -> Result<Session, AttemptError> {
        let mut current = self.session.lock().await;
        if let Some(session) = current.as_ref()
            && session.connection.close_reason().is_none()
        {
            return Ok(session.clone());
        }
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let session = opened.map_err(|_| AttemptError::NotSent)??;
        *current = Some(session.clone());
        Ok(session)
    }

    async fn forget(&self, session: &Session) {
        let mut current = self.session.lock().await;
        let same = current.as_ref().map(|s| s.connection.stable_id())
            == Some(session.connection.stable_id());
        if same {
            *current = None;
        }
    }

    async fn connect(&self) -> Result<Session, AttemptError> {
        let connecting = self.endpoint.connect(self.target, &self.service);
        let connection = connecting.map_err(|_| AttemptError::NotSent)?;
        let connection = connection.await.map_err(|error| {
            tracing::debug!(event = "connect_failed", %error);
            AttemptError::NotSent
        })?;
        let quic = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(quic)
            .await
            .map_err(|_| AttemptError::NotSent)?;
        tokio::spawn(async move {
            poll_fn(|cx| driver.poll_close(cx)).await;
        });
        Ok(Session { connection, sender })
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

fn reply(head: &Response<()>, body: Bytes) -> Reply {
    let outcome = match text_header(head, OUTCOME_HEADER) {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Answered,
    };
    Reply {
        status: head.status().as_u16(),
        outcome,
        body,
        server: text_header(head, SERVED_BY_HEADER).map(str::to_owned),
    }
}

fn text_header<'a>(head: &'a Response<()>, name: &str) -> Option<&'a str> {
    head.headers().get(name)?.to_str().ok()
}
