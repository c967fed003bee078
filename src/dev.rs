//! A whole site in one process on loopback, with stand-ins for the platform.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use snafu::{ResultExt, Snafu};

use crate::{
    caller::CallerError,
    config::{self, ConfigError, site::Site},
    daemon::DaemonError,
};

pub mod certificate;
pub mod change;
pub mod faults;
pub mod fleet;
pub mod mix;
pub mod report;
pub mod tally;

pub use faults::Faults;
pub use report::Report;

use change::Changes;
use fleet::Fleet;
use mix::Mix;

const HAVERKAMP: &str = include_str!("../sites/haverkamp.json");
const DOLBOM: &str = include_str!("../sites/dolbom.json");

/// Time in which open requests may end after the last one was sent.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// An error of a development run.
#[derive(Debug, Snafu)]
pub enum DevError {
    /// No site has the name.
    #[snafu(display("no site named {name}; there are haverkamp and dolbom"))]
    UnknownSite {
        /// The name.
        name: String,
    },
    /// The site's settings do not hold.
    #[snafu(display("{source}"))]
    Settings {
        /// The settings' error.
        source: ConfigError,
    },
    /// A daemon can't start.
    #[snafu(display("{source}"))]
    Start {
        /// The daemon's error.
        source: DaemonError,
    },
    /// A caller can't start.
    #[snafu(display("{source}"))]
    Client {
        /// The caller's error.
        source: CallerError,
    },
    /// A socket or a file of a stand-in can't be opened.
    #[snafu(display("stand-in: {source}"))]
    StandIn {
        /// The system's error.
        source: std::io::Error,
    },
    /// A certificate can't be made.
    #[snafu(display("certificate: {source}"))]
    Certificate {
        /// The library's error.
        source: rcgen::Error,
    },
}

/// What a measured run does.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Time in which requests are sent.
    pub time: Duration,
    /// What is done to the fleet meanwhile.
    pub faults: Faults,
    /// Seed of the fabric and of the callers.
    pub seed: u64,
    /// What is sent in place of the site's rates.
    pub load: Option<Load>,
}

/// A load relative to what the backend servers can carry.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Share of what the servers can carry.
    pub factor: f64,
    /// Whether it comes as a burst: five times the load for a fifth of the time.
    pub burst: bool,
}

/// Returns one of the sites of the repository.
///
/// # Errors
///
/// Fails if there is none of that name.
pub fn site(name: &str) -> Result<Site, DevError> {
    let text = match name {
        "dolbom" => DOLBOM,
        "haverkamp" => HAVERKAMP,
        _ => return UnknownSiteSnafu { name }.fail(),
    };
    config::parse(Path::new(&format!("sites/{name}.json")), text).context(SettingsSnafu)
}

/// Starts a site.
///
/// # Errors
///
/// Fails if a process or a stand-in can't start.
pub async fn start(site: &Site, seed: u64) -> Result<Fleet, DevError> {
    Fleet::start(site, seed).await
}

/// Starts a site, sends its mix, and judges what came of it.
///
/// # Errors
///
/// Fails if the site can't start.
pub async fn run(site: &Site, options: RunOptions) -> Result<Report, DevError> {
    let fleet = Arc::new(Fleet::start(site, options.seed).await?);
    let roots = [fleet.certificate.root.clone()];
    let mix = Mix::start(site, &fleet.tree, &roots, options).await?;
    let changes = Arc::new(Mutex::new(Changes::default()));
    let faults = faults::apply(fleet.clone(), options.faults, changes.clone());
    let faults = tokio::spawn(faults);
    tokio::time::sleep(options.time).await;
    faults.abort();
    let _ = faults.await;
    let callers = mix.finish(SETTLE_TIME).await;
    let changes = changes.lock().expect("changes lock").clone();
    let report = report::judge(site, &fleet, &callers).with_changes(&changes);
    fleet.stop().await;
    Ok(report)
}
