//! Compares ways to spread requests over the backend servers of a service.
//!
//! The real admission, capacity, placement and choice of peers run under virtual time; the backend
//! servers are fakes with slots and a fixed time for each request. One server is slowed fourfold,
//! another one reports that it is idle.

use std::time::Duration;

use serde::Serialize;
use serde_json::Value;

use crate::{config::site::Site, dev};

pub mod bench;
pub mod server;

use bench::Bench;

const LOADS: [f64; 4] = [0.5, 0.9, 1.5, 3.0];
const SITES: [&str; 2] = ["haverkamp", "dolbom"];

/// A way to spread requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// New flows by a table of equal weights.
    Equal,
    /// New flows by the load that the servers report.
    Reported,
    /// New flows by the capacity that the agents measure.
    Measured,
    /// As measured; a busy agent hands new flows to the second choice.
    HandOn,
    /// As hand-on; a busy agent passes single requests to agents with a free slot.
    #[serde(rename = "passing")]
    Offload,
}

/// All ways.
pub const WAYS: [Way; 5] = [
    Way::Equal,
    Way::Reported,
    Way::Measured,
    Way::HandOn,
    Way::Offload,
];

/// What arrives at one service.
#[derive(Clone, Debug)]
pub struct Schedule {
    /// Time in service of each server, in order.
    pub service: Vec<Duration>,
    /// Slots of each server.
    pub slots: u32,
    /// Share of what the servers can carry.
    pub load: f64,
    /// Whether the arrivals are a burst over a low rate.
    pub burst: bool,
    /// Seed of arrivals and choices.
    pub seed: u64,
}

/// What came of one run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Figures {
    /// Requests in the measured time.
    pub requests: u64,
    /// Highest use of slots among the servers over the mean.
    pub imbalance: f64,
    /// Slot time of requests that ended in time, over all slot time.
    pub useful: f64,
    /// Share of requests that were refused, by priority.
    pub refused: Vec<(u8, f64)>,
    /// Longest time from arrival to refusal, in milliseconds.
    pub refusal_max_ms: f64,
    /// 99th percentile of the time to an answer, in milliseconds.
    pub p99_ms: f64,
    /// Messages between agents for each request.
    pub passes: f64,
    /// Announcements of a weight a second and agent.
    pub announced: f64,
}

/// Runs all ways at all loads on both sites.
pub fn run(seed: u64) -> Value {
    let mut rows = Vec::new();
    for name in SITES {
        let site = dev::site(name).expect("the repository's sites hold");
        for load in LOADS {
            for burst in [false, true] {
                rows.extend(compare(&site, load, burst, seed));
            }
        }
    }
    Value::Array(rows)
}

fn compare(site: &Site, load: f64, burst: bool, seed: u64) -> Vec<Value> {
    let mut rows = Vec::new();
    for group in &site.servers {
        let service = group.service_ms.iter().copied();
        let schedule = Schedule {
            service: service.map(Duration::from_millis).collect(),
            slots: group.slots,
            load,
            burst,
            seed,
        };
        for way in WAYS {
            let figures = Bench::new(&schedule, way).run();
            rows.push(serde_json::json!({
                "service": group.service, "load": load, "burst": burst,
                "way": way, "figures": figures,
            }));
        }
    }
    rows
}
