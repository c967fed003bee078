//! The agent's HTTP/1.1 client towards its backend server.
//!
//! A request is written once, on a connection that is open before the deadline is checked. An
//! error tells whether it was written. Giving a request up closes its connection, so that the
//! backend server learns of it and a late answer reaches nobody.

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
    consts::TIMEOUT_HEADER,
};

/// Time after which an idle connection is not used again.
const IDLE_LIFETIME: Duration = Duration::from_secs(3);
/// Most idle connections that are kept.
const MAX_IDLE: usize = 64;

/// An error of a request to the backend server.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The deadline passed before the request was written.
    #[snafu(display("the deadline has passed"))]
    Late,
    /// The request was not written.
    #[snafu(display("no connection to the backend server"))]
    NotSent,
    /// The request was written and no whole answer came.
    #[snafu(display("the backend server's answer is lost"))]
    Lost,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
struct Connection {
    idle_until: Instant,
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
    fn take(&self) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.0.lock().expect("pool lock");
        idle.retain(|c| c.idle_until > now && !c.sender.is_closed());
        idle.pop()
    }

    fn put(&self, mut connection: Connection) {
        connection.idle_until = Instant::now() + IDLE_LIFETIME;
        let mut idle = self.0.lock().expect("pool lock");
        if idle.len() < MAX_IDLE {
            idle.push(connection);
        }
    }
}

/// The body of an answer; its connection is closed if it is dropped before its end.
#[derive(Debug)]
pub struct AnswerBody {
    body: Incoming,
    connection: Option<Connection>,
    pool: Arc<Pool>,
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(None) = &polled
            && let Some(connection) = self.connection.take()
        {
            self.pool.put(connection);
        }
        polled
    }
}

/// Connections to one backend server.
#[derive(Clone, Debug)]
pub struct Upstream {
    clock: Clock,
    pool: Arc<Pool>,
    server: SocketAddr,
}

impl Upstream {
    /// Returns the client of a backend server.
    pub fn new(clock: Clock, server: SocketAddr) -> Self {
        Self {
            clock,
            pool: Arc::default(),
            server,
        }
    }

    /// Returns the clock by which deadlines are kept.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sends a request before `deadline` and returns the answer's head with its open body.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        deadline: Time,
    ) -> Result<Response<AnswerBody>, UpstreamError> {
        let mut request = self.outgoing(request)?;
        while let Some(connection) = self.pool.take() {
            match self.write(connection, request, deadline).await {
                Err(Failure::Returned(returned)) => request = *returned,
                Err(Failure::Final(error)) => return Err(error),
                Ok(response) => return Ok(response),
            }
        }
        let connecting = timeout_at(self.clock.instant(deadline), self.connect());
        let connection = connecting.await.map_err(|_| UpstreamError::Late)??;
        match self.write(connection, request, deadline).await {
            Err(Failure::Returned(_)) => Err(UpstreamError::NotSent),
            Err(Failure::Final(error)) => Err(error),
            Ok(response) => Ok(response),
        }
    }

    async fn connect(&self) -> Result<Connection, UpstreamError> {
        let not_sent = |_| UpstreamError::NotSent;
        let socket = TcpStream::connect(self.server).await.map_err(not_sent)?;
        socket.set_nodelay(true).map_err(not_sent)?;
        let shaken = http1::handshake(TokioIo::new(socket)).await;
        let (sender, driver) = shaken.map_err(|_| UpstreamError::NotSent)?;
        let task = tokio::spawn(async move {
            if let Err(error) = driver.await {
                tracing::debug!(event = "server_connection_closed", %error);
            }
        });
        Ok(Connection {
            idle_until: Instant::now(),
            sender,
            task: task.abort_handle(),
        })
    }

    /// Writes a request to a connection unless its deadline has passed.
    async fn write(
        &self,
        mut connection: Connection,
        mut request: Request<Full<Bytes>>,
        deadline: Time,
    ) -> Result<Response<AnswerBody>, Failure> {
        if connection.sender.ready().await.is_err() {
            return Err(Failure::Returned(Box::new(request)));
        }
        let now = self.clock.now();
        if now >= deadline {
            return Err(Failure::Final(UpstreamError::Late));
        }
        let left = deadline.since(now).as_millis() as u64;
        request.headers_mut().insert(TIMEOUT_HEADER, left.into());
        match connection.sender.try_send_request(request).await {
            Ok(response) => Ok(response.map(|body| AnswerBody {
                body,
                connection: Some(connection),
                pool: self.pool.clone(),
            })),
            Err(mut error) => Err(match error.take_message() {
                Some(request) => Failure::Returned(Box::new(request)),
                None => Failure::Final(UpstreamError::Lost),
            }),
        }
    }

    fn outgoing(&self, request: Request<Bytes>) -> Result<Request<Full<Bytes>>, UpstreamError> {
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

/// How one try on one connection failed.
enum Failure {
    /// The request was not written.
    Returned(Box<Request<Full<Bytes>>>),
    /// No other connection may be tried.
    Final(UpstreamError),
}
