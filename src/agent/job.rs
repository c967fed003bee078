//! A request as the agent works on it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request;
use xxhash_rust::xxh3::Xxh3;

use super::ledger::Fingerprint;
use crate::{
    clock::Time,
    config::tree::RequestType,
    consts::{IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER},
};

/// Longest time to a deadline that a caller may name.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest time set aside for the answer's way to the caller.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(100);
/// Part of the time left that is set aside for the answer's way: one in this many.
const ANSWER_SHARE: u32 = 8;

/// A whole request with its type and its deadline.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request with its whole body.
    pub request: Request<Bytes>,
    /// Resolved settings of its type.
    pub plan: Arc<RequestType>,
    /// Point at which the final answer has to leave; earlier than the caller gives up.
    pub deadline: Time,
}

impl Job {
    /// Returns the job of a request that arrives at `now`.
    pub fn new(request: Request<Bytes>, plan: Arc<RequestType>, now: Time) -> Self {
        let named = text_header(&request, TIMEOUT_HEADER).and_then(|value| value.parse().ok());
        let left = named.map_or(plan.timeout, Duration::from_millis);
        let left = left.min(MAX_TIMEOUT);
        let answer_time = MAX_ANSWER_TIME.min(left / ANSWER_SHARE);
        Self {
            request,
            plan,
            deadline: now + (left - answer_time),
        }
    }

    /// Returns the name of the request for the logs.
    pub fn id(&self) -> &str {
        text_header(&self.request, REQUEST_ID_HEADER).unwrap_or("-")
    }

    /// Returns a header that is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        text_header(&self.request, name)
    }

    /// Returns whether the request may run twice without harm; one with a key never may.
    pub fn idempotent(&self) -> bool {
        self.plan.idempotent && !self.request.headers().contains_key(IDEMPOTENCY_KEY_HEADER)
    }

    /// Returns the digest that tells requests with the same key apart.
    pub fn fingerprint(&self) -> Fingerprint {
        let uri = self.request.uri();
        let path = uri.path_and_query().map_or("/", |path| path.as_str());
        let mut hash = Xxh3::new();
        for part in [self.request.method().as_str(), path] {
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part.as_bytes());
        }
        hash.update(self.request.body());
        Fingerprint(hash.digest128())
    }
}

fn text_header<'a, T>(request: &'a Request<T>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
