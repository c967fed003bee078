//! HTTP/3 server of the agent.

use std::{sync::Arc, time::Duration};

use bytes::{Buf, Bytes};
use h3::{
    error::{Code, StreamError},
    server::RequestStream,
};
use http::{Request, Response, StatusCode};
use quinn::Endpoint;
use tokio::sync::watch;

use super::{
    AgentOptions,
    at_most_once::AtMostOnce,
    feed,
    gate::Gate,
    job::Job,
    offload::{OffloadReply, Offloader},
    reply::{Outcome, Reply},
    request_forwarding::{ForwardedReply, ForwardedRequest, RequestForwarder},
    runner::Runner,
};
use crate::{
    clock::{Clock, unix_ms},
    consts::{
        IDEMPOTENCY_KEY_HEADER, KEEP_ALIVE_INTERVAL, MAX_BODY_BYTES, NEXT_IDEMPOTENCY_KEY_HEADER,
        OUTCOME_HEADER, SERVED_BY_HEADER,
    },
    decision::{Decision, DecisionLog},
    kernel::StopSignal,
    membership::LocalRecord,
    metrics::Metrics,
    owner_id::ServiceTag,
    settings::ActiveSettings,
};

const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// Argument of h3's `shutdown`: distance from the last accepted request to the one that GOAWAY
/// names.
///
/// GOAWAY names the first request that is not processed. h3 still delivers that request, and
/// `reject` rejects it.
const GOAWAY_EXTRA_REQUESTS: usize = 1;

/// Time without outgoing stream data, but with acknowledgements, after which the caller has
/// received everything.
const QUIET_PERIOD: Duration = KEEP_ALIVE_INTERVAL.saturating_mul(3);

/// Number of checks within [`QUIET_PERIOD`].
const QUIET_CHECKS: u32 = 6;

/// Acknowledgements that must arrive within [`QUIET_PERIOD`].
const MIN_QUIET_ACKS: u64 = 2;

/// Delay before the next accept on a connection whose caller sends no more requests.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type Resolver = h3::server::RequestResolver<h3_quinn::Connection, Bytes>;

/// A caller's request stream.
pub type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Handles the requests of one agent.
#[derive(Debug)]
pub struct Handler {
    clock: Clock,
    offloaded_count: watch::Sender<usize>,
    decisions: Arc<DecisionLog>,
    draining: watch::Sender<bool>,
    metrics: Arc<Metrics>,
    at_most_once: AtMostOnce,
    runner: Arc<Runner>,
    service: String,
    settings: Arc<ActiveSettings>,
    service_tag: ServiceTag,
}

/// Components of the kernel that a handler uses.
#[derive(Debug)]
pub struct HandlerComponents {
    /// Log of routing and request decisions.
    pub decisions: Arc<DecisionLog>,
    /// Admission control in front of the backend server.
    pub gate: Arc<Gate>,
    /// Membership record of this process.
    pub local: Arc<LocalRecord>,
    /// Metrics of the process.
    pub metrics: Arc<Metrics>,
    /// Settings that are currently applied.
    pub settings: Arc<ActiveSettings>,
}

impl Handler {
    /// Returns a handler that runs requests on the backend server of `options`.
    pub fn new(
        clock: Clock,
        components: HandlerComponents,
        options: &AgentOptions,
        forwarder: RequestForwarder,
    ) -> Self {
        let offload = Offloader::new(forwarder.clone(), components.local);
        Self {
            clock,
            offloaded_count: watch::Sender::new(0),
            decisions: components.decisions,
            draining: watch::Sender::new(false),
            metrics: components.metrics,
            at_most_once: AtMostOnce::new(clock, &options.keys, options.owner, forwarder),
            runner: Arc::new(Runner::new(clock, components.gate, offload, options.server)),
            service: options.service.clone(),
            settings: components.settings,
            service_tag: options.owner.service,
        }
    }

    /// Sends GOAWAY on open connections, asks callers to move their feeds and refuses new
    /// connections.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Waits until no request with an idempotency key and no request that another agent offloaded
    /// to this agent is running.
    pub async fn wait_idle(&self) {
        self.at_most_once.wait_idle().await;
        let mut offloaded_count = self.offloaded_count.subscribe();
        // The sender lives as long as the handler, so that waiting can't fail.
        let _ = offloaded_count.wait_for(|count| *count == 0).await;
    }

    /// Runs a request that another agent offloads.
    ///
    /// Replies busy if there is neither a free slot nor a queued request of lower priority, if the
    /// agent is draining, or if the request is malformed or of a type that the settings do not
    /// have.
    pub async fn handle_offloaded(&self, forwarded: ForwardedRequest) -> OffloadReply {
        let Some(job) = self.forwarded_job(forwarded) else {
            return OffloadReply::Busy;
        };
        let room = self.runner.gate().has_room(job.request_type.priority);
        if *self.draining.borrow() || !room {
            return OffloadReply::Busy;
        }
        let _guard = OffloadGuard::new(&self.offloaded_count);
        let (Ok(reply) | Err(reply)) = self.runner.run_locally(&job).await;
        OffloadReply::Ended(ForwardedReply::new(reply, self.clock.now()))
    }

    /// Returns the job of a request that another agent forwarded or offloaded; `None` if it is
    /// malformed or if the settings have no such request type.
    fn forwarded_job(&self, forwarded: ForwardedRequest) -> Option<Job> {
        let time_left = forwarded.time_left();
        let request = forwarded.into_request(&self.service)?;
        let settings = self.settings.current();
        let head = Request::builder()
            .method(request.method())
            .uri(request.uri());
        let head = head.body(()).unwrap_or_default();
        let request_type = self.find_request_type(&settings, &head).cloned()?;
        let now = self.clock.now();
        let mut job = Job::new(request, request_type, now);
        job.deadline = now + time_left;
        Some(job)
    }

    /// Runs a request whose key this agent issued and that another agent forwarded.
    pub async fn handle_forwarded(&self, forwarded: ForwardedRequest) -> ForwardedReply {
        let reply = self.run_forwarded(forwarded).await;
        ForwardedReply::new(reply, self.clock.now())
    }

    async fn run_forwarded(&self, forwarded: ForwardedRequest) -> Reply {
        match self.forwarded_job(forwarded) {
            Some(job) => self.at_most_once.run_forwarded(&job, &self.runner).await,
            None => Reply::unknown(),
        }
    }

    async fn handle(
        &self,
        request: Request<()>,
        mut stream: Stream,
        caller: &quinn::Connection,
    ) -> Result<(), StreamError> {
        let settings = self.settings.current();
        let request_type = self.find_request_type(&settings, &request);
        let Some(request_type) = request_type.cloned() else {
            let reply = unknown_type_reply(&request);
            return self.send_reply(&mut stream, reply).await;
        };
        let Some(body) = read_body(&mut stream).await? else {
            let reply = Reply::not_run(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            return self.send_reply(&mut stream, reply).await;
        };
        if !has_declared_length(&request, &body) {
            let reply = Reply::not_run(StatusCode::BAD_REQUEST, "the body is not whole");
            return self.send_reply(&mut stream, reply).await;
        }
        let job = Job::new(request.map(|()| body), request_type, self.clock.now());
        if job.request_type.feed {
            return tokio::select! {
                relayed = self.serve_feed(&job, stream, caller) => relayed,
                _ = caller.closed() => Ok(()),
            };
        }
        let reply = tokio::select! {
            reply = self.run(&job) => reply,
            // The caller has disconnected. Dropping the future cancels the request at the backend
            // server, except for a request with an idempotency key, which runs in its own task.
            _ = caller.closed() => return Ok(()),
        };
        self.record_decision("request", &job, caller, reply.outcome);
        self.send_reply(&mut stream, reply).await
    }

    /// Records which backend server a request went to and how it ended, and counts the outcome.
    fn record_decision(
        &self,
        event: &str,
        job: &Job,
        caller: &quinn::Connection,
        outcome: Outcome,
    ) {
        self.metrics.count_request(outcome.as_str());
        self.decisions.record(Decision {
            unix_ms: unix_ms(),
            event: event.to_owned(),
            caller: caller.remote_address(),
            service: self.service_tag,
            chosen: Some(self.runner.server()),
            second: None,
            version: self.settings.current().revision,
            reason: outcome.as_str().to_owned(),
            request: Some(job.id().to_owned()),
        });
    }

    fn find_request_type<'a>(
        &self,
        settings: &'a crate::settings::ResolvedSettings,
        request: &Request<()>,
    ) -> Option<&'a Arc<crate::config::tree::RequestType>> {
        let host = request.uri().host()?;
        if host != self.service {
            return None;
        }
        settings.find_request_type(host, request.method().as_str(), request.uri().path())
    }

    async fn run(&self, job: &Job) -> Reply {
        if job.is_idempotent() {
            return self.runner.run(job).await.unwrap_or_else(|reply| reply);
        }
        self.at_most_once.run(job, &self.runner).await
    }

    async fn serve_feed(
        &self,
        job: &Job,
        mut stream: Stream,
        caller: &quinn::Connection,
    ) -> Result<(), StreamError> {
        let permit = match self.runner.gate().open_feed() {
            Ok(permit) => permit,
            Err(refusal) => {
                self.record_decision("feed", job, caller, Outcome::NotRun);
                return self.send_reply(&mut stream, Reply::refused(&refusal)).await;
            }
        };
        self.record_decision("feed", job, caller, Outcome::Answered);
        let open = match feed::open(job, &self.runner).await {
            Ok(open) => open,
            Err(error) => return self.send_reply(&mut stream, Reply::from(&error)).await,
        };
        let relayed = open.relay(&mut stream, self.draining.subscribe()).await;
        drop(permit);
        relayed
    }

    async fn send_reply(&self, stream: &mut Stream, reply: Reply) -> Result<(), StreamError> {
        let mut head = Response::builder()
            .status(reply.status)
            .header(OUTCOME_HEADER, reply.outcome.as_str());
        if let Some(key) = self.at_most_once.new_key() {
            head = head.header(NEXT_IDEMPOTENCY_KEY_HEADER, key);
        }
        if reply.outcome == Outcome::NotRun {
            let left = reply.retry_at.map(|at| at.since(self.clock.now()));
            let seconds = left.map_or(DEFAULT_RETRY_AFTER_S, |left| {
                left.as_secs_f64().ceil() as u64
            });
            head = head.header(http::header::RETRY_AFTER, seconds);
        }
        if let Some(server) = reply.server {
            head = head.header(SERVED_BY_HEADER, server);
        }
        stream
            .send_response(head.body(()).expect("valid head"))
            .await?;
        stream.send_data(reply.body).await?;
        stream.finish().await?;
        // The rest of the request body is not needed (RFC 9114, section 4.1).
        stream.stop_sending(Code::H3_NO_ERROR);
        Ok(())
    }
}

/// Counts an offloaded request while it runs.
struct OffloadGuard<'a>(&'a watch::Sender<usize>);

impl<'a> OffloadGuard<'a> {
    fn new(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for OffloadGuard<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// Returns the reply to a request of unknown type.
///
/// The outcome is unknown if the request has an idempotency key, as it may have run under earlier
/// settings.
fn unknown_type_reply(request: &Request<()>) -> Reply {
    let reason = "no such request type at this service";
    let reply = Reply::not_run(StatusCode::NOT_FOUND, reason);
    match request.headers().contains_key(IDEMPOTENCY_KEY_HEADER) {
        true => Reply {
            outcome: Outcome::Unknown,
            ..reply
        },
        false => reply,
    }
}

/// Returns whether a body has the length that its header declares, if any.
///
/// A caller that disconnects during an upload may finish its stream as if the body were complete.
fn has_declared_length(request: &Request<()>, body: &Bytes) -> bool {
    let declared = request.headers().get(http::header::CONTENT_LENGTH);
    let declared = declared.and_then(|value| value.to_str().ok());
    declared.is_none_or(|text| text.parse() == Ok(body.len()))
}

/// Reads the body; `None` if it is longer than [`MAX_BODY_BYTES`].
async fn read_body(stream: &mut Stream) -> Result<Option<Bytes>, StreamError> {
    let mut body = Vec::new();
    while let Some(mut part) = stream.recv_data().await? {
        body.extend_from_slice(&part.copy_to_bytes(part.remaining()));
        if body.len() > MAX_BODY_BYTES {
            return Ok(None);
        }
    }
    Ok(Some(body.into()))
}

/// Accepts connections until the kernel stops.
pub async fn serve(endpoint: Endpoint, handler: Arc<Handler>, stop: StopSignal) {
    while let Some(incoming) = endpoint.accept().await {
        if *handler.draining.borrow() {
            // The caller sees the refusal at once, without a timeout, and connects again.
            incoming.refuse();
            continue;
        }
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

/// Waits until the agent drains; never returns if the agent stops without draining.
pub(super) async fn wait_for_drain(draining: &mut watch::Receiver<bool>) {
    if draining.wait_for(|drain| *drain).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn serve_connection(incoming: quinn::Incoming, handler: Arc<Handler>) {
    let Ok(quic) = incoming.await else {
        return;
    };
    let built = h3::server::builder()
        .build(h3_quinn::Connection::new(quic.clone()))
        .await;
    let Ok(mut connection) = built else {
        return;
    };
    let mut draining = handler.draining.subscribe();
    let open = OpenRequests::default();
    let mut is_closing = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = wait_for_drain(&mut draining), if !is_closing => {
                is_closing = true;
                let _ = connection.shutdown(GOAWAY_EXTRA_REQUESTS).await;
                continue;
            }
            () = wait_delivered(&quic, &open), if is_closing => return,
        };
        match accepted {
            Ok(Some(resolver)) if is_closing => {
                tokio::spawn(reject(resolver));
            }
            Ok(Some(resolver)) => {
                let work = serve_request(resolver, handler.clone(), quic.clone(), open.clone());
                tokio::spawn(work);
            }
            Ok(None) => {
                is_closing = true;
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
            Err(_) => return,
        }
    }
}

/// Receives a request, handles it and sends the reply.
async fn serve_request(
    resolver: Resolver,
    handler: Arc<Handler>,
    caller: quinn::Connection,
    open: OpenRequests,
) {
    let Ok((request, stream)) = resolver.resolve_request().await else {
        return;
    };
    if let Err(error) = handler.handle(request, stream, &caller).await {
        tracing::debug!(event = "stream_closed", %error);
    }
    drop(open);
}

/// Rejects a request that was sent before the caller received GOAWAY.
///
/// It does not run, and the caller may retry it (RFC 9114, section 4.1.1).
async fn reject(resolver: Resolver) {
    let Ok((_, mut stream)) = resolver.resolve_request().await else {
        return;
    };
    tracing::info!(event = "request_rejected", reason = "draining");
    stream.stop_sending(Code::H3_REQUEST_REJECTED);
    stream.stop_stream(Code::H3_REQUEST_REJECTED);
}

/// Counts the unfinished requests of a connection by its clones, one per request.
#[derive(Clone, Debug, Default)]
struct OpenRequests(Arc<()>);

impl OpenRequests {
    fn is_empty(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

/// Waits until no request is open and the caller has acknowledged all that was sent.
///
/// The library does not expose which bytes were acknowledged. If acknowledgements arrive during a
/// [`QUIET_PERIOD`] in which no stream data is sent, nothing is outstanding: these acknowledgements
/// would have caused earlier lost data to be detected and retransmitted (RFC 9002, section 6.1).
async fn wait_delivered(quic: &quinn::Connection, open: &OpenRequests) {
    let mut quiet_since = None;
    loop {
        let before = quic.stats();
        tokio::time::sleep(QUIET_PERIOD / QUIET_CHECKS).await;
        let after = quic.stats();
        let is_quiet = open.is_empty() && before.frame_tx.stream == after.frame_tx.stream;
        let (since, acks) = match quiet_since {
            Some(start) if is_quiet => start,
            _ => (tokio::time::Instant::now(), after.frame_rx.acks),
        };
        quiet_since = Some((since, acks));
        if since.elapsed() >= QUIET_PERIOD && after.frame_rx.acks >= acks + MIN_QUIET_ACKS {
            return;
        }
    }
}
