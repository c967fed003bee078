//! Forwards requests to the agent that issued their idempotency key, and offloaded ones to another
//! agent of the service.

use std::{future::pending, net::SocketAddrV4, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep_until};

use super::{
    job::Job,
    reply::{Outcome, Reply},
};
use crate::{
    clock::{Clock, Time},
    control::{ControlClient, ControlError},
    member::{Directory, MemberState, Role, View},
    membership::LocalRecord,
    owner_id::Owner,
};

/// Path of forwarded requests on the control server.
pub const PATH: &str = "/agent/request";

/// Time in which a suspected owner of a key can refute the suspicion before the request is
/// abandoned.
const REFUTATION_TIMEOUT: Duration = Duration::from_secs(1);

/// The process that is responsible for a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyOwner {
    /// This process.
    Local,
    /// The agent with this control address.
    Remote(SocketAddrV4),
    /// None: the local view has no running agent with the incarnation that issued the key.
    Gone,
    /// None: the key belongs to another service.
    Foreign,
}

/// Returns the process that is responsible for the keys of `owner`.
///
/// `local_owners` are the owners under which this process has issued keys, one per incarnation.
pub fn find_key_owner(owner: &Owner, local_owners: &[Owner], view: &View) -> KeyOwner {
    if local_owners.contains(owner) {
        return KeyOwner::Local;
    }
    if local_owners
        .iter()
        .all(|local_owner| local_owner.service != owner.service)
    {
        return KeyOwner::Foreign;
    }
    let Some(record) = view.members.get(&owner.address) else {
        return KeyOwner::Gone;
    };
    let stopped = record.state.is_gone();
    if stopped || record.role != Role::Agent || record.incarnation != owner.incarnation {
        return KeyOwner::Gone;
    }
    KeyOwner::Remote(record.control)
}

/// A request that is forwarded or offloaded to another agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedRequest {
    body: Bytes,
    headers: Vec<(String, Bytes)>,
    method: String,
    owner: Owner,
    path: String,
    timeout_ms: u64,
}

impl ForwardedRequest {
    /// Returns the address, service and incarnation of the agent that should run the request.
    pub fn owner(&self) -> &Owner {
        &self.owner
    }

    /// Returns the time from sending to the deadline of the reply.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }

    /// Returns the HTTP request to `service`; `None` if the method, path or a header is malformed.
    pub fn into_request(self, service: &str) -> Option<Request<Bytes>> {
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

/// The reply to a forwarded or offloaded request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ForwardedReply {
    body: Bytes,
    outcome: Outcome,
    retry_ms: Option<u64>,
    server: Option<String>,
    status: u16,
}

impl ForwardedReply {
    /// Returns a reply that is sent at `now`, with its retry time relative to that.
    pub fn new(reply: Reply, now: Time) -> Self {
        let retry_ms = reply.retry_at.map(|at| at.since(now).as_millis() as u64);
        Self {
            body: reply.body,
            outcome: reply.outcome,
            retry_ms,
            server: reply.server,
            status: reply.status.as_u16(),
        }
    }

    /// Returns the reply that was received at `now`, with its retry time on the local clock.
    pub fn into_reply(self, now: Time) -> Reply {
        let status = StatusCode::from_u16(self.status);
        Reply {
            body: self.body,
            outcome: self.outcome,
            retry_at: self.retry_ms.map(|left| now + Duration::from_millis(left)),
            server: self.server,
            status: status.unwrap_or(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Forwards requests to the control servers of other agents.
#[derive(Clone, Debug)]
pub struct RequestForwarder {
    /// Client of the control servers.
    pub client: ControlClient,
    /// Clock of the process.
    pub clock: Clock,
    /// Members of the fleet with their control addresses.
    pub directory: Arc<Directory>,
    /// Membership record of this process, with its current incarnation.
    pub local: Arc<LocalRecord>,
}

impl RequestForwarder {
    /// Forwards a request to the owner of its key and returns the reply.
    ///
    /// The outcome is unknown if forwarding fails, even if nothing was sent: the request may have
    /// run in an earlier attempt.
    pub async fn forward(&self, owner: &Owner, peer: SocketAddrV4, job: &Job) -> Reply {
        let exchange = self.send(PATH, owner, peer, job);
        let result: Result<ForwardedReply, _> = tokio::select! {
            result = exchange => result,
            () = self.wait_owner_unavailable(owner) => {
                tracing::info!(event = "request_owner_unavailable", id = job.id(), %peer);
                return Reply::unknown();
            }
        };
        match result {
            Ok(reply) => reply.into_reply(self.clock.now()),
            Err(error) => {
                tracing::info!(event = "request_not_passed", id = job.id(), %peer, %error);
                Reply::unknown()
            }
        }
    }

    /// Waits until the owner is dead, has left, is missing from the view or has been suspected for
    /// [`REFUTATION_TIMEOUT`].
    async fn wait_owner_unavailable(&self, owner: &Owner) {
        let mut changes = self.directory.changes();
        let mut deadline = None;
        loop {
            let view = self.directory.view();
            match view.members.get(&owner.address).map(|record| record.state) {
                None | Some(MemberState::Dead | MemberState::Left) => return,
                Some(MemberState::Suspect) => {
                    deadline.get_or_insert_with(|| Instant::now() + REFUTATION_TIMEOUT);
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

impl RequestForwarder {
    /// Posts a request to a path of another agent's control server and returns the decoded reply.
    ///
    /// # Errors
    ///
    /// Fails if no valid reply arrives by the deadline; [`ControlError`] tells whether the request
    /// may have arrived.
    pub async fn send<A: DeserializeOwned>(
        &self,
        path: &str,
        owner: &Owner,
        peer: SocketAddrV4,
        job: &Job,
    ) -> Result<A, ControlError> {
        let left = job.deadline.since(self.clock.now());
        let request = ForwardedRequest {
            body: job.request.body().clone(),
            headers: headers(job),
            method: job.request.method().to_string(),
            owner: *owner,
            path: request_path(job).to_owned(),
            timeout_ms: left.as_millis() as u64,
        };
        self.client.post(peer, path, &request, left).await
    }
}

fn request_path(job: &Job) -> &str {
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
