//! The agent's HTTP/1.1 client towards its backend server.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use snafu::Snafu;

/// An error of a request to the backend server.
#[derive(Debug, Snafu)]
pub enum UpstreamError {
    /// The request did not leave the agent.
    #[snafu(display("no connection to the backend server"))]
    NotSent,
    /// The request left and no answer came.
    #[snafu(display("the backend server's answer is lost"))]
    Lost,
}

/// A pool of connections to one backend server.
#[derive(Clone, Debug)]
pub struct Upstream {
    client: Client<HttpConnector, Full<Bytes>>,
    server: SocketAddr,
}

impl Upstream {
    /// Returns the client of a backend server.
    pub fn new(server: SocketAddr) -> Self {
        let mut builder = Client::builder(TokioExecutor::new());
        // A request is repeated only by the agent, who knows whether it may.
        builder.retry_canceled_requests(false);
        Self {
            client: builder.build_http(),
            server,
        }
    }

    /// Sends a request and returns the answer's head with its open body.
    ///
    /// # Errors
    ///
    /// Tells whether the request may have run.
    pub async fn send(
        &self,
        mut request: http::Request<Bytes>,
    ) -> Result<http::Response<Incoming>, UpstreamError> {
        let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
        let uri = format!("http://{}{path}", self.server);
        *request.uri_mut() = uri.parse().map_err(|_| UpstreamError::NotSent)?;
        *request.version_mut() = http::Version::HTTP_11;
        let sent = self.client.request(request.map(Full::new)).await;
        sent.map_err(|error| match error.is_connect() {
            true => UpstreamError::NotSent,
            false => UpstreamError::Lost,
        })
    }
}
