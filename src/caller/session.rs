//! Connections of a caller: opened when needed, shared by its requests.

use std::{future::poll_fn, time::Duration};

use bytes::Bytes;
use h3::client::SendRequest;
use http::Request;

use super::{AttemptError, Caller, Stream, path};

/// Longest wait for one attempt to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Connections tried for one attempt: the current one and a new one.
const OPEN_ATTEMPTS: u32 = 2;

/// One connection to a service.
#[derive(Clone)]
pub(super) struct Session {
    pub(super) connection: quinn::Connection,
    sender: SendRequest<h3_quinn::OpenStreams, Bytes>,
}

impl Caller {
    /// Opens a stream for a request, on a new connection if the current one takes no more.
    ///
    /// The connection stays open at least as long as the returned session is kept.
    pub(super) async fn open(
        &self,
        request: Request<()>,
    ) -> Result<(Stream, Session), AttemptError> {
        for _ in 0..OPEN_ATTEMPTS {
            let mut session = self.session().await?;
            match session.sender.send_request(request.clone()).await {
                Ok(stream) => return Ok((stream, session)),
                Err(error) => {
                    tracing::debug!(event = "session_closed", %error);
                    self.forget(&session).await;
                }
            }
        }
        Err(AttemptError::NotSent)
    }

    pub(super) async fn session(&self) -> Result<Session, AttemptError> {
        let mut current = self.session.lock().await;
        if let Some(session) = current.as_ref()
            && session.connection.close_reason().is_none()
        {
            return Ok(session.clone());
        }
        let port = self.endpoint.local_addr().ok();
        let opened = tokio::time::timeout(CONNECT_TIMEOUT, self.connect()).await;
        let Ok(opened) = opened else {
            path::reopen(&self.endpoint, port);
            return Err(AttemptError::NotSent);
        };
        let session = opened?;
        *current = Some(session.clone());
        Ok(session)
    }

    /// Opens the next request on another connection; open ones stay.
    pub(super) async fn forget(&self, session: &Session) {
        let mut current = self.session.lock().await;
        let same = current.as_ref().map(|s| s.connection.stable_id())
            == Some(session.connection.stable_id());
        if same {
            *current = None;
        }
    }

    async fn connect(&self) -> Result<Session, AttemptError> {
        let connecting = self.endpoint.connect(self.target, &self.service);
        let connection = connecting.map_err(|_| AttemptError::NotSent)?;
        let connection = connection.await.map_err(|error| {
            tracing::debug!(event = "connect_failed", %error);
            AttemptError::NotSent
        })?;
        let quic = h3_quinn::Connection::new(connection.clone());
        let (mut driver, sender) = h3::client::new(quic)
            .await
            .map_err(|_| AttemptError::NotSent)?;
        tokio::spawn(async move {
            poll_fn(|cx| driver.poll_close(cx)).await;
        });
        tokio::spawn(path::watch(self.endpoint.clone(), connection.clone()));
        Ok(Session { connection, sender })
    }
}
