//! Requests on open flows that are held at the agent because the slots and the queue of its backend
//! server are full, and the order in which they are delivered.
//!
//! A server works through its own queue in the order of arrival, so a request that should go first
//! can do so only if the others are not in that queue yet. Requests that are still within their
//! target go before late ones. Between routes, fair queueing shares the expected work by priority.
//! Within a route, callers with less recent work go first, then the requests with the least time
//! left. When not all of a route can be in time, the newest go first: with the oldest first, each
//! would be delivered when it is about to be late.
//!
//! A request passes once it is held for [`MAX_HOLD`], so that scheduling adds at most this to the time
//! of an answer, also beside a server that hangs. All late requests that are held for longer than
//! `MIN_PASSED_HOLD` pass with it: a server sheds most of a burst at once and soon has room again. One
//! by one, the same requests would keep its queue full, and no request could be delivered before it
//! reaches the bound too.

mod callers;
mod routes;

use std::{
    cmp::Ordering,
    collections::{HashMap, VecDeque},
    net::SocketAddrV4,
    time::Duration,
};

use rustc_hash::FxBuildHasher;

use self::{
    callers::Callers,
    routes::{Route, Routes},
};
use crate::{
    clock::Time,
    l4::{
        segment::{FlowKey, Segment},
        waiting::WaitingFlow,
        workload::Workload,
    },
};

/// Limit of requests that are held at one agent.
pub const MAX_HELD_REQUESTS: usize = 256;

/// Limit of bytes in the datagrams that are held at one agent.
pub const MAX_HELD_BYTES: usize = 256 * 1024;

/// Limit of segments that are held for one flow. A caller has at most 16 in flight; the others are
/// acknowledgements and repeated data that was cut at other bounds.
const MAX_SEGMENTS_PER_FLOW: usize = 32;

/// Time after which a held request passes.
pub const MAX_HOLD: Duration = Duration::from_secs(1);

/// Time after which a late request passes together with one that is held for [`MAX_HOLD`].
const MIN_PASSED_HOLD: Duration = Duration::from_millis(500);

/// Lower bound of the expected work of a request, for servers that have not answered yet.
const MIN_WORK: Duration = Duration::from_millis(1);

/// A caller's segment that is held.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldSegment {
    /// Balancer that sent the segment.
    pub balancer: SocketAddrV4,
    /// The datagram.
    pub datagram: Box<[u8]>,
    sequence: u32,
    acknowledged: u32,
    length: u16,
}

/// A held request with the later segments of its flow.
#[derive(Clone, Debug)]
pub struct HeldRequest {
    /// When its first segment arrived.
    pub held_at: Time,
    /// Priority of its route; 0 is the highest.
    pub priority: u8,
    /// Its segments in the order of arrival.
    pub segments: Vec<HeldSegment>,
    /// Latest time of delivery at which it is still answered within its target.
    latest_start: Time,
    /// Position among all requests that were held.
    number: u64,
}

/// Speed of the backend server, from which the time until an answer follows.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Mean work time of a request.
    work: Duration,
    /// Mean time between two answers when all slots are in use.
    interval: Duration,
}

impl Pace {
    /// Returns the pace that the workload has measured.
    pub fn of(workload: &Workload) -> Self {
        Self {
            work: workload.mean_work_time().max(MIN_WORK),
            interval: workload.answer_interval().max(MIN_WORK),
        }
    }
}

/// The request that is delivered next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Flow of the request.
    pub flow: FlowKey,
    is_late: bool,
    /// Whether it goes before older ones, as not all of its route can be in time.
    is_newest: bool,
    priority: u8,
    latest_start: Time,
}

/// Held requests of one agent, with what the agent has learned about routes and callers.
#[derive(Debug, Default)]
pub struct Requests {
    held: HashMap<FlowKey, HeldRequest, FxBuildHasher>,
    /// Arrivals in the order of time. An entry whose request was delivered stays until it is at the
    /// front.
    arrivals: VecDeque<(Time, u64, FlowKey)>,
    bytes: usize,
    routes: Routes,
    callers: Callers,
    /// Upper bound of `latest_start` of the held requests that are in time.
    last_start: Time,
    next_number: u64,
}

impl Requests {
    /// Records the priority and the time to the target that an opening of a route has.
    pub fn learn_route(&mut self, address: SocketAddrV4, priority: u8, target: Duration) {
        self.routes.learn(address, priority, target);
    }

    /// Returns whether an opening of the route was seen.
    pub fn knows_route(&self, address: &SocketAddrV4) -> bool {
        self.routes.contains(address)
    }

    /// Returns whether no request is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the number of held requests.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of bytes in held datagrams.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether a request of the flow is held.
    pub fn contains(&self, flow: &FlowKey) -> bool {
        !self.held.is_empty() && self.held.contains_key(flow)
    }

    /// Holds the first segment of a request, and returns whether it is held: not if its route is
    /// unknown or a bound is reached.
    pub fn hold(
        &mut self,
        segment: &Segment,
        balancer: SocketAddrV4,
        datagram: &[u8],
        pace: Pace,
        now: Time,
    ) -> bool {
        let flow = segment.flow_of_caller();
        let Some(route) = self.routes.get_mut(&flow.address) else {
            return false;
        };
        let is_full = self.held.len() >= MAX_HELD_REQUESTS
            || self.bytes + datagram.len() > MAX_HELD_BYTES
            || self.held.contains_key(&flow);
        if is_full {
            return false;
        }
        // In the worst case, the request waits for one other in the server's queue.
        let latest_start = now + route.target.saturating_sub(pace.work + pace.interval);
        route.flows.push(flow);
        let request = HeldRequest {
            held_at: now,
            priority: route.priority,
            segments: vec![HeldSegment::new(segment, balancer, datagram)],
            latest_start,
            number: self.next_number,
        };
        self.arrivals.push_back((now, request.number, flow));
        self.held.insert(flow, request);
        self.bytes += datagram.len();
        self.next_number += 1;
        self.last_start = self.last_start.max(latest_start);
        true
    }

    /// Adds a later segment of a flow whose request is held, and returns whether it is held: not if a
    /// bound is reached. A repeated segment replaces the earlier copy unless it acknowledges less.
    pub fn hold_later(
        &mut self,
        segment: &Segment,
        balancer: SocketAddrV4,
        datagram: &[u8],
    ) -> bool {
        let Some(request) = self.held.get_mut(&segment.flow_of_caller()) else {
            return false;
        };
        let copy = HeldSegment::new(segment, balancer, datagram);
        let mut segments = request.segments.iter_mut();
        if let Some(earlier) = segments.find(|held| held.has_same_data(&copy)) {
            if copy.acknowledged.wrapping_sub(earlier.acknowledged) < 1 << 31 {
                self.bytes = self.bytes - earlier.datagram.len() + datagram.len();
                *earlier = copy;
            }
            return true;
        }
        let is_full = request.segments.len() >= MAX_SEGMENTS_PER_FLOW
            || self.bytes + datagram.len() > MAX_HELD_BYTES;
        if is_full {
            return false;
        }
        self.bytes += datagram.len();
        request.segments.push(copy);
        true
    }

    /// Removes and returns the held request of a flow.
    pub fn take(&mut self, flow: &FlowKey) -> Option<HeldRequest> {
        let request = self.held.remove(flow)?;
        if let Some(route) = self.routes.get_mut(&flow.address) {
            route.flows.retain(|held| held != flow);
        }
        let bytes = request.segments.iter().map(|held| held.datagram.len());
        self.bytes -= bytes.sum::<usize>();
        while let Some((_, number, flow)) = self.arrivals.front() {
            let held = self.held.get(flow);
            if held.is_some_and(|held| held.number == *number) {
                break;
            }
            self.arrivals.pop_front();
        }
        Some(request)
    }

    /// Returns the flows of all held requests in the order of their arrival.
    pub fn flows(&self) -> Vec<FlowKey> {
        let held = self.arrivals.iter().filter(|(_, number, flow)| {
            let held = self.held.get(flow);
            held.is_some_and(|held| held.number == *number)
        });
        held.map(|(_, _, flow)| *flow).collect()
    }

    /// Removes all held requests with their segments.
    pub fn clear(&mut self) {
        for flow in self.flows() {
            self.take(&flow);
        }
    }

    /// Records the start of a request that takes the expected work, held or not.
    pub fn record_start(&mut self, flow: &FlowKey, pace: Pace, now: Time) {
        self.routes.charge(&flow.address, pace.work);
        self.callers.charge(*flow.caller.ip(), pace.work, now);
    }

    /// Removes callers without recent work.
    pub fn expire_callers(&mut self, now: Time) {
        self.callers.expire(now);
    }

    /// Returns the time at which the oldest request passes.
    pub fn due(&self) -> Option<Time> {
        let (held_at, _, _) = self.arrivals.front()?;
        Some(*held_at + MAX_HOLD)
    }

    /// Returns the flows of the requests that pass at `now` by the bound of time, oldest first.
    pub fn passing(&self, now: Time) -> Vec<FlowKey> {
        let mut flows = Vec::new();
        if self.due().is_none_or(|due| now < due) {
            return flows;
        }
        for (held_at, number, flow) in &self.arrivals {
            if now < *held_at + MIN_PASSED_HOLD {
                break;
            }
            let held = self.held.get(flow).filter(|held| held.number == *number);
            if held.is_some_and(|held| held.is_late(now) || now >= *held_at + MAX_HOLD) {
                flows.push(*flow);
            }
        }
        flows
    }

    /// Returns the request that is delivered next; one that is late only if `include_late` is set.
    pub fn next(&mut self, include_late: bool, pace: Pace, now: Time) -> Option<Candidate> {
        if now <= self.last_start {
            let in_time = self.next_of(false, pace, now);
            if in_time.is_some() {
                return in_time;
            }
            // None of them will be in time again. This spares the scan for each segment of the server
            // until another request is held.
            self.last_start = Time::default();
        }
        match include_late {
            true => self.next_of(true, pace, now),
            false => None,
        }
    }

    /// Returns whether a waiting opening goes before the request. An opening of a lower priority does
    /// only if its route has had less than its share.
    pub fn opening_goes_first(
        &self,
        opening: &WaitingFlow,
        request: &Candidate,
        now: Time,
    ) -> bool {
        let is_late = opening.is_late(now);
        if is_late != request.is_late {
            return request.is_late;
        }
        match opening.priority.cmp(&request.priority) {
            Ordering::Less => true,
            Ordering::Equal if request.is_newest => opening.latest_start > request.latest_start,
            Ordering::Equal => opening.latest_start < request.latest_start,
            Ordering::Greater => {
                self.routes.start_tag(&opening.flow.address)
                    < self.routes.start_tag(&request.flow.address)
            }
        }
    }

    /// Returns the next request among those that are late, or among the others.
    fn next_of(&self, late: bool, pace: Pace, now: Time) -> Option<Candidate> {
        let mut weights = 0.0;
        let mut best: Option<(u64, u8, &Route)> = None;
        for (address, route) in self.routes.backlogged() {
            if !route
                .flows
                .iter()
                .any(|flow| self.is_late(flow, now) == late)
            {
                continue;
            }
            weights += route.weight();
            let key = (self.routes.start_tag(address), route.priority);
            let is_better = best.is_none_or(|(tag, priority, other)| {
                // Routes with the same tag and priority are ordered by their oldest request.
                (key, self.number(route)) < ((tag, priority), self.number(other))
            });
            if is_better {
                best = Some((key.0, key.1, route));
            }
        }
        let (_, _, route) = best?;
        let share = route.weight() / weights;
        self.next_of_route(route, late, pace.interval.div_f64(share), now)
    }

    /// Returns the next request of a route that starts one every `interval`.
    fn next_of_route(
        &self,
        route: &Route,
        late: bool,
        interval: Duration,
        now: Time,
    ) -> Option<Candidate> {
        let (mut count, mut last_start) = (0, now);
        for flow in &route.flows {
            let request = &self.held[flow];
            if request.is_late(now) == late {
                count += 1;
                last_start = last_start.max(request.latest_start);
            }
        }
        let is_overloaded = late || now + interval * count > last_start;
        let mut best = None;
        for flow in &route.flows {
            let request = &self.held[flow];
            if request.is_late(now) != late {
                continue;
            }
            let slack = match is_overloaded {
                true => u64::MAX - request.latest_start.0,
                false => request.latest_start.0,
            };
            let recent_work = self.callers.work_class(*flow.caller.ip(), now);
            let key = (recent_work, slack, request.number);
            if best.is_none_or(|(other, _)| key < other) {
                best = Some((key, *flow));
            }
        }
        let (_, flow) = best?;
        let request = &self.held[&flow];
        Some(Candidate {
            flow,
            is_late: late,
            is_newest: is_overloaded,
            priority: request.priority,
            latest_start: request.latest_start,
        })
    }

    fn is_late(&self, flow: &FlowKey, now: Time) -> bool {
        self.held[flow].is_late(now)
    }

    fn number(&self, route: &Route) -> u64 {
        let numbers = route.flows.iter().map(|flow| self.held[flow].number);
        numbers.min().unwrap_or(u64::MAX)
    }
}

impl HeldSegment {
    fn new(segment: &Segment, balancer: SocketAddrV4, datagram: &[u8]) -> Self {
        Self {
            balancer,
            datagram: datagram.into(),
            sequence: segment.sequence,
            acknowledged: segment.acknowledged,
            length: segment.length,
        }
    }

    fn has_same_data(&self, other: &HeldSegment) -> bool {
        self.sequence == other.sequence && self.length == other.length
    }
}

impl HeldRequest {
    fn is_late(&self, now: Time) -> bool {
        now > self.latest_start
    }
}
