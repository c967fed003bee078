//! Calls to a store that speaks HTTP with JSON bodies.

use std::{
    net::SocketAddrV4,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use super::{LostSnafu, RefusedSnafu, StoreError, UnreachableSnafu};

/// Time in which a call must be answered: some hundred times what a healthy store needs.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer, in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// A client that goes to the next endpoint when one can't be reached.
#[derive(Debug)]
pub struct HttpCalls {
    client: Client<HttpConnector, Full<Bytes>>,
    endpoints: Vec<SocketAddrV4>,
    current: AtomicUsize,
}

impl HttpCalls {
    /// Returns a client of a store that is reached at any of its endpoints.
    pub fn new(endpoints: Vec<SocketAddrV4>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CALL_TIMEOUT));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            endpoints,
            current: AtomicUsize::new(0),
        }
    }

    fn endpoint(&self) -> SocketAddrV4 {
        let current = self.current.load(Ordering::Relaxed);
        self.endpoints[current % self.endpoints.len()]
    }

    /// Sends a message as JSON and returns the body of the answer, which may go on for long.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer within a second or refuses.
    pub async fn open<M: Serialize>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<Incoming, StoreError> {
        let body = serde_json::to_vec(message).expect("messages encode");
        let (_, body) = self
            .send(Method::POST, path, body.into(), CALL_TIMEOUT)
            .await?;
        Ok(body)
    }

    /// Sends a message as JSON and returns the answer.
    ///
    /// # Errors
    ///
    /// Fails if the store does not answer within a second, refuses, or sends what can't be read.
    pub async fn post<M, A>(&self, path: &str, message: &M) -> Result<A, StoreError>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let body = serde_json::to_vec(message).expect("messages encode");
        self.call(Method::POST, path, body.into(), CALL_TIMEOUT)
            .await
    }

    /// Reads a path within `patience`.
    ///
    /// # Errors
    ///
    /// As [`HttpCalls::post`].
    pub async fn get<A: DeserializeOwned>(
        &self,
        path: &str,
        patience: Duration,
    ) -> Result<A, StoreError> {
        self.call(Method::GET, path, Bytes::new(), patience).await
    }

    async fn call<A: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        patience: Duration,
    ) -> Result<A, StoreError> {
        let (endpoint, body) = self.send(method, path, body, patience).await?;
        let body = timeout(patience, Limited::new(body, ANSWER_BYTES).collect()).await;
        let Ok(Ok(body)) = body else {
            return LostSnafu { endpoint }.fail();
        };
        serde_json::from_slice(&body.to_bytes()).map_err(|_| StoreError::Lost { endpoint })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        patience: Duration,
    ) -> Result<(SocketAddrV4, Incoming), StoreError> {
        let endpoint = self.endpoint();
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{endpoint}{path}"))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| StoreError::Unreachable { endpoint })?;
        let answered = timeout(patience, self.client.request(request)).await;
        match answered {
            Ok(Ok(response)) if response.status() == StatusCode::OK => {
                Ok((endpoint, response.into_body()))
            }
            Ok(Ok(response)) => RefusedSnafu {
                endpoint,
                status: response.status(),
            }
            .fail(),
            Ok(Err(error)) if error.is_connect() => {
                self.current.fetch_add(1, Ordering::Relaxed);
                UnreachableSnafu { endpoint }.fail()
            }
            _ => {
                self.current.fetch_add(1, Ordering::Relaxed);
                LostSnafu { endpoint }.fail()
            }
        }
    }
}
