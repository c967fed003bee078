//! Replies of an agent to its callers.

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::admission::Refusal;
use crate::clock::Time;

/// How a request ended, as reported to the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server answered.
    Answered,
    /// The request certainly did not run and may be repeated.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// Returns the value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A complete reply of the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    /// Body of the HTTP response.
    pub body: Bytes,
    /// How the request ended.
    pub outcome: Outcome,
    /// Earliest time at which a retry is likely to succeed, if known.
    pub retry_at: Option<Time>,
    /// Address of the backend server that answered or shed the request; `None` if neither.
    pub server: Option<String>,
    /// Status of the HTTP response.
    pub status: StatusCode,
}

impl Reply {
    /// Returns the reply to a request that did not run; `reason` becomes the body.
    pub fn not_run(status: StatusCode, reason: &'static str) -> Self {
        Self {
            body: Bytes::from_static(reason.as_bytes()),
            outcome: Outcome::NotRun,
            retry_at: None,
            server: None,
            status,
        }
    }

    /// Returns the reply to a request that was not admitted: 503 with a retry time.
    pub fn refused(refusal: &Refusal) -> Self {
        Self {
            retry_at: Some(refusal.retry_at),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, refusal.reason.as_str())
        }
    }

    /// Returns the reply to a request that may have run: 504.
    pub fn unknown() -> Self {
        Self {
            body: Bytes::from_static(b"the request may have run"),
            outcome: Outcome::Unknown,
            retry_at: None,
            server: None,
            status: StatusCode::GATEWAY_TIMEOUT,
        }
    }
}
