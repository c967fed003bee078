//! The balancer: places new flows on agents, forwards segments to the owners of flows, and searches
//! for owners that it does not know.
//!
//! The flow table is a cache. The agents see every segment of their backend servers, so a balancer
//! can query them for the owner of any flow, and any balancer can take over any flow.

mod dead_agents;
mod directives;
mod evacuation;
pub mod fleet;
pub mod known_agents;
mod member_fetch;
mod opening;
mod reachability;
pub mod reply_time;
mod route_spread;
mod search;
mod silence;
mod stability;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, binary_heap::PeekMut},
    net::SocketAddrV4,
    sync::Arc,
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::SmallRng};
use rustc_hash::FxBuildHasher;

pub use self::route_spread::RouteAnnouncement;
use self::{
    dead_agents::DeadAgents,
    fleet::{AgentChanges, Fleet},
    known_agents::AgentSet,
    member_fetch::MemberFetch,
    opening::Opening,
    reachability::Reachability,
    reply_time::ReplyTime,
    route_spread::RouteSpread,
    search::{Search, budget::SearchBudget, round::Rounds},
    silence::Silences,
    stability::Stability,
};
use super::{
    choice::AgentCandidate,
    directives::{Directives, gossip::Gossip},
    message::{self, Message, Ownership, Received},
    metrics::BalancerMetrics,
    outbox::Outbox,
    routes::RouteTable,
    segment::{Codec, FlowKey, Segment},
};
use crate::{
    clock::Time,
    member::{KnownAgents, MemberState, View},
};

/// Time without a segment after which a flow is removed, if the routes set no idle timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Interval at which expired flows are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which further segments of a reset flow are answered by a reset without a new search.
const RESET_TTL: Duration = Duration::from_secs(2);

/// Longest time for which a balancer that knows a ready agent waits to learn of the others, in a fleet that
/// has just started as a whole. No process knows all agents yet, and callers wait.
const FRESH_JOIN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a balancer starts without what it lacks: from the first ready agent until it takes flows
/// although it may not know all agents, and from the first tick until it resets flows that it can't place even
/// if [`Balancer::can_serve`] is still false, unless it still waits for directives.
const START_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest number of entries in the flow table. When it is full, no entry is added for a new flow,
/// be it opened, searched for or reset. In the largest fleet, 72 flows a second open at each
/// balancer, and entries expire after the idle timeout.
const MAX_FLOWS: usize = 200_000;

/// State of one flow in the flow table.
#[derive(Clone, Debug)]
enum FlowState {
    /// No agent has been confirmed as the owner yet.
    Opening(Opening),
    /// Segments are forwarded to the owner.
    Owned(Owned),
    /// Agents and balancers are queried for the owner.
    Searching(Search),
    /// No agent holds the flow, or its route was removed, and the caller was sent a reset.
    Reset { expires: Time },
}

#[derive(Clone, Copy, Debug)]
struct Owned {
    agent: SocketAddrV4,
    /// Whether the agent itself has said that its server holds the flow. Otherwise a home has named it, or no
    /// other agent was left.
    is_confirmed: bool,
    /// Last acknowledgement number of the caller; a reset is sent with it as the sequence number.
    acknowledged: u32,
    expires: Time,
}

/// Routes that were applied since the last tick.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
enum RouteChange {
    /// No routes.
    #[default]
    None,
    /// Newer routes than before.
    Newer,
    /// The first routes, for which openings may have been kept.
    First,
}

/// Flows or agents by the time of their next timeout, earliest first. Entries of those whose
/// state or deadline has changed since stay until they are due.
type Timers<K> = BinaryHeap<Reverse<(Time, K)>>;

/// Options of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerOptions {
    /// Data address of this process, to which other processes send frames.
    pub address: SocketAddrV4,
    /// Failure domain of the VM.
    pub domain: String,
    /// Bandwidth of the VM's link in bytes per second.
    pub link_rate: u64,
}

/// The state machine of a balancer.
#[derive(Debug)]
pub struct Balancer<C> {
    codec: C,
    address: SocketAddrV4,
    domain: String,
    flows: HashMap<FlowKey, FlowState, FxBuildHasher>,
    fleet: Fleet,
    routes: Arc<RouteTable>,
    /// Spread of the routes; `None` if this balancer takes no part in it.
    route_spread: Option<RouteSpread>,
    /// What the next tick has to do about routes that were applied since the last one.
    route_change: RouteChange,
    directives: Arc<Directives>,
    /// Spread of the directives; `None` if the settings do not ask for them.
    gossip: Option<Gossip>,
    /// When a balancer that has routes stops waiting for directives.
    directives_deadline: Option<Time>,
    view_version: u64,
    /// Agents in the last view.
    known_agents: AgentSet,
    /// When `known_agents` counts as complete, unless another process knows more.
    stability: Stability,
    member_fetch: MemberFetch,
    /// Whether all members have been fetched, see [`View::joined`].
    joined: bool,
    /// When a balancer that knows a ready agent stops waiting for the others.
    join_deadline: Option<Time>,
    /// The same in a fleet that has just started as a whole.
    fresh_join_deadline: Option<Time>,
    /// Whether openings still wait for agents that are not known yet.
    starting: bool,
    first_tick: Option<Time>,
    opening_timers: Timers<FlowKey>,
    search_timers: Timers<FlowKey>,
    budget: SearchBudget,
    rounds: Rounds,
    metrics: BalancerMetrics,
    reachability: Reachability,
    reply_time: ReplyTime,
    dead_agents: DeadAgents,
    silences: Silences,
    next_expiry: Time,
    rng: SmallRng,
    /// Reused for each frame and reset, to avoid allocations.
    buffer: Vec<u8>,
    /// Reused for each choice of an agent, to avoid allocations.
    candidates: Vec<AgentCandidate>,
}

impl<C: Codec> Balancer<C> {
    /// Returns a balancer that knows no routes and no agents.
    pub fn new(codec: C, options: &BalancerOptions, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            codec,
            address: options.address,
            domain: options.domain.clone(),
            flows: HashMap::default(),
            fleet: Fleet::default(),
            routes: Arc::default(),
            route_spread: None,
            route_change: RouteChange::None,
            directives: Arc::default(),
            gossip: None,
            directives_deadline: None,
            view_version: 0,
            known_agents: AgentSet::default(),
            stability: Stability::default(),
            member_fetch: MemberFetch::default(),
            joined: false,
            join_deadline: None,
            fresh_join_deadline: None,
            starting: true,
            first_tick: None,
            opening_timers: Timers::new(),
            search_timers: Timers::new(),
            budget: SearchBudget::new(options.link_rate),
            rounds: Rounds::new(rng.random()),
            metrics: BalancerMetrics::default(),
            reachability: Reachability::default(),
            reply_time: ReplyTime::default(),
            dead_agents: DeadAgents::default(),
            silences: Silences::default(),
            next_expiry: Time::default(),
            rng,
            buffer: Vec::new(),
            candidates: Vec::new(),
        }
    }

    /// Returns whether the first routes have arrived.
    pub fn has_routes(&self) -> bool {
        self.routes.version > 0
    }

    /// Returns whether the balancer has routes and knows an agent that is ready.
    pub fn has_routes_and_ready_agent(&self) -> bool {
        self.has_routes() && self.fleet.has_ready()
    }

    /// Returns whether the balancer may receive its share of the flows: it has routes, knows a ready
    /// agent, and has fetched all members and the directives, or has waited long enough for them.
    pub fn can_serve(&self, now: Time) -> bool {
        let is_due = |deadline: Option<Time>| deadline.is_some_and(|deadline| now >= deadline);
        let has_waited = is_due(self.join_deadline)
            || self.stability.is_fresh(now) && is_due(self.fresh_join_deadline);
        self.has_routes_and_ready_agent()
            && (self.joined || has_waited)
            && !self.awaits_directives(now)
    }

    /// Returns whether all members have been fetched.
    pub fn has_joined(&self) -> bool {
        self.joined
    }

    /// Returns the metrics, to be registered once at the start.
    pub fn metrics(&self) -> &BalancerMetrics {
        &self.metrics
    }

    /// Replaces the routes if the version is higher than that of the present ones. The next tick, which
    /// is due at once, tells other balancers of them and places the openings that were kept for them.
    pub fn apply_routes(&mut self, routes: Arc<RouteTable>) {
        if routes.version <= self.routes.version {
            return;
        }
        self.route_change = match self.routes.version {
            0 => RouteChange::First,
            _ => self.route_change.max(RouteChange::Newer),
        };
        self.routes = routes;
    }

    /// Sets the VM's clock, from which the ages of other processes are computed. Without it, no fleet counts
    /// as just started.
    pub fn set_unix_ms(&mut self, unix_ms: u64, now: Time) {
        self.stability.set_unix_ms(unix_ms, now);
    }

    /// Returns a process that has replied with agents that are unknown here since the last call, to fetch
    /// its members; at most every 100 ms.
    pub fn take_member_fetch(&mut self, now: Time) -> Option<SocketAddrV4> {
        self.member_fetch.take(now)
    }

    /// Returns whether all agents that another process knows are known here, and remembers the process
    /// if not.
    fn compare_known_agents(&mut self, from: SocketAddrV4, agents: &KnownAgents) -> bool {
        let knows_all = self.known_agents.includes(agents);
        if !knows_all {
            self.member_fetch.request(from);
        }
        knows_all
    }

    /// Updates the agents from a view of the membership and retries the openings that wait for agents.
    /// Resets the flows of agents that have left, and has those queried that are suspected, were declared
    /// dead or have disappeared from the view.
    pub fn apply_view(&mut self, view: &View, now: Time, out: &mut impl Outbox) {
        self.view_version = view.version;
        if let Some(gossip) = &mut self.gossip {
            gossip.apply_view(view);
        }
        if let Some(spread) = &mut self.route_spread {
            spread.apply_view(view);
        }
        let changes = self.fleet.apply_view(view, &self.domain);
        self.update_known_agents(&changes, view, now);
        for agent in &changes.renewed {
            self.silences.end(*agent, "newer_record", now);
        }
        for agent in &changes.suspected {
            self.record_suspected(*agent, now);
        }
        self.stability.apply_view(view, now);
        self.joined = view.joined;
        if self.fleet.has_ready() {
            self.join_deadline.get_or_insert(now + START_TIMEOUT);
            self.fresh_join_deadline
                .get_or_insert(now + FRESH_JOIN_TIMEOUT);
        }
        if self.starting {
            self.starting = !self.can_serve(now);
            self.retry_openings(now, out);
        }
        self.handle_gone_agents(&changes.gone, view, now, out);
    }

    /// Updates the known agents. An agent that has left makes no difference to what a search can prove.
    /// One that was declared dead may be alive, and a process that still knows it may be right.
    fn update_known_agents(&mut self, changes: &AgentChanges, view: &View, now: Time) {
        let has_left = |agent: &SocketAddrV4| {
            let record = view.members.get(agent);
            record.is_some_and(|record| record.state == MemberState::Left)
        };
        let only_left = changes.gone.iter().all(has_left);
        if changes.has_new || !only_left {
            self.stability.record_change(now);
        }
        if changes.has_new || !changes.gone.is_empty() {
            self.known_agents.update(view);
        }
    }

    /// Handles a datagram of a caller; one that is not a segment is dropped.
    pub fn receive_from_caller(&mut self, datagram: &[u8], now: Time, out: &mut impl Outbox) {
        let Some(segment) = self.codec.read(datagram) else {
            return;
        };
        let flow = segment.flow_of_caller();
        let awaits_routes = self.routes.version == 0 && segment.is_opening();
        if !awaits_routes && !self.routes.routes.contains_key(&flow.address) {
            self.handle_unrouted(&flow, &segment, now, out);
            return;
        }
        if segment.is_opening() {
            self.receive_opening(&flow, &segment, datagram, now, out);
            return;
        }
        match self.flows.get_mut(&flow) {
            Some(FlowState::Owned(owned)) => {
                owned.acknowledged = segment.acknowledged;
                owned.expires = now + idle_timeout(&self.routes);
                let agent = owned.agent;
                self.forward(agent, datagram, out);
            }
            Some(FlowState::Opening(_)) => {
                self.complete_opening(&flow, &segment, datagram, now, out)
            }
            Some(FlowState::Searching(_)) => {
                self.continue_search(&flow, &segment, datagram, now, out)
            }
            Some(FlowState::Reset { expires }) if now < *expires => {
                self.send_reset(&flow, segment.acknowledged, out);
            }
            _ if segment.flags.rst => {}
            _ => self.start_search(&flow, &segment, datagram, now, out),
        }
    }

    /// Handles a message of an agent or of another balancer.
    pub fn receive_from_peer(&mut self, received: &Received<'_>, now: Time, out: &mut impl Outbox) {
        let from = received.from;
        self.silences.end(from, "message", now);
        self.dead_agents.record_message(from, now);
        if self.fleet.get(from).is_some() {
            self.reachability.record_message();
        }
        match received.message {
            Message::Opened {
                flow,
                initial,
                load,
            } => {
                self.fleet.record_acceptance(from, load);
                self.handle_opened(&flow, from, initial, now, out);
            }
            Message::Refused { refusal, load } => {
                self.fleet.record_refusal(from, refusal, load, now);
                let Some(segment) = self.codec.read(received.datagram) else {
                    return;
                };
                self.handle_refused(&segment.flow_of_caller(), from, refusal, now, out);
            }
            Message::Unknown => {
                let Some(segment) = self.codec.read(received.datagram) else {
                    return;
                };
                self.handle_unknown(&segment, from, received.datagram, now, out);
            }
            Message::Found {
                flow,
                ownership,
                agents,
            } => self.handle_found(&flow, from, (ownership, agents), now, out),
            Message::Waits { flow, load } => {
                self.fleet.record_acceptance(from, load);
                self.handle_waits(&flow, from, now);
            }
            Message::LoadReport(load) => self.fleet.update_load(from, load),
            Message::HeldFlows {
                round,
                sure,
                agents,
            } => {
                let reply = (round, sure, agents);
                self.handle_held_flows(from, reply, received.datagram, now, out);
            }
            Message::Find { flow, .. } => self.reply_to_query(from, &flow, out),
            Message::Open { .. }
            | Message::Forward
            | Message::Register { .. }
            | Message::ListFlows { .. }
            | Message::ListRegistrations
            | Message::Registrations => {}
            Message::Directives { .. } => self.receive_directives(received, now, out),
            Message::RouteVersion { version, control } => {
                self.receive_route_version(received, (version, control), out);
            }
        }
    }

    /// Handles the timeouts that have passed, sends probes and removes expired flows.
    pub fn tick(&mut self, now: Time, out: &mut impl Outbox) {
        self.tick_directives(now, out);
        let route_change = std::mem::take(&mut self.route_change);
        self.tick_route_spread(route_change, now, out);
        if route_change == RouteChange::First {
            self.place_kept_openings(now, out);
        }
        while let Some(flow) = pop_due(&mut self.opening_timers, now) {
            self.handle_opening_timeout(&flow, now, out);
        }
        while let Some(flow) = pop_due(&mut self.search_timers, now) {
            self.handle_search_timeout(&flow, now, out);
        }
        self.query_silent_agents(now, out);
        self.run_rounds(now, out);
        let first_tick = *self.first_tick.get_or_insert(now);
        let has_timed_out = now.since(first_tick) >= START_TIMEOUT && !self.awaits_directives(now);
        if self.starting && (has_timed_out || self.can_serve(now)) {
            self.starting = false;
            self.retry_openings(now, out);
        }
        self.probe_while_isolated(now, out);
        self.check_dead_agents(now, out);
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRE_INTERVAL;
            self.flows.retain(|_, entry| now < entry.expires());
        }
    }

    /// Returns when [`Balancer::tick`] has to be called next.
    pub fn due(&self) -> Time {
        if self.route_change != RouteChange::None {
            return Time::default();
        }
        let opening = self.opening_timers.peek().map(|Reverse((due, _))| *due);
        let search = self.search_timers.peek().map(|Reverse((due, _))| *due);
        let next = opening.into_iter().chain(search);
        let next = next.chain(self.rounds.due()).chain(self.dead_agents.due());
        let next = next.chain(self.silences.due());
        let gossip = self.gossip.as_ref().and_then(Gossip::due);
        let routes = self.route_spread.as_ref().and_then(RouteSpread::due);
        let next = next.chain(gossip).chain(routes).min();
        next.map_or(self.next_expiry, |next| next.min(self.next_expiry))
    }

    /// Answers the query of another balancer from the flow table.
    fn reply_to_query(&mut self, to: SocketAddrV4, flow: &FlowKey, out: &mut impl Outbox) {
        let ownership = match self.flows.get(flow) {
            Some(FlowState::Owned(owned)) => Ownership::HeldBy(owned.agent),
            Some(FlowState::Opening(opening)) => opening.ownership(),
            // From a balancer, `NotHeld` means that it does not know the owner.
            _ => Ownership::NotHeld,
        };
        let found = Message::Found {
            flow: *flow,
            ownership,
            agents: self.known_agents.summary(),
        };
        self.send(to, &found, &[], out);
    }

    /// Handles a segment to an address without a route. An opening is reset at once. Any other segment
    /// causes a reset only if its flow is in the flow table: then the route was removed; otherwise the
    /// route may not have reached this balancer yet. Before the first route table, these are dropped.
    fn handle_unrouted(
        &mut self,
        flow: &FlowKey,
        segment: &Segment,
        now: Time,
        out: &mut impl Outbox,
    ) {
        if self.routes.version == 0 {
            return;
        }
        if self.flows.contains_key(flow) {
            self.reset_flow(flow, segment.acknowledged, "no_route", now, out);
        } else if segment.is_opening() {
            self.reject_opening(flow, "no_route", out);
        }
    }

    fn set_owner(
        &mut self,
        flow: &FlowKey,
        (agent, is_confirmed): (SocketAddrV4, bool),
        acknowledged: u32,
        now: Time,
    ) {
        let owned = Owned {
            agent,
            is_confirmed,
            acknowledged,
            expires: now + idle_timeout(&self.routes),
        };
        self.insert(flow, FlowState::Owned(owned));
    }

    fn insert(&mut self, flow: &FlowKey, entry: FlowState) {
        if self.flows.len() < MAX_FLOWS || self.flows.contains_key(flow) {
            self.flows.insert(*flow, entry);
        }
    }

    /// Sends the caller of a flow that has ended a reset, and keeps the flow as reset for [`RESET_TTL`].
    fn reset_flow(
        &mut self,
        flow: &FlowKey,
        acknowledged: u32,
        reason: &'static str,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let expires = now + RESET_TTL;
        self.insert(flow, FlowState::Reset { expires });
        self.send_first_reset(flow, acknowledged, reason, out);
    }

    /// Sends a reset that is logged and counted.
    fn send_first_reset(
        &mut self,
        flow: &FlowKey,
        sequence: u32,
        reason: &'static str,
        out: &mut impl Outbox,
    ) {
        tracing::info!(
            event = "flow_reset",
            %flow,
            reason,
            routes = self.routes.version,
            view = self.view_version,
        );
        self.metrics
            .reset
            .get_or_create(&[("reason", reason)])
            .inc();
        self.send_reset(flow, sequence, out);
    }

    fn send_reset(&mut self, flow: &FlowKey, sequence: u32, out: &mut impl Outbox) {
        self.codec.reset(flow, sequence, &mut self.buffer);
        out.to_caller(flow.caller, &self.buffer);
    }

    fn forward(&mut self, agent: SocketAddrV4, datagram: &[u8], out: &mut impl Outbox) {
        self.send(agent, &Message::Forward, datagram, out);
    }

    fn send(
        &mut self,
        peer: SocketAddrV4,
        message: &Message,
        datagram: &[u8],
        out: &mut impl Outbox,
    ) {
        message::encode(message, datagram, &mut self.buffer);
        out.to_peer(peer, &self.buffer);
    }

    fn random(&mut self) -> u64 {
        self.rng.random()
    }
}

impl FlowState {
    fn expires(&self) -> Time {
        match self {
            FlowState::Opening(opening) => opening.expires,
            FlowState::Owned(owned) => owned.expires,
            FlowState::Searching(search) => search.expires,
            FlowState::Reset { expires } => *expires,
        }
    }
}

fn pop_due<K: Ord>(timers: &mut Timers<K>, now: Time) -> Option<K> {
    let next = timers.peek_mut()?;
    (next.0.0 <= now).then(|| PeekMut::pop(next).0.1)
}

fn idle_timeout(routes: &RouteTable) -> Duration {
    match routes.idle_ms {
        0 => DEFAULT_IDLE_TIMEOUT,
        ms => Duration::from_millis(ms),
    }
}
