//! Runs admitted requests on the backend server.

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
    answer::{Answer, Outcome},
    capacity::ServerOutcome,
    gate::Gate,
    job::Job,
    offload::Offloader,
    upstream::{AnswerBody, Upstream, UpstreamError},
};
use crate::{
    clock::{Clock, Time},
    consts::{MAX_BODY_BYTES, OUTCOME_HEADER, REQUEST_ID_HEADER},
    retry::RetryBudget,
};

/// Time past its deadline in which a request that runs only once may still end, so that its true
/// outcome is recorded.
const RUN_GRACE: Duration = Duration::from_secs(30);

/// Runs the requests of one backend server.
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
    /// Returns the runner of a backend server.
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

    /// Returns the connections to the backend server.
    pub fn upstream(&self) -> &Upstream {
        &self.upstream
    }

    /// Opens a feed on the backend server, which answers by the deadline.
    ///
    /// # Errors
    ///
    /// Tells whether the backend server may have received the request.
    pub async fn open(&self, job: &Job) -> Result<Response<AnswerBody>, UpstreamError> {
        let opening = self.upstream.send(job.request.clone(), job.deadline);
        let opened = timeout_at(self.clock.instant(job.deadline), opening).await;
        opened.unwrap_or(Err(UpstreamError::Lost))
    }

    /// Runs a request here, or where there is room, and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or "unknown" if the request may have run without an answer.
    pub async fn run(&self, job: &Job) -> Result<Answer, Answer> {
        if !self.gate.has_room(job.plan.priority)
            && let Some(answer) = self.offload.run_on_peer(job).await
        {
            return match answer.outcome {
                Outcome::Answered => Ok(answer),
                Outcome::NotRun | Outcome::Unknown => Err(answer),
            };
        }
        self.run_here(job).await
    }

    /// Runs a request on this agent's backend server and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or "unknown" if the request may have run without an answer.
    pub async fn run_here(&self, job: &Job) -> Result<Answer, Answer> {
        let admitted = self.gate.admit(&Arrival::from(job)).await;
        let permit = admitted.map_err(|refusal| self.refused(job, &refusal))?;
        let result = self.run_admitted(job).await;
        permit.finish(ended(&result));
        result
    }

    fn refused(&self, job: &Job, refusal: &Refusal) -> Answer {
        let retry_ms = refusal.retry_at.since(self.clock.now()).as_millis() as u64;
        tracing::info!(
            event = "refused",
            id = job.id(),
            kind = job.plan.name,
            priority = job.plan.priority,
            reason = refusal.reason.as_str(),
            retry_ms,
        );
        Answer::refused(refusal)
    }

    async fn run_admitted(&self, job: &Job) -> Result<Answer, Answer> {
        self.budget.lock().expect("budget lock").deposit();
        let first = self.attempt(job).await;
        match first {
            Err(UpstreamError::Lost) if self.may_repeat(job) => {}
            _ => return settle(first),
        }
        tracing::info!(event = "request_repeated", id = job.id(), server = %self.server);
        match settle(self.attempt(job).await) {
            Err(_) => Err(Answer::unknown()),
            answered => answered,
        }
    }

    fn may_repeat(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let idempotent = job.idempotent() && now < job.deadline;
        idempotent && self.budget.lock().expect("budget lock").withdraw(now)
    }

    async fn attempt(&self, job: &Job) -> Result<Answer, UpstreamError> {
        let exchange = timeout_at(self.clock.instant(cutoff(job)), self.exchange(job));
        exchange.await.unwrap_or(Err(UpstreamError::Lost))
    }

    async fn exchange(&self, job: &Job) -> Result<Answer, UpstreamError> {
        let request = job.request.clone();
        let response = self.upstream.send(request, job.deadline).await?;
        let status = response.status();
        if !belongs(&response, job) {
            return Err(UpstreamError::Lost);
        }
        let outcome = response.headers().get(OUTCOME_HEADER);
        let shed = outcome.is_some_and(|value| value == Outcome::NotRun.as_str());
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        if shed {
            let why = "the backend server shed the request";
            return Ok(Answer {
                server: Some(self.server.to_string()),
                ..Answer::not_run(status, why)
            });
        }
        Ok(Answer {
            body: body.map_err(|_| UpstreamError::Lost)?.to_bytes(),
            outcome: Outcome::Answered,
            retry_at: None,
            server: Some(self.server.to_string()),
            status,
        })
    }
}

/// Returns the point at which an open exchange with the backend server is given up.
fn cutoff(job: &Job) -> Time {
    match job.idempotent() {
        true => job.deadline,
        false => job.deadline + RUN_GRACE,
    }
}

/// Returns whether an answer that names its request names this one.
fn belongs(response: &Response<AnswerBody>, job: &Job) -> bool {
    let named = response.headers().get(REQUEST_ID_HEADER);
    named.is_none_or(|id| id.as_bytes() == job.id().as_bytes())
}

fn settle(result: Result<Answer, UpstreamError>) -> Result<Answer, Answer> {
    match result {
        Ok(answer) if answer.outcome == Outcome::NotRun => Err(answer),
        Ok(answer) => Ok(answer),
        Err(error) => Err(Answer::from(&error)),
    }
}

impl From<&UpstreamError> for Answer {
    fn from(error: &UpstreamError) -> Self {
        let refused = |why| Answer::not_run(StatusCode::SERVICE_UNAVAILABLE, why);
        match error {
            UpstreamError::Late => refused("the deadline has passed"),
            UpstreamError::NotSent => refused("the backend server can't be reached"),
            UpstreamError::Lost => Answer::unknown(),
        }
    }
}

impl From<&Job> for Arrival {
    fn from(job: &Job) -> Self {
        Self {
            deadline: job.deadline,
            priority: job.plan.priority,
            queue_limit: job.plan.queue,
        }
    }
}

/// Returns how a request ended at the backend server.
fn ended(result: &Result<Answer, Answer>) -> ServerOutcome {
    match result {
        Ok(answer) if answer.status.is_server_error() => ServerOutcome::Failed,
        Ok(_) => ServerOutcome::Served,
        Err(answer) if answer.server.is_some() => ServerOutcome::Shed,
        Err(answer) if answer.outcome == Outcome::NotRun => ServerOutcome::Failed,
        Err(_) => ServerOutcome::Abandoned,
    }
}
