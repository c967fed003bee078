//! Changes a setting again and again and watches it come in force in every process.

use std::{
    collections::HashMap,
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;
use tokio::time::{Instant, sleep};

use super::fleet::Fleet;
use crate::{
    daemon::Daemon,
    settings::{ActiveSettings, change::Change, edit::Outcome},
};

/// Time in which a change must be in force everywhere.
const CHANGE_LIMIT: Duration = Duration::from_secs(3);

const CHANGE_INTERVAL: Duration = Duration::from_millis(500);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const AUTHOR: &str = "dev";

/// What became of the changes.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Changes that came in force everywhere.
    pub done: u64,
    /// Changes that did not come in force everywhere in time, or were not accepted.
    pub late: u64,
    /// Processes that went back to an older revision.
    pub reverted: u64,
    /// Longest time from acceptance to in force everywhere.
    pub slowest: Duration,
    last: HashMap<SocketAddrV4, u64>,
}

impl Changes {
    /// Notes the revision of each process; returns the lowest one.
    fn observe(&mut self, daemons: &[Arc<Daemon>]) -> u64 {
        let mut lowest = u64::MAX;
        for daemon in daemons {
            let revision = revision(daemon);
            let last = self.last.insert(daemon.data, revision);
            self.reverted += u64::from(last.is_some_and(|last| revision < last));
            lowest = lowest.min(revision);
        }
        lowest
    }
}

/// Changes a service's timeout until it is cancelled.
pub async fn change_settings(fleet: &Arc<Fleet>, changes: &Mutex<Changes>) {
    let Some((service, path)) = target(fleet) else {
        return;
    };
    let plans = fleet.tree.request_types(&service);
    let first = plans.first().map_or(0, |plan| plan.timeout.as_millis());
    for round in 1.. {
        let change = Change::Set {
            path: path.clone(),
            value: json!(first as u64 + round),
        };
        let (_, outcome) = fleet.operator(AUTHOR).apply(change, None).await;
        let Outcome::Accepted { revision, .. } = outcome else {
            tracing::error!(event = "settings_not_changed", ?outcome);
            changes.lock().expect("changes lock").late += 1;
            sleep(CHANGE_INTERVAL).await;
            continue;
        };
        watch(fleet, changes, revision).await;
        sleep(CHANGE_INTERVAL).await;
    }
}

fn target(fleet: &Fleet) -> Option<(String, String)> {
    let service = fleet.tree.services.keys().next()?;
    let path = format!("services.{service}.policy.timeout_ms");
    Some((service.clone(), path))
}

async fn watch(fleet: &Arc<Fleet>, changes: &Mutex<Changes>, revision: u64) {
    let accepted = Instant::now();
    loop {
        let lowest = {
            let mut changes = changes.lock().expect("changes lock");
            changes.observe(&fleet.daemons())
        };
        let mut changes = changes.lock().expect("changes lock");
        if lowest >= revision {
            changes.done += 1;
            changes.slowest = changes.slowest.max(accepted.elapsed());
            return;
        }
        if accepted.elapsed() > CHANGE_LIMIT {
            changes.late += 1;
            return;
        }
        drop(changes);
        sleep(POLL_INTERVAL).await;
    }
}

fn revision(daemon: &Daemon) -> u64 {
    let in_force = daemon.kernel.find::<ActiveSettings>(ActiveSettings::NAME);
    in_force.map_or(0, |in_force| in_force.current().revision)
}
