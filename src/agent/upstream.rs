//! HTTP/1.1 client of the backend server.
//!
//! A request is written at most once, on an established connection and after a check of the
//! deadline. An error tells whether it was written. Cancelling a request closes its connection, so
//! that the backend server can detect it and a late response is not taken for that of another
//! request. A connection is reused only if the response names its request: a server that sends a
//! response twice may send the second copy when the next request is already on its way, and only the
//! id tells them apart.

use std::{
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::{
    body::{Body, Frame, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::{
    net::TcpStream,
    task::AbortHandle,
    time::{Instant, timeout_at},
};

use crate::{
    clock::{Clock, Time},
    consts::{REQUEST_ID_HEADER, TIMEOUT_HEADER},
};

/// Time after which an idle connection is not reused.
const CONNECTION_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of pooled idle connections.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// An error while a request is sent to the backend server.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The deadline expired before the request was written.
    #[snafu(display("the deadline expired before the request was sent to the backend server"))]
    DeadlineExceeded,
    /// The request was not written.
    #[snafu(display("can't send the request: no connection to the backend server"))]
    NotSent,
    /// The request was written, but no complete response to it arrived.
    #[snafu(display(
        "the request was sent, but no complete response arrived from the backend server"
    ))]
    Indeterminate,
}

/// An open connection that is closed when dropped.
#[derive(Debug)]
struct Connection {
    expires_at: Instant,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

#[derive(Debug, Default)]
struct Pool(Mutex<Vec<Connection>>);

impl Pool {
    fn acquire(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.0.lock().expect("pool lock");
        idle.retain(|c| c.expires_at > now && !c.sender.is_closed());
        idle.pop()
    }

    fn release(&self, mut connection: Connection) {
        connection.expires_at = Instant::now() + CONNECTION_IDLE_TIMEOUT;
        let mut idle = self.0.lock().expect("pool lock");
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
    }
}

/// The body of a response; its connection is closed if the body is dropped before its end.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    connection: Option<Connection>,
    is_reusable: bool,
    pool: Arc<Pool>,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(None) = &polled
            && let Some(connection) = self.connection.take()
            && self.is_reusable
        {
            self.pool.release(connection);
        }
        polled
    }
}

/// An HTTP client with pooled connections to one backend server.
#[derive(Clone, Debug)]
pub struct Upstream {
    clock: Clock,
    pool: Arc<Pool>,
    server: SocketAddr,
}

impl Upstream {
    /// Returns a client without open connections.
    pub fn new(clock: Clock, server: SocketAddr) -> Self {
        Self {
            clock,
            pool: Arc::default(),
            server,
        }
    }

    /// Returns the clock that the deadlines refer to.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sends a request before `deadline` and returns the head of the response with its open body.
    ///
    /// Only sending is limited by the deadline, not the wait for the response.
    ///
    /// # Errors
    ///
    /// [`UpstreamError::Indeterminate`] if the request may have run; any other error means that it
    /// did not run.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        deadline: Time,
    ) -> Result<Response<ResponseBody>, UpstreamError> {
        let mut request = self.to_http1(request)?;
        while let Some(connection) = self.pool.acquire() {
            match self.write(connection, request, deadline).await {
                Err(SendFailure::Unsent(unsent)) => request = *unsent,
                Err(SendFailure::Final(error)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
        let connecting = timeout_at(self.clock.instant(deadline), self.connect());
        let connection = connecting
            .await
            .map_err(|_| UpstreamError::DeadlineExceeded)??;
        match self.write(connection, request, deadline).await {
            Err(SendFailure::Unsent(_)) => Err(UpstreamError::NotSent),
            Err(SendFailure::Final(error)) => Err(error),
            Ok(response) => Ok(response),
        }
    }

    async fn connect(&self) -> Result<Connection, UpstreamError> {
        let not_sent = |_| UpstreamError::NotSent;
        let socket = TcpStream::connect(self.server).await.map_err(not_sent)?;
        socket.set_nodelay(true).map_err(not_sent)?;
        let handshake = http1::handshake(TokioIo::new(socket)).await;
        let (sender, driver) = handshake.map_err(|_| UpstreamError::NotSent)?;
        let task = tokio::spawn(async move {
            if let Err(error) = driver.await {
                tracing::debug!(event = "server_connection_closed", %error);
            }
        });
        Ok(Connection {
            expires_at: Instant::now(),
            sender,
            task: task.abort_handle(),
        })
    }

    /// Writes a request to a connection unless its deadline has expired.
    async fn write(
        &self,
        mut connection: Connection,
        mut request: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Response<ResponseBody>, SendFailure> {
        if connection.sender.ready().await.is_err() {
            return Err(SendFailure::Unsent(Box::new(request)));
        }
        let now = self.clock.now();
        if now >= deadline {
            return Err(SendFailure::Final(UpstreamError::DeadlineExceeded));
        }
        let left = deadline.since(now).as_millis() as u64;
        request.headers_mut().insert(TIMEOUT_HEADER, left.into());
        match connection.sender.try_send_request(request).await {
            Ok(response) => {
                let is_reusable = response.headers().contains_key(REQUEST_ID_HEADER);
                Ok(response.map(|body| ResponseBody {
                    body,
                    connection: Some(connection),
                    is_reusable,
                    pool: self.pool.clone(),
                }))
            }
            Err(mut error) => Err(match error.take_message() {
                Some(request) => SendFailure::Unsent(Box::new(request)),
                None => SendFailure::Final(UpstreamError::Indeterminate),
            }),
        }
    }

    fn to_http1(&self, request: Request<Bytes>) -> Result<Request<Full<Bytes>>, UpstreamError> {
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        parts.uri = path.parse().map_err(|_| UpstreamError::NotSent)?;
        parts.version = http::Version::HTTP_11;
        let host = HeaderValue::from_str(&self.server.to_string());
        let host = host.map_err(|_| UpstreamError::NotSent)?;
        parts.headers.insert(http::header::HOST, host);
        parts.headers.remove(http::header::CONTENT_LENGTH);
        Ok(Request::from_parts(parts, Full::new(body)))
    }
}

/// The result of a failed attempt on one connection.
enum SendFailure {
    /// The request was not written and may be sent on another connection.
    Unsent(Box<Request<Full<Bytes>>>),
    /// The request must not be sent on another connection.
    Final(UpstreamError),
}
