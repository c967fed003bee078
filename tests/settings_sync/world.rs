//! A simulation of processes, operators and a store, without I/O and in virtual time.

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
        layout::{Histories, Layout, StoredTree},
        part::{Part, PartName, Parts},
        replica::Replica,
        sync::{Action, Event, SettingsSync},
    },
    store::{CommitOutcome, Item, Position, Snapshot, Transaction},
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

/// A store in memory.
#[derive(Clone, Default)]
pub struct FakeStore {
    pub entries: BTreeMap<String, (Vec<u8>, u64)>,
    pub revision: u64,
}

impl FakeStore {
    pub fn range(&self, prefix: &str, since: Position) -> Snapshot {
        let mut items = Vec::new();
        for (key, (value, revision)) in &self.entries {
            if key.starts_with(prefix) && *revision > since.revision {
                items.push(Item {
                    key: key.clone(),
                    value: value.clone(),
                    position: Position {
                        era: 0,
                        revision: *revision,
                    },
                });
            }
        }
        Snapshot {
            items,
            position: Position {
                era: 0,
                revision: self.revision,
            },
        }
    }

    pub fn commit(&mut self, transaction: &Transaction) -> CommitOutcome {
        for compare in &transaction.compares {
            let revision = self
                .entries
                .get(&compare.key)
                .map_or(0, |(_, revision)| *revision);
            if revision != compare.position.revision {
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

    pub fn stored(&self, since: Position) -> StoredTree {
        let layout = Layout::new(REGION);
        layout.decode(&self.range(&layout.tree_prefix(), since))
    }
}

#[derive(Clone, Debug)]
pub enum Step {
    Deliver(usize, u32, Event),
    Call(usize, u32, Action),
    Edit(usize, EditEvent),
    EditCall(usize, EditAction),
}

pub struct ScheduledStep {
    pub at_ms: u64,
    /// Orders steps of the same time.
    pub sequence: u64,
    pub step: Step,
}

impl PartialEq for ScheduledStep {
    fn eq(&self, other: &Self) -> bool {
        (self.at_ms, self.sequence) == (other.at_ms, other.sequence)
    }
}
impl Eq for ScheduledStep {}
impl PartialOrd for ScheduledStep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledStep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (other.at_ms, other.sequence).cmp(&(self.at_ms, self.sequence))
    }
}

pub struct Node {
    pub frozen_until_ms: u64,
    pub incarnation: u32,
    pub parts_at_last_check: Parts,
    pub sync: SettingsSync,
}

pub struct World {
    pub accepted_parts: BTreeMap<PartName, Part>,
    pub is_store_down: bool,
    pub edits: Vec<(Edit, Option<Outcome>)>,
    pub has_random_failures: bool,
    pub nodes: Vec<Node>,
    pub now_ms: u64,
    pub schedule: BinaryHeap<ScheduledStep>,
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
    /// Schedules the edit that writes the whole tree, after a delay.
    pub fn start_setup(&mut self, delay_ms: u64) {
        let (id, author) = ("setup".to_owned(), "setup".to_owned());
        let deadline = Time::from_millis(60_000);
        let setup = Edit::new(REGION, Change::Replace(tree()), id, author, deadline);
        self.edits.push((setup, None));
        let edit = self.edits.len() - 1;
        self.schedule(delay_ms, Step::EditCall(edit, EditAction::Read));
    }

    pub fn new(seed: u64) -> Self {
        let mut world = Self {
            accepted_parts: BTreeMap::new(),
            is_store_down: false,
            edits: Vec::new(),
            has_random_failures: true,
            nodes: Vec::new(),
            now_ms: 0,
            schedule: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            saved: FakeStore::default(),
            sequence: 0,
            store: FakeStore::default(),
        };
        for node in 0..NODES {
            let sync = world.new_sync(node);
            world.nodes.push(Node {
                frozen_until_ms: 0,
                incarnation: 0,
                parts_at_last_check: Parts::new(),
                sync,
            });
        }
        world
    }

    pub fn new_sync(&mut self, node: usize) -> SettingsSync {
        SettingsSync::new(
            tree(),
            address(node),
            &domain(node),
            true,
            self.rng.random(),
        )
    }

    pub fn schedule(&mut self, delay_ms: u64, step: Step) {
        self.sequence += 1;
        self.schedule.push(ScheduledStep {
            at_ms: self.now_ms + delay_ms,
            sequence: self.sequence,
            step,
        });
    }

    pub fn delay_ms(&mut self) -> u64 {
        if self.has_random_failures && self.rng.random_bool(0.1) {
            return self.rng.random_range(100..3000);
        }
        self.rng.random_range(1..20)
    }

    pub fn is_lost(&mut self) -> bool {
        self.has_random_failures && self.rng.random_bool(0.1)
    }

    pub fn view(&self) -> View {
        let mut members = BTreeMap::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let record = Record {
                address: address(index),
                control: address(index),
                incarnation: Incarnation(node.incarnation),
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
                revision: node.sync.replica().revision(),
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
            let incarnation = self.nodes[node].incarnation;
            match action {
                Action::Hint(peers, revision) => {
                    for peer in peers {
                        let target = usize::from(peer.ip().octets()[3]);
                        if self.is_lost() {
                            continue;
                        }
                        let (delay_ms, incarnation) =
                            (self.delay_ms(), self.nodes[target].incarnation);
                        let hint = Event::HintReceived(address(node), revision);
                        self.schedule(delay_ms, Step::Deliver(target, incarnation, hint));
                    }
                }
                Action::ReadHead | Action::ReadParts(_) | Action::Restore(_) | Action::Pull(..) => {
                    let delay_ms = self.delay_ms();
                    self.schedule(delay_ms, Step::Call(node, incarnation, action));
                }
                _ => {}
            }
        }
    }

    pub fn execute(&mut self, node: usize, action: &Action) -> Event {
        let failed = match action {
            Action::Pull(..) => Event::PullFailed,
            _ => Event::StoreFailed,
        };
        let store_down = self.is_store_down && !matches!(action, Action::Pull(..));
        if store_down || self.is_lost() {
            return failed;
        }
        let layout = Layout::new(REGION);
        let event = match action {
            Action::ReadHead => {
                let stored = layout.decode(&self.store.range(&layout.head_key(), Position::START));
                Event::HeadRead(stored.head_position, stored.head)
            }
            Action::ReadParts(since) => Event::PartsRead(*since, self.store.stored(*since)),
            Action::Restore(proposal) => {
                let transaction = layout.transaction(proposal, &Histories::new());
                Event::RestoreEnded(self.store.commit(&transaction))
            }
            Action::Pull(peer, pull) => {
                let peer = usize::from(peer.ip().octets()[3]);
                if self.nodes[peer].frozen_until_ms > self.now_ms || peer == node {
                    return failed;
                }
                Event::PullSucceeded(self.nodes[peer].sync.page_after(pull))
            }
            _ => unreachable!(),
        };
        // A response may be lost after the call took effect.
        if self.is_lost() { failed } else { event }
    }

    pub fn run_step(&mut self, step: Step) {
        match step {
            Step::Call(node, incarnation, action) => {
                let event = self.execute(node, &action);
                let delay_ms = self.delay_ms();
                self.schedule(delay_ms, Step::Deliver(node, incarnation, event));
            }
            Step::Deliver(node, incarnation, event) => {
                if self.nodes[node].incarnation != incarnation {
                    return;
                }
                let frozen_until_ms = self.nodes[node].frozen_until_ms;
                if frozen_until_ms > self.now_ms {
                    self.schedule(
                        frozen_until_ms - self.now_ms,
                        Step::Deliver(node, incarnation, event),
                    );
                    return;
                }
                let now = Time::from_millis(self.now_ms);
                let actions = self.nodes[node].sync.handle(event, now);
                self.perform(node, actions);
            }
            Step::Edit(index, event) => {
                let now = Time::from_millis(self.now_ms);
                let action = self.edits[index].0.handle(event, now);
                self.perform_edit_action(index, action);
            }
            Step::EditCall(index, action) => self.execute_edit_call(index, &action),
        }
    }

    pub fn perform_edit_action(&mut self, index: usize, action: EditAction) {
        let delay_ms = self.delay_ms();
        match action {
            EditAction::Finish(outcome) => {
                if matches!(outcome, Outcome::Accepted { .. }) {
                    self.record_accepted(index);
                }
                self.edits[index].1 = Some(outcome);
            }
            EditAction::Wait(time) => {
                let wait_ms = time.as_millis().saturating_sub(self.now_ms);
                self.schedule(wait_ms, Step::Edit(index, EditEvent::Resumed));
            }
            call => self.schedule(delay_ms, Step::EditCall(index, call)),
        }
    }

    pub fn execute_edit_call(&mut self, index: usize, action: &EditAction) {
        let lost_before = self.is_store_down || self.is_lost();
        let lost_after = self.is_lost();
        let event = match action {
            _ if lost_before => EditEvent::Failed {
                indeterminate: true,
            },
            EditAction::Read if self.is_behind() => EditEvent::Behind,
            EditAction::Read => {
                EditEvent::Read(self.store.stored(Position::START), 1_000_000 + self.now_ms)
            }
            EditAction::Write(proposal) => {
                let transaction = Layout::new(REGION).transaction(proposal, &Histories::new());
                EditEvent::WriteEnded(self.store.commit(&transaction))
            }
            _ => unreachable!(),
        };
        let event = if lost_after {
            EditEvent::Failed {
                indeterminate: true,
            }
        } else {
            event
        };
        let delay_ms = self.delay_ms();
        self.schedule(delay_ms, Step::Edit(index, event));
    }

    /// Returns whether a responsive process has newer settings than the store.
    pub fn is_behind(&self) -> bool {
        let revision = self.store.stored(Position::START).head.revision;
        let responsive = self
            .nodes
            .iter()
            .filter(|node| node.frozen_until_ms <= self.now_ms);
        let mut revisions = responsive.map(|node| node.sync.replica().revision());
        revisions.any(|newer| newer > revision)
    }

    /// Records the parts of an accepted edit, which must be in the store.
    pub fn record_accepted(&mut self, index: usize) {
        let id = self.edits[index].0.id().to_owned();
        let stored = self.store.stored(Position::START);
        assert!(
            stored.head.find(&id).is_some(),
            "{id} accepted but not in the store"
        );
        for (name, part) in stored.parts {
            if part.change == id {
                self.accepted_parts.insert(name, part);
            }
        }
    }

    /// Checks that no process reverted a part and that the active tree of each is valid.
    pub fn check(&mut self) {
        for node in &mut self.nodes {
            let replica = node.sync.replica();
            replica.tree().check().unwrap();
            for (name, part) in &node.parts_at_last_check {
                let now = &replica.parts()[name];
                assert!(
                    now == part || now.supersedes(part) || part.revision == 0,
                    "{name} was reverted"
                );
            }
            node.parts_at_last_check = replica.parts().clone();
        }
    }

    pub fn holds_accepted(&self, replica: &Replica) -> bool {
        self.accepted_parts.iter().all(|(name, part)| {
            let held = replica.parts().get(name);
            held.is_some_and(|held| held == part || held.supersedes(part))
        })
    }

    pub fn count_up_to_date(&self) -> usize {
        let nodes = self.nodes.iter();
        nodes
            .filter(|node| self.holds_accepted(node.sync.replica()))
            .count()
    }

    pub fn inject(&mut self, injection: &Injection) {
        let open = self.edits.iter().any(|(_, outcome)| outcome.is_none());
        match injection {
            Injection::Edit(service, value) => self.start_edit(*service, *value),
            Injection::SetStoreDown(down) => self.is_store_down = *down,
            Injection::Freeze(node, duration_ms) => {
                self.nodes[*node].frozen_until_ms = self.now_ms + duration_ms
            }
            // Restarted only if at least two processes have all accepted changes; else a change
            // could be lost.
            Injection::Restart(node) if self.count_up_to_date() > 1 => {
                let sync = self.new_sync(*node);
                let incarnation = self.nodes[*node].incarnation + 1;
                self.nodes[*node] = Node {
                    frozen_until_ms: 0,
                    incarnation,
                    parts_at_last_check: Parts::new(),
                    sync,
                };
            }
            Injection::SaveStore => self.saved = self.store.clone(),
            // Reset only if all processes have all accepted changes and no edit is open; else a
            // change could be lost.
            Injection::ResetStore if self.count_up_to_date() == NODES && !open => {
                self.store = self.saved.clone()
            }
            _ => {}
        }
    }

    pub fn start_edit(&mut self, service: usize, value: u64) {
        let name = ["a", "b", "c"][service];
        // Only five addresses are used, so that edits conflict.
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
        let deadline = Time::from_millis(self.now_ms + 5_000);
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

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        let mut next_tick_ms = self.now_ms;
        while self.now_ms < end_ms {
            while self
                .schedule
                .peek()
                .is_some_and(|scheduled| scheduled.at_ms <= self.now_ms)
            {
                let ScheduledStep { step, .. } = self.schedule.pop().unwrap();
                let again = self.has_random_failures
                    && matches!(step, Step::Deliver(..))
                    && self.rng.random_bool(0.05);
                if again {
                    let delay_ms = self.delay_ms();
                    self.schedule(delay_ms, step.clone());
                }
                self.run_step(step);
                self.check();
            }
            if self.now_ms >= next_tick_ms {
                next_tick_ms = self.now_ms + 100;
                self.tick();
            }
            self.now_ms += 1;
        }
    }

    pub fn tick(&mut self) {
        let view = self.view();
        for node in 0..NODES {
            if self.nodes[node].frozen_until_ms > self.now_ms {
                continue;
            }
            let now = Time::from_millis(self.now_ms);
            let actions = if self.has_random_failures && self.rng.random_bool(0.5) {
                self.nodes[node].sync.handle(Event::Tick, now)
            } else {
                self.nodes[node].sync.apply_view(&view, now)
            };
            self.perform(node, actions);
        }
    }
}

#[derive(Clone, Debug)]
pub enum Injection {
    Edit(usize, u64),
    SetStoreDown(bool),
    /// Freezes a process for a time in milliseconds.
    Freeze(usize, u64),
    Restart(usize),
    SaveStore,
    /// Resets the store to the saved state.
    ResetStore,
}
