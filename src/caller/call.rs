//! Requests: sent until they have a final answer or their deadline passes.

use std::time::Duration;

use bytes::{Buf, Bytes};
use h3::error::StreamError;
use http::{HeaderMap, Method, Response, header::RETRY_AFTER};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout_at};

use super::{AttemptError, Caller, Stream};
use crate::{
    agent::reply::Outcome,
    consts::{
        IDEMPOTENCY_KEY_HEADER, KEEP_ALIVE_INTERVAL, NEXT_IDEMPOTENCY_KEY_HEADER, OUTCOME_HEADER,
        REQUEST_ID_HEADER, SERVED_BY_HEADER, TIMEOUT_HEADER,
    },
};

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Time in which a kept key is used; shorter than the agent's.
const KEY_AGE: Duration = Duration::from_secs(60);
/// Keep-alive intervals without a packet after which a connection is given up.
const SILENT_INTERVALS: u32 = 3;
/// Status of a request that did not leave the caller.
const UNAVAILABLE: u16 = 503;
/// Status that asks for a key.
const KEY_REQUIRED: u16 = 428;

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
    /// Time to wait before the request is sent again, if it was refused.
    pub retry_after: Option<Duration>,
}

/// A key kept for the next request on the same connection.
#[derive(Debug)]
pub(super) struct KeptKey {
    connection: usize,
    key: String,
    until: Instant,
}

/// What is known of a request while it is tried.
#[derive(Debug, Default)]
struct Progress {
    key: Option<String>,
    /// Whether a try may have reached the service.
    sent: bool,
    /// Whether a try was lost on its way.
    lost: bool,
}

impl Caller {
    /// Sends a request until it has a final answer; `None` if none came before the deadline.
    ///
    /// A lost try is repeated on another connection with the same key. A request that never left
    /// ends as "not run".
    pub async fn call(&self, call: &Call) -> Option<Reply> {
        self.deposit();
        let mut progress = Progress::default();
        let tried = timeout_at(call.deadline, self.call_until_final(call, &mut progress)).await;
        match tried {
            Ok(reply) => Some(reply),
            Err(_) if progress.sent => None,
            Err(_) => Some(Reply::not_sent()),
        }
    }

    /// Sends a request as [`Caller::call`] does, and again when it was refused and told when to
    /// come back, within the retry budget.
    pub async fn call_with_retries(&self, call: &Call) -> Option<Reply> {
        loop {
            let reply = self.call(call).await?;
            let Some(pause) = reply.retry_after else {
                return Some(reply);
            };
            let wake = Instant::now() + pause + jitter(pause / 2);
            let refused = reply.outcome == Outcome::NotRun;
            if !refused || wake >= call.deadline || !self.withdraw() {
                return Some(reply);
            }
            tokio::time::sleep_until(wake).await;
        }
    }

    async fn call_until_final(&self, call: &Call, progress: &mut Progress) -> Reply {
        if !call.idempotent {
            progress.key = self.take_key().await;
        }
        let mut backoff = FIRST_BACKOFF;
        let mut keys = 0;
        loop {
            match self.attempt(call, progress).await {
                Ok((reply, next)) if reply.status == KEY_REQUIRED && !call.idempotent => {
                    *progress = Progress {
                        key: next.map(|kept| kept.key),
                        ..Progress::default()
                    };
                    if progress.key.is_none() {
                        return reply;
                    }
                    keys += 1;
                    if keys == 1 {
                        continue;
                    }
                }
                Ok((reply, next)) => {
                    *self.key.lock().expect("key lock") = next;
                    return settle(reply, call, progress);
                }
                Err(error) => {
                    tracing::debug!(event = "attempt_failed", id = call.id, %error);
                    progress.lost |= error == AttemptError::Lost;
                    progress.sent = progress.lost;
                    if !progress.lost {
                        // No incarnation has seen the key, so that any may run the request.
                        progress.key = None;
                    }
                    if !self.withdraw() {
                        backoff = MAX_BACKOFF;
                    }
                }
            }
            sleep(backoff / 2 + jitter(backoff / 2)).await;
            backoff = MAX_BACKOFF.min(backoff * 2);
        }
    }

    fn deposit(&self) {
        self.budget.lock().expect("budget lock").deposit();
    }

    fn withdraw(&self) -> bool {
        let now = self.clock.now();
        self.budget.lock().expect("budget lock").withdraw(now)
    }

    async fn take_key(&self) -> Option<String> {
        let connection = self.session.lock().await.as_ref()?.connection.stable_id();
        let kept = self.key.lock().expect("key lock").take()?;
        let fresh = kept.connection == connection && Instant::now() < kept.until;
        fresh.then_some(kept.key)
    }

    async fn attempt(
        &self,
        call: &Call,
        progress: &mut Progress,
    ) -> Result<(Reply, Option<KeptKey>), AttemptError> {
        let mut request = self.request(&call.method, &call.path);
        write_headers(request.headers_mut(), call, progress.key.as_deref())?;
        let (stream, session) = self.open(request).await?;
        progress.sent = true;
        let (reply, next) = tokio::select! {
            exchanged = exchange(stream, call) => exchanged?,
            () = silent(&session.connection) => {
                tracing::debug!(event = "connection_silent", id = call.id);
                self.forget(&session).await;
                return Err(AttemptError::Lost);
            }
        };
        let kept = next.map(|key| KeptKey {
            connection: session.connection.stable_id(),
            key,
            until: Instant::now() + KEY_AGE,
        });
        Ok((reply, kept))
    }
}

impl Reply {
    fn not_sent() -> Self {
        Self {
            status: UNAVAILABLE,
            outcome: Outcome::NotRun,
            body: Bytes::from_static(b"the request did not leave the caller"),
            server: None,
            retry_after: None,
        }
    }
}

/// Returns the answer as it holds for all tries: without a key, a refusal tells only of its own.
fn settle(reply: Reply, call: &Call, progress: &Progress) -> Reply {
    let unsure = call.idempotent && progress.lost && reply.outcome == Outcome::NotRun;
    match unsure {
        true => Reply {
            outcome: Outcome::Unknown,
            ..reply
        },
        false => reply,
    }
}

/// Waits until nothing has come over a connection for some keep-alive intervals.
async fn silent(connection: &quinn::Connection) {
    let mut heard = connection.stats().udp_rx.datagrams;
    let mut quiet = 0;
    while quiet < SILENT_INTERVALS {
        sleep(KEEP_ALIVE_INTERVAL).await;
        let now = connection.stats().udp_rx.datagrams;
        quiet = if now == heard { quiet + 1 } else { 0 };
        heard = now;
    }
}

fn jitter(most: Duration) -> Duration {
    most.mul_f64(rand::rng().random())
}

fn write_headers(
    headers: &mut HeaderMap,
    call: &Call,
    key: Option<&str>,
) -> Result<(), AttemptError> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    headers.insert(TIMEOUT_HEADER, (left.as_millis() as u64).into());
    headers.insert(http::header::CONTENT_LENGTH, call.body.len().into());
    let invalid = |_| AttemptError::NotSent;
    headers.insert(REQUEST_ID_HEADER, call.id.parse().map_err(invalid)?);
    if let Some(key) = key {
        headers.insert(IDEMPOTENCY_KEY_HEADER, key.parse().map_err(invalid)?);
    }
    Ok(())
}

/// Sends the body and receives the answer.
///
/// A server may answer early and stop reading (RFC 9114, section 4.1), so that an error while
/// sending leaves the answer to be received; if none comes, receiving fails too.
async fn exchange(
    mut stream: Stream,
    call: &Call,
) -> Result<(Reply, Option<String>), AttemptError> {
    let lost = AttemptError::of;
    if let Err(error) = send_body(&mut stream, call).await {
        tracing::debug!(event = "body_not_sent", id = call.id, %error);
    }
    let head = stream.recv_response().await.map_err(lost)?;
    let mut body = Vec::new();
    while let Some(mut part) = stream.recv_data().await.map_err(lost)? {
        body.extend_from_slice(&part.copy_to_bytes(part.remaining()));
    }
    let next = text_header(&head, NEXT_IDEMPOTENCY_KEY_HEADER).map(str::to_owned);
    Ok((reply(&head, body.into()), next))
}

async fn send_body(stream: &mut Stream, call: &Call) -> Result<(), StreamError> {
    if !call.body.is_empty() {
        stream.send_data(call.body.clone()).await?;
    }
    stream.finish().await
}

fn reply(head: &Response<()>, body: Bytes) -> Reply {
    let outcome = match text_header(head, OUTCOME_HEADER) {
        Some("not-run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Answered,
    };
    let retry_after = text_header(head, RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
    Reply {
        status: head.status().as_u16(),
        outcome,
        body,
        server: text_header(head, SERVED_BY_HEADER).map(str::to_owned),
        retry_after: retry_after.map(Duration::from_secs),
    }
}

fn text_header<'a>(head: &'a Response<()>, name: &str) -> Option<&'a str> {
    head.headers().get(name)?.to_str().ok()
}
