//! Processes of the system: started, signalled and waited for.

use std::{io, process::ExitStatus, time::Duration};

use rustix::process::Signal;
use serde_json::to_vec_pretty;
use snafu::ResultExt;
use tokio::time::{Instant, timeout_at};

use super::{Due, Ending, Input, Node, Place, World, servers};
use crate::soak::{
    FileSnafu, ProgramSnafu, SoakError, SocketSnafu,
    process::{self, Launch},
    proxy::Proxy,
};

/// Time in which a process ends after SIGTERM: `grace_s` of the platform's bounds.
const GRACE: Duration = Duration::from_secs(6);

/// Time in which the system loads a program that then handles signals, on a busy machine.
const LOAD_TIME: Duration = Duration::from_millis(100);

/// Time from the start of a process to its next stop in a series, in milliseconds: from the time in which it
/// handles signals to that in which an agent joins the membership.
const SERIES_LIFE_MS: std::ops::Range<u64> = 100..700;

/// Time until a process that has ended is started again, in milliseconds.
const RESTART_MS: std::ops::Range<u64> = 100..700;

/// The same for a process that is stopped several times in a row.
const SERIES_RESTART_MS: std::ops::Range<u64> = 500..2_000;

impl World {
    pub(super) async fn start_processes(&mut self) -> Result<(), SoakError> {
        let size = self.options.size;
        let balancers = (0..size.balancers).map(Place::Balancer);
        for place in balancers.chain((0..size.agents).map(Place::Agent)) {
            let link = self.layout.store_link(place);
            let link = Proxy::start(link, self.store.address()).await;
            let node = Node {
                id: None,
                life: 0,
                started: self.now,
                ending: None,
                paused: false,
                stops_left: 0,
                disturbed: self.now,
                link: link.context(SocketSnafu)?,
            };
            self.nodes.insert(place, node);
            self.write_settings(place)?;
            self.empty_log(place)?;
            let program = self.options.program.clone();
            self.start_process(place)
                .context(ProgramSnafu { program })?;
            if let Place::Balancer(index) = place {
                self.watch_readiness(index);
            }
        }
        Ok(())
    }

    fn write_settings(&self, place: Place) -> Result<(), SoakError> {
        let service = match place {
            Place::Balancer(_) => None,
            Place::Agent(index) => Some(servers::service_name(self.is_desk(index))),
        };
        let machine = self.layout.machine(place, service, &self.seeds);
        let settings = machine.settings(&self.layout.ports);
        let path = self.options.folder.join(format!("{place}.json"));
        let text = to_vec_pretty(&settings).expect("settings encode");
        std::fs::write(&path, text).context(FileSnafu { path })
    }

    /// Empties the log of an earlier run in the same folder.
    fn empty_log(&self, place: Place) -> Result<(), SoakError> {
        let path = place.log(&self.options.folder);
        std::fs::write(&path, "").context(FileSnafu { path })
    }

    fn start_process(&mut self, place: Place) -> io::Result<()> {
        let folder = &self.options.folder;
        let launch = Launch {
            program: &self.options.program,
            role: place.role(),
            settings: &folder.join(format!("{place}.json")),
            log: &place.log(folder),
        };
        let mut child = process::start(&launch)?;
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&place) else {
            return Ok(());
        };
        node.started = now;
        node.id = child.id();
        node.life += 1;
        node.ending = None;
        node.paused = false;
        let (life, input) = (node.life, self.input.clone());
        tokio::spawn(async move {
            let status = child.wait().await;
            // The run may have ended.
            let _ = input.send(Input::Exited(place, life, status)).await;
        });
        Ok(())
    }

    pub(super) fn start_again(&mut self, place: Place) {
        if let Err(error) = self.start_process(place) {
            self.broke(format!("{place} could not be started: {error}"));
        }
        let node = self.nodes.get(&place).filter(|node| node.stops_left > 0);
        if let Some(life) = node.map(|node| node.life) {
            let lasts = self.random_ms(SERIES_LIFE_MS);
            self.after(lasts, Due::StopAgain(place, life));
        }
    }

    /// Stops a process as planned several times in a row.
    pub(super) fn stop_in_series(&mut self, place: Place, stops: u32) -> bool {
        let is_stopped = self.stop(place);
        if let Some(node) = self.nodes.get_mut(&place).filter(|_| is_stopped) {
            node.stops_left = stops.saturating_sub(1);
        }
        is_stopped
    }

    pub(super) fn stop_again(&mut self, place: Place, life: u64) {
        let Some(node) = self.nodes.get_mut(&place).filter(|n| n.life == life) else {
            return;
        };
        node.stops_left = node.stops_left.saturating_sub(1);
        self.stop(place);
    }

    /// Takes note of the end of a process, judges how it ended, and plans its next start.
    pub(super) fn exited(&mut self, place: Place, life: u64, status: io::Result<ExitStatus>) {
        let Some(node) = self.nodes.get_mut(&place).filter(|n| n.life == life) else {
            return;
        };
        node.id = None;
        let (ending, now) = (node.ending, self.now);
        let status = match status {
            Ok(status) => status,
            Err(error) => {
                self.broke(format!("{place} could not be waited for: {error}"));
                return;
            }
        };
        let sound = match ending {
            Some(Ending::Killed) => true,
            Some(Ending::Stopped) => status.success(),
            None => false,
        };
        if !sound {
            self.broke(format!("{place} ended with {status}"));
        }
        let is_in_series = self.nodes.get(&place).is_some_and(|n| n.stops_left > 0);
        let pause = self.random_ms(match is_in_series {
            true => SERIES_RESTART_MS,
            false => RESTART_MS,
        });
        if ending != Some(Ending::Stopped)
            && let Some(node) = self.nodes.get_mut(&place)
        {
            node.disturbed = now + pause;
        }
        self.after(pause, Due::Start(place));
    }

    fn send_signal(&mut self, place: Place, signal: Signal) -> bool {
        let Some(id) = self.nodes.get(&place).and_then(|node| node.id) else {
            return false;
        };
        if let Err(error) = process::signal(id, signal) {
            // It has ended, and the run has not heard of it yet.
            tracing::debug!(event = "signal_failed", %place, %error);
            return false;
        }
        true
    }

    /// Stops a process as planned; a second signal must change nothing.
    pub(super) fn stop(&mut self, place: Place) -> bool {
        let now = self.now;
        let running = |node: &Node| {
            let young = now.since(node.started) < LOAD_TIME;
            node.ending.is_none() && !node.paused && !young
        };
        if !self.nodes.get(&place).is_some_and(running) || !self.send_signal(place, Signal::TERM) {
            return false;
        }
        self.send_signal(place, Signal::TERM);
        let Some(node) = self.nodes.get_mut(&place) else {
            return false;
        };
        node.ending = Some(Ending::Stopped);
        let life = node.life;
        self.after(GRACE, Due::Overdue(place, life));
        true
    }

    /// Kills a process that did not stop in time, which is a broken promise if nobody paused it.
    pub(super) fn overdue(&mut self, place: Place, life: u64) {
        let Some(node) = self.nodes.get(&place) else {
            return;
        };
        if node.life != life || node.id.is_none() || node.ending != Some(Ending::Stopped) {
            return;
        }
        if self.now.since(node.disturbed) >= GRACE {
            self.broke(format!("{place} did not stop in time"));
        }
        self.kill(place);
    }

    pub(super) fn kill(&mut self, place: Place) -> bool {
        if !self.send_signal(place, Signal::KILL) {
            return false;
        }
        let now = self.now;
        if let Some(node) = self.nodes.get_mut(&place) {
            node.ending = Some(Ending::Killed);
            node.disturbed = now;
        }
        true
    }

    pub(super) fn pause_process(&mut self, place: Place, time: Duration) -> bool {
        let free = |node: &Node| !node.paused && node.ending.is_none();
        if !self.nodes.get(&place).is_some_and(free) || !self.send_signal(place, Signal::STOP) {
            return false;
        }
        let until = self.now + time;
        let Some(node) = self.nodes.get_mut(&place) else {
            return false;
        };
        node.paused = true;
        node.disturbed = until;
        let life = node.life;
        self.after(time, Due::Resume(place, life));
        true
    }

    pub(super) fn resume(&mut self, place: Place, life: u64) {
        let Some(node) = self.nodes.get_mut(&place).filter(|n| n.life == life) else {
            return;
        };
        node.paused = false;
        node.disturbed = self.now;
        self.send_signal(place, Signal::CONT);
    }

    pub(super) fn reload(&mut self, place: Place) -> bool {
        let now = self.now;
        let loads = |node: &Node| now.since(node.started) < LOAD_TIME;
        if self.nodes.get(&place).is_none_or(loads) {
            return false;
        }
        self.send_signal(place, Signal::HUP)
    }

    /// Stops all processes; each has its time of grace.
    pub(super) async fn stop_all(&mut self) {
        let places = self.places();
        for place in &places {
            self.send_signal(*place, Signal::CONT);
            self.send_signal(*place, Signal::TERM);
            if let Some(node) = self.nodes.get_mut(place) {
                node.ending.get_or_insert(Ending::Stopped);
            }
        }
        let end = Instant::now() + GRACE;
        while self.nodes.values().any(|node| node.id.is_some()) {
            let Ok(Some(input)) = timeout_at(end, self.inbox.recv()).await else {
                break;
            };
            self.now = self.clock.now();
            if let Input::Exited(place, life, status) = input {
                self.exited(place, life, status);
            }
        }
        for place in places {
            if self.nodes[&place].id.is_some() {
                self.broke(format!("{place} did not stop in time at the end"));
                self.send_signal(place, Signal::KILL);
            }
        }
    }
}
