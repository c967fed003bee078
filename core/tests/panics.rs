//! An event whose handler panics is dropped, and the next ones are handled.

use std::{
    net::{SocketAddr, SocketAddrV4},
    time::Duration,
};

use berylvalve_core::{
    consts::MAX_DATAGRAM_BYTES,
    kernel::Kernel,
    l4::daemon::receive_pending,
    panics::{contain, contain_future},
};
use tokio::{net::UdpSocket, time::timeout};

#[tokio::test]
async fn datagram_whose_handler_panics_is_dropped_and_the_next_one_is_handled() {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let SocketAddr::V4(address) = socket.local_addr().unwrap() else {
        panic!("an IPv4 address was bound");
    };
    for byte in [1, 0, 2] {
        sender.send_to(&[byte], address).await.unwrap();
    }
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    let mut handled = Vec::new();
    while handled.len() < 2 {
        timeout(Duration::from_secs(5), socket.readable())
            .await
            .unwrap()
            .unwrap();
        receive_pending(&socket, &mut buffer, |_: SocketAddrV4, datagram| {
            assert_ne!(datagram[0], 0, "malformed");
            handled.push(datagram[0]);
        });
    }
    assert_eq!(handled, [1, 2]);
}

#[tokio::test]
async fn contained_panics_are_reported_to_the_caller() {
    assert_eq!(contain("test", || 7), Some(7));
    assert_eq!(contain("test", || -> u8 { panic!("unexpected") }), None);
    let failing = async { panic!("unexpected") };
    assert_eq!(contain_future::<u8>("test", failing).await, None);
}

/// A process must not go on without one of its tasks.
#[tokio::test]
async fn kernel_reports_a_task_that_panics() {
    let kernel = Kernel::new();
    kernel.spawn(async {});
    let soon = timeout(Duration::from_millis(50), kernel.task_failed()).await;
    assert!(soon.is_err(), "a task that ends is no failure");
    kernel.spawn(async { panic!("unexpected") });
    timeout(Duration::from_secs(5), kernel.task_failed())
        .await
        .unwrap();
    kernel.stop().await;
}
