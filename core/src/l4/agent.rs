//! The agent beside one backend server: takes or refuses new flows, knows which flows the server
//! holds, and passes segments both ways.

pub mod flows;
mod opening;

use std::{
    collections::{BTreeMap, VecDeque},
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use self::flows::{Flows, Held, Progress, Stage};
use super::{
    homes::{Homes, REGISTRATION_TTL, Registry},
    message::{self, Message, Received, Refusal, Standing},
    metrics::AgentMetrics,
    outbox::Outbox,
    outlier::OutlierDetector,
    routes::ServiceKey,
    segment::{Codec, FlowKey, Segment, follows},
    server::{Change, ReportError, Server, ServerReport, ServerState},
    waiting::{Urgency, WaitingRoom},
    workload::Workload,
};
use crate::{
    clock::Time,
    member::{KnownAgents, View},
};

/// Time in which a backend server answers an opening segment; it needs well under a millisecond.
const OPENING_ANSWER: Duration = Duration::from_millis(40);

/// Time between two opening segments that try whether a mute backend server answers again.
const MUTE_RETRY: Duration = Duration::from_millis(200);

/// Time between two reports of the load to balancers that are in touch.
const LOAD_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a segment after which a balancer gets no more reports.
const BALANCER_TIME: Duration = Duration::from_secs(5);

/// Time between two registrations of flows that have begun to last.
const REGISTER_INTERVAL: Duration = Duration::from_millis(250);

/// Time between two searches for expired flows.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// Time from a server's leave to the resets of what it held: it exits once its leave is
/// acknowledged.
const LEAVE_DELAY: Duration = Duration::from_millis(500);

/// What an agent is told at its start.
#[derive(Clone, Copy, Debug)]
pub struct AgentOptions {
    /// Service of the backend server.
    pub service: ServiceKey,
    /// Address at which the backend server takes segments.
    pub server: SocketAddrV4,
    /// Time between two reports of the backend server.
    pub report_interval: Duration,
    /// Time without a segment after which a flow is forgotten.
    pub idle: Duration,
    /// Longest life of a flow.
    pub max_life: Duration,
    /// Flows that the backend server holds at most.
    pub max_flows: u16,
    /// Address at which the other processes send frames; balancers have the same port.
    pub own: SocketAddrV4,
}

/// The state of an agent.
#[derive(Debug)]
pub struct Agent<C> {
    codec: C,
    options: AgentOptions,
    server: Server,
    flows: Flows,
    workload: Workload,
    /// Until when the backend server may hold flows that were not seen here.
    unsure: Option<Time>,
    waiting: WaitingRoom,
    /// Agents that the membership shows.
    agents: KnownAgents,
    homes: Homes,
    registry: Registry,
    /// Between which times flows began to last that were registered last.
    registered: (Time, Time),
    balancers: BTreeMap<SocketAddrV4, Time>,
    mute: Option<Time>,
    outlier: OutlierDetector,
    counts: AgentMetrics,
    orphaned: Option<Time>,
    /// Opening segments that were delivered, with the time in which they should be answered.
    offers: VecDeque<(Time, FlowKey)>,
    due: Due,
    buffer: Vec<u8>,
}

#[derive(Debug)]
struct Due {
    load: Time,
    expire: Time,
    register: Time,
    register_all: Time,
}

impl<C: Codec> Agent<C> {
    /// Returns an agent that has just started.
    pub fn new(codec: C, options: AgentOptions, now: Time) -> Self {
        Self {
            codec,
            server: Server::new(options.server, options.service, options.report_interval),
            flows: Flows::new(options.idle),
            workload: Workload::default(),
            unsure: Some(now + options.max_life),
            waiting: WaitingRoom::default(),
            agents: KnownAgents::default(),
            homes: Homes::default(),
            registry: Registry::default(),
            registered: (now, now),
            balancers: BTreeMap::new(),
            mute: None,
            outlier: OutlierDetector::default(),
            counts: AgentMetrics::default(),
            orphaned: None,
            offers: VecDeque::new(),
            due: Due {
                load: now,
                expire: now,
                register: now,
                register_all: now,
            },
            buffer: Vec::new(),
            options,
        }
    }

    /// Returns the state of the backend server, if it reports.
    pub fn server_state(&self, now: Time) -> Option<ServerState> {
        self.server.state(now)
    }

    /// Returns what the agent counts.
    pub fn counts(&self) -> &AgentMetrics {
        &self.counts
    }

    /// Takes the members of the fleet.
    pub fn take_view(&mut self, view: &View) {
        let agents = view.known_agents();
        if agents == self.agents {
            return;
        }
        self.agents = agents;
        let tag = self.options.service.tag();
        let same = view.agents().filter(|record| record.service == tag);
        self.homes = Homes::new(same.map(|record| record.address));
        // Homes have changed for some flows.
        self.due.register = Time::default();
    }

    /// Tells the homes of lasting flows who owns them.
    fn register(&mut self, now: Time, out: &mut impl Outbox) {
        let (from, until) = self.registered;
        self.registered = (until, now);
        let all = self.due.register == Time::default() || self.due.register_all <= now;
        if all {
            self.due.register_all = now + REGISTRATION_TTL / 2;
        }
        self.due.register = now + REGISTER_INTERVAL;
        let lasting = self.flows.lasting(now, (from, until), all);
        for flow in lasting {
            for home in self.homes.of(&flow).into_iter().flatten() {
                if home != self.options.own {
                    self.tell(home, &Message::Register { flow }, &[], out);
                }
            }
        }
    }

    /// Takes a status report of the backend server.
    ///
    /// # Errors
    ///
    /// Fails if the report changes nothing.
    pub fn report(
        &mut self,
        report: &ServerReport,
        now: Time,
        out: &mut impl Outbox,
    ) -> Result<(), ReportError> {
        let change = self.server.report(report, now)?;
        self.workload.set_slots(report.slots);
        match change {
            Change::Started { first } => {
                tracing::info!(
                    event = "server_started",
                    server = report.id,
                    born_ms = report.born_ms,
                    sequence = report.sequence,
                    slots = report.slots,
                    first,
                );
                if first {
                    self.reset_all("server_restarted", out);
                    self.unsure = None;
                }
                self.orphaned = None;
                self.mute = None;
                self.outlier.reset();
            }
            Change::State => tracing::info!(
                event = "server_state",
                server = report.id,
                state = ?report.state,
                sequence = report.sequence,
            ),
            Change::Nothing => {}
        }
        Ok(())
    }

    /// Takes the news that the backend server leaves.
    ///
    /// # Errors
    ///
    /// Fails if another start of the server is known.
    pub fn leave(&mut self, id: &str, now: Time) -> Result<(), ReportError> {
        self.server.leave(id)?;
        tracing::info!(
            event = "server_left",
            server = id,
            flows = self.workload.flows()
        );
        self.orphaned = Some(now + LEAVE_DELAY);
        Ok(())
    }

    /// Takes a frame of a balancer.
    pub fn receive(&mut self, received: &Received<'_>, now: Time, out: &mut impl Outbox) {
        let from = received.from;
        let registers = matches!(received.message, Message::Register { .. });
        if !registers {
            self.balancers.insert(from, now + BALANCER_TIME);
        }
        match received.message {
            Message::Open {
                service,
                forced,
                priority,
                target_ms,
            } => {
                let urgency = Urgency {
                    priority,
                    target: Duration::from_millis(target_ms.into()),
                    work: self.workload.work(),
                };
                let Some(segment) = self.codec.read(received.datagram) else {
                    return;
                };
                match self.refusal(&segment, service, forced, now) {
                    Some(refusal) => self.refuse(from, refusal, received.datagram, out),
                    None => self.open(&segment, urgency, received, now, out),
                }
            }
            Message::Carry => self.carry(received, now, out),
            Message::Register { flow } => self.registry.register(flow, from, now),
            Message::Find { flow, acknowledged } => {
                let standing = self.standing(&flow, acknowledged);
                self.say_standing(from, flow, standing, out);
            }
            _ => {}
        }
    }

    /// Takes a datagram of the backend server.
    pub fn receive_from_server(&mut self, datagram: &[u8], now: Time, out: &mut impl Outbox) {
        let Some(segment) = self.codec.read(datagram) else {
            return;
        };
        self.mute = None;
        self.server.heard(now);
        if segment.flags.bounced {
            self.bounced(&segment, datagram, out);
            self.serve_waiting(now, out);
            return;
        }
        match self.flows.answer(&segment, &mut self.workload, now) {
            Progress::Accepted { initial, balancer } => {
                let opened = Message::Opened {
                    flow: segment.flow_of_server(),
                    initial,
                    load: self.workload.load(),
                };
                self.tell(balancer, &opened, &[], out);
            }
            Progress::Found { balancer } => {
                let flow = segment.flow_of_server();
                let standing = Standing::Held;
                self.say_standing(balancer, flow, standing, out);
            }
            Progress::Answered(took) => {
                self.log_answer(&segment, took);
                let failed = self.codec.reports_failure(datagram).unwrap_or(false);
                self.judge(failed, now);
            }
            Progress::BrokeOff => self.judge(true, now),
            Progress::Other => {}
        }
        out.to_caller(segment.destination, datagram);
        self.serve_waiting(now, out);
    }

    /// Does the periodic work.
    pub fn tick(&mut self, now: Time, out: &mut impl Outbox) {
        if self.unsure.is_some_and(|until| now >= until) {
            self.unsure = None;
        }
        if self.orphaned.is_some_and(|at| now >= at) {
            self.orphaned = None;
            self.reset_all("server_left", out);
        }
        if now >= self.due.register {
            self.register(now, out);
        }
        if now >= self.due.expire {
            self.due.expire = now + EXPIRE_INTERVAL;
            self.registry.expire(now);
            self.flows.expire(&mut self.workload, now);
            self.balancers.retain(|_, until| now < *until);
        }
        while let Some((_, flow)) = self.offers.pop_front_if(|(due, _)| *due <= now) {
            self.check_offer(&flow, now);
        }
        self.serve_waiting(now, out);
        self.workload.set_failing(self.outlier.is_ejected(now));
        if now >= self.due.load {
            self.due.load = now + LOAD_INTERVAL;
            self.report_load(out);
        }
    }

    /// Returns when [`Agent::tick`] has something to do next.
    pub fn due(&self) -> Time {
        let next = self.due.load.min(self.due.expire).min(self.due.register);
        self.offers.front().map_or(next, |(due, _)| next.min(*due))
    }

    fn report_load(&mut self, out: &mut impl Outbox) {
        let carries = Message::Carries(self.workload.load());
        let mut buffer = std::mem::take(&mut self.buffer);
        message::encode(&carries, &[], &mut buffer);
        for balancer in self.balancers.keys() {
            out.to_peer(*balancer, &buffer);
        }
        self.buffer = buffer;
    }

    fn say_standing(
        &mut self,
        to: SocketAddrV4,
        flow: FlowKey,
        standing: Standing,
        out: &mut impl Outbox,
    ) {
        let found = Message::Found {
            flow,
            standing,
            agents: self.agents,
        };
        self.tell(to, &found, &[], out);
    }

    fn carry(&mut self, received: &Received<'_>, now: Time, out: &mut impl Outbox) {
        let Some(segment) = self.codec.read(received.datagram) else {
            return;
        };
        let from = received.from;
        let passed = self.flows.pass(&segment, from, &mut self.workload, now);
        match passed {
            Some(true) => self.log_request(&segment, received.datagram),
            Some(false) => {}
            None if self.may_hold_unseen() => {
                let flow = segment.flow_of_caller();
                self.flows.test(flow, from, &mut self.workload, now);
            }
            None => {
                self.tell(from, &Message::Unknown, received.datagram, out);
                return;
            }
        }
        self.deliver(from, received.datagram, out);
    }

    /// Returns whether the backend server may hold flows that were not seen here.
    fn may_hold_unseen(&self) -> bool {
        self.unsure.is_some() && !self.server.has_left()
    }

    fn log_answer(&self, segment: &Segment, took: Duration) {
        self.counts.answer_times.observe(took.as_secs_f64());
        tracing::debug!(
            event = "request_answered",
            flow = %segment.flow_of_server(),
            took_us = took.as_micros() as u64,
        );
    }

    /// Notes whether the backend server failed a request.
    fn judge(&mut self, failed: bool, now: Time) {
        if failed {
            self.count_failure(now);
        } else {
            self.outlier.record_success(now);
        }
        self.workload.set_failing(self.outlier.is_ejected(now));
    }

    fn count_failure(&mut self, now: Time) {
        self.counts.failures.inc();
        let Some(time) = self.outlier.record_failure(now) else {
            return;
        };
        tracing::warn!(
            event = "server_failing",
            server = self.server.id().unwrap_or("-"),
            avoided_ms = time.as_millis() as u64,
        );
    }

    fn log_request(&self, segment: &Segment, datagram: &[u8]) {
        self.counts.requests.inc();
        tracing::info!(
            event = "request",
            request = self.codec.request_id(datagram).unwrap_or("-"),
            flow = %segment.flow_of_caller(),
            server = self.server.id().unwrap_or("-"),
            busy = self.workload.load().busy,
            slots = self.workload.load().slots,
        );
    }

    fn standing(&self, flow: &FlowKey, acknowledged: u32) -> Standing {
        match self.flows.get(flow).map(|held| held.stage) {
            Some(Stage::Open | Stage::Ended) => Standing::Held,
            Some(Stage::Accepted { initial }) if follows(acknowledged, initial) => Standing::Held,
            Some(Stage::Accepted { .. } | Stage::Offered) => Standing::NotHeld,
            Some(Stage::Tested) => Standing::Unsure,
            None => self.standing_elsewhere(flow),
        }
    }

    fn standing_elsewhere(&self, flow: &FlowKey) -> Standing {
        match self.registry.owner(flow) {
            Some(owner) => Standing::At(owner),
            None if self.may_hold_unseen() => Standing::Unsure,
            None => Standing::NotHeld,
        }
    }

    fn bounced(&mut self, segment: &Segment, datagram: &[u8], out: &mut impl Outbox) {
        self.flows
            .remove(&segment.flow_of_caller(), &mut self.workload);
        let balancer = SocketAddrV4::new(Ipv4Addr::from(segment.mark), self.options.own.port());
        let mut clean = datagram.to_vec();
        self.codec.mark(&mut clean, 0);
        match segment.is_opening() {
            true => self.refuse(balancer, Refusal::Bounced, &clean, out),
            false => self.tell(balancer, &Message::Unknown, &clean, out),
        }
    }

    fn tell(
        &mut self,
        balancer: SocketAddrV4,
        message: &Message,
        datagram: &[u8],
        out: &mut impl Outbox,
    ) {
        message::encode(message, datagram, &mut self.buffer);
        out.to_peer(balancer, &self.buffer);
    }

    fn deliver(&mut self, from: SocketAddrV4, datagram: &[u8], out: &mut impl Outbox) {
        self.buffer.clear();
        self.buffer.extend_from_slice(datagram);
        self.codec
            .mark(&mut self.buffer, u32::from(from.ip().to_owned()));
        out.to_server(&self.buffer);
    }

    /// Resets the flows of a backend server that is gone for certain.
    fn reset_all(&mut self, reason: &'static str, out: &mut impl Outbox) {
        let flows = self.flows.drain(&mut self.workload);
        if flows.is_empty() {
            return;
        }
        tracing::info!(event = "flows_reset", reason, flows = flows.len());
        for (flow, held) in flows {
            self.reset(&flow, &held, out);
        }
    }

    fn reset(&mut self, flow: &FlowKey, held: &Held, out: &mut impl Outbox) {
        self.codec.reset(flow, held.acknowledged, &mut self.buffer);
        out.to_caller(flow.caller, &self.buffer);
    }
}
