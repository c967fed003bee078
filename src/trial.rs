//! Measurements of the decisions, run on the state machines by `berylvalve trial NAME`.

use serde_json::Value;

pub mod latency;
pub mod membership;
pub mod relay;

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
    membership::TRIAL,
    Trial {
        name: "latency",
        about: "the time that the fleet adds to a request, in loopback hops",
        run: latency::run,
    },
    Trial {
        name: "relay",
        about: "a balancer's datagrams a second and memory against a bare UDP relay",
        run: relay::run,
    },
];

/// Returns the measurement of a name.
pub fn find(name: &str) -> Option<&'static Trial> {
    TRIALS.iter().find(|trial| trial.name == name)
}
