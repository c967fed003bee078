//! What processes tell each other about themselves, and the view computed from it.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddrV4,
    sync::Arc,
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::{
    owner_id::{Incarnation, ServiceTag},
    placement::{Candidate, Table},
};

/// What a process does in the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Beside backend servers: ends flows and admits requests.
    Agent,
    /// On an entry VM: routes datagrams.
    Balancer,
}

/// Whether a process takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Takes new work.
    Ready,
    /// Finishes what it holds and takes nothing new.
    Draining,
    /// Has stopped as planned.
    Left,
    /// Does not answer; not yet given up.
    Suspect,
    /// Given up by the others.
    Dead,
}

/// What a process announces about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Address of the data socket; identifies the process in the fleet.
    pub address: SocketAddrV4,
    /// Address of the control socket.
    pub control: SocketAddrV4,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the VM.
    pub domain: String,
    /// Role of the process.
    pub role: Role,
    /// Service that an agent serves; zero for a balancer.
    pub service: ServiceTag,
    /// Whether it takes new work.
    pub state: MemberState,
    /// Relative share of new flows.
    pub weight: u16,
    /// Counts the changes of this record within one life.
    pub version: u64,
    /// Revision of the settings in force in the process.
    pub revision: u64,
}

impl Record {
    /// Returns whether this record replaces `other` of the same process.
    pub fn supersedes(&self, other: &Record) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }
}

/// An immutable snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Counts the changes of the view.
    pub version: u64,
    /// All known members by data address.
    pub members: BTreeMap<SocketAddrV4, Record>,
    /// Current placement table of each service.
    pub tables: HashMap<ServiceTag, Arc<Table>>,
    /// Placement tables before the last change.
    pub earlier: HashMap<ServiceTag, Arc<Table>>,
}

impl View {
    /// Returns the view that follows `self` with other members.
    pub fn next(&self, members: BTreeMap<SocketAddrV4, Record>) -> View {
        let mut candidates: HashMap<ServiceTag, Vec<Candidate>> = HashMap::new();
        for record in members.values() {
            if record.role != Role::Agent || record.state != MemberState::Ready {
                continue;
            }
            let candidate = Candidate {
                address: record.address,
                weight: record.weight,
            };
            candidates
                .entry(record.service)
                .or_default()
                .push(candidate);
        }
        let mut view = View {
            version: self.version + 1,
            members,
            tables: HashMap::with_capacity(candidates.len()),
            earlier: self.earlier.clone(),
        };
        for (service, candidates) in candidates {
            let table = Arc::new(Table::build(&candidates));
            match self.tables.get(&service) {
                Some(old) if *old != table => {
                    view.earlier.insert(service, old.clone());
                }
                _ => {}
            }
            view.tables.insert(service, table);
        }
        view
    }
}

/// The published view of one process, under the name [`Directory::NAME`].
#[derive(Debug)]
pub struct Directory {
    view: ArcSwap<View>,
    changes: watch::Sender<u64>,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            view: ArcSwap::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl Directory {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "directory";

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Computes and publishes the view of other members.
    pub fn publish(&self, members: BTreeMap<SocketAddrV4, Record>) {
        let next = self.view.load().next(members);
        let version = next.version;
        self.view.store(Arc::new(next));
        self.changes.send_replace(version);
    }

    /// Returns a receiver that learns each new version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
