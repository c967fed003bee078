//! A stand-in for a backend server: slots, differing speed, feeds, and a journal of what ran.

use std::{
    convert::Infallible,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use tokio::{net::TcpListener, sync::Semaphore, time::Instant};

pub mod conduct;

pub use conduct::{Conduct, Note};

use super::body::answer_body;
use crate::{
    clock::unix_ms,
    consts::{OUTCOME_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER},
    kernel::Kernel,
};
use conduct::State;

/// Interval between two events of a feed.
const FEED_INTERVAL: Duration = Duration::from_millis(200);

type Body = BoxBody<Bytes, Infallible>;

/// What a backend server is started with.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServerOptions {
    /// Name of the service.
    pub service: String,
    /// Time that a request takes, in milliseconds.
    pub work_ms: u64,
    /// Requests worked on at once; more are shed.
    pub slots: usize,
    /// Length of answers by path.
    pub answers: Vec<(String, usize)>,
    /// Paths of feeds.
    pub feeds: Vec<String>,
    /// How the server misbehaves.
    #[serde(default)]
    pub conduct: Conduct,
}

/// A request that a backend server ran.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Service of the server.
    pub service: String,
    /// Name of the request.
    pub id: String,
    /// Path of the request.
    pub path: String,
}

/// A running backend server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    busy_us: AtomicU64,
    journal: Mutex<Vec<Run>>,
    options: ServerOptions,
    slots: Semaphore,
    span: Mutex<Option<(Instant, Instant)>>,
    state: State,
}

impl Server {
    /// Starts a backend server on a free port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be opened.
    pub async fn start(kernel: &Kernel, options: ServerOptions) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let server = Arc::new(Self {
            address: listener.local_addr()?,
            busy_us: AtomicU64::new(0),
            journal: Mutex::default(),
            slots: Semaphore::new(options.slots),
            span: Mutex::default(),
            state: State::new(options.conduct),
            options,
        });
        kernel.spawn(accept(listener, server.clone()));
        Ok(server)
    }

    /// Returns the address of the HTTP port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns what the server ran so far.
    pub fn journal(&self) -> Vec<Run> {
        self.journal.lock().expect("journal lock").clone()
    }

    /// Returns how the server behaves now.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the slot time used so far.
    pub fn busy(&self) -> Duration {
        Duration::from_micros(self.busy_us.load(Ordering::Relaxed))
    }

    /// Returns the slot time used over all slot time between the first request and the last.
    pub fn used(&self) -> f64 {
        let span = *self.span.lock().expect("span lock");
        let time = span.map_or(Duration::ZERO, |(first, last)| last - first);
        if time.is_zero() {
            return 0.0;
        }
        self.busy().as_secs_f64() / time.as_secs_f64() / self.options.slots as f64
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.options.slots
    }

    async fn respond(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Infallible> {
        let path = request.uri().path().to_owned();
        if let Some(report) = self.report(&path) {
            return Ok(report);
        }
        if self.options.feeds.contains(&path) {
            return Ok(feed(last_event(&request)));
        }
        let id = request.headers().get(REQUEST_ID_HEADER);
        let id = id
            .and_then(|value| value.to_str().ok())
            .unwrap_or("-")
            .to_owned();
        if self.late(&request) {
            self.state.note(&id, Note::Late);
            return Ok(shed());
        }
        let slot = self.slots.try_acquire();
        if slot.is_err() || self.state.draining() {
            self.state.note(&id, Note::Shed);
            return Ok(shed());
        }
        let _ = request.into_body().collect().await;
        self.run(&id, &path).await;
        let answer = self.options.answers.iter().find(|(p, _)| *p == path);
        Ok(match answer {
            Some((_, length)) => whole(StatusCode::OK, answer_body(&id, *length)),
            None => whole(StatusCode::NOT_FOUND, Bytes::new()),
        })
    }

    /// Answers the paths that are not requests: the journal, the notes, the load and the health.
    fn report(&self, path: &str) -> Option<Response<Body>> {
        let body = match path {
            "/journal" => serde_json::to_vec(&self.journal()),
            "/notes" => serde_json::to_vec(&self.state.notes()),
            "/load" => serde_json::to_vec(&self.state.reported_load()),
            "/health" => serde_json::to_vec(&self.state.reported_health()),
            _ => return None,
        };
        Some(whole(StatusCode::OK, body.unwrap_or_default().into()))
    }

    /// Returns whether a request can't end before its deadline.
    fn late(&self, request: &Request<Incoming>) -> bool {
        let left = request.headers().get(TIMEOUT_HEADER);
        let left = left.and_then(|value| value.to_str().ok()?.parse().ok());
        left.is_some_and(|left| Duration::from_millis(left) < self.work())
    }

    fn work(&self) -> Duration {
        self.state.work(Duration::from_millis(self.options.work_ms))
    }

    fn observe_load(&self) {
        let free = self.slots.available_permits();
        self.state.observe((self.options.slots - free) as u32);
    }

    async fn run(&self, id: &str, path: &str) {
        let run = Run {
            service: self.options.service.clone(),
            id: id.to_owned(),
            path: path.to_owned(),
        };
        self.journal.lock().expect("journal lock").push(run);
        let mut busy = Busy::start(self, id);
        let work = self.work();
        if !work.is_zero() {
            tokio::time::sleep(work).await;
        }
        busy.ended = true;
    }

    /// Counts slot time from `began` to now.
    fn count(&self, began: Instant) {
        let ended = Instant::now();
        let used = (ended - began).as_micros() as u64;
        self.busy_us.fetch_add(used, Ordering::Relaxed);
        let mut span = self.span.lock().expect("span lock");
        let first = span.map_or(began, |(first, _)| first);
        *span = Some((first, ended));
    }
}

/// Counts the slot time of a request, also if it is cancelled.
struct Busy<'a> {
    began: Instant,
    ended: bool,
    id: &'a str,
    server: &'a Server,
}

impl<'a> Busy<'a> {
    fn start(server: &'a Server, id: &'a str) -> Self {
        server.observe_load();
        Self {
            began: Instant::now(),
            ended: false,
            id,
            server,
        }
    }
}

impl Drop for Busy<'_> {
    fn drop(&mut self) {
        self.server.count(self.began);
        self.server.observe_load();
        if !self.ended {
            self.server.state.note(self.id, Note::Cancelled);
        }
    }
}

async fn accept(listener: TcpListener, server: Arc<Server>) {
    loop {
        let Ok((socket, _)) = listener.accept().await else {
            continue;
        };
        let _ = socket.set_nodelay(true);
        let server = server.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| server.clone().respond(request));
            let connection = hyper::server::conn::http1::Builder::new();
            let _ = connection
                .serve_connection(TokioIo::new(socket), service)
                .await;
        });
    }
}

fn whole(status: StatusCode, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed());
    *response.status_mut() = status;
    response
}

fn shed() -> Response<Body> {
    let mut response = whole(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    response
        .headers_mut()
        .insert(OUTCOME_HEADER, "not-run".parse().expect("valid value"));
    response
}

fn last_event(request: &Request<Incoming>) -> Option<u64> {
    request
        .headers()
        .get("last-event-id")?
        .to_str()
        .ok()?
        .parse()
        .ok()
}

/// Returns the number of the newest event; all servers number events by the wall clock.
fn newest_event() -> u64 {
    unix_ms() / FEED_INTERVAL.as_millis() as u64
}

fn feed(last: Option<u64>) -> Response<Body> {
    let first = last.map_or_else(newest_event, |id| id + 1);
    let events = stream::iter(first..).then(|id| async move {
        while newest_event() < id {
            tokio::time::sleep(FEED_INTERVAL / 4).await;
        }
        let event = format!("id: {id}\ndata: gust {id}\n\n");
        Ok(Frame::data(Bytes::from(event)))
    });
    Response::new(BodyExt::boxed(StreamBody::new(SyncStream(Box::pin(
        events,
    )))))
}

/// Makes a stream that only one task polls usable where `Sync` is asked for.
struct SyncStream<T>(std::pin::Pin<Box<dyn futures::Stream<Item = T> + Send + Sync>>);

impl<T> futures::Stream for SyncStream<T> {
    type Item = T;

    fn poll_next(
        mut self: std::pin::Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<T>> {
        self.0.as_mut().poll_next(cx)
    }
}
