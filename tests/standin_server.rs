//! The stand-in for a backend server: cancellation, deadlines, draining, slow-down and reports.

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

const POLL_INTERVAL: Duration = Duration::from_millis(5);

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

async fn read_response(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).await.unwrap();
    text
}

/// Waits until the server has recorded a note and returns the last one.
async fn last_note(server: &Server) -> (String, Note) {
    loop {
        if let Some(note) = server.state().notes().pop() {
            return note;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Waits until the server has started `count` requests in total.
async fn wait_for_requests(server: &Server, count: usize) {
    while server.journal().len() < count {
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test]
async fn a_closed_connection_cancels_its_request_and_releases_the_slot() {
    let kernel = Kernel::new();
    let server = start(&kernel, 600_000, Conduct::default()).await;
    let open = send(server.address(), "/checkin", "first", 3_600_000).await;
    wait_for_requests(&server, 1).await;
    let second = send(server.address(), "/checkin", "second", 3_600_000).await;
    assert!(read_response(second).await.contains("outcome: not-run"));
    assert_eq!(last_note(&server).await, ("second".to_owned(), Note::Shed));
    drop(open);
    while server.state().notes().len() < 2 {
        sleep(POLL_INTERVAL).await;
    }
    assert_eq!(
        last_note(&server).await,
        ("first".to_owned(), Note::Cancelled)
    );
    let _third = send(server.address(), "/checkin", "third", 3_600_000).await;
    wait_for_requests(&server, 2).await;
}

#[tokio::test]
async fn a_request_that_cannot_complete_by_its_deadline_does_not_run() {
    let kernel = Kernel::new();
    let server = start(&kernel, 100, Conduct::default()).await;
    server.state().slow_down(4);
    let late = send(server.address(), "/checkin", "late", 300).await;
    assert!(read_response(late).await.contains("outcome: not-run"));
    assert_eq!(last_note(&server).await, ("late".to_owned(), Note::Late));
    assert!(server.journal().is_empty());
}

#[tokio::test]
async fn a_draining_server_sheds_requests_and_reports_itself_unhealthy() {
    let kernel = Kernel::new();
    let server = start(&kernel, 1, Conduct::default()).await;
    server.state().drain();
    let shed = send(server.address(), "/checkin", "first", 3_600_000).await;
    assert!(read_response(shed).await.contains("outcome: not-run"));
    assert!(server.journal().is_empty());
    let health = read_response(send(server.address(), "/health", "-", 0).await).await;
    assert!(health.ends_with("false"), "{health}");
}

#[tokio::test]
async fn a_server_with_false_reports_claims_to_be_healthy_and_idle() {
    let kernel = Kernel::new();
    let false_reports = Conduct {
        lies: true,
        ..Conduct::default()
    };
    let server = start(&kernel, 600_000, false_reports).await;
    let _open = send(server.address(), "/checkin", "first", 3_600_000).await;
    wait_for_requests(&server, 1).await;
    server.state().drain();
    let load = read_response(send(server.address(), "/load", "-", 0).await).await;
    assert!(load.ends_with("\r\n\r\n0"), "{load}");
    let health = read_response(send(server.address(), "/health", "-", 0).await).await;
    assert!(health.ends_with("true"), "{health}");
}

#[tokio::test]
async fn a_load_report_with_a_lag_does_not_show_the_current_load() {
    let kernel = Kernel::new();
    let delayed_reports = Conduct {
        lag_ms: 3_600_000,
        ..Conduct::default()
    };
    let server = start(&kernel, 600_000, delayed_reports).await;
    let accurate = start(&kernel, 600_000, Conduct::default()).await;
    for server in [&server, &accurate] {
        let open = send(server.address(), "/checkin", "first", 3_600_000).await;
        wait_for_requests(server, 1).await;
        let expected = u32::from(Arc::ptr_eq(server, &accurate));
        assert_eq!(server.state().reported_load(), expected);
        drop(open);
    }
}

#[tokio::test]
async fn a_cold_server_works_four_times_as_long_on_a_request() {
    let kernel = Kernel::new();
    let cold = Conduct {
        cold_ms: 3_600_000,
        ..Conduct::default()
    };
    let server = start(&kernel, 100, cold).await;
    let warm_time = Duration::from_millis(100);
    assert_eq!(server.state().work(warm_time), 4 * warm_time);
}
