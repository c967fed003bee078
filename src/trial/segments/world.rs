//! The events of the model and what is checked at each.

mod checks;
mod disturbances;
mod members;
mod traffic;

use std::{
    collections::{BTreeMap, HashMap},
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use berylvalve_core::{
    clock::Time,
    l4::{
        agent::{Agent, AgentOptions},
        balancer::{Balancer, BalancerOptions},
        message,
        outbox::Outbox,
        routes::{Route, RouteTable, ServiceKey, Target},
        segment::Codec,
    },
    member::{MemberState, Record, View},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{
    Figures, Plan,
    caller::Caller,
    codec::ModelCodec,
    faults::Fault,
    server::{Server, Work},
    witness::Witness,
};
use crate::trial::agenda::Agenda;

/// Length of a run.
const RUN_TIME: Time = Time::from_millis(20_000);

/// The last microsecond of a run.
const LAST_TIME: Time = Time(RUN_TIME.0 - 1);

/// Time before callers begin.
const LEAD_TIME: Time = Time::from_millis(1_000);

const DOMAINS: usize = 3;
const BALANCERS: usize = 6;
const SERVERS: usize = 9;
const CALLERS: usize = 60;
const PEER_PORT: u16 = 7001;
const SERVER_PORT: u16 = 8000;
const SERVER_DELAY: Duration = Duration::from_micros(300);
const SERVER_SLOTS: usize = 3;
const SERVER_WORK: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
const TARGET_MS: u32 = 150;

/// Bytes a second that a balancer's link carries.
const LINK: u64 = 1_250_000;

/// One in so many datagrams between processes is lost.
const LOSS: u32 = 200;

/// Longest time until a process learns of a change of the membership.
const MAX_NEWS_MS: u64 = 900;

/// Time after which a silent process is given up.
const GIVE_UP: Duration = Duration::from_millis(2_500);

/// Time without a balancer's answer after which routers take it out.
const ROUTER_TIME: Duration = Duration::from_millis(1_000);

/// Time after a server's or agent's last disturbance from which its flows must not be broken.
const CALM_TIME: Duration = Duration::from_millis(4_000);

/// What is delivered to a process of the system.
#[derive(Clone, Debug)]
enum Event {
    ToBalancer(usize, SocketAddrV4, Vec<u8>),
    FromCaller(usize, Vec<u8>),
    ToAgent(usize, SocketAddrV4, Vec<u8>),
    FromServer(usize, u64, Vec<u8>),
    ToServer(usize, Vec<u8>),
    ToCaller(Vec<u8>, bool),
    Done(usize, u64, Work),
    CallerDue(usize),
    Tick(Place),
    Report(usize, u64),
    News(Place, Box<View>),
    Fault(Fault),
    Back(Place),
    ServerBack(usize),
    Gone(Place, u64),
    OutOfRotation(usize, u64),
}

/// A process of the system.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum Place {
    Balancer(usize),
    Agent(usize),
}

/// When a process was disturbed last, and whether it runs.
#[derive(Clone, Copy, Debug)]
struct Standing {
    up: bool,
    life: u64,
    /// When the process started.
    started: Time,
    frozen: Time,
    disturbed: Time,
}

#[derive(Default)]
struct Sent {
    peers: Vec<(SocketAddrV4, Vec<u8>)>,
    callers: Vec<Vec<u8>>,
    server: Vec<Vec<u8>>,
}

impl Outbox for Sent {
    fn to_peer(&mut self, peer: SocketAddrV4, frame: &[u8]) {
        self.peers.push((peer, frame.to_vec()));
    }

    fn to_caller(&mut self, _: SocketAddrV4, datagram: &[u8]) {
        self.callers.push(datagram.to_vec());
    }

    fn to_server(&mut self, datagram: &[u8]) {
        self.server.push(datagram.to_vec());
    }
}

/// One run of the model.
pub struct World {
    now: Time,
    events: Agenda<Event>,
    rng: SmallRng,
    figures: Figures,
    balancers: Vec<Balancer<ModelCodec>>,
    agents: Vec<Agent<ModelCodec>>,
    servers: Vec<Server>,
    callers: Vec<Caller>,
    standing: BTreeMap<Place, Standing>,
    members: BTreeMap<SocketAddrV4, Record>,
    view: View,
    /// Version of the view that each process has learnt last.
    news: BTreeMap<Place, u64>,
    rotation: Vec<bool>,
    witness: Witness,
    routes: Arc<RouteTable>,
}

fn service(server: usize) -> ServiceKey {
    ServiceKey::of(match server < SERVERS - 3 {
        true => "desk",
        false => "maps",
    })
}

fn service_address(desk: bool) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, if desk { 1 } else { 2 }), 443)
}

fn address(place: Place) -> SocketAddrV4 {
    let ip = match place {
        Place::Balancer(index) => Ipv4Addr::new(10, 0, 0, index as u8 + 1),
        Place::Agent(index) => Ipv4Addr::new(10, 0, 1, index as u8 + 1),
    };
    SocketAddrV4::new(ip, PEER_PORT)
}

fn place(address: SocketAddrV4) -> Place {
    let [_, _, kind, index] = address.ip().octets();
    match kind {
        0 => Place::Balancer(usize::from(index) - 1),
        _ => Place::Agent(usize::from(index) - 1),
    }
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

fn route_table() -> RouteTable {
    let mut routes = HashMap::new();
    for (name, server) in [("desk", 0), ("maps", SERVERS - 1)] {
        let route = Route {
            name: name.to_owned(),
            idempotent: true,
            priority: 1,
            target_ms: TARGET_MS,
            timeout_ms: 0,
            targets: vec![Target {
                service: service(server),
                weight: 1,
            }],
        };
        routes.insert(service_address(name == "desk"), route);
    }
    RouteTable {
        version: 1,
        idle_ms: 15_000,
        routes,
    }
}

fn agent(index: usize, now: Time) -> Agent<ModelCodec> {
    let own = address(Place::Agent(index));
    let options = AgentOptions {
        domain: domain(index),
        service: service(index),
        server_address: SocketAddrV4::new(*own.ip(), SERVER_PORT),
        report_interval: REPORT_INTERVAL,
        idle_timeout: Duration::from_secs(60),
        max_lifetime: Duration::from_secs(60),
        max_flows: 2000,
        address: own,
    };
    Agent::new(ModelCodec, options, now)
}

impl World {
    /// Returns a world before its first event.
    pub fn new(plan: Plan, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let faults = plan.schedule(&mut rng, RUN_TIME);
        let mut world = Self {
            now: Time::default(),
            events: Agenda::default(),
            figures: Figures::default(),
            balancers: Vec::new(),
            agents: (0..SERVERS).map(|i| agent(i, Time::default())).collect(),
            servers: Vec::new(),
            callers: Vec::new(),
            standing: BTreeMap::new(),
            members: BTreeMap::new(),
            view: View {
                joined: true,
                ..View::default()
            },
            news: BTreeMap::new(),
            rotation: vec![true; BALANCERS],
            witness: Witness::new(Duration::ZERO),
            routes: Arc::new(route_table()),
            rng,
        };
        for index in 0..BALANCERS {
            let balancer = world.balancer(index);
            world.balancers.push(balancer);
        }
        for index in 0..SERVERS {
            let work = SERVER_WORK.mul_f64(if index % 3 == 0 { 1.7 } else { 0.8 });
            world.servers.push(Server::new(SERVER_SLOTS, work));
        }
        world.start();
        for (at, fault) in faults {
            world.at(at, Event::Fault(fault));
        }
        world
    }

    fn balancer(&mut self, index: usize) -> Balancer<ModelCodec> {
        let options = BalancerOptions {
            address: address(Place::Balancer(index)),
            domain: domain(index),
            link_rate: LINK,
        };
        let seed = self.rng.random();
        let mut balancer = Balancer::new(ModelCodec, &options, seed);
        balancer.apply_routes(self.routes.clone());
        balancer
    }

    fn start(&mut self) {
        let places = (0..BALANCERS).map(Place::Balancer);
        let places: Vec<Place> = places.chain((0..SERVERS).map(Place::Agent)).collect();
        for place in places {
            let standing = Standing {
                up: true,
                life: 1,
                started: Time::default(),
                frozen: Time::default(),
                disturbed: Time::default(),
            };
            self.standing.insert(place, standing);
            self.member(place, MemberState::Ready);
            self.after(Duration::ZERO, Event::Tick(place));
        }
        self.tell_all(Duration::ZERO);
        for index in 0..SERVERS {
            self.after(Duration::from_millis(5), Event::Report(index, 1));
        }
        for index in 0..CALLERS {
            let lasting = index % 3 != 0;
            let ip = Ipv4Addr::new(100, 64, 0, index as u8 + 1);
            let due = LEAD_TIME + Duration::from_millis(self.rng.random_range(0..1000));
            let requests = if lasting { 1000 } else { 1 };
            let target = service_address(index % 5 != 0);
            let mut caller = Caller::new(ip, target, index % DOMAINS, requests, due);
            caller.idempotent = index % 2 == 0;
            self.callers.push(caller);
            self.at(due, Event::CallerDue(index));
        }
    }

    /// Runs to the end and returns what callers and servers saw.
    pub fn run(mut self) -> Figures {
        while let Some((time, event)) = self.events.pop(LAST_TIME) {
            self.now = time;
            self.handle(event);
        }
        self.figures.openings_ms.sort_unstable();
        self.figures.answers_ms.sort_unstable();
        self.figures
    }

    fn at(&mut self, time: Time, event: Event) {
        self.events.add(time, event);
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.at(self.now + delay, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToBalancer(index, from, frame) => {
                if self.deferred(Place::Balancer(index), || {
                    Event::ToBalancer(index, from, frame.clone())
                }) {
                    return;
                }
                let mut sent = Sent::default();
                if let Ok(received) = message::decode(from, &frame) {
                    self.balancers[index].receive_from_peer(&received, self.now, &mut sent);
                }
                self.send(Place::Balancer(index), sent);
            }
            Event::FromCaller(index, datagram) => {
                if self.deferred(Place::Balancer(index), || {
                    Event::FromCaller(index, datagram.clone())
                }) {
                    return;
                }
                let mut sent = Sent::default();
                self.balancers[index].receive_from_caller(&datagram, self.now, &mut sent);
                self.send(Place::Balancer(index), sent);
            }
            Event::ToAgent(index, from, frame) => {
                if self.deferred(Place::Agent(index), || {
                    Event::ToAgent(index, from, frame.clone())
                }) {
                    return;
                }
                let mut sent = Sent::default();
                if let Ok(received) = message::decode(from, &frame) {
                    self.agents[index].receive_from_peer(&received, self.now, &mut sent);
                }
                self.send(Place::Agent(index), sent);
            }
            Event::FromServer(index, life, datagram) => {
                if self.servers[index].life != life {
                    return;
                }
                if self.deferred(Place::Agent(index), || {
                    Event::FromServer(index, life, datagram.clone())
                }) {
                    return;
                }
                let mut sent = Sent::default();
                self.agents[index].receive_from_server(&datagram, self.now, &mut sent);
                self.send(Place::Agent(index), sent);
            }
            Event::ToServer(index, datagram) => self.reach_server(index, &datagram),
            Event::ToCaller(datagram, own) => self.reach_caller(&datagram, own),
            Event::Done(index, life, work) => {
                if self.servers[index].life == life {
                    let reaction = self.servers[index].done(&work, &mut self.rng);
                    self.react(index, reaction);
                }
            }
            Event::CallerDue(index) => self.caller_due(index),
            Event::Tick(place) => self.tick(place),
            Event::Report(index, life) => self.report(index, life),
            Event::News(place, view) => self.news(place, &view),
            Event::Fault(fault) => self.strike(fault),
            Event::Back(place) => self.back(place),
            Event::ServerBack(index) => self.server_back(index),
            Event::Gone(place, life) => {
                let standing = self.standing[&place];
                if standing.life == life && !standing.up {
                    self.member(place, MemberState::Dead);
                    self.tell_all(Duration::from_millis(MAX_NEWS_MS));
                }
            }
            Event::OutOfRotation(index, life) => {
                let standing = self.standing[&Place::Balancer(index)];
                if standing.life == life {
                    self.rotation[index] = false;
                }
            }
        }
    }

    /// Drops an event of a process that is down, or defers it if the process is frozen.
    fn deferred(&mut self, place: Place, again: impl FnOnce() -> Event) -> bool {
        let standing = self.standing[&place];
        if !standing.up {
            return true;
        }
        if self.now < standing.frozen {
            self.at(standing.frozen, again());
            return true;
        }
        false
    }

    fn tick(&mut self, place: Place) {
        if self.deferred(place, || Event::Tick(place)) {
            return;
        }
        let mut sent = Sent::default();
        let due = match place {
            Place::Balancer(index) => {
                self.balancers[index].tick(self.now, &mut sent);
                self.balancers[index].due()
            }
            Place::Agent(index) => {
                self.agents[index].tick(self.now, &mut sent);
                self.agents[index].due()
            }
        };
        self.send(place, sent);
        let soonest = self.now + Duration::from_millis(1);
        let latest = self.now + Duration::from_millis(5);
        self.at(due.clamp(soonest, latest), Event::Tick(place));
    }

    fn send(&mut self, from: Place, sent: Sent) {
        for (peer, frame) in sent.peers {
            self.figures.messages += 1;
            if self.rng.random_range(0..LOSS) == 0 {
                continue;
            }
            let delay = Duration::from_micros(self.rng.random_range(150..900));
            let event = match place(peer) {
                Place::Balancer(index) if index < BALANCERS => {
                    Event::ToBalancer(index, address(from), frame)
                }
                Place::Agent(index) if index < SERVERS => {
                    Event::ToAgent(index, address(from), frame)
                }
                _ => continue,
            };
            self.after(delay, event);
        }
        for datagram in sent.callers {
            let delay = Duration::from_micros(self.rng.random_range(1000..1500));
            let reset = ModelCodec.read(&datagram).is_some_and(|s| s.flags.rst);
            self.after(delay, Event::ToCaller(datagram, reset));
        }
        if let Place::Agent(index) = from {
            for datagram in sent.server {
                let delay = Duration::from_micros(50);
                self.after(delay, Event::ToServer(index, datagram));
            }
        }
    }
}
