//! Event loop of an agent: frames of balancers, segments and updates of the backend server,
//! membership changes, and timers.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use super::sockets::{Sockets, receive_pending};
use crate::{
    clock::{Clock, unix_ms},
    consts::MAX_DATAGRAM_BYTES,
    control::ControlServer,
    kernel::{Kernel, KernelError},
    l4::{
        agent::Agent,
        message,
        segment::Codec,
        server::{ServerReport, ServerState, ServerUpdateError},
    },
    member::{Directory, MemberState},
    membership::LocalRecord,
    metrics::Metrics,
    panics::contain,
};

/// Limit of commands that are queued for the event loop.
const MAX_PENDING_COMMANDS: usize = 16;

/// An update that the backend server sends about itself.
#[derive(Clone, Debug)]
pub enum ServerUpdate {
    /// A status report.
    Report(ServerReport),
    /// The instance with this id leaves.
    Leave(String),
}

/// A request to the event loop.
#[derive(Debug)]
enum Command {
    /// Apply an update and send the result.
    Update(ServerUpdate, oneshot::Sender<Result<(), ServerUpdateError>>),
    /// Take no new flows, return those that wait and announce the stop.
    Stop,
}

/// Handle that passes updates of the backend server to its agent, published as
/// [`AgentHandle::NAME`].
#[derive(Clone, Debug)]
pub struct AgentHandle {
    commands: mpsc::Sender<Command>,
}

impl AgentHandle {
    /// Name under which the kernel publishes the handle.
    pub const NAME: &'static str = "agent_handle";

    /// Sends an update to the agent, and waits until it is applied.
    ///
    /// # Errors
    ///
    /// Fails if the agent rejects the update, and with [`ServerUpdateError::Unknown`] if the agent
    /// has stopped.
    pub async fn send(&self, update: ServerUpdate) -> Result<(), ServerUpdateError> {
        let (sender, answer) = oneshot::channel();
        let command = Command::Update(update, sender);
        if self.commands.send(command).await.is_err() {
            return Err(ServerUpdateError::Unknown);
        }
        answer.await.unwrap_or(Err(ServerUpdateError::Unknown))
    }

    /// Makes the agent return the flows that wait to their balancers, refuse new ones, and announce its last
    /// state.
    pub async fn stop(&self) {
        // Without a receiver, the event loop has ended and admits nothing.
        let _ = self.commands.send(Command::Stop).await;
    }
}

/// Starts the event loop of an agent.
///
/// # Errors
///
/// Fails if a kernel component that the loop needs is not published.
pub fn start<C: Codec>(
    kernel: &Kernel,
    agent: Agent<C>,
    sockets: Sockets,
) -> Result<AgentHandle, KernelError> {
    let (sender, commands) = mpsc::channel(MAX_PENDING_COMMANDS);
    let handle = AgentHandle { commands: sender };
    kernel.publish(AgentHandle::NAME, Arc::new(handle.clone()));
    let clock = kernel.clock();
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let event_loop = AgentLoop {
        agent,
        clock,
        control,
        directory: kernel.find(Directory::NAME)?,
        local: kernel.find(LocalRecord::NAME)?,
        sockets,
        announced: (None, MemberState::Draining),
    };
    let metrics_registry: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    event_loop.agent.metrics().register(&metrics_registry);
    kernel.spawn(event_loop.run(commands));
    Ok(handle)
}

struct AgentLoop<C> {
    agent: Agent<C>,
    clock: Clock,
    control: Arc<ControlServer>,
    directory: Arc<Directory>,
    local: Arc<LocalRecord>,
    sockets: Sockets,
    /// States of the backend server, or `None` without one, and of the agent at the last announcement.
    announced: (Option<ServerState>, MemberState),
}

impl<C: Codec> AgentLoop<C> {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut buffer = Box::new([0; MAX_DATAGRAM_BYTES]);
        let mut view_changes = self.directory.changes();
        loop {
            let due = self.clock.instant(self.agent.due());
            tokio::select! {
                biased;
                Ok(()) = self.sockets.segments.readable() => self.read_server(&mut buffer),
                Ok(()) = self.sockets.peers.readable() => self.read_peers(&mut buffer),
                Some(command) = commands.recv() => self.handle_command(command),
                () = tokio::time::sleep_until(due) => {}
                Ok(()) = view_changes.changed() => {
                    let view = self.directory.view();
                    contain("view", || self.agent.apply_view(&view));
                }
                else => return,
            }
            let now = self.clock.now();
            if now >= self.agent.due() {
                contain("tick", || self.agent.tick(now, &mut &self.sockets));
                self.announce_state();
            }
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = self.clock.now();
        match command {
            Command::Update(update, answer) => {
                let result = contain("server update", || self.apply_update(update));
                // The sender of the update may have gone away.
                let _ = answer.send(result.unwrap_or(Err(ServerUpdateError::Unknown)));
            }
            Command::Stop => {
                contain("stop", || {
                    self.agent.stop_admission(now, &mut &self.sockets)
                });
                self.announce_state();
            }
        }
    }

    fn read_peers(&mut self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let agent = &mut self.agent;
        let mut out = &self.sockets;
        receive_pending(
            &self.sockets.peers,
            buffer,
            |from, frame| match message::decode(from, frame) {
                Ok(received) => agent.receive_from_peer(&received, now, &mut out),
                Err(error) => tracing::debug!(event = "frame_rejected", %from, %error),
            },
        );
    }

    fn read_server(&mut self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let agent = &mut self.agent;
        let mut out = &self.sockets;
        receive_pending(&self.sockets.segments, buffer, |_, datagram| {
            agent.receive_from_server(datagram, now, &mut out);
        });
    }

    fn apply_update(&mut self, update: ServerUpdate) -> Result<(), ServerUpdateError> {
        let now = self.clock.now();
        let result = match &update {
            ServerUpdate::Report(report) => {
                let out = &mut &self.sockets;
                self.agent.apply_report(report, unix_ms(), now, out)
            }
            ServerUpdate::Leave(id) => self.agent.record_leave(id, now),
        };
        if let Err(error) = &result {
            tracing::warn!(event = "server_update_rejected", update = ?update, %error);
        }
        self.announce_state();
        result
    }

    /// Publishes the agent's state in the membership if it or the state of the backend server has changed.
    /// Reports the agent as ready to the fabric once the server is.
    fn announce_state(&mut self) {
        let now = self.clock.now();
        let (state, member_state) = (self.agent.server_state(now), self.agent.member_state(now));
        let (previous, _) = self.announced;
        if (state, member_state) == self.announced {
            return;
        }
        self.announced = (state, member_state);
        tracing::info!(
            event = "server_state_announced",
            state = ?state,
            previous = ?previous,
            member_state = ?member_state,
        );
        self.local.update(|record| record.state = member_state);
        if member_state == MemberState::Ready {
            self.control.mark_ready();
        }
    }
}
