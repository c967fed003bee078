//! Processes, operators and a store without I/O, on one virtual clock.

use std::{
    collections::{BTreeMap, BinaryHeap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
};

use berylvalve::{
    clock::Time,
    config::{Check, tree::Region},
    member::{MemberState, Record, Role, View},
    owner_id::{Incarnation, ServiceTag},
    settings::{
        change::Change,
        edit::{Action as EditAction, Edit, Event as EditEvent, Outcome},
        in_force::Holdings,
        layout::{Histories, Layout, Stored},
        part::{Part, PartName, Parts},
        spread::{Action, Event, Spread},
    },
    store::{CommitOutcome, Item, Snapshot, Transaction},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::json;

pub const NODES: usize = 8;
pub const BALANCERS: usize = 4;
pub const REGION: &str = "r";

pub fn tree() -> Region {
    let service = |tag: u16| {
        let address = format!("10.0.0.{tag}:443");
        json!({"tag": tag, "address": address, "requests": {}})
    };
    let tree =
        json!({"region": REGION, "services": {"a": service(1), "b": service(2), "c": service(3)}});
    serde_json::from_value(tree).unwrap()
}

/// A store without I/O.
#[derive(Clone, Default)]
pub struct FakeStore {
    pub entries: BTreeMap<String, (Vec<u8>, u64)>,
    pub revision: u64,
}

impl FakeStore {
    pub fn range(&self, prefix: &str, since: u64) -> Snapshot {
        let mut items = Vec::new();
        for (key, (value, revision)) in &self.entries {
            if key.starts_with(prefix) && *revision > since {
                items.push(Item {
                    key: key.clone(),
                    value: value.clone(),
                    revision: *revision,
                });
            }
        }
        Snapshot {
            items,
            revision: self.revision,
        }
    }

    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        for compare in &transaction.compares {
            let revision = self
                .entries
                .get(&compare.key)
                .map_or(0, |(_, revision)| *revision);
            if revision != compare.revision {
                return CommitOutcome::Conflict;
            }
        }
        self.revision += 1;
        for write in &transaction.writes {
            let entry = (write.value.clone(), self.revision);
            self.entries.insert(write.key.clone(), entry);
        }
        CommitOutcome::Applied
    }

    pub fn stored(&self, since: u64) -> Stored {
        let layout = Layout::new(REGION);
        layout.read(&self.range(&layout.tree(), since))
    }
}

#[derive(Clone, Debug)]
pub enum Step {
    Deliver(usize, u32, Event),
    Call(usize, u32, Action),
    Edit(usize, EditEvent),
    EditCall(usize, EditAction),
}

pub struct Planned(pub u64, pub u64, pub Step);

impl PartialEq for Planned {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Planned {}
impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Planned {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.0, other.1).cmp(&(self.0, self.1))
    }
}

pub struct Node {
    pub frozen_until: u64,
    pub life: u32,
    pub seen: Parts,
    pub spread: Spread,
}

pub struct World {
    pub accepted: BTreeMap<PartName, Part>,
    pub down: bool,
    pub edits: Vec<(Edit, Option<Outcome>)>,
    pub faults: bool,
    pub nodes: Vec<Node>,
    pub now: u64,
    pub plan: BinaryHeap<Planned>,
    pub rng: SmallRng,
    pub saved: FakeStore,
    pub sequence: u64,
    pub store: FakeStore,
}

pub fn address(node: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, node as u8), 7000)
}

pub fn domain(node: usize) -> String {
    format!("d{}", node % 2)
}

impl World {
    /// Starts the edit that writes the whole tree, after some milliseconds.
    pub fn set_up(&mut self, delay: u64) {
        let (id, author) = ("setup".to_owned(), "setup".to_owned());
        let deadline = Time::from_millis(60_000);
        let setup = Edit::new(REGION, Change::Replace(tree()), id, author, deadline);
        self.edits.push((setup, None));
        let edit = self.edits.len() - 1;
        self.schedule(delay, Step::EditCall(edit, EditAction::Read));
    }

    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            accepted: BTreeMap::new(),
            down: false,
            edits: Vec::new(),
            faults: true,
            nodes: Vec::new(),
            now: 0,
            plan: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            saved: FakeStore::default(),
            sequence: 0,
            store: FakeStore::default(),
        };
        for node in 0..NODES {
            let spread = world.fresh(node);
            world.nodes.push(Node {
                frozen_until: 0,
                life: 0,
                seen: Parts::new(),
                spread,
            });
        }
        world
    }

    pub fn fresh(&mut self, node: usize) -> Spread {
        Spread::new(
            tree(),
            address(node),
            &domain(node),
            true,
            self.rng.random(),
        )
    }

    pub fn schedule(&mut self, delay: u64, step: Step) {
        self.sequence += 1;
        self.plan
            .push(Planned(self.now + delay, self.sequence, step));
    }

    pub fn delay(&mut self) -> u64 {
        if self.faults && self.rng.random_bool(0.1) {
            return self.rng.random_range(100..3000);
        }
        self.rng.random_range(1..20)
    }

    pub fn lost(&mut self) -> bool {
        self.faults && self.rng.random_bool(0.1)
    }

    pub fn view(&self) -> View {
        let mut members = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let record = Record {
                address: address(index),
                control: address(index),
                incarnation: Incarnation(node.life),
                domain: domain(index),
                role: if index < BALANCERS {
                    Role::Balancer
                } else {
                    Role::Agent
                },
                service: ServiceTag(0),
                state: MemberState::Ready,
                weight: 100,
                version: 0,
                revision: node.spread.holdings().revision(),
            };
            members.insert(record.address, record);
        }
        View {
            members,
            ..View::default()
        }
    }

    pub fn perform(&mut self, node: usize, actions: VecDeque<Action>) {
        for action in actions {
            let life = self.nodes[node].life;
            match action {
                Action::Hint(peers, revision) => {
                    for peer in peers {
                        let target = usize::from(peer.ip().octets()[3]);
                        if self.lost() {
                            continue;
                        }
                        let (delay, life) = (self.delay(), self.nodes[target].life);
                        let hint = Event::Hinted(address(node), revision);
                        self.schedule(delay, Step::Deliver(target, life, hint));
                    }
                }
                Action::ReadHead
                | Action::ReadParts(_)
                | Action::WriteBack(_)
                | Action::Pull(..) => {
                    let delay = self.delay();
                    self.schedule(delay, Step::Call(node, life, action));
                }
                _ => {}
            }
        }
    }

    pub fn answer(&mut self, node: usize, action: &Action) -> Event {
        let failed = match action {
            Action::Pull(..) => Event::PullFailed,
            _ => Event::StoreFailed,
        };
        let store_down = self.down && !matches!(action, Action::Pull(..));
        if store_down || self.lost() {
            return failed;
        }
        let layout = Layout::new(REGION);
        let event = match action {
            Action::ReadHead => {
                let stored = layout.read(&self.store.range(&layout.head(), 0));
                Event::Head(stored.head_version, stored.head)
            }
            Action::ReadParts(since) => Event::Parts(*since, self.store.stored(*since)),
            Action::WriteBack(proposal) => {
                let transaction = layout.write(proposal, &Histories::new());
                Event::WroteBack(self.store.commit(&transaction))
            }
            Action::Pull(peer, pull) => {
                let peer = usize::from(peer.ip().octets()[3]);
                if self.nodes[peer].frozen_until > self.now || peer == node {
                    return failed;
                }
                Event::Pulled(self.nodes[peer].spread.answer(pull))
            }
            _ => unreachable!(),
        };
        // An answer may be lost after the call took effect.
        if self.lost() { failed } else { event }
    }

    pub fn run_step(&mut self, step: Step) {
        match step {
            Step::Call(node, life, action) => {
                let event = self.answer(node, &action);
                let delay = self.delay();
                self.schedule(delay, Step::Deliver(node, life, event));
            }
            Step::Deliver(node, life, event) => {
                if self.nodes[node].life != life {
                    return;
                }
                let frozen = self.nodes[node].frozen_until;
                if frozen > self.now {
                    self.schedule(frozen - self.now, Step::Deliver(node, life, event));
                    return;
                }
                let now = Time::from_millis(self.now);
                let actions = self.nodes[node].spread.handle(event, now);
                self.perform(node, actions);
            }
            Step::Edit(index, event) => {
                let now = Time::from_millis(self.now);
                let action = self.edits[index].0.handle(event, now);
                self.edit_action(index, action);
            }
            Step::EditCall(index, action) => self.edit_call(index, &action),
        }
    }

    pub fn edit_action(&mut self, index: usize, action: EditAction) {
        let delay = self.delay();
        match action {
            EditAction::Finish(outcome) => {
                if matches!(outcome, Outcome::Accepted { .. }) {
                    self.note_accepted(index);
                }
                self.edits[index].1 = Some(outcome);
            }
            EditAction::Wait(time) => {
                let wait = time.as_millis().saturating_sub(self.now);
                self.schedule(wait, Step::Edit(index, EditEvent::Resumed));
            }
            call => self.schedule(delay, Step::EditCall(index, call)),
        }
    }

    pub fn edit_call(&mut self, index: usize, action: &EditAction) {
        let lost_before = self.down || self.lost();
        let lost_after = self.lost();
        let event = match action {
            _ if lost_before => EditEvent::Failed { lost: true },
            EditAction::Read if self.is_behind() => EditEvent::Behind,
            EditAction::Read => EditEvent::Read(self.store.stored(0), 1_000_000 + self.now),
            EditAction::Write(proposal) => {
                let transaction = Layout::new(REGION).write(proposal, &Histories::new());
                EditEvent::Written(self.store.commit(&transaction))
            }
            _ => unreachable!(),
        };
        let event = if lost_after {
            EditEvent::Failed { lost: true }
        } else {
            event
        };
        let delay = self.delay();
        self.schedule(delay, Step::Edit(index, event));
    }

    /// Returns whether a process that answers has newer settings than the store.
    pub fn is_behind(&self) -> bool {
        let revision = self.store.stored(0).head.revision;
        let answering = self
            .nodes
            .iter()
            .filter(|node| node.frozen_until <= self.now);
        let mut revisions = answering.map(|node| node.spread.holdings().revision());
        revisions.any(|newer| newer > revision)
    }

    /// Notes the parts of an accepted edit from the store, which must hold them.
    pub fn note_accepted(&mut self, index: usize) {
        let id = self.edits[index].0.id().to_owned();
        let stored = self.store.stored(0);
        assert!(
            stored.head.find(&id).is_some(),
            "{id} accepted but not in the store"
        );
        for (name, part) in stored.parts {
            if part.change == id {
                self.accepted.insert(name, part);
            }
        }
    }

    /// Checks that no process went back and that each has a valid tree in force.
    pub fn check(&mut self) {
        for node in &mut self.nodes {
            let holdings = node.spread.holdings();
            holdings.tree().check().unwrap();
            for (name, part) in &node.seen {
                let now = &holdings.parts()[name];
                assert!(
                    now == part || now.supersedes(part) || part.revision == 0,
                    "{name} went back"
                );
            }
            node.seen = holdings.parts().clone();
        }
    }

    pub fn holds_accepted(&self, holdings: &Holdings) -> bool {
        self.accepted.iter().all(|(name, part)| {
            let held = holdings.parts().get(name);
            held.is_some_and(|held| held == part || held.supersedes(part))
        })
    }

    pub fn informed(&self) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .filter(|node| self.holds_accepted(node.spread.holdings()))
            .count()
    }

    pub fn disturb(&mut self, fault: &Fault) {
        let open = self.edits.iter().any(|(_, outcome)| outcome.is_none());
        match fault {
            Fault::Edit(service, value) => self.start_edit(*service, *value),
            Fault::Down(down) => self.down = *down,
            Fault::Freeze(node, time) => self.nodes[*node].frozen_until = self.now + time,
            // What nobody has heard of dies with the only process that has.
            Fault::Restart(node) if self.informed() > 1 => {
                let spread = self.fresh(*node);
                let life = self.nodes[*node].life + 1;
                self.nodes[*node] = Node {
                    frozen_until: 0,
                    life,
                    seen: Parts::new(),
                    spread,
                };
            }
            Fault::Save => self.saved = self.store.clone(),
            // A store that goes back before anyone has read it loses what nobody knows.
            Fault::Restore if self.informed() == NODES && !open => self.store = self.saved.clone(),
            _ => {}
        }
    }

    pub fn start_edit(&mut self, service: usize, value: u64) {
        let name = ["a", "b", "c"][service];
        // Addresses are drawn from a few, so that edits meet.
        let change = if value.is_multiple_of(3) {
            let address = json!(format!("10.0.0.{}:443", value % 5 + 1));
            Change::Set {
                path: format!("services.{name}.address"),
                value: address,
            }
        } else {
            Change::Set {
                path: format!("services.{name}.policy.timeout_ms"),
                value: json!(value + 1),
            }
        };
        let index = self.edits.len();
        let deadline = Time::from_millis(self.now + 5_000);
        let edit = Edit::new(
            REGION,
            change,
            format!("change-{index}"),
            format!("operator-{index}"),
            deadline,
        );
        self.edits.push((edit, None));
        self.schedule(0, Step::EditCall(index, EditAction::Read));
    }

    pub fn run(&mut self, time: u64) {
        let end = self.now + time;
        let mut next_tick = self.now;
        while self.now < end {
            while self
                .plan
                .peek()
                .is_some_and(|planned| planned.0 <= self.now)
            {
                let Planned(_, _, step) = self.plan.pop().unwrap();
                let again =
                    self.faults && matches!(step, Step::Deliver(..)) && self.rng.random_bool(0.05);
                if again {
                    let delay = self.delay();
                    self.schedule(delay, step.clone());
                }
                self.run_step(step);
                self.check();
            }
            if self.now >= next_tick {
                next_tick = self.now + 100;
                self.tick();
            }
            self.now += 1;
        }
    }

    pub fn tick(&mut self) {
        let view = self.view();
        for node in 0..NODES {
            if self.nodes[node].frozen_until > self.now {
                continue;
            }
            let now = Time::from_millis(self.now);
            let actions = if self.faults && self.rng.random_bool(0.5) {
                self.nodes[node].spread.handle(Event::Tick, now)
            } else {
                self.nodes[node].spread.meet(&view, now)
            };
            self.perform(node, actions);
        }
    }
}

#[derive(Clone, Debug)]
pub enum Fault {
    Edit(usize, u64),
    Down(bool),
    Freeze(usize, u64),
    Restart(usize),
    Save,
    Restore,
}
