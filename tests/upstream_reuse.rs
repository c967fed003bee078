//! A backend server that sends a response twice, the second copy late, on a connection that the agent
//! may use again.

use std::time::Duration;

use berylvalve::{agent::upstream::Upstream, clock::Clock, consts::REQUEST_ID_HEADER};
use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Answers each request with its path, and sends the previous response of the connection once more
/// when the next request has arrived, before the response to it.
async fn serve_twice(mut socket: TcpStream, names_request: bool) {
    let mut previous = Vec::new();
    let mut buffer = vec![0; 4096];
    while let Ok(length) = socket.read(&mut buffer).await {
        if length == 0 {
            return;
        }
        let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
        let path = head.split(' ').nth(1).unwrap_or("/").to_owned();
        let id = match names_request {
            true => format!("{REQUEST_ID_HEADER}: {}\r\n", &path[1..]),
            false => String::new(),
        };
        let response = format!(
            "HTTP/1.1 200 OK\r\n{id}content-length: {}\r\n\r\n{path}",
            path.len()
        );
        let copies = [previous, response.clone().into_bytes()].concat();
        if socket.write_all(&copies).await.is_err() {
            return;
        }
        previous = response.into_bytes();
    }
}

async fn fetch(upstream: &Upstream, path: &str) -> (Option<String>, String) {
    let request = Request::get(path).body(Bytes::new()).unwrap();
    let deadline = upstream.clock().now() + Duration::from_secs(5);
    let response = upstream.send(request, deadline).await.unwrap();
    let id = response.headers().get(REQUEST_ID_HEADER);
    let id = id.map(|id| id.to_str().unwrap().to_owned());
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (id, String::from_utf8_lossy(&body).into_owned())
}

async fn start(names_request: bool) -> Upstream {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve_twice(socket, names_request));
        }
    });
    Upstream::new(Clock::start(), address)
}

#[tokio::test]
async fn late_copy_without_an_id_is_not_taken_for_the_next_answer() {
    let upstream = start(false).await;
    for path in ["/1", "/2", "/3"] {
        assert_eq!(fetch(&upstream, path).await.1, path);
    }
}

/// A copy that names its request can be told apart: the caller of [`Upstream`] compares the ids and
/// takes the answer for lost.
#[tokio::test]
async fn late_copy_with_an_id_names_the_earlier_request() {
    let upstream = start(true).await;
    fetch(&upstream, "/1").await;
    let (id, body) = fetch(&upstream, "/2").await;
    assert_eq!((id.as_deref(), body.as_str()), (Some("1"), "/1"));
}
