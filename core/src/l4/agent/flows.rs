//! Flow table of an agent, derived from the segments between callers and the backend server.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use rustc_hash::FxBuildHasher;

use super::full_segments::FullSegments;
use super::scheduling::STALL_TIMEOUT;
use crate::{
    clock::Time,
    l4::{
        segment::{FlowKey, Segment, acknowledges_start, is_after},
        workload::{OutstandingRequest, Workload},
    },
};

/// Time for which an ended flow is kept, as its last segments may be retransmitted.
const ENDED_FLOW_TTL: Duration = Duration::from_secs(5);

/// Time after which a flow that the caller never acknowledged is removed. Callers give up an
/// opening after 1.4 s.
const UNACKNOWLEDGED_FLOW_TTL: Duration = Duration::from_secs(4);

/// Time after the delivery of an opening segment by which its caller has completed the opening, here or at
/// another server, or given it up.
const OPENING_LIFETIME: Duration = Duration::from_millis(1_400);

/// Placeholder for the balancer of a flow that was first seen in a server's segment.
const UNKNOWN_BALANCER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);

/// Age from which a flow counts as long-lived. Most flows carry one request and end earlier.
const LONG_LIVED_AGE: Duration = Duration::from_millis(500);

/// State of a flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FlowState {
    /// The opening segment was delivered to the backend server.
    OpeningSent,
    /// The backend server accepted the flow.
    Accepted {
        /// Initial sequence number of the backend server.
        initial: u32,
    },
    /// A segment was delivered on trial, to find out whether the backend server holds the flow.
    TrialDelivered,
    /// The caller sent a segment after the opening one, or the backend server sent another segment than
    /// the accepting one on a flow without an entry or after a trial delivery.
    Open,
    /// Both ends have sent a FIN, or one has reset the flow.
    Ended,
}

/// Entry of the flow table.
#[derive(Clone, Debug)]
pub struct FlowEntry {
    /// State of the flow.
    pub state: FlowState,
    /// Balancer that sent the last segment, or an unspecified address if none has.
    pub balancer: SocketAddrV4,
    /// Last acknowledgement number of the caller.
    pub acknowledged: u32,
    /// When the entry is removed. Each segment of a flow that has not ended postpones it, except
    /// for opening segments and their answers.
    pub expires: Time,
    /// Whether the backend server has not answered the opening segment yet.
    pub opening_unanswered: bool,
    /// When the caller has completed the opening, here or at another server, or given it up.
    opening_ends: Time,
    /// Whether the flow counts as an opening in the workload. An opening lasts from the delivery of
    /// the opening segment to the first request or the opening timeout.
    is_opening: bool,
    /// When the flow becomes long-lived.
    long_lived_at: Time,
    outstanding: Option<OutstandingRequest>,
    /// Sequence number that follows the last byte of the caller's data; tells new data from
    /// retransmissions.
    caller_end: Option<u32>,
    /// Sequence number that follows the last byte of the server's data; tells an answer from
    /// retransmissions of the one before.
    server_end: Option<u32>,
    /// Whether the next new data of the caller begins a request. False until the first answer on a
    /// flow that the agent has not seen from its opening, as it may be in the middle of a request.
    is_aligned: bool,
    /// Whether the last new data of the caller filled its segment.
    last_is_full: bool,
    caller_finished: bool,
    server_finished: bool,
}

/// What was known of the opening that a backend server accepts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Acceptance {
    /// It was delivered and not answered.
    First,
    /// It was answered before.
    Repeated,
    /// Nothing: the agent has lost the entry, or never had one.
    Unexpected,
}

/// Effect of a backend server's segment on its flow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SegmentEffect {
    /// The backend server accepted the flow.
    Accepted {
        /// Initial sequence number of the backend server.
        initial: u32,
        /// What was known of the opening.
        acceptance: Acceptance,
        /// Balancer that sent the last segment of the flow, see [`FlowEntry::balancer`].
        balancer: SocketAddrV4,
    },
    /// The backend server holds the flow of a trial delivery.
    Confirmed {
        /// Balancer whose segment was delivered on trial.
        balancer: SocketAddrV4,
    },
    /// The first byte of an answer, with the time since the request.
    Answered(Duration),
    /// The backend server reset the flow while a request was unanswered.
    Aborted,
    /// No effect that the agent acts on.
    Other,
}

/// Flows of one backend server. Each change is counted in the [`Workload`] that is passed in.
#[derive(Debug)]
pub struct FlowTable {
    idle_timeout: Duration,
    full_segments: FullSegments,
    entries: HashMap<FlowKey, FlowEntry, FxBuildHasher>,
}

impl FlowTable {
    /// Returns an empty table; a flow without a segment for `idle_timeout` expires.
    pub fn new(idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            full_segments: FullSegments::default(),
            entries: HashMap::default(),
        }
    }

    /// Returns the entry of a flow, or `None` if it has none. An expired entry is returned until
    /// [`FlowTable::expire`] removes it.
    pub fn get(&self, flow: &FlowKey) -> Option<&FlowEntry> {
        self.entries.get(flow)
    }

    /// Returns all flows with their entries, including expired ones that are not removed yet.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &FlowEntry)> {
        self.entries.iter()
    }

    /// Records an opening segment that is delivered to the backend server.
    pub fn record_opening(
        &mut self,
        flow: FlowKey,
        balancer: SocketAddrV4,
        workload: &mut Workload,
        now: Time,
    ) {
        let known = self.entries.get_mut(&flow);
        if let Some(entry) = known.filter(|entry| entry.state != FlowState::Ended) {
            entry.balancer = balancer;
            return;
        }
        workload.add_flow();
        let mut entry = FlowEntry::new(
            FlowState::OpeningSent,
            balancer,
            now,
            now + UNACKNOWLEDGED_FLOW_TTL,
        );
        entry.opening_unanswered = true;
        entry.opening_ends = now + OPENING_LIFETIME;
        entry.is_aligned = true;
        entry.is_opening = true;
        workload.add_opening();
        self.entries.insert(flow, entry);
    }

    /// Records that a segment for which [`FlowTable::record_caller_segment`] returned `None` is
    /// delivered on trial, to find out whether the backend server holds the flow.
    pub fn record_trial_delivery(
        &mut self,
        flow: FlowKey,
        balancer: SocketAddrV4,
        workload: &mut Workload,
        now: Time,
    ) {
        workload.add_flow();
        let entry = FlowEntry::new(
            FlowState::TrialDelivered,
            balancer,
            now,
            now + self.idle_timeout,
        );
        if let Some(mut replaced) = self.entries.insert(flow, entry) {
            replaced.release(workload);
        }
    }

    /// Records a caller's segment that is to be delivered to the backend server.
    ///
    /// Returns whether the segment begins a request, or `None` if the flow is unknown, the server has not answered
    /// the opening segment, or the caller acknowledges data of another server.
    pub fn record_caller_segment(
        &mut self,
        segment: &Segment,
        balancer: SocketAddrV4,
        workload: &mut Workload,
        now: Time,
    ) -> Option<bool> {
        let entry = self.entries.get_mut(&segment.flow_of_caller())?;
        match entry.state {
            // The server's answer would have passed here before the caller got it.
            FlowState::OpeningSent => return None,
            FlowState::Accepted { initial }
                if !acknowledges_start(segment.acknowledged, initial) =>
            {
                return None;
            }
            _ => {}
        }
        entry.balancer = balancer;
        entry.acknowledged = segment.acknowledged;
        if entry.state == FlowState::Ended {
            return Some(false);
        }
        if entry.state != FlowState::TrialDelivered {
            entry.state = FlowState::Open;
        }
        entry.expires = now + self.idle_timeout;
        let is_new = entry.is_new_to_server(segment);
        let begins_request = segment.length > 0 && is_new && entry.outstanding.is_none();
        if is_new {
            entry.caller_end = Some(segment.end());
        }
        if begins_request {
            entry.end_opening(workload);
            entry.outstanding = Some(workload.start_request(now));
        }
        if segment.length > 0 && is_new {
            if entry.last_is_full && !begins_request {
                self.full_segments.record_guess(true);
            }
            entry.last_is_full = self.full_segments.record(segment.length);
            // The server works only on whole requests. A slow caller must not keep others waiting.
            let goes_on = entry.last_is_full && self.full_segments.go_on();
            if let Some(outstanding) = &mut entry.outstanding {
                // One that has stalled must not count again, as nothing would end it a second time.
                let goes_on = goes_on || now.since(outstanding.started()) >= STALL_TIMEOUT;
                workload.set_idle(outstanding, goes_on);
            }
        }
        if segment.flags.fin {
            entry.caller_finished = true;
        }
        entry.end_if_finished(segment.flags.rst, workload, now);
        Some(begins_request)
    }

    /// Returns whether a caller's segment begins a request that no segment of was delivered. It does
    /// not on a flow that counts as an opening, whose place at the server the request takes.
    pub fn begins_request(&self, segment: &Segment) -> bool {
        let Some(entry) = self.entries.get(&segment.flow_of_caller()) else {
            return false;
        };
        let is_open = match entry.state {
            FlowState::Open => true,
            FlowState::Accepted { initial } => acknowledges_start(segment.acknowledged, initial),
            FlowState::OpeningSent | FlowState::TrialDelivered | FlowState::Ended => false,
        };
        let is_idle = entry.is_aligned && !entry.is_opening && entry.outstanding.is_none();
        is_open && is_idle && segment.length > 0 && entry.is_new_to_server(segment)
    }

    /// Returns whether the backend server has accepted the flow of a caller's segment, and the caller has not
    /// completed it.
    pub fn is_accepted(&self, segment: &Segment) -> bool {
        let entry = self.entries.get(&segment.flow_of_caller());
        entry.is_some_and(|entry| matches!(entry.state, FlowState::Accepted { .. }))
    }

    /// Returns whether the data of a caller's segment was delivered to the backend server before.
    pub fn was_delivered(&self, segment: &Segment) -> bool {
        let entry = self.entries.get(&segment.flow_of_caller());
        entry.is_some_and(|entry| !entry.is_new_to_server(segment))
    }

    /// Records a caller's segment that is held, which keeps its flow alive.
    pub fn record_held_segment(&mut self, segment: &Segment, balancer: SocketAddrV4, now: Time) {
        let idle_timeout = self.idle_timeout;
        let Some(entry) = self.entries.get_mut(&segment.flow_of_caller()) else {
            return;
        };
        entry.state = FlowState::Open;
        entry.balancer = balancer;
        entry.acknowledged = segment.acknowledged;
        entry.expires = now + idle_timeout;
    }

    /// Stops counting a request that was delivered at `started` as occupying a slot, if it is still
    /// unanswered.
    pub fn stall_request(&mut self, flow: &FlowKey, started: Time, workload: &mut Workload) {
        let entry = self.entries.get_mut(flow);
        let outstanding = entry.and_then(|entry| entry.outstanding.as_mut());
        if let Some(outstanding) = outstanding.filter(|request| request.started() == started) {
            workload.set_idle(outstanding, true);
        }
    }

    /// Records a segment of the backend server; a flow without an entry is added as open, or as accepted if the
    /// segment accepts it: the caller may have completed another copy of the opening at another server.
    pub fn record_server_segment(
        &mut self,
        segment: &Segment,
        workload: &mut Workload,
        now: Time,
    ) -> SegmentEffect {
        let idle_timeout = self.idle_timeout;
        let flow = segment.flow_of_server();
        let accepts = segment.flags.syn;
        let acceptance = match self.entries.get(&flow).map(|entry| entry.state) {
            Some(FlowState::OpeningSent) => Acceptance::First,
            Some(_) => Acceptance::Repeated,
            None => Acceptance::Unexpected,
        };
        let entry = self.entries.entry(flow).or_insert_with(|| {
            workload.add_flow();
            let initial = segment.sequence;
            let (state, ttl) = match accepts {
                true => (FlowState::Accepted { initial }, UNACKNOWLEDGED_FLOW_TTL),
                false => (FlowState::Open, idle_timeout),
            };
            FlowEntry::new(state, UNKNOWN_BALANCER, now, now + ttl)
        });
        let mut effect = SegmentEffect::Other;
        if entry.state == FlowState::Ended {
            return effect;
        }
        entry.opening_unanswered = false;
        if accepts {
            let initial = segment.sequence;
            entry.server_end = None;
            if matches!(
                entry.state,
                FlowState::OpeningSent | FlowState::Accepted { .. } | FlowState::TrialDelivered
            ) {
                if entry.state == FlowState::TrialDelivered {
                    entry.expires = now + UNACKNOWLEDGED_FLOW_TTL;
                }
                entry.state = FlowState::Accepted { initial };
            }
            return SegmentEffect::Accepted {
                initial,
                acceptance,
                balancer: entry.balancer,
            };
        }
        entry.expires = now + idle_timeout;
        if entry.state == FlowState::TrialDelivered {
            entry.state = FlowState::Open;
            effect = SegmentEffect::Confirmed {
                balancer: entry.balancer,
            };
        }
        let is_new = segment.length > 0
            && entry
                .server_end
                .is_none_or(|end| is_after(segment.end(), end));
        if is_new {
            entry.server_end = Some(segment.end());
        }
        if is_new && let Some(outstanding) = entry.outstanding.take() {
            entry.is_aligned = true;
            if entry.last_is_full {
                self.full_segments.record_guess(false);
            }
            effect = SegmentEffect::Answered(workload.finish_request(outstanding, now));
        }
        if segment.flags.rst && entry.outstanding.is_some() {
            effect = SegmentEffect::Aborted;
        }
        if segment.flags.fin {
            entry.server_finished = true;
        }
        entry.end_if_finished(segment.flags.rst, workload, now);
        effect
    }

    /// Stops counting a flow as an opening, and returns whether the opening segment is still
    /// unanswered.
    pub fn end_opening(&mut self, flow: &FlowKey, workload: &mut Workload) -> bool {
        let Some(entry) = self.entries.get_mut(flow) else {
            return false;
        };
        entry.end_opening(workload);
        entry.opening_unanswered
    }

    /// Removes a flow that the backend server does not hold.
    pub fn remove(&mut self, flow: &FlowKey, workload: &mut Workload) {
        if let Some(mut entry) = self.entries.remove(flow) {
            entry.release(workload);
        }
    }

    /// Removes the flows whose time to live has passed.
    pub fn expire(&mut self, workload: &mut Workload, now: Time) {
        self.entries.retain(|_, entry| {
            let is_kept = now < entry.expires;
            if !is_kept {
                entry.release(workload);
            }
            is_kept
        });
    }

    /// Returns the long-lived open flows: all of them, or those that became long-lived in the range
    /// from `from` to before `until`.
    pub fn long_lived(&self, now: Time, (from, until): (Time, Time), all: bool) -> Vec<FlowKey> {
        let mut flows = Vec::new();
        for (flow, entry) in &self.entries {
            let in_range = entry.long_lived_at >= from && entry.long_lived_at < until;
            if entry.state == FlowState::Open && entry.long_lived_at <= now && (all || in_range) {
                flows.push(*flow);
            }
        }
        flows
    }

    /// Removes all flows and returns the open ones. Ended flows need no reset, and the caller may
    /// have opened the others at another backend server.
    pub fn remove_all(&mut self, workload: &mut Workload) -> Vec<(FlowKey, FlowEntry)> {
        workload.clear();
        let all = self.entries.drain();
        all.filter(|(_, entry)| entry.state == FlowState::Open)
            .collect()
    }
}

impl FlowEntry {
    /// Returns whether the backend server holds the flow, or has accepted it and its caller may still complete it.
    pub fn may_go_on(&self, now: Time) -> bool {
        match self.state {
            FlowState::Open => true,
            FlowState::Accepted { .. } => now < self.opening_ends,
            FlowState::Ended | FlowState::OpeningSent | FlowState::TrialDelivered => false,
        }
    }

    fn new(state: FlowState, balancer: SocketAddrV4, now: Time, expires: Time) -> Self {
        Self {
            state,
            balancer,
            acknowledged: 0,
            expires,
            opening_unanswered: false,
            opening_ends: now,
            is_opening: false,
            long_lived_at: now + LONG_LIVED_AGE,
            outstanding: None,
            caller_end: None,
            server_end: None,
            is_aligned: false,
            last_is_full: false,
            caller_finished: false,
            server_finished: false,
        }
    }

    fn is_new_to_server(&self, segment: &Segment) -> bool {
        self.caller_end
            .is_none_or(|end| is_after(segment.end(), end))
    }

    /// Ends the flow if it was reset or both ends have finished.
    fn end_if_finished(&mut self, reset: bool, workload: &mut Workload, now: Time) {
        let finished = self.caller_finished && self.server_finished;
        if !reset && !finished {
            return;
        }
        self.release(workload);
        self.state = FlowState::Ended;
        self.expires = now + ENDED_FLOW_TTL;
    }

    fn end_opening(&mut self, workload: &mut Workload) {
        if std::mem::take(&mut self.is_opening) {
            workload.remove_opening();
        }
    }

    /// Removes the flow from the workload.
    fn release(&mut self, workload: &mut Workload) {
        self.end_opening(workload);
        if let Some(outstanding) = self.outstanding.take() {
            workload.drop_request(outstanding);
        }
        if self.state != FlowState::Ended {
            workload.remove_flow();
        }
    }
}
