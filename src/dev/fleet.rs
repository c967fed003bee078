//! The processes of a site: balancers, backend servers with their agents, and the fabric.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{Arc, Mutex},
    time::Duration,
};

use snafu::ResultExt;
use tokio::net::UdpSocket;

use super::{DevError, StandInSnafu, StartSnafu, certificate::DevCertificate};
use crate::{
    config::{
        daemon::{AgentSettings, BalancerSettings, DaemonSettings, KeySettings, StoreSettings},
        fleet::FleetSettings,
        site::{ServerGroup, Site},
        tree::Region,
    },
    consts::PROPAGATION_DELAY,
    control::ControlServer,
    daemon::Daemon,
    kernel::Kernel,
    member::{Directory, MemberState, Role},
    operations::DrainRequest,
    settings::{change::Change, client::SettingsClient, edit::Outcome},
    standin::{
        fabric::Fabric,
        kv::Kv,
        server::{Conduct, Server, ServerOptions},
    },
    store::EtcdStore,
};

const LOOPBACK: &str = "127.0.0.1:0";
/// Interval between two health checks of the fabric.
pub const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
const JOIN_TIMEOUT: Duration = Duration::from_secs(5);

/// A backend server with the agent beside it.
#[derive(Clone, Debug)]
pub struct Place {
    /// The agent.
    pub agent: Arc<Daemon>,
    /// The backend server.
    pub server: Arc<Server>,
    /// Index of the server's group in the site.
    pub group: usize,
    /// Index of the server in its group.
    pub index: usize,
}

/// The running processes of a site.
#[derive(Debug)]
pub struct Fleet {
    /// Balancers now in use.
    pub balancers: Mutex<Vec<Arc<Daemon>>>,
    /// Backend servers now in use.
    pub places: Mutex<Vec<Place>>,
    /// Every backend server there ever was, with its group.
    pub servers: Mutex<Vec<(usize, Arc<Server>)>>,
    /// Certificate of the services.
    pub certificate: DevCertificate,
    /// Settings with the addresses that are bound.
    pub tree: Region,
    /// The platform's key-value service.
    pub kv: Arc<Kv>,
    fabric: Fabric,
    kernel: Kernel,
    keys: Vec<KeySettings>,
    site: Site,
    store: EtcdStore,
}

impl Fleet {
    /// Starts all processes and waits until the balancers know all agents.
    ///
    /// # Errors
    ///
    /// Fails if a process or a stand-in can't start.
    pub async fn start(site: &Site, seed: u64) -> Result<Self, DevError> {
        let kernel = Kernel::new();
        let mut tree = site.tree.clone();
        let mut sockets = Vec::with_capacity(tree.services.len());
        for service in tree.services.values_mut() {
            let socket = UdpSocket::bind(service.address)
                .await
                .context(StandInSnafu)?;
            service.address = socket.local_addr().context(StandInSnafu)?;
            sockets.push(socket);
        }
        let fabric = Fabric::start(&kernel, sockets, seed)
            .await
            .context(StandInSnafu)?;
        let kv = Kv::start(&kernel).await.context(StandInSnafu)?;
        let certificate = DevCertificate::make(tree.services.keys().cloned().collect())?;
        let fleet = Self {
            balancers: Mutex::default(),
            places: Mutex::default(),
            servers: Mutex::default(),
            certificate,
            tree,
            store: EtcdStore::new(vec![kv.address()]),
            kv,
            fabric,
            kernel,
            keys: dev_keys(),
            site: site.clone(),
        };
        fleet.store_tree().await.context(StandInSnafu)?;
        for index in 0..site.balancers {
            let balancer = fleet.start_balancer(index).await?;
            fleet
                .balancers
                .lock()
                .expect("balancers lock")
                .push(balancer);
        }
        for (group, settings) in site.servers.iter().enumerate() {
            for index in 0..settings.service_ms.len() {
                let place = fleet.start_place(group, index).await?;
                fleet.places.lock().expect("places lock").push(place);
            }
        }
        fleet.write_access().context(StandInSnafu)?;
        fleet.wait_joined().await;
        fleet.publish_balancers();
        Ok(fleet)
    }

    /// Returns an operator of the fleet's settings.
    pub fn operator<'a>(&'a self, author: &'a str) -> SettingsClient<'a> {
        SettingsClient {
            store: &self.store,
            region: &self.tree.region,
            author,
            fleet: None,
        }
    }

    /// Returns the daemons now in use.
    pub fn daemons(&self) -> Vec<Arc<Daemon>> {
        let mut daemons = self.balancers.lock().expect("balancers lock").clone();
        let places = self.places.lock().expect("places lock");
        daemons.extend(places.iter().map(|place| place.agent.clone()));
        daemons
    }

    async fn store_tree(&self) -> std::io::Result<()> {
        let change = Change::Replace(self.tree.clone());
        match self.operator("dev").apply(change, None).await {
            (_, Outcome::Accepted { .. }) => Ok(()),
            (_, outcome) => Err(std::io::Error::other(format!("settings: {outcome:?}"))),
        }
    }

    fn store_settings(&self) -> StoreSettings {
        StoreSettings {
            endpoints: vec![self.kv.address()],
        }
    }

    /// Returns the stand-in for the fabric.
    pub fn fabric(&self) -> &Fabric {
        &self.fabric
    }

    /// Returns the address of a service.
    pub fn address(&self, service: &str) -> Option<SocketAddr> {
        self.tree.services.get(service).map(|s| s.address)
    }

    /// Starts a balancer.
    ///
    /// # Errors
    ///
    /// Fails if the process can't start.
    pub async fn start_balancer(&self, index: usize) -> Result<Arc<Daemon>, DevError> {
        let mut settings = self.settings(Role::Balancer, index);
        let fabric = self.fabric.address().context(StandInSnafu)?;
        settings.balancer = Some(BalancerSettings { fabric });
        start_daemon(&settings).await
    }

    /// Starts a backend server and its agent.
    ///
    /// # Errors
    ///
    /// Fails if one of them can't start.
    pub async fn start_place(&self, group: usize, index: usize) -> Result<Place, DevError> {
        let group_settings = &self.site.servers[group];
        let options = self.server_options(group_settings, index);
        let server = Server::start(&self.kernel, options)
            .await
            .context(StandInSnafu)?;
        let mut settings = self.settings(Role::Agent, index);
        settings.agent = Some(AgentSettings {
            service: group_settings.service.clone(),
            server: server.address(),
            slots: group_settings.slots,
            connections: group_settings.connections,
            certificate: self.certificate.certificate.clone(),
            private_key: self.certificate.private_key.clone(),
        });
        let agent = start_daemon(&settings).await?;
        self.servers
            .lock()
            .expect("servers lock")
            .push((group, server.clone()));
        Ok(Place {
            agent,
            server,
            group,
            index,
        })
    }

    /// Returns the file with which the tool reaches this fleet.
    pub fn access_file(&self) -> PathBuf {
        self.certificate.certificate.with_file_name("fleet.json")
    }

    /// Returns the file of the site with the addresses that are bound.
    pub fn site_file(&self) -> PathBuf {
        self.certificate.certificate.with_file_name("site.json")
    }

    fn write_access(&self) -> std::io::Result<()> {
        let balancers = self.balancers.lock().expect("balancers lock");
        let access = FleetSettings {
            keys: self.keys.clone(),
            peers: balancers.iter().map(|b| b.control).collect(),
            region: Some(self.tree.region.clone()),
            store: Some(self.store_settings()),
        };
        std::fs::write(self.access_file(), serde_json::to_vec_pretty(&access)?)?;
        let site = Site {
            tree: self.tree.clone(),
            ..self.site.clone()
        };
        std::fs::write(self.site_file(), serde_json::to_vec_pretty(&site)?)
    }

    /// Tells the fabric which balancers are in use.
    pub fn publish_balancers(&self) {
        let balancers = self.balancers.lock().expect("balancers lock");
        self.fabric
            .set_balancers(balancers.iter().map(|b| b.data).collect());
    }

    /// Checks the balancers for ever, as a fabric does, and sends to those that are ready.
    pub async fn watch_health(&self) {
        loop {
            tokio::time::sleep(HEALTH_INTERVAL).await;
            let balancers = self.balancers.lock().expect("balancers lock").clone();
            let ready = balancers.iter().filter(|b| is_ready(b));
            self.fabric.set_balancers(ready.map(|b| b.data).collect());
        }
    }

    /// Stops all processes.
    pub async fn stop(&self) {
        let balancers = std::mem::take(&mut *self.balancers.lock().expect("balancers lock"));
        let places = std::mem::take(&mut *self.places.lock().expect("places lock"));
        for place in places {
            place.agent.kill().await;
        }
        for balancer in balancers {
            balancer.kill().await;
        }
        self.kernel.stop().await;
    }

    async fn wait_joined(&self) {
        let deadline = tokio::time::Instant::now() + JOIN_TIMEOUT;
        let agents = self.places.lock().expect("places lock").len();
        while tokio::time::Instant::now() < deadline {
            let balancers = self.balancers.lock().expect("balancers lock").clone();
            if balancers.iter().all(|b| known_agents(b) >= agents) {
                return;
            }
            tokio::time::sleep(PROPAGATION_DELAY / 5).await;
        }
    }

    fn settings(&self, role: Role, index: usize) -> DaemonSettings {
        let domains = &self.site.domains;
        let balancers = self.balancers.lock().expect("balancers lock");
        DaemonSettings {
            role,
            domain: domains[index % domains.len()].clone(),
            data: LOOPBACK.parse().expect("valid address"),
            control: LOOPBACK.parse().expect("valid address"),
            seeds: balancers.iter().map(|b| b.control).collect(),
            keys: self.keys.clone(),
            tree: self.tree.clone(),
            store: Some(self.store_settings()),
            agent: None,
            balancer: None,
        }
    }

    fn server_options(&self, group: &ServerGroup, index: usize) -> ServerOptions {
        let mut answers = Vec::new();
        let mut feeds = Vec::new();
        let requests = &self.tree.services[&group.service].requests;
        for entry in self
            .site
            .mix
            .iter()
            .filter(|entry| entry.service == group.service)
        {
            let path = requests[&entry.request].path.clone();
            if requests[&entry.request].policy.feed == Some(true) {
                feeds.push(path);
            } else {
                answers.push((path, entry.answer_bytes));
            }
        }
        ServerOptions {
            service: group.service.clone(),
            work_ms: group.service_ms[index],
            slots: group.slots as usize,
            answers,
            feeds,
            conduct: Conduct::default(),
        }
    }
}

/// Returns a key of its own, so that fleets on one machine never mix.
fn dev_keys() -> Vec<KeySettings> {
    vec![KeySettings {
        id: 1,
        secret: format!("{:032x}", rand::random::<u128>()),
    }]
}

/// Starts a daemon that an operator can drain.
async fn start_daemon(settings: &DaemonSettings) -> Result<Arc<Daemon>, DevError> {
    let daemon = Arc::new(Daemon::start(settings).await.context(StartSnafu)?);
    let drained = Arc::downgrade(&daemon);
    let request: Option<Arc<DrainRequest>> = daemon.kernel.find(DrainRequest::NAME).ok();
    tokio::spawn(async move {
        let Some(request) = request else {
            return;
        };
        request.wait().await;
        if let Some(daemon) = drained.upgrade() {
            daemon.shut_down().await;
        }
    });
    Ok(daemon)
}

/// Returns whether the fabric may send to a daemon.
pub fn is_ready(daemon: &Daemon) -> bool {
    let control = daemon.kernel.find::<ControlServer>(ControlServer::NAME);
    control.is_ok_and(|control| control.is_ready())
}

fn known_agents(daemon: &Daemon) -> usize {
    let Ok(directory) = daemon.kernel.find::<Directory>(Directory::NAME) else {
        return 0;
    };
    let view = directory.view();
    let ready = view
        .members
        .values()
        .filter(|r| r.role == Role::Agent && r.state == MemberState::Ready);
    ready.count()
}
