//! Commands that ask a running fleet.

use std::{fmt::Write, net::SocketAddrV4, path::Path, time::Duration};

use snafu::{ResultExt, Snafu};

use crate::{
    config::{self, ConfigError, daemon::decode_keys, fleet::FleetSettings},
    control::{ControlClient, ControlError},
    decision::Decision,
    member::Record,
    membership::Signer,
    operations::{DECISIONS_PATH, DRAIN_PATH, MEMBERS_PATH},
};

const PATIENCE: Duration = Duration::from_secs(2);

/// An error of a command that asks a fleet.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// The fleet file does not hold.
    #[snafu(display("{source}"))]
    Settings {
        /// The settings' error.
        source: ConfigError,
    },
    /// No peer of the fleet file answers.
    #[snafu(display("no peer answers ({source}); check 'peers' and 'keys' of the fleet file"))]
    Silent {
        /// The last peer's error.
        source: ControlError,
    },
    /// The daemon does not answer.
    #[snafu(display("{source}"))]
    Daemon {
        /// The daemon's error.
        source: ControlError,
    },
}

struct Fleet {
    client: ControlClient,
    peers: Vec<SocketAddrV4>,
}

impl Fleet {
    fn open(file: &Path) -> Result<Self, FleetError> {
        let settings: FleetSettings = config::load(file).context(SettingsSnafu)?;
        let signer = Signer::new(&decode_keys(&settings.keys));
        Ok(Self {
            client: ControlClient::new(signer),
            peers: settings.peers,
        })
    }

    /// Returns the members that the first answering peer knows.
    async fn members(&self) -> Result<Vec<Record>, FleetError> {
        let mut last = None;
        for peer in &self.peers {
            match self.client.post(*peer, MEMBERS_PATH, &(), PATIENCE).await {
                Ok(members) => return Ok(members),
                Err(error) => last = Some(error),
            }
        }
        Err(last.expect("a fleet file has a peer")).context(SilentSnafu)
    }
}

/// Returns the members of a fleet as text.
///
/// # Errors
///
/// Fails if the file does not hold or if no peer answers.
pub async fn status(file: &Path, json: bool) -> Result<String, FleetError> {
    let mut members = Fleet::open(file)?.members().await?;
    if json {
        return Ok(json_line(&members));
    }
    members.sort_by(|a, b| (&a.domain, a.role, a.address).cmp(&(&b.domain, b.role, b.address)));
    let mut text = format!(
        "{:<10} {:<9} {:<21} {:<21} {:>7} {:<9} {:>6} {:>8}\n",
        "DOMAIN", "ROLE", "DATA", "CONTROL", "SERVICE", "STATE", "WEIGHT", "SETTINGS"
    );
    for member in &members {
        let role = format!("{:?}", member.role).to_lowercase();
        let state = format!("{:?}", member.state).to_lowercase();
        let _ = writeln!(
            text,
            "{:<10} {:<9} {:<21} {:<21} {:>7} {:<9} {:>6} {:>8}",
            member.domain,
            role,
            member.address.to_string(),
            member.control.to_string(),
            member.service.0,
            state,
            member.weight,
            member.revision,
        );
    }
    Ok(text)
}

/// Asks a daemon to stop gracefully.
///
/// # Errors
///
/// Fails if the file does not hold or if the daemon does not answer.
pub async fn drain(file: &Path, daemon: SocketAddrV4) -> Result<String, FleetError> {
    let fleet = Fleet::open(file)?;
    let asked: Result<bool, ControlError> =
        fleet.client.post(daemon, DRAIN_PATH, &(), PATIENCE).await;
    asked.context(DaemonSnafu)?;
    Ok(format!(
        "{daemon} drains; 'berylvalve status' shows when it has left\n"
    ))
}

/// Returns what all members decided about a caller or a request.
///
/// # Errors
///
/// Fails if the file does not hold or if no peer answers; a member that does not answer is passed
/// over.
pub async fn explain(file: &Path, subject: &str, json: bool) -> Result<String, FleetError> {
    let fleet = Fleet::open(file)?;
    let mut found: Vec<(SocketAddrV4, Decision)> = Vec::new();
    for member in fleet.members().await? {
        let asked = fleet
            .client
            .post(member.control, DECISIONS_PATH, &subject, PATIENCE);
        let Ok(decisions): Result<Vec<Decision>, _> = asked.await else {
            continue;
        };
        found.extend(decisions.into_iter().map(|d| (member.address, d)));
    }
    found.sort_by_key(|(_, decision)| decision.unix_ms);
    if json {
        return Ok(json_line(&found));
    }
    if found.is_empty() {
        return Ok(format!("no member remembers a decision about {subject}\n"));
    }
    let mut text = String::new();
    for (process, decision) in &found {
        let chosen = decision.chosen.map_or("-".to_owned(), |a| a.to_string());
        let second = decision.second.map_or("-".to_owned(), |a| a.to_string());
        let _ = writeln!(
            text,
            "{}.{:03} at={process} event={} chosen={chosen} second={second} version={} reason={} request={}",
            decision.unix_ms / 1000,
            decision.unix_ms % 1000,
            decision.event,
            decision.version,
            decision.reason,
            decision.request.as_deref().unwrap_or("-"),
        );
    }
    Ok(text)
}

fn json_line<T: serde::Serialize>(value: &T) -> String {
    let mut line = serde_json::to_string(value).unwrap_or_default();
    line.push('\n');
    line
}
