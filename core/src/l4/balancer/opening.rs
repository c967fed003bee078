//! Places a new flow: tries agents one after the other until a backend server accepts it.

use std::{cmp::Reverse, net::SocketAddrV4, time::Duration};

use super::{Balancer, Entry};
use crate::{
    clock::Time,
    l4::{
        choice::{self, Candidate, Typical},
        message::{Message, Ownership, Refusal},
        outbox::Outbox,
        routes::ServiceKey,
        segment::{Codec, FlowKey, Segment, acknowledges_start},
    },
};

/// Time in which an agent tells what became of an opening segment, at the first try; several round
/// trips.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// Time after which an opening is forgotten: a caller gives it up after 1.4 s.
const OPENING_TIME: Duration = Duration::from_secs(3);

/// Agents without a free slot that are passed over before one has to take the flow.
const BUSY_TRIES: usize = 2;

/// Agents that are tried for one segment of the caller.
const MAX_TRIES: usize = 6;

/// A flow that is being placed.
#[derive(Clone, Debug)]
pub(super) struct Opening {
    datagram: Box<[u8]>,
    /// Agents that do not take it or do not answer.
    excluded: Vec<SocketAddrV4>,
    /// Agents that have no free slot.
    busy: Vec<SocketAddrV4>,
    /// Agents whose servers fail.
    failing: Vec<SocketAddrV4>,
    /// Agent that was asked last, and until when it has to answer.
    asked: Option<(SocketAddrV4, Time)>,
    /// Agents that may hold the flow although they did not answer in time.
    silent: Vec<SocketAddrV4>,
    /// Agents whose servers accepted the flow, with the servers' first sequence numbers.
    accepted: Vec<(SocketAddrV4, u32)>,
    /// Agent at which the flow waits for a slot.
    waits: Option<SocketAddrV4>,
    tries: usize,
    pub(super) expires: Time,
}

impl Opening {
    fn is_untried(&self) -> bool {
        self.asked.is_none() && self.accepted.is_empty() && self.waits.is_none()
    }

    /// Returns what this balancer can tell another one about the flow.
    pub(super) fn ownership(&self) -> Ownership {
        let accepted = self.accepted.first().map(|(agent, _)| *agent);
        let asked = self.asked.map(|(agent, _)| agent);
        let known = accepted.or(asked).or(self.waits);
        known.map_or(Ownership::NotHeld, Ownership::HeldBy)
    }
}

impl<C: Codec> Balancer<C> {
    /// Takes an opening segment of a caller, or a copy of one.
    pub(super) fn open(
        &mut self,
        flow: &FlowKey,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let owner = match self.flows.get_mut(flow) {
            Some(Entry::Owned(owned)) => owned.agent,
            Some(Entry::Opening(opening)) => match opening.accepted.first() {
                Some((agent, _)) => *agent,
                None if opening.asked.is_some() || opening.waits.is_some() => return,
                None => {
                    opening.excluded.clear();
                    opening.tries = 0;
                    self.try_next(flow, now, out);
                    return;
                }
            },
            _ => {
                self.start_opening(flow, datagram, now, out);
                return;
            }
        };
        if let Some(message) = self.open_message(flow, true) {
            self.send(owner, &message, datagram, out);
        }
    }

    /// Returns the message that offers a flow to an agent.
    fn open_message(&self, flow: &FlowKey, forced: bool) -> Option<Message> {
        let route = self.routes.routes.get(&flow.address)?;
        Some(Message::Open {
            service: route.service(flow)?,
            forced,
            priority: route.priority,
            target_ms: route.target_ms,
        })
    }

    pub(super) fn service_of(&self, flow: &FlowKey) -> Option<ServiceKey> {
        self.routes.routes.get(&flow.address)?.service(flow)
    }

    fn start_opening(&mut self, flow: &FlowKey, datagram: &[u8], now: Time, out: &mut impl Outbox) {
        if self.service_of(flow).is_none() {
            self.lose(flow, 0, "no_target", now, out);
            return;
        }
        let opening = Opening {
            datagram: datagram.into(),
            excluded: Vec::new(),
            busy: Vec::new(),
            failing: Vec::new(),
            asked: None,
            silent: Vec::new(),
            accepted: Vec::new(),
            waits: None,
            tries: 0,
            expires: now + OPENING_TIME,
        };
        self.insert(flow, Entry::Opening(opening));
        self.try_next(flow, now, out);
    }

    /// Sends the opening segment to the best agent that has not refused it.
    fn try_next(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let salt = self.salt();
        let service = self.service_of(flow).unwrap_or_default();
        let Some(Entry::Opening(opening)) = self.flows.get_mut(flow) else {
            return;
        };
        if opening.tries < MAX_TRIES {
            let excluded = &opening.excluded;
            self.fleet
                .candidates(service.tag(), excluded, now, &mut self.candidates);
        } else {
            self.candidates.clear();
        }
        let chosen = choose(opening, &mut self.candidates, salt);
        // A balancer that has just started knows few agents; it forces none, and tries again when it
        // knows more.
        let chosen = chosen.filter(|(_, forced)| !(*forced && self.starting));
        let Some((candidate, forced)) = chosen else {
            opening.asked = None;
            let may_open = !opening.accepted.is_empty() || !opening.silent.is_empty();
            if !may_open && opening.waits.is_none() && !self.starting {
                let refused = opening.excluded.len();
                tracing::warn!(event = "flow_refused", %flow, refused, view = self.view_version);
                self.lose(flow, 0, "no_agent", now, out);
            }
            return;
        };
        // Longer with each try: it may be this balancer's own link that is slow.
        let due = now + ANSWER_TIME * (1 << opening.tries.min(4));
        opening.tries += 1;
        opening.asked = Some((candidate.address, due));
        let tries = opening.tries;
        let datagram = opening.datagram.clone();
        tracing::info!(
            event = "flow_placed",
            %flow,
            agent = %candidate.address,
            near = candidate.near,
            busy = candidate.load.busy,
            flows = candidate.load.flows,
            slots = candidate.load.slots,
            work_us = candidate.load.work_us,
            forced,
            tries,
            routes = self.routes.version,
            view = self.view_version,
        );
        self.counts.placed.inc();
        self.contact.asked(now);
        self.fleet.placed(candidate.address);
        self.openings.push(Reverse((due, *flow)));
        if let Some(message) = self.open_message(flow, forced) {
            self.send(candidate.address, &message, &datagram, out);
        }
    }

    /// Places flows that came before any agent was known.
    pub(super) fn retry_openings(&mut self, now: Time, out: &mut impl Outbox) {
        let mut early = Vec::new();
        for (flow, entry) in &self.flows {
            if let Entry::Opening(opening) = entry
                && opening.is_untried()
            {
                early.push(*flow);
            }
        }
        for flow in early {
            self.try_next(&flow, now, out);
        }
    }

    /// Takes the news that a backend server accepted a flow.
    pub(super) fn opened(
        &mut self,
        flow: &FlowKey,
        agent: SocketAddrV4,
        initial: u32,
        now: Time,
        out: &mut impl Outbox,
    ) {
        match self.flows.get_mut(flow) {
            Some(Entry::Opening(opening)) => {
                opening.asked = None;
                opening.waits = None;
                opening.accepted.retain(|(known, _)| *known != agent);
                opening.accepted.push((agent, initial));
            }
            Some(Entry::Searching(search)) if acknowledges_start(search.acknowledged, initial) => {
                self.resolve(flow, agent, now, out);
            }
            _ => {}
        }
    }

    /// Takes the news that a flow waits for a slot at an agent.
    pub(super) fn waits(&mut self, flow: &FlowKey, agent: SocketAddrV4) {
        if let Some(Entry::Opening(opening)) = self.flows.get_mut(flow) {
            opening.asked = None;
            opening.waits = Some(agent);
        }
    }

    /// Takes the news that an agent does not take a flow.
    pub(super) fn refused(
        &mut self,
        flow: &FlowKey,
        agent: SocketAddrV4,
        refusal: Refusal,
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(Entry::Opening(opening)) = self.flows.get_mut(flow) else {
            return;
        };
        let reason = refusal.as_str();
        tracing::info!(event = "agent_refused", %flow, %agent, reason);
        self.counts
            .refused
            .get_or_create(&[("reason", reason)])
            .inc();
        opening.silent.retain(|silent| *silent != agent);
        match refusal {
            Refusal::Busy => opening.busy.push(agent),
            Refusal::Failing => opening.failing.push(agent),
            _ => opening.excluded.push(agent),
        }
        let waited = opening.waits.take_if(|waits| *waits == agent).is_some();
        let expected = waited || opening.asked.is_some_and(|(asked, _)| asked == agent);
        if expected && opening.accepted.is_empty() {
            self.try_next(flow, now, out);
        }
    }

    /// Goes on with an opening whose agent has not answered in time.
    pub(super) fn opening_overdue(&mut self, flow: &FlowKey, now: Time, out: &mut impl Outbox) {
        let Some(Entry::Opening(opening)) = self.flows.get_mut(flow) else {
            return;
        };
        let Some((agent, due)) = opening.asked else {
            return;
        };
        if now < due || !opening.accepted.is_empty() {
            return;
        }
        opening.excluded.push(agent);
        opening.silent.push(agent);
        tracing::info!(event = "agent_silent", %flow, %agent, tries = opening.tries);
        self.counts.silent.inc();
        self.fleet.silent(agent, now);
        self.try_next(flow, now, out);
    }

    /// Takes the first segment behind the opening: it tells which backend server the caller took.
    pub(super) fn end_opening(
        &mut self,
        flow: &FlowKey,
        segment: &Segment,
        datagram: &[u8],
        now: Time,
        out: &mut impl Outbox,
    ) {
        let Some(Entry::Opening(opening)) = self.flows.get(flow) else {
            return;
        };
        let acknowledged = segment.acknowledged;
        let named = opening
            .accepted
            .iter()
            .find(|(_, initial)| acknowledges_start(acknowledged, *initial))
            .map(|(agent, _)| *agent);
        // An agent whose answer was lost or is late, if it is the only one.
        let only = match (&opening.silent[..], opening.asked) {
            ([], Some((agent, _))) => Some(agent),
            ([agent], None) => Some(*agent),
            _ => None,
        };
        match named.or(only) {
            Some(agent) => {
                self.own(flow, agent, acknowledged, now);
                self.carry(agent, datagram, out);
            }
            None => self.search(flow, segment, datagram, now, out),
        }
    }
}

/// Returns the agent to try next, and whether it has to take the flow.
fn choose(
    opening: &Opening,
    candidates: &mut Vec<Candidate>,
    salt: u64,
) -> Option<(Candidate, bool)> {
    let fails = |candidate: &Candidate| opening.failing.contains(&candidate.address);
    let sound = candidates.iter().any(|candidate| !fails(candidate));
    if sound {
        candidates.retain(|candidate| !fails(candidate));
    }
    let typical = Typical::of(candidates);
    if sound && opening.busy.len() < BUSY_TRIES {
        let is_free = |candidate: &&Candidate| !opening.busy.contains(&candidate.address);
        let free: Vec<Candidate> = candidates.iter().filter(is_free).copied().collect();
        if let Some(best) = choice::best(&free, &typical, salt) {
            return Some((best, false));
        }
    }
    choice::best(candidates, &typical, salt).map(|best| (best, true))
}
