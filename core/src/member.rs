//! Records that processes announce about themselves, and the fleet view computed from them.

use std::{
    cmp::Ordering,
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddrV4,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering::Relaxed},
    },
};

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    owner_id::{Incarnation, ServiceTag},
    placement::{Candidate, Table},
};

/// The role of a process in the fleet.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Runs beside backend servers, terminates flows and admits requests.
    Agent,
    /// Runs on an entry VM and routes datagrams.
    Balancer,
}

/// The state of a process as other processes see it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum MemberState {
    /// Accepts new flows and requests.
    Ready,
    /// Finishes its flows and requests and accepts no new ones.
    Draining,
    /// Announced that it stops.
    Left,
    /// Failed a probe and has not been removed yet.
    Suspect,
    /// Removed by the other processes after its suspicion timed out.
    Dead,
}

impl MemberState {
    /// Returns whether the process left or was removed as dead.
    pub const fn is_gone(self) -> bool {
        matches!(self, MemberState::Dead | MemberState::Left)
    }
}

/// The record that a process announces about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Address of the data socket; identifies the process in the fleet.
    pub address: SocketAddrV4,
    /// Address of the control socket.
    pub control: SocketAddrV4,
    /// Incarnation of the process; of two incarnations, the records of the higher one are valid.
    pub incarnation: Incarnation,
    /// Failure domain of the VM.
    pub domain: String,
    /// Role, fixed for the life of the process.
    pub role: Role,
    /// Service that an agent serves; zero for a balancer.
    pub service: ServiceTag,
    /// Announced state; in a view, combined with the liveness that others observed.
    pub state: MemberState,
    /// Relative share of new flows.
    pub weight: u16,
    /// Version of the record within the incarnation; raised by announced changes and by
    /// refutations.
    pub version: u64,
    /// Revision of the settings that the process has applied.
    pub revision: u64,
}

impl Record {
    /// Returns whether this is another agent of the same service in state `Ready`.
    pub fn is_ready_peer(&self, own: &Record) -> bool {
        self.role == Role::Agent
            && self.service == own.service
            && self.state == MemberState::Ready
            && self.address != own.address
    }

    /// Returns whether this record is newer than `other` of the same process.
    pub fn supersedes(&self, other: &Record) -> bool {
        (self.incarnation, self.version) > (other.incarnation, other.version)
    }
}

/// A summary of the agents that a process knows, for comparison with another process.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KnownAgents {
    /// Number of known agents that are neither dead nor left.
    pub count: u32,
    /// XOR of the hashes of their data addresses; equal for equal sets of agents.
    pub digest: u64,
}

impl KnownAgents {
    /// Returns whether all agents of `other` may be known here: its digest is the same, or it counts
    /// fewer agents. A smaller set may still have agents that are missing here.
    pub fn may_include(&self, other: &KnownAgents) -> bool {
        self.digest == other.digest || other.count < self.count
    }
}

/// An immutable snapshot of the fleet.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Number of changes of the view since the process started.
    pub version: u64,
    /// All known members by data address.
    pub members: BTreeMap<SocketAddrV4, Record>,
    /// Current placement table of each service.
    pub tables: HashMap<ServiceTag, Arc<Table>>,
    /// Placement table of each service before its last change.
    pub earlier_tables: HashMap<ServiceTag, Arc<Table>>,
    /// Whether the process has once known as many members as others claimed, or found no other process.
    pub joined: bool,
}

impl View {
    /// Returns the next version of the view with the given members.
    ///
    /// Only the placement tables of services whose candidates changed are rebuilt.
    pub fn next(&self, members: BTreeMap<SocketAddrV4, Record>) -> View {
        let changed = changed_services(&self.members, &members);
        let mut view = View {
            version: self.version + 1,
            members,
            tables: self.tables.clone(),
            earlier_tables: self.earlier_tables.clone(),
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
                view.earlier_tables.insert(service, old);
            }
            if let Some(table) = built {
                view.tables.insert(service, Arc::new(table));
            }
        }
        view
    }

    /// Returns the agents that are neither dead nor left, and so may hold flows.
    pub fn agents(&self) -> impl Iterator<Item = &Record> {
        self.members
            .values()
            .filter(|record| record.role == Role::Agent && !record.state.is_gone())
    }

    /// Returns the count and digest of [`View::agents`].
    pub fn known_agents(&self) -> KnownAgents {
        let mut digest = 0;
        let mut count = 0;
        for record in self.agents() {
            digest ^= address_hash(record.address);
            count += 1;
        }
        KnownAgents { count, digest }
    }
}

/// Returns the hash of a data address in [`KnownAgents::digest`].
pub fn address_hash(address: SocketAddrV4) -> u64 {
    let ip = u64::from(address.ip().to_bits());
    xxh3_64(&(ip << 16 | u64::from(address.port())).to_be_bytes())
}

/// Returns the services whose candidates differ between two sets of members.
fn changed_services(
    old: &BTreeMap<SocketAddrV4, Record>,
    new: &BTreeMap<SocketAddrV4, Record>,
) -> BTreeSet<ServiceTag> {
    let mut changed = BTreeSet::new();
    let mut old_records = old.iter().peekable();
    let mut new_records = new.iter().peekable();
    loop {
        let order = match (old_records.peek(), new_records.peek()) {
            (None, None) => return changed,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some((a, _)), Some((b, _))) => a.cmp(b),
        };
        let before = old_records.next_if(|_| order.is_le()).map(|(_, r)| r);
        let after = new_records.next_if(|_| order.is_ge()).map(|(_, r)| r);
        if before.and_then(placement_input) == after.and_then(placement_input) {
            continue;
        }
        changed.extend(before.and_then(placement_input).map(|s| s.service));
        changed.extend(after.and_then(placement_input).map(|s| s.service));
    }
}

/// The fields of an agent's record that placement depends on.
#[derive(Clone, Copy, Eq, PartialEq)]
struct PlacementInput {
    service: ServiceTag,
    is_suspect: bool,
    weight: u16,
}

fn placement_input(record: &Record) -> Option<PlacementInput> {
    let usable = matches!(record.state, MemberState::Ready | MemberState::Suspect);
    (record.role == Role::Agent && usable).then_some(PlacementInput {
        service: record.service,
        is_suspect: record.state == MemberState::Suspect,
        weight: record.weight,
    })
}

/// Returns the candidates of the given services; suspects only if a service has no ready agent.
fn candidates(
    members: &BTreeMap<SocketAddrV4, Record>,
    services: &BTreeSet<ServiceTag>,
) -> HashMap<ServiceTag, Vec<Candidate>> {
    let mut ready: HashMap<ServiceTag, Vec<Candidate>> = HashMap::new();
    let mut suspects: HashMap<ServiceTag, Vec<Candidate>> = HashMap::new();
    for record in members.values() {
        let Some(input) = placement_input(record) else {
            continue;
        };
        if !services.contains(&input.service) {
            continue;
        }
        let group = match input.is_suspect {
            true => &mut suspects,
            false => &mut ready,
        };
        let candidate = Candidate {
            address: record.address,
            weight: record.weight,
        };
        group.entry(input.service).or_default().push(candidate);
    }
    for (service, group) in suspects {
        ready.entry(service).or_insert(group);
    }
    ready
}

/// The current view of the fleet in one process, published in the kernel under
/// [`Directory::NAME`].
#[derive(Debug)]
pub struct Directory {
    view: ArcSwap<View>,
    claimed: AtomicU32,
    changes: watch::Sender<u64>,
}

impl Default for Directory {
    fn default() -> Self {
        Self {
            view: ArcSwap::default(),
            claimed: AtomicU32::new(0),
            changes: watch::Sender::new(0),
        }
    }
}

impl Directory {
    /// Name of the directory in the kernel's registry.
    pub const NAME: &'static str = "directory";

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.load_full()
    }

    /// Computes and publishes the next view, with the given members.
    pub fn publish(&self, members: BTreeMap<SocketAddrV4, Record>) {
        let next = self.view.load().next(members);
        let version = next.version;
        self.view.store(Arc::new(next));
        self.changes.send_replace(version);
    }

    /// Publishes a view that is marked as joined.
    pub fn set_joined(&self) {
        let mut view = View::clone(&self.view.load());
        view.version += 1;
        view.joined = true;
        let version = view.version;
        self.view.store(Arc::new(view));
        self.changes.send_replace(version);
    }

    /// Sets the result of [`Directory::claimed`].
    pub fn set_claimed(&self, members: u32) {
        self.claimed.store(members, Relaxed);
    }

    /// Returns the largest number of live members that another process last claimed to know, or zero.
    pub fn claimed(&self) -> u32 {
        self.claimed.load(Relaxed)
    }

    /// Returns a receiver of the latest version of the view.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
