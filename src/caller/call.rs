//! Requests: sent until they have a final answer or their deadline passes.

use std::time::Duration;

use bytes::{Buf, Bytes};
use http::{Method, Response};
use tokio::time::{Instant, timeout_at};

use super::{AttemptError, Caller};
use crate::{
    agent::answer::Outcome,
    consts::{
        KEY_HEADER, NEXT_KEY_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER, SERVED_BY_HEADER,
        TIMEOUT_HEADER,
    },
};

const FIRST_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

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

impl Caller {
    /// Sends a request until it has a final answer; `None` if none came before the deadline.
    pub async fn call(&self, call: &Call) -> Option<Reply> {
        timeout_at(call.deadline, self.call_until_final(call))
            .await
            .ok()
    }

    async fn call_until_final(&self, call: &Call) -> Reply {
        let mut key = if call.idempotent {
            None
        } else {
            self.take_key()
        };
        let mut backoff = FIRST_BACKOFF;
        let mut lost = false;
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
                    lost |= error == AttemptError::Lost;
                    if !lost {
                        // No incarnation has seen the key, so that any may run the request.
                        key = None;
                    }
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
        let (mut stream, _session) = self.open(request).await?;
        let lost = AttemptError::of;
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
