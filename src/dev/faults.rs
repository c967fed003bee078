//! What a development run does to the fleet while requests are under way.

use std::{str::FromStr, sync::Arc, time::Duration};

use super::{DevError, fleet::Fleet};

/// Interval between two health checks of the fabric.
const HEALTH_INTERVAL: Duration = Duration::from_millis(500);

const PAUSE: Duration = Duration::from_millis(300);

/// A kind of disturbance.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Faults {
    /// Nothing is disturbed.
    #[default]
    None,
    /// Every balancer and every backend server is drained and replaced in turn.
    Rolling,
}

impl FromStr for Faults {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "none" => Ok(Faults::None),
            "rolling" => Ok(Faults::Rolling),
            _ => Err(format!(
                "no faults named {text}; there are none and rolling"
            )),
        }
    }
}

/// Applies the disturbance until it is aborted.
pub async fn apply(fleet: Arc<Fleet>, faults: Faults) {
    if faults == Faults::None {
        return;
    }
    if let Err(error) = roll(&fleet).await {
        tracing::error!(event = "rolling_failed", %error);
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

async fn replace_place(fleet: &Arc<Fleet>, index: usize) -> Result<(), DevError> {
    let old = fleet.places.lock().expect("places lock")[index].clone();
    let new = fleet.start_place(old.group, old.index).await?;
    fleet.places.lock().expect("places lock")[index] = new;
    tokio::spawn(async move { old.agent.shut_down().await });
    Ok(())
}
