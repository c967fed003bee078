//! Measurements of the decisions, run on the state machines by `berylvalve trial NAME`.

use serde_json::Value;

pub mod agenda;
pub mod balance;
pub mod connections;
pub mod flows;
pub mod latency;
pub mod ledger;
pub mod membership;
pub mod placement;
pub mod relay;
pub mod segments;
pub mod settings;

/// A measurement that anyone can run again.
#[derive(Clone, Copy)]
pub struct Trial {
    /// Name on the command line.
    pub name: &'static str,
    /// What is compared, in one line.
    pub about: &'static str,
    /// Runs the measurement with a seed and returns its figures.
    pub run: fn(u64) -> Value,
}

/// All measurements.
pub const TRIALS: &[Trial] = &[
    Trial {
        name: "balance",
        about: "ways to spread requests over servers of different speed",
        run: balance::run,
    },
    Trial {
        name: "connections",
        about: "memory of open flows at callers and agents together",
        run: connections::run,
    },
    Trial {
        name: "flows",
        about: "flows broken by planned changes: consistent hash, earlier owners, owner ids",
        run: flows::run,
    },
    Trial {
        name: "latency",
        about: "the time that the fleet adds to a request, in loopback hops",
        run: latency::run,
    },
    Trial {
        name: "ledger",
        about: "the ledger of one incarnation against a record in the store for each request",
        run: ledger::run,
    },
    membership::TRIAL,
    Trial {
        name: "placement",
        about: "Maglev's table against weighted rendezvous hashing: time, bytes, moves, imbalance",
        run: placement::run,
    },
    Trial {
        name: "relay",
        about: "a balancer's datagrams a second and memory against a bare UDP relay",
        run: relay::run,
    },
    Trial {
        name: "segments",
        about: "five-tuple flows through balancers and agents under faults: what callers see",
        run: segments::run,
    },
    Trial {
        name: "settings",
        about: "time to all, bytes and store calls of a change of settings, by the size of the fleet",
        run: settings::run,
    },
];

/// Returns the measurement of a name.
pub fn find(name: &str) -> Option<&'static Trial> {
    TRIALS.iter().find(|trial| trial.name == name)
}

/// Returns the memory of this process in bytes, zero where the system does not tell.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
