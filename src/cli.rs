//! The command line of `berylvalve` and `berylvalved`: definition and parsing.

use std::{ffi::OsString, net::SocketAddr, path::PathBuf, str::FromStr, time::Duration};

use pico_args::Arguments;
use snafu::Snafu;

use crate::dev::Faults;

pub mod print;
pub mod run;
pub mod stand_in;

/// Exit status of a bad command line or bad settings.
pub const EXIT_USAGE: u8 = 2;
/// Exit status of a failed command.
pub const EXIT_FAILURE: u8 = 1;

/// Help of the tool.
pub const HELP: &str = "\
berylvalve: drives and inspects a berylvalve fleet

USAGE:
  berylvalve COMMAND [OPTIONS]

COMMANDS:
  dev       start a whole site on loopback, or measure one
  call      send one request as a caller
  check     check a settings file
  stand-in  run one stand-in of the platform as a process
  trial     measure a decision on its state machine

Run 'berylvalve COMMAND --help' for the options of a command.
";

/// Help of `dev`.
pub const HELP_DEV: &str = "\
berylvalve dev: start a whole site on loopback with stand-ins

USAGE:
  berylvalve dev [--site NAME]                start a site and serve until interrupted
  berylvalve dev [--site NAME] --seconds N    send the site's mix for N seconds and report

OPTIONS:
  --site NAME     haverkamp or dolbom (default: haverkamp)
  --seconds N     time in which requests are sent
  --faults KIND   none or rolling (default: none)
  --seed S        seed of the fabric and of the callers (default: 1)
  --json          print the report as one JSON object on the last line

EXAMPLE:
  berylvalve dev --site dolbom --seconds 10 --faults rolling --json
";

/// Help of `call`.
pub const HELP_CALL: &str = "\
berylvalve call: send one request as a caller

USAGE:
  berylvalve call --root FILE --service NAME ADDRESS METHOD PATH [BODY]

OPTIONS:
  --root FILE      certificate that signs the service's certificate, in PEM
  --service NAME   name of the service
  --timeout-ms N   time to the request's deadline (default: 5000)
  --feed N         follow a feed for N events

EXAMPLE:
  berylvalve call --root root.pem --service wind 127.0.0.1:4433 POST /checkin 'kite 7'
";

/// Help of `check`.
pub const HELP_CHECK: &str = "\
berylvalve check: check a settings file without starting anything

USAGE:
  berylvalve check [--kind daemon|site|tree] FILE

EXAMPLE:
  berylvalve check balancer.json
";

/// Help of `stand-in`.
pub const HELP_STAND_IN: &str = "\
berylvalve stand-in: run one stand-in of the platform as a process, for tests

USAGE:
  berylvalve stand-in fabric SERVICES    spray datagrams for a number of services
  berylvalve stand-in server FILE        run a backend server with options in JSON
  berylvalve stand-in store              run an empty key-value store

The stand-in prints its addresses on standard output. The fabric reads its balancers from standard
input, one list of addresses separated by spaces a line, and ends with its input. So does the store,
which reads what fails from now on: down, up, slow MILLISECONDS, lose N, lapse, save, restore, calls.

EXAMPLE:
  berylvalve stand-in server server.json
";

/// Help of `trial`.
pub const HELP_TRIAL: &str = "\
berylvalve trial: measure a decision on its state machine

USAGE:
  berylvalve trial                    list the trials
  berylvalve trial NAME [--seed S]    run one and print its figures as JSON

EXAMPLE:
  berylvalve trial flows --seed 7
";

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
    /// Whether the report is one JSON object.
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
    /// Body.
    pub body: String,
    /// Time to the deadline.
    pub timeout: Duration,
    /// Number of events of a feed to follow.
    pub feed: Option<u64>,
}

/// Kind of a settings file.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum FileKind {
    /// Settings of `berylvalved`.
    #[default]
    Daemon,
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
            "site" => Ok(FileKind::Site),
            "tree" => Ok(FileKind::Tree),
            _ => Err(format!(
                "no kind named {text}; there are daemon, site and tree"
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
    Help(&'static str),
    /// Start or measure a site.
    Dev(DevOptions),
    /// Send one request.
    Call(CallOptions),
    /// Check a settings file.
    Check(FileKind, PathBuf),
    /// List the trials, or run one with a seed.
    Trial(Option<String>, u64),
    /// Run a stand-in.
    StandIn(StandIn),
}

/// Parses the arguments of `berylvalve`.
///
/// # Errors
///
/// Fails if an argument is unknown, missing or does not fit.
pub fn parse(mut args: Arguments) -> Result<Command, UsageError> {
    let help = args.contains(["-h", "--help"]);
    let command = match args.subcommand()?.as_deref() {
        None => return Ok(Command::Help(HELP)),
        Some("dev") if help => Command::Help(HELP_DEV),
        Some("dev") => Command::Dev(parse_dev(&mut args)?),
        Some("call") if help => Command::Help(HELP_CALL),
        Some("call") => Command::Call(parse_call(&mut args)?),
        Some("check") if help => Command::Help(HELP_CHECK),
        Some("check") => parse_check(&mut args)?,
        Some("stand-in") if help => Command::Help(HELP_STAND_IN),
        Some("stand-in") => Command::StandIn(parse_stand_in(&mut args)?),
        Some("trial") if help => Command::Help(HELP_TRIAL),
        Some("trial") => parse_trial(&mut args)?,
        Some(name) => return CommandSnafu { name }.fail(),
    };
    match args.finish().into_iter().next() {
        Some(argument) => UnknownSnafu { argument }.fail(),
        None => Ok(command),
    }
}

fn parse_dev(args: &mut Arguments) -> Result<DevOptions, UsageError> {
    let seconds: Option<f64> = args.opt_value_from_str("--seconds")?;
    Ok(DevOptions {
        site: args
            .opt_value_from_str("--site")?
            .unwrap_or_else(|| "haverkamp".to_owned()),
        time: seconds.map(Duration::from_secs_f64),
        faults: args.opt_value_from_str("--faults")?.unwrap_or_default(),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        json: args.contains("--json"),
    })
}

fn parse_call(args: &mut Arguments) -> Result<CallOptions, UsageError> {
    let timeout_ms: Option<u64> = args.opt_value_from_str("--timeout-ms")?;
    Ok(CallOptions {
        root: args.value_from_str("--root")?,
        service: args.value_from_str("--service")?,
        timeout: Duration::from_millis(timeout_ms.unwrap_or(5000)),
        feed: args.opt_value_from_str("--feed")?,
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
