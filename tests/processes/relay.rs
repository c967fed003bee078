//! A relay between a caller and a service that can lose track of open connections.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use tokio::net::UdpSocket;

const DATAGRAM_BYTES: usize = 2048;
/// Bit of the first byte of a QUIC packet with a long header (RFC 8999, section 5.1).
const LONG_HEADER: u8 = 0x80;

/// A running relay.
pub struct Relay {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay in front of a service, for one caller.
    pub async fn start(service: SocketAddr) -> Self {
        let inside = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        inside.connect(service).await.unwrap();
        let outside = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let address = outside.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        tokio::spawn(forward(outside, inside, cut.clone()));
        Self { address, cut }
    }

    /// Drops everything until the caller opens a connection.
    pub fn cut(&self) {
        self.cut.store(true, Ordering::Relaxed);
    }
}

async fn forward(outside: UdpSocket, inside: UdpSocket, cut: Arc<AtomicBool>) {
    let mut caller = None;
    let mut request = [0; DATAGRAM_BYTES];
    let mut answer = [0; DATAGRAM_BYTES];
    loop {
        tokio::select! {
            Ok((length, from)) = outside.recv_from(&mut request) => {
                caller = Some(from);
                if request[0] & LONG_HEADER != 0 {
                    cut.store(false, Ordering::Relaxed);
                }
                if !cut.load(Ordering::Relaxed) {
                    let _ = inside.send(&request[..length]).await;
                }
            }
            Ok(length) = inside.recv(&mut answer) => {
                let Some(caller) = caller else { continue };
                if !cut.load(Ordering::Relaxed) {
                    let _ = outside.send_to(&answer[..length], caller).await;
                }
            }
        }
    }
}
