//! A stand-in for the fabric: sprays each datagram over the balancers.

use std::{
    collections::{BTreeMap, HashMap},
    io,
    net::{SocketAddr, SocketAddrV4},
    sync::{Arc, Mutex, RwLock},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::net::UdpSocket;

use crate::{
    consts::MAX_DATAGRAM_BYTES,
    kernel::Kernel,
    proxy_header::{self, Endpoints},
};

/// A running fabric.
#[derive(Debug)]
pub struct Fabric {
    balancers: Arc<RwLock<Vec<SocketAddrV4>>>,
    callers: Callers,
    inside: Arc<UdpSocket>,
}

/// Addresses of callers, and whether the fabric has lost track of them.
type Callers = Arc<Mutex<BTreeMap<SocketAddr, bool>>>;

impl Fabric {
    /// Opens the socket that balancers answer to.
    ///
    /// # Errors
    ///
    /// Fails if the socket can't be opened.
    pub async fn start(kernel: &Kernel, services: Vec<UdpSocket>, seed: u64) -> io::Result<Self> {
        let inside = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let balancers = Arc::new(RwLock::new(Vec::new()));
        let callers = Callers::default();
        let mut sockets = HashMap::new();
        for (index, socket) in services.into_iter().enumerate() {
            let address = socket.local_addr()?;
            let socket = Arc::new(socket);
            sockets.insert(address, socket.clone());
            let random = SmallRng::seed_from_u64(seed + index as u64);
            kernel.spawn(spray(
                socket,
                address,
                inside.clone(),
                balancers.clone(),
                callers.clone(),
                random,
            ));
        }
        kernel.spawn(give_back(inside.clone(), sockets, callers.clone()));
        Ok(Self {
            balancers,
            callers,
            inside,
        })
    }

    /// Returns the address that balancers send answers to.
    ///
    /// # Errors
    ///
    /// Fails if the socket is gone.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.inside.local_addr()
    }

    /// Returns the addresses of callers that were heard and are not lost.
    pub fn callers(&self) -> Vec<SocketAddr> {
        let callers = self.callers.lock().expect("callers lock");
        let known = callers.iter().filter(|(_, lost)| !**lost);
        known.map(|(address, _)| *address).collect()
    }

    /// Drops all datagrams from and to a caller's address from now.
    pub fn forget(&self, caller: SocketAddr) {
        let mut callers = self.callers.lock().expect("callers lock");
        callers.insert(caller, true);
    }

    /// Sets the balancers that get datagrams from now.
    pub fn set_balancers(&self, balancers: Vec<SocketAddrV4>) {
        *self.balancers.write().expect("balancers lock") = balancers;
    }
}

async fn spray(
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    inside: Arc<UdpSocket>,
    balancers: Arc<RwLock<Vec<SocketAddrV4>>>,
    callers: Callers,
    mut random: SmallRng,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut datagram = Vec::with_capacity(2 * MAX_DATAGRAM_BYTES);
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        if *callers
            .lock()
            .expect("callers lock")
            .entry(source)
            .or_default()
        {
            continue;
        }
        let chosen = {
            let balancers = balancers.read().expect("balancers lock");
            if balancers.is_empty() {
                continue;
            }
            balancers[random.random_range(0..balancers.len())]
        };
        let endpoints = Endpoints {
            source,
            destination: address,
        };
        proxy_header::encode(endpoints, &buffer[..length], &mut datagram);
        let _ = inside.send_to(&datagram, chosen).await;
    }
}

async fn give_back(
    inside: Arc<UdpSocket>,
    sockets: HashMap<SocketAddr, Arc<UdpSocket>>,
    callers: Callers,
) {
    let mut buffer = vec![0; 2 * MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, _)) = inside.recv_from(&mut buffer).await else {
            continue;
        };
        let Some((endpoints, payload)) = proxy_header::decode(&buffer[..length]) else {
            continue;
        };
        let lost = callers
            .lock()
            .expect("callers lock")
            .get(&endpoints.destination)
            .copied();
        if lost == Some(true) {
            continue;
        }
        let Some(socket) = sockets.get(&endpoints.source) else {
            continue;
        };
        let _ = socket.send_to(payload, endpoints.destination).await;
    }
}
