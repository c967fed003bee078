//! `berylvalve settings`: reads, changes and explains the operators' tree in the store.

use std::{
    fmt::Write,
    path::{Path, PathBuf},
};

use pico_args::Arguments;
use serde::Serialize;
use serde_json::{Value, json};
use snafu::{OptionExt, ResultExt, Snafu};

use super::{CommandSnafu, UsageError};
use crate::{
    config::{self, ConfigError, daemon::decode_keys, fleet::FleetSettings, tree::Region},
    control::ControlClient,
    membership::Signer,
    settings::{
        change::{Change, differences},
        client::{FleetPeers, SettingsClient},
        edit::Outcome,
        explain::{self, ExplainedValue},
        part::{Part, PartName, join},
    },
    store::{EtcdStore, StoreError},
};

/// Help of `settings`.
pub const HELP: &str = "\
berylvalve settings: read, change and explain the settings in the store

USAGE:
  berylvalve settings get --fleet FILE [PATH]
  berylvalve settings set --fleet FILE [--if-revision N] PATH VALUE
  berylvalve settings set --fleet FILE [--if-revision N] --tree TREE.json
  berylvalve settings explain --fleet FILE SERVICE [REQUEST]
  berylvalve settings history --fleet FILE [SERVICE]

A PATH names a value of the tree, such as services.wind.policy.timeout_ms. VALUE is JSON; null removes
the value, so that the broader level holds again. 'set' checks the whole tree before it writes, and
ends with accepted, unchanged, refused (with what another operator changed), invalid, behind (the
store holds older settings than the fleet), unavailable, or unknown. After 'unknown', 'history' tells
whether the change id that was printed is there.

OPTIONS:
  --fleet FILE       fleet keys, peers, region and store, in JSON
  --author NAME      who makes the change (default: $USER)
  --if-revision N    refuse the change if its part is newer than revision N
  --tree FILE        replace the whole tree by a file
  --json             print JSON

EXIT STATUS:
  0  accepted, unchanged, or shown
  1  refused, unavailable or unknown
  2  invalid settings or a bad command line

EXAMPLE:
  berylvalve settings set --fleet fleet.json services.wind.policy.timeout_ms 3000
";

/// A subcommand of `settings`.
#[derive(Clone, Debug, PartialEq)]
pub enum Request {
    /// Print a value.
    Get(Option<String>),
    /// Change a value.
    Set {
        /// Path and value in JSON.
        value: Option<(String, String)>,
        /// File with the whole tree.
        tree: Option<PathBuf>,
        /// Revision that the operator saw.
        seen: Option<u64>,
    },
    /// Show each value with the level that set it.
    Explain(String, Option<String>),
    /// Show the last changes of a part.
    History(Option<String>),
}

/// A parsed `settings` command.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Who makes a change.
    pub author: String,
    /// File with the fleet's keys, peers, region and store.
    pub fleet: PathBuf,
    /// Whether to print JSON.
    pub json: bool,
    /// What to do.
    pub request: Request,
}

/// An error of `settings`.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// A file does not hold.
    #[snafu(display("{source}"))]
    File {
        /// The settings' error.
        source: ConfigError,
    },
    /// The fleet file lacks what is needed.
    #[snafu(display("{}: at {key}: needed by 'berylvalve settings'", file.display()))]
    Incomplete {
        /// The file.
        file: PathBuf,
        /// The missing key.
        key: &'static str,
    },
    /// The store does not answer.
    #[snafu(display("{source}; settings in force are not touched, try again later"))]
    Store {
        /// The store's error.
        source: StoreError,
    },
    /// The tree in the store is not valid.
    #[snafu(display("the tree in the store is not valid: at {path}: {expected}"))]
    Invalid {
        /// Path in the tree.
        path: String,
        /// What was expected.
        expected: String,
    },
    /// Nothing is at a path.
    #[snafu(display("nothing at {path}; 'berylvalve settings get' shows the whole tree"))]
    Nothing {
        /// The path.
        path: String,
    },
    /// A value is not JSON.
    #[snafu(display("{text} is not JSON ({source}); put text in quotes, such as '\"text\"'"))]
    Value {
        /// The argument.
        text: String,
        /// The parser's error.
        source: serde_json::Error,
    },
}

impl SettingsError {
    /// Returns whether the command line or a file is at fault.
    pub fn is_usage(&self) -> bool {
        !matches!(self, SettingsError::Store { .. })
    }
}

/// What a command prints, and how it ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Printed {
    /// Text for standard output.
    pub text: String,
    /// Exit status.
    pub status: u8,
}

/// Parses the arguments behind `settings`.
///
/// # Errors
///
/// Fails if an argument is missing or does not fit.
pub fn parse(args: &mut Arguments) -> Result<Options, UsageError> {
    let subcommand = args.subcommand()?;
    let fleet = args.value_from_str("--fleet")?;
    let json = args.contains("--json");
    let author: Option<String> = args.opt_value_from_str("--author")?;
    let request = match subcommand.as_deref() {
        Some("get") => Request::Get(args.opt_free_from_str()?),
        Some("set") => parse_set(args)?,
        Some("explain") => Request::Explain(args.free_from_str()?, args.opt_free_from_str()?),
        Some("history") => Request::History(args.opt_free_from_str()?),
        other => {
            let name = format!("settings {}", other.unwrap_or_default());
            return CommandSnafu { name }.fail();
        }
    };
    Ok(Options {
        author: author
            .or_else(|| std::env::var("USER").ok())
            .unwrap_or_else(|| "unknown".to_owned()),
        fleet,
        json,
        request,
    })
}

fn parse_set(args: &mut Arguments) -> Result<Request, UsageError> {
    let seen = args.opt_value_from_str("--if-revision")?;
    let tree: Option<PathBuf> = args.opt_value_from_str("--tree")?;
    let value = if tree.is_none() {
        Some((args.free_from_str()?, args.free_from_str()?))
    } else {
        None
    };
    Ok(Request::Set { value, tree, seen })
}

/// Runs a command.
///
/// # Errors
///
/// Fails if a file does not hold or if the store does not answer a reading.
pub async fn run(options: &Options) -> Result<Printed, SettingsError> {
    let file = &options.fleet;
    let fleet: FleetSettings = config::load(file).context(FileSnafu)?;
    let region = fleet.region.context(IncompleteSnafu {
        file,
        key: "region",
    })?;
    let store = fleet
        .store
        .context(IncompleteSnafu { file, key: "store" })?;
    let store = EtcdStore::new(store.endpoints);
    let client = ControlClient::new(Signer::new(&decode_keys(&fleet.keys)));
    let operator = SettingsClient {
        store: &store,
        region: &region,
        author: &options.author,
        fleet: Some(FleetPeers {
            client: &client,
            peers: &fleet.peers,
        }),
    };
    match &options.request {
        Request::Get(path) => get(&operator, path.as_deref()).await,
        Request::Set { value, tree, seen } => {
            let change = change(value.as_ref(), tree.as_deref())?;
            let (id, outcome) = operator.apply(change, *seen).await;
            Ok(set_printed(&id, &outcome, options.json))
        }
        Request::Explain(service, request) => {
            let tree = read(&operator).await?.1;
            let values = explain::explain(&tree, service, request.as_deref());
            if values.is_empty() {
                let path = format!("services.{service}");
                return NothingSnafu { path }.fail();
            }
            Ok(shown(&values, options.json, explained_text))
        }
        Request::History(service) => {
            let name = service.clone().map_or(PartName::Region, PartName::Service);
            let history = operator.history(&name).await.context(StoreSnafu)?;
            let history: Vec<Part> = history.into();
            Ok(shown(&history, options.json, history_text))
        }
    }
}

async fn read(operator: &SettingsClient<'_>) -> Result<(u64, Region), SettingsError> {
    let stored = operator.read().await.context(StoreSnafu)?;
    if let Some(key) = stored.unreadable.first() {
        return InvalidSnafu {
            path: key,
            expected: "a value that can be read",
        }
        .fail();
    }
    let tree = join(operator.region, &stored.parts);
    let tree = tree.map_err(|fault| SettingsError::Invalid {
        path: fault.path,
        expected: fault.expected,
    })?;
    Ok((stored.head.revision, tree))
}

async fn get(operator: &SettingsClient<'_>, path: Option<&str>) -> Result<Printed, SettingsError> {
    let (revision, tree) = read(operator).await?;
    let mut value = serde_json::to_value(&tree).unwrap_or_default();
    for step in path.into_iter().flat_map(|path| path.split('.')) {
        let Some(inner) = value.get_mut(step) else {
            return NothingSnafu {
                path: path.unwrap_or_default(),
            }
            .fail();
        };
        value = inner.take();
    }
    eprintln!("revision {revision}");
    let text = serde_json::to_string_pretty(&value).unwrap_or_default();
    Ok(Printed {
        text: text + "\n",
        status: 0,
    })
}

fn change(value: Option<&(String, String)>, tree: Option<&Path>) -> Result<Change, SettingsError> {
    if let Some(file) = tree {
        return config::load(file).map(Change::Replace).context(FileSnafu);
    }
    let (path, text) = value.cloned().unwrap_or_default();
    let value: Value = serde_json::from_str(&text).context(ValueSnafu { text })?;
    Ok(Change::Set { path, value })
}

fn set_printed(id: &str, outcome: &Outcome, json: bool) -> Printed {
    let status = match outcome {
        Outcome::Accepted { .. } | Outcome::Unchanged { .. } => 0,
        Outcome::Invalid { .. } => super::EXIT_USAGE,
        _ => super::EXIT_FAILURE,
    };
    let text = if json {
        let mut value = serde_json::to_value(outcome).unwrap_or_default();
        value["change"] = match outcome {
            Outcome::Refused { change, .. } => json!(change),
            _ => json!(id),
        };
        format!("{value}\n")
    } else {
        outcome_text(id, outcome)
    };
    Printed { text, status }
}

fn outcome_text(id: &str, outcome: &Outcome) -> String {
    match outcome {
        Outcome::Accepted {
            revision,
            read_back,
        } => {
            let read = if *read_back {
                ", read back after a lost answer"
            } else {
                ""
            };
            format!("accepted: revision {revision}, change {id}{read}\n")
        }
        Outcome::Unchanged { revision } => {
            format!("unchanged: the tree is so already, at revision {revision}\n")
        }
        Outcome::Invalid { path, expected } => format!("invalid: at {path}: {expected}\n"),
        Outcome::Refused {
            part,
            author,
            change,
            differences,
        } => {
            let mut text = format!("refused: {author} changed {part} first (change {change})\n");
            for difference in differences {
                let _ = writeln!(
                    text,
                    "  {}: {} is now {}",
                    difference.path, difference.before, difference.now
                );
            }
            text
        }
        Outcome::Behind => {
            "behind: the store holds older settings than the fleet, which writes them back; \
             nothing was changed, try again later\n"
                .to_owned()
        }
        Outcome::Unavailable => {
            "unavailable: the store does not answer; nothing was changed\n".to_owned()
        }
        Outcome::Unknown => format!(
            "unknown: the store did not answer after the write of change {id}; \
             'berylvalve settings history' tells whether it is there\n"
        ),
    }
}

fn shown<T: Serialize>(value: &Vec<T>, json: bool, text: fn(&[T]) -> String) -> Printed {
    let text = if json {
        serde_json::to_string(value).unwrap_or_default() + "\n"
    } else {
        text(value)
    };
    Printed { text, status: 0 }
}

fn explained_text(values: &[ExplainedValue]) -> String {
    let mut text = format!(
        "{:<12} {:<12} {:<10} {}\n",
        "REQUEST", "VALUE", "IS", "SET BY"
    );
    for value in values {
        let _ = writeln!(
            text,
            "{:<12} {:<12} {:<10} {}",
            value.request,
            value.name,
            value.value.to_string(),
            value.level.as_str(),
        );
    }
    text
}

fn history_text(history: &[Part]) -> String {
    let mut text = String::new();
    for (index, part) in history.iter().enumerate() {
        let _ = writeln!(
            text,
            "revision {} change {} author {} time_ms {}",
            part.revision, part.change, part.author, part.time_ms
        );
        let before = history.get(index + 1);
        if before.is_none() {
            continue;
        }
        for difference in differences(before, Some(part)) {
            let _ = writeln!(
                text,
                "  {}: {} -> {}",
                difference.path, difference.before, difference.now
            );
        }
    }
    text
}
