//! Runs admitted requests on the backend server.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::BodyExt;
use tokio::time::timeout_at;

use super::{
    admission::{Arrival, Refusal},
    answer::{Answer, Outcome},
    capacity::Ended,
    gate::Gate,
    job::Job,
    upstream::{Upstream, UpstreamError},
};
use crate::{
    clock::Clock,
    consts::{OUTCOME_HEADER, TIMEOUT_HEADER},
};

/// Runs the requests of one backend server.
#[derive(Debug)]
pub struct Runner {
    clock: Clock,
    gate: Arc<Gate>,
    server: SocketAddr,
    upstream: Upstream,
}

impl Runner {
    /// Returns the runner of a backend server.
    pub fn new(clock: Clock, gate: Arc<Gate>, server: SocketAddr) -> Self {
        Self {
            clock,
            gate,
            server,
            upstream: Upstream::new(server),
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

    /// Runs a request and returns its answer.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or "unknown" if the request may have run without an answer.
    pub async fn run(&self, job: &Job) -> Result<Answer, Answer> {
        let admitted = self.gate.admit(&Arrival::from(job)).await;
        let permit = admitted.map_err(|refusal| self.refused(job, &refusal))?;
        let result = self.run_admitted(job).await;
        permit.end(ended(&result));
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
        if self.clock.now() >= job.deadline {
            let why = "the deadline has passed";
            return Err(Answer::not_run(StatusCode::SERVICE_UNAVAILABLE, why));
        }
        let work = self.exchange(self.outgoing(job));
        match timeout_at(self.clock.instant(job.deadline), work).await {
            Ok(Ok(answer)) if answer.outcome == Outcome::NotRun => Err(answer),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(UpstreamError::NotSent)) => {
                let why = "the backend server can't be reached";
                Err(Answer::not_run(StatusCode::SERVICE_UNAVAILABLE, why))
            }
            Ok(Err(UpstreamError::Lost)) | Err(_) => Err(Answer::unknown()),
        }
    }

    async fn exchange(&self, request: Request<Bytes>) -> Result<Answer, UpstreamError> {
        let response = self.upstream.send(request).await?;
        let status = response.status();
        let outcome = response.headers().get(OUTCOME_HEADER).cloned();
        let shed = outcome.is_some_and(|value| value == Outcome::NotRun.as_str());
        let body = response.into_body().collect().await;
        let body = body.map_err(|_| UpstreamError::Lost)?.to_bytes();
        if shed {
            let why = "the backend server shed the request";
            return Ok(Answer {
                server: Some(self.server.to_string()),
                ..Answer::not_run(status, why)
            });
        }
        Ok(Answer {
            body,
            outcome: Outcome::Answered,
            retry_at: None,
            server: Some(self.server.to_string()),
            status,
        })
    }

    fn outgoing(&self, job: &Job) -> Request<Bytes> {
        let left = job.deadline.since(self.clock.now()).as_millis() as u64;
        let mut request = job.request.clone();
        request.headers_mut().insert(TIMEOUT_HEADER, left.into());
        request
    }
}

impl From<&Job> for Arrival {
    fn from(job: &Job) -> Self {
        Self {
            deadline: job.deadline,
            priority: job.plan.priority,
            queue: job.plan.queue,
        }
    }
}

/// Returns how a request ended at the backend server.
fn ended(result: &Result<Answer, Answer>) -> Ended {
    match result {
        Ok(answer) if answer.status.is_server_error() => Ended::Failed,
        Ok(_) => Ended::Served,
        Err(answer) if answer.server.is_some() => Ended::Shed,
        Err(answer) if answer.outcome == Outcome::NotRun => Ended::Failed,
        Err(_) => Ended::Abandoned,
    }
}
