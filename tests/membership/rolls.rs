//! Tests of what starting processes know while the rest of a fleet is restarted in turn.

use std::{collections::BTreeMap, net::SocketAddrV4, time::Duration};

use berylvalve::{
    clock::Time,
    member::{MemberState, Record, Role},
    membership::swim::Swim,
    owner_id::Incarnation,
    trial::membership::network::{Network, record},
};

use crate::{DOMAINS, seconds};

/// Balancers and agents of the largest site.
const BALANCERS: usize = 91;
const AGENTS: usize = 204;

/// Agents that are stopped at a time in a rolling restart, and the pause until the next ones.
const ROLL_COUNT: usize = 15;
const ROLL_GAP: Duration = Duration::from_millis(1_300);

/// Time between the restarts of two balancers.
const BALANCER_GAP: Duration = Duration::from_millis(1_000);

/// Balancers that are restarted in turn.
const RESTARTED_BALANCERS: usize = 5;

/// Time after its start within which a process has fetched the members, as a balancer takes flows from
/// then on in any case.
const JOIN_LIMIT: Duration = Duration::from_secs(3);

/// Time from the announcement of a stop to the end of the process.
const STOP_TIME: Duration = Duration::from_millis(300);

/// Time from the end of a process to the join of the next one.
const DOWN_TIME: Duration = Duration::from_millis(900);

/// Interval at which a starting balancer is observed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What happens to a process.
#[derive(Clone, Copy, Debug)]
enum Step {
    Stop(usize),
    End(usize),
    Start(usize),
}

struct Fleet {
    network: Network,
    records: Vec<Record>,
    seeds: Vec<SocketAddrV4>,
    /// The latest process at each place.
    nodes: Vec<usize>,
    steps: BTreeMap<(Time, usize), Step>,
}

impl Fleet {
    fn new(seed: u64) -> Self {
        let mut network = Network::new(seed);
        let mut records: Vec<_> = (0..BALANCERS + AGENTS)
            .map(|number| record(number, DOMAINS))
            .collect();
        for (number, record) in records.iter_mut().enumerate() {
            record.role = match number < BALANCERS {
                true => Role::Balancer,
                false => Role::Agent,
            };
        }
        let seeds: Vec<_> = records[..3].iter().map(|record| record.control).collect();
        network.start_fleet(&records, &seeds);
        network.run(seconds(1));
        Self {
            network,
            nodes: (0..records.len()).collect(),
            records,
            seeds,
            steps: BTreeMap::new(),
        }
    }

    /// Restarts all agents in turn from now on.
    fn roll_agents(&mut self) {
        for agent in 0..AGENTS {
            let turn = (agent / ROLL_COUNT) as u32;
            self.restart(BALANCERS + agent, self.network.now + ROLL_GAP * turn);
        }
    }

    fn swim(&self, place: usize) -> &Swim {
        &self.network.nodes[self.nodes[place]].swim
    }

    fn restart(&mut self, place: usize, at: Time) {
        self.steps.insert((at, place), Step::Stop(place));
    }

    fn run_until(&mut self, end: Time) {
        while let Some(((at, place), step)) = self.steps.first_key_value() {
            if *at > end {
                break;
            }
            let (at, place, step) = (*at, *place, *step);
            self.steps.remove(&(at, place));
            self.network.run_until(at);
            self.take(step, at);
        }
        self.network.run_until(end);
    }

    fn take(&mut self, step: Step, at: Time) {
        match step {
            Step::Stop(place) => {
                let state = match place < BALANCERS {
                    true => MemberState::Left,
                    false => MemberState::Draining,
                };
                self.network.update(self.nodes[place], |r| r.state = state);
                self.steps.insert((at + STOP_TIME, place), Step::End(place));
            }
            Step::End(place) => {
                self.network.nodes[self.nodes[place]].running = false;
                self.steps
                    .insert((at + DOWN_TIME, place), Step::Start(place));
            }
            Step::Start(place) => {
                let mut record = self.records[place].clone();
                record.incarnation = Incarnation(record.incarnation.0 + at.as_millis() as u32);
                self.nodes[place] = self.network.start(record, self.seeds.clone());
            }
        }
    }

    fn known_agents(&self, place: usize) -> usize {
        let members = self.swim(place).members();
        let agents = members.values();
        agents
            .filter(|record| record.role == Role::Agent && !record.state.is_gone())
            .count()
    }
}

/// Guards against a balancer that counts as joined with a part of the agents, or never does, while the
/// state changes of rolling restarts use up the send budgets: it sends segments of open flows to agents that
/// do not hold them.
#[test]
fn balancers_that_start_during_rolling_restarts_join_with_all_agents() {
    let mut fleet = Fleet::new(1);
    fleet.roll_agents();
    let first = fleet.network.now + seconds(2);
    for place in 0..RESTARTED_BALANCERS {
        fleet.restart(place, first + BALANCER_GAP * place as u32);
    }
    let mut partial = BTreeMap::new();
    let mut starting = BTreeMap::new();
    for place in 0..RESTARTED_BALANCERS {
        let started = first + BALANCER_GAP * place as u32 + STOP_TIME + DOWN_TIME;
        starting.insert(place, started);
    }
    while !starting.is_empty() {
        fleet.run_until(fleet.network.now + CHECK_INTERVAL);
        let now = fleet.network.now;
        starting.retain(|place, started| {
            let took = now.since(*started);
            let is_waiting = now <= *started || !fleet.swim(*place).is_joined();
            let known = fleet.known_agents(*place);
            if is_waiting && took < JOIN_LIMIT {
                return true;
            }
            if is_waiting || known < AGENTS {
                partial.insert(*place, (known, took));
            }
            false
        });
    }
    assert!(
        partial.is_empty(),
        "agents that a balancer knows, and time since its start: {partial:?}"
    );
}

/// Guards against the same where both roles are restarted at the pace of planned work in the largest fleet: a
/// balancer that counts fewer agents than there are must not count as joined.
#[test]
fn balancers_that_start_while_both_roles_restart_never_count_as_joined_with_a_part() {
    const AGENTS_AT_ONCE: usize = 27;
    const BALANCERS_AT_ONCE: usize = 13;
    const BALANCER_STARTS: usize = 60;
    let mut fleet = Fleet::new(1);
    let begin = fleet.network.now;
    let turn = |number: usize, at_once: usize| seconds(1) * (number / at_once) as u32;
    for agent in 0..AGENTS {
        fleet.restart(BALANCERS + agent, begin + turn(agent, AGENTS_AT_ONCE));
    }
    let mut starting = BTreeMap::new();
    for place in 0..BALANCER_STARTS {
        let stop = begin + seconds(1) + turn(place, BALANCERS_AT_ONCE);
        fleet.restart(place, stop);
        starting.insert(place, stop + STOP_TIME + DOWN_TIME);
    }
    let mut partial = BTreeMap::new();
    while !starting.is_empty() {
        fleet.run_until(fleet.network.now + CHECK_INTERVAL);
        let now = fleet.network.now;
        starting.retain(|place, started| {
            let has_joined = now > *started && fleet.swim(*place).is_joined();
            let known = fleet.known_agents(*place);
            if has_joined && known < AGENTS {
                partial.insert(*place, (known, now.since(*started)));
            }
            !has_joined && now.since(*started) < JOIN_LIMIT
        });
    }
    assert!(
        partial.is_empty(),
        "agents that a balancer knows when it joins, and time since its start: {partial:?}"
    );
}
