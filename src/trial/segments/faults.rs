//! What goes wrong in a run of the model, and when.

use std::time::Duration;

use berylvalve_core::clock::Time;
use rand::{Rng, rngs::SmallRng};

/// A schedule of faults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Nothing but lost datagrams.
    Calm,
    /// Balancers stop and start in turn, servers leave and join.
    Planned,
    /// Processes and servers are killed, frozen and cut off.
    Disturbed,
    /// All processes of the system are killed at once; the servers go on.
    AllKilled,
    /// Everything loses power at once, and all callers come back together.
    PowerLost,
    /// Some servers fail part of their requests.
    Failing,
}

impl Plan {
    /// All plans.
    pub const ALL: [Plan; 6] = [
        Plan::Calm,
        Plan::Planned,
        Plan::Disturbed,
        Plan::AllKilled,
        Plan::PowerLost,
        Plan::Failing,
    ];

    /// Returns the name in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Plan::Calm => "calm",
            Plan::Planned => "planned",
            Plan::Disturbed => "disturbed",
            Plan::AllKilled => "all_killed",
            Plan::PowerLost => "power_lost",
            Plan::Failing => "failing",
        }
    }

    /// Returns the faults of a run in the order of time.
    pub fn schedule(self, rng: &mut SmallRng, end: Time) -> Vec<(Time, Fault)> {
        let mut faults = Vec::new();
        let middle = Time(end.0 / 2);
        match self {
            Plan::Calm => {}
            Plan::AllKilled => faults.push((middle, Fault::KillAll)),
            Plan::PowerLost => faults.push((middle, Fault::PowerAll)),
            Plan::Failing => {
                for at in [4_000, 9_000, 14_000] {
                    faults.push((
                        Time::from_millis(at),
                        Fault::Fail(rng.random_range(0..1_000)),
                    ));
                }
            }
            Plan::Planned | Plan::Disturbed => {
                let mut at = Time::from_millis(2_000);
                while at < end - Duration::from_secs(4) {
                    faults.push((at, self.draw(rng)));
                    at = at + Duration::from_millis(rng.random_range(600..2_000));
                }
            }
        }
        faults
    }

    fn draw(self, rng: &mut SmallRng) -> Fault {
        let place = rng.random_range(0..1_000);
        if self == Plan::Planned {
            return match rng.random_range(0..3) {
                0 => Fault::StopBalancer(place),
                1 => Fault::DrainServer(place),
                _ => Fault::RestartAgent(place),
            };
        }
        match rng.random_range(0..6) {
            0 => Fault::KillBalancer(place),
            1 => Fault::RestartAgent(place),
            2 => Fault::CrashServer(place),
            3 => Fault::PowerServer(place),
            4 => Fault::Freeze(place),
            _ => Fault::DrainServer(place),
        }
    }
}

/// One fault; the number chooses what it strikes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// A balancer leaves the rotation, goes on for a while, and starts anew.
    StopBalancer(usize),
    /// A balancer is killed and starts anew.
    KillBalancer(usize),
    /// An agent is killed beside a server that goes on.
    RestartAgent(usize),
    /// A server leaves as planned, and another one starts in its place.
    DrainServer(usize),
    /// A server ends at once and starts again beside its agent.
    CrashServer(usize),
    /// A server and its agent are lost, and start again.
    PowerServer(usize),
    /// An agent stands still.
    Freeze(usize),
    /// All balancers and agents are killed.
    KillAll,
    /// All balancers, agents and servers lose power.
    PowerAll,
    /// A server fails half of its requests from now on.
    Fail(usize),
}
