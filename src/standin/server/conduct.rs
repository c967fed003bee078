//! How a stand-in for a backend server misbehaves, and what it wrote down about it.

use std::{
    collections::VecDeque,
    sync::{
        Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Factor of the time that a request takes while the server is cold.
const COLD_FACTOR: u32 = 4;

/// How a backend server misbehaves from its start.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conduct {
    /// Time after the start in which requests take four times as long, in milliseconds.
    pub cold_ms: u64,
    /// Age of the load that is reported, in milliseconds.
    pub lag_ms: u64,
    /// Whether it reports that it is idle and healthy, whatever is true.
    pub lies: bool,
}

/// What happened to a request besides running to its end.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// Its connection closed while it ran.
    Cancelled,
    /// It could not end before its deadline and did not run.
    Late,
    /// There was no free slot, or the server drains; it did not run.
    Shed,
}

/// The state of a server's conduct.
#[derive(Debug)]
pub struct State {
    conduct: Conduct,
    draining: AtomicBool,
    loads: Mutex<VecDeque<(Instant, u32)>>,
    notes: Mutex<Vec<(String, Note)>>,
    slow: AtomicU32,
    started: Instant,
}

impl State {
    /// Returns the state of a server that starts now.
    pub fn new(conduct: Conduct) -> Self {
        Self {
            conduct,
            draining: AtomicBool::new(false),
            loads: Mutex::default(),
            notes: Mutex::default(),
            slow: AtomicU32::new(1),
            started: Instant::now(),
        }
    }

    /// Sheds all requests from now.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Returns whether all requests are shed.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Makes requests take `factor` times as long from now.
    pub fn slow_down(&self, factor: u32) {
        self.slow.store(factor, Ordering::Relaxed);
    }

    /// Returns the time that a request takes now.
    pub fn work(&self, usual: Duration) -> Duration {
        let cold = self.started.elapsed() < Duration::from_millis(self.conduct.cold_ms);
        let factor = if cold { COLD_FACTOR } else { 1 };
        usual * factor * self.slow.load(Ordering::Relaxed)
    }

    /// Writes down what happened to a request.
    pub fn note(&self, id: &str, note: Note) {
        let mut notes = self.notes.lock().expect("notes lock");
        notes.push((id.to_owned(), note));
    }

    /// Returns what was written down.
    pub fn notes(&self) -> Vec<(String, Note)> {
        self.notes.lock().expect("notes lock").clone()
    }

    /// Takes the number of slots in use.
    pub fn observe(&self, used: u32) {
        let mut loads = self.loads.lock().expect("loads lock");
        let now = Instant::now();
        loads.push_back((now, used));
        let lag = Duration::from_millis(self.conduct.lag_ms);
        while loads.len() > 1 && now - loads[1].0 >= lag {
            loads.pop_front();
        }
    }

    /// Returns the number of slots in use as the server reports it.
    pub fn reported_load(&self) -> u32 {
        let loads = self.loads.lock().expect("loads lock");
        let lag = Duration::from_millis(self.conduct.lag_ms);
        let old = loads.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        match old {
            Some((_, used)) if !self.conduct.lies => *used,
            _ => 0,
        }
    }

    /// Returns whether the server reports that it is healthy.
    pub fn reported_health(&self) -> bool {
        self.conduct.lies || !self.draining()
    }
}
