//! A request with its resolved settings and its deadline.

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

/// Longest timeout that a caller may request.
const MAX_TIMEOUT: Duration = Duration::from_secs(600);
/// Longest time reserved for sending the reply to the caller.
const MAX_REPLY_TIME: Duration = Duration::from_millis(100);
/// Divisor of the timeout that gives the time reserved for sending the reply.
const REPLY_TIME_DIVISOR: u32 = 8;

/// A fully received request with its type and deadline.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request with its complete body.
    pub request: Request<Bytes>,
    /// Resolved settings of the request type.
    pub request_type: Arc<RequestType>,
    /// Time by which the reply must be sent, which is before the caller's timeout expires.
    pub deadline: Time,
}

impl Job {
    /// Returns the job of a request that arrived at `now`.
    ///
    /// The timeout is the one in the header, else that of the request type.
    pub fn new(request: Request<Bytes>, request_type: Arc<RequestType>, now: Time) -> Self {
        let requested = text_header(&request, TIMEOUT_HEADER).and_then(|value| value.parse().ok());
        let timeout = requested.map_or(request_type.timeout, Duration::from_millis);
        let timeout = timeout.min(MAX_TIMEOUT);
        let reply_time = MAX_REPLY_TIME.min(timeout / REPLY_TIME_DIVISOR);
        Self {
            request,
            request_type,
            deadline: now + (timeout - reply_time),
        }
    }

    /// Returns the request id that the caller set; `-` if there is none.
    pub fn id(&self) -> &str {
        text_header(&self.request, REQUEST_ID_HEADER).unwrap_or("-")
    }

    /// Returns the value of a header; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        text_header(&self.request, name)
    }

    /// Returns whether the request may run more than once.
    ///
    /// Always false for a request with an idempotency key.
    pub fn is_idempotent(&self) -> bool {
        self.request_type.idempotent && !self.request.headers().contains_key(IDEMPOTENCY_KEY_HEADER)
    }

    /// Returns the digest that detects the reuse of a key for another request.
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
