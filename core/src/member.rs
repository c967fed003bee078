//! What processes tell each other about themselves, and the view computed from it.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
    sync::Arc,
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

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

impl MemberState {
    /// Returns whether the process has stopped or was given up.
    pub const fn is_gone(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }
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
    /// Returns whether this is another agent of the same service that takes new work.
    pub fn is_ready_peer(&self, own: &Record) -> bool {
        self.role == Role::Agent
            && self.service == own.service
            && self.state == MemberState::Ready
            && self.address != own.address
    }

    /// Returns whether this record replaces `other` of the same process.
    pub fn supersedes(&self, other: &Record) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }
}

/// Which agents a process knows, in a few bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownAgents {
    /// Their number.
    pub count: u32,
    /// Equal where the same ones are known.
    pub digest: u64,
}

impl KnownAgents {
    /// Returns whether `other` gives no reason to think that it knows agents that are missing here.
    pub fn covers(&self, other: &KnownAgents) -> bool {
        self.digest == other.digest || other.count < self.count
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
    /// Whether the process has fetched what its seeds knew when it joined.
    pub joined: bool,
}

impl View {
    /// Returns the view that follows `self` with other members.
    ///
    /// Only the tables of services whose candidates changed are built anew.
    pub fn next(&self, members: BTreeMap<SocketAddrV4, Record>) -> View {
        let changed = changed_services(&self.members, &members);
        let mut view = View {
            version: self.version + 1,
            members,
            tables: self.tables.clone(),
            earlier: self.earlier.clone(),
            joined: self.joined,
        };
        if changed.is_empty() {
            return view;
        }
        let mut candidates = candidates(&view.members, &changed);
        for service in changed {
            let built = candidates.remove(&service).map(|c| Table::build(&c));
            let old = view.tables.remove(&service);
            if let Some(old) = old.filter(|old| Some(old.as_ref()) != built.as_ref()) {
                view.earlier.insert(service, old);
            }
            if let Some(table) = built {
                view.tables.insert(service, Arc::new(table));
            }
        }
        view
    }

    /// Returns the agents that may hold flows.
    pub fn agents(&self) -> impl Iterator<Item = &Record> {
        self.members
            .values()
            .filter(|record| record.role == Role::Agent && !record.state.is_gone())
    }

    /// Returns a summary of [`View::agents`].
    pub fn known_agents(&self) -> KnownAgents {
        let mut digest = 0;
        let mut count = 0;
        for record in self.agents() {
            let ip = u64::from(record.address.ip().to_bits());
            let bytes = (ip << 16 | u64::from(record.address.port())).to_be_bytes();
            digest ^= xxh3_64(&bytes);
            count += 1;
        }
        KnownAgents { count, digest }
    }
}

/// Returns the services whose candidates differ between two sets of members.
fn changed_services(
    old: &BTreeMap<SocketAddrV4, Record>,
    new: &BTreeMap<SocketAddrV4, Record>,
) -> BTreeSet<ServiceTag> {
    let mut changed = BTreeSet::new();
    let mut olds = old.iter().peekable();
    let mut news = new.iter().peekable();
    loop {
        let order = match (olds.peek(), news.peek()) {
            (None, None) => return changed,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some((a, _)), Some((b, _))) => a.cmp(b),
        };
        let before = olds.next_if(|_| order.is_le()).map(|(_, r)| r);
        let after = news.next_if(|_| order.is_ge()).map(|(_, r)| r);
        if before.and_then(standing) == after.and_then(standing) {
            continue;
        }
        changed.extend(before.and_then(standing).map(|s| s.service));
        changed.extend(after.and_then(standing).map(|s| s.service));
    }
}

/// What placement takes from a record.
#[derive(Clone, Copy, Eq, PartialEq)]
struct Standing {
    service: ServiceTag,
    suspect: bool,
    weight: u16,
}

fn standing(record: &Record) -> Option<Standing> {
    let usable = matches!(record.state, MemberState::Ready | MemberState::Suspect);
    (record.role == Role::Agent && usable).then_some(Standing {
        service: record.service,
        suspect: record.state == MemberState::Suspect,
        weight: record.weight,
    })
}

/// Returns the candidates of some services: suspects only where nothing better is there.
fn candidates(
    members: &BTreeMap<SocketAddrV4, Record>,
    services: &BTreeSet<ServiceTag>,
) -> HashMap<ServiceTag, Vec<Candidate>> {
    let mut ready: HashMap<ServiceTag, Vec<Candidate>> = HashMap::new();
    let mut suspects: HashMap<ServiceTag, Vec<Candidate>> = HashMap::new();
    for record in members.values() {
        let Some(standing) = standing(record) else {
            continue;
        };
        if !services.contains(&standing.service) {
            continue;
        }
        let group = match standing.suspect {
            true => &mut suspects,
            false => &mut ready,
        };
        let candidate = Candidate {
            address: record.address,
            weight: record.weight,
        };
        group.entry(standing.service).or_default().push(candidate);
    }
    for (service, group) in suspects {
        ready.entry(service).or_insert(group);
    }
    ready
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

    /// Notes that the process has fetched what its seeds knew.
    pub fn set_joined(&self) {
        let mut view = View::clone(&self.view.load());
        view.version += 1;
        view.joined = true;
        let version = view.version;
        self.view.store(Arc::new(view));
        self.changes.send_replace(version);
    }

    /// Returns a receiver that learns each new version.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
