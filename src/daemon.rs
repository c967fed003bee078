//! A whole daemon process: its kernel and the services of its role.

use std::{io, net::SocketAddrV4, sync::Arc, time::Duration};

use snafu::{ResultExt, Snafu};
use tokio::net::{TcpListener, UdpSocket};

use crate::{
    agent::{
        self, Agent, AgentError, AgentOptions, bound_address,
        identity::{IdentityError, IdentityFiles, ReloadableIdentity},
    },
    balancer::{self, BalancerError, BalancerOptions},
    clock::unix_ms,
    config::{
        daemon::{AgentSettings, BalancerSettings, DaemonSettings},
        tree::Region,
    },
    control::{self, ControlClient, ControlServer},
    decision::DecisionLog,
    kernel::{Kernel, KernelError},
    member::{Directory, MemberState, Record, Role},
    membership::{self, LocalRecord, Signer},
    metrics::Metrics,
    observe,
    operations::{self, DrainRequest},
    owner_id::{Incarnation, Keyring, Owner, Purpose, ServiceTag},
    seeds::find_seeds,
    settings::{self, ActiveSettings, ResolvedSettings, layout::Layout},
    store::{EtcdStore, Store},
};

/// Attempts to find a port that is free for TCP and UDP.
const BIND_ATTEMPTS: u32 = 20;

/// Time in which a balancer that is not ready forwards what the fabric still sends.
const BALANCER_LINGER: Duration = Duration::from_secs(2);

/// An error at the start of a daemon.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    /// An agent can't start.
    #[snafu(display("agent: {source}"))]
    Agent {
        /// The agent's error.
        source: AgentError,
    },
    /// A balancer can't start.
    #[snafu(display("balancer: {source}"))]
    Balancer {
        /// The balancer's error.
        source: BalancerError,
    },
    /// A socket can't be opened.
    #[snafu(display("socket {address}: {source}"))]
    Bind {
        /// The address.
        address: SocketAddrV4,
        /// The system's error.
        source: io::Error,
    },
    /// The certificate of the service does not hold.
    #[snafu(display("{source}"))]
    Identity {
        /// The certificate's error.
        source: IdentityError,
    },
    /// A service of the kernel is missing.
    #[snafu(display("{source}"))]
    Kernel {
        /// The kernel's error.
        source: KernelError,
    },
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    /// The kernel, for its registry.
    pub kernel: Kernel,
    /// Address of the data socket.
    pub data: SocketAddrV4,
    /// Address of the control socket.
    pub control: SocketAddrV4,
}

impl Daemon {
    /// Starts the services of a role.
    ///
    /// # Errors
    ///
    /// Fails if a socket, a certificate or a service can't be opened.
    pub async fn start(settings: &DaemonSettings) -> Result<Self, DaemonError> {
        let kernel = Kernel::new();
        let (data_socket, data) = bind(settings.data).await?;
        let (listener, control_socket, control) = bind_control(settings.control).await?;
        let service = served_tag(settings);
        let record = Record {
            address: data,
            control,
            incarnation: new_incarnation(),
            domain: settings.domain.clone(),
            role: settings.role,
            service,
            state: MemberState::Ready,
            weight: 100,
            version: 0,
            revision: 0,
        };
        let owner = Owner {
            address: data,
            service,
            incarnation: record.incarnation,
        };
        publish_services(&kernel, record, &settings.tree);
        let signer = Signer::new(&settings.fleet_keys());
        control::start(&kernel, listener, signer.clone()).context(KernelSnafu)?;
        operations::publish(&kernel).context(KernelSnafu)?;
        let store = open_store(settings);
        let mut seeds = settings.seeds.clone();
        if let Some(store) = &store {
            let prefix = Layout::new(&settings.tree.region).seeds_prefix();
            seeds.extend(find_seeds(store.as_ref(), &prefix).await);
            seeds.sort_unstable();
            seeds.dedup();
        }
        let client = ControlClient::new(signer.clone());
        seeds.retain(|seed| *seed != control);
        settings::driver::start(&kernel, &settings.tree, &seeds, store, client)
            .await
            .context(KernelSnafu)?;
        membership::start(&kernel, control_socket, signer, seeds).context(KernelSnafu)?;
        if let (Role::Balancer, Some(balancer)) = (settings.role, &settings.balancer) {
            start_balancer(&kernel, data_socket, data, settings, balancer)?;
        } else if let Some(agent) = &settings.agent {
            start_agent(&kernel, data_socket, owner, settings, agent)?;
        }
        observe::start(&kernel).context(KernelSnafu)?;
        serve_when_ready(&kernel, settings.role).context(KernelSnafu)?;
        tracing::info!(event = "started", role = ?settings.role, %data, %control, domain = settings.domain);
        Ok(Self {
            kernel,
            data,
            control,
        })
    }

    /// Waits until an operator asks the daemon to stop.
    pub async fn drain_requested(&self) {
        match self.kernel.find::<DrainRequest>(DrainRequest::NAME) {
            Ok(request) => request.wait().await,
            Err(_) => std::future::pending().await,
        }
    }

    /// Takes no new work, waits until nothing is open, and stops.
    pub async fn shut_down(&self) {
        let local = self.kernel.find::<LocalRecord>(LocalRecord::NAME);
        if let Ok(local) = &local {
            local.update(|record| record.state = MemberState::Draining);
        }
        if let Ok(control) = self.kernel.find::<ControlServer>(ControlServer::NAME) {
            control.mark_stopping();
        }
        tracing::info!(event = "draining", data = %self.data);
        if let Ok(agent) = self.kernel.find::<Agent>(Agent::NAME) {
            agent.drain();
            agent.wait_drained().await;
        } else {
            self.linger().await;
        }
        if let Ok(local) = &local {
            local.update(|record| record.state = MemberState::Left);
        }
        tokio::time::sleep(2 * crate::consts::PROPAGATION_DELAY).await;
        self.kernel.stop().await;
        tracing::info!(event = "stopped", data = %self.data);
    }

    /// Forwards what still comes until the fabric has seen that the balancer is not ready.
    async fn linger(&self) {
        tokio::time::sleep(BALANCER_LINGER).await;
    }

    /// Stops at once, as if the VM had died.
    pub async fn kill(&self) {
        if let Ok(agent) = self.kernel.find::<Agent>(Agent::NAME) {
            agent.simulate_crash();
        }
        self.kernel.stop().await;
    }
}

/// Publishes the services that need no other one.
fn publish_services(kernel: &Kernel, record: Record, tree: &Region) {
    kernel.publish(Directory::NAME, Arc::new(Directory::default()));
    kernel.publish(LocalRecord::NAME, Arc::new(LocalRecord::new(record)));
    let metrics = Arc::new(Metrics::default());
    let decisions = Arc::new(DecisionLog::default());
    let help = "Decisions that were not logged because the rate was used up";
    metrics.register("decisions_not_logged", help, decisions.unlogged().clone());
    kernel.publish(Metrics::NAME, metrics);
    kernel.publish(DecisionLog::NAME, decisions);
    let plan = ResolvedSettings::resolve(tree.clone(), 0);
    kernel.publish(ActiveSettings::NAME, Arc::new(ActiveSettings::new(plan)));
}

fn start_balancer(
    kernel: &Kernel,
    socket: UdpSocket,
    own: SocketAddrV4,
    settings: &DaemonSettings,
    balancer: &BalancerSettings,
) -> Result<(), DaemonError> {
    let options = BalancerOptions {
        address: own,
        fabric: balancer.fabric,
        keyring: Keyring::new(&settings.fleet_keys(), Purpose::Connection),
    };
    balancer::start(kernel, socket, options).context(BalancerSnafu)
}

fn start_agent(
    kernel: &Kernel,
    socket: UdpSocket,
    owner: Owner,
    settings: &DaemonSettings,
    agent: &AgentSettings,
) -> Result<(), DaemonError> {
    let files = IdentityFiles {
        certificate: agent.certificate.clone(),
        private_key: agent.private_key.clone(),
    };
    let options = AgentOptions {
        owner,
        service: agent.service.clone(),
        server: agent.server,
        slots: agent.slots,
        server_connections: agent.connections,
        keys: settings.fleet_keys(),
        identity: Arc::new(ReloadableIdentity::open(files).context(IdentitySnafu)?),
    };
    agent::start(kernel, socket, options).context(AgentSnafu)
}

fn open_store(settings: &DaemonSettings) -> Option<Arc<dyn Store>> {
    let store = settings.store.as_ref()?;
    Some(Arc::new(EtcdStore::new(store.endpoints.clone())))
}

/// Tells the fabric that the process takes datagrams: an agent at once, a balancer when it knows an
/// agent that takes new flows.
fn serve_when_ready(kernel: &Kernel, role: Role) -> Result<(), KernelError> {
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    if role == Role::Agent {
        control.mark_ready();
        return Ok(());
    }
    let directory: Arc<Directory> = kernel.find(Directory::NAME)?;
    kernel.spawn(async move {
        let mut changes = directory.changes();
        while directory.view().tables.is_empty() {
            if changes.changed().await.is_err() {
                return;
            }
        }
        control.mark_ready();
        tracing::info!(event = "ready");
    });
    Ok(())
}

fn served_tag(settings: &DaemonSettings) -> ServiceTag {
    let name = settings.agent.as_ref().map(|agent| agent.service.as_str());
    let service = name.and_then(|name| settings.tree.services.get(name));
    service.map_or(ServiceTag(0), |service| service.tag)
}

async fn bind(address: SocketAddrV4) -> Result<(UdpSocket, SocketAddrV4), DaemonError> {
    let socket = UdpSocket::bind(address)
        .await
        .context(BindSnafu { address })?;
    let bound = bound_address(&socket).context(BindSnafu { address })?;
    Ok((socket, bound))
}

/// Binds the control address for TCP and UDP; both get the same port.
async fn bind_control(
    address: SocketAddrV4,
) -> Result<(TcpListener, UdpSocket, SocketAddrV4), DaemonError> {
    let mut attempts = 0;
    loop {
        let (socket, bound) = bind(address).await?;
        match TcpListener::bind(bound).await {
            Ok(listener) => return Ok((listener, socket, bound)),
            Err(source) if address.port() != 0 || attempts == BIND_ATTEMPTS => {
                return Err(DaemonError::Bind { address, source });
            }
            Err(_) => attempts += 1,
        }
    }
}

/// Returns an incarnation that grows with the wall clock, in tenths of a second.
fn new_incarnation() -> Incarnation {
    Incarnation((unix_ms() / 100) as u32)
}
