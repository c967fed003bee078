//! Flows broken by planned changes, on one schedule and seed: a consistent hash alone, the table
//! with earlier owners, and owner ids with hand-on.
//!
//! Balancers join empty, leave and die, servers drain, join and die, weights change, and each
//! process learns of each change after a delay of its own. No store takes part.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::Serialize;
use serde_json::{Value, json};

use super::agenda::Agenda;
use crate::clock::Time;

mod fleet;

use fleet::{End, Fleet};

const RUN_TIME: Duration = Duration::from_secs(120);
const AGENTS: usize = 11;
const BALANCERS: usize = 4;
const FLOWS_PER_SECOND: u64 = 100;
const MEAN_LIFE: Duration = Duration::from_secs(20);
const PACKET_INTERVAL: Duration = Duration::from_millis(500);
const PLANNED_INTERVAL: Duration = Duration::from_secs(2);
const BALANCER_DEATH_INTERVAL: Duration = Duration::from_secs(15);
const SERVER_DEATH_INTERVAL: Duration = Duration::from_secs(40);
const RETRY_TIME: Duration = Duration::from_millis(300);
const MOVE_TIME_MS: u64 = 1000;

/// How flows are kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    /// Each balancer's table alone, for each packet.
    ConsistentHash,
    /// The table, hand-on and earlier owners, without owner ids.
    EarlierOwner,
    /// Owner ids and hand-on.
    OwnerId,
}

/// What came of one mode.
#[derive(Clone, Debug, Default, Serialize)]
struct Figures {
    flows: u64,
    packets: u64,
    broken_by_planned_change: u64,
    lost_with_their_server: u64,
    told_of_their_loss: u64,
    opening_retries: u64,
    moved: u64,
    handed_on: u64,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Open(usize),
    Packet(usize),
    Move(usize),
    Planned(u64),
    BalancerDeath,
    ServerDeath,
    Arrival,
}

/// An open flow.
#[derive(Clone, Copy, Debug)]
struct Flow {
    key: u64,
    end: Time,
    owner: Option<usize>,
    over: bool,
}

struct World {
    events: Agenda<Event>,
    figures: Figures,
    fleet: Fleet,
    flows: Vec<Flow>,
    now: Time,
    random: SmallRng,
}

/// Runs all modes on the schedule of a seed.
pub fn run(seed: u64) -> Value {
    let mut results = serde_json::Map::new();
    for mode in [Mode::ConsistentHash, Mode::EarlierOwner, Mode::OwnerId] {
        let figures = World::new(mode, seed).run();
        let name = serde_json::to_value(mode).expect("modes encode");
        let name = name.as_str().unwrap_or_default().to_owned();
        results.insert(name, json!(figures));
    }
    json!({
        "seed": seed,
        "seconds": RUN_TIME.as_secs(),
        "agents": AGENTS,
        "balancers": BALANCERS,
        "modes": results,
    })
}

impl World {
    fn new(mode: Mode, seed: u64) -> Self {
        let mut world = Self {
            events: Agenda::default(),
            figures: Figures::default(),
            fleet: Fleet::new(mode, seed, AGENTS, BALANCERS),
            flows: Vec::new(),
            now: Time::default(),
            random: SmallRng::seed_from_u64(seed),
        };
        let end = Time::default() + RUN_TIME;
        world.schedule(Duration::ZERO, Event::Arrival);
        let mut at = PLANNED_INTERVAL;
        for count in 0.. {
            if Time::default() + at >= end {
                break;
            }
            world.schedule(at, Event::Planned(count));
            at += PLANNED_INTERVAL;
        }
        world.schedule(BALANCER_DEATH_INTERVAL, Event::BalancerDeath);
        world.schedule(SERVER_DEATH_INTERVAL, Event::ServerDeath);
        world
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.events.add(self.now + delay, event);
    }

    fn run(mut self) -> Figures {
        let end = Time::default() + RUN_TIME;
        while let Some((at, event)) = self.events.pop(end) {
            self.now = at;
            self.fleet.learn(at);
            self.handle(event);
        }
        self.figures.handed_on = self.fleet.handed_on;
        self.figures
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Open(flow) => self.open(flow),
            Event::Packet(flow) => self.packet(flow),
            Event::Move(flow) => self.move_flow(flow),
            Event::Planned(count) => self.plan(count),
            Event::BalancerDeath => {
                self.fleet.kill_balancer(self.now);
                self.fleet.add_balancer(self.now);
                self.schedule(BALANCER_DEATH_INTERVAL, Event::BalancerDeath);
            }
            Event::ServerDeath => {
                self.fleet.kill_agent(self.now);
                self.fleet.add_agent(self.now);
                self.schedule(SERVER_DEATH_INTERVAL, Event::ServerDeath);
            }
        }
    }

    fn arrive(&mut self) {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let life = MEAN_LIFE.mul_f64(-uniform.ln());
        self.add_flow(self.now + life);
        self.schedule(
            Duration::from_secs(1) / FLOWS_PER_SECOND as u32,
            Event::Arrival,
        );
    }

    fn add_flow(&mut self, end: Time) {
        let flow = Flow {
            key: self.random.random(),
            end,
            owner: None,
            over: false,
        };
        self.flows.push(flow);
        self.schedule(Duration::ZERO, Event::Open(self.flows.len() - 1));
    }

    /// Sends the two datagrams of an opening; they may take different ways.
    fn open(&mut self, flow: usize) {
        let key = self.flows[flow].key;
        let first = self.fleet.send_opening(self.now, key);
        let second = self.fleet.send_opening(self.now, key);
        match (first, second) {
            (End::Taken(owner), End::Taken(other))
                if owner == other && !self.fleet.draining(owner) =>
            {
                self.figures.flows += 1;
                self.flows[flow].owner = Some(owner);
                self.fleet.hold(owner, flow);
                self.schedule(PACKET_INTERVAL, Event::Packet(flow));
            }
            _ => {
                self.figures.opening_retries += 1;
                self.schedule(RETRY_TIME, Event::Open(flow));
            }
        }
    }

    fn packet(&mut self, flow: usize) {
        let Flow { key, end, over, .. } = self.flows[flow];
        let Some(owner) = self.flows[flow].owner.filter(|_| !over) else {
            return;
        };
        if self.now >= end {
            return self.close(flow);
        }
        self.figures.packets += 1;
        let reached = self.fleet.send_packet(self.now, key, owner);
        let alive = self.fleet.alive(owner);
        match reached {
            End::Taken(agent) if agent == owner => {}
            // On its way to a process that is gone: sent again later.
            End::Nowhere => {}
            End::Taken(_) | End::Dropped(_) if alive => {
                self.figures.broken_by_planned_change += 1;
                return self.close(flow);
            }
            End::Taken(_) => {
                self.figures.told_of_their_loss += 1;
                self.figures.lost_with_their_server += 1;
                return self.close(flow);
            }
            End::Dropped(_) => {
                self.figures.lost_with_their_server += 1;
                return self.close(flow);
            }
        }
        self.schedule(PACKET_INTERVAL, Event::Packet(flow));
    }

    fn close(&mut self, flow: usize) {
        self.flows[flow].over = true;
        if let Some(owner) = self.flows[flow].owner {
            self.fleet.release(self.now, owner, flow);
        }
    }

    /// Opens a flow of a draining agent elsewhere, and closes the old one after that.
    fn move_flow(&mut self, flow: usize) {
        if self.flows[flow].over {
            return;
        }
        self.figures.moved += 1;
        self.close(flow);
        self.add_flow(self.flows[flow].end);
    }

    fn plan(&mut self, count: u64) {
        match count % 3 {
            0 => {
                self.fleet.add_agent(self.now);
                for flow in self.fleet.drain_agent(self.now) {
                    let delay = self.random.random_range(0..MOVE_TIME_MS);
                    self.schedule(Duration::from_millis(delay), Event::Move(flow));
                }
            }
            1 => {
                self.fleet.add_balancer(self.now);
                self.fleet.retire_balancer();
            }
            _ => self.fleet.change_weight(self.now),
        }
    }
}
