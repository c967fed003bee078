//! The command line of `berylvalve` and `berylvalved`: definition and parsing.

use std::{
    ffi::OsString,
    net::{SocketAddr, SocketAddrV4},
    num::NonZeroU32,
    path::PathBuf,
    str::FromStr,
    time::Duration,
};

use pico_args::Arguments;
use snafu::Snafu;
use time::{OffsetDateTime, format_description::well_known::Rfc3339};

use crate::{
    dev::{Faults, Load},
    load::LoadOptions,
    soak::{self, Size, place::USUAL_SIZE},
    timeline,
};

pub mod fleet;
pub mod help;
pub mod print;
pub mod run;
pub mod settings;
pub mod stand_in;

/// Length of an interval of a timeline.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(200);

/// Exit status of a bad command line or bad settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit status of a failed command.
pub const EXIT_FAILURE: u8 = 1;

/// An error in the command line.
#[derive(Debug, Snafu)]
pub enum UsageError {
    /// An argument is missing or does not fit.
    #[snafu(display("{source}"))]
    Argument {
        /// The parser's error.
        source: pico_args::Error,
    },
    /// An argument is not known.
    #[snafu(display("unknown argument {}", argument.display()))]
    Unknown {
        /// The argument.
        argument: OsString,
    },
    /// The command is not known.
    #[snafu(display("unknown command {name}; see 'berylvalve --help'"))]
    Command {
        /// The command.
        name: String,
    },
}

impl From<pico_args::Error> for UsageError {
    fn from(source: pico_args::Error) -> Self {
        UsageError::Argument { source }
    }
}

/// Options of `dev`.
#[derive(Clone, Debug, PartialEq)]
pub struct DevOptions {
    /// Name of the site.
    pub site: String,
    /// Time in which requests are sent; `None` serves until interrupted.
    pub time: Option<Duration>,
    /// What is done to the fleet meanwhile.
    pub faults: Faults,
    /// Seed of the fabric and of the callers.
    pub seed: u64,
    /// What is sent in place of the site's rates.
    pub load: Option<Load>,
    /// Whether the report is one JSON object.
    pub json: bool,
}

/// Options of `dev --platform`.
#[derive(Clone, Debug, PartialEq)]
pub struct TourOptions {
    /// How the fleet runs.
    pub run: soak::Options,
    /// Whether the report is JSON.
    pub json: bool,
}

/// Options of `soak`.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakOptions {
    /// Options of the first run; each further one has the next seed and a folder of its own.
    pub first: soak::Options,
    /// Number of runs.
    pub runs: u64,
    /// Whether the seeds that have failed once are run instead, with their own plan and size.
    pub failed: bool,
    /// Whether these include the seeds of large fleets.
    pub large: bool,
    /// Whether the reports are JSON.
    pub json: bool,
}

/// Options of `call`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallOptions {
    /// Certificate to trust, in PEM.
    pub root: PathBuf,
    /// Name of the service.
    pub service: String,
    /// Address of the service.
    pub address: SocketAddr,
    /// HTTP method.
    pub method: http::Method,
    /// Path and query.
    pub path: String,
    /// Name of the request for the logs.
    pub id: Option<String>,
    /// Body.
    pub body: String,
    /// Time to the deadline.
    pub timeout: Duration,
    /// Number of events of a feed to follow.
    pub feed: Option<u64>,
}

/// Options of `load`.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCommand {
    /// Certificate to trust, in PEM.
    pub root: PathBuf,
    /// File of the site.
    pub site: PathBuf,
    /// What is sent.
    pub load: LoadOptions,
    /// Whether the report is one JSON object.
    pub json: bool,
}

/// Kind of a settings file.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FileKind {
    /// Settings of `berylvalved`.
    #[default]
    Daemon,
    /// Settings of `berylvalve-node` on the users' platform.
    Node,
    /// A site for development.
    Site,
    /// The operators' tree.
    Tree,
}

impl FromStr for FileKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "daemon" => Ok(FileKind::Daemon),
            "node" => Ok(FileKind::Node),
            "site" => Ok(FileKind::Site),
            "tree" => Ok(FileKind::Tree),
            _ => Err(format!(
                "no kind named {text}; there are daemon, node, site and tree"
            )),
        }
    }
}

/// A stand-in to run as a process.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StandIn {
    /// The fabric, for a number of services.
    Fabric(usize),
    /// A backend server, with its options in a file.
    Server(PathBuf),
    /// A key-value store.
    Store,
}

/// A parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print a help text.
    Help(String),
    /// Start or measure a site.
    Dev(DevOptions),
    /// Show planned changes and a store outage with the daemons of the users' platform.
    Tour(TourOptions),
    /// Send one request.
    Call(CallOptions),
    /// Send a site's mix to a running fleet.
    Load(LoadCommand),
    /// Check a settings file.
    Check(FileKind, PathBuf),
    /// Run the daemons of the users' platform under faults.
    Soak(SoakOptions),
    /// List the trials, or run one with a seed.
    Trial(Option<String>, u64),
    /// Run a stand-in.
    StandIn(StandIn),
    /// Print completions for a shell.
    Completions(String),
    /// Show the members of a fleet.
    Status {
        /// File with the fleet's keys and peers.
        fleet: PathBuf,
        /// Whether to print JSON.
        json: bool,
    },
    /// Stop one daemon gracefully.
    Drain {
        /// File with the fleet's keys and peers.
        fleet: PathBuf,
        /// Control address of the daemon.
        daemon: SocketAddrV4,
    },
    /// Read, change or explain settings.
    Settings(settings::Options),
    /// Find all decisions about a request or a flow in log files.
    ExplainLogs {
        /// Id of a request, a flow, or the address of a caller.
        subject: String,
        /// Files with the logs of processes.
        logs: Vec<PathBuf>,
    },
    /// Count the decisions in log files by interval.
    Timeline {
        /// Which lines are counted, and in what intervals.
        options: timeline::Options,
        /// Whether to print JSON.
        json: bool,
        /// Files with the logs of processes.
        logs: Vec<PathBuf>,
    },
    /// Show where a flow or a request went.
    Explain {
        /// File with the fleet's keys and peers.
        fleet: PathBuf,
        /// Address of a caller or name of a request.
        subject: String,
        /// Whether to print JSON.
        json: bool,
    },
}

/// Parses the arguments of `berylvalve`.
///
/// # Errors
///
/// Fails if an argument is unknown, missing or does not fit.
pub fn parse(mut args: Arguments) -> Result<Command, UsageError> {
    let help = args.contains(["-h", "--help"]);
    let Some(name) = args.subcommand()? else {
        return Ok(Command::Help(help::overview()));
    };
    let Some(entry) = help::find(&name) else {
        return CommandSnafu { name }.fail();
    };
    if help {
        return Ok(Command::Help(entry.help.to_owned()));
    }
    let command = match entry.name {
        "dev" if args.contains("--platform") => Command::Tour(parse_tour(&mut args)?),
        "dev" => Command::Dev(parse_dev(&mut args)?),
        "call" => Command::Call(parse_call(&mut args)?),
        "load" => Command::Load(parse_load(&mut args)?),
        "check" => parse_check(&mut args)?,
        "status" => parse_status(&mut args)?,
        "drain" => parse_drain(&mut args)?,
        "explain" => parse_explain_logs(&mut args)?,
        "timeline" => parse_timeline(&mut args)?,
        "explain-flow" => parse_explain(&mut args)?,
        "settings" => Command::Settings(settings::parse(&mut args)?),
        "soak" => Command::Soak(parse_soak(&mut args)?),
        "trial" => parse_trial(&mut args)?,
        "stand-in" => Command::StandIn(parse_stand_in(&mut args)?),
        "completions" => Command::Completions(args.free_from_str()?),
        _ => return CommandSnafu { name }.fail(),
    };
    match args.finish().into_iter().next() {
        Some(argument) => UnknownSnafu { argument }.fail(),
        None => Ok(command),
    }
}

fn parse_dev(args: &mut Arguments) -> Result<DevOptions, UsageError> {
    let factor: Option<f64> = args.opt_value_from_fn("--load", factor)?;
    let burst = args.contains("--burst");
    Ok(DevOptions {
        site: args
            .opt_value_from_str("--site")?
            .unwrap_or_else(|| "haverkamp".to_owned()),
        time: args.opt_value_from_fn("--seconds", seconds)?,
        faults: args.opt_value_from_str("--faults")?.unwrap_or_default(),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        load: factor.map(|factor| Load { factor, burst }),
        json: args.contains("--json"),
    })
}

fn parse_tour(args: &mut Arguments) -> Result<TourOptions, UsageError> {
    let mut run = parse_fleet(args, "berylvalve-dev")?;
    run.plan = soak::Plan::Tour;
    Ok(TourOptions {
        run,
        json: args.contains("--json"),
    })
}

fn parse_soak(args: &mut Arguments) -> Result<SoakOptions, UsageError> {
    let time = args.opt_value_from_fn("--seconds", soak_time)?;
    let mut first = parse_fleet(args, "berylvalve-soak")?;
    if args.contains("--restarts") {
        first.plan = soak::Plan::Restarts;
    }
    first.time = time.unwrap_or(first.time);
    Ok(SoakOptions {
        first,
        runs: args.opt_value_from_str("--runs")?.unwrap_or(1),
        failed: args.contains("--failed-seeds"),
        large: args.contains("--large"),
        json: args.contains("--json"),
    })
}

/// Reads how a fleet of the platform's daemons runs, with a folder of a name unless one is given.
fn parse_fleet(args: &mut Arguments, folder: &str) -> Result<soak::Options, UsageError> {
    let named: Option<PathBuf> = args.opt_value_from_str("--folder")?;
    let program: Option<PathBuf> = args.opt_value_from_str("--node")?;
    let mut count = |name, usual| -> Result<usize, UsageError> {
        let counted = args.opt_value_from_fn(name, soak_count)?;
        Ok(counted.unwrap_or(usual))
    };
    Ok(soak::Options {
        size: Size {
            balancers: count("--balancers", USUAL_SIZE.balancers)?,
            agents: count("--agents", USUAL_SIZE.agents)?,
            callers: count("--callers", USUAL_SIZE.callers)?,
        },
        plan: soak::Plan::Drawn,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        time: soak::USUAL_TIME,
        program: program.unwrap_or_else(soak::program_beside_this),
        folder: named.unwrap_or_else(|| std::env::temp_dir().join(folder)),
    })
}

fn soak_time(text: &str) -> Result<Duration, String> {
    let time = seconds(text)?;
    match time >= soak::MIN_TIME {
        true => Ok(time),
        false => Err(format!("below {} s", soak::MIN_TIME.as_secs())),
    }
}

/// Reads a number of processes or callers: one or more for each failure domain.
fn soak_count(text: &str) -> Result<usize, String> {
    let counts = soak::place::DOMAINS..=soak::MAX_COUNT;
    let count: usize = text.parse().map_err(|_| "not a number".to_owned())?;
    match counts.contains(&count) {
        true => Ok(count),
        false => Err(format!("not from {} to {}", counts.start(), counts.end())),
    }
}

fn parse_call(args: &mut Arguments) -> Result<CallOptions, UsageError> {
    let timeout_ms: Option<u64> = args.opt_value_from_str("--timeout-ms")?;
    Ok(CallOptions {
        root: args.value_from_str("--root")?,
        service: args.value_from_str("--service")?,
        timeout: Duration::from_millis(timeout_ms.unwrap_or(5000)),
        feed: args.opt_value_from_str("--feed")?,
        id: args.opt_value_from_str("--id")?,
        address: args.free_from_str()?,
        method: args.free_from_str()?,
        path: args.free_from_str()?,
        body: args.opt_free_from_str()?.unwrap_or_default(),
    })
}

fn parse_check(args: &mut Arguments) -> Result<Command, UsageError> {
    let kind = args.opt_value_from_str("--kind")?.unwrap_or_default();
    Ok(Command::Check(kind, args.free_from_str()?))
}

fn parse_stand_in(args: &mut Arguments) -> Result<StandIn, UsageError> {
    match args.subcommand()?.as_deref() {
        Some("fabric") => Ok(StandIn::Fabric(args.free_from_str()?)),
        Some("server") => Ok(StandIn::Server(args.free_from_str()?)),
        Some("store") => Ok(StandIn::Store),
        other => CommandSnafu {
            name: format!("stand-in {}", other.unwrap_or_default()),
        }
        .fail(),
    }
}

fn parse_trial(args: &mut Arguments) -> Result<Command, UsageError> {
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(1);
    Ok(Command::Trial(args.opt_free_from_str()?, seed))
}

fn parse_status(args: &mut Arguments) -> Result<Command, UsageError> {
    Ok(Command::Status {
        fleet: args.value_from_str("--fleet")?,
        json: args.contains("--json"),
    })
}

fn parse_drain(args: &mut Arguments) -> Result<Command, UsageError> {
    Ok(Command::Drain {
        fleet: args.value_from_str("--fleet")?,
        daemon: args.free_from_str()?,
    })
}

fn parse_explain(args: &mut Arguments) -> Result<Command, UsageError> {
    Ok(Command::Explain {
        fleet: args.value_from_str("--fleet")?,
        json: args.contains("--json"),
        subject: args.free_from_str()?,
    })
}

fn parse_explain_logs(args: &mut Arguments) -> Result<Command, UsageError> {
    Ok(Command::ExplainLogs {
        subject: args.free_from_str()?,
        logs: parse_logs(args)?,
    })
}

fn parse_timeline(args: &mut Arguments) -> Result<Command, UsageError> {
    let interval_ms: Option<NonZeroU32> = args.opt_value_from_str("--interval")?;
    let options = timeline::Options {
        interval: interval_ms.map_or(DEFAULT_INTERVAL, |millis| {
            Duration::from_millis(u32::from(millis).into())
        }),
        from: args.opt_value_from_fn("--from", point_in_time)?,
        until: args.opt_value_from_fn("--until", point_in_time)?,
    };
    Ok(Command::Timeline {
        options,
        json: args.contains("--json"),
        logs: parse_logs(args)?,
    })
}

fn parse_logs(args: &mut Arguments) -> Result<Vec<PathBuf>, UsageError> {
    let mut logs = vec![args.free_from_str()?];
    while let Some(log) = args.opt_free_from_str()? {
        logs.push(log);
    }
    Ok(logs)
}

/// Reads a point in time as logs show it.
fn point_in_time(text: &str) -> Result<OffsetDateTime, String> {
    OffsetDateTime::parse(text, &Rfc3339).map_err(|error| error.to_string())
}

/// Reads a time in seconds.
fn seconds(text: &str) -> Result<Duration, String> {
    let number = factor(text)?;
    Duration::try_from_secs_f64(number).map_err(|error| error.to_string())
}

/// Reads a number above zero.
fn factor(text: &str) -> Result<f64, String> {
    let number: f64 = text.parse().map_err(|_| "not a number".to_owned())?;
    match number.is_finite() && number > 0.0 {
        true => Ok(number),
        false => Err("not above zero".to_owned()),
    }
}

fn parse_load(args: &mut Arguments) -> Result<LoadCommand, UsageError> {
    Ok(LoadCommand {
        root: args.value_from_str("--root")?,
        load: LoadOptions {
            time: args.value_from_fn("--seconds", seconds)?,
            rate: args.opt_value_from_fn("--rate", factor)?.unwrap_or(1.0),
            seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        },
        json: args.contains("--json"),
        site: args.free_from_str()?,
    })
}
