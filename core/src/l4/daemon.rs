//! A daemon of the five-tuple data plane: its kernel, the common services, and the loop around
//! its state machine.

mod agent_loop;
mod balancer_loop;
mod sockets;

use std::{io, net::SocketAddrV4, sync::Arc, time::Duration};

use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
};

pub use self::agent_loop::{ServerDesk, ServerNews};
use super::{
    agent::AgentOptions,
    balancer::BalancerOptions,
    segment::Codec,
    spread::service::{self as spread, RouteSource},
};
use crate::{
    clock::unix_ms,
    control::{self, ControlClient, ControlServer},
    kernel::{Kernel, KernelError},
    member::{Directory, MemberState, Record, Role, View},
    membership::{self, LocalRecord, Signer},
    metrics::Metrics,
    owner_id::{FleetKey, Incarnation, ServiceTag},
    seeds::{find_seeds, maintain_seed},
    store::Store,
};

/// Time for which a balancer forwards after it asked for no more flows: the fabric looks twice a
/// second and takes two looks to notice.
const BALANCER_LINGER: Duration = Duration::from_millis(2500);

/// Time for which an agent that starts waits for its server's first report before it joins: a server
/// that runs reports about once a second.
const REPORT_PATIENCE: Duration = Duration::from_millis(700);

/// Time in which the news of a stop reaches the others.
const FAREWELL_TIME: Duration = Duration::from_millis(300);

/// Time between two looks at whether seeds are needed from the store: those in the settings answer within
/// some hundred milliseconds, or not at all.
const SEED_PAUSE: Duration = Duration::from_millis(1500);

/// Such times after which a balancer that knows others looks all the same: 9 s, as a seed's lease lasts
/// 10 s.
const SEED_PAUSES: u32 = 6;

/// An error at the start of a daemon.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A socket can't be opened.
    #[snafu(display("socket {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// The system's error.
        source: io::Error,
    },
    /// A service of the kernel is missing.
    #[snafu(display("{source}"))]
    Kernel {
        /// The kernel's error.
        source: KernelError,
    },
}

/// What every daemon is told at its start.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Name for logs.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address at which the other processes send frames.
    pub peers: SocketAddrV4,
    /// Address of HTTP and membership between processes.
    pub control: SocketAddrV4,
    /// Port of callers' hosts to which answers go.
    pub caller_port: u16,
    /// Control addresses of processes to announce to.
    pub seeds: Vec<SocketAddrV4>,
    /// Prefix of the seeds in the store.
    pub seed_prefix: String,
    /// Bytes a second that the VM's link carries.
    pub link: u64,
    /// Fleet keys; the first one signs.
    pub keys: Vec<FleetKey>,
}

/// What only a balancer is told.
#[derive(Clone, Copy, Debug)]
pub struct BalancerSockets {
    /// Address at which the fabric delivers datagrams of callers.
    pub ingress: SocketAddrV4,
    /// Where routes stand in the store.
    pub source: RouteSource,
}

/// What only an agent is told, besides the options of its state machine.
#[derive(Clone, Copy, Debug)]
pub struct AgentSockets {
    /// Address at which the backend server delivers its segments.
    pub outbound: SocketAddrV4,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The kernel, for its registry.
    pub kernel: Kernel,
    role: Role,
}

impl Daemon {
    /// Starts a balancer.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
    pub async fn balancer<C: Codec>(
        codec: C,
        options: &DaemonOptions,
        balancer: &BalancerSockets,
        store: Arc<dyn Store>,
    ) -> Result<Self, StartError> {
        let role = Role::Balancer;
        let (kernel, client) = start_common(options, role, ServiceTag(0), &store).await?;
        let routes = spread::start(&kernel, store.clone(), balancer.source, client);
        let routes = routes.context(KernelSnafu)?;
        let key = format!("{}{}", options.seed_prefix, options.control);
        kernel.spawn(maintain_seed(store, key, options.control));
        let sockets = sockets::Sockets::new(
            bind(options.peers).await?,
            bind(balancer.ingress).await?,
            options.caller_port,
            None,
            &kernel,
        );
        let decisions = BalancerOptions {
            own: options.peers,
            domain: options.domain.clone(),
            link: options.link,
        };
        balancer_loop::start(&kernel, codec, &decisions, sockets, routes).context(KernelSnafu)?;
        log_start(options, role);
        Ok(Self { kernel, role })
    }

    /// Starts an agent, and returns the desk that takes the reports of its backend server.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be opened.
    pub async fn agent<C: Codec>(
        codec: C,
        options: &DaemonOptions,
        agent: &AgentOptions,
        sockets: &AgentSockets,
        store: Arc<dyn Store>,
    ) -> Result<(Self, ServerDesk), StartError> {
        let role = Role::Agent;
        let tag = agent.service.tag();
        let (kernel, _) = start_common(options, role, tag, &store).await?;
        let sockets = sockets::Sockets::new(
            bind(options.peers).await?,
            bind(sockets.outbound).await?,
            options.caller_port,
            Some(agent.server),
            &kernel,
        );
        let desk = agent_loop::start(&kernel, codec, *agent, sockets).context(KernelSnafu)?;
        log_start(options, role);
        Ok((Self { kernel, role }, desk))
    }

    /// Stops as planned: lets others take over first.
    pub async fn shut_down(&self) {
        tracing::info!(event = "stopping", role = ?self.role);
        if let Ok(control) = self.kernel.find::<ControlServer>(ControlServer::NAME) {
            control.mark_stopping();
        }
        if self.role == Role::Balancer {
            tokio::time::sleep(BALANCER_LINGER).await;
        }
        let state = match self.server_is_alive() {
            true => MemberState::Draining,
            false => MemberState::Left,
        };
        if let Ok(local) = self.kernel.find::<LocalRecord>(LocalRecord::NAME) {
            local.update(|record| record.state = state);
        }
        tokio::time::sleep(FAREWELL_TIME).await;
        self.kernel.stop().await;
        tracing::info!(event = "stopped", role = ?self.role);
    }

    /// Returns whether the backend server goes on while its agent stops.
    fn server_is_alive(&self) -> bool {
        let desk = self.kernel.find::<ServerDesk>(ServerDesk::NAME);
        desk.is_ok_and(|desk| desk.server_is_alive())
    }
}

fn log_start(options: &DaemonOptions, role: Role) {
    tracing::info!(
        event = "started",
        name = options.name,
        role = ?role,
        domain = options.domain,
        peers = %options.peers,
        control = %options.control,
        version = env!("CARGO_PKG_VERSION"),
    );
}

async fn start_common(
    options: &DaemonOptions,
    role: Role,
    service: ServiceTag,
    store: &Arc<dyn Store>,
) -> Result<(Kernel, ControlClient), StartError> {
    let kernel = Kernel::new();
    let listener = TcpListener::bind(options.control).await;
    let listener = listener.context(BindSnafu {
        address: options.control,
    })?;
    let socket = bind(options.control).await?;
    let record = Record {
        address: options.peers,
        control: options.control,
        incarnation: Incarnation((unix_ms() / 100) as u32),
        domain: options.domain.clone(),
        role,
        service,
        state: match role {
            Role::Balancer => MemberState::Ready,
            Role::Agent => MemberState::Draining,
        },
        weight: 100,
        version: 0,
        revision: 0,
    };
    kernel.publish(Directory::NAME, Arc::new(Directory::default()));
    kernel.publish(Metrics::NAME, Arc::new(Metrics::default()));
    kernel.publish(LocalRecord::NAME, Arc::new(LocalRecord::new(record)));
    let signer = Signer::new(&options.keys);
    control::start(&kernel, listener, signer.clone()).context(KernelSnafu)?;
    let seeds = options.seeds.clone();
    let found =
        membership::start_when_ready(&kernel, socket, signer.clone(), seeds, REPORT_PATIENCE);
    let found = found.context(KernelSnafu)?;
    let directory: Arc<Directory> = kernel.find(Directory::NAME).context(KernelSnafu)?;
    let looks = look_for_seeds(store.clone(), options.clone(), role, directory, found);
    kernel.spawn(looks);
    Ok((kernel, ControlClient::new(signer)))
}

/// Tells the membership of seeds in the store: while no process that keeps a seed is known, and now and
/// then in a balancer, as parts of a fleet may have lost sight of each other.
async fn look_for_seeds(
    store: Arc<dyn Store>,
    options: DaemonOptions,
    role: Role,
    directory: Arc<Directory>,
    found: mpsc::Sender<Vec<SocketAddrV4>>,
) {
    let mut pauses = 0;
    loop {
        tokio::time::sleep(SEED_PAUSE).await;
        pauses += 1;
        let wanted = match seed_need(&directory.view(), options.peers, role) {
            SeedNeed::Now => true,
            SeedNeed::Sometimes => pauses >= SEED_PAUSES,
            SeedNeed::Never => false,
        };
        if !wanted {
            continue;
        }
        pauses = 0;
        let seeds = find_seeds(store.as_ref(), &options.seed_prefix).await;
        if found.send(seeds).await.is_err() {
            return;
        }
    }
}

/// How much a process needs to look for seeds in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SeedNeed {
    /// Nobody else is known, or no balancer, as balancers keep the seeds.
    Now,
    /// Now and then, to find parts of the fleet that have lost sight of this one.
    Sometimes,
    /// Balancers look for all.
    Never,
}

/// Returns how much the process at `own` needs to look for seeds.
pub fn seed_need(view: &View, own: SocketAddrV4, role: Role) -> SeedNeed {
    let members = view.members.values();
    let mut others = members.filter(|record| record.address != own && !record.state.is_gone());
    match role {
        Role::Balancer if others.next().is_some() => SeedNeed::Sometimes,
        Role::Agent if others.any(|record| record.role == Role::Balancer) => SeedNeed::Never,
        _ => SeedNeed::Now,
    }
}

async fn bind(address: SocketAddrV4) -> Result<UdpSocket, StartError> {
    let socket = UdpSocket::bind(address).await;
    socket.context(BindSnafu { address })
}
