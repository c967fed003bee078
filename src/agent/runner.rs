//! Admits requests and runs them on the backend server.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use tokio::time::timeout_at;

use super::{
    admission::{Arrival, Refusal},
    capacity::ServerOutcome,
    gate::Gate,
    job::Job,
    offload::Offloader,
    reply::{Outcome, Reply},
    upstream::{ResponseBody, Upstream, UpstreamError},
};
use crate::{
    clock::{Clock, Time},
    consts::{MAX_BODY_BYTES, OUTCOME_HEADER, REQUEST_ID_HEADER},
    retry::RetryBudget,
};

/// Time after its deadline during which a request that is not idempotent may still complete, so
/// that its real outcome is recorded.
const COMPLETION_GRACE_PERIOD: Duration = Duration::from_secs(30);

/// Runs requests on one backend server, with admission control, offloading and retries.
#[derive(Debug)]
pub struct Runner {
    budget: Mutex<RetryBudget>,
    clock: Clock,
    gate: Arc<Gate>,
    offload: Offloader,
    server: SocketAddr,
    upstream: Upstream,
}

impl Runner {
    /// Returns a runner for the backend server at `server`.
    pub fn new(clock: Clock, gate: Arc<Gate>, offload: Offloader, server: SocketAddr) -> Self {
        Self {
            budget: Mutex::new(RetryBudget::new(clock.now())),
            clock,
            gate,
            offload,
            server,
            upstream: Upstream::new(clock, server),
        }
    }

    /// Returns the address of the backend server.
    pub fn server(&self) -> SocketAddr {
        self.server
    }

    /// Returns the gate in front of the backend server.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// Returns the HTTP client of the backend server.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Opens a feed on the backend server and returns the head of the response with its open body.
    ///
    /// # Errors
    ///
    /// Fails if the backend server does not answer by the deadline; the error tells whether it may
    /// have received the request.
    pub async fn open_feed(&self, job: &Job) -> Result<Response<ResponseBody>, UpstreamError> {
        let opening = self.upstream.send(job.request.clone(), job.deadline);
        let opened = timeout_at(self.clock.instant(job.deadline), opening).await;
        opened.unwrap_or(Err(UpstreamError::Indeterminate))
    }

    /// Runs a request and returns its reply; tries to offload it to another agent if there is no
    /// room on this agent's backend server.
    ///
    /// # Errors
    ///
    /// Returns the reply of a request that did not run or whose outcome is unknown.
    pub async fn run(&self, job: &Job) -> Result<Reply, Reply> {
        if !self.gate.has_room(job.request_type.priority)
            && let Some(reply) = self.offload.run_on_peer(job).await
        {
            return match reply.outcome {
                Outcome::Answered => Ok(reply),
                Outcome::NotRun | Outcome::Unknown => Err(reply),
            };
        }
        self.run_locally(job).await
    }

    /// Runs a request on this agent's backend server and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns the reply of a request that did not run or whose outcome is unknown.
    pub async fn run_locally(&self, job: &Job) -> Result<Reply, Reply> {
        let admitted = self.gate.admit(&Arrival::from(job)).await;
        let permit = admitted.map_err(|refusal| self.refuse(job, &refusal))?;
        let result = self.run_admitted(job).await;
        permit.finish(server_outcome(&result));
        result
    }

    fn refuse(&self, job: &Job, refusal: &Refusal) -> Reply {
        let retry_ms = refusal.retry_at.since(self.clock.now()).as_millis() as u64;
        tracing::info!(
            event = "refused",
            id = job.id(),
            kind = job.request_type.name,
            priority = job.request_type.priority,
            reason = refusal.reason.as_str(),
            retry_ms,
        );
        Reply::refused(refusal)
    }

    async fn run_admitted(&self, job: &Job) -> Result<Reply, Reply> {
        self.budget.lock().expect("budget lock").deposit();
        let first = self.attempt(job).await;
        match first {
            Err(UpstreamError::Indeterminate) if self.withdraw_retry(job) => {}
            _ => return into_reply_result(first),
        }
        tracing::info!(event = "request_repeated", id = job.id(), server = %self.server);
        match into_reply_result(self.attempt(job).await) {
            Err(_) => Err(Reply::unknown()),
            completed => completed,
        }
    }

    /// Returns whether the request may be retried, and takes the retry out of the budget if so.
    fn withdraw_retry(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let is_retryable = job.is_idempotent() && now < job.deadline;
        is_retryable && self.budget.lock().expect("budget lock").withdraw(now)
    }

    async fn attempt(&self, job: &Job) -> Result<Reply, UpstreamError> {
        let exchange = timeout_at(
            self.clock.instant(exchange_deadline(job)),
            self.exchange(job),
        );
        exchange.await.unwrap_or(Err(UpstreamError::Indeterminate))
    }

    async fn exchange(&self, job: &Job) -> Result<Reply, UpstreamError> {
        let request = job.request.clone();
        let response = self.upstream.send(request, job.deadline).await?;
        let status = response.status();
        if !matches_request(&response, job) {
            return Err(UpstreamError::Indeterminate);
        }
        let outcome = response.headers().get(OUTCOME_HEADER);
        let is_shed = outcome.is_some_and(|value| value == Outcome::NotRun.as_str());
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        if is_shed {
            let reason = "the backend server shed the request";
            return Ok(Reply {
                server: Some(self.server.to_string()),
                ..Reply::not_run(status, reason)
            });
        }
        Ok(Reply {
            body: body.map_err(|_| UpstreamError::Indeterminate)?.to_bytes(),
            outcome: Outcome::Answered,
            retry_at: None,
            server: Some(self.server.to_string()),
            status,
        })
    }
}

/// Returns the time at which an open exchange with the backend server is aborted.
fn exchange_deadline(job: &Job) -> Time {
    match job.is_idempotent() {
        true => job.deadline,
        false => job.deadline + COMPLETION_GRACE_PERIOD,
    }
}

/// Returns whether a response has the id of the request, or no request id.
fn matches_request(response: &Response<ResponseBody>, job: &Job) -> bool {
    let request_id = response.headers().get(REQUEST_ID_HEADER);
    request_id.is_none_or(|id| id.as_bytes() == job.id().as_bytes())
}

/// Returns `Err` with the reply unless the backend server answered.
fn into_reply_result(result: Result<Reply, UpstreamError>) -> Result<Reply, Reply> {
    match result {
        Ok(reply) if reply.outcome == Outcome::NotRun => Err(reply),
        Ok(reply) => Ok(reply),
        Err(error) => Err(Reply::from(&error)),
    }
}

impl From<&UpstreamError> for Reply {
    fn from(error: &UpstreamError) -> Self {
        let not_run = |reason| Reply::not_run(StatusCode::SERVICE_UNAVAILABLE, reason);
        match error {
            UpstreamError::DeadlineExceeded => not_run("the deadline has passed"),
            UpstreamError::NotSent => not_run("the backend server can't be reached"),
            UpstreamError::Indeterminate => Reply::unknown(),
        }
    }
}

impl From<&Job> for Arrival {
    fn from(job: &Job) -> Self {
        Self {
            deadline: job.deadline,
            priority: job.request_type.priority,
            queue_limit: job.request_type.queue,
        }
    }
}

/// Returns how a request ended at the backend server, for the estimate of its capacity.
fn server_outcome(result: &Result<Reply, Reply>) -> ServerOutcome {
    match result {
        Ok(reply) if reply.status.is_server_error() => ServerOutcome::Failed,
        Ok(_) => ServerOutcome::Served,
        Err(reply) if reply.server.is_some() => ServerOutcome::Shed,
        Err(reply) if reply.outcome == Outcome::NotRun => ServerOutcome::Failed,
        Err(_) => ServerOutcome::Abandoned,
    }
}
