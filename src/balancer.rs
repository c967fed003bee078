//! The balancer: hands each datagram of a flow to its agent and relays the answers.

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
    decision::{Decision, DecisionFilter, Decisions, Verdict},
    frame::{self, Header},
    kernel::{Kernel, KernelError},
    member::{Directory, View},
    metrics::Metrics,
    owner_id::{Keyring, ServiceTag},
    packet::{self, Packet},
    proxy_header::{self, Ends},
    settings::{ActiveSettings, ResolvedSettings},
    steering::{self, Route},
};

/// First byte of a PROXY protocol v2 header.
const PROXY_SIGNATURE: u8 = 0x0D;

/// An error at the start of a balancer.
#[derive(Debug, Snafu)]
pub enum BalancerError {
    /// A service of the kernel is missing.
    #[snafu(display("{source}"))]
    Kernel {
        /// The kernel's error.
        source: KernelError,
    },
    /// The data socket can't be set up.
    #[snafu(display("data socket: {source}"))]
    Socket {
        /// The system's error.
        source: io::Error,
    },
}

/// What a balancer is started with.
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Address of the balancer's data socket.
    pub own: SocketAddrV4,
    /// Address of the fabric that takes the answers to callers.
    pub fabric: SocketAddr,
    /// Keys of the owner ids.
    pub keyring: Keyring,
}

/// Starts the balancer on its data socket.
///
/// # Errors
///
/// Fails if a service of the kernel is missing or if the socket can't be set up.
pub fn start(
    kernel: &Kernel,
    socket: UdpSocket,
    options: BalancerOptions,
) -> Result<(), BalancerError> {
    let balancer = Balancer {
        clock: kernel.clock(),
        decisions: kernel.find(Decisions::NAME).context(KernelSnafu)?,
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
    decisions: Arc<Decisions>,
    directory: Arc<Directory>,
    filter: DecisionFilter,
    frame: Vec<u8>,
    metrics: Arc<Metrics>,
    options: BalancerOptions,
    settings: Arc<ActiveSettings>,
}

/// What holds for all datagrams of a batch.
struct Moment {
    now: Time,
    plan: Arc<ResolvedSettings>,
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
            let moment = Moment {
                now: self.clock.now(),
                plan: self.settings.current(),
                view: self.directory.view(),
            };
            for datagram in batch.datagrams() {
                if datagram.first() == Some(&PROXY_SIGNATURE) {
                    self.forward(&moment, datagram, &mut outbox);
                } else {
                    self.answer(&moment, datagram, &mut outbox);
                }
            }
            socket.flush(&mut outbox).await;
        }
    }

    fn forward(&mut self, moment: &Moment, datagram: &[u8], outbox: &mut Outbox) {
        let Some((ends, payload)) = proxy_header::unwrap(datagram) else {
            return self.drop_datagram("damaged_proxy_header");
        };
        let Some(service) = moment.plan.tags.get(&ends.target).copied() else {
            return self.drop_datagram("unknown_address");
        };
        let steered = steering::steer(&moment.view, &self.options.keyring, service, payload);
        let route = match steered {
            Ok(route) => route,
            Err(reason) => return self.drop_datagram(reason.as_str()),
        };
        self.metrics.count_routed(route.reason.as_str());
        self.explain(moment, ends.source, service, payload, &route);
        let header = Header {
            caller: ends.source,
            service,
            version: route.version,
            balancer: self.options.own,
            fallbacks: route.others,
            hops: 0,
        };
        if frame::encode(&header, payload, &mut self.frame).is_ok() {
            outbox.push(route.agent.into(), &self.frame);
        }
    }

    fn answer(&mut self, moment: &Moment, datagram: &[u8], outbox: &mut Outbox) {
        let Ok((header, payload)) = frame::decode::<Header>(datagram) else {
            return self.drop_datagram("damaged_frame");
        };
        let Some(address) = moment.plan.addresses.get(&header.service) else {
            return self.drop_datagram("unknown_service");
        };
        let ends = Ends {
            source: *address,
            target: header.caller,
        };
        proxy_header::wrap(ends, payload, &mut self.frame);
        outbox.push(self.options.fabric, &self.frame);
    }

    fn drop_datagram(&self, reason: &'static str) {
        self.metrics.count_dropped(reason);
    }

    fn explain(
        &mut self,
        moment: &Moment,
        caller: SocketAddr,
        service: ServiceTag,
        payload: &[u8],
        route: &Route,
    ) {
        match self.filter.judge(flow_key(payload), moment.now) {
            Verdict::Log => {}
            Verdict::Over => {
                self.decisions.dropped().inc();
                return;
            }
            Verdict::Seen => return,
        }
        self.decisions.record(Decision {
            unix_ms: unix_ms(),
            event: "routed".to_owned(),
            caller,
            service,
            chosen: Some(route.agent.into()),
            second: route.others[0],
            version: route.version,
            reason: route.reason.as_str().to_owned(),
            request: None,
        });
    }
}

/// Returns the bytes that the datagrams of a flow share.
fn flow_key(datagram: &[u8]) -> &[u8] {
    match packet::parse(datagram) {
        Some(Packet::Long { id, .. }) => id,
        Some(Packet::Short { rest }) => rest.get(..OWNER_ID_BYTES).unwrap_or(rest),
        None => datagram,
    }
}
