//! Placement of new flows: agents are tried one after the other until a backend server accepts the
//! flow.

use std::{cmp::Reverse, net::SocketAddrV4, time::Duration};

use super::{Balancer, FlowState};
use crate::{
    clock::Time,
    l4::{
        choice::{self, AgentCandidate, CandidateAverage},
        message::{Message, Ownership, Refusal},
        outbox::Outbox,
        routes::ServiceKey,
        segment::{Codec, FlowKey, Segment, acknowledges_start},
        waiting::MAX_OPENING_AGE,
    },
};

/// Time after which an opening is removed; callers give up after 1.4 s.
const OPENING_TTL: Duration = Duration::from_secs(3);

/// Number of agents that may refuse a flow for want of a free slot before it is forced on one.
const MAX_BUSY_TRIES: usize = 2;

/// Number of requests per slot, unanswered or expected, at which an agent is taken for busy without being
/// asked: the queue of its backend server is full too.
const SATURATED_PER_SLOT: u16 = 2;

/// Time until the target latency for a route without one: its flows are never late.
const NO_TARGET_MS: u32 = u32::MAX;

/// Largest number of tries for one opening segment of a caller; each try sends it to an agent.
const MAX_TRIES: usize = 6;

/// A flow that is being placed.
#[derive(Clone, Debug)]
pub(super) struct Opening {
    /// Last copy of the opening segment.
    datagram: Box<[u8]>,
    /// When the caller sent its first opening segment.
    started: Time,
    /// Age at which the caller sends the next copy; `None` if it sends no more.
    next_age: Option<Duration>,
    /// Whether a copy was skipped between two that have arrived here.
    skipped_copy: bool,
    /// Agents that did not reply in time, or refused the flow for other reasons than those below.
    excluded: Vec<SocketAddrV4>,
    /// Agents that refused the flow for want of a free slot.
    busy_agents: Vec<SocketAddrV4>,
    /// Agents that refused the flow because their servers fail.
    failing_agents: Vec<SocketAddrV4>,
    /// The last try, until the agent replies.
    pending: Option<Try>,
    /// Tries without a reply in time. Their agents may have accepted the flow nevertheless.
    silent: Vec<Try>,
    /// Agents whose servers accepted the flow, with the servers' initial sequence numbers.
    accepted: Vec<(SocketAddrV4, u32)>,
    /// Agent at which the flow waits until the backend server can queue a request.
    waiting_at: Option<SocketAddrV4>,
    tries: usize,
    pub(super) expires: Time,
}

/// An opening segment that was sent to an agent.
#[derive(Clone, Copy, Debug)]
struct Try {
    agent: SocketAddrV4,
    sent: Time,
    /// Deadline for the reply.
    due: Time,
    /// Whether the agent was told to admit the flow even if it is busy.
    forced: bool,
}

impl Opening {
    /// Removes the try at an agent that replies; returns it with whether the reply came in time.
    fn take_try(&mut self, agent: SocketAddrV4) -> Option<(Try, bool)> {
        if let Some(pending) = self.pending.take_if(|pending| pending.agent == agent) {
            return Some((pending, true));
        }
        let index = self
            .silent
            .iter()
            .position(|silent| silent.agent == agent)?;
        Some((self.silent.swap_remove(index), false))
    }

    /// Records a copy of the opening segment, with its age and that of the copy after it.
    fn record_copy(&mut self, age: Duration, next_age: Option<Duration>) {
        self.skipped_copy |= self.next_age.is_some_and(|expected| age > expected);
        self.next_age = next_age;
    }

    /// Returns whether the caller has sent a copy that has not arrived here. It may have gone through another
    /// balancer.
    fn has_missed_copy(&self, now: Time) -> bool {
        let is_due = self.next_age.is_some_and(|age| now >= self.started + age);
        self.skipped_copy || is_due
    }

    fn needs_agent(&self) -> bool {
        self.pending.is_none() && self.accepted.is_empty() && self.waiting_at.is_none()
    }

    /// Returns the reply to another balancer's query: the likeliest owner.
    pub(super) fn ownership(&self) -> Ownership {
        let accepted = self.accepted.first().map(|(agent, _)| *agent);
        let pending = self.pending.map(|pending| pending.agent);
        let likeliest = accepted.or(pending).or(self.waiting_at);
        likeliest.map_or(Ownership::NotHeld, Ownership::HeldBy)
    }
}

impl<C: Codec> Balancer<C> {
    /// Handles an opening segment of a caller, or a retransmission of one.
    pub(super) fn receive_opening(
        &mut self,
        flow: &FlowKey,
        segment: &Segment,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let copy_age = self.codec.opening_age(segment);
        let started = now - copy_age;
        let next_age = self.codec.next_copy_age(segment);
        let owner = match self.flows.get_mut(flow) {
            Some(FlowState::Owned(owned)) => owned.agent,
            Some(FlowState::Opening(opening)) => {
                opening.record_copy(copy_age, next_age);
                match opening.accepted.first() {
                    Some((agent, _)) => *agent,
                    None if opening.pending.is_some() || opening.waiting_at.is_some() => return,
                    None => {
                        opening.started = opening.started.min(started);
                        opening.datagram = datagram.into();
                        opening.excluded.clear();
                        opening.tries = 0;
                        self.try_next(flow, now, out);
                        return;
                    }
                }
            }
            _ => {
                self.start_opening(flow, (started, next_age), datagram, now, out);
                return;
            }
        };
        // The agent may hold the flow already, so it must not refuse a retransmission as busy.
        let age = now.since(started);
        if let Some(message) = self.open_message(flow, true, age, Duration::ZERO) {
            self.send(owner, &message, datagram, out);
        }
    }

    /// Returns the message that asks an agent to take a flow whose caller sent the first opening segment
    /// `age` ago and whose request takes `work`, or `None` without a route or target.
    fn open_message(
        &self,
        flow: &FlowKey,
        forced: bool,
        age: Duration,
        work: Duration,
    ) -> Option<Message> {
        let route = self.routes.routes.get(&flow.address)?;
        let age_ms = u32::try_from(age.as_millis()).unwrap_or(u32::MAX);
        Some(Message::Open {
            service: route.service(flow)?,
            forced,
            priority: route.priority,
            target_ms: match route.target_ms {
                0 => NO_TARGET_MS,
                target_ms => target_ms.saturating_sub(age_ms),
            },
            left_ms: u32::try_from(route.latest_delivery(work).saturating_sub(age).as_millis())
                .ok(),
        })
    }

    pub(super) fn service_of(&self, flow: &FlowKey) -> Option<ServiceKey> {
        self.routes.routes.get(&flow.address)?.service(flow)
    }

    fn start_opening(
        &mut self,
        flow: &FlowKey,
        (started, next_age): (Time, Option<Duration>),
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        if self.routes.version > 0 && self.service_of(flow).is_none() {
            self.reject_opening(flow, "no_target", out);
            return;
        }
        let opening = Opening {
            datagram: datagram.into(),
            started,
            next_age,
            skipped_copy: false,
            excluded: Vec::new(),
            busy_agents: Vec::new(),
            failing_agents: Vec::new(),
            pending: None,
            silent: Vec::new(),
            accepted: Vec::new(),
            waiting_at: None,
            tries: 0,
            expires: now + OPENING_TTL,
        };
        self.insert(flow, FlowState::Opening(opening));
        self.try_next(flow, now, out);
    }

    /// Sends the caller of a flow that can't be placed a reset, which has no effect on an open flow, and
    /// removes the entry. Another balancer may have opened the flow from a copy of the opening segment, so
    /// later segments cause a search.
    pub(super) fn reject_opening(
        &mut self,
        flow: &FlowKey,
        reason: &'static str,
        out: &mut impl Outbox,
    ) {
        self.flows.remove(flow);
        self.send_first_reset(flow, 0, reason, out);
    }

    /// Sends the opening segment to the best candidate that is left. Without one, rejects the opening,
    /// unless an agent may have accepted it, it waits at an agent, or the balancer is starting. Before the
    /// first routes, the service of a flow is not known, and the opening is kept.
    ///
    /// If the caller has sent a copy since that has not arrived here, another balancer may have opened the flow
    /// from it. The opening is then removed without a reset.
    fn try_next(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        if self.routes.version == 0 {
            return;
        }
        let tie_offset = self.random();
        let awaits_directives = self.awaits_directives(now);
        let service = self.service_of(flow).unwrap_or_default();
        let Some(FlowState::Opening(opening)) = self.flows.get_mut(flow) else {
            return;
        };
        let age = now.since(opening.started);
        let route = self.routes.routes.get(&flow.address);
        let max_age = route.map_or(MAX_OPENING_AGE, |route| {
            route.latest_delivery(Duration::ZERO)
        });
        if opening.tries < MAX_TRIES && age < max_age {
            let excluded = &opening.excluded;
            self.fleet
                .collect_candidates(service.tag(), excluded, now, &mut self.candidates);
        } else {
            self.candidates.clear();
        }
        let chosen = choose(opening, &mut self.candidates, tie_offset);
        // A balancer that is starting knows few agents: it forces the flow on none of them and
        // retries when it knows more. Without directives, it can't tell which agents are evacuated.
        let chosen =
            chosen.filter(|(_, forced)| !(self.starting && (*forced || awaits_directives)));
        let Some((candidate, forced)) = chosen else {
            opening.pending = None;
            let may_be_open = !opening.accepted.is_empty() || !opening.silent.is_empty();
            let has_missed_copy = opening.has_missed_copy(now);
            if !may_be_open && opening.waiting_at.is_none() && !self.starting {
                let excluded = opening.excluded.len();
                let reason = match self.fleet.is_all_evacuated(service.tag()) {
                    true => "evacuated",
                    false => "no_agent",
                };
                tracing::warn!(
                    event = "flow_not_placed",
                    %flow,
                    reason,
                    excluded,
                    view = self.view_version,
                    copy_missed = has_missed_copy,
                );
                match has_missed_copy {
                    true => {
                        self.metrics.openings_dropped.inc();
                        self.flows.remove(flow);
                    }
                    false => self.reject_opening(flow, reason, out),
                }
            }
            return;
        };
        // The timeout doubles with each try, up to 16-fold, as this balancer's own link may be slow.
        let due = now + self.reply_time.timeout() * (1 << opening.tries.min(4));
        opening.tries += 1;
        opening.pending = Some(Try {
            agent: candidate.address,
            sent: now,
            due,
            forced,
        });
        let tries = opening.tries;
        let datagram = opening.datagram.clone();
        tracing::info!(
            event = "flow_placed",
            %flow,
            agent = %candidate.address,
            near = candidate.is_local,
            age_ms = age.as_millis() as u64,
            busy = candidate.load.busy,
            flows = candidate.load.flows,
            slots = candidate.load.slots,
            work_us = candidate.load.work_us,
            forced,
            tries,
            routes = self.routes.version,
            view = self.view_version,
        );
        self.metrics.placed.inc();
        self.reachability.record_opening(now);
        self.fleet.record_placement(candidate.address);
        self.opening_timers.push(Reverse((due, *flow)));
        let work = Duration::from_micros(candidate.load.work_us.into());
        if let Some(message) = self.open_message(flow, forced, age, work) {
            self.send(candidate.address, &message, &datagram, out);
        }
    }

    /// Places the openings that arrived before the first routes, and resets those without a target. Their
    /// callers' next copies may come 400 ms later, or not at all.
    pub(super) fn place_kept_openings(&mut self, now: Time, out: &mut impl Outbox) {
        let openings = self.flows.iter();
        let openings = openings.filter(|(_, entry)| matches!(entry, FlowState::Opening(_)));
        let kept: Vec<FlowKey> = openings.map(|(flow, _)| *flow).collect();
        if !kept.is_empty() {
            let version = self.routes.version;
            tracing::info!(
                event = "kept_openings_placed",
                openings = kept.len(),
                version
            );
        }
        for flow in kept {
            let reason = match self.routes.routes.get(&flow.address) {
                Some(route) if route.service(&flow).is_some() => continue,
                Some(_) => "no_target",
                None => "no_route",
            };
            self.reject_opening(&flow, reason, out);
        }
        self.starting = self.starting && !self.can_serve(now);
        self.retry_openings(now, out);
    }

    /// Tries the next agent for each opening that awaits no reply, does not wait at an agent and was
    /// accepted by none.
    pub(super) fn retry_openings(&mut self, now: Time, out: &mut impl Outbox) {
        let mut unplaced = Vec::new();
        for (flow, entry) in &self.flows {
            if let FlowState::Opening(opening) = entry
                && opening.needs_agent()
            {
                unplaced.push(*flow);
            }
        }
        for flow in unplaced {
            self.try_next(&flow, now, out);
        }
    }

    /// Records that a backend server accepted a flow; a search for the flow ends if the caller's
    /// acknowledgement fits the server's initial sequence number.
    pub(super) fn handle_opened(
        &mut self,
        flow: &FlowKey,
        agent: SocketAddrV4,
        initial: u32,
        now: Time,
        out: &mut impl Outbox,
    ) {
        match self.flows.get_mut(flow) {
            Some(FlowState::Opening(opening)) => {
                if let Some((answered, _)) = opening.take_try(agent) {
                    self.reply_time.record(now.since(answered.sent));
                }
                opening.pending = None;
                opening.waiting_at = None;
                opening.accepted.retain(|(known, _)| *known != agent);
                opening.accepted.push((agent, initial));
            }
            Some(FlowState::Searching(search))
                if acknowledges_start(search.acknowledged, initial) =>
            {
                self.end_found(flow, (agent, true), now, out);
            }
            _ => {}
        }
    }

    /// Records that a flow waits at an agent.
    pub(super) fn handle_waits(&mut self, flow: &FlowKey, agent: SocketAddrV4, now: Time) {
        if let Some(FlowState::Opening(opening)) = self.flows.get_mut(flow) {
            if let Some((answered, _)) = opening.take_try(agent) {
                self.reply_time.record(now.since(answered.sent));
            }
            opening.pending = None;
            opening.waiting_at = Some(agent);
        }
    }

    /// Records that an agent refused a flow, and tries the next agent if this one's reply was awaited.
    pub(super) fn handle_refused(
        &mut self,
        flow: &FlowKey,
        agent: SocketAddrV4,
        refusal: Refusal,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Opening(opening)) = self.flows.get_mut(flow) else {
            return;
        };
        let reason = refusal.as_str();
        tracing::info!(event = "agent_refused", %flow, %agent, reason);
        self.metrics
            .refused
            .get_or_create(&[("reason", reason)])
            .inc();
        let answered = opening.take_try(agent);
        if let Some((answered, _)) = answered {
            self.reply_time.record(now.since(answered.sent));
        }
        let was_forced = answered.is_some_and(|(answered, _)| answered.forced);
        match refusal {
            // An agent refuses a forced flow as busy only if its cold server can't take one more, and
            // would refuse it again.
            Refusal::Busy if !was_forced => opening.busy_agents.push(agent),
            Refusal::Failing => opening.failing_agents.push(agent),
            _ => opening.excluded.push(agent),
        }
        let waited = opening
            .waiting_at
            .take_if(|waiting_at| *waiting_at == agent)
            .is_some();
        let expected = waited || answered.is_some_and(|(_, in_time)| in_time);
        if expected && opening.accepted.is_empty() {
            self.try_next(flow, now, out);
        }
    }

    /// Tries the next agent if the last one has not replied in time.
    pub(super) fn handle_opening_timeout(
        &mut self,
        flow: &FlowKey,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Opening(opening)) = self.flows.get_mut(flow) else {
            return;
        };
        let Some(pending) = opening.pending else {
            return;
        };
        if now < pending.due || !opening.accepted.is_empty() {
            return;
        }
        let agent = pending.agent;
        opening.pending = None;
        opening.excluded.push(agent);
        opening.silent.push(pending);
        tracing::info!(event = "agent_silent", %flow, %agent, tries = opening.tries);
        self.metrics.silent.inc();
        self.fleet.record_timeout(agent, now);
        self.try_next(flow, now, out);
    }

    /// Sets the owner from the first segment after the opening: it acknowledges the initial sequence
    /// number of the backend server whose answer the caller accepted.
    pub(super) fn complete_opening(
        &mut self,
        flow: &FlowKey,
        segment: &Segment,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(FlowState::Opening(opening)) = self.flows.get(flow) else {
            return;
        };
        let acknowledged = segment.acknowledged;
        let confirmed = opening
            .accepted
            .iter()
            .find(|(_, initial)| acknowledges_start(acknowledged, *initial))
            .map(|(agent, _)| *agent);
        // Without a match, the owner is an agent whose reply was lost or is late, if only one such
        // agent was tried.
        let only_unconfirmed = match (&opening.silent[..], opening.pending) {
            ([], Some(pending)) => Some(pending.agent),
            ([silent], None) => Some(silent.agent),
            _ => None,
        };
        match confirmed.or(only_unconfirmed) {
            Some(agent) => {
                let is_confirmed = confirmed.is_some();
                self.set_owner(flow, (agent, is_confirmed), acknowledged, now);
                self.forward(agent, datagram, out);
            }
            None => self.start_search(flow, segment, datagram, now, out),
        }
    }
}

/// Returns the agent to try next, and whether the flow is forced on it; `None` without candidates. It is
/// forced after [`MAX_BUSY_TRIES`] busy refusals, or if all candidates are busy, saturated by their last
/// report, or fail.
///
/// Agents whose servers fail are removed from `candidates` while there are others.
fn choose(
    opening: &Opening,
    candidates: &mut Vec<AgentCandidate>,
    tie_offset: u64,
) -> Option<(AgentCandidate, bool)> {
    let is_failing =
        |candidate: &AgentCandidate| opening.failing_agents.contains(&candidate.address);
    let has_healthy = candidates.iter().any(|candidate| !is_failing(candidate));
    if has_healthy {
        candidates.retain(|candidate| !is_failing(candidate));
    }
    let average = CandidateAverage::of(candidates);
    choice::add_ramp_load(candidates);
    let draw = (tie_offset >> 32) as u32;
    if has_healthy && opening.busy_agents.len() < MAX_BUSY_TRIES {
        let is_free = |candidate: &&AgentCandidate| {
            !opening.busy_agents.contains(&candidate.address) && !is_saturated(candidate)
        };
        let mut free: Vec<AgentCandidate> = candidates.iter().filter(is_free).copied().collect();
        choice::thin_out_ramps(&mut free, draw);
        if let Some(best) = choice::best(&free, &average, tie_offset) {
            return Some((best, false));
        }
    }
    choice::thin_out_ramps(candidates, draw);
    choice::best(candidates, &average, tie_offset).map(|best| (best, true))
}

/// Returns whether the backend server had no room in its queue at the agent's last report.
fn is_saturated(candidate: &AgentCandidate) -> bool {
    let load = &candidate.load;
    let busy = load.busy.saturating_add(candidate.placed);
    load.slots > 0 && busy >= load.slots.saturating_mul(SATURATED_PER_SLOT)
}
