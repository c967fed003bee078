//! State of an agent's backend server, derived from the server's status reports.

use std::{net::SocketAddrV4, time::Duration};

use snafu::Snafu;

use super::routes::ServiceKey;
use crate::clock::Time;

/// Number of report intervals without a report or a segment after which the backend server counts
/// as silent.
const MAX_MISSED_REPORTS: u32 = 3;

/// Time by which a server's clock may be ahead of the agent's. A start that lies further in the future is
/// not later than another one for that.
const MAX_CLOCK_LEAD_MS: u64 = 60_000;

/// Whether a backend server takes new flows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes new flows.
    Ready,
    /// It finishes its open flows and then leaves.
    Draining,
}

/// A status report of a backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerReport {
    /// Id of the server instance. An instance that reuses an id is told apart by `started_ms`.
    pub id: String,
    /// Service that the server provides.
    pub service: ServiceKey,
    /// Address at which the server receives segments.
    pub address: SocketAddrV4,
    /// Start of the instance by the server's clock, in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number among the reports of the instance.
    pub sequence: u64,
    /// Whether the server takes new flows.
    pub state: ServerState,
    /// Number of requests that the server processes at once.
    pub slots: u16,
    /// Time left until the server is warm; zero if it is warm or the report does not say.
    pub warmup_left: Duration,
}

/// Why an update of the backend server is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Snafu)]
pub enum ServerUpdateError {
    /// The report has another address than the agent's backend server.
    #[snafu(display("the report has another address than this agent's backend server"))]
    OtherAddress,
    /// The report names another service than that of the agent.
    #[snafu(display("the report names another service than that of this agent"))]
    OtherService,
    /// A report of a later instance, or a later report of the same instance, was already applied,
    /// or the instance has left. If the instance is the one that runs, its next reports are applied.
    #[snafu(display("a later report was already applied, or the server instance has left"))]
    Stale,
    /// The instance is not the one that reported last, or the agent has stopped.
    #[snafu(display(
        "the server instance is not the one that reported last, or the agent has stopped"
    ))]
    Unknown,
}

/// Change that a report made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerChange {
    /// A new instance reports, or this is the first report that is applied.
    NewInstance {
        /// Whether no agent has acknowledged an earlier report of the instance, so that it holds no
        /// flow that this agent has not seen.
        is_first_report: bool,
    },
    /// The state changed.
    State,
    /// Neither the instance nor its state has changed.
    Unchanged,
}

/// Identifies a start of the server.
#[derive(Clone, Debug)]
struct InstanceKey {
    id: String,
    started_ms: u64,
}

impl InstanceKey {
    fn of(report: &ServerReport) -> Self {
        Self {
            id: report.id.clone(),
            started_ms: report.started_ms,
        }
    }

    fn is_of(&self, report: &ServerReport) -> bool {
        self.id == report.id && self.started_ms == report.started_ms
    }
}

/// The instance of the server that reported last.
#[derive(Clone, Debug)]
struct ServerInstance {
    key: InstanceKey,
    sequence: u64,
    state: ServerState,
    /// When the instance counts as silent, unless a report or a segment arrives before.
    silent_at: Time,
    left: bool,
}

/// An instance whose reports seem to be late ones.
#[derive(Clone, Debug)]
struct Contender {
    key: InstanceKey,
    sequence: u64,
    /// When the reports are no longer taken for late ones.
    confirmed_at: Time,
}

/// The backend server of an agent, as far as it has reported.
#[derive(Clone, Debug)]
pub struct Server {
    address: SocketAddrV4,
    service: ServiceKey,
    report_interval: Duration,
    instance: Option<ServerInstance>,
    /// The instance that has reported since the last report of `instance`.
    contender: Option<Contender>,
    /// The last instance that a contender has replaced although its report seemed to be later, and the
    /// number of that report.
    displaced: Option<(InstanceKey, u64)>,
}

impl Server {
    /// Returns a server that has not reported yet and is expected to report every `interval`.
    pub fn new(address: SocketAddrV4, service: ServiceKey, interval: Duration) -> Self {
        Self {
            address,
            service,
            report_interval: interval,
            instance: None,
            contender: None,
            displaced: None,
        }
    }

    /// Returns the service that reports must name.
    pub fn service(&self) -> ServiceKey {
        self.service
    }

    /// Applies a report that is received at `unix_ms` by the VM's clock, in milliseconds since the Unix
    /// epoch.
    ///
    /// Instances are ordered by the server's clock and the reports of one by their numbers. Both may
    /// mislead: the clock is set back, or another writer has sent a report of a later time or number. So
    /// any other instance replaces the current one once that is silent or has left, or once the other one
    /// has reported for longer than an interval in which the current one has not.
    ///
    /// # Errors
    /// Fails if the report is not about this agent's server, is older than one already applied, or
    /// is of an instance that has left.
    pub fn apply_report(
        &mut self,
        report: &ServerReport,
        unix_ms: u64,
        now: Time,
    ) -> Result<ServerChange, ServerUpdateError> {
        if report.service != self.service {
            return Err(ServerUpdateError::OtherService);
        }
        if report.address != self.address {
            return Err(ServerUpdateError::OtherAddress);
        }
        let silent_at = now + self.report_interval * MAX_MISSED_REPORTS;
        let Some(instance) = &self.instance else {
            self.instance = Some(ServerInstance::from_report(report, silent_at));
            return Ok(ServerChange::NewInstance {
                is_first_report: is_first_report(report, unix_ms),
            });
        };
        let is_same = instance.key.is_of(report);
        let displaced = self.displaced.as_ref();
        let was_displaced = displaced.is_some_and(|(key, sequence)| {
            key.is_of(report) && (!is_same || report.sequence >= *sequence)
        });
        let is_later = match is_same {
            true => report.sequence > instance.sequence,
            false => {
                let latest_ms = unix_ms.saturating_add(MAX_CLOCK_LEAD_MS);
                report.started_ms > instance.key.started_ms && report.started_ms <= latest_ms
            }
        };
        let is_over = !is_same && (instance.left || now >= instance.silent_at);
        let follows = is_over || is_later && !was_displaced;
        let is_repeated = is_same && (instance.left || report.sequence == instance.sequence);
        let is_changed = instance.state != report.state;
        if is_repeated || !follows && !self.confirm_contender(report, now) {
            return Err(ServerUpdateError::Stale);
        }
        self.contender = None;
        let next = ServerInstance::from_report(report, silent_at);
        let previous = self.instance.replace(next);
        if !follows {
            self.displaced = previous.map(|previous| (previous.key, previous.sequence));
        }
        if is_same {
            return Ok(match is_changed {
                true => ServerChange::State,
                false => ServerChange::Unchanged,
            });
        }
        // A contender has got flows before it replaced the other instance.
        let is_first_report = follows && is_first_report(report, unix_ms);
        Ok(ServerChange::NewInstance { is_first_report })
    }

    /// Records a report that seems to be late. Returns whether its instance is the one that runs: its
    /// reports have gone on for longer than an interval, without one of the current instance.
    fn confirm_contender(&mut self, report: &ServerReport, now: Time) -> bool {
        let contender = self.contender.as_mut();
        let Some(contender) = contender.filter(|contender| contender.key.is_of(report)) else {
            self.contender = Some(Contender {
                key: InstanceKey::of(report),
                sequence: report.sequence,
                confirmed_at: now + self.report_interval * 3 / 2,
            });
            return false;
        };
        if report.sequence <= contender.sequence {
            return false;
        }
        contender.sequence = report.sequence;
        now >= contender.confirmed_at
    }

    /// Records that an instance of the server leaves.
    ///
    /// # Errors
    ///
    /// Fails if the instance is not the one that reported last.
    pub fn record_leave(&mut self, id: &str) -> Result<(), ServerUpdateError> {
        let instance = self
            .instance
            .as_mut()
            .filter(|instance| instance.key.id == id);
        let instance = instance.ok_or(ServerUpdateError::Unknown)?;
        instance.left = true;
        Ok(())
    }

    /// Restarts the silence timeout when a segment arrives from the server.
    pub fn record_activity(&mut self, now: Time) {
        let silent_at = now + self.report_interval * MAX_MISSED_REPORTS;
        if let Some(instance) = &mut self.instance {
            instance.silent_at = silent_at;
        }
    }

    /// Returns the state of the server, or `None` if it has not reported, is silent or has left.
    pub fn state(&self, now: Time) -> Option<ServerState> {
        let instance = self.instance.as_ref()?;
        (!instance.left && now < instance.silent_at).then_some(instance.state)
    }

    /// Returns whether the instance that reported last has left.
    pub fn has_left(&self) -> bool {
        self.instance.as_ref().is_some_and(|instance| instance.left)
    }

    /// Returns the id of the instance that reported last, or `None` if none has.
    pub fn id(&self) -> Option<&str> {
        self.instance
            .as_ref()
            .map(|instance| instance.key.id.as_str())
    }
}

impl ServerInstance {
    fn from_report(report: &ServerReport, silent_at: Time) -> Self {
        Self {
            key: InstanceKey::of(report),
            sequence: report.sequence,
            state: report.state,
            silent_at,
            left: false,
        }
    }
}

/// Lowest sequence number. A server may start at 1 instead; its first report is known by its age then.
const FIRST_SEQUENCE: u64 = 0;

/// Age of an instance below which no earlier report of it was acknowledged. A server whose report was
/// acknowledged sends the next one after its interval, and one whose report is not answered after a
/// second. Only a report that found no process at its address is followed by another one at once, as
/// after a loss of power, where the server starts before its agent.
const UNACKNOWLEDGED_AGE_MS: u64 = 300;

/// Returns whether no agent has acknowledged an earlier report of the instance.
fn is_first_report(report: &ServerReport, unix_ms: u64) -> bool {
    // `None` if a clock was set back.
    let age_ms = unix_ms.checked_sub(report.started_ms);
    report.sequence == FIRST_SEQUENCE || age_ms.is_some_and(|age| age < UNACKNOWLEDGED_AGE_MS)
}
