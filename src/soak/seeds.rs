//! Seeds that have failed once, kept as regression cases for runs of the usual length.

use super::{
    Plan,
    place::{LARGEST_SITE, Size, USUAL_SIZE},
};

/// A seed that has failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedSeed {
    /// The seed.
    pub seed: u64,
    /// What happens.
    pub plan: Plan,
    /// Processes and callers.
    pub size: Size,
    /// Why it failed.
    pub cause: &'static str,
}

/// All seeds that have failed.
pub const FAILED_SEEDS: &[FailedSeed] = &[
    FailedSeed {
        seed: 2,
        plan: Plan::Drawn,
        size: USUAL_SIZE,
        cause: "a balancer without seeds in its settings counted as joined at once, knew no agent after \
            all processes were killed, and reset open flows that it could not find; the check that \
            fired was about strays, and its trace showed the resets",
    },
    FailedSeed {
        seed: 41,
        plan: Plan::Drawn,
        size: USUAL_SIZE,
        cause: "SIGTERM ended an agent that was just starting, as it handled signals only once it served",
    },
    FailedSeed {
        seed: 61,
        plan: Plan::Drawn,
        size: USUAL_SIZE,
        cause: "as seed 41",
    },
    FailedSeed {
        seed: 229,
        plan: Plan::Drawn,
        size: USUAL_SIZE,
        cause: "all leases ended and the store refused calls while processes restarted in turn, without \
                seeds in their settings: balancers and agents came to know only their own kind, and no \
                process that knew another one looked for more; nobody was served for 30 s",
    },
    FailedSeed {
        seed: 9313,
        plan: Plan::Restarts,
        size: LARGEST_SITE,
        cause: "a restarted balancer reported ready with a part of the agents, and segments of a flow whose \
                owner it did not know went on trial to other servers",
    },
    FailedSeed {
        seed: 9321,
        plan: Plan::Restarts,
        size: LARGEST_SITE,
        cause: "segments of flows whose agents restarted went on trial to the servers of all agents that \
                were unsure after a roll",
    },
];

/// Returns the seeds that have failed; those of other sizes than the usual one only if `large`.
pub fn failed_seeds(large: bool) -> impl Iterator<Item = &'static FailedSeed> {
    let failed = FAILED_SEEDS.iter();
    failed.filter(move |failed| large || failed.size == USUAL_SIZE)
}
