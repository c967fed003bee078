//! Passes requests with a key to the incarnation that issued it.

use std::{future::pending, net::SocketAddrV4, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep_until};

use super::{
    answer::{Answer, Outcome},
    job::Job,
};
use crate::{
    clock::{Clock, Time},
    control::{ControlClient, ControlError},
    member::{Directory, MemberState, Role, View},
    membership::LocalRecord,
    owner_id::Owner,
};

/// Path of passed requests on the control server.
pub const PATH: &str = "/agent/request";

/// Time that a suspected owner of a key gets to show that it runs.
const REFUTE_TIME: Duration = Duration::from_secs(1);

/// Who answers for a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Keeper {
    /// This incarnation.
    Local,
    /// The incarnation behind this control address.
    Remote(SocketAddrV4),
    /// Nobody any more.
    Gone,
    /// Nobody: the key belongs to another service.
    Foreign,
}

/// Returns who answers for the keys of `owner`; `lives` are those that this process began.
pub fn keeper(owner: &Owner, lives: &[Owner], view: &View) -> Keeper {
    if lives.contains(owner) {
        return Keeper::Local;
    }
    if lives.iter().all(|life| life.service != owner.service) {
        return Keeper::Foreign;
    }
    let Some(record) = view.members.get(&owner.address) else {
        return Keeper::Gone;
    };
    let left = record.state.is_gone();
    if left || record.role != Role::Agent || record.incarnation != owner.incarnation {
        return Keeper::Gone;
    }
    Keeper::Remote(record.control)
}

/// A request on its way to the incarnation that issued its key.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PassedRequest {
    body: Bytes,
    headers: Vec<(String, Bytes)>,
    method: String,
    owner: Owner,
    path: String,
    timeout_ms: u64,
}

impl PassedRequest {
    /// Returns the incarnation that it is meant for.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the time left to the answer.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the request of a service; `None` if it is damaged.
    pub fn request(self, service: &str) -> Option<Request<Bytes>> {
        let mut request = Request::new(self.body);
        *request.method_mut() = Method::from_bytes(self.method.as_bytes()).ok()?;
        *request.uri_mut() = format!("https://{service}{}", self.path).parse().ok()?;
        *request.headers_mut() = parse_headers(self.headers)?;
        Some(request)
    }
}

fn parse_headers(pairs: Vec<(String, Bytes)>) -> Option<HeaderMap> {
    let mut headers = HeaderMap::with_capacity(pairs.len());
    for (name, value) in pairs {
        let name = HeaderName::from_bytes(name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_maybe_shared(value).ok()?);
    }
    Some(headers)
}

/// The answer to a passed request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PassedAnswer {
    body: Bytes,
    outcome: Outcome,
    retry_ms: Option<u64>,
    server: Option<String>,
    status: u16,
}

impl PassedAnswer {
    /// Returns an answer as it is sent at `now`.
    pub fn new(answer: Answer, now: Time) -> Self {
        let retry_ms = answer.retry_at.map(|at| at.since(now).as_millis() as u64);
        Self {
            body: answer.body,
            outcome: answer.outcome,
            retry_ms,
            server: answer.server,
            status: answer.status.as_u16(),
        }
    }

    /// Returns the answer as it is received at `now`.
    pub fn answer(self, now: Time) -> Answer {
        let status = StatusCode::from_u16(self.status);
        Answer {
            body: self.body,
            outcome: self.outcome,
            retry_at: self.retry_ms.map(|left| now + Duration::from_millis(left)),
            server: self.server,
            status: status.unwrap_or(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Passes requests on over the control servers.
#[derive(Clone, Debug)]
pub struct Passing {
    /// Sends the requests.
    pub client: ControlClient,
    /// Clock of the process.
    pub clock: Clock,
    /// Knows the control addresses.
    pub directory: Arc<Directory>,
    /// Knows the incarnation of this process.
    pub local: Arc<LocalRecord>,
}

impl Passing {
    /// Passes a request on and returns its answer.
    ///
    /// A request that can't be passed on may have run in an earlier attempt: the answer is
    /// "unknown", whether or not this attempt left.
    pub async fn pass(&self, owner: &Owner, peer: SocketAddrV4, job: &Job) -> Answer {
        let sent = self.send(PATH, owner, peer, job);
        let answer: Result<PassedAnswer, _> = tokio::select! {
            answer = sent => answer,
            () = self.owner_silent(owner) => {
                tracing::info!(event = "request_given_up", id = job.id(), %peer);
                return Answer::unknown();
            }
        };
        match answer {
            Ok(answer) => answer.answer(self.clock.now()),
            Err(error) => {
                tracing::info!(event = "request_not_passed", id = job.id(), %peer, %error);
                Answer::unknown()
            }
        }
    }

    /// Waits until the owner is gone, or suspected for as long as it may take to refute that.
    async fn owner_silent(&self, owner: &Owner) {
        let mut changes = self.directory.changes();
        let mut deadline = None;
        loop {
            let view = self.directory.view();
            match view.members.get(&owner.address).map(|record| record.state) {
                None | Some(MemberState::Dead | MemberState::Left) => return,
                Some(MemberState::Suspect) => {
                    deadline.get_or_insert_with(|| Instant::now() + REFUTE_TIME);
                }
                Some(MemberState::Ready | MemberState::Draining) => deadline = None,
            }
            let expired = async {
                match deadline {
                    Some(deadline) => sleep_until(deadline).await,
                    None => pending().await,
                }
            };
            tokio::select! {
                () = expired => return,
                changed = changes.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

impl Passing {
    /// Sends a request to a route of another agent and returns what that answers.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have arrived.
    pub async fn send<A: DeserializeOwned>(
        &self,
        route: &str,
        owner: &Owner,
        peer: SocketAddrV4,
        job: &Job,
    ) -> Result<A, ControlError> {
        let left = job.deadline.since(self.clock.now());
        let passed = PassedRequest {
            body: job.request.body().clone(),
            headers: headers(job),
            method: job.request.method().to_string(),
            owner: *owner,
            path: path(job).to_owned(),
            timeout_ms: left.as_millis() as u64,
        };
        self.client.post(peer, route, &passed, left).await
    }
}

fn path(job: &Job) -> &str {
    let uri = job.request.uri();
    uri.path_and_query().map_or("/", |path| path.as_str())
}

fn headers(job: &Job) -> Vec<(String, Bytes)> {
    let mut pairs = Vec::with_capacity(job.request.headers().len());
    for (name, value) in job.request.headers() {
        pairs.push((name.to_string(), Bytes::copy_from_slice(value.as_bytes())));
    }
    pairs
}
