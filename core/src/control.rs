//! HTTP server and client of the control address, for other processes and for operators.
//!
//! `GET` requests to `/health`, `/ready` and `/metrics` need no authentication. Requests of all other
//! methods carry MessagePack messages signed with a fleet key; their responses are signed too.

use std::{
    collections::HashMap,
    convert::Infallible,
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use futures::future::BoxFuture;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::Snafu;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    consts::MAX_BODY_BYTES,
    kernel::{Kernel, KernelError, StopSignal},
    membership::Signer,
    metrics::Metrics,
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Largest body of a control request or response, in bytes.
///
/// A caller's request that one agent sends to another must fit, with its headers and its encoding.
const MAX_CONTROL_BODY_BYTES: usize = 2 * MAX_BODY_BYTES;

/// An error of a control request.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// No connection to the peer could be made; the message was not sent.
    #[snafu(display("cannot connect to {peer}; the message was not sent"))]
    NotSent {
        /// Control address of the peer.
        peer: SocketAddrV4,
    },
    /// The response timed out, broke off or was too large; the message may have taken effect.
    #[snafu(display("no complete response from {peer}"))]
    Indeterminate {
        /// Control address of the peer.
        peer: SocketAddrV4,
    },
    /// The peer responded with another status than 200.
    #[snafu(display("{peer} refused the message: status {status}"))]
    Refused {
        /// Control address of the peer.
        peer: SocketAddrV4,
        /// HTTP status.
        status: StatusCode,
    },
    /// The response is not signed with a fleet key or cannot be decoded.
    #[snafu(display("response from {peer} is not signed with a fleet key or cannot be decoded"))]
    InvalidResponse {
        /// Control address of the peer.
        peer: SocketAddrV4,
    },
}

/// A handler of signed messages on one path.
///
/// Returns the signed response, or `None` if the message is not authentic, is signed for another path or
/// cannot be decoded.
pub type Handler = Arc<dyn Fn(Bytes) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync>;

/// State of the process that `/ready` reports; the fabric sends datagrams only to ready balancers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readiness {
    /// The process cannot serve new flows yet.
    Starting,
    /// The process accepts new flows.
    Ready,
    /// The process temporarily cannot forward datagrams.
    Paused,
    /// The process is shutting down and never becomes ready again.
    Stopping,
}

/// The control server of one process, published in the kernel under [`ControlServer::NAME`].
pub struct ControlServer {
    metrics: Arc<Metrics>,
    readiness: Mutex<Readiness>,
    handlers: Mutex<HashMap<&'static str, Handler>>,
    signer: Signer,
}

impl std::fmt::Debug for ControlServer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ControlServer")
            .field("readiness", &self.readiness)
            .finish_non_exhaustive()
    }
}

/// The signed contents of a request: a message with its path, so that it is not accepted on another
/// path. Responses are signed without an envelope.
#[derive(Debug, Deserialize, Serialize)]
struct Envelope<T> {
    path: String,
    message: T,
}

impl ControlServer {
    /// Name of the server in the kernel's registry.
    pub const NAME: &'static str = "control";

    /// Reports the process as ready if it is starting; has no effect in any other state.
    pub fn mark_ready(&self) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        if *readiness == Readiness::Starting {
            *readiness = Readiness::Ready;
        }
    }

    /// Reports a ready process as not ready while `paused`; has no effect if it is starting or stopping.
    pub fn set_paused(&self, paused: bool) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        *readiness = match (*readiness, paused) {
            (Readiness::Ready, true) => Readiness::Paused,
            (Readiness::Paused, false) => Readiness::Ready,
            (other, _) => other,
        };
    }

    /// Reports the process as not ready for the rest of its life.
    pub fn mark_stopping(&self) {
        *self.readiness.lock().expect("readiness lock") = Readiness::Stopping;
    }

    /// Returns whether `/ready` reports the process as ready.
    pub fn is_ready(&self) -> bool {
        *self.readiness.lock().expect("readiness lock") == Readiness::Ready
    }

    /// Adds a handler of messages of type `M` on a path, whose responses have type `R`.
    ///
    /// Replaces an earlier handler of the path. `GET` requests never reach it.
    pub fn add_handler<M, R, F>(&self, path: &'static str, handle: F)
    where
        M: DeserializeOwned + Send + 'static,
        R: Serialize + Send + 'static,
        F: Fn(M) -> BoxFuture<'static, R> + Send + Sync + 'static,
    {
        let signer = self.signer.clone();
        let handle = Arc::new(handle);
        let handler: Handler = Arc::new(move |bytes| {
            let signer = signer.clone();
            let handle = handle.clone();
            Box::pin(async move {
                let envelope: Envelope<M> = signer.verify(&bytes).ok()?;
                if envelope.path != path {
                    return None;
                }
                let response = handle(envelope.message).await;
                Some(signer.sign(&response))
            })
        });
        self.handlers
            .lock()
            .expect("handlers lock")
            .insert(path, handler);
    }

    async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET {
            return Ok(self.respond_to_get(&path));
        }
        let handler = self
            .handlers
            .lock()
            .expect("handlers lock")
            .get(path.as_str())
            .cloned();
        let Some(handler) = handler else {
            return Ok(respond(StatusCode::NOT_FOUND, Bytes::new()));
        };
        let body = Limited::new(request.into_body(), MAX_CONTROL_BODY_BYTES)
            .collect()
            .await;
        let Ok(body) = body else {
            return Ok(respond(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()));
        };
        let Some(response) = handler(body.to_bytes()).await else {
            tracing::warn!(event = "control_request_rejected", path);
            return Ok(respond(StatusCode::FORBIDDEN, Bytes::new()));
        };
        Ok(respond(StatusCode::OK, response.into()))
    }

    fn respond_to_get(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/health" => respond(StatusCode::OK, "healthy\n".into()),
            "/ready" if self.is_ready() => respond(StatusCode::OK, "ready\n".into()),
            "/ready" => respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
            "/metrics" => respond(StatusCode::OK, self.metrics.text().into()),
            _ => respond(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

/// Starts the control server on `listener` and publishes it in the kernel.
///
/// # Errors
///
/// Fails if no [`Metrics`] are published in the kernel.
pub fn start(kernel: &Kernel, listener: TcpListener, signer: Signer) -> Result<(), KernelError> {
    let control = Arc::new(ControlServer {
        metrics: kernel.find(Metrics::NAME)?,
        readiness: Mutex::new(Readiness::Starting),
        handlers: Mutex::default(),
        signer,
    });
    kernel.publish(ControlServer::NAME, control.clone());
    kernel.spawn(accept_connections(listener, control, kernel.stop_signal()));
    Ok(())
}

/// Accepts a connection, however often that fails: without a pause, a process that has run out of file
/// descriptors would spend all its processor time here.
pub async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((socket, _)) => return socket,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn accept_connections(listener: TcpListener, control: Arc<ControlServer>, stop: StopSignal) {
    loop {
        let socket = accept(&listener).await;
        let control = control.clone();
        let mut stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| control.clone().handle_request(request));
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::select! {
                () = stop.stopped() => {}
                _ = builder.serve_connection(TokioIo::new(socket), service) => {}
            }
        });
    }
}

/// Sends signed messages to the control servers of other processes.
#[derive(Clone, Debug)]
pub struct ControlClient {
    client: Client<HttpConnector, Full<Bytes>>,
    signer: Signer,
}

impl ControlClient {
    /// Returns a client whose messages `signer` signs.
    pub fn new(signer: Signer) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, signer }
    }

    /// Sends a message and returns the peer's response.
    ///
    /// # Errors
    ///
    /// Fails if there is no connection to the peer, if its response does not arrive within `time_limit`, if
    /// it refuses the message, or if its response is not authentic or cannot be decoded. Connecting is
    /// limited to 250 ms.
    pub async fn post<M: Serialize, R: DeserializeOwned>(
        &self,
        peer: SocketAddrV4,
        path: &str,
        message: &M,
        time_limit: Duration,
    ) -> Result<R, ControlError> {
        let envelope = Envelope {
            path: path.to_owned(),
            message,
        };
        let body = Full::new(Bytes::from(self.signer.sign(&envelope)));
        let request = Request::post(format!("http://{peer}{path}")).body(body);
        let request = request.map_err(|_| ControlError::Indeterminate { peer })?;
        let exchange = async {
            let received = self.client.request(request).await;
            let response = received.map_err(|error| match error.is_connect() {
                true => ControlError::NotSent { peer },
                false => ControlError::Indeterminate { peer },
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_CONTROL_BODY_BYTES)
                .collect()
                .await
                .map_err(|_| ControlError::Indeterminate { peer })?;
            Ok((status, body.to_bytes()))
        };
        let result = timeout(time_limit, exchange).await;
        let result = result.unwrap_or_else(|_| IndeterminateSnafu { peer }.fail());
        let (status, body) = result?;
        if status != StatusCode::OK {
            return RefusedSnafu { peer, status }.fail();
        }
        self.signer
            .verify(&body)
            .map_err(|_| ControlError::InvalidResponse { peer })
    }
}
