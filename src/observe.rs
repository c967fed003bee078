//! Gauges of one process, read at intervals from the services that hold their values.

use std::{sync::Arc, time::Duration};

use prometheus_client::metrics::{family::Family, gauge::Gauge};

use crate::{
    agent::{Agent, pressure::Pressure},
    kernel::{Kernel, KernelError},
    log,
    member::{Directory, MemberState},
    metrics::{Label, Metrics},
};

const INTERVAL: Duration = Duration::from_secs(1);

/// Each state of a member with its name in metrics.
const STATES: [(MemberState, &str); 5] = [
    (MemberState::Ready, "ready"),
    (MemberState::Draining, "draining"),
    (MemberState::Left, "left"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Dead, "dead"),
];

struct Observer {
    agent: Option<Arc<Agent>>,
    connections: Gauge,
    directory: Arc<Directory>,
    lost_lines: Gauge,
    members: Family<Label, Gauge>,
    pressure: Option<Arc<Pressure>>,
    used: Gauge,
}

/// Registers the gauges and keeps them up to date.
///
/// # Errors
///
/// Fails if the metrics or the directory are not published.
pub fn start(kernel: &Kernel) -> Result<(), KernelError> {
    let metrics: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    let observer = Observer {
        agent: kernel.find(Agent::NAME).ok(),
        connections: Gauge::default(),
        directory: kernel.find(Directory::NAME)?,
        lost_lines: Gauge::default(),
        members: Family::default(),
        pressure: kernel.find(Pressure::NAME).ok(),
        used: Gauge::default(),
    };
    observer.register(&metrics);
    kernel.spawn(observer.run());
    Ok(())
}

impl Observer {
    fn register(&self, metrics: &Metrics) {
        metrics.register("members", "Known members", self.members.clone());
        let help = "Lines lost because the reader of the log was too slow";
        metrics.register("log_lines_lost", help, self.lost_lines.clone());
        if self.agent.is_none() {
            return;
        }
        metrics.register("connections", "Open connections", self.connections.clone());
        let help = "Capacity in use and waited for, in thousandths of the slots";
        metrics.register("capacity_used", help, self.used.clone());
    }

    async fn run(self) {
        let mut ticks = tokio::time::interval(INTERVAL);
        loop {
            ticks.tick().await;
            self.observe();
        }
    }

    fn observe(&self) {
        let view = self.directory.view();
        for (state, name) in STATES {
            let count = view.members.values().filter(|r| r.state == state).count();
            let gauge = self.members.get_or_create(&[("state", name)]);
            gauge.set(count as i64);
        }
        self.lost_lines.set(log::dropped_lines() as i64);
        if let Some(agent) = &self.agent {
            self.connections.set(agent.open_connections() as i64);
        }
        if let Some(pressure) = &self.pressure {
            self.used.set(i64::from(pressure.get()));
        }
    }
}
