//! Where everything runs: addresses on loopback, ports, and settings files.

use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddrV4, TcpListener},
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
};

use berylvalve_platform_standin::vm::{INTERNAL_PORT_COUNT, Ports, Vm};
use serde::{Serialize, Serializer};

/// Failure domains.
pub const DOMAINS: usize = 3;

/// Time between two reports of a backend server, in milliseconds.
pub const REPORT_MS: u64 = 700;

/// Attempts to find neighbouring free ports.
const TRIES: usize = 50;

/// Runs that this process has begun.
static RUNS: AtomicU32 = AtomicU32::new(0);

/// How many processes and callers there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct Size {
    /// Balancers.
    pub balancers: usize,
    /// Agents, each beside a backend server.
    pub agents: usize,
    /// Callers.
    pub callers: usize,
}

/// The usual size of a run.
pub const USUAL_SIZE: Size = Size {
    balancers: 6,
    agents: 9,
    callers: 60,
};

/// The size of the largest site.
pub const LARGEST_SITE: Size = Size {
    balancers: 91,
    agents: 204,
    callers: 250,
};

impl Size {
    /// Returns the number of processes of a role.
    pub fn count(self, balancers: bool) -> usize {
        match balancers {
            true => self.balancers,
            false => self.agents,
        }
    }
}

/// A process of the system.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Place {
    /// A balancer.
    Balancer(usize),
    /// An agent.
    Agent(usize),
}

impl Place {
    /// Returns the name of the role.
    pub fn role(self) -> &'static str {
        match self {
            Place::Balancer(_) => "balancer",
            Place::Agent(_) => "agent",
        }
    }

    /// Returns the path of the process's log in the folder of a run.
    pub fn log(self, folder: &Path) -> PathBuf {
        folder.join(format!("{self}.log"))
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Balancer(index) | Place::Agent(index) => write!(f, "{}-{index}", self.role()),
        }
    }
}

impl Serialize for Place {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

/// Addresses and ports of a run.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Ports, the same at all addresses.
    pub ports: Ports,
    /// Port of the store and of the ways to it.
    pub store_port: u16,
    /// Second number of all addresses, 127.net.kind.index.
    net: u8,
}

impl Layout {
    /// Chooses addresses from the id of this process, and ports that are free.
    ///
    /// # Errors
    ///
    /// Fails if no ports are free.
    pub fn choose() -> io::Result<Self> {
        // 127.0.0.x is what everything else on a machine uses; runs at the same time differ.
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let net = (std::process::id().wrapping_add(run) % 250) as u8 + 1;
        let ip = Ipv4Addr::new(127, net, 0, 1);
        let single: Vec<TcpListener> = (0..6)
            .map(|_| TcpListener::bind((ip, 0)))
            .collect::<io::Result<_>>()?;
        let mut numbers = Vec::with_capacity(single.len());
        for listener in &single {
            numbers.push(listener.local_addr()?.port());
        }
        Ok(Self {
            ports: Ports {
                datagram: numbers[0],
                ready: numbers[1],
                control: numbers[2],
                outbound: numbers[3],
                server: numbers[4],
                internal: neighbours(ip)?,
            },
            store_port: numbers[5],
            net,
        })
    }

    /// Returns the address of a machine.
    pub fn ip(&self, place: Place) -> Ipv4Addr {
        match place {
            Place::Balancer(index) => self.address(0, index),
            Place::Agent(index) => self.address(1, index),
        }
    }

    /// Returns the place of an address, or `None` if no process of the system is there.
    pub fn place(&self, ip: Ipv4Addr) -> Option<Place> {
        let [_, net, kind, index] = ip.octets();
        let index = usize::from(index).checked_sub(1)?;
        match kind {
            0 if net == self.net => Some(Place::Balancer(index)),
            1 if net == self.net => Some(Place::Agent(index)),
            _ => None,
        }
    }

    /// Returns the address of a caller.
    pub fn caller(&self, index: usize) -> Ipv4Addr {
        self.address(2, index)
    }

    /// Returns the index of the caller at an address.
    pub fn caller_index(&self, ip: Ipv4Addr) -> Option<usize> {
        let [_, _, kind, index] = ip.octets();
        usize::from(index).checked_sub(1).filter(|_| kind == 2)
    }

    /// Returns the address at which a process reaches the store.
    pub fn store_link(&self, place: Place) -> SocketAddrV4 {
        let ip = match place {
            Place::Balancer(index) => self.address(3, index),
            Place::Agent(index) => self.address(4, index),
        };
        SocketAddrV4::new(ip, self.store_port)
    }

    /// Returns the address of the store itself.
    pub fn store(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(5, 0), self.store_port)
    }

    /// Returns the machine of a process, which is told of the balancers at `seeds`.
    pub fn machine(&self, place: Place, service: Option<&str>, seeds: &[usize]) -> Vm {
        let (Place::Balancer(index) | Place::Agent(index)) = place;
        Vm {
            name: place.to_string(),
            ip: self.ip(place),
            domain: domain(index),
            service: service.map(str::to_owned),
            seeds: seeds
                .iter()
                .map(|seed| self.ip(Place::Balancer(*seed)))
                .collect(),
            store: self.store_link(place),
            report_interval_ms: REPORT_MS,
        }
    }

    fn address(&self, kind: u8, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net, kind, index as u8 + 1)
    }
}

/// Returns the failure domain of the process or caller of an index.
pub fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

/// Returns the first of some neighbouring free ports.
fn neighbours(ip: Ipv4Addr) -> io::Result<u16> {
    for _ in 0..TRIES {
        let first = TcpListener::bind((ip, 0))?;
        let port = first.local_addr()?.port();
        let rest =
            (1..INTERNAL_PORT_COUNT).all(|next| TcpListener::bind((ip, port + next)).is_ok());
        if rest {
            return Ok(port);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}
