//! What restarted balancers knew when they reported ready, as their logs tell.

use std::{collections::BTreeSet, path::Path};

use serde::Serialize;

use super::place::{Place, Size};

/// What a restarted balancer knew when it reported ready.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct View {
    /// The balancer.
    pub place: Place,
    /// Agents that it had heard of, those that left included.
    pub agents: usize,
}

/// Reads the views of all restarted balancers from the logs of a run.
pub fn read(folder: &Path, size: Size) -> Vec<View> {
    let mut views = Vec::new();
    for place in (0..size.balancers).map(Place::Balancer) {
        // A log that can't be read shows no restart.
        let log = std::fs::read(place.log(folder)).unwrap_or_default();
        let counts = counts_at_ready(&String::from_utf8_lossy(&log));
        views.extend(counts.into_iter().map(|agents| View { place, agents }));
    }
    views
}

/// Returns how many agents a process knew each time when it reported ready after its first start.
pub fn counts_at_ready(log: &str) -> Vec<usize> {
    let mut counts = Vec::new();
    let mut starts = 0;
    let mut agents = BTreeSet::new();
    for line in log.lines() {
        let words = || line.split_ascii_whitespace();
        let Some(event) = words().find_map(|word| word.strip_prefix("event=")) else {
            continue;
        };
        match event {
            "started" => {
                starts += 1;
                agents.clear();
            }
            "member" if words().any(|word| word == "role=Agent") => {
                agents.extend(words().find(|word| word.starts_with("address=")));
            }
            "reported_ready" if starts > 1 => counts.push(agents.len()),
            _ => {}
        }
    }
    counts
}
