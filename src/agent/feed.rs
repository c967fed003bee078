//! Relays feeds (server-sent events) from the backend server to callers.

use std::time::Duration;

use bytes::Bytes;
use h3::error::StreamError;
use http::Response;
use tokio::{sync::watch, time::Instant};

use super::{
    http::{Stream, wait_for_drain},
    job::Job,
    reply::Outcome,
    runner::Runner,
    upstream::UpstreamError,
};
use crate::consts::{OUTCOME_HEADER, SERVED_BY_HEADER};

mod source;

pub use source::Source;

/// Type of the event that asks a caller to reopen its feed on another connection.
///
/// It has no id, so that the caller's last event id does not change (WHATWG HTML, section 9.2.6).
/// Clients that do not know the type ignore it.
pub const MOVING_EVENT: &str = "moving";

const MOVING_BLOCK: &[u8] = b"event: moving\ndata:\n\n";

/// Time that a caller has to reopen a feed on another connection before a draining agent ends it.
const MOVE_TIMEOUT: Duration = Duration::from_secs(30);

/// A feed that is open at the backend server and not yet relayed to the caller.
#[derive(Debug)]
pub struct OpenFeed {
    head: Response<()>,
    source: Source,
}

/// Opens a feed on the backend server.
///
/// # Errors
///
/// Fails if the backend server can't be reached or does not answer by the deadline.
pub async fn open(job: &Job, runner: &Runner) -> Result<OpenFeed, UpstreamError> {
    let response = runner.open_feed(job).await?;
    let head = Response::builder()
        .status(response.status())
        .header(OUTCOME_HEADER, Outcome::Answered.as_str())
        .header(SERVED_BY_HEADER, runner.server().to_string())
        .header(http::header::CONTENT_TYPE, "text/event-stream");
    let upstream = runner.upstream().clone();
    Ok(OpenFeed {
        head: head.body(()).expect("valid head"),
        source: Source::new(upstream, job.request.clone(), response.into_body()),
    })
}

impl OpenFeed {
    /// Relays the feed until the caller or the backend server ends it.
    ///
    /// When the agent drains, an event of type [`MOVING_EVENT`] asks the caller to reopen the feed
    /// on another connection, starting after the last event. The feed continues until the caller
    /// closes it, and ends 30 s after the event at the latest.
    ///
    /// # Errors
    ///
    /// Fails if the caller has closed the stream or the connection.
    pub async fn relay(
        mut self,
        stream: &mut Stream,
        mut draining: watch::Receiver<bool>,
    ) -> Result<(), StreamError> {
        stream.send_response(self.head).await?;
        let mut deadline = None;
        loop {
            let is_notified = deadline.is_some();
            let events = tokio::select! {
                events = self.source.next() => events,
                () = wait_for_drain(&mut draining), if !is_notified => {
                    deadline = Some(Instant::now() + MOVE_TIMEOUT);
                    stream.send_data(Bytes::from_static(MOVING_BLOCK)).await?;
                    continue;
                }
                () = wait_until(deadline), if is_notified => break,
            };
            let Some(events) = events else { break };
            stream.send_data(events).await?;
        }
        stream.finish().await
    }
}

async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
