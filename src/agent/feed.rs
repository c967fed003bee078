//! Relays feeds from the backend server to callers.

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::BodyExt;

use super::{
    answer::Outcome,
    http::Stream,
    job::Job,
    runner::Runner,
    upstream::{AnswerBody, UpstreamError},
};
use crate::consts::{OUTCOME_HEADER, SERVED_BY_HEADER};

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
    /// # Errors
    ///
    /// Fails if the caller is gone.
    pub async fn relay(mut self, stream: &mut Stream) -> Result<(), h3::error::StreamError> {
        stream.send_response(self.head).await?;
        while let Some(Ok(part)) = self.body.frame().await {
            let Ok(data) = part.into_data() else { continue };
            stream.send_data(data).await?;
        }
        stream.finish().await
    }
}
