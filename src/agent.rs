//! The agent: terminates callers' QUIC connections next to a backend server and runs their
//! requests.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use quinn::{
    ConnectionId, ConnectionIdGenerator, Endpoint, EndpointConfig, IdleTimeout, MtuDiscoveryConfig,
    ServerConfig, TransportConfig, VarInt, crypto::rustls::QuicServerConfig,
};
use quinn_proto::InvalidCid;
use snafu::{ResultExt, Snafu};
use tokio::net::UdpSocket;

use crate::{
    consts::{IDLE_TIMEOUT, KEEP_ALIVE_INTERVAL, OWNER_ID_BYTES, QUIC_MTU_BYTES},
    control::{ControlClient, ControlServer},
    decision::DecisionLog,
    kernel::{Kernel, KernelError},
    member::Directory,
    membership::{LocalRecord, Signer},
    metrics::Metrics,
    owner_id::{FleetKey, Keyring, Owner, Purpose},
    settings::ActiveSettings,
};

pub mod admission;
pub mod at_most_once;
pub mod capacity;
pub mod datagram_forwarding;
pub mod feed;
pub mod gate;
pub mod http;
pub mod identity;
pub mod job;
pub mod ledger;
pub mod offload;
pub mod peers;
pub mod pressure;
pub mod reply;
pub mod request_forwarding;
pub mod reset;
pub mod runner;
pub mod socket;
pub mod upstream;

use gate::Gate;
use identity::ReloadableIdentity;
use pressure::Pressure;
use request_forwarding::{ForwardedRequest, RequestForwarder};
use reset::ResetKeys;
use socket::{FrameSocket, SocketOptions};

/// Shortest time between two stateless resets: 10,000 per second, so that the other agents can
/// reset the flows of a dead agent within a second.
const MIN_RESET_INTERVAL: Duration = Duration::from_micros(100);

/// Receive window of a connection, in bytes.
pub const RECEIVE_WINDOW_BYTES: u32 = 64 << 20;

/// An error that prevents an agent from starting.
#[derive(Debug, Snafu)]
pub enum AgentError {
    /// The TLS library does not support TLS 1.3.
    #[snafu(display("can't configure TLS 1.3: {source}"))]
    Tls {
        /// The library's error.
        source: rustls::Error,
    },
    /// No cipher suite is usable for the Initial packets of QUIC.
    #[snafu(display("no cipher suite for QUIC: {source}"))]
    CipherSuites {
        /// The library's error.
        source: quinn::crypto::rustls::NoInitialCipherSuite,
    },
    /// The QUIC endpoint can't start.
    #[snafu(display("can't start the QUIC endpoint: {source}"))]
    Endpoint {
        /// The system's error.
        source: std::io::Error,
    },
    /// A component is missing from the kernel's registry.
    #[snafu(display("{source}"))]
    Kernel {
        /// The kernel's error.
        source: KernelError,
    },
}

/// Options of an agent.
#[derive(Debug)]
pub struct AgentOptions {
    /// Address, service and incarnation that the connection ids of the agent carry.
    pub owner: Owner,
    /// Name of the service in the settings; also the host name of its requests.
    pub service: String,
    /// Address of the backend server.
    pub server: std::net::SocketAddr,
    /// Requests that the backend server executes concurrently.
    pub slots: u32,
    /// Connections that the backend server accepts: those of the slots and those of feeds.
    pub server_connections: u32,
    /// Fleet keys; the first one encrypts, all decrypt.
    pub keys: Vec<FleetKey>,
    /// Certificate and private key of the service.
    pub identity: Arc<ReloadableIdentity>,
}

/// A running agent, registered in the kernel as [`Agent::NAME`].
#[derive(Debug)]
pub struct Agent {
    endpoint: Endpoint,
    handler: Arc<http::Handler>,
    socket: Arc<FrameSocket>,
}

impl Agent {
    /// Name of the component in the kernel's registry.
    pub const NAME: &'static str = "agent";

    /// Forwards new flows to other agents and sends GOAWAY on open connections.
    pub fn drain(&self) {
        self.socket.drain();
        self.handler.drain();
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.endpoint.open_connections()
    }

    /// Drops all datagrams in both directions from now on, to simulate a crash of the VM.
    pub fn simulate_crash(&self) {
        self.socket.simulate_crash();
    }

    /// Waits until no connection is open and no request is running that must finish: one with an
    /// idempotency key or one that another agent offloaded to this agent.
    pub async fn wait_drained(&self) {
        self.endpoint.wait_idle().await;
        self.handler.wait_idle().await;
    }
}

/// Starts an agent on its data socket and registers it in the kernel.
///
/// # Errors
///
/// Fails if TLS can't be configured, if a component is missing or if the endpoint can't start.
pub fn start(kernel: &Kernel, socket: UdpSocket, options: AgentOptions) -> Result<(), AgentError> {
    let keyring = Keyring::new(&options.keys, Purpose::Connection);
    let owner = options.owner;
    let pressure = Arc::new(Pressure::default());
    kernel.publish(Pressure::NAME, pressure.clone());
    let socket_options = SocketOptions {
        owner,
        keyring: keyring.clone(),
        clock: kernel.clock(),
        directory: kernel.find(Directory::NAME).context(KernelSnafu)?,
        metrics: kernel.find(Metrics::NAME).context(KernelSnafu)?,
        pressure: pressure.clone(),
    };
    let socket = Arc::new(FrameSocket::new(socket, socket_options));
    let forwarder = RequestForwarder {
        client: ControlClient::new(Signer::new(&options.keys)),
        clock: kernel.clock(),
        directory: kernel.find(Directory::NAME).context(KernelSnafu)?,
        local: kernel.find(LocalRecord::NAME).context(KernelSnafu)?,
    };
    let gate = start_gate(kernel, &options, pressure).context(KernelSnafu)?;
    let handler = Arc::new(http::Handler::new(
        kernel.clock(),
        http::HandlerComponents {
            decisions: kernel.find(DecisionLog::NAME).context(KernelSnafu)?,
            gate,
            local: kernel.find(LocalRecord::NAME).context(KernelSnafu)?,
            metrics: kernel.find(Metrics::NAME).context(KernelSnafu)?,
            settings: kernel.find(ActiveSettings::NAME).context(KernelSnafu)?,
        },
        &options,
        forwarder,
    ));
    add_request_handlers(kernel, &handler).context(KernelSnafu)?;
    let endpoint = Endpoint::new_with_abstract_socket(
        endpoint_config(&options.keys, keyring, owner),
        Some(server_config(options.identity.clone())?),
        socket.clone(),
        Arc::new(quinn::TokioRuntime),
    )
    .context(EndpointSnafu)?;
    kernel.publish(
        Agent::NAME,
        Arc::new(Agent {
            endpoint: endpoint.clone(),
            handler: handler.clone(),
            socket,
        }),
    );
    kernel.spawn(options.identity.reload_periodically());
    kernel.spawn(http::serve(endpoint, handler, kernel.stop_signal()));
    Ok(())
}

/// Registers the control handlers for requests of other agents.
fn add_request_handlers(kernel: &Kernel, handler: &Arc<http::Handler>) -> Result<(), KernelError> {
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let offload_handler = handler.clone();
    let handler = handler.clone();
    control.add_handler(
        request_forwarding::PATH,
        move |request: ForwardedRequest| {
            let handler = handler.clone();
            Box::pin(async move { handler.handle_forwarded(request).await })
        },
    );
    let handler = offload_handler;
    control.add_handler(offload::PATH, move |request: ForwardedRequest| {
        let handler = handler.clone();
        Box::pin(async move { handler.handle_offloaded(request).await })
    });
    Ok(())
}

/// Starts the gate in front of the backend server and registers it.
fn start_gate(
    kernel: &Kernel,
    options: &AgentOptions,
    pressure: Arc<Pressure>,
) -> Result<Arc<Gate>, KernelError> {
    let gate = Arc::new(Gate::new(
        kernel.clock(),
        (options.slots, options.server_connections),
        kernel.find(Directory::NAME)?,
        kernel.find(LocalRecord::NAME)?,
        pressure,
    ));
    kernel.publish(Gate::NAME, gate.clone());
    kernel.spawn(gate.clone().run());
    Ok(gate)
}

fn endpoint_config(keys: &[FleetKey], keyring: Keyring, owner: Owner) -> EndpointConfig {
    let mut config = EndpointConfig::new(Arc::new(ResetKeys::new(keys)));
    config.min_reset_interval(MIN_RESET_INTERVAL);
    config.cid_generator(move || Box::new(OwnerIdGenerator::new(keyring.clone(), owner)));
    config
}

fn server_config(identity: Arc<ReloadableIdentity>) -> Result<ServerConfig, AgentError> {
    let mut tls = rustls::ServerConfig::builder_with_provider(Arc::new(
        rustls::crypto::ring::default_provider(),
    ))
    .with_protocol_versions(&[&rustls::version::TLS13])
    .context(TlsSnafu)?
    .with_no_client_auth()
    .with_cert_resolver(identity);
    tls.alpn_protocols = vec![b"h3".to_vec()];
    let crypto = QuicServerConfig::try_from(tls).context(CipherSuitesSnafu)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport_config()));
    Ok(config)
}

/// Returns the QUIC transport configuration that agents and callers share.
pub fn transport_config() -> TransportConfig {
    let mut config = TransportConfig::default();
    config.receive_window(VarInt::from_u32(RECEIVE_WINDOW_BYTES));
    config.initial_mtu(QUIC_MTU_BYTES);
    config.min_mtu(QUIC_MTU_BYTES);
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(QUIC_MTU_BYTES);
    config.mtu_discovery_config(Some(discovery));
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    let idle = IdleTimeout::try_from(IDLE_TIMEOUT).expect("timeout fits");
    config.max_idle_timeout(Some(idle));
    config
}

/// Generates connection ids that contain the encrypted owner.
#[derive(Debug)]
pub struct OwnerIdGenerator {
    keyring: Keyring,
    owner: Owner,
}

impl OwnerIdGenerator {
    /// Returns a generator that encrypts `owner` with the first key of `keyring`.
    pub fn new(keyring: Keyring, owner: Owner) -> Self {
        Self { keyring, owner }
    }
}

impl ConnectionIdGenerator for OwnerIdGenerator {
    fn generate_cid(&mut self) -> ConnectionId {
        ConnectionId::new(&self.keyring.encrypt(&self.owner, rand::random()))
    }

    fn validate(&self, id: &ConnectionId) -> Result<(), InvalidCid> {
        let decrypted = self.keyring.decrypt(id);
        let is_same_service =
            decrypted.is_some_and(|(owner, _)| owner.service == self.owner.service);
        if is_same_service {
            Ok(())
        } else {
            Err(InvalidCid)
        }
    }

    fn cid_len(&self) -> usize {
        OWNER_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Returns the address that a data socket is bound to.
///
/// # Errors
///
/// Fails if the socket is not bound to an IPv4 address.
pub fn bound_address(socket: &UdpSocket) -> std::io::Result<SocketAddrV4> {
    match socket.local_addr()? {
        std::net::SocketAddr::V4(address) => Ok(address),
        std::net::SocketAddr::V6(_) => Err(std::io::Error::other("not an IPv4 address")),
    }
}
