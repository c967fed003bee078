//! The balancer: forwards each datagram of a flow to its agent and relays the replies.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::Arc,
};

use snafu::{ResultExt, Snafu};
use tokio::net::UdpSocket;

use crate::{
    clock::{Clock, Time, unix_ms},
    consts::{MAX_DATAGRAM_BYTES, OWNER_ID_BYTES},
    datagram::{BatchSocket, Outbox},
    decision::{Decision, DecisionFilter, DecisionLog, LogAction},
    frame::{self, Header},
    kernel::{Kernel, KernelError},
    member::{Directory, View},
    metrics::Metrics,
    owner_id::{Keyring, ServiceTag},
    packet::{self, Packet},
    proxy_header::{self, Endpoints},
    settings::{ActiveSettings, ResolvedSettings},
    steering::{self, Route},
};

/// First byte of the signature of a PROXY protocol v2 header. No frame starts with it, as a frame's
/// first byte is the length of its header, which is always larger.
const PROXY_SIGNATURE_START: u8 = 0x0D;

/// Error of [`start`].
#[derive(Debug, Snafu)]
pub enum BalancerError {
    /// A component of the kernel is missing.
    #[snafu(display("cannot start: {source}"))]
    Kernel {
        /// Error of the kernel.
        source: KernelError,
    },
    /// The data socket could not be set up for batched I/O.
    #[snafu(display("cannot set up the data socket: {source}"))]
    Socket {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Options of [`start`].
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Address of the balancer's data socket, to which agents send replies.
    pub address: SocketAddrV4,
    /// Address of the fabric, which delivers replies to callers.
    pub fabric: SocketAddr,
    /// Keys that decrypt owner ids.
    pub keyring: Keyring,
}

/// Starts the balancer on its data socket.
///
/// # Errors
///
/// Fails if a component of the kernel is missing or if the socket can't be set up.
pub fn start(
    kernel: &Kernel,
    socket: UdpSocket,
    options: BalancerOptions,
) -> Result<(), BalancerError> {
    let balancer = Balancer {
        clock: kernel.clock(),
        decisions: kernel.find(DecisionLog::NAME).context(KernelSnafu)?,
        directory: kernel.find(Directory::NAME).context(KernelSnafu)?,
        filter: DecisionFilter::default(),
        frame: Vec::with_capacity(MAX_DATAGRAM_BYTES),
        metrics: kernel.find(Metrics::NAME).context(KernelSnafu)?,
        options,
        settings: kernel.find(ActiveSettings::NAME).context(KernelSnafu)?,
    };
    let socket = BatchSocket::new(socket).context(SocketSnafu)?;
    kernel.spawn(balancer.run(socket));
    Ok(())
}

struct Balancer {
    clock: Clock,
    decisions: Arc<DecisionLog>,
    directory: Arc<Directory>,
    filter: DecisionFilter,
    frame: Vec<u8>,
    metrics: Arc<Metrics>,
    options: BalancerOptions,
    settings: Arc<ActiveSettings>,
}

/// Time, settings and view for all datagrams of a batch.
struct BatchContext {
    now: Time,
    settings: Arc<ResolvedSettings>,
    view: Arc<View>,
}

impl Balancer {
    async fn run(mut self, socket: BatchSocket) {
        let mut batch = socket.batch();
        let mut outbox = socket.outbox();
        loop {
            if socket.receive(&mut batch).await.is_err() {
                continue;
            }
            let batch_context = BatchContext {
                now: self.clock.now(),
                settings: self.settings.current(),
                view: self.directory.view(),
            };
            for datagram in batch.datagrams() {
                if datagram.first() == Some(&PROXY_SIGNATURE_START) {
                    self.forward(&batch_context, datagram, &mut outbox);
                } else {
                    self.relay_reply(&batch_context, datagram, &mut outbox);
                }
            }
            socket.flush(&mut outbox).await;
        }
    }

    fn forward(&mut self, batch_context: &BatchContext, datagram: &[u8], outbox: &mut Outbox) {
        let Some((endpoints, payload)) = proxy_header::decode(datagram) else {
            return self.count_dropped("damaged_proxy_header");
        };
        let Some(service) = batch_context
            .settings
            .tags
            .get(&endpoints.destination)
            .copied()
        else {
            return self.count_dropped("unknown_address");
        };
        let steered = steering::steer(&batch_context.view, &self.options.keyring, service, payload);
        let route = match steered {
            Ok(route) => route,
            Err(reason) => return self.count_dropped(reason.as_str()),
        };
        self.metrics.count_routed(route.reason.as_str());
        self.record_decision(batch_context, endpoints.source, service, payload, &route);
        let header = Header {
            caller: endpoints.source,
            service,
            version: route.version,
            balancer: self.options.address,
            fallbacks: route.fallbacks,
            hops: 0,
        };
        if frame::encode(&header, payload, &mut self.frame).is_ok() {
            outbox.push(route.agent.into(), &self.frame);
        }
    }

    fn relay_reply(&mut self, batch_context: &BatchContext, datagram: &[u8], outbox: &mut Outbox) {
        let Ok((header, payload)) = frame::decode::<Header>(datagram) else {
            return self.count_dropped("damaged_frame");
        };
        let Some(address) = batch_context.settings.addresses.get(&header.service) else {
            return self.count_dropped("unknown_service");
        };
        let endpoints = Endpoints {
            source: *address,
            destination: header.caller,
        };
        proxy_header::encode(endpoints, payload, &mut self.frame);
        outbox.push(self.options.fabric, &self.frame);
    }

    fn count_dropped(&self, reason: &'static str) {
        self.metrics.count_dropped(reason);
    }

    fn record_decision(
        &mut self,
        batch_context: &BatchContext,
        caller: SocketAddr,
        service: ServiceTag,
        payload: &[u8],
        route: &Route,
    ) {
        match self.filter.check(flow_key(payload), batch_context.now) {
            LogAction::Log => {}
            LogAction::RateLimited => {
                self.decisions.unlogged().inc();
                return;
            }
            LogAction::Duplicate => return,
        }
        self.decisions.record(Decision {
            unix_ms: unix_ms(),
            event: "routed".to_owned(),
            caller,
            service,
            chosen: Some(route.agent.into()),
            second: route.fallbacks[0],
            version: route.version,
            reason: route.reason.as_str().to_owned(),
            request: None,
        });
    }
}

/// Returns the bytes by which the decision filter identifies a flow: the datagram's destination
/// connection id, or the available bytes if it has no complete one.
///
/// A flow gets another connection id with its owner id, so its decision is recorded again then.
fn flow_key(datagram: &[u8]) -> &[u8] {
    match packet::parse(datagram) {
        Some(Packet::Long { id, .. }) => id,
        Some(Packet::Short { rest }) => rest.get(..OWNER_ID_BYTES).unwrap_or(rest),
        None => datagram,
    }
}
