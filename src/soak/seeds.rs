//! Seeds that have failed once, kept as regression cases for runs of the usual length and size.

/// A seed that has failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedSeed {
    /// The seed.
    pub seed: u64,
    /// Why it failed.
    pub cause: &'static str,
}

/// All seeds that have failed.
pub const FAILED_SEEDS: &[FailedSeed] = &[
    FailedSeed {
        seed: 2,
        cause: "a balancer without seeds in its settings counted as joined at once, knew no agent after \
            all processes were killed, and reset open flows that it could not find; the check that \
            fired was about strays, and its trace showed the resets",
    },
    FailedSeed {
        seed: 41,
        cause: "SIGTERM ended an agent that was just starting, as it handled signals only once it served",
    },
    FailedSeed {
        seed: 61,
        cause: "as seed 41",
    },
    FailedSeed {
        seed: 229,
        cause: "all leases ended and the store refused calls while processes restarted in turn, without \
                seeds in their settings: balancers and agents came to know only their own kind, and no \
                process that knew another one looked for more; nobody was served for 30 s",
    },
];
