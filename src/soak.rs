//! A fault soak: the real daemons of the users' platform as separate processes, with faults from
//! outside, and the promises checked from what callers and backend servers see.
//!
//! The platform's stand-in offers the store; routers, callers and backend servers live in this
//! process. Daemons reach the store through a proxy that disturbs connections, callers reach
//! balancers through a router that loses and delays datagrams, and processes are stopped, paused,
//! killed and restarted by signals. A seed gives the schedule of faults.

use std::{path::PathBuf, time::Duration};

use berylvalve_core::clock::Time;
use rand::{SeedableRng, rngs::SmallRng};
use snafu::{ResultExt, Snafu};

pub mod fault;
pub mod place;
pub mod plot;
pub mod process;
pub mod proxy;
pub mod report;
pub mod roll;
pub mod seeds;
pub mod views;
pub mod wire;
pub mod world;

pub use place::Size;
pub use report::Report;
use world::World;

/// Time before callers begin, in which the processes start.
const LEAD_TIME: Duration = Duration::from_secs(4);

/// Time from the start of the callers to the first fault.
const QUIET_TIME: Duration = Duration::from_secs(3);

/// Time without faults at the end: `recover_s` of the platform's bounds, 12 s, and the time in which
/// everything must be answered again.
const SETTLE_TIME: Duration = Duration::from_secs(18);

/// Shortest run: one with some faults in it.
pub const MIN_TIME: Duration = Duration::from_secs(30);

/// Usual length of a run.
pub const USUAL_TIME: Duration = Duration::from_secs(60);

/// Most processes of a role, and most callers: their addresses differ in one byte.
pub const MAX_COUNT: usize = 250;

/// Name of the daemons' program.
const PROGRAM: &str = "berylvalve-node";

/// An error that ends a run before it has a result.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A folder or file can't be written.
    #[snafu(display("{}: {source}", path.display()))]
    File {
        /// Its path.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A socket can't be opened.
    #[snafu(display("loopback: {source}"))]
    Socket {
        /// The system's error.
        source: std::io::Error,
    },
    /// A daemon can't be started.
    #[snafu(display("{}: {source}", program.display()))]
    Program {
        /// Path of the program.
        program: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// The plot can't be drawn.
    #[snafu(display("plot: {why}"))]
    Plot {
        /// The library's error.
        why: String,
    },
}

/// What happens in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Plan {
    /// Faults drawn by the seed.
    Drawn,
    /// Planned restarts drawn by the seed, in series and overlapping, and nothing else.
    Restarts,
    /// A rolling restart of the balancers, then one of the agents during an outage of the store.
    Tour,
}

/// Options of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// What happens.
    pub plan: Plan,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Length of the run.
    pub time: Duration,
    /// Processes and callers.
    pub size: Size,
    /// The program `berylvalve-node`.
    pub program: PathBuf,
    /// Folder for settings, logs and reports; made anew for each seed.
    pub folder: PathBuf,
}

/// Returns where the daemons' program is expected: beside the program that runs.
pub fn program_beside_this() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name(PROGRAM)
}

/// Runs the soak once.
///
/// `progress` is called every second with the report so far.
///
/// # Errors
///
/// Fails if the run can't be set up; broken promises are part of the report.
pub async fn run(options: &Options, progress: impl FnMut(&Report)) -> Result<Report, SoakError> {
    let mut rng = SmallRng::seed_from_u64(options.seed);
    let end = Time::default() + options.time;
    let first = Time::default() + LEAD_TIME + QUIET_TIME;
    let faults = match options.plan {
        Plan::Drawn => fault::schedule(&mut rng, options.size, first, end - SETTLE_TIME),
        Plan::Restarts => fault::restarts(&mut rng, options.size, first, end - SETTLE_TIME),
        Plan::Tour => fault::tour(options.size),
    };
    let world = World::start(options, faults, rng).await?;
    let report = world.run(progress).await;
    let path = options.folder.join("report.json");
    let text = serde_json::to_string_pretty(&report).expect("reports encode");
    std::fs::write(&path, text).context(FileSnafu { path })?;
    plot::draw(&report, &options.folder.join("report.svg"))?;
    Ok(report)
}
