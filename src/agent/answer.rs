//! The answers that an agent gives.

use bytes::Bytes;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::admission::Refusal;
use crate::clock::Time;

/// How a request ended, for the caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The backend server's answer.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Returns the header's value.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// A whole answer of the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// Whole body.
    pub body: Bytes,
    /// How the request ended.
    pub outcome: Outcome,
    /// Point from which another attempt is worth while, if it is known.
    pub retry_at: Option<Time>,
    /// Backend server that ran the request.
    pub server: Option<String>,
    /// HTTP status.
    pub status: StatusCode,
}

impl Answer {
    /// Returns the answer to a request that did not run.
    pub fn not_run(status: StatusCode, why: &'static str) -> Self {
        Self {
            body: Bytes::from_static(why.as_bytes()),
            outcome: Outcome::NotRun,
            retry_at: None,
            server: None,
            status,
        }
    }

    /// Returns the answer to a request that was not admitted.
    pub fn refused(refusal: &Refusal) -> Self {
        Self {
            retry_at: Some(refusal.retry_at),
            ..Self::not_run(StatusCode::SERVICE_UNAVAILABLE, refusal.reason.as_str())
        }
    }

    /// Returns the answer to a request that may have run.
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
