//! The agent's HTTP/3 side: requests in, whole answers or honest refusals out.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::{Buf, Bytes};
use h3::server::RequestStream;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use quinn::Endpoint;
use tokio::{sync::watch, time::timeout_at};

use super::{
    AgentOptions,
    ledger::{Begin, Ledger, Recorded},
    upstream::{Upstream, UpstreamError},
};
use crate::{
    clock::{Clock, Time},
    config::tree::RequestPlan,
    consts::{
        BODY_BYTES, KEY_HEADER, NEXT_KEY_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER,
        SERVED_BY_HEADER, TIMEOUT_HEADER,
    },
    kernel::StopSignal,
    owner_id::{Keyring, Owner, Purpose},
};

const RETRY_AFTER_SECONDS: u64 = 1;

type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// How a request ended, for the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The backend server's answer.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the header's value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A whole answer of the agent.
#[derive(Debug)]
struct Answer {
    body: Bytes,
    outcome: Outcome,
    server: Option<String>,
    status: StatusCode,
}

impl Answer {
    fn not_run(status: StatusCode, why: &'static str) -> Self {
        Self {
            body: Bytes::from_static(why.as_bytes()),
            outcome: Outcome::NotRun,
            server: None,
            status,
        }
    }

    fn unknown() -> Self {
        Self {
            body: Bytes::from_static(b"the request may have run"),
            outcome: Outcome::Unknown,
            server: None,
            status: StatusCode::GATEWAY_TIMEOUT,
        }
    }

    fn recorded(recorded: Recorded) -> Self {
        Self {
            body: recorded.body,
            outcome: Outcome::Answered,
            server: Some(recorded.server),
            status: StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK),
        }
    }
}

/// Handles the requests of one agent.
#[derive(Debug)]
pub struct Handler {
    clock: Clock,
    draining: watch::Sender<bool>,
    keyring: Keyring,
    ledger: Mutex<Ledger>,
    nonce: AtomicU32,
    owner: Owner,
    plans: Vec<RequestPlan>,
    server: SocketAddr,
    service: String,
    upstream: Upstream,
}

impl Handler {
    /// Returns the handler of an agent.
    pub fn new(clock: Clock, options: &AgentOptions) -> Self {
        Self {
            clock,
            draining: watch::Sender::new(false),
            keyring: Keyring::new(&options.keys, Purpose::Request),
            ledger: Mutex::default(),
            nonce: AtomicU32::new(1),
            owner: options.owner,
            plans: options.plans.clone(),
            server: options.server,
            service: options.service.clone(),
            upstream: Upstream::new(options.server),
        }
    }

    /// Tells the callers of open connections to go elsewhere.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    fn new_key(&self) -> String {
        let nonce = self.nonce.fetch_add(1, Ordering::Relaxed);
        hex::encode(self.keyring.seal(&self.owner, nonce))
    }

    async fn handle(
        &self,
        request: Request<()>,
        mut stream: Stream,
    ) -> Result<(), h3::error::StreamError> {
        let Some(plan) = self.plan(&request) else {
            let why = "no such request type at this service";
            return self
                .reply(&mut stream, Answer::not_run(StatusCode::NOT_FOUND, why))
                .await;
        };
        let deadline = self.deadline(&request, plan);
        let Some(body) = read_body(&mut stream).await? else {
            let answer = Answer::not_run(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            return self.reply(&mut stream, answer).await;
        };
        let id = header(&request, REQUEST_ID_HEADER)
            .unwrap_or("-")
            .to_owned();
        if plan.feed {
            return self.feed(request, body, stream).await;
        }
        let answer = if plan.idempotent {
            self.run(&request, body, deadline)
                .await
                .unwrap_or_else(|answer| answer)
        } else {
            self.run_once(&request, body, deadline).await
        };
        tracing::info!(
            event = "request",
            id,
            kind = plan.name,
            server = %self.server,
            status = answer.status.as_u16(),
            outcome = answer.outcome.as_str(),
        );
        self.reply(&mut stream, answer).await
    }

    fn plan(&self, request: &Request<()>) -> Option<&RequestPlan> {
        let host = request.uri().host().unwrap_or_default();
        if host != self.service {
            return None;
        }
        let path = request.uri().path();
        let method = request.method().as_str();
        self.plans
            .iter()
            .find(|plan| plan.path == path && plan.method == method)
    }

    fn deadline(&self, request: &Request<()>, plan: &RequestPlan) -> Time {
        let named = header(request, TIMEOUT_HEADER).and_then(|value| value.parse().ok());
        self.clock.now() + named.map_or(plan.timeout, Duration::from_millis)
    }

    async fn run_once(&self, request: &Request<()>, body: Bytes, deadline: Time) -> Answer {
        let Some(nonce) = header(request, KEY_HEADER).map(|value| self.own_nonce(value)) else {
            let why = "repeat the request with the key of this answer";
            return Answer::not_run(StatusCode::PRECONDITION_REQUIRED, why);
        };
        let Some(nonce) = nonce else {
            return Answer::unknown();
        };
        let begin = self
            .ledger
            .lock()
            .expect("ledger lock")
            .begin(nonce, self.clock.now());
        match begin {
            Begin::Run => {}
            Begin::Running | Begin::Unknown => return Answer::unknown(),
            Begin::Ended(recorded) => return Answer::recorded(recorded),
        }
        let result = self.run(request, body, deadline).await;
        let now = self.clock.now();
        let mut ledger = self.ledger.lock().expect("ledger lock");
        match result {
            Ok(answer) => {
                let recorded = Recorded {
                    status: answer.status.as_u16(),
                    body: answer.body.clone(),
                    server: self.server.to_string(),
                };
                ledger.end(nonce, recorded, now);
                answer
            }
            Err(answer) if answer.outcome == Outcome::NotRun => {
                ledger.release(nonce);
                answer
            }
            Err(answer) => {
                ledger.lose(nonce, now);
                answer
            }
        }
    }

    /// Returns the nonce of a key that this incarnation issued.
    fn own_nonce(&self, key: &str) -> Option<u32> {
        let id = hex::decode(key).ok()?;
        let (owner, nonce) = self.keyring.open(&id)?;
        (owner == self.owner).then_some(nonce)
    }

    async fn run(
        &self,
        request: &Request<()>,
        body: Bytes,
        deadline: Time,
    ) -> Result<Answer, Answer> {
        if self.clock.now() >= deadline {
            return Err(Answer::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "the deadline has passed",
            ));
        }
        let outgoing = self.outgoing(request, body, deadline);
        let work = async {
            let response = self.upstream.send(outgoing).await?;
            let status = response.status();
            let outcome = response.headers().get(OUTCOME_HEADER).cloned();
            let body = response
                .into_body()
                .collect()
                .await
                .map_err(|_| UpstreamError::Lost)?;
            Ok((status, outcome, body.to_bytes()))
        };
        let result = timeout_at(self.clock.instant(deadline), work).await;
        let (status, outcome, body) = match result {
            Ok(Ok(whole)) => whole,
            Ok(Err(UpstreamError::NotSent)) => {
                let why = "the backend server can't be reached";
                return Err(Answer::not_run(StatusCode::SERVICE_UNAVAILABLE, why));
            }
            Ok(Err(UpstreamError::Lost)) | Err(_) => return Err(Answer::unknown()),
        };
        if outcome.is_some_and(|value| value == Outcome::NotRun.as_str()) {
            return Err(Answer::not_run(
                status,
                "the backend server shed the request",
            ));
        }
        Ok(Answer {
            body,
            outcome: Outcome::Answered,
            server: Some(self.server.to_string()),
            status,
        })
    }

    fn outgoing(&self, request: &Request<()>, body: Bytes, deadline: Time) -> Request<Bytes> {
        let left = deadline.since(self.clock.now()).as_millis() as u64;
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = request.method().clone();
        *outgoing.uri_mut() = request.uri().clone();
        *outgoing.headers_mut() = request.headers().clone();
        outgoing.headers_mut().insert(TIMEOUT_HEADER, left.into());
        outgoing
    }

    async fn feed(
        &self,
        request: Request<()>,
        body: Bytes,
        mut stream: Stream,
    ) -> Result<(), h3::error::StreamError> {
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = request.method().clone();
        *outgoing.uri_mut() = request.uri().clone();
        *outgoing.headers_mut() = request.headers().clone();
        let Ok(response) = self.upstream.send(outgoing).await else {
            let why = "the backend server can't be reached";
            let answer = Answer::not_run(StatusCode::SERVICE_UNAVAILABLE, why);
            return self.reply(&mut stream, answer).await;
        };
        let head = Response::builder()
            .status(response.status())
            .header(OUTCOME_HEADER, Outcome::Answered.as_str())
            .header(SERVED_BY_HEADER, self.server.to_string())
            .header(http::header::CONTENT_TYPE, "text/event-stream");
        stream
            .send_response(head.body(()).expect("valid head"))
            .await?;
        relay(response.into_body(), &mut stream).await?;
        stream.finish().await
    }

    async fn reply(
        &self,
        stream: &mut Stream,
        answer: Answer,
    ) -> Result<(), h3::error::StreamError> {
        let mut head = Response::builder()
            .status(answer.status)
            .header(OUTCOME_HEADER, answer.outcome.as_str())
            .header(NEXT_KEY_HEADER, self.new_key());
        if answer.outcome == Outcome::NotRun {
            head = head.header(http::header::RETRY_AFTER, RETRY_AFTER_SECONDS);
        }
        if let Some(server) = answer.server {
            head = head.header(SERVED_BY_HEADER, server);
        }
        stream
            .send_response(head.body(()).expect("valid head"))
            .await?;
        stream.send_data(answer.body).await?;
        stream.finish().await
    }
}

fn header<'a>(request: &'a Request<()>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

async fn read_body(stream: &mut Stream) -> Result<Option<Bytes>, h3::error::StreamError> {
    let mut body = Vec::new();
    while let Some(mut part) = stream.recv_data().await? {
        body.extend_from_slice(&part.copy_to_bytes(part.remaining()));
        if body.len() > BODY_BYTES {
            return Ok(None);
        }
    }
    Ok(Some(body.into()))
}

async fn relay(mut body: Incoming, stream: &mut Stream) -> Result<(), h3::error::StreamError> {
    while let Some(Ok(part)) = body.frame().await {
        let Ok(data) = part.into_data() else { continue };
        stream.send_data(data).await?;
    }
    Ok(())
}

/// Accepts connections until the kernel stops.
pub async fn serve(endpoint: Endpoint, handler: Arc<Handler>, stop: StopSignal) {
    while let Some(incoming) = endpoint.accept().await {
        let handler = handler.clone();
        let mut stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.stopped() => {}
                () = serve_connection(incoming, handler) => {}
            }
        });
    }
}

async fn told_to_drain(draining: &mut watch::Receiver<bool>) {
    if draining.wait_for(|drain| *drain).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve_connection(incoming: quinn::Incoming, handler: Arc<Handler>) {
    let Ok(connection) = incoming.await else {
        return;
    };
    let built = h3::server::builder()
        .build(h3_quinn::Connection::new(connection))
        .await;
    let Ok(mut connection) = built else {
        return;
    };
    let mut draining = handler.draining.subscribe();
    let mut told = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = told_to_drain(&mut draining), if !told => {
                told = true;
                let _ = connection.shutdown(0).await;
                continue;
            }
        };
        let Ok(Some(resolver)) = accepted else {
            return;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let Ok((request, stream)) = resolver.resolve_request().await else {
                return;
            };
            if let Err(error) = handler.handle(request, stream).await {
                tracing::debug!(event = "stream_closed", %error);
            }
        });
    }
}
