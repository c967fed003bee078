//! An HTTP client for stores whose requests and responses have JSON bodies.

use std::{
    net::SocketAddrV4,
    sync::atomic::{AtomicBool, AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderName, Method, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{sync::watch, time::timeout};

use super::{IndeterminateSnafu, NotSentSnafu, RefusedSnafu, StoreError};

/// Time limit from the start of a call to the head of the response, and again to the end of its body:
/// about a hundred times what a healthy store takes.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A client that switches to the next endpoint when a request fails before the head of its response
/// arrives.
#[derive(Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Full<Bytes>>,
    endpoints: Vec<SocketAddrV4>,
    /// Number of switches to the next endpoint.
    failovers: AtomicUsize,
    /// Response header with the store's era, if the store counts eras.
    era_header: Option<HeaderName>,
    /// Latest era that a response has shown. The first one is not notified as a change.
    era: watch::Sender<u64>,
    /// Whether a response has arrived.
    has_era: AtomicBool,
}

/// A decoded response.
#[derive(Clone, Copy, Debug)]
pub struct Reply<R> {
    /// Era of the store that responded; 0 if the store does not count them.
    pub era: u64,
    /// The response body.
    pub body: R,
}

impl JsonClient {
    /// Returns a client that sends calls to one of `endpoints` at a time, which must not be empty.
    pub fn new(endpoints: Vec<SocketAddrV4>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            endpoints,
            failovers: AtomicUsize::new(0),
            era_header: None,
            era: watch::Sender::new(0),
            has_era: AtomicBool::new(false),
        }
    }

    /// Reads the store's era from a header of each response.
    pub fn with_era_header(mut self, name: HeaderName) -> Self {
        self.era_header = Some(name);
        self
    }

    /// Returns a receiver of the latest era that a response has shown.
    pub fn eras(&self) -> watch::Receiver<u64> {
        self.era.subscribe()
    }

    /// Returns the latest era that a response has shown.
    pub fn era(&self) -> u64 {
        *self.era.borrow()
    }

    /// Returns the era of a response, and records it if it is later than all before. Returns `None` if
    /// it is earlier: the response was sent before the store was restored, or by another store.
    fn record_era(&self, response: &Response<Incoming>) -> Option<u64> {
        let name = self.era_header.as_ref();
        let value = name.and_then(|name| response.headers().get(name));
        let value = value.and_then(|value| value.to_str().ok());
        let era: u64 = value.and_then(|value| value.parse().ok()).unwrap_or(0);
        let is_first = !self.has_era.swap(true, Ordering::Relaxed);
        let previous = self.era();
        if era < previous {
            tracing::error!(event = "store_era_fell", era, previous);
            return None;
        }
        if era > previous {
            let is_change = !is_first;
            if is_change {
                tracing::warn!(event = "store_era_changed", era, previous);
            }
            self.era.send_if_modified(|known| {
                *known = era;
                is_change
            });
        }
        Some(era)
    }

    fn current_endpoint(&self) -> SocketAddrV4 {
        let failovers = self.failovers.load(Ordering::Relaxed);
        self.endpoints[failovers % self.endpoints.len()]
    }

    /// Sends a message as JSON and returns the response body as a stream without a time limit.
    ///
    /// # Errors
    ///
    /// Fails if no response starts within [`CALL_TIMEOUT`] or its status is not 200.
    pub async fn post_stream<M: Serialize>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<Incoming, StoreError> {
        let body = serde_json::to_vec(message).expect("messages encode");
        let response = self.send(Method::POST, path, body.into(), CALL_TIMEOUT);
        Ok(response.await?.body)
    }

    /// Sends a message as JSON and returns the decoded response.
    ///
    /// # Errors
    ///
    /// Fails if the response does not arrive in time, its status is not 200, or it cannot be decoded.
    /// The head of the response and then its body must each arrive within [`CALL_TIMEOUT`].
    pub async fn post<M, R>(&self, path: &str, message: &M) -> Result<Reply<R>, StoreError>
    where
        M: Serialize,
        R: DeserializeOwned,
    {
        let body = serde_json::to_vec(message).expect("messages encode");
        self.call(Method::POST, path, body.into(), CALL_TIMEOUT)
            .await
    }

    /// Requests a path and returns the decoded response.
    ///
    /// # Errors
    ///
    /// Fails as [`JsonClient::post`] does, with `time_limit` in place of [`CALL_TIMEOUT`].
    pub async fn get<R: DeserializeOwned>(
        &self,
        path: &str,
        time_limit: Duration,
    ) -> Result<Reply<R>, StoreError> {
        self.call(Method::GET, path, Bytes::new(), time_limit).await
    }

    async fn call<R: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Reply<R>, StoreError> {
        let endpoint = self.current_endpoint();
        let Reply { era, body } = self.send(method, path, body, time_limit).await?;
        let body = timeout(time_limit, Limited::new(body, MAX_RESPONSE_BYTES).collect()).await;
        let Ok(Ok(body)) = body else {
            return IndeterminateSnafu { endpoint }.fail();
        };
        // Bytes that are not UTF-8 are replaced, so that a part with some leaves the others readable.
        let body = body.to_bytes();
        let body = serde_json::from_str(&String::from_utf8_lossy(&body)).map_err(|error| {
            tracing::warn!(event = "store_response_unreadable", %endpoint, path, %error);
            StoreError::Indeterminate { endpoint }
        })?;
        Ok(Reply { era, body })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        time_limit: Duration,
    ) -> Result<Reply<Incoming>, StoreError> {
        let endpoint = self.current_endpoint();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{endpoint}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| StoreError::NotSent { endpoint })?;
        let result = timeout(time_limit, self.client.request(request)).await;
        match result {
            Ok(Ok(response)) if response.status() == StatusCode::OK => {
                match self.record_era(&response) {
                    Some(era) => Ok(Reply {
                        era,
                        body: response.into_body(),
                    }),
                    None => IndeterminateSnafu { endpoint }.fail(),
                }
            }
            Ok(Ok(response)) => {
                self.record_era(&response);
                RefusedSnafu {
                    endpoint,
                    status: response.status(),
                }
                .fail()
            }
            Ok(Err(error)) if error.is_connect() => {
                self.failovers.fetch_add(1, Ordering::Relaxed);
                NotSentSnafu { endpoint }.fail()
            }
            _ => {
                self.failovers.fetch_add(1, Ordering::Relaxed);
                IndeterminateSnafu { endpoint }.fail()
            }
        }
    }
}
