//! What an agent knows of the backend server beside it, from the server's own reports.

use std::{net::SocketAddrV4, time::Duration};

use snafu::Snafu;

use super::routes::ServiceKey;
use crate::clock::Time;

/// Reports that may be missing before the backend server counts as silent.
const MISSED_REPORTS: u32 = 3;

/// Whether a backend server takes new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes new flows.
    Ready,
    /// It finishes what it holds and leaves.
    Draining,
}

/// A status report of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// Name of this start of the server.
    pub id: String,
    /// Service that it serves.
    pub service: ServiceKey,
    /// Address at which it takes segments.
    pub address: SocketAddrV4,
    /// Wall-clock time of its start, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Counts the reports of this start.
    pub sequence: u64,
    /// Whether it takes new flows.
    pub state: ServerState,
    /// Requests that it works on at once.
    pub slots: u16,
}

/// Why a report or a leave changes nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ReportError {
    /// The server stands on another machine.
    #[snafu(display("the server has another address"))]
    OtherAddress,
    /// The server serves another service.
    #[snafu(display("the server serves another service"))]
    OtherService,
    /// A later start of the server is known, or a later report of this one.
    #[snafu(display("a later report is known"))]
    Stale,
    /// The server has not reported.
    #[snafu(display("no such server has reported"))]
    Unknown,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Change {
    /// The server has started: nothing of an earlier one is left.
    Started {
        /// Whether this is its first report, so that it holds no flow that was not seen.
        first: bool,
    },
    /// The state changed.
    State,
    /// Only the time of the report.
    Nothing,
}

#[derive(Clone, Debug)]
struct Known {
    id: String,
    born_ms: u64,
    sequence: u64,
    state: ServerState,
    silent: Time,
    left: bool,
}

/// The backend server beside an agent.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddrV4,
    service: ServiceKey,
    patience: Duration,
    known: Option<Known>,
}

impl Server {
    /// Returns a server that has not reported; it reports every `interval`.
    pub fn new(address: SocketAddrV4, service: ServiceKey, interval: Duration) -> Self {
        Self {
            address,
            service,
            patience: interval * MISSED_REPORTS,
            known: None,
        }
    }

    /// Returns the service of the server.
    pub fn service(&self) -> ServiceKey {
        self.service
    }

    /// Takes a report.
    ///
    /// Starts are ordered by the server's clock, which may be set back: once the known start is
    /// silent, any other start replaces it.
    ///
    /// # Errors
    ///
    /// Fails if the report is not about the server beside this agent, or if it is late.
    pub fn report(&mut self, report: &ServerReport, now: Time) -> Result<Change, ReportError> {
        if report.service != self.service {
            return Err(ReportError::OtherService);
        }
        if report.address != self.address {
            return Err(ReportError::OtherAddress);
        }
        let silent = now + self.patience;
        let Some(known) = &mut self.known else {
            self.known = Some(Known::start(report, silent));
            return Ok(Change::Started {
                first: is_first(report),
            });
        };
        let same = known.id == report.id && known.born_ms == report.born_ms;
        if !same {
            let replaced = report.born_ms > known.born_ms || known.left || now >= known.silent;
            if !replaced {
                return Err(ReportError::Stale);
            }
            *known = Known::start(report, silent);
            return Ok(Change::Started {
                first: is_first(report),
            });
        }
        if report.sequence <= known.sequence || known.left {
            return Err(ReportError::Stale);
        }
        let changed = known.state != report.state;
        known.sequence = report.sequence;
        known.state = report.state;
        known.silent = silent;
        Ok(match changed {
            true => Change::State,
            false => Change::Nothing,
        })
    }

    /// Takes the news that a start of the server leaves.
    ///
    /// # Errors
    ///
    /// Fails if the start is not the known one.
    pub fn leave(&mut self, id: &str) -> Result<(), ReportError> {
        let known = self.known.as_mut().filter(|known| known.id == id);
        let known = known.ok_or(ReportError::Unknown)?;
        known.left = true;
        Ok(())
    }

    /// Counts a sign of life other than a report.
    pub fn heard(&mut self, now: Time) {
        let patience = self.patience;
        if let Some(known) = &mut self.known {
            known.silent = now + patience;
        }
    }

    /// Returns the state of a server that reports and has not left.
    pub fn state(&self, now: Time) -> Option<ServerState> {
        let known = self.known.as_ref()?;
        (!known.left && now < known.silent).then_some(known.state)
    }

    /// Returns whether the server has left.
    pub fn has_left(&self) -> bool {
        self.known.as_ref().is_some_and(|known| known.left)
    }

    /// Returns the id of the last start that reported.
    pub fn id(&self) -> Option<&str> {
        self.known.as_ref().map(|known| known.id.as_str())
    }
}

impl Known {
    fn start(report: &ServerReport, silent: Time) -> Self {
        Self {
            id: report.id.clone(),
            born_ms: report.born_ms,
            sequence: report.sequence,
            state: report.state,
            silent,
            left: false,
        }
    }
}

/// Sequence numbers up to which a report is the first of its start.
const FIRST_SEQUENCES: u64 = 1;

fn is_first(report: &ServerReport) -> bool {
    report.sequence <= FIRST_SEQUENCES
}
