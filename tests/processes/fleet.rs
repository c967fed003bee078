//! A small fleet of separate processes for one site.

use std::{
    collections::BTreeMap,
    fs,
    io::BufReader,
    net::{SocketAddr, SocketAddrV4},
    path::PathBuf,
};

use berylvalve::{
    config::{
        daemon::{AgentSettings, BalancerSettings, DaemonSettings, KeySettings, StoreSettings},
        fleet::FleetSettings,
        site::{ServerGroup, Site},
        tree::Region,
    },
    dev,
    member::Role,
    standin::server::{Conduct, ServerOptions},
};

use rustls::pki_types::CertificateDer;

use crate::process::Process;

const SERVERS_PER_SERVICE: usize = 2;
const LOOPBACK: &str = "127.0.0.1:0";

/// Running daemons and stand-ins.
pub struct Fleet {
    pub agents: Vec<Process>,
    pub balancers: Vec<Process>,
    pub folder: PathBuf,
    pub store: Option<Process>,
    pub tree: Region,
    addresses: Vec<String>,
    certificate: PathBuf,
    fabric: Process,
    inside: SocketAddr,
    private_key: PathBuf,
    seeds: Vec<String>,
    servers: Vec<Process>,
    store_address: Option<SocketAddrV4>,
    site: Site,
}

impl Fleet {
    /// Starts the stand-ins, two balancers, and two agents for each service.
    pub async fn start(name: &str) -> Self {
        let mut fleet = Self::without_agents(name).await;
        fleet.start_agents().await;
        fleet
    }

    /// Starts the same on a store that is empty.
    pub async fn start_with_store(name: &str) -> Self {
        let store = Process::tool(&["stand-in", "store"]);
        let mut fleet = Self::start_balancers(name, Some(store)).await;
        fleet.start_agents().await;
        fleet
    }

    /// Starts the fabric and two balancers.
    pub async fn without_agents(name: &str) -> Self {
        Self::start_balancers(name, None).await
    }

    async fn start_agents(&mut self) {
        let services: Vec<String> = self.tree.services.keys().cloned().collect();
        for service in &services {
            for _ in 0..SERVERS_PER_SERVICE {
                self.start_agent(service).await;
            }
        }
    }

    async fn start_balancers(name: &str, mut store: Option<Process>) -> Self {
        let store_address = match &mut store {
            Some(store) => Some(store.output_after("listening").await.parse().unwrap()),
            None => None,
        };
        let site = dev::site(name).unwrap();
        let folder =
            std::env::temp_dir().join(format!("berylvalve-test-{:016x}", rand::random::<u64>()));
        fs::create_dir_all(&folder).unwrap();
        let mut tree = site.tree.clone();
        let mut fabric = Process::tool(&["stand-in", "fabric", &tree.services.len().to_string()]);
        for service in tree.services.values_mut() {
            service.address = fabric.output_after("service").await.parse().unwrap();
        }
        let inside = fabric.output_after("inside").await.parse().unwrap();
        let names: Vec<String> = tree.services.keys().cloned().collect();
        let made = rcgen::generate_simple_self_signed(names).unwrap();
        let certificate = folder.join("certificate.pem");
        let private_key = folder.join("private-key.pem");
        fs::write(&certificate, made.cert.pem()).unwrap();
        fs::write(&private_key, made.signing_key.serialize_pem()).unwrap();
        let mut fleet = Self {
            agents: Vec::new(),
            balancers: Vec::new(),
            folder,
            store,
            tree,
            addresses: Vec::new(),
            certificate,
            fabric,
            inside,
            private_key,
            seeds: Vec::new(),
            servers: Vec::new(),
            store_address,
            site,
        };
        for _ in 0..2 {
            fleet.start_balancer().await;
        }
        let balancers = fleet.addresses.join(" ");
        fleet.fabric.send(&balancers).await;
        fleet
    }

    async fn start_balancer(&mut self) {
        let mut settings = self.settings(Role::Balancer, self.balancers.len());
        settings.balancer = Some(BalancerSettings {
            fabric: self.inside,
        });
        let file = self.write(
            &format!("balancer-{}.json", self.balancers.len()),
            &settings,
        );
        let mut process = Process::daemon(&file);
        let started = values(&process.event("started").await);
        self.addresses.push(started["data"].clone());
        self.seeds.push(started["control"].clone());
        self.balancers.push(process);
    }

    async fn start_agent(&mut self, service: &str) {
        let group = self.group(service);
        let mut answers = Vec::new();
        let mut feeds = Vec::new();
        for entry in self
            .site
            .mix
            .iter()
            .filter(|entry| entry.service == service)
        {
            let path = self.tree.services[service].requests[&entry.request]
                .path
                .clone();
            match entry.open {
                0 => answers.push((path, entry.answer_bytes)),
                _ => feeds.push(path),
            }
        }
        let options = ServerOptions {
            service: service.to_owned(),
            work_ms: group.service_ms[0],
            slots: group.slots as usize,
            answers,
            feeds,
            conduct: Conduct::default(),
        };
        let number = self.agents.len();
        let file = self.folder.join(format!("server-{number}.json"));
        fs::write(&file, serde_json::to_string(&options).unwrap()).unwrap();
        let mut server = Process::tool(&["stand-in", "server", file.to_str().unwrap()]);
        let address = server.output_after("listening").await;
        self.servers.push(server);
        self.attach_agent(service, address.parse().unwrap()).await;
    }

    /// Starts an agent beside a backend server that is already there.
    pub async fn attach_agent(&mut self, service: &str, server: SocketAddr) {
        let group = self.group(service);
        let number = self.agents.len();
        let mut settings = self.settings(Role::Agent, number);
        settings.agent = Some(AgentSettings {
            service: service.to_owned(),
            server,
            slots: group.slots,
            connections: group.connections,
            certificate: self.certificate.clone(),
            private_key: self.private_key.clone(),
        });
        let file = self.write(&format!("agent-{number}.json"), &settings);
        let mut agent = Process::daemon(&file);
        agent.event("started").await;
        self.agents.push(agent);
    }

    fn group(&self, service: &str) -> &ServerGroup {
        let mut groups = self.site.servers.iter();
        groups.find(|group| group.service == service).unwrap()
    }

    /// Returns the certificate that callers trust.
    pub fn roots(&self) -> Vec<CertificateDer<'static>> {
        let mut file = BufReader::new(fs::File::open(&self.certificate).unwrap());
        rustls_pemfile::certs(&mut file)
            .map(Result::unwrap)
            .collect()
    }

    fn settings(&self, role: Role, number: usize) -> DaemonSettings {
        DaemonSettings {
            role,
            domain: self.site.domains[number % self.site.domains.len()].clone(),
            data: LOOPBACK.parse().unwrap(),
            control: LOOPBACK.parse().unwrap(),
            seeds: self
                .seeds
                .iter()
                .map(|seed| seed.parse().unwrap())
                .collect(),
            keys: vec![KeySettings {
                id: 1,
                secret: "00112233445566778899aabbccddeeff".to_owned(),
            }],
            tree: self.tree.clone(),
            store: self.store_settings(),
            agent: None,
            balancer: None,
        }
    }

    fn write(&self, name: &str, settings: &DaemonSettings) -> PathBuf {
        let file = self.folder.join(name);
        fs::write(&file, serde_json::to_string_pretty(settings).unwrap()).unwrap();
        file
    }

    fn store_settings(&self) -> Option<StoreSettings> {
        let address = self.store_address?;
        Some(StoreSettings {
            endpoints: vec![address],
        })
    }

    /// Returns the address of the store.
    pub fn store_address(&self) -> String {
        self.store_address
            .map_or(String::new(), |address| address.to_string())
    }

    /// Writes the operators' tree.
    pub fn tree_file(&self) -> String {
        let file = self.folder.join("tree.json");
        fs::write(&file, serde_json::to_string(&self.tree).unwrap()).unwrap();
        file.to_str().unwrap().to_owned()
    }

    /// Writes the file with which the tool reaches the fleet.
    pub fn access_file(&self) -> String {
        let file = self.folder.join("fleet.json");
        let settings = self.settings(Role::Balancer, 0);
        let access = FleetSettings {
            keys: settings.keys,
            peers: settings.seeds,
            region: self.store.as_ref().map(|_| self.tree.region.clone()),
            store: self.store_settings(),
        };
        fs::write(&file, serde_json::to_string(&access).unwrap()).unwrap();
        file.to_str().unwrap().to_owned()
    }

    /// Returns the arguments of a call, with the options that come first.
    pub fn call<'a>(&'a self, service: &'a str, rest: &[&'a str]) -> Vec<String> {
        let address = self.tree.services[service].address.to_string();
        let root = self.certificate.to_str().unwrap();
        let mut args = vec!["call", "--root", root, "--service", service, &address];
        args.extend_from_slice(rest);
        args.into_iter().map(str::to_owned).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the pairs of a log line.
pub fn values(line: &str) -> BTreeMap<String, String> {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs.map(|(k, v)| (k.to_owned(), v.to_owned())).collect()
}
