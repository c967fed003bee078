//! The UDP loop that drives the membership of a process.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, sync::mpsc, time::MissedTickBehavior};

use super::{
    LocalRecord,
    message::{MESSAGE_BYTES, Message},
    signer::Signer,
    swim::{Action, Event, Swim, TICK_INTERVAL},
};
use crate::{
    clock::Clock,
    kernel::{Kernel, KernelError},
    member::{Directory, MemberState, Record},
};

/// Lists of found seeds that wait for the task.
const FOUND_SEEDS: usize = 4;

/// Interval between two looks at whether a process that starts is ready.
const READY_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the membership of a process; seeds that are found later go into the returned channel.
///
/// # Errors
///
/// Fails if the directory or the local record is not published.
pub fn start(
    kernel: &Kernel,
    socket: UdpSocket,
    signer: Signer,
    seeds: Vec<SocketAddrV4>,
) -> Result<mpsc::Sender<Vec<SocketAddrV4>>, KernelError> {
    start_when_ready(kernel, socket, signer, seeds, Duration::ZERO)
}

/// Starts the membership once the local record is ready, or after `patience` at the latest.
///
/// Where a whole fleet starts at once, each change of a record is passed on by everybody: a process
/// that joins as ready costs half of what one costs that is ready a moment later.
///
/// # Errors
///
/// As [`start`].
pub fn start_when_ready(
    kernel: &Kernel,
    socket: UdpSocket,
    signer: Signer,
    seeds: Vec<SocketAddrV4>,
    patience: Duration,
) -> Result<mpsc::Sender<Vec<SocketAddrV4>>, KernelError> {
    let (sender, found) = mpsc::channel(FOUND_SEEDS);
    let clock = kernel.clock();
    let local: Arc<LocalRecord> = kernel.find(LocalRecord::NAME)?;
    let directory: Arc<Directory> = kernel.find(Directory::NAME)?;
    let latest = clock.now() + patience;
    kernel.spawn(async move {
        while clock.now() < latest && local.get().state != MemberState::Ready {
            tokio::time::sleep(READY_INTERVAL).await;
        }
        let service = Service {
            swim: Swim::new(local.get(), seeds, clock.now(), rand::random()),
            clock,
            directory,
            joined: false,
            local,
            signer,
            socket,
        };
        service.run(found).await;
    });
    Ok(sender)
}

struct Service {
    clock: Clock,
    directory: Arc<Directory>,
    joined: bool,
    local: Arc<LocalRecord>,
    signer: Signer,
    socket: UdpSocket,
    swim: Swim,
}

impl Service {
    async fn run(mut self, mut found: mpsc::Receiver<Vec<SocketAddrV4>>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; 2 * MESSAGE_BYTES];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                Some(seeds) = found.recv() => self.swim.add_seeds(&seeds),
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, _)) = received else { continue };
                    self.receive(&buffer[..length]).await;
                }
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        let mut actions = self.swim.local(&self.local.get(), now);
        actions.extend(self.swim.tick(now));
        self.act(actions).await;
        if !self.joined && self.swim.is_joined() {
            self.joined = true;
            self.directory.set_joined();
        }
    }

    async fn receive(&mut self, bytes: &[u8]) {
        let message: Message = match self.signer.open(bytes) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(event = "control_message_rejected", %error);
                return;
            }
        };
        let actions = self.swim.receive(&message, self.clock.now());
        self.act(actions).await;
    }

    async fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let bytes = self.signer.seal(&message);
                    let _ = self.socket.send_to(&bytes, to).await;
                }
                Action::Publish => self.directory.publish(self.swim.members()),
                Action::Reborn(incarnation) => {
                    self.local.update(|record| record.incarnation = incarnation);
                }
                Action::Log(event) => log(&event),
            }
        }
    }
}

fn log(event: &Event) {
    match event {
        Event::Member { record, reason } => log_member(record, reason),
        Event::RemovalHeld { domain, silence } => tracing::warn!(
            event = "removal_held",
            domain = domain.as_deref().unwrap_or("all"),
            silent = silence.silent,
            members = silence.members,
        ),
        Event::RemovalResumed { domain } => tracing::warn!(
            event = "removal_resumed",
            domain = domain.as_deref().unwrap_or("all"),
        ),
        Event::Frozen { gap } => {
            tracing::warn!(event = "frozen", gap_ms = gap.as_millis() as u64);
        }
    }
}

fn log_member(record: &Record, reason: &str) {
    tracing::info!(
        event = "member",
        address = %record.address,
        role = ?record.role,
        domain = record.domain,
        state = ?record.state,
        incarnation = record.incarnation.0,
        version = record.version,
        weight = record.weight,
        reason,
    );
}
