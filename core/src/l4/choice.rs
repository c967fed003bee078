//! Choice of the agent for a new flow: the one whose backend server is expected to answer first.
//!
//! The expected time of a request is the server's mean work time, scaled up by half the load per
//! slot: the requests that it has not answered, and those that its open flows are expected to bring.
//! Several balancers place flows at the same time on load reports that are some hundred milliseconds
//! old, so each adds the flows that it has placed itself since the report.

use std::{net::SocketAddrV4, time::Duration};

use super::workload::Load;
use crate::clock::Time;

/// Work time in microseconds that is assumed while no server of a service has answered yet.
const DEFAULT_WORK_US: f32 = 20_000.0;

/// Addition to the expected time of an agent in another failure domain: the path is longer, and
/// traffic between domains is charged.
const REMOTE_PENALTY: Duration = Duration::from_millis(4);

/// Further addition for an agent in another failure domain, as a share of the server's work time.
const REMOTE_WORK_SHARE: f32 = 0.1;

/// Smallest share of the open flows that is assumed to wait for an answer, also used while no flow is
/// open.
const MIN_ACTIVE_SHARE: f32 = 0.1;

/// An agent that may take a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgentCandidate {
    /// Data address of the agent.
    pub address: SocketAddrV4,
    /// Whether the agent is in the balancer's failure domain.
    pub is_local: bool,
    /// Load of the backend server in the agent's last report.
    pub load: Load,
    /// Number of flows that this balancer has placed on the agent since the report.
    pub placed: u16,
    /// Share of the other servers' mean load that the backend server counts as holding, in the range
    /// from 0 to 1. It falls to 0 over the ramp after an evacuation.
    pub ramp: f32,
}

/// Averages over the backend servers of the candidates for a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateAverage {
    /// Mean work time of the servers that have answered, in microseconds.
    pub work_us: f32,
    /// Share of the open flows that wait for an answer.
    pub active_share: f32,
}

impl CandidateAverage {
    /// Returns the averages over the candidates, or the assumed values where they show none.
    pub fn of(candidates: &[AgentCandidate]) -> Self {
        let mut work = 0.0;
        let mut measured = 0.0;
        let mut busy = 0.0;
        let mut flows = 0.0;
        for candidate in candidates {
            busy += f32::from(candidate.load.busy);
            flows += f32::from(candidate.load.flows);
            if candidate.load.work_us > 0 {
                work += candidate.load.work_us as f32;
                measured += 1.0;
            }
        }
        Self {
            work_us: if measured > 0.0 {
                work / measured
            } else {
                DEFAULT_WORK_US
            },
            active_share: if flows > 0.0 {
                (busy / flows).max(MIN_ACTIVE_SHARE)
            } else {
                MIN_ACTIVE_SHARE
            },
        }
    }
}

/// Returns the share of a ramp of `length` that is left at `now`: 1 at its start, 0 from its end on.
pub fn ramp_share(end: Time, length: Duration, now: Time) -> f32 {
    (end.since(now).as_secs_f32() / length.as_secs_f32()).min(1.0)
}

/// Adds to the load of candidates on a ramp their share of the mean load per slot of the others, so that
/// load returns to them gradually. Without others, the loads stay as they are.
pub fn add_ramp_load(candidates: &mut [AgentCandidate]) {
    let mut slots = 0.0;
    let mut busy = 0.0;
    let mut flows = 0.0;
    for candidate in candidates.iter().filter(|candidate| candidate.ramp == 0.0) {
        slots += f32::from(candidate.load.slots);
        busy += f32::from(candidate.load.busy) + f32::from(candidate.placed);
        flows += f32::from(candidate.load.flows) + f32::from(candidate.placed);
    }
    if slots == 0.0 {
        return;
    }
    for candidate in candidates
        .iter_mut()
        .filter(|candidate| candidate.ramp > 0.0)
    {
        let load = &mut candidate.load;
        let share = candidate.ramp * f32::from(load.slots) / slots;
        load.busy = load.busy.saturating_add((busy * share).round() as u16);
        load.flows = load.flows.saturating_add((flows * share).round() as u16);
    }
}

/// Removes each candidate on a ramp with a probability of the share that is left, unless no other
/// candidate remains; `draw` is a random number.
///
/// Load reports are some hundred milliseconds old, so without this all balancers would place their flows
/// on the first servers that look less loaded than the others.
pub fn thin_out_ramps(candidates: &mut Vec<AgentCandidate>, draw: u32) {
    let point = draw as f32 / u32::MAX as f32;
    let is_kept = |candidate: &AgentCandidate| candidate.ramp <= point;
    if candidates.iter().any(is_kept) {
        candidates.retain(is_kept);
    }
}

/// Returns the expected time of a request on a new flow in microseconds. A server that has not
/// answered yet is taken for an average one.
pub fn expected_us(candidate: &AgentCandidate, average: &CandidateAverage) -> f32 {
    let load = &candidate.load;
    let work = match load.work_us {
        0 => average.work_us,
        us => us as f32,
    };
    let slots = f32::from(load.slots.max(1));
    let placed = f32::from(candidate.placed);
    let busy = f32::from(load.busy) + placed;
    let expected_active = (f32::from(load.flows) + placed) * average.active_share;
    let time = work * (1.0 + (busy + expected_active) / (2.0 * slots));
    match candidate.is_local {
        true => time,
        false => time + REMOTE_PENALTY.as_micros() as f32 + work * REMOTE_WORK_SHARE,
    }
}

/// Returns the candidate with the least expected time, or `None` without candidates. Between equals,
/// `offset` decides: the first one at or after that position, modulo the number of candidates.
pub fn best(
    candidates: &[AgentCandidate],
    average: &CandidateAverage,
    offset: u64,
) -> Option<AgentCandidate> {
    let count = candidates.len();
    let mut best: Option<(f32, AgentCandidate)> = None;
    for step in 0..count {
        let candidate = candidates[(step + offset as usize % count) % count];
        let time = expected_us(&candidate, average);
        if best.is_none_or(|(least, _)| time < least) {
            best = Some((time, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}
