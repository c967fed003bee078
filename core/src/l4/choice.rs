//! Which agent takes a new flow: the one whose backend server is expected to answer first.
//!
//! The expected time of a request is the server's mean work time, stretched by what the server
//! already carries for each of its slots: requests that it has not answered, and flows that will
//! bring more. Several balancers place at once on reports that are some hundred milliseconds old,
//! so each counts what it placed itself since the report.

use std::{net::SocketAddrV4, time::Duration};

use super::workload::Load;

/// Work time that is assumed where no server of a service has answered yet, in microseconds.
const ASSUMED_WORK_US: f32 = 20_000.0;

/// Added to the expected time of an agent in another failure domain: its path is longer, and
/// answers between domains are paid for.
const REMOTE_TIME: Duration = Duration::from_millis(4);

/// Share of its work time by which a server in another failure domain must be better.
const REMOTE_SHARE: f32 = 0.1;

/// Flows that are expected to be busy at any moment where nothing is known yet, as a share.
const ASSUMED_ACTIVITY: f32 = 0.1;

/// An agent that may take a flow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Data address of the agent.
    pub address: SocketAddrV4,
    /// Whether it stands in the balancer's failure domain.
    pub near: bool,
    /// What its server carried at its last report.
    pub load: Load,
    /// Flows that this balancer placed there since the report.
    pub placed: u16,
}

/// What is typical of the servers of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Typical {
    /// Mean work time in microseconds.
    pub work_us: f32,
    /// Share of the open flows that wait for an answer.
    pub activity: f32,
}

impl Typical {
    /// Returns what is typical of the candidates.
    pub fn of(candidates: &[Candidate]) -> Self {
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
                ASSUMED_WORK_US
            },
            activity: if flows > 0.0 {
                (busy / flows).max(ASSUMED_ACTIVITY)
            } else {
                ASSUMED_ACTIVITY
            },
        }
    }
}

/// Returns the expected time of a request on a new flow, in microseconds.
pub fn expected_us(candidate: &Candidate, typical: &Typical) -> f32 {
    let load = &candidate.load;
    let work = match load.work_us {
        0 => typical.work_us,
        us => us as f32,
    };
    let slots = f32::from(load.slots.max(1));
    let placed = f32::from(candidate.placed);
    let busy = f32::from(load.busy) + placed;
    let steady = (f32::from(load.flows) + placed) * typical.activity;
    let time = work * (1.0 + (busy + steady) / (2.0 * slots));
    match candidate.near {
        true => time,
        false => time + REMOTE_TIME.as_micros() as f32 + work * REMOTE_SHARE,
    }
}

/// Returns the best candidate; `salt` decides between equals.
pub fn best(candidates: &[Candidate], typical: &Typical, salt: u64) -> Option<Candidate> {
    let count = candidates.len();
    let mut best: Option<(f32, Candidate)> = None;
    for step in 0..count {
        let candidate = candidates[(step + salt as usize % count) % count];
        let time = expected_us(&candidate, typical);
        if best.is_none_or(|(least, _)| time < least) {
            best = Some((time, candidate));
        }
    }
    best.map(|(_, candidate)| candidate)
}
