//! The agent of one backend server: admits or refuses new flows, tracks the flows that the server
//! holds, and forwards segments in both directions.

mod directives;
mod evacuation;
pub mod flows;
mod full_segments;
mod held_flows;
mod opening;
mod prior_flows;
mod registrations;
pub mod requests;
mod scheduling;

use std::{
    collections::{BTreeMap, VecDeque},
    iter,
    net::{Ipv4Addr, SocketAddrV4},
    sync::Arc,
    time::Duration,
};

use self::{
    flows::{Acceptance, FlowEntry, FlowTable, SegmentEffect},
    prior_flows::PriorFlows,
    registrations::Registrations,
    requests::Requests,
};
use super::{
    directives::{Directives, gossip::Gossip},
    homes::Registry,
    message::{self, Message, Ownership, Received, Refusal},
    metrics::AgentMetrics,
    outbox::Outbox,
    outlier::OutlierDetector,
    routes::ServiceKey,
    segment::{self, Codec, FlowKey, Segment},
    server::{Server, ServerChange, ServerReport, ServerState, ServerUpdateError},
    slow_start::ColdLimit,
    waiting::{MAX_OPENING_AGE, Urgency, WaitingFlows},
    workload::Workload,
};
use crate::{
    clock::Time,
    member::{KnownAgents, MemberState, View},
};

/// Time without an answer to an opening segment after which the backend server counts as
/// unresponsive, and without a request after which a flow no longer counts as an opening. A working
/// server answers in well under a millisecond.
const OPENING_TIMEOUT: Duration = Duration::from_millis(40);

/// Interval at which one opening segment is sent to an unresponsive backend server, to detect that
/// it answers again.
const UNRESPONSIVE_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of load reports to the balancers that recently sent a frame.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time without a frame after which a balancer gets no more load reports.
const BALANCER_TTL: Duration = Duration::from_secs(5);

/// Interval at which expired flows, registrations and balancers are removed.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay between a backend server's leave and the resets of its flows. The server exits once the
/// agent has acknowledged its leave, and the resets are sent when it has exited.
const LEAVE_RESET_DELAY: Duration = Duration::from_millis(500);

/// Options of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Failure domain of the VM.
    pub domain: String,
    /// Service of the backend server.
    pub service: ServiceKey,
    /// Address at which the backend server receives segments.
    pub server_address: SocketAddrV4,
    /// Interval of the backend server's status reports.
    pub report_interval: Duration,
    /// Time without a segment after which a flow is removed.
    pub idle_timeout: Duration,
    /// Longest lifetime of a flow. Once the agent has run for this time, no flow from before its
    /// start is left.
    pub max_lifetime: Duration,
    /// Limit of flows at the backend server, including those that are still opening.
    pub max_flows: u16,
    /// Address at which this agent receives frames of other processes. Balancers use the same port.
    pub address: SocketAddrV4,
}

/// State machine of an agent.
#[derive(Debug)]
pub struct Agent<C> {
    codec: C,
    options: AgentOptions,
    server: Server,
    directives: Arc<Directives>,
    /// Spread of the directives; `None` if the settings do not ask for them.
    gossip: Option<Gossip>,
    flows: FlowTable,
    workload: Workload,
    /// Flows that the backend server may hold from before the agent's start.
    prior: PriorFlows,
    waiting: WaitingFlows,
    requests: Requests,
    /// Delivered requests in the order of time, with their flows. They count as stalled after
    /// [`scheduling::STALL_TIMEOUT`].
    started_requests: VecDeque<(Time, FlowKey)>,
    /// Summary of the agents in the last membership view.
    known_agents: KnownAgents,
    registry: Registry,
    registrations: Registrations,
    /// Balancers that get load reports, with the time at which each is removed.
    balancers: BTreeMap<SocketAddrV4, Time>,
    /// When the next opening segment may be sent to an unresponsive backend server, or `None` if
    /// the server is responsive.
    retry_at: Option<Time>,
    outlier: OutlierDetector,
    metrics: AgentMetrics,
    /// When the flows of a backend server that has left are reset.
    reset_at: Option<Time>,
    /// Whether the agent is stopping and takes no new flows.
    stopping: bool,
    cold_limit: ColdLimit,
    /// Opening timeouts, one for each delivery of an opening segment, in the order of time.
    opening_timeouts: VecDeque<(Time, FlowKey)>,
    next_runs: NextRuns,
    buffer: Vec<u8>,
}

/// Times of the next periodic tasks.
#[derive(Debug)]
struct NextRuns {
    load_report: Time,
    expire: Time,
}

impl<C: Codec> Agent<C> {
    /// Returns an agent that starts at `now`. It knows no other agents, and its backend server has
    /// not reported but may hold flows.
    pub fn new(codec: C, options: AgentOptions, now: Time) -> Self {
        Self {
            codec,
            server: Server::new(
                options.server_address,
                options.service,
                options.report_interval,
            ),
            directives: Arc::default(),
            gossip: None,
            flows: FlowTable::new(options.idle_timeout),
            workload: Workload::default(),
            prior: PriorFlows::new(now + options.max_lifetime, options.max_flows),
            waiting: WaitingFlows::default(),
            requests: Requests::default(),
            started_requests: VecDeque::new(),
            known_agents: KnownAgents::default(),
            registry: Registry::default(),
            registrations: Registrations::new(options.address, now),
            balancers: BTreeMap::new(),
            retry_at: None,
            outlier: OutlierDetector::default(),
            metrics: AgentMetrics::default(),
            reset_at: None,
            stopping: false,
            cold_limit: ColdLimit::new(now),
            opening_timeouts: VecDeque::new(),
            next_runs: NextRuns {
                load_report: now,
                expire: now,
            },
            buffer: Vec::new(),
            options,
        }
    }

    /// Returns the state of the backend server, or `None` if it has not reported, is silent or has
    /// left.
    pub fn server_state(&self, now: Time) -> Option<ServerState> {
        self.server.state(now)
    }

    /// Returns the state that the agent announces in the membership. Balancers reset the flows of an agent
    /// that has left, so only the server's own word that it leaves makes it so: one that has not reported, or
    /// is silent, may hold flows.
    pub fn member_state(&self, now: Time) -> MemberState {
        match self.server.state(now) {
            Some(ServerState::Ready) if !self.stopping => MemberState::Ready,
            _ if self.stopping && self.server.has_left() => MemberState::Left,
            _ => MemberState::Draining,
        }
    }

    /// Returns the requests that are held.
    pub fn requests(&self) -> &Requests {
        &self.requests
    }

    /// Returns the agent's metrics.
    pub fn metrics(&self) -> &AgentMetrics {
        &self.metrics
    }

    /// Applies a membership view. Flows are registered again if their homes have changed or restarted.
    pub fn apply_view(&mut self, view: &View) {
        if let Some(gossip) = &mut self.gossip {
            gossip.apply_view(view);
        }
        let agents = view.known_agents();
        let have_changed = agents != self.known_agents;
        self.known_agents = agents;
        let tag = self.options.service.tag();
        self.registrations.apply_view(view, tag, have_changed);
        if have_changed {
            self.prior.add_agents(self.registrations.others());
        }
    }

    /// Applies a status report of the backend server that is received at `unix_ms` by the VM's clock. If
    /// no earlier report of a new instance was acknowledged, the open flows of the earlier instance are
    /// reset.
    ///
    /// # Errors
    ///
    /// Fails if the report is about another server or is stale.
    pub fn apply_report(
        &mut self,
        report: &ServerReport,
        unix_ms: u64,
        now: Time,
        out: &mut impl Outbox,
    ) -> Result<(), ServerUpdateError> {
        let change = self.server.apply_report(report, unix_ms, now)?;
        self.workload.set_slots(report.slots);
        self.cold_limit.set_warm_at(now + report.warmup_left, now);
        match change {
            ServerChange::NewInstance { is_first_report } => {
                tracing::info!(
                    event = "server_instance_detected",
                    server = report.id,
                    started_ms = report.started_ms,
                    sequence = report.sequence,
                    slots = report.slots,
                    is_first_report,
                );
                if is_first_report {
                    self.reset_all("server_restarted", out);
                    self.prior.clear();
                }
                self.release_all_held(now, out);
                self.reset_at = None;
                self.retry_at = None;
                self.outlier.reset();
            }
            ServerChange::State => tracing::info!(
                event = "server_state_changed",
                server = report.id,
                state = ?report.state,
                sequence = report.sequence,
            ),
            ServerChange::Unchanged => {}
        }
        Ok(())
    }

    /// Returns the flows that wait to their balancers, which place them on other agents, and refuses new
    /// ones from now on. Flows that are opening or open go on, and are registered with their homes.
    pub fn stop_admission(&mut self, now: Time, out: &mut impl Outbox) {
        self.stopping = true;
        self.serve_waiting(now, out);
        self.register_before_stop(now, out);
    }

    /// Records that the backend server leaves, and schedules the resets of its flows.
    ///
    /// # Errors
    ///
    /// Fails if `id` is not the instance that reported last.
    pub fn record_leave(&mut self, id: &str, now: Time) -> Result<(), ServerUpdateError> {
        self.server.record_leave(id)?;
        tracing::info!(
            event = "server_left",
            server = id,
            flows = self.workload.flows()
        );
        self.reset_at = Some(now + LEAVE_RESET_DELAY);
        Ok(())
    }

    /// Handles a frame of a balancer, or a registration or directives of any process.
    pub fn receive_from_peer(&mut self, received: &Received<'_>, now: Time, out: &mut impl Outbox) {
        let from = received.from;
        if matches!(received.message, Message::Directives { .. }) {
            self.receive_directives(received, now, out);
            return;
        }
        let is_of_agent = matches!(
            received.message,
            Message::ListRegistrations | Message::Register { .. } | Message::Registrations
        );
        if !is_of_agent {
            self.balancers.insert(from, now + BALANCER_TTL);
        }
        match received.message {
            Message::Open {
                service,
                forced,
                priority,
                target_ms,
                left_ms,
            } => {
                let Some(segment) = self.codec.read(received.datagram) else {
                    return;
                };
                self.ask_for_directives(from, now, out);
                let age = self.codec.opening_age(&segment);
                let left = left_ms.map(|left_ms| Duration::from_millis(left_ms.into()));
                let urgency = Urgency {
                    priority,
                    target: Duration::from_millis(target_ms.into()),
                    work_time: self.workload.mean_work_time(),
                    age,
                    left: left.unwrap_or(MAX_OPENING_AGE.saturating_sub(age)),
                };
                if service == self.options.service {
                    let address = segment.destination;
                    self.requests.learn_route(address, priority, urgency.target);
                }
                match self.check_admission(&segment, service, forced, &urgency, now) {
                    Some(refusal) => self.refuse(from, refusal, received.datagram, out),
                    None => self.admit(&segment, &urgency, received, now, out),
                }
            }
            Message::Forward => self.handle_forward(received, now, out),
            Message::Register { flow } => {
                let others = segment::decode_flows(received.datagram);
                for flow in iter::once(flow).chain(others) {
                    self.registry.register(flow, from, now);
                }
            }
            Message::ListRegistrations => self.send_registered(from, out),
            Message::Registrations => self.add_registered(from, received.datagram),
            Message::Find { flow, acknowledged } => {
                let ownership = self.ownership(&flow, acknowledged);
                self.send_ownership(from, flow, ownership, out);
            }
            Message::ListFlows { round } => self.send_held_flows(from, round, out),
            _ => {}
        }
    }

    /// Handles a datagram of the backend server, and sends it on to the caller or, if bounced, back
    /// to its balancer.
    pub fn receive_from_server(&mut self, datagram: &[u8], now: Time, out: &mut impl Outbox) {
        let Some(segment) = self.codec.read(datagram) else {
            return;
        };
        self.retry_at = None;
        self.server.record_activity(now);
        if segment.flags.bounced {
            self.return_bounced(&segment, datagram, out);
            self.release_held(&segment.flow_of_caller(), "bounced", now, out);
            self.serve_waiting(now, out);
            return;
        }
        match self
            .flows
            .record_server_segment(&segment, &mut self.workload, now)
        {
            SegmentEffect::Accepted {
                initial,
                acceptance,
                balancer,
            } => {
                let opened = Message::Opened {
                    flow: segment.flow_of_server(),
                    initial,
                    load: self.workload.load(),
                };
                self.send(balancer, &opened, &[], out);
                // If the server held an earlier flow with this key, it would accept none.
                self.prior.remove(&segment.flow_of_server());
                // Homes take an agent that registers a flow again for the one at which it goes on.
                let is_registered = match acceptance {
                    Acceptance::First => true,
                    Acceptance::Repeated => false,
                    Acceptance::Unexpected => self.stopping,
                };
                if is_registered {
                    self.register_new(segment.flow_of_server(), out);
                }
            }
            SegmentEffect::Confirmed { balancer } => {
                let flow = segment.flow_of_server();
                let ownership = Ownership::Held;
                self.send_ownership(balancer, flow, ownership, out);
            }
            SegmentEffect::Answered(took) => {
                self.record_answer(&segment, took);
                let failed = self.codec.reports_failure(datagram).unwrap_or(false);
                self.record_result(failed, now);
            }
            SegmentEffect::Aborted => self.record_result(true, now),
            SegmentEffect::Other => {}
        }
        out.to_caller(segment.destination, datagram);
        if segment.flags.fin || segment.flags.rst {
            self.release_held(&segment.flow_of_server(), "server_ended", now, out);
        }
        self.serve_waiting(now, out);
    }

    /// Runs the periodic tasks that are due: resets, registrations, expiry, opening timeouts,
    /// waiting flows and load reports.
    pub fn tick(&mut self, now: Time, out: &mut impl Outbox) {
        self.prior.expire(now);
        if self.reset_at.is_some_and(|at| now >= at) {
            self.reset_at = None;
            self.reset_all("server_left", out);
        }
        if now >= self.registrations.due() {
            self.send_registrations(now, out);
        }
        if now >= self.next_runs.expire {
            self.next_runs.expire = now + EXPIRE_INTERVAL;
            self.registry.expire(now);
            self.flows.expire(&mut self.workload, now);
            self.requests.expire_callers(now);
            self.balancers.retain(|_, until| now < *until);
        }
        while let Some((_, flow)) = self.opening_timeouts.pop_front_if(|(due, _)| *due <= now) {
            self.expire_opening(&flow, now);
        }
        self.tick_directives(now, out);
        self.stall_requests(now);
        self.serve_waiting(now, out);
        self.update_cold_load(now);
        self.workload.set_failing(self.outlier.is_ejected(now));
        if now >= self.next_runs.load_report {
            self.next_runs.load_report = now + LOAD_REPORT_INTERVAL;
            self.report_load(out);
        }
    }

    /// Returns the time at which [`Agent::tick`] must run next. It leaves out the expiry of waiting
    /// flows, resets after a leave and the end of prior flows, so these may come up to
    /// `LOAD_REPORT_INTERVAL` late.
    pub fn due(&self) -> Time {
        let next = self
            .next_runs
            .load_report
            .min(self.next_runs.expire)
            .min(self.registrations.due())
            .min(self.requests.due().unwrap_or(self.next_runs.expire));
        let next = self.cold_start_at().map_or(next, |at| next.min(at));
        let opening = self.opening_timeouts.front().map(|(due, _)| *due);
        let gossip = self.gossip.as_ref().and_then(Gossip::due);
        opening.into_iter().chain(gossip).fold(next, Time::min)
    }

    fn report_load(&mut self, out: &mut impl Outbox) {
        let report = Message::LoadReport(self.workload.load());
        let mut buffer = std::mem::take(&mut self.buffer);
        message::encode(&report, &[], &mut buffer);
        for balancer in self.balancers.keys() {
            out.to_peer(*balancer, &buffer);
        }
        self.buffer = buffer;
    }

    fn send_ownership(
        &mut self,
        to: SocketAddrV4,
        flow: FlowKey,
        ownership: Ownership,
        out: &mut impl Outbox,
    ) {
        let found = Message::Found {
            flow,
            ownership,
            agents: self.known_agents,
        };
        self.send(to, &found, &[], out);
    }

    /// Returns whether the backend server may hold flows from before the agent's start, which have
    /// no entry here.
    fn may_hold_prior_flows(&self) -> bool {
        self.prior.may_exist() && !self.server.has_left()
    }

    fn record_answer(&self, segment: &Segment, took: Duration) {
        self.metrics.answer_times.observe(took.as_secs_f64());
        tracing::debug!(
            event = "request_answered",
            flow = %segment.flow_of_server(),
            took_us = took.as_micros() as u64,
        );
    }

    /// Records whether a request failed, for the metrics, outlier detection and load reports.
    fn record_result(&mut self, failed: bool, now: Time) {
        if failed {
            self.record_failure(now);
        } else {
            self.outlier.record_success(now);
        }
        self.workload.set_failing(self.outlier.is_ejected(now));
    }

    fn record_failure(&mut self, now: Time) {
        self.metrics.failures.inc();
        let Some(ejection) = self.outlier.record_failure(now) else {
            return;
        };
        tracing::warn!(
            event = "server_ejected",
            server = self.server.id().unwrap_or("-"),
            ejected_ms = ejection.as_millis() as u64,
        );
    }

    fn record_request(&self, segment: &Segment, datagram: &[u8]) {
        self.metrics.requests.inc();
        tracing::info!(
            event = "request",
            request = self.codec.request_id(datagram).unwrap_or("-"),
            flow = %segment.flow_of_caller(),
            server = self.server.id().unwrap_or("-"),
            busy = self.workload.load().busy,
            slots = self.workload.load().slots,
        );
    }

    /// Removes a flow that the backend server does not hold, and returns the segment to the
    /// balancer that its mark names.
    fn return_bounced(&mut self, segment: &Segment, datagram: &[u8], out: &mut impl Outbox) {
        self.flows
            .remove(&segment.flow_of_caller(), &mut self.workload);
        self.prior.remove(&segment.flow_of_caller());
        let balancer = SocketAddrV4::new(Ipv4Addr::from(segment.mark), self.options.address.port());
        let mut unmarked = datagram.to_vec();
        self.codec.mark(&mut unmarked, 0);
        match segment.is_opening() {
            true => self.refuse(balancer, Refusal::Bounced, &unmarked, out),
            false => self.send(balancer, &Message::Unknown, &unmarked, out),
        }
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

    /// Delivers a segment to the backend server, marked with the balancer's address so that a
    /// bounced segment can be returned.
    fn deliver(&mut self, from: SocketAddrV4, datagram: &[u8], out: &mut impl Outbox) {
        self.buffer.clear();
        self.buffer.extend_from_slice(datagram);
        self.codec
            .mark(&mut self.buffer, u32::from(from.ip().to_owned()));
        out.to_server(&self.buffer);
    }

    /// Removes all flows of a backend server that has left or was restarted, and sends resets for
    /// the open ones.
    fn reset_all(&mut self, reason: &'static str, out: &mut impl Outbox) {
        let flows = self.flows.remove_all(&mut self.workload);
        // The callers of held requests are told by the resets that their flows have ended.
        self.requests.clear();
        self.workload.set_held(0);
        if flows.is_empty() {
            return;
        }
        tracing::info!(event = "flows_reset", reason, flows = flows.len());
        for (flow, entry) in flows {
            self.reset(&flow, &entry, out);
        }
    }

    fn reset(&mut self, flow: &FlowKey, entry: &FlowEntry, out: &mut impl Outbox) {
        self.codec.reset(flow, entry.acknowledged, &mut self.buffer);
        out.to_caller(flow.caller, &self.buffer);
    }
}
