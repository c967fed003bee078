//! SettingsSync of settings: time to all, bytes, and calls to the store, by the size of the fleet.
//!
//! Runs one state machine for each process in virtual time. A message takes 1 ms, as between failure
//! domains; a record reaches another process after a random share of the time that membership is
//! given, so that the hints' gain can be told from the records' alone.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};

use crate::{
    clock::Time,
    config::tree::{Region, ServiceSettings},
    member::{MemberState, Record, Role, View},
    owner_id::{Incarnation, ServiceTag},
    settings::{
        layout::{ChangeRef, Head, StoredTree},
        part::{Content, Part, PartName, Parts, split},
        sync::{Action, Event, SettingsSync},
    },
    store::Position,
};

/// Fleet sizes that are run.
const SIZES: [usize; 4] = [14, 100, 400, 1000];

/// Sizes of the region at the target: a third of 4,600 daemons and of 16,000 services.
const TARGET_DAEMONS: f64 = 4600.0 / 3.0;
const TARGET_SERVICES: usize = 16_000 / 3;
const TARGET_CHANGES: f64 = 12_000.0 / 86_400.0 / 3.0;

const DOMAINS: usize = 3;
const SERVICES: usize = 4;
const HOP_MS: u64 = 1;
const TICK_MS: u64 = 50;
const RUN_MS: u64 = 30_000;
const CHANGE_MS: u64 = 10_000;
const ENVELOPE_BYTES: usize = 200;
const CALL_BYTES: usize = 400;

/// Time in which a record has reached all processes, in milliseconds.
const RECORD_MS: u64 = 3000;

/// Returns the figures of a seed.
pub fn run(seed: u64) -> Value {
    let mut sizes = Vec::new();
    for size in SIZES {
        let hinted = Fleet::new(size, seed, true).measure();
        let records = Fleet::new(size, seed, false).measure();
        sizes.push(
            json!({"daemons": size, "hints": hinted.value(), "records_only": records.value()}),
        );
    }
    let small = Fleet::new(SIZES[1], seed, true).measure();
    let large = Fleet::new(SIZES[3], seed, true).measure();
    let doublings = (SIZES[3] as f64 / SIZES[1] as f64).log2();
    let slope = (large.to_all_ms as f64 - small.to_all_ms as f64) / doublings;
    let more = (TARGET_DAEMONS / SIZES[3] as f64).log2();
    let tree_bytes = tree_bytes(TARGET_SERVICES);
    json!({
        "sizes": sizes,
        "target_region": {
            "daemons": TARGET_DAEMONS.round(),
            "to_all_ms_by_slope": (large.to_all_ms as f64 + slope.max(0.0) * more).round(),
            "ms_per_doubling": slope,
            "bytes_per_daemon_s_by_slope": large.idle_bytes + large.change_bytes * TARGET_CHANGES,
            "store_calls_s_all_regions": 3.0 * (large.idle_calls + large.change_calls * TARGET_CHANGES),
            "store_calls_s_if_all_watch": 4600.0 * (1.0 + TARGET_CHANGES),
            "tree_bytes": tree_bytes,
            "services": TARGET_SERVICES,
        },
    })
}

/// What one run gave.
#[derive(Clone, Copy, Debug)]
struct Measured {
    /// Time from the change to in force everywhere, in milliseconds.
    to_all_ms: u64,
    /// Bytes a second that a process spends without changes.
    idle_bytes: f64,
    /// Bytes that a process spends on one change.
    change_bytes: f64,
    /// Calls a second to the store without changes.
    idle_calls: f64,
    /// Readings of parts for one change.
    change_calls: f64,
}

impl Measured {
    fn value(&self) -> Value {
        json!({
            "to_all_ms": self.to_all_ms,
            "bytes_per_daemon_s_idle": self.idle_bytes,
            "bytes_per_daemon_per_change": self.change_bytes,
            "store_calls_s_idle": self.idle_calls,
            "store_calls_per_change": self.change_calls,
        })
    }
}

fn service(tag: u16) -> ServiceSettings {
    let address = format!("10.{}.{}.1:443", tag / 256, tag % 256);
    let request = json!({"method": "POST", "path": "/checkin", "policy": {"idempotent": false, "priority": 0}});
    let feed = json!({"method": "GET", "path": "/gusts", "policy": {"feed": true, "priority": 1}});
    let service =
        json!({"tag": tag, "address": address, "requests": {"checkin": request, "gusts": feed}});
    serde_json::from_value(service).expect("valid service")
}

fn tree(services: usize) -> Region {
    let mut tree = Region {
        region: "r".into(),
        ..Region::default()
    };
    for index in 0..services {
        tree.services
            .insert(format!("s{index}"), service(index as u16 + 1));
    }
    tree
}

fn stamped(tree: &Region, revision: u64) -> Parts {
    let stamp = Part {
        revision,
        change: format!("change-{revision}"),
        author: "trial".into(),
        time_ms: 0,
        content: Content::Region(tree.policy.clone()),
    };
    split(tree, &stamp)
}

fn tree_bytes(services: usize) -> usize {
    let parts = stamped(&tree(services), 1);
    parts
        .iter()
        .map(|(name, part)| name.to_string().len() + part.encode().len())
        .sum()
}

type Planned = Reverse<(u64, u64, usize)>;

struct Fleet {
    events: Vec<Option<Event>>,
    hints: bool,
    bytes: u64,
    calls: u64,
    part_reads: u64,
    now: u64,
    plan: BinaryHeap<Planned>,
    rng: SmallRng,
    sequence: u64,
    spreads: Vec<SettingsSync>,
    stored: StoredTree,
    targets: Vec<usize>,
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0x0A00_0000 + index as u32), 7000)
}

fn index(address: SocketAddrV4) -> usize {
    (u32::from(*address.ip()) - 0x0A00_0000) as usize
}

fn domain(index: usize) -> String {
    format!("d{}", index % DOMAINS)
}

impl Fleet {
    fn new(size: usize, seed: u64, hints: bool) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut spreads = Vec::with_capacity(size);
        for node in 0..size {
            let spread = SettingsSync::new(
                tree(SERVICES),
                address(node),
                &domain(node),
                true,
                rng.random(),
            );
            spreads.push(spread);
        }
        let mut fleet = Self {
            events: Vec::new(),
            hints,
            bytes: 0,
            calls: 0,
            part_reads: 0,
            now: 0,
            plan: BinaryHeap::new(),
            rng,
            sequence: 0,
            spreads,
            stored: StoredTree::default(),
            targets: Vec::new(),
        };
        fleet.put(stamped(&tree(SERVICES), 1), 1);
        for spread in &mut fleet.spreads {
            let _ = spread.apply_initial(&fleet.stored.parts);
        }
        fleet
    }

    fn put(&mut self, parts: Parts, revision: u64) {
        let mark = ChangeRef {
            revision,
            change: format!("change-{revision}"),
        };
        self.stored.head = Head::default().with_change(mark);
        let position = Position { era: 0, revision };
        self.stored.head_position = position;
        self.stored.position = position;
        self.stored.parts.extend(parts);
    }

    fn view(&self, revision: u64, domain_of: impl Fn(usize) -> u64) -> View {
        let mut members = BTreeMap::new();
        for node in 0..self.spreads.len() {
            let record = Record {
                address: address(node),
                control: address(node),
                incarnation: Incarnation(1),
                domain: domain(node),
                role: if node < 2 * DOMAINS {
                    Role::Balancer
                } else {
                    Role::Agent
                },
                service: ServiceTag(0),
                state: MemberState::Ready,
                weight: 100,
                version: 0,
                revision: revision.min(domain_of(node)),
            };
            members.insert(record.address, record);
        }
        View {
            members,
            ..View::default()
        }
    }

    fn measure(mut self) -> Measured {
        let view = self.view(1, |_| 1);
        for node in 0..self.spreads.len() {
            let actions = self.spreads[node].apply_view(&view, Time::from_millis(0));
            self.perform(node, actions);
        }
        self.run(CHANGE_MS);
        let size = self.spreads.len() as f64;
        let seconds = CHANGE_MS as f64 / 1000.0;
        let (idle_bytes, idle_calls) = (self.bytes as f64, self.calls as f64);
        let read_before = self.part_reads;
        let to_all_ms = self.change();
        self.run(RUN_MS);
        let rest = (self.now - CHANGE_MS) as f64 / 1000.0;
        let bytes = self.bytes as f64 - idle_bytes;
        Measured {
            to_all_ms,
            idle_bytes: idle_bytes / seconds / size,
            change_bytes: ((bytes - idle_bytes / seconds * rest) / size).max(0.0),
            idle_calls: idle_calls / seconds,
            change_calls: (self.part_reads - read_before) as f64,
        }
    }

    /// Changes a part and returns the time until it is in force everywhere.
    fn change(&mut self) -> u64 {
        let name = PartName::Service("s0".into());
        let mut part = self.stored.parts[&name].clone();
        part.revision = 2;
        part.change = "change-2".into();
        let changed: Parts = [(name, part)].into();
        self.put(changed, 2);
        let start = self.now;
        for node in 0..2 * DOMAINS {
            self.deliver(node, Event::StoreChanged, HOP_MS);
        }
        // When each process hears of the new revision by a record, if nothing else tells it.
        let mut hears = Vec::with_capacity(self.spreads.len());
        for _ in 0..self.spreads.len() {
            hears.push(start + self.rng.random_range(RECORD_MS / 10..RECORD_MS));
        }
        let view = self.view(2, |node| if node < 2 * DOMAINS { 2 } else { 1 });
        while self.now < start + RUN_MS && !self.all_have(2) {
            for (node, at) in hears.iter().enumerate() {
                if *at == self.now {
                    let now = Time::from_millis(self.now);
                    let actions = self.spreads[node].apply_view(&view, now);
                    self.perform(node, actions);
                }
            }
            self.step();
        }
        self.now - start
    }

    fn all_have(&self, revision: u64) -> bool {
        self.spreads
            .iter()
            .all(|s| s.replica().revision() >= revision)
    }

    fn run(&mut self, until: u64) {
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        while self
            .plan
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= self.now)
        {
            let Some(Reverse((_, _, event))) = self.plan.pop() else {
                break;
            };
            let (node, event) = (self.targets[event], self.events[event].take());
            if let Some(event) = event {
                self.handle(node, event);
            }
        }
        for node in 0..self.spreads.len() {
            if (self.now + node as u64).is_multiple_of(TICK_MS) {
                self.handle(node, Event::Tick);
            }
        }
        self.now += 1;
    }

    fn handle(&mut self, node: usize, event: Event) {
        let actions = self.spreads[node].handle(event, Time::from_millis(self.now));
        self.perform(node, actions);
    }

    fn deliver(&mut self, node: usize, event: Event, delay: u64) {
        self.sequence += 1;
        self.plan.push(Reverse((
            self.now + delay,
            self.sequence,
            self.events.len(),
        )));
        self.events.push(Some(event));
        self.targets.push(node);
    }

    fn perform(&mut self, node: usize, actions: VecDeque<Action>) {
        for action in actions {
            match action {
                Action::Pull(peer, pull) => {
                    let page = self.spreads[index(peer)].page_after(&pull);
                    let parts: usize = page.parts.iter().map(|(n, v)| n.len() + v.len()).sum();
                    self.bytes += (2 * ENVELOPE_BYTES + parts) as u64;
                    self.deliver(node, Event::PullSucceeded(page), 2 * HOP_MS);
                }
                Action::Hint(peers, revision) if self.hints => {
                    for peer in peers {
                        self.bytes += 2 * ENVELOPE_BYTES as u64;
                        self.deliver(
                            index(peer),
                            Event::HintReceived(address(node), revision),
                            HOP_MS,
                        );
                    }
                }
                Action::ReadHead => {
                    self.calls += 1;
                    self.bytes += CALL_BYTES as u64;
                    let event =
                        Event::HeadRead(self.stored.head_position, self.stored.head.clone());
                    self.deliver(node, event, 2 * HOP_MS);
                }
                Action::ReadParts(since) => {
                    self.part_reads += 1;
                    self.bytes += CALL_BYTES as u64;
                    let mut stored = self.stored.clone();
                    stored
                        .parts
                        .retain(|_, part| part.revision > since.revision);
                    self.deliver(node, Event::PartsRead(since, stored), 2 * HOP_MS);
                }
                _ => {}
            }
        }
    }
}
