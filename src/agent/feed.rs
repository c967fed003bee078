//! Relays feeds from the backend server to callers.

use std::time::Duration;

use bytes::Bytes;
use h3::error::StreamError;
use http::Response;
use tokio::{sync::watch, time::Instant};

use super::{
    answer::Outcome,
    http::{Stream, told_to_drain},
    job::Job,
    runner::Runner,
    upstream::UpstreamError,
};
use crate::consts::{OUTCOME_HEADER, SERVED_BY_HEADER};

mod source;

pub use source::Source;

/// Type of the event that asks a caller to open its feed again elsewhere. It has no id, so that
/// the caller's last event id stays (WHATWG HTML, section 9.2.6); others ignore it.
pub const MOVING_EVENT: &str = "moving";

const MOVING_BLOCK: &[u8] = b"event: moving\ndata:\n\n";

/// Time in which a caller may move a feed before it is ended.
const MOVE_TIME: Duration = Duration::from_secs(30);

/// A feed that the backend server has opened.
#[derive(Debug)]
pub struct OpenFeed {
    head: Response<()>,
    source: Source,
}

/// Opens a feed on the backend server.
///
/// # Errors
///
/// Fails if the backend server can't be reached.
pub async fn open(job: &Job, runner: &Runner) -> Result<OpenFeed, UpstreamError> {
    let response = runner.open(job).await?;
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
    /// Relays the feed until one side ends it.
    ///
    /// When the agent drains, an event of type [`MOVING_EVENT`] asks the caller to open the feed
    /// elsewhere after the last event; this one goes on until the caller closes it, or ends when
    /// the caller has not done so by the deadline.
    ///
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub async fn relay(
        mut self,
        stream: &mut Stream,
        mut draining: watch::Receiver<bool>,
    ) -> Result<(), StreamError> {
        stream.send_response(self.head).await?;
        let mut deadline = None;
        loop {
            let told = deadline.is_some();
            let events = tokio::select! {
                events = self.source.next() => events,
                () = told_to_drain(&mut draining), if !told => {
                    deadline = Some(Instant::now() + MOVE_TIME);
                    stream.send_data(Bytes::from_static(MOVING_BLOCK)).await?;
                    continue;
                }
                () = pass(deadline), if told => break,
            };
            let Some(events) = events else { break };
            stream.send_data(events).await?;
        }
        stream.finish().await
    }
}

async fn pass(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
