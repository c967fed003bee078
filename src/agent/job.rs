//! A request as the agent works on it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::Request;

use crate::{
    clock::Time,
    config::tree::RequestPlan,
    consts::{REQUEST_ID_HEADER, TIMEOUT_HEADER},
};

/// A whole request with its type and its deadline.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request with its whole body.
    pub request: Request<Bytes>,
    /// Resolved settings of its type.
    pub plan: Arc<RequestPlan>,
    /// Point at which the caller gives up.
    pub deadline: Time,
}

impl Job {
    /// Returns the job of a request that arrives at `now`.
    pub fn new(request: Request<Bytes>, plan: Arc<RequestPlan>, now: Time) -> Self {
        let named = text_header(&request, TIMEOUT_HEADER).and_then(|value| value.parse().ok());
        let deadline = now + named.map_or(plan.timeout, Duration::from_millis);
        Self {
            request,
            plan,
            deadline,
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
}

fn text_header<'a, T>(request: &'a Request<T>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
