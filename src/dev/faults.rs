//! What a development run does to the fleet while requests are under way.

use std::{
    str::FromStr,
    sync::{Arc, Mutex},
    time::Duration,
};

use super::{
    DevError,
    change::{Changes, change_settings},
    fleet::{Fleet, HEALTH_INTERVAL, is_ready},
};
use crate::daemon::Daemon;

/// Interval between two looks at a balancer that starts.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Interval between two addresses that the fabric loses track of.
const FORGET_INTERVAL: Duration = Duration::from_secs(1);

const PAUSE: Duration = Duration::from_millis(300);

/// A kind of disturbance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Faults {
    /// Nothing is disturbed.
    #[default]
    None,
    /// The fabric loses track of one caller's address after the other.
    Forgetting,
    /// The store is down while every balancer and every backend server is replaced in turn.
    Outage,
    /// Every balancer and every backend server is drained and replaced in turn, while a setting
    /// changes.
    Rolling,
}

/// All disturbances by name.
const NAMES: [(&str, Faults); 4] = [
    ("forgetting", Faults::Forgetting),
    ("none", Faults::None),
    ("outage", Faults::Outage),
    ("rolling", Faults::Rolling),
];

impl FromStr for Faults {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = NAMES.iter().find(|(name, _)| *name == text);
        found.map(|(_, faults)| *faults).ok_or_else(|| {
            let names = NAMES.map(|(name, _)| name).join(", ");
            format!("no faults named {text}; there are {names}")
        })
    }
}

/// Applies the disturbance until it is aborted.
pub async fn apply(fleet: Arc<Fleet>, faults: Faults, changes: Arc<Mutex<Changes>>) {
    match faults {
        Faults::None => {}
        Faults::Forgetting => forget(&fleet).await,
        Faults::Outage => {
            fleet.kv.fail(|failures| failures.down = true);
            if let Err(error) = roll(&fleet).await {
                tracing::error!(event = "rolling_failed", %error);
            }
        }
        Faults::Rolling => {
            let (rolled, ()) = tokio::join!(roll(&fleet), change_settings(&fleet, &changes));
            if let Err(error) = rolled {
                tracing::error!(event = "rolling_failed", %error);
            }
        }
    }
}

async fn forget(fleet: &Fleet) {
    loop {
        tokio::time::sleep(FORGET_INTERVAL).await;
        if let Some(caller) = fleet.fabric().callers().first() {
            fleet.fabric().forget(*caller);
        }
    }
}

async fn roll(fleet: &Arc<Fleet>) -> Result<(), DevError> {
    loop {
        let balancers = fleet.balancers.lock().expect("balancers lock").len();
        for index in 0..balancers {
            replace_balancer(fleet, index).await?;
            tokio::time::sleep(PAUSE).await;
        }
        let places = fleet.places.lock().expect("places lock").len();
        for index in 0..places {
            replace_place(fleet, index).await?;
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn replace_balancer(fleet: &Arc<Fleet>, index: usize) -> Result<(), DevError> {
    let new = fleet.start_balancer(index).await?;
    wait_ready(&new).await;
    let old = {
        let mut balancers = fleet.balancers.lock().expect("balancers lock");
        std::mem::replace(&mut balancers[index], new)
    };
    tokio::spawn(async move { old.shut_down().await });
    // The fabric goes on sending until its next health check.
    tokio::time::sleep(HEALTH_INTERVAL).await;
    fleet.publish_balancers();
    Ok(())
}

/// Waits until a balancer answers the fabric's health check.
async fn wait_ready(balancer: &Daemon) {
    while !is_ready(balancer) {
        tokio::time::sleep(READY_INTERVAL).await;
    }
}

async fn replace_place(fleet: &Arc<Fleet>, index: usize) -> Result<(), DevError> {
    let old = fleet.places.lock().expect("places lock")[index].clone();
    let new = fleet.start_place(old.group, old.index).await?;
    fleet.places.lock().expect("places lock")[index] = new;
    tokio::spawn(async move { old.agent.shut_down().await });
    Ok(())
}
