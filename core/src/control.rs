//! HTTP between processes and towards operators, on the control address.
//!
//! `GET` routes are open: `/health`, `/ready`, `/metrics`. `POST` routes carry `rmp-serde` messages
//! signed with a fleet key; the answer is signed too.

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
use tokio::{net::TcpListener, time::timeout};

use crate::{
    consts::BODY_BYTES,
    kernel::{Kernel, KernelError, StopSignal},
    membership::Signer,
    metrics::Metrics,
};

/// Longest wait for a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest control message, in bytes.
const MESSAGE_BYTES: usize = 2 * BODY_BYTES;

/// An error of a control request.
#[derive(Debug, Snafu)]
pub enum ControlError {
    /// There is no connection to the peer: the message did not leave.
    #[snafu(display("no connection to {peer}"))]
    NotSent {
        /// Control address of the peer.
        peer: SocketAddrV4,
    },
    /// The peer can't be reached or did not answer in time.
    #[snafu(display("{peer} does not answer"))]
    Unreachable {
        /// Control address of the peer.
        peer: SocketAddrV4,
    },
    /// The peer refused the message.
    #[snafu(display("{peer} refused: {status}"))]
    Refused {
        /// Control address of the peer.
        peer: SocketAddrV4,
        /// HTTP status.
        status: StatusCode,
    },
    /// The answer is not signed with a fleet key, or can't be read.
    #[snafu(display("{peer} sent a damaged answer"))]
    Damaged {
        /// Control address of the peer.
        peer: SocketAddrV4,
    },
}

/// A handler of signed messages on one path.
pub type Route = Arc<dyn Fn(Bytes) -> BoxFuture<'static, Option<Vec<u8>>> + Send + Sync>;

/// Whether the fabric may send datagrams to the process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Readiness {
    /// The process can't place new flows yet.
    Starting,
    /// The process takes datagrams.
    Ready,
    /// The process can't pass datagrams on for the moment.
    Paused,
    /// The process stops.
    Stopping,
}

/// The control server of one process, under the name [`Control::NAME`].
pub struct Control {
    metrics: Arc<Metrics>,
    readiness: Mutex<Readiness>,
    routes: Mutex<HashMap<&'static str, Route>>,
    signer: Signer,
}

impl std::fmt::Debug for Control {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Control")
            .field("readiness", &self.readiness)
            .finish_non_exhaustive()
    }
}

/// A signed message with the path that it is meant for.
#[derive(Debug, Deserialize, Serialize)]
struct Envelope<T> {
    path: String,
    message: T,
}

impl Control {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "control";

    /// Lets the fabric send datagrams here, unless the process already stops.
    pub fn start_serving(&self) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        if *readiness == Readiness::Starting {
            *readiness = Readiness::Ready;
        }
    }

    /// Asks the fabric to send datagrams elsewhere for the moment, or here again.
    pub fn pause_serving(&self, paused: bool) {
        let mut readiness = self.readiness.lock().expect("readiness lock");
        *readiness = match (*readiness, paused) {
            (Readiness::Ready, true) => Readiness::Paused,
            (Readiness::Paused, false) => Readiness::Ready,
            (other, _) => other,
        };
    }

    /// Asks the fabric to send no more datagrams here; there is no way back.
    pub fn stop_serving(&self) {
        *self.readiness.lock().expect("readiness lock") = Readiness::Stopping;
    }

    /// Returns whether the fabric may send datagrams here.
    pub fn is_ready(&self) -> bool {
        *self.readiness.lock().expect("readiness lock") == Readiness::Ready
    }

    /// Serves messages of type `M` on a path with answers of type `A`.
    pub fn route<M, A, F>(&self, path: &'static str, handle: F)
    where
        M: DeserializeOwned + Send + 'static,
        A: Serialize + Send + 'static,
        F: Fn(M) -> BoxFuture<'static, A> + Send + Sync + 'static,
    {
        let signer = self.signer.clone();
        let handle = Arc::new(handle);
        let route: Route = Arc::new(move |bytes| {
            let signer = signer.clone();
            let handle = handle.clone();
            Box::pin(async move {
                let envelope: Envelope<M> = signer.open(&bytes).ok()?;
                if envelope.path != path {
                    return None;
                }
                let answer = handle(envelope.message).await;
                Some(signer.seal(&answer))
            })
        });
        self.routes.lock().expect("routes lock").insert(path, route);
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Infallible> {
        let path = request.uri().path().to_owned();
        if request.method() == Method::GET {
            return Ok(self.open_route(&path));
        }
        let route = self
            .routes
            .lock()
            .expect("routes lock")
            .get(path.as_str())
            .cloned();
        let Some(route) = route else {
            return Ok(respond(StatusCode::NOT_FOUND, Bytes::new()));
        };
        let body = Limited::new(request.into_body(), MESSAGE_BYTES)
            .collect()
            .await;
        let Ok(body) = body else {
            return Ok(respond(StatusCode::PAYLOAD_TOO_LARGE, Bytes::new()));
        };
        let Some(answer) = route(body.to_bytes()).await else {
            tracing::warn!(event = "control_request_rejected", path);
            return Ok(respond(StatusCode::FORBIDDEN, Bytes::new()));
        };
        Ok(respond(StatusCode::OK, answer.into()))
    }

    fn open_route(&self, path: &str) -> Response<Full<Bytes>> {
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

/// Starts and publishes the control server.
///
/// # Errors
///
/// Fails if the metrics are not published.
pub fn start(kernel: &Kernel, listener: TcpListener, signer: Signer) -> Result<(), KernelError> {
    let control = Arc::new(Control {
        metrics: kernel.find(Metrics::NAME)?,
        readiness: Mutex::new(Readiness::Starting),
        routes: Mutex::default(),
        signer,
    });
    kernel.publish(Control::NAME, control.clone());
    kernel.spawn(accept(listener, control, kernel.stop_signal()));
    Ok(())
}

async fn accept(listener: TcpListener, control: Arc<Control>, stop: StopSignal) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let control = control.clone();
        let mut stop = stop.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| control.clone().respond(request));
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
    /// Returns a client that signs with a fleet key.
    pub fn new(signer: Signer) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, signer }
    }

    /// Sends a message and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if the peer can't be reached within `patience`, refuses, or sends a damaged answer.
    pub async fn post<M: Serialize, A: DeserializeOwned>(
        &self,
        peer: SocketAddrV4,
        path: &str,
        message: &M,
        patience: Duration,
    ) -> Result<A, ControlError> {
        let envelope = Envelope {
            path: path.to_owned(),
            message,
        };
        let body = Full::new(Bytes::from(self.signer.seal(&envelope)));
        let request = Request::post(format!("http://{peer}{path}")).body(body);
        let request = request.map_err(|_| ControlError::Unreachable { peer })?;
        let exchange = async {
            let sent = self.client.request(request).await;
            let response = sent.map_err(|error| match error.is_connect() {
                true => ControlError::NotSent { peer },
                false => ControlError::Unreachable { peer },
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MESSAGE_BYTES)
                .collect()
                .await
                .map_err(|_| ControlError::Unreachable { peer })?;
            Ok((status, body.to_bytes()))
        };
        let answered = timeout(patience, exchange).await;
        let answered = answered.unwrap_or_else(|_| UnreachableSnafu { peer }.fail());
        let (status, body) = answered?;
        if status != StatusCode::OK {
            return RefusedSnafu { peer, status }.fail();
        }
        self.signer
            .open(&body)
            .map_err(|_| ControlError::Damaged { peer })
    }
}
