//! The processes of the trial: real steering, placement and intake, each with a view of its own.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::Mode;
use crate::{
    agent::datagram_forwarding::{AgentStatus, DatagramAction, FlowTable},
    clock::Time,
    flow::{DropReason, Flow, Opening},
    frame::Header,
    member::{MemberState, Record, Role, View},
    owner_id::{Incarnation, Owner, ServiceTag},
    steering,
};

const SERVICE: ServiceTag = ServiceTag(1);
const INCARNATION: Incarnation = Incarnation(1);
const MAX_NEWS_MS: u64 = 2000;
const DETECTION_TIME: Duration = Duration::from_secs(3);
const WEIGHT: u16 = 100;
const MAX_PRESSURE: u32 = 1000;
const SCHEDULE_SEED: u64 = 0x5C4E_D01E;

/// Where a datagram ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum End {
    /// An agent took it.
    Taken(usize),
    /// A process dropped it.
    Dropped(DropReason),
    /// The process that it was sent to is gone.
    Nowhere,
}

/// What one process knows of the others, and what it will learn.
#[derive(Debug, Default)]
struct Knowledge {
    news: Vec<(Time, Record)>,
    view: View,
}

struct Agent {
    alive: bool,
    draining: bool,
    flows: FlowTable,
    held: BTreeSet<usize>,
    knowledge: Knowledge,
    record: Record,
}

/// All processes of the trial.
pub(super) struct Fleet {
    agents: Vec<Agent>,
    balancers: Vec<Knowledge>,
    mode: Mode,
    /// Orders what happens to the fleet; the same for each mode.
    schedule: SmallRng,
    spray: SmallRng,
    /// Datagrams handed on by agents.
    pub(super) handed_on: u64,
}

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::LOCALHOST, 1000 + number as u16)
}

impl Knowledge {
    fn learn(&mut self, now: Time) {
        if self.news.iter().all(|(at, _)| *at > now) {
            return;
        }
        let mut members: BTreeMap<SocketAddrV4, Record> = self.view.members.clone();
        self.news.sort_by_key(|(at, record)| (*at, record.version));
        while self.news.first().is_some_and(|(at, _)| *at <= now) {
            let (_, record) = self.news.remove(0);
            let known = members.get(&record.address);
            if known.is_none_or(|known| record.supersedes(known)) {
                members.insert(record.address, record);
            }
        }
        self.view = self.view.next(members);
    }
}

impl Fleet {
    pub(super) fn new(mode: Mode, seed: u64, agents: usize, balancers: usize) -> Self {
        let mut fleet = Self {
            agents: Vec::new(),
            balancers: Vec::new(),
            mode,
            schedule: SmallRng::seed_from_u64(seed ^ SCHEDULE_SEED),
            spray: SmallRng::seed_from_u64(seed),
            handed_on: 0,
        };
        for _ in 0..balancers {
            fleet.balancers.push(Knowledge::default());
        }
        for _ in 0..agents {
            fleet.add_agent(Time::default());
        }
        // The run starts with processes that know each other.
        let settled = Time::default() + Duration::from_millis(MAX_NEWS_MS);
        fleet.learn(settled);
        fleet
    }

    /// Lets each process learn what has reached it.
    pub(super) fn learn(&mut self, now: Time) {
        for agent in &mut self.agents {
            agent.knowledge.learn(now);
        }
        for balancer in &mut self.balancers {
            balancer.learn(now);
        }
    }

    fn delay(&mut self) -> Duration {
        Duration::from_millis(self.schedule.random_range(0..MAX_NEWS_MS))
    }

    /// Tells each process of a record, after a delay of its own.
    fn spread(&mut self, record: &Record, at: Time) {
        for index in 0..self.agents.len() {
            let delay = self.delay();
            let news = (at + delay, record.clone());
            self.agents[index].knowledge.news.push(news);
        }
        for index in 0..self.balancers.len() {
            let delay = self.delay();
            self.balancers[index]
                .news
                .push((at + delay, record.clone()));
        }
    }

    /// Returns what a process that joins will learn.
    fn introduction(&mut self, now: Time) -> Knowledge {
        let mut knowledge = Knowledge::default();
        for index in 0..self.agents.len() {
            let delay = self.delay();
            let record = self.agents[index].record.clone();
            knowledge.news.push((now + delay, record));
        }
        knowledge
    }

    pub(super) fn add_agent(&mut self, now: Time) {
        let number = self.agents.len();
        let record = Record {
            address: address(number),
            control: address(number),
            incarnation: INCARNATION,
            domain: "d".to_owned(),
            role: Role::Agent,
            service: SERVICE,
            state: MemberState::Ready,
            weight: WEIGHT,
            version: 0,
            revision: 0,
        };
        let knowledge = self.introduction(now);
        self.agents.push(Agent {
            alive: true,
            draining: false,
            flows: FlowTable::default(),
            held: BTreeSet::new(),
            knowledge,
            record: record.clone(),
        });
        self.spread(&record, now);
    }

    pub(super) fn add_balancer(&mut self, now: Time) {
        let knowledge = self.introduction(now);
        self.balancers.push(knowledge);
    }

    /// Stops the oldest balancer, to which the fabric sends no more.
    pub(super) fn retire_balancer(&mut self) {
        self.balancers.remove(0);
    }

    pub(super) fn kill_balancer(&mut self, _now: Time) {
        let index = self.schedule.random_range(0..self.balancers.len());
        self.balancers.remove(index);
    }

    fn any_ready(&mut self) -> usize {
        let ready: Vec<usize> = (0..self.agents.len())
            .filter(|i| self.agents[*i].alive && !self.agents[*i].draining)
            .collect();
        ready[self.schedule.random_range(0..ready.len())]
    }

    fn announce(&mut self, agent: usize, at: Time, change: impl FnOnce(&mut Record)) {
        let record = &mut self.agents[agent].record;
        change(record);
        record.version += 1;
        let record = record.clone();
        self.spread(&record, at);
    }

    /// Drains an agent and returns the flows that it asks to move.
    pub(super) fn drain_agent(&mut self, now: Time) -> Vec<usize> {
        let agent = self.any_ready();
        self.agents[agent].draining = true;
        self.announce(agent, now, |record| record.state = MemberState::Draining);
        self.agents[agent].held.iter().copied().collect()
    }

    pub(super) fn kill_agent(&mut self, now: Time) {
        let agent = self.any_ready();
        self.agents[agent].alive = false;
        self.announce(agent, now + DETECTION_TIME, |record| {
            record.state = MemberState::Dead;
        });
    }

    pub(super) fn change_weight(&mut self, now: Time) {
        let agent = self.any_ready();
        let weight = self.schedule.random_range(WEIGHT / 2..WEIGHT * 2);
        self.announce(agent, now, |record| record.weight = weight);
    }

    pub(super) fn draining(&self, agent: usize) -> bool {
        self.agents[agent].draining
    }

    pub(super) fn alive(&self, agent: usize) -> bool {
        self.agents[agent].alive
    }

    pub(super) fn hold(&mut self, agent: usize, flow: usize) {
        self.agents[agent].held.insert(flow);
    }

    /// Ends a flow; a draining agent that holds no more leaves.
    pub(super) fn release(&mut self, now: Time, agent: usize, flow: usize) {
        let state = &mut self.agents[agent];
        state.held.remove(&flow);
        if state.alive && state.draining && state.held.is_empty() {
            state.alive = false;
            self.announce(agent, now, |record| record.state = MemberState::Left);
        }
    }

    pub(super) fn send_opening(&mut self, now: Time, key: u64) -> End {
        let key = key.to_le_bytes();
        let flow = Flow {
            key: &key,
            opening: Opening::Yes,
            owner: None,
        };
        self.send(now, &flow)
    }

    pub(super) fn send_packet(&mut self, now: Time, key: u64, owner: usize) -> End {
        let key = key.to_le_bytes();
        let named = Owner {
            address: address(owner),
            service: SERVICE,
            incarnation: INCARNATION,
        };
        let flow = Flow {
            key: &key,
            opening: Opening::No,
            owner: (self.mode == Mode::OwnerId).then_some(named),
        };
        let end = self.send(now, &flow);
        match end {
            // Without memory, an agent knows a flow only if it holds it.
            End::Taken(agent) if self.mode == Mode::ConsistentHash && agent != owner => {
                End::Dropped(DropReason::UnknownFlow)
            }
            end => end,
        }
    }

    fn send(&mut self, now: Time, flow: &Flow<'_>) -> End {
        let balancer = self.spray.random_range(0..self.balancers.len());
        let view = &self.balancers[balancer].view;
        let route = match steering::steer_flow(view, SERVICE, flow) {
            Ok(route) => route,
            // A balancer that knows nobody yet is not ready, and gets no openings.
            Err(DropReason::NoAgent) => return End::Nowhere,
            Err(reason) => return End::Dropped(reason),
        };
        let header = Header {
            caller: SocketAddr::from(([127, 0, 0, 1], 1)),
            service: SERVICE,
            version: route.version,
            balancer: address(balancer),
            fallbacks: route.fallbacks,
            hops: 0,
        };
        if self.mode == Mode::ConsistentHash {
            let number = usize::from(route.agent.port() - 1000);
            return match self.agents[number].alive {
                true => End::Taken(number),
                false => End::Nowhere,
            };
        }
        self.deliver(now, flow, header, route.agent)
    }

    fn deliver(
        &mut self,
        now: Time,
        flow: &Flow<'_>,
        mut header: Header,
        mut at: SocketAddrV4,
    ) -> End {
        loop {
            let number = usize::from(at.port() - 1000);
            let agent = &mut self.agents[number];
            if !agent.alive {
                return End::Nowhere;
            }
            let standing = AgentStatus {
                address: at,
                service: SERVICE,
                incarnation: INCARNATION,
                is_draining: agent.draining,
                pressure: agent.held.len() as u32 * MAX_PRESSURE / 300,
            };
            let view = &agent.knowledge.view;
            match agent.flows.decide_flow(now, &standing, view, &header, flow) {
                DatagramAction::Accept => return End::Taken(number),
                DatagramAction::Drop(reason) => {
                    return End::Dropped(reason);
                }
                DatagramAction::Forward { agent, fallbacks } => {
                    self.handed_on += 1;
                    header.hops += 1;
                    header.fallbacks = fallbacks;
                    at = agent;
                }
            }
        }
    }
}
