//! The balancer: places new flows on agents, remembers their owners, and finds the owners of flows
//! that it does not know.
//!
//! What it remembers is a shortcut. A flow that it does not know is looked for at the agents, which
//! see every segment of their backend servers; so any balancer can take over any flow.

mod contact;
mod departures;
pub mod fleet;
mod opening;
mod search;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, binary_heap::PeekMut},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rustc_hash::FxBuildHasher;

use self::{
    contact::Contact,
    departures::Departures,
    fleet::Fleet,
    opening::Opening,
    search::{Search, budget::SearchBudget},
};
use super::{
    choice::Candidate,
    counts::BalancerCounts,
    message::{self, Message, Ownership, Received},
    outbox::Outbox,
    routes::RouteTable,
    segment::{Codec, FlowKey, Segment},
};
use crate::{
    clock::Time,
    member::{KnownAgents, View},
};

/// Time without a segment after which the owner of a flow is forgotten, if the routes name none.
const IDLE_TIME: Duration = Duration::from_secs(15);

/// Time between two searches for flows to forget.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a flow that no agent holds is answered by a reset without a new search.
const LOST_TIME: Duration = Duration::from_secs(2);

/// Longest wait of a balancer that knows some agents for news of the others.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// Time after which a balancer that has just started refuses what it can't place, also if it has met
/// nobody.
const START_LIMIT: Duration = Duration::from_secs(3);

/// Time without a new agent after which a balancer takes those that it knows for all: news of one
/// reaches everybody within it.
const QUIET_TIME: Duration = Duration::from_millis(900);

/// Flows that are remembered at most; the largest fleet opens 72 a second in each balancer.
const MAX_FLOWS: usize = 200_000;

/// What a balancer knows of one flow.
#[derive(Clone, Debug)]
enum Entry {
    /// It is being placed.
    Opening(Opening),
    /// An agent holds it.
    Owned(Owned),
    /// Its owner is looked for.
    Searching(Search),
    /// Nobody holds it; its caller was told.
    Lost {
        /// When this is forgotten.
        expires: Time,
    },
}

#[derive(Clone, Copy, Debug)]
struct Owned {
    agent: SocketAddrV4,
    acknowledged: u32,
    expires: Time,
}

/// When something runs out, earliest first.
type Timers = BinaryHeap<Reverse<(Time, FlowKey)>>;

/// What a balancer is told at its start.
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Address at which the other processes send frames.
    pub own: SocketAddrV4,
    /// Failure domain of the VM.
    pub domain: String,
    /// Bytes a second that the VM's link carries.
    pub link: u64,
}

/// The state of a balancer.
#[derive(Debug)]
pub struct Balancer<C> {
    codec: C,
    domain: String,
    own: SocketAddrV4,
    flows: HashMap<FlowKey, Entry, FxBuildHasher>,
    fleet: Fleet,
    routes: Arc<RouteTable>,
    view_version: u64,
    /// Agents that the membership shows.
    agents: KnownAgents,
    /// From when on they count as all, unless another process knows more.
    complete: Time,
    joined: bool,
    /// Until when a balancer that knows some agents waits for the others.
    settled: Option<Time>,
    /// Whether it was not settled at the last look; openings may wait for agents that are not known.
    starting: bool,
    /// When it looked first at what is due.
    began: Option<Time>,
    /// When the attempts to place a flow run out.
    openings: Timers,
    /// When the steps of a search run out.
    searches: Timers,
    budget: SearchBudget,
    counts: BalancerCounts,
    contact: Contact,
    departures: Departures,
    expire: Time,
    rng: SmallRng,
    buffer: Vec<u8>,
    candidates: Vec<Candidate>,
}

impl<C: Codec> Balancer<C> {
    /// Returns a balancer that knows no routes and no agents.
    pub fn new(codec: C, options: &BalancerOptions, seed: u64) -> Self {
        Self {
            codec,
            own: options.own,
            domain: options.domain.clone(),
            flows: HashMap::default(),
            fleet: Fleet::default(),
            routes: Arc::default(),
            view_version: 0,
            agents: KnownAgents::default(),
            complete: Time::default(),
            joined: false,
            settled: None,
            starting: true,
            began: None,
            openings: Timers::new(),
            searches: Timers::new(),
            budget: SearchBudget::new(options.link),
            counts: BalancerCounts::default(),
            contact: Contact::default(),
            departures: Departures::default(),
            expire: Time::default(),
            rng: SmallRng::seed_from_u64(seed),
            buffer: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Returns whether the balancer knows routes and agents.
    pub fn is_ready(&self) -> bool {
        self.routes.version > 0 && self.fleet.has_ready()
    }

    /// Returns whether the balancer may take its share of the flows: it knows all that its seeds
    /// knew, or has waited long enough for the rest.
    pub fn is_settled(&self, now: Time) -> bool {
        let waited = self.settled.is_some_and(|settled| now >= settled);
        self.is_ready() && (self.joined || waited)
    }

    /// Returns what the balancer counts.
    pub fn counts(&self) -> &BalancerCounts {
        &self.counts
    }

    /// Takes newer routes.
    pub fn take_routes(&mut self, routes: Arc<RouteTable>) {
        if routes.version > self.routes.version {
            self.routes = routes;
        }
    }

    /// Takes the members of the fleet, and sees to the flows of agents that are gone.
    pub fn take_view(&mut self, view: &View, now: Time, out: &mut impl Outbox) {
        self.view_version = view.version;
        let agents = view.known_agents();
        if agents != self.agents {
            self.agents = agents;
            self.complete = now + QUIET_TIME;
        }
        self.joined = view.joined;
        let gone = self.fleet.meet(view, &self.domain);
        if self.fleet.has_ready() {
            self.settled.get_or_insert(now + SETTLE_TIME);
        }
        if self.starting {
            self.starting = !self.is_settled(now);
            self.retry_openings(now, out);
        }
        self.depart(&gone, view, now, out);
    }

    /// Takes a datagram of a caller.
    pub fn receive(&mut self, datagram: &[u8], now: Time, out: &mut impl Outbox) {
        let Some(segment) = self.codec.read(datagram) else {
            return;
        };
        let flow = segment.flow_of_caller();
        if !self.routes.routes.contains_key(&flow.address) {
            self.unrouted(&flow, &segment, now, out);
            return;
        }
        if segment.is_opening() {
            self.open(&flow, datagram, now, out);
            return;
        }
        match self.flows.get_mut(&flow) {
            Some(Entry::Owned(owned)) => {
                owned.acknowledged = segment.acknowledged;
                owned.expires = now + idle_time(&self.routes);
                let agent = owned.agent;
                self.carry(agent, datagram, out);
            }
            Some(Entry::Opening(_)) => self.end_opening(&flow, &segment, datagram, now, out),
            Some(Entry::Searching(search)) => search.keep(datagram),
            Some(Entry::Lost { expires }) if now < *expires => {
                self.reset(&flow, segment.acknowledged, out);
            }
            _ if segment.flags.rst => {}
            _ => self.search(&flow, &segment, datagram, now, out),
        }
    }

    /// Takes a frame of an agent.
    pub fn receive_from_agent(
        &mut self,
        received: &Received<'_>,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let from = received.from;
        self.fleet.heard(from);
        self.departures.heard(from, now);
        if self.fleet.get(from).is_some() {
            self.contact.heard();
        }
        match received.message {
            Message::Opened {
                flow,
                initial,
                load,
            } => {
                self.fleet.accepted(from, load);
                self.opened(&flow, from, initial, now, out);
            }
            Message::Refused { refusal, load } => {
                self.fleet.refused(from, refusal, load, now);
                let Some(segment) = self.codec.read(received.datagram) else {
                    return;
                };
                self.refused(&segment.flow_of_caller(), from, refusal, now, out);
            }
            Message::Unknown => {
                let Some(segment) = self.codec.read(received.datagram) else {
                    return;
                };
                self.not_held(&segment, from, received.datagram, now, out);
            }
            Message::Found {
                flow,
                ownership,
                agents,
            } => self.found(&flow, from, (ownership, agents), now, out),
            Message::Waits { flow, load } => {
                self.fleet.accepted(from, load);
                self.waits(&flow, from);
            }
            Message::LoadReport(load) => self.fleet.loaded(from, load),
            Message::Find { flow, .. } => self.say_standing(from, &flow, out),
            Message::Open { .. } | Message::Forward | Message::Register { .. } => {}
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut impl Outbox) {
        while let Some(flow) = pop_due(&mut self.openings, now) {
            self.opening_overdue(&flow, now, out);
        }
        while let Some(flow) = pop_due(&mut self.searches, now) {
            self.search_overdue(&flow, now, out);
        }
        let began = *self.began.get_or_insert(now);
        let late = now.since(began) >= START_LIMIT;
        if self.starting && (late || self.is_settled(now)) {
            self.starting = false;
            self.retry_openings(now, out);
        }
        self.seek_contact(now, out);
        self.doubt(now, out);
        if now >= self.expire {
            self.expire = now + EXPIRE_INTERVAL;
            self.flows.retain(|_, entry| now < entry.expires());
        }
    }

    /// Returns when [`Balancer::tick`] has something to do next.
    pub fn due(&self) -> Time {
        let opening = self.openings.peek().map(|Reverse((due, _))| *due);
        let search = self.searches.peek().map(|Reverse((due, _))| *due);
        let next = opening.into_iter().chain(search);
        let next = next.chain(self.departures.due()).min();
        next.map_or(self.expire, |next| next.min(self.expire))
    }

    /// Tells another balancer where a flow is, if that is known here.
    fn say_standing(&mut self, to: SocketAddrV4, flow: &FlowKey, out: &mut impl Outbox) {
        let ownership = match self.flows.get(flow) {
            Some(Entry::Owned(owned)) => Ownership::HeldBy(owned.agent),
            Some(Entry::Opening(opening)) => opening.ownership(),
            _ => Ownership::NotHeld,
        };
        let found = Message::Found {
            flow: *flow,
            ownership,
            agents: self.agents,
        };
        self.send(to, &found, &[], out);
    }

    /// A segment to an address without a route: an opening is refused at once; a flow is ended if
    /// it is known here, so that its route was removed and is not just unknown yet.
    fn unrouted(&mut self, flow: &FlowKey, segment: &Segment, now: Time, out: &mut impl Outbox) {
        let known = self.flows.contains_key(flow);
        if !segment.is_opening() && !known || self.routes.version == 0 {
            return;
        }
        self.lose(flow, segment.acknowledged, "no_route", now, out);
    }

    fn own(&mut self, flow: &FlowKey, agent: SocketAddrV4, acknowledged: u32, now: Time) {
        let owned = Owned {
            agent,
            acknowledged,
            expires: now + idle_time(&self.routes),
        };
        self.insert(flow, Entry::Owned(owned));
    }

    fn insert(&mut self, flow: &FlowKey, entry: Entry) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(flow) {
            self.flows.insert(*flow, entry);
        }
    }

    /// Tells the caller that its flow has ended, and remembers it for a while.
    fn lose(
        &mut self,
        flow: &FlowKey,
        acknowledged: u32,
        reason: &'static str,
        now: Time,
        out: &mut impl Outbox,
    ) {
        tracing::info!(
            event = "flow_reset",
            %flow,
            reason,
            routes = self.routes.version,
            view = self.view_version,
        );
        self.counts.reset.get_or_create(&[("reason", reason)]).inc();
        let expires = now + LOST_TIME;
        self.insert(flow, Entry::Lost { expires });
        self.reset(flow, acknowledged, out);
    }

    fn reset(&mut self, flow: &FlowKey, sequence: u32, out: &mut impl Outbox) {
        self.codec.reset(flow, sequence, &mut self.buffer);
        out.to_caller(flow.caller, &self.buffer);
    }

    fn carry(&mut self, agent: SocketAddrV4, datagram: &[u8], out: &mut impl Outbox) {
        self.send(agent, &Message::Forward, datagram, out);
    }

    fn send(
        &mut self,
        agent: SocketAddrV4,
        message: &Message,
        datagram: &[u8],
        out: &mut impl Outbox,
    ) {
        message::encode(message, datagram, &mut self.buffer);
        out.to_peer(agent, &self.buffer);
    }

    fn salt(&mut self) -> u64 {
        self.rng.random()
    }
}

impl Entry {
    fn expires(&self) -> Time {
        match self {
            Entry::Opening(opening) => opening.expires,
            Entry::Owned(owned) => owned.expires,
            Entry::Searching(search) => search.expires,
            Entry::Lost { expires } => *expires,
        }
    }
}

fn pop_due(timers: &mut Timers, now: Time) -> Option<FlowKey> {
    let next = timers.peek_mut()?;
    (next.0.0 <= now).then(|| PeekMut::pop(next).0.1)
}

fn idle_time(routes: &RouteTable) -> Duration {
    match routes.idle_ms {
        0 => IDLE_TIME,
        ms => Duration::from_millis(ms),
    }
}
