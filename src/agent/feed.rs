//! Relays feeds from the backend server to callers.

use std::time::Duration;

use bytes::Bytes;
use h3::error::StreamError;
use http::{Request, Response};
use http_body_util::BodyExt;
use tokio::{sync::watch, time::Instant};

use super::{
    answer::Outcome,
    http::{Stream, told_to_drain},
    job::Job,
    runner::Runner,
    upstream::{AnswerBody, UpstreamError},
};
use crate::consts::{OUTCOME_HEADER, SERVED_BY_HEADER};

/// Type of the event that asks a caller to open its feed again elsewhere. It has no id, so that
/// the caller's last event id stays (WHATWG HTML, section 9.2.6); others ignore it.
pub const MOVING_EVENT: &str = "moving";

const MOVING_BLOCK: &[u8] = b"event: moving\ndata:\n\n";

/// Time in which a caller may move a feed before it is ended.
const MOVE_TIME: Duration = Duration::from_secs(30);

/// A feed that the backend server has opened.
#[derive(Debug)]
pub struct OpenFeed {
    body: AnswerBody,
    head: Response<()>,
}

/// Opens a feed on the backend server.
///
/// # Errors
///
/// Fails if the backend server can't be reached.
pub async fn open(job: &Job, runner: &Runner) -> Result<OpenFeed, UpstreamError> {
    let request: Request<Bytes> = job.request.clone();
    let response = runner.upstream().send(request, job.deadline).await?;
    let head = Response::builder()
        .status(response.status())
        .header(OUTCOME_HEADER, Outcome::Answered.as_str())
        .header(SERVED_BY_HEADER, runner.server().to_string())
        .header(http::header::CONTENT_TYPE, "text/event-stream");
    Ok(OpenFeed {
        body: response.into_body(),
        head: head.body(()).expect("valid head"),
    })
}

impl OpenFeed {
    /// Relays the feed until one side ends it.
    ///
    /// When the agent drains, an event of type [`MOVING_EVENT`] asks the caller to open the feed
    /// elsewhere after the last event; this one goes on until the caller closes it, or ends
    /// between two events when the caller has not done so by the deadline.
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
        let mut boundary = Boundary::default();
        let mut deadline = None;
        loop {
            let told = deadline.is_some();
            let part = tokio::select! {
                part = self.body.frame() => part,
                () = told_to_drain(&mut draining), if !told && boundary.between() => {
                    deadline = Some(Instant::now() + MOVE_TIME);
                    stream.send_data(Bytes::from_static(MOVING_BLOCK)).await?;
                    continue;
                }
                () = pass(deadline), if told && boundary.between() => break,
            };
            let Some(Ok(part)) = part else { break };
            let Ok(data) = part.into_data() else { continue };
            boundary.pass(&data);
            stream.send_data(data).await?;
        }
        stream.finish().await
    }
}

/// Tells whether the relayed bytes end between two events.
#[derive(Debug, Default)]
struct Boundary {
    any: bool,
    last: [u8; 2],
}

impl Boundary {
    fn pass(&mut self, data: &[u8]) {
        for byte in data.iter().rev().take(2).rev() {
            self.last = [self.last[1], *byte];
            self.any = true;
        }
    }

    fn between(&self) -> bool {
        !self.any || self.last == *b"\n\n"
    }
}

async fn pass(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}
