//! The stand-in for a backend server: cancellation, deadlines, drain, slow-down and reports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use berylvalve::{
    kernel::Kernel,
    standin::server::{Conduct, Note, Server, ServerOptions},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::sleep,
};

const SOON: Duration = Duration::from_millis(5);

async fn start(kernel: &Kernel, work_ms: u64, conduct: Conduct) -> Arc<Server> {
    let options = ServerOptions {
        service: "wind".to_owned(),
        work_ms,
        slots: 1,
        answers: vec![("/checkin".to_owned(), 10)],
        feeds: Vec::new(),
        conduct,
    };
    Server::start(kernel, options).await.unwrap()
}

async fn send(server: SocketAddr, path: &str, id: &str, left_ms: u64) -> TcpStream {
    let mut stream = TcpStream::connect(server).await.unwrap();
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: wind\r\nrequest-id: {id}\r\ntimeout-ms: {left_ms}\r\n\
         connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    stream
}

async fn answer(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Waits until the server has written a note.
async fn note(server: &Server) -> (String, Note) {
    loop {
        if let Some(note) = server.state().notes().pop() {
            return note;
        }
        sleep(SOON).await;
    }
}

/// Waits until the server works on a number of requests in all.
async fn ran(server: &Server, count: usize) {
    while server.journal().len() < count {
        sleep(SOON).await;
    }
}

#[tokio::test]
async fn a_closed_connection_cancels_its_request_and_frees_the_slot() {
    let kernel = Kernel::new();
    let server = start(&kernel, 600_000, Conduct::default()).await;
    let open = send(server.address(), "/checkin", "first", 3_600_000).await;
    ran(&server, 1).await;
    let second = send(server.address(), "/checkin", "second", 3_600_000).await;
    assert!(answer(second).await.contains("outcome: not-run"));
    assert_eq!(note(&server).await, ("second".to_owned(), Note::Shed));
    drop(open);
    while server.state().notes().len() < 2 {
        sleep(SOON).await;
    }
    assert_eq!(note(&server).await, ("first".to_owned(), Note::Cancelled));
    let _third = send(server.address(), "/checkin", "third", 3_600_000).await;
    ran(&server, 2).await;
}

#[tokio::test]
async fn a_request_that_cannot_end_in_time_does_not_run() {
    let kernel = Kernel::new();
    let server = start(&kernel, 100, Conduct::default()).await;
    server.state().slow_down(4);
    let late = send(server.address(), "/checkin", "late", 300).await;
    assert!(answer(late).await.contains("outcome: not-run"));
    assert_eq!(note(&server).await, ("late".to_owned(), Note::Late));
    assert!(server.journal().is_empty());
}

#[tokio::test]
async fn a_draining_server_sheds() {
    let kernel = Kernel::new();
    let server = start(&kernel, 1, Conduct::default()).await;
    server.state().drain();
    let shed = send(server.address(), "/checkin", "first", 3_600_000).await;
    assert!(answer(shed).await.contains("outcome: not-run"));
    assert!(server.journal().is_empty());
    let health = answer(send(server.address(), "/health", "-", 0).await).await;
    assert!(health.ends_with("false"), "{health}");
}

#[tokio::test]
async fn a_liar_reports_health_and_no_load() {
    let kernel = Kernel::new();
    let liar = Conduct {
        lies: true,
        ..Conduct::default()
    };
    let server = start(&kernel, 600_000, liar).await;
    let _open = send(server.address(), "/checkin", "first", 3_600_000).await;
    ran(&server, 1).await;
    server.state().drain();
    let load = answer(send(server.address(), "/load", "-", 0).await).await;
    assert!(load.ends_with("\r\n\r\n0"), "{load}");
    let health = answer(send(server.address(), "/health", "-", 0).await).await;
    assert!(health.ends_with("true"), "{health}");
}

#[tokio::test]
async fn a_report_lags() {
    let kernel = Kernel::new();
    let lagging = Conduct {
        lag_ms: 3_600_000,
        ..Conduct::default()
    };
    let server = start(&kernel, 600_000, lagging).await;
    let honest = start(&kernel, 600_000, Conduct::default()).await;
    for server in [&server, &honest] {
        let open = send(server.address(), "/checkin", "first", 3_600_000).await;
        ran(server, 1).await;
        let expected = u32::from(Arc::ptr_eq(server, &honest));
        assert_eq!(server.state().reported_load(), expected);
        drop(open);
    }
}

#[tokio::test]
async fn a_cold_server_takes_longer() {
    let kernel = Kernel::new();
    let cold = Conduct {
        cold_ms: 3_600_000,
        ..Conduct::default()
    };
    let server = start(&kernel, 100, cold).await;
    let usual = Duration::from_millis(100);
    assert_eq!(server.state().work(usual), 4 * usual);
}
