//! One service under virtual time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slab::Slab;

use super::{
    Figures, Schedule, Way,
    server::{Request, Server},
};
use crate::{
    agent::{
        admission::{Action, AdmissionDecision, Arrival},
        capacity::ServerOutcome,
        peers::MAX_OFFLOAD_ATTEMPTS,
    },
    clock::Time,
    owner_id::ServiceTag,
    placement::{Candidate, Table},
};

const FLOWS_PER_SERVER: usize = 50;
const FLOW_LIFE: Duration = Duration::from_secs(20);
const TIMEOUT: Duration = Duration::from_secs(5);
const QUEUE: u32 = 64;
const HOP: Duration = Duration::from_millis(1);
const SPREAD_DELAY: Duration = Duration::from_millis(500);
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Age of a load report when it arrives.
const REPORT_LAG: usize = 4;
const WEIGHT_INTERVAL: Duration = Duration::from_millis(250);
const END: Time = Time::from_millis(40_000);
const MEASURED_FROM: Time = Time::from_millis(15_000);
/// A burst sends this many times its mean rate for one part in as many of each period.
const BURST_FACTOR: u64 = 5;
const BURST_PERIOD_MS: u64 = 10_000;
const SLOW_FACTOR: u32 = 4;
const SLOWED: usize = 0;
const NONSENSE: usize = 1;
/// Priorities of the mix with their parts in ten.
const PRIORITIES: [(u8, u32); 3] = [(0, 3), (4, 3), (7, 4)];
const MAX_US: u64 = 60_000_000;

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A flow sends a request.
    Send(usize),
    /// A request ends on a server.
    Done(usize, Time, Request),
    /// An agent has to look at its queue.
    Poll(usize),
    /// A request passed on reaches a peer.
    Passed(usize, Request),
    /// A peer had no slot; the request is back home.
    Returned(usize, Request),
    /// Agents look at their weights.
    Weigh,
    /// A new weight is known everywhere.
    Learn(usize, u16),
    /// Servers report their load.
    Report,
}

struct Flow {
    ends: Time,
    owner: usize,
}

/// One run.
pub struct Bench {
    agenda: BinaryHeap<Reverse<(Time, u64, usize)>>,
    announced: u64,
    by_priority: BTreeMap<u8, (u64, u64)>,
    events: Slab<Event>,
    flows: Vec<Flow>,
    latency: Histogram<u64>,
    now: Time,
    passes: u64,
    random: SmallRng,
    rate: f64,
    refusal_max: Duration,
    reports: Vec<Vec<f64>>,
    schedule: Schedule,
    sequence: u64,
    servers: Vec<Server>,
    table: Table,
    useful: Duration,
    way: Way,
}

impl Bench {
    /// Returns a run that has not begun.
    pub fn new(schedule: &Schedule, way: Way) -> Self {
        let mut servers = Vec::with_capacity(schedule.service.len());
        let mut capacity = 0.0;
        for (index, service) in schedule.service.iter().enumerate() {
            let factor = if index == SLOWED { SLOW_FACTOR } else { 1 };
            let service = *service * factor;
            capacity += f64::from(schedule.slots) / service.as_secs_f64();
            servers.push(Server::new(index, service, schedule.slots, schedule.seed));
        }
        let mut bench = Self {
            agenda: BinaryHeap::new(),
            announced: 0,
            by_priority: BTreeMap::new(),
            events: Slab::new(),
            flows: Vec::new(),
            latency: Histogram::new_with_bounds(1, MAX_US, 3).expect("valid bounds"),
            now: Time(0),
            passes: 0,
            random: SmallRng::seed_from_u64(schedule.seed),
            rate: capacity * schedule.load,
            refusal_max: Duration::ZERO,
            reports: vec![vec![0.0; servers.len()]; REPORT_LAG],
            schedule: schedule.clone(),
            sequence: 0,
            servers,
            table: Table::default(),
            useful: Duration::ZERO,
            way,
        };
        bench.rebuild();
        bench
    }

    /// Runs to the end and returns the figures.
    pub fn run(mut self) -> Figures {
        for flow in 0..FLOWS_PER_SERVER * self.servers.len() {
            let placed = self.place();
            self.flows.push(placed);
            self.schedule_send(flow);
        }
        self.after(WEIGHT_INTERVAL, Event::Weigh);
        self.after(REPORT_INTERVAL, Event::Report);
        while let Some(Reverse((at, _, index))) = self.agenda.pop() {
            if at >= END {
                break;
            }
            self.now = at;
            let event = self.events.remove(index);
            self.apply(event);
        }
        self.figures()
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        let entry = (self.now + delay, self.sequence, self.events.insert(event));
        self.agenda.push(Reverse(entry));
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Send(flow) => self.send(flow),
            Event::Done(server, began, request) => self.done(server, began, &request),
            Event::Poll(server) => {
                self.servers[server].poll_at = None;
                self.poll(server);
            }
            Event::Passed(server, request) => self.passed(server, request),
            Event::Returned(peer, request) => {
                let address = self.servers[peer].address;
                let home = &mut self.servers[request.home];
                home.peers
                    .record_refused(address, request.priority, self.now);
                self.admit(request);
            }
            Event::Weigh => self.weigh(),
            Event::Learn(server, weight) => {
                self.servers[server].weight = weight;
                self.rebuild();
            }
            Event::Report => self.report(),
        }
    }

    /// Places a new flow.
    fn place(&mut self) -> Flow {
        let id: u64 = self.random.random();
        let choice = self.table.choose(ServiceTag(1), &id.to_be_bytes());
        let choice = choice.expect("a table with members");
        let first = self.index(choice.first);
        let hands_on = matches!(self.way, Way::HandOn | Way::Offload);
        let busy = self.servers[first].admission.pressure() >= 1000;
        let owner = match choice.second {
            Some(second) if hands_on && busy => self.index(second),
            _ => first,
        };
        Flow {
            ends: self.now + self.exponential(FLOW_LIFE.as_secs_f64()),
            owner,
        }
    }

    fn index(&self, address: std::net::SocketAddrV4) -> usize {
        let found = self.servers.iter().position(|s| s.address == address);
        found.expect("known server")
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean)
    }

    fn schedule_send(&mut self, flow: usize) {
        let mut rate = self.rate / (FLOWS_PER_SERVER * self.servers.len()) as f64;
        if self.schedule.burst {
            rate *= BURST_FACTOR as f64;
        }
        let mut gap = self.exponential(1.0 / rate);
        if self.schedule.burst {
            gap = self.skip_quiet(gap);
        }
        self.after(gap, Event::Send(flow));
    }

    /// Stretches a gap over the quiet parts of the bursts.
    fn skip_quiet(&self, gap: Duration) -> Duration {
        let loud = Duration::from_millis(BURST_PERIOD_MS / BURST_FACTOR);
        let period = Duration::from_millis(BURST_PERIOD_MS);
        let since = Duration::from_micros(self.now.0 % (BURST_PERIOD_MS * 1000)).min(loud);
        let active = since + gap;
        let periods = (active.as_micros() / loud.as_micros()) as u32;
        let within = active - loud * periods;
        let start = Duration::from_micros(self.now.0 % (BURST_PERIOD_MS * 1000));
        (period * periods + within).saturating_sub(start)
    }

    fn send(&mut self, flow: usize) {
        if self.now >= self.flows[flow].ends {
            self.flows[flow] = self.place();
        }
        let request = Request {
            arrived: self.now,
            deadline: self.now + TIMEOUT,
            home: self.flows[flow].owner,
            priority: self.priority(),
            attempts: 0,
        };
        self.count(&request, false);
        self.admit(request);
        self.schedule_send(flow);
    }

    fn priority(&mut self) -> u8 {
        let mut draw = self.random.random_range(0..10);
        for (priority, parts) in PRIORITIES {
            if draw < parts {
                return priority;
            }
            draw -= parts;
        }
        0
    }

    /// Admits a request at home, or passes it to a peer.
    fn admit(&mut self, mut request: Request) {
        let home = request.home;
        let passing = self.way == Way::Offload && request.attempts < MAX_OFFLOAD_ATTEMPTS;
        if passing && !self.servers[home].admission.has_room(request.priority) {
            let candidates = self.candidates(Some(home));
            let chosen = self.servers[home]
                .peers
                .choose(&candidates, request.priority, self.now);
            if let Some(peer) = chosen {
                request.attempts += 1;
                self.passes += u64::from(self.now >= MEASURED_FROM);
                let peer = self.index(peer);
                self.after(HOP, Event::Passed(peer, request));
                return;
            }
        }
        let arrival = Arrival {
            deadline: request.deadline,
            priority: request.priority,
            queue_limit: QUEUE,
        };
        let server = &mut self.servers[home];
        match server.admission.try_admit(&arrival, self.now) {
            AdmissionDecision::Start => self.start(home, request),
            AdmissionDecision::Wait(id) => {
                server.waiting.insert(id, request);
            }
            AdmissionDecision::Refuse(_) => self.refuse(&request),
        }
        self.poll(home);
    }

    fn passed(&mut self, server: usize, request: Request) {
        if !self.servers[server].admission.has_room(request.priority) {
            self.after(HOP, Event::Returned(server, request));
            return;
        }
        let address = self.servers[server].address;
        self.servers[request.home].peers.record_accepted(address);
        let arrival = Arrival {
            deadline: request.deadline,
            priority: request.priority,
            queue_limit: QUEUE,
        };
        let verdict = self.servers[server].admission.try_admit(&arrival, self.now);
        match verdict {
            AdmissionDecision::Start => self.start(server, request),
            AdmissionDecision::Wait(id) => {
                self.servers[server].waiting.insert(id, request);
            }
            AdmissionDecision::Refuse(_) => self.refuse(&request),
        }
        self.poll(server);
    }

    fn start(&mut self, server: usize, request: Request) {
        let service = self.servers[server].service;
        self.after(service, Event::Done(server, self.now, request));
    }

    fn done(&mut self, index: usize, began: Time, request: &Request) {
        let now = self.now;
        let server = &mut self.servers[index];
        server
            .capacity
            .record_outcome(ServerOutcome::Served, began, now);
        server.admission.release_slot();
        let measured = now.since(began.max(MEASURED_FROM));
        if now >= MEASURED_FROM {
            server.busy += measured;
            if now <= request.deadline {
                self.useful += measured;
            }
            let taken = now.since(request.arrived).as_micros() as u64;
            self.latency.saturating_record(taken);
        }
        self.poll(index);
    }

    fn poll(&mut self, index: usize) {
        let now = self.now;
        let server = &mut self.servers[index];
        let estimate = server.capacity.estimate(now);
        server.admission.set_capacity(estimate);
        let actions = server.admission.poll(now);
        let next = server.admission.next_poll();
        for action in actions {
            match action {
                Action::Start(id) => {
                    let request = self.servers[index].waiting.remove(id);
                    self.start(index, request.expect("known waiter"));
                }
                Action::Refuse(id, _) => {
                    let request = self.servers[index].waiting.remove(id);
                    self.refuse(&request.expect("known waiter"));
                }
            }
        }
        let Some(next) = next else { return };
        let server = &mut self.servers[index];
        if server.poll_at.is_none_or(|at| next < at) {
            server.poll_at = Some(next);
            self.after(next.since(now), Event::Poll(index));
        }
    }

    fn refuse(&mut self, request: &Request) {
        self.count(request, true);
        if request.arrived >= MEASURED_FROM {
            let taken = self.now.since(request.arrived);
            self.refusal_max = self.refusal_max.max(taken);
        }
    }

    fn count(&mut self, request: &Request, refused: bool) {
        if request.arrived < MEASURED_FROM {
            return;
        }
        let (sent, lost) = self.by_priority.entry(request.priority).or_default();
        *sent += u64::from(!refused);
        *lost += u64::from(refused);
    }

    fn weigh(&mut self) {
        let sum: u32 = self.servers.iter().map(|s| u32::from(s.weight)).sum();
        let count = self.servers.len() as u32 - 1;
        for index in 0..self.servers.len() {
            let server = &mut self.servers[index];
            let peers = (sum - u32::from(server.weight)) / count.max(1);
            let weight = server
                .capacity
                .take_announcement(Some(peers as u16), self.now);
            let Some(weight) = weight else { continue };
            if matches!(self.way, Way::Equal | Way::Reported) {
                continue;
            }
            self.announced += u64::from(self.now >= MEASURED_FROM);
            self.after(SPREAD_DELAY, Event::Learn(index, weight));
        }
        self.after(WEIGHT_INTERVAL, Event::Weigh);
    }

    /// Takes the load reports of a while ago as weights; one server says that it is idle.
    fn report(&mut self) {
        let mut loads = Vec::with_capacity(self.servers.len());
        for (index, server) in self.servers.iter().enumerate() {
            let used = f64::from(server.admission.running()) / f64::from(self.schedule.slots);
            loads.push(if index == NONSENSE { 0.0 } else { used });
        }
        self.reports.push(loads);
        let lagged = self.reports.remove(0);
        if self.way == Way::Reported {
            for (server, load) in self.servers.iter_mut().zip(lagged) {
                server.weight = (100.0 * (1.05 - load)).max(5.0) as u16;
            }
            self.rebuild();
        }
        self.after(REPORT_INTERVAL, Event::Report);
    }

    fn candidates(&self, without: Option<usize>) -> Vec<Candidate> {
        let mut candidates = Vec::with_capacity(self.servers.len());
        for (index, server) in self.servers.iter().enumerate() {
            if Some(index) == without {
                continue;
            }
            candidates.push(Candidate {
                address: server.address,
                weight: server.weight,
            });
        }
        candidates
    }

    fn rebuild(&mut self) {
        self.table = Table::build(&self.candidates(None));
    }

    fn figures(self) -> Figures {
        let time = END.since(MEASURED_FROM).as_secs_f64();
        let slots = f64::from(self.schedule.slots);
        let uses = self
            .servers
            .iter()
            .map(|s| s.busy.as_secs_f64() / slots / time);
        let uses: Vec<f64> = uses.collect();
        let count = uses.len() as f64;
        let mean = uses.iter().sum::<f64>() / count;
        let requests: u64 = self.by_priority.values().map(|(sent, _)| sent).sum();
        let refused = self.by_priority.iter();
        let refused = refused.map(|(p, (sent, lost))| (*p, round(*lost as f64 / *sent as f64)));
        Figures {
            requests,
            imbalance: round(uses.iter().copied().fold(0.0, f64::max) / mean),
            useful: round(self.useful.as_secs_f64() / slots / count / time),
            refused: refused.collect(),
            refusal_max_ms: round(self.refusal_max.as_secs_f64() * 1000.0),
            p99_ms: round(self.latency.value_at_quantile(0.99) as f64 / 1000.0),
            passes: round(self.passes as f64 / requests.max(1) as f64),
            announced: round(self.announced as f64 / time / count),
        }
    }
}

fn round(value: f64) -> f64 {
    (value * 1000.0).round() / 1000.0
}
