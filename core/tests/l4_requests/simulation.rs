//! A small server with slots, a queue and shedding, and callers that retransmit, around an agent or
//! directly connected.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    time::Duration,
};

use berylvalve_core::{clock::Time, l4::segment::FlowKey};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::{
    harness::{Harness, Recorder, SLOTS},
    wire::{self, ACK, RST, SYN, flow},
};

/// Requests that the server queues; it sheds those beyond.
const QUEUE_LIMIT: usize = 8;

/// Work time of most requests, and of the 3% in the tail.
const WORK: Duration = Duration::from_millis(17);
const TAIL_WORK: Duration = Duration::from_millis(140);
const TAIL_SHARE: f64 = 0.03;

/// Requests per second that keep the slots in use.
pub const CAPACITY: f64 = SLOTS as f64 / (0.97 * 0.017 + 0.03 * 0.140);

const FLOWS_PER_CALLER: u16 = 10;
const FIRST_RETRANSMISSION: Duration = Duration::from_millis(200);
const LAST_RETRANSMISSION: Duration = Duration::from_millis(1600);

/// Time from the acceptance of a flow to its first request.
const ROUND_TRIP: Duration = Duration::from_millis(5);

/// First port of flows that are opened for one request.
const FIRST_NEW_PORT: u16 = 1000;

/// A request that a caller sends on an open flow as soon as it has an idle one, or on a new flow.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    pub at: Time,
    pub host: u8,
    pub route: u8,
    pub work: Duration,
    pub opens: bool,
}

/// What became of a request.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub arrival: Arrival,
    pub took: Duration,
    /// Whether it was shed by the server, or its opening was refused by the agent.
    pub shed: bool,
}

impl Outcome {
    pub fn is_in_time(&self, target: Duration) -> bool {
        !self.shed && self.took <= target
    }
}

/// Returns arrivals at a rate from `from_ms` to before `until_ms`, at random times from random hosts.
pub fn arrivals(
    rng: &mut SmallRng,
    (from_ms, until_ms): (u64, u64),
    per_second: f64,
    route: u8,
    hosts: std::ops::RangeInclusive<u8>,
) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at = Time::from_millis(from_ms);
    loop {
        let gap = -(1.0 - rng.random::<f64>()).ln() / per_second;
        at = at + Duration::from_secs_f64(gap);
        if at >= Time::from_millis(until_ms) {
            return arrivals;
        }
        let is_tail = rng.random_bool(TAIL_SHARE);
        arrivals.push(Arrival {
            at,
            host: rng.random_range(hosts.clone()),
            route,
            work: if is_tail { TAIL_WORK } else { WORK },
            opens: false,
        });
    }
}

pub fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival(usize),
    Done(FlowKey),
    Opened(FlowKey),
    Retransmission(FlowKey, u32, Duration),
}

/// A caller's request that is not answered yet.
struct Pending {
    arrival: Arrival,
    datagram: Vec<u8>,
    acknowledged: bool,
}

struct Simulation {
    harness: Harness,
    /// Whether segments pass by the agent.
    direct: bool,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    next_event: u64,
    idle: BTreeMap<(u8, u8), Vec<FlowKey>>,
    unsent: BTreeMap<(u8, u8), VecDeque<Arrival>>,
    opening: HashMap<FlowKey, Arrival>,
    pending: HashMap<FlowKey, Pending>,
    priorities: BTreeMap<u8, u8>,
    next_port: u16,
    received: HashMap<FlowKey, u32>,
    running: usize,
    queue: VecDeque<FlowKey>,
    outcomes: Vec<Outcome>,
}

/// Runs arrivals until all are answered, on routes with the given priorities. Returns the outcomes.
pub fn run(arrivals: &[Arrival], priorities: &BTreeMap<u8, u8>, direct: bool) -> Vec<Outcome> {
    let mut harness = Harness::new();
    let mut idle: BTreeMap<(u8, u8), Vec<FlowKey>> = BTreeMap::new();
    let mut callers: Vec<(u8, u8)> = arrivals
        .iter()
        .map(|arrival| (arrival.host, arrival.route))
        .collect();
    callers.sort_unstable();
    callers.dedup();
    for (host, route) in callers {
        for port in 0..FLOWS_PER_CALLER {
            let flow = flow(host, port, route);
            harness.establish(&flow, priorities[&route]);
            idle.entry((host, route)).or_default().push(flow);
        }
    }
    let start = harness.now.0;
    let mut simulation = Simulation {
        harness,
        direct,
        events: BinaryHeap::new(),
        next_event: 0,
        idle,
        unsent: BTreeMap::new(),
        opening: HashMap::new(),
        pending: HashMap::new(),
        priorities: priorities.clone(),
        next_port: FIRST_NEW_PORT,
        received: HashMap::new(),
        running: 0,
        queue: VecDeque::new(),
        outcomes: Vec::new(),
    };
    let mut arrivals = arrivals.to_vec();
    arrivals.sort_by_key(|arrival| arrival.at);
    for (index, arrival) in arrivals.iter_mut().enumerate() {
        arrival.at = Time(arrival.at.0 + start);
        simulation.schedule(arrival.at, Event::Arrival(index));
    }
    simulation.run(&arrivals);
    assert_eq!(
        simulation.outcomes.len(),
        arrivals.len(),
        "all are answered"
    );
    simulation.outcomes
}

impl Simulation {
    fn schedule(&mut self, at: Time, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn run(&mut self, arrivals: &[Arrival]) {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            while self.harness.agent.due() < at {
                let due = self.harness.agent.due().max(self.harness.now);
                self.harness.now = due;
                self.harness.agent.tick(due, &mut self.harness.out);
                self.deliver();
            }
            self.harness.now = at;
            match event {
                Event::Arrival(index) => self.send(arrivals[index]),
                Event::Done(flow) => self.finish(&flow),
                Event::Opened(flow) => {
                    let arrival = self.opening.remove(&flow).unwrap();
                    self.send_on(flow, arrival);
                }
                Event::Retransmission(flow, sequence, delay) => {
                    self.retransmit(&flow, sequence, delay);
                }
            }
            self.deliver();
        }
    }

    /// Sends a request on an idle flow, or as soon as one is idle.
    fn send(&mut self, arrival: Arrival) {
        if arrival.opens {
            self.open(arrival);
            return;
        }
        let caller = (arrival.host, arrival.route);
        let Some(flow) = self.idle.get_mut(&caller).and_then(Vec::pop) else {
            self.unsent.entry(caller).or_default().push_back(arrival);
            return;
        };
        self.send_on(flow, arrival);
    }

    /// Opens a new flow for a request.
    fn open(&mut self, arrival: Arrival) {
        let flow = flow(arrival.host, self.next_port, arrival.route);
        self.next_port += 1;
        self.opening.insert(flow, arrival);
        match self.direct {
            true => {
                let opening = wire::from_caller(&flow, SYN, 0, 0, &[]);
                self.harness.out.to_server.push(opening);
            }
            false => self.harness.open(&flow, self.priorities[&arrival.route]),
        }
    }

    fn send_on(&mut self, flow: FlowKey, arrival: Arrival) {
        let datagram = self.harness.segment(&flow, 100);
        self.transmit(&datagram);
        let sequence = wire::sequence_of(&datagram);
        let event = Event::Retransmission(flow, sequence, FIRST_RETRANSMISSION);
        self.schedule(self.harness.now + FIRST_RETRANSMISSION, event);
        let pending = Pending {
            arrival,
            datagram,
            acknowledged: false,
        };
        self.pending.insert(flow, pending);
    }

    fn transmit(&mut self, datagram: &[u8]) {
        match self.direct {
            true => self.harness.out.to_server.push(datagram.to_vec()),
            false => self.harness.forward(datagram),
        }
    }

    fn retransmit(&mut self, flow: &FlowKey, sequence: u32, delay: Duration) {
        let Some(pending) = self.pending.get(flow) else {
            return;
        };
        if pending.acknowledged || wire::sequence_of(&pending.datagram) != sequence {
            return;
        }
        let datagram = pending.datagram.clone();
        self.transmit(&datagram);
        let delay = (delay * 2).min(LAST_RETRANSMISSION);
        let event = Event::Retransmission(*flow, sequence, delay);
        self.schedule(self.harness.now + delay, event);
    }

    /// Passes what was delivered to the server.
    fn deliver(&mut self) {
        loop {
            let delivered = std::mem::take(&mut self.harness.out.to_server);
            if delivered.is_empty() {
                break;
            }
            for datagram in delivered {
                self.receive(&datagram);
            }
        }
        for flow in std::mem::take(&mut self.harness.out.refused) {
            let arrival = self.opening.remove(&flow).unwrap();
            self.record(arrival, true);
        }
        self.harness.out = Recorder::default();
    }

    fn receive(&mut self, datagram: &[u8]) {
        let flow = wire::flow_of(datagram);
        if datagram[0] == SYN {
            self.accept(flow);
            return;
        }
        let sequence = wire::sequence_of(datagram);
        if let Some(pending) = self.pending.get_mut(&flow) {
            pending.acknowledged = true;
        }
        // A repeated request is acknowledged again and not run twice.
        if self.received.insert(flow, sequence) == Some(sequence) {
            return;
        }
        if self.running < usize::from(SLOTS) {
            self.start(flow);
        } else if self.queue.len() < QUEUE_LIMIT {
            self.queue.push_back(flow);
        } else {
            self.answer(&flow, true);
        }
    }

    fn accept(&mut self, flow: FlowKey) {
        self.harness.next.insert(flow, (1, 1));
        if !self.direct {
            let accepted = wire::from_server(&flow, SYN | ACK, 0, &[]);
            self.harness.receive_from_server(&accepted);
        }
        self.schedule(self.harness.now + ROUND_TRIP, Event::Opened(flow));
    }

    fn start(&mut self, flow: FlowKey) {
        self.running += 1;
        let work = self.pending[&flow].arrival.work;
        self.schedule(self.harness.now + work, Event::Done(flow));
    }

    fn finish(&mut self, flow: &FlowKey) {
        self.running -= 1;
        if let Some(next) = self.queue.pop_front() {
            self.start(next);
        }
        self.answer(flow, false);
    }

    fn answer(&mut self, flow: &FlowKey, shed: bool) {
        let pending = self.pending.remove(flow).unwrap();
        let arrival = pending.arrival;
        self.record(arrival, shed);
        match self.direct {
            true => self.harness.next.get_mut(flow).unwrap().1 += 50,
            false => self.harness.answer(flow),
        }
        if arrival.opens {
            if !self.direct {
                let (_, sequence) = self.harness.next[flow];
                let reset = wire::from_server(flow, RST, sequence, &[]);
                self.harness.receive_from_server(&reset);
            }
            return;
        }
        let caller = (arrival.host, arrival.route);
        self.idle.entry(caller).or_default().push(*flow);
        if let Some(next) = self.unsent.get_mut(&caller).and_then(VecDeque::pop_front) {
            self.send(next);
        }
    }

    fn record(&mut self, arrival: Arrival, shed: bool) {
        let took = self.harness.now.since(arrival.at);
        let outcome = Outcome {
            arrival,
            took,
            shed,
        };
        self.outcomes.push(outcome);
    }
}
