//! Daemons of the five-tuple data plane: the kernel, the kernel components that balancers and
//! agents share, and the event loop of each.

mod agent_loop;
mod balancer_loop;
mod sockets;

use std::{io, net::SocketAddrV4, sync::Arc, time::Duration};

use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
};

pub use self::{
    agent_loop::{AgentHandle, ServerUpdate},
    sockets::receive_pending,
};
use super::{
    agent::{Agent, AgentOptions},
    balancer::{Balancer, BalancerOptions},
    route_sync::service::{self as route_sync, RouteSource},
    segment::Codec,
};
use crate::{
    clock::unix_ms,
    consts::LEAVE_ANNOUNCE_DELAY,
    control::{self, ControlClient, ControlServer},
    kernel::{Kernel, KernelError},
    member::{Directory, MemberState, Record, Role, View},
    membership::{self, Discovery, LocalRecord, Signer},
    metrics::Metrics,
    owner_id::{FleetKey, Incarnation, ServiceTag},
    placement::relays,
    seeds::{find_seeds, maintain_seed},
    store::Store,
};

/// Time for which a stopping balancer goes on forwarding after it has reported that it is not
/// ready. The fabric checks readiness twice a second and needs two checks to react.
const BALANCER_DRAIN_PERIOD: Duration = Duration::from_millis(2500);

/// Longest time for which a starting agent waits for a report that its server is ready before it joins
/// the membership. Without one, it joins as draining. A running server reports about once a second, so
/// the wait may end before the first report.
const FIRST_REPORT_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval at which a process checks whether it needs seeds from the store. Seeds in the settings
/// answer within some hundred milliseconds or not at all.
const SEED_CHECK_INTERVAL: Duration = Duration::from_millis(1500);

/// Time from the start of a balancer to its registration as a seed, in which it learns of the others.
const SEED_REGISTER_DELAY: Duration = Duration::from_secs(1);

/// Number of checks after which a relay that knows other processes reads the seeds anyway. This
/// makes 9 s, less than the 10 s after which a seed without a renewed lease disappears.
const SEED_REFRESH_CHECKS: u32 = 6;

/// An error at the start of a daemon.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// A socket could not be bound.
    #[snafu(display("failed to bind a socket to {address}: {source}"))]
    Bind {
        /// Address to bind to.
        address: SocketAddrV4,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A kernel component was not published in the registry of the [`Kernel`].
    #[snafu(display("{source}"))]
    Kernel {
        /// Error that names the kernel component.
        source: KernelError,
    },
}

/// Options that balancers and agents share.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Name of the process in its start log line.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Address at which this process receives frames of other processes.
    pub address: SocketAddrV4,
    /// Address for HTTP and membership messages between processes.
    pub control: SocketAddrV4,
    /// Port of the callers' hosts to which segments for callers are sent.
    pub caller_port: u16,
    /// Control addresses of the processes through which this one joins the membership.
    pub seeds: Vec<SocketAddrV4>,
    /// Key prefix of the seeds in the store.
    pub seed_prefix: String,
    /// Capacity of the VM's network link in bytes per second.
    pub link_rate: u64,
    /// Fleet keys. The first one signs messages, and all of them verify.
    pub keys: Vec<FleetKey>,
}

/// Options of a balancer's daemon, besides [`DaemonOptions`].
#[derive(Clone, Debug)]
pub struct BalancerDaemonOptions {
    /// Address to which the fabric delivers the callers' datagrams.
    pub ingress: SocketAddrV4,
    /// Where routes are read from in the store, and how they are decoded.
    pub source: RouteSource,
}

/// Options of an agent's daemon, besides [`DaemonOptions`] and [`AgentOptions`].
#[derive(Clone, Copy, Debug)]
pub struct AgentDaemonOptions {
    /// Address to which the backend server sends its segments.
    pub outbound: SocketAddrV4,
    /// Whether the agent takes part in the exchange of directives.
    pub directives: bool,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// Kernel that runs the daemon's tasks and publishes its components.
    pub kernel: Kernel,
    role: Role,
}

impl Daemon {
    /// Starts a balancer.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be bound or a kernel component is not published.
    pub async fn start_balancer<C: Codec>(
        codec: C,
        options: &DaemonOptions,
        balancer_daemon_options: &BalancerDaemonOptions,
        store: Arc<dyn Store>,
    ) -> Result<Self, StartError> {
        let role = Role::Balancer;
        let (kernel, client, discoveries) =
            start_shared_components(options, role, ServiceTag(0), &store).await?;
        let routes = route_sync::start(
            &kernel,
            store.clone(),
            balancer_daemon_options.source.clone(),
            client,
        );
        let channels = routes.context(KernelSnafu)?;
        let directory: Arc<Directory> = kernel.find(Directory::NAME).context(KernelSnafu)?;
        kernel.spawn(register_while_relay(store, options.clone(), directory));
        let sockets = sockets::Sockets::new(
            bind(options.address).await?,
            bind(balancer_daemon_options.ingress).await?,
            options.caller_port,
            None,
            &kernel,
        );
        let balancer_options = BalancerOptions {
            address: options.address,
            domain: options.domain.clone(),
            link_rate: options.link_rate,
        };
        let balancer = Balancer::new(codec, &balancer_options, rand::random());
        let balancer = balancer.with_route_spread(options.control);
        let balancer = match balancer_daemon_options.source.directives {
            Some(_) => balancer.with_directives(),
            None => balancer,
        };
        balancer_loop::start(&kernel, balancer, sockets, channels, discoveries)
            .context(KernelSnafu)?;
        log_start(options, role);
        Ok(Self { kernel, role })
    }

    /// Starts an agent, and returns the handle that receives the updates of its backend server.
    ///
    /// # Errors
    ///
    /// Fails if a socket can't be bound or a kernel component is not published.
    pub async fn start_agent<C: Codec>(
        codec: C,
        options: &DaemonOptions,
        agent_options: &AgentOptions,
        agent_daemon_options: &AgentDaemonOptions,
        store: Arc<dyn Store>,
    ) -> Result<(Self, AgentHandle), StartError> {
        let role = Role::Agent;
        let tag = agent_options.service.tag();
        let (kernel, _, _) = start_shared_components(options, role, tag, &store).await?;
        let sockets = sockets::Sockets::new(
            bind(options.address).await?,
            bind(agent_daemon_options.outbound).await?,
            options.caller_port,
            Some(agent_options.server_address),
            &kernel,
        );
        let agent = Agent::new(codec, agent_options.clone(), kernel.clock().now());
        let agent = match agent_daemon_options.directives {
            true => agent.with_directives(),
            false => agent,
        };
        let handle = agent_loop::start(&kernel, agent, sockets).context(KernelSnafu)?;
        log_start(options, role);
        Ok((Self { kernel, role }, handle))
    }

    /// Stops the daemon. A balancer first goes on forwarding while the fabric notices that it is not
    /// ready, and announces that it has left. An agent announces that it is draining, or that it has left
    /// if its server has ([`Agent::member_state`]).
    pub async fn shut_down(&self) {
        tracing::info!(event = "stopping", role = ?self.role);
        if let Ok(control) = self.kernel.find::<ControlServer>(ControlServer::NAME) {
            control.mark_stopping();
        }
        if self.role == Role::Balancer {
            tokio::time::sleep(BALANCER_DRAIN_PERIOD).await;
        }
        // The event loop of an agent may have failed, and would announce nothing.
        let state = match self.role {
            Role::Agent => MemberState::Draining,
            Role::Balancer => MemberState::Left,
        };
        if let Ok(local) = self.kernel.find::<LocalRecord>(LocalRecord::NAME) {
            local.update(|record| record.state = state);
        }
        if let Ok(handle) = self.kernel.find::<AgentHandle>(AgentHandle::NAME) {
            handle.stop().await;
        }
        tokio::time::sleep(LEAVE_ANNOUNCE_DELAY).await;
        self.kernel.stop().await;
        tracing::info!(event = "stopped", role = ?self.role);
    }
}

fn log_start(options: &DaemonOptions, role: Role) {
    tracing::info!(
        event = "started",
        name = options.name,
        role = ?role,
        domain = options.domain,
        address = %options.address,
        control = %options.control,
        version = env!("CARGO_PKG_VERSION"),
    );
}

async fn start_shared_components(
    options: &DaemonOptions,
    role: Role,
    service: ServiceTag,
    store: &Arc<dyn Store>,
) -> Result<(Kernel, ControlClient, mpsc::Sender<Discovery>), StartError> {
    let kernel = Kernel::new();
    let listener = TcpListener::bind(options.control).await;
    let listener = listener.context(BindSnafu {
        address: options.control,
    })?;
    let socket = bind(options.control).await?;
    let record = Record {
        address: options.address,
        control: options.control,
        // The incarnation is the start time in tenths of a second, modulo 2³².
        incarnation: Incarnation((unix_ms() / 100) as u32),
        domain: options.domain.clone(),
        role,
        service,
        state: match role {
            Role::Balancer => MemberState::Ready,
            // An agent is announced as draining until its backend server reports that it is ready.
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
    let discoveries =
        membership::start_when_ready(&kernel, socket, signer.clone(), seeds, FIRST_REPORT_TIMEOUT);
    let discoveries = discoveries.context(KernelSnafu)?;
    let directory: Arc<Directory> = kernel.find(Directory::NAME).context(KernelSnafu)?;
    let discovery = discover_seeds(
        store.clone(),
        options.clone(),
        role,
        directory,
        discoveries.clone(),
    );
    kernel.spawn(discovery);
    Ok((kernel, ControlClient::new(signer), discoveries))
}

/// Registers this balancer as a seed in the store while it is a relay of its failure domain.
///
/// A few seeds a domain are enough to find the fleet. With all balancers as seeds, the renewals of their
/// leases would grow with the fleet.
async fn register_while_relay(
    store: Arc<dyn Store>,
    options: DaemonOptions,
    directory: Arc<Directory>,
) {
    let key = format!("{}{}", options.seed_prefix, options.control);
    let mut changes = directory.changes();
    // A process that has just started knows no other balancers and would take itself for a relay.
    tokio::time::sleep(SEED_REGISTER_DELAY).await;
    loop {
        let is_relay = is_relay(&directory.view(), &options);
        let changed = async {
            while changes.changed().await.is_ok() {
                if self::is_relay(&directory.view(), &options) != is_relay {
                    return;
                }
            }
            std::future::pending().await
        };
        tokio::select! {
            () = changed => {}
            () = maintain_seed(store.clone(), key.clone(), options.control), if is_relay => {}
        }
    }
}

fn is_relay(view: &View, options: &DaemonOptions) -> bool {
    relays(view, &options.domain).contains(&options.address)
}

/// Reads the seeds in the store when [`seed_need`] asks for it, and sends them to the membership.
///
/// The seeds in the settings may start late or be gone when the whole fleet starts again, so the first
/// read comes at once.
async fn discover_seeds(
    store: Arc<dyn Store>,
    options: DaemonOptions,
    role: Role,
    directory: Arc<Directory>,
    discoveries: mpsc::Sender<Discovery>,
) {
    let mut checks = 0;
    loop {
        let need = seed_need(&directory.view(), options.address, &options.domain, role);
        let is_needed = match need {
            SeedNeed::Now => true,
            SeedNeed::Periodic => checks >= SEED_REFRESH_CHECKS,
            SeedNeed::Never => false,
        };
        if is_needed {
            checks = 0;
            let seeds = find_seeds(store.as_ref(), &options.seed_prefix).await;
            if discoveries.send(Discovery::Seeds(seeds)).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(SEED_CHECK_INTERVAL).await;
        checks += 1;
    }
}

/// When a process needs to read the seeds in the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SeedNeed {
    /// At this check: an agent knows no balancer, or a balancer knows no other process. Only
    /// balancers publish themselves as seeds.
    Now,
    /// Every few checks, to rejoin the other part of a partitioned fleet.
    Periodic,
    /// Not at all: an agent knows a balancer, or a balancer is no relay. Relays read the seeds for all.
    Never,
}

/// Returns when the process at `own_address` needs to read the seeds in the store.
pub fn seed_need(view: &View, own_address: SocketAddrV4, domain: &str, role: Role) -> SeedNeed {
    let members = view.members.values();
    let mut others =
        members.filter(|record| record.address != own_address && !record.state.is_gone());
    match role {
        Role::Balancer if others.next().is_some() => {
            match relays(view, domain).contains(&own_address) {
                true => SeedNeed::Periodic,
                false => SeedNeed::Never,
            }
        }
        Role::Agent if others.any(|record| record.role == Role::Balancer) => SeedNeed::Never,
        _ => SeedNeed::Now,
    }
}

async fn bind(address: SocketAddrV4) -> Result<UdpSocket, StartError> {
    let socket = UdpSocket::bind(address).await;
    socket.context(BindSnafu { address })
}
