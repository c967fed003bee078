//! The balancer: hands each datagram of a flow to its agent and relays the answers.

use std::{
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use tokio::net::UdpSocket;

use crate::{
    consts::DATAGRAM_BYTES,
    frame::{self, Header},
    kernel::{Kernel, KernelError},
    member::Directory,
    owner_id::Keyring,
    proxy_header::{self, Ends},
    settings::InForce,
    steering,
};

/// First byte of a PROXY protocol v2 header.
const PROXY_SIGNATURE: u8 = 0x0D;

/// Starts the balancer on its data socket.
///
/// # Errors
///
/// Fails if the directory or the settings are not published.
pub fn start(
    kernel: &Kernel,
    socket: UdpSocket,
    own: SocketAddrV4,
    fabric: SocketAddr,
    keyring: Keyring,
) -> Result<(), KernelError> {
    let balancer = Balancer {
        directory: kernel.find(Directory::NAME)?,
        fabric,
        frame: Vec::with_capacity(DATAGRAM_BYTES),
        keyring,
        own,
        settings: kernel.find(InForce::NAME)?,
        socket,
    };
    kernel.spawn(balancer.run());
    Ok(())
}

struct Balancer {
    directory: Arc<Directory>,
    fabric: SocketAddr,
    frame: Vec<u8>,
    keyring: Keyring,
    own: SocketAddrV4,
    settings: Arc<InForce>,
    socket: UdpSocket,
}

impl Balancer {
    async fn run(mut self) {
        let mut buffer = vec![0; 2 * DATAGRAM_BYTES];
        loop {
            let Ok((length, _)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let datagram = &buffer[..length];
            if datagram.first() == Some(&PROXY_SIGNATURE) {
                self.forward(datagram).await;
            } else {
                self.answer(datagram).await;
            }
        }
    }

    async fn forward(&mut self, datagram: &[u8]) {
        let Some((ends, payload)) = proxy_header::unwrap(datagram) else {
            tracing::debug!(event = "dropped", reason = "damaged_proxy_header");
            return;
        };
        let Some(service) = self.settings.plan().tags.get(&ends.target).copied() else {
            tracing::debug!(event = "dropped", reason = "unknown_address", target = %ends.target);
            return;
        };
        let view = self.directory.view();
        let route = match steering::steer(&view, &self.keyring, service, payload) {
            Ok(route) => route,
            Err(reason) => {
                tracing::debug!(event = "dropped", reason = reason.as_str(), caller = %ends.source);
                return;
            }
        };
        tracing::debug!(
            event = "routed",
            caller = %ends.source,
            agent = %route.agent,
            second = ?route.others[0],
            version = route.version,
            reason = route.reason.as_str(),
        );
        let header = Header {
            caller: ends.source,
            service,
            version: route.version,
            balancer: self.own,
            others: route.others,
            hops: 0,
        };
        if frame::encode(&header, payload, &mut self.frame).is_ok() {
            let _ = self.socket.send_to(&self.frame, route.agent).await;
        }
    }

    async fn answer(&self, datagram: &[u8]) {
        let Ok((header, payload)) = frame::decode(datagram) else {
            tracing::debug!(event = "dropped", reason = "damaged_frame");
            return;
        };
        let plan = self.settings.plan();
        let Some(address) = plan.addresses.get(&header.service) else {
            return;
        };
        let ends = Ends {
            source: *address,
            target: header.caller,
        };
        let datagram = proxy_header::wrap(ends, payload);
        let _ = self.socket.send_to(&datagram, self.fabric).await;
    }
}
