//! The agent's HTTP/3 side: requests in, whole answers or honest refusals out.

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
    answer::{Answer, Outcome},
    feed,
    gate::Gate,
    job::Job,
    offload::{Offload, Offloaded},
    once::Once,
    pass::{PassedAnswer, PassedRequest, Passing},
    runner::Runner,
};
use crate::{
    clock::{Clock, unix_ms},
    consts::{
        IDEMPOTENCY_KEY_HEADER, KEEP_ALIVE_INTERVAL, MAX_BODY_BYTES, NEXT_IDEMPOTENCY_KEY_HEADER,
        OUTCOME_HEADER, SERVED_BY_HEADER,
    },
    decision::{Decision, Decisions},
    kernel::StopSignal,
    membership::LocalRecord,
    metrics::Metrics,
    owner_id::ServiceTag,
    settings::ActiveSettings,
};

const RETRY_AFTER_SECONDS: u64 = 1;

/// Requests beyond the last accepted one that the library lets through after GOAWAY. The frame
/// names the first request that does not run, so that the one let through has to be rejected here.
const GRACE_REQUESTS: usize = 1;

/// Time without stream data, but with acknowledgements, after which all was received.
const QUIET_TIME: Duration = KEEP_ALIVE_INTERVAL.saturating_mul(3);

/// Number of checks within [`QUIET_TIME`].
const QUIET_STEPS: u32 = 6;

/// Acknowledgements that must arrive within [`QUIET_TIME`].
const QUIET_ACKS: u64 = 2;

/// Pause before asking again for requests of a caller that sends no more.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

type Resolver = h3::server::RequestResolver<h3_quinn::Connection, Bytes>;

/// A caller's request stream.
pub type Stream = RequestStream<h3_quinn::BidiStream<Bytes>, Bytes>;

/// Handles the requests of one agent.
#[derive(Debug)]
pub struct Handler {
    clock: Clock,
    borrowed: watch::Sender<usize>,
    decisions: Arc<Decisions>,
    draining: watch::Sender<bool>,
    metrics: Arc<Metrics>,
    once: Once,
    runner: Arc<Runner>,
    service: String,
    settings: Arc<ActiveSettings>,
    tag: ServiceTag,
}

/// Services of the kernel that a handler uses.
#[derive(Debug)]
pub struct HandlerServices {
    /// Decisions for the log.
    pub decisions: Arc<Decisions>,
    /// Admission of requests.
    pub gate: Arc<Gate>,
    /// Record of this process.
    pub local: Arc<LocalRecord>,
    /// Counters of the process.
    pub metrics: Arc<Metrics>,
    /// Settings in force.
    pub settings: Arc<ActiveSettings>,
}

impl Handler {
    /// Returns the handler of an agent.
    pub fn new(
        clock: Clock,
        services: HandlerServices,
        options: &AgentOptions,
        passing: Passing,
    ) -> Self {
        let offload = Offload::new(passing.clone(), services.local);
        Self {
            clock,
            borrowed: watch::Sender::new(0),
            decisions: services.decisions,
            draining: watch::Sender::new(false),
            metrics: services.metrics,
            once: Once::new(clock, &options.keys, options.owner, passing),
            runner: Arc::new(Runner::new(clock, services.gate, offload, options.server)),
            service: options.service.clone(),
            settings: services.settings,
            tag: options.owner.service,
        }
    }

    /// Tells the callers of open connections to go elsewhere.
    pub fn drain(&self) {
        self.draining.send_replace(true);
    }

    /// Waits until no request that runs only once, and none of another agent, is running.
    pub async fn settled(&self) {
        self.once.settled().await;
        let mut borrowed = self.borrowed.subscribe();
        // The channel closes with this handler only.
        let _ = borrowed.wait_for(|count| *count == 0).await;
    }

    /// Runs a request of another agent if there is room for it.
    pub async fn offloaded(&self, passed: PassedRequest) -> Offloaded {
        let Some(job) = self.passed_job(passed) else {
            return Offloaded::Busy;
        };
        let room = self.runner.gate().has_room(job.plan.priority);
        if *self.draining.borrow() || !room {
            return Offloaded::Busy;
        }
        let _borrowed = Borrowed::new(&self.borrowed);
        let (Ok(answer) | Err(answer)) = self.runner.run_here(&job).await;
        Offloaded::Ended(PassedAnswer::new(answer, self.clock.now()))
    }

    /// Returns the job of a request that another agent passed on; `None` if its type is unknown.
    fn passed_job(&self, passed: PassedRequest) -> Option<Job> {
        let time_left = passed.time_left();
        let request = passed.request(&self.service)?;
        let plan = self.settings.current();
        let head = Request::builder()
            .method(request.method())
            .uri(request.uri());
        let head = head.body(()).unwrap_or_default();
        let found = self.request_type(&plan, &head).cloned()?;
        let now = self.clock.now();
        let mut job = Job::new(request, found, now);
        job.deadline = now + time_left;
        Some(job)
    }

    /// Answers a request that another agent passed on.
    pub async fn passed(&self, passed: PassedRequest) -> PassedAnswer {
        let answer = self.run_passed(passed).await;
        PassedAnswer::new(answer, self.clock.now())
    }

    async fn run_passed(&self, passed: PassedRequest) -> Answer {
        match self.passed_job(passed) {
            Some(job) => self.once.run_passed(&job, &self.runner).await,
            None => Answer::unknown(),
        }
    }

    async fn handle(
        &self,
        request: Request<()>,
        mut stream: Stream,
        caller: &quinn::Connection,
    ) -> Result<(), StreamError> {
        let plan = self.settings.current();
        let found = self.request_type(&plan, &request);
        let Some(found) = found.cloned() else {
            let answer = not_found(&request);
            return self.reply(&mut stream, answer).await;
        };
        let Some(body) = read_body(&mut stream).await? else {
            let answer = Answer::not_run(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long");
            return self.reply(&mut stream, answer).await;
        };
        if !is_whole(&request, &body) {
            let answer = Answer::not_run(StatusCode::BAD_REQUEST, "the body is not whole");
            return self.reply(&mut stream, answer).await;
        }
        let job = Job::new(request.map(|()| body), found, self.clock.now());
        if job.plan.feed {
            return tokio::select! {
                relayed = self.feed(&job, stream, caller) => relayed,
                _ = caller.closed() => Ok(()),
            };
        }
        let answer = tokio::select! {
            answer = self.run(&job) => answer,
            // The caller is gone: dropping the run cancels it at the backend server, unless it
            // may run only once.
            _ = caller.closed() => return Ok(()),
        };
        self.explain("request", &job, caller, answer.outcome);
        self.reply(&mut stream, answer).await
    }

    /// Logs and counts where a request went and how it ended.
    fn explain(&self, event: &str, job: &Job, caller: &quinn::Connection, outcome: Outcome) {
        self.metrics.count_request(outcome.as_str());
        self.decisions.record(Decision {
            unix_ms: unix_ms(),
            event: event.to_owned(),
            caller: caller.remote_address(),
            service: self.tag,
            chosen: Some(self.runner.server()),
            second: None,
            version: self.settings.current().revision,
            reason: outcome.as_str().to_owned(),
            request: Some(job.id().to_owned()),
        });
    }

    fn request_type<'a>(
        &self,
        plan: &'a crate::settings::ResolvedSettings,
        request: &Request<()>,
    ) -> Option<&'a Arc<crate::config::tree::RequestType>> {
        let host = request.uri().host()?;
        if host != self.service {
            return None;
        }
        plan.find_request(host, request.method().as_str(), request.uri().path())
    }

    async fn run(&self, job: &Job) -> Answer {
        if job.idempotent() {
            return self.runner.run(job).await.unwrap_or_else(|answer| answer);
        }
        self.once.run(job, &self.runner).await
    }

    async fn feed(
        &self,
        job: &Job,
        mut stream: Stream,
        caller: &quinn::Connection,
    ) -> Result<(), StreamError> {
        let permit = match self.runner.gate().open_feed() {
            Ok(permit) => permit,
            Err(refusal) => {
                self.explain("feed", job, caller, Outcome::NotRun);
                return self.reply(&mut stream, Answer::refused(&refusal)).await;
            }
        };
        self.explain("feed", job, caller, Outcome::Answered);
        let open = match feed::open(job, &self.runner).await {
            Ok(open) => open,
            Err(error) => return self.reply(&mut stream, Answer::from(&error)).await,
        };
        let relayed = open.relay(&mut stream, self.draining.subscribe()).await;
        drop(permit);
        relayed
    }

    async fn reply(&self, stream: &mut Stream, answer: Answer) -> Result<(), StreamError> {
        let mut head = Response::builder()
            .status(answer.status)
            .header(OUTCOME_HEADER, answer.outcome.as_str());
        if let Some(key) = self.once.new_key() {
            head = head.header(NEXT_IDEMPOTENCY_KEY_HEADER, key);
        }
        if answer.outcome == Outcome::NotRun {
            let left = answer.retry_at.map(|at| at.since(self.clock.now()));
            let seconds = left.map_or(RETRY_AFTER_SECONDS, |left| left.as_secs_f64().ceil() as u64);
            head = head.header(http::header::RETRY_AFTER, seconds);
        }
        if let Some(server) = answer.server {
            head = head.header(SERVED_BY_HEADER, server);
        }
        stream
            .send_response(head.body(()).expect("valid head"))
            .await?;
        stream.send_data(answer.body).await?;
        stream.finish().await?;
        // What is left of the request is not needed (RFC 9114, section 4.1).
        stream.stop_sending(Code::H3_NO_ERROR);
        Ok(())
    }
}

/// Counts a request of another agent while it runs.
struct Borrowed<'a>(&'a watch::Sender<usize>);

impl<'a> Borrowed<'a> {
    fn new(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for Borrowed<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// Refuses a request of no known type; one with a key may have run under earlier settings.
fn not_found(request: &Request<()>) -> Answer {
    let why = "no such request type at this service";
    let answer = Answer::not_run(StatusCode::NOT_FOUND, why);
    match request.headers().contains_key(IDEMPOTENCY_KEY_HEADER) {
        true => Answer {
            outcome: Outcome::Unknown,
            ..answer
        },
        false => answer,
    }
}

/// Returns whether a body has its stated length: a caller that goes away mid-way may end its stream
/// as if the body were whole.
fn is_whole(request: &Request<()>, body: &Bytes) -> bool {
    let stated = request.headers().get(http::header::CONTENT_LENGTH);
    let stated = stated.and_then(|value| value.to_str().ok());
    stated.is_none_or(|text| text.parse() == Ok(body.len()))
}

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
            // The caller learns at once that it has to connect again.
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

/// Waits until the agent drains; for ever if it stops without.
pub(super) async fn told_to_drain(draining: &mut watch::Receiver<bool>) {
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
    let mut told = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = told_to_drain(&mut draining), if !told => {
                told = true;
                let _ = connection.shutdown(GRACE_REQUESTS).await;
                continue;
            }
            () = delivered(&quic, &open), if told => return,
        };
        match accepted {
            Ok(Some(resolver)) if told => {
                tokio::spawn(reject(resolver));
            }
            Ok(Some(resolver)) => {
                let work = resolve(resolver, handler.clone(), quic.clone(), open.clone());
                tokio::spawn(work);
            }
            Ok(None) => {
                told = true;
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            Err(_) => return,
        }
    }
}

async fn resolve(
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

/// Rejects a request that crossed the GOAWAY frame: it does not run, and the caller may repeat it
/// (RFC 9114, section 4.1.1).
async fn reject(resolver: Resolver) {
    let Ok((_, mut stream)) = resolver.resolve_request().await else {
        return;
    };
    tracing::info!(event = "request_rejected", reason = "draining");
    stream.stop_sending(Code::H3_REQUEST_REJECTED);
    stream.stop_stream(Code::H3_REQUEST_REJECTED);
}

/// Counts the requests of a connection that have not ended.
#[derive(Clone, Debug, Default)]
struct OpenRequests(Arc<()>);

impl OpenRequests {
    fn none(&self) -> bool {
        Arc::strong_count(&self.0) == 1
    }
}

/// Waits until no request is open and the caller has acknowledged all that was sent.
///
/// The library does not tell which bytes were acknowledged. If acknowledgements arrive through a
/// whole [`QUIET_TIME`] in which no stream data left, then nothing is outstanding: data lost
/// before would have been declared lost by these acknowledgements and sent again (RFC 9002,
/// section 6.1).
async fn delivered(quic: &quinn::Connection, open: &OpenRequests) {
    let mut quiet = None;
    loop {
        let before = quic.stats();
        tokio::time::sleep(QUIET_TIME / QUIET_STEPS).await;
        let after = quic.stats();
        let still = open.none() && before.frame_tx.stream == after.frame_tx.stream;
        let (since, acks) = match quiet {
            Some(quiet) if still => quiet,
            _ => (tokio::time::Instant::now(), after.frame_rx.acks),
        };
        quiet = Some((since, acks));
        if since.elapsed() >= QUIET_TIME && after.frame_rx.acks >= acks + QUIET_ACKS {
            return;
        }
    }
}
