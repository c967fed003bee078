//! Continuation of a feed when the connection to the backend server fails or goes idle.

use std::time::Duration;

use berylvalve::{
    agent::{feed::Source, upstream::Upstream},
    clock::Clock,
};
use bytes::Bytes;
use http::Request;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::timeout,
};

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// How the first connection of a feed fails after its events.
#[derive(Clone, Copy)]
enum Fault {
    /// It is closed in the middle of an event.
    Closed,
    /// It stays open without further data.
    Idle,
}

async fn read_head(socket: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.unwrap());
    }
    String::from_utf8(head).unwrap()
}

async fn send(socket: &mut TcpStream, events: &str) {
    let chunk = format!("{:x}\r\n{events}\r\n", events.len());
    socket.write_all(chunk.as_bytes()).await.unwrap();
}

/// Serves one feed on two connections and returns the head of the second request.
async fn serve(listener: TcpListener, fault: Fault) -> String {
    let (mut first, _) = listener.accept().await.unwrap();
    read_head(&mut first).await;
    first.write_all(HEAD.as_bytes()).await.unwrap();
    send(&mut first, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda").await;
    if matches!(fault, Fault::Closed) {
        drop(first);
        return serve_continuation(&listener).await;
    }
    let head = serve_continuation(&listener).await;
    drop(first);
    head
}

async fn serve_continuation(listener: &TcpListener) -> String {
    let (mut second, _) = listener.accept().await.unwrap();
    let head = read_head(&mut second).await;
    second.write_all(HEAD.as_bytes()).await.unwrap();
    send(&mut second, "id: 3\ndata: c\n\n").await;
    second.write_all(b"0\r\n\r\n").await.unwrap();
    head
}

async fn check_continuation(fault: Fault) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(serve(listener, fault));
    let clock = Clock::start();
    let request = Request::get("/gusts").body(Bytes::new()).unwrap();
    let upstream = Upstream::new(clock, address);
    let response = upstream
        .send(request.clone(), clock.now() + TEST_TIMEOUT)
        .await;
    let mut source = Source::new(upstream, request, response.unwrap().into_body());
    let mut received = String::new();
    let follow = async {
        while let Some(events) = source.next().await {
            received.push_str(std::str::from_utf8(&events).unwrap());
        }
    };
    timeout(TEST_TIMEOUT, follow).await.unwrap();
    assert_eq!(
        received,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
    );
    let head = server.await.unwrap();
    assert!(head.contains("last-event-id: 2\r\n"), "{head}");
}

/// Guards against a partial event that is relayed or duplicated: the new connection must start
/// after the last complete event.
#[tokio::test]
async fn a_feed_continues_when_its_connection_is_closed_within_an_event() {
    check_continuation(Fault::Closed).await;
}

/// Guards against a feed that stalls when a connection is lost without being closed.
#[tokio::test]
async fn a_feed_continues_when_its_connection_goes_idle() {
    check_continuation(Fault::Idle).await;
}
