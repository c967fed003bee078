//! What a run of the soak has seen.

use std::fmt;

use berylvalve_core::clock::Time;
use serde::Serialize;

use super::{
    fault::Fault,
    place::{Place, Size},
    views::View,
};

/// What callers saw in one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Second {
    /// Requests that were answered.
    pub served: u64,
    /// Attempts that ended with a reset.
    pub refused: u64,
    /// Requests that were given up.
    pub given_up: u64,
    /// Broken promises.
    pub broken: u64,
}

/// A broken promise.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// What was seen.
    pub what: String,
    /// Balancers that took the flow's segments since its own server got one; empty unless segments strayed.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub takers: Vec<Taker>,
}

/// A balancer that took segments of a flow which reached other servers.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Taker {
    /// The balancer.
    pub place: Place,
    /// Time since its process was started, in milliseconds.
    pub up_ms: u64,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms: {}", self.at_ms, self.what)?;
        for taker in &self.takers {
            write!(f, ", taken by {} up {} ms", taker.place, taker.up_ms)?;
        }
        Ok(())
    }
}

/// A fault that took place.
#[derive(Clone, Debug, Serialize)]
pub struct Struck {
    /// When, in milliseconds from the start.
    pub at_ms: u64,
    /// What it was.
    pub fault: Fault,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Processes and callers.
    pub size: Size,
    /// Requests that callers wanted answered.
    pub requests: u64,
    /// Flows that opened.
    pub flows: u64,
    /// Requests that began in the last seconds without faults.
    pub settled: u64,
    /// How many of these were answered.
    pub settled_served: u64,
    /// What callers saw, second by second.
    pub seconds: Vec<Second>,
    /// Faults in the order of time.
    pub faults: Vec<Struck>,
    /// Broken promises in the order of time.
    pub broken: Vec<Broken>,
    /// What restarted balancers knew when they reported ready, in the order of balancers.
    pub views: Vec<View>,
}

impl Report {
    /// Returns the report of a run that begins.
    pub fn new(seed: u64, size: Size) -> Self {
        Self {
            seed,
            size,
            requests: 0,
            flows: 0,
            settled: 0,
            settled_served: 0,
            seconds: Vec::new(),
            faults: Vec::new(),
            broken: Vec::new(),
            views: Vec::new(),
        }
    }

    /// Returns the counts of the second of a point in time.
    pub fn second(&mut self, now: Time) -> &mut Second {
        let index = (now.as_millis() / 1000) as usize;
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }

    /// Notes a broken promise.
    pub fn broke(&mut self, now: Time, what: String, takers: Vec<Taker>) {
        self.second(now).broken += 1;
        self.broken.push(Broken {
            at_ms: now.as_millis(),
            what,
            takers,
        });
    }

    /// Returns a sum over all seconds.
    pub fn sum(&self, count: fn(&Second) -> u64) -> u64 {
        self.seconds.iter().map(count).sum()
    }

    /// Returns the result in one line.
    pub fn line(&self) -> String {
        format!(
            "seed {}: {} s, {} requests, {} served, {} refused, {} given up, {} faults, {} broken",
            self.seed,
            self.seconds.len(),
            self.requests,
            self.sum(|second| second.served),
            self.sum(|second| second.refused),
            self.sum(|second| second.given_up),
            self.faults.len(),
            self.broken.len(),
        )
    }

    /// Returns how many agents restarted balancers knew when they reported ready, or `None` if none was
    /// restarted.
    pub fn view_line(&self) -> Option<String> {
        let mut counts: Vec<usize> = self.views.iter().map(|view| view.agents).collect();
        counts.sort_unstable();
        let (least, most) = (counts.first()?, counts.last()?);
        Some(format!(
            "{} starts of balancers: ready with {least} to {most} of {} agents, median {}",
            counts.len(),
            self.size.agents,
            counts[counts.len() / 2],
        ))
    }
}
