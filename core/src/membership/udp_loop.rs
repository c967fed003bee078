//! The UDP loop that drives the membership of a process.

use std::{net::SocketAddrV4, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, sync::mpsc, time::MissedTickBehavior};

use super::{
    LocalRecord,
    message::{MAX_MESSAGE_BYTES, Message},
    signer::Signer,
    swim::{Action, Event, Swim, TICK_INTERVAL},
};
use crate::{
    clock::Clock,
    kernel::{Kernel, KernelError},
    member::{Directory, MemberState, Record},
    metrics::Metrics,
    panics::contain,
};

/// Discoveries that may wait for the UDP loop.
const DISCOVERY_CHANNEL_CAPACITY: usize = 4;

/// Interval between two checks whether the local record is ready.
const READY_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// What other parts of a process discover about the members.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Discovery {
    /// Control addresses of seeds.
    Seeds(Vec<SocketAddrV4>),
    /// Control address of a member that knows members which are unknown here.
    BetterInformed(SocketAddrV4),
}

/// Starts the membership of a process; what is discovered later is sent to the returned channel.
///
/// # Errors
///
/// Fails if the directory, the local record or the metrics are not published in the kernel.
pub fn start(
    kernel: &Kernel,
    socket: UdpSocket,
    signer: Signer,
    seeds: Vec<SocketAddrV4>,
) -> Result<mpsc::Sender<Discovery>, KernelError> {
    start_when_ready(kernel, socket, signer, seeds, Duration::ZERO)
}

/// Starts the membership once the local record is ready, or after `ready_timeout` at the latest.
///
/// When a whole fleet starts at once, every process gossips each change of a record: a process that
/// joins as ready costs half the traffic of one that becomes ready shortly after it joined.
///
/// # Errors
///
/// Fails under the same conditions as [`start`].
pub fn start_when_ready(
    kernel: &Kernel,
    socket: UdpSocket,
    signer: Signer,
    seeds: Vec<SocketAddrV4>,
    ready_timeout: Duration,
) -> Result<mpsc::Sender<Discovery>, KernelError> {
    let (sender, discovered) = mpsc::channel(DISCOVERY_CHANNEL_CAPACITY);
    let clock = kernel.clock();
    let local: Arc<LocalRecord> = kernel.find(LocalRecord::NAME)?;
    let directory: Arc<Directory> = kernel.find(Directory::NAME)?;
    let metrics: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    let deadline = clock.now() + ready_timeout;
    kernel.spawn(async move {
        while clock.now() < deadline && local.get().state != MemberState::Ready {
            tokio::time::sleep(READY_CHECK_INTERVAL).await;
        }
        let swim = Swim::new(local.get(), seeds, clock.now(), rand::random());
        swim.metrics().register(&metrics);
        let udp_loop = UdpLoop {
            swim,
            clock,
            directory,
            is_joined: false,
            local,
            signer,
            socket,
        };
        udp_loop.run(discovered).await;
    });
    Ok(sender)
}

struct UdpLoop {
    clock: Clock,
    directory: Arc<Directory>,
    is_joined: bool,
    local: Arc<LocalRecord>,
    signer: Signer,
    socket: UdpSocket,
    swim: Swim,
}

impl UdpLoop {
    async fn run(mut self, mut discovered: mpsc::Receiver<Discovery>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; 2 * MAX_MESSAGE_BYTES];
        loop {
            tokio::select! {
                _ = ticks.tick() => self.tick().await,
                Some(discovery) = discovered.recv() => self.discover(discovery).await,
                received = self.socket.recv_from(&mut buffer) => {
                    let Ok((length, _)) = received else { continue };
                    self.receive(&buffer[..length]).await;
                }
            }
        }
    }

    async fn discover(&mut self, discovery: Discovery) {
        match discovery {
            Discovery::Seeds(seeds) => {
                self.swim.add_seeds(&seeds);
                self.tick().await;
            }
            Discovery::BetterInformed(control) => {
                let now = self.clock.now();
                let actions = contain("membership fetch", || self.swim.compare_with(control, now));
                self.execute(actions.unwrap_or_default()).await;
            }
        }
    }

    async fn tick(&mut self) {
        let now = self.clock.now();
        let actions = contain("membership tick", || {
            let mut actions = self.swim.apply_local(&self.local.get(), now);
            actions.extend(self.swim.tick(now));
            actions
        });
        self.execute(actions.unwrap_or_default()).await;
    }

    async fn receive(&mut self, bytes: &[u8]) {
        let message: Message = match self.signer.verify(bytes) {
            Ok(message) => message,
            Err(error) => {
                tracing::debug!(event = "control_message_rejected", %error);
                return;
            }
        };
        let now = self.clock.now();
        let actions = contain("membership message", || self.swim.receive(&message, now));
        self.execute(actions.unwrap_or_default()).await;
    }

    async fn execute(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let bytes = self.signer.sign(&message);
                    let _ = self.socket.send_to(&bytes, to).await;
                }
                Action::Publish => self.directory.publish(self.swim.members()),
                Action::NewIncarnation(incarnation) => {
                    self.local.update(|record| record.incarnation = incarnation);
                }
                Action::Log(event) => log(&event),
            }
        }
        self.directory.set_claimed(self.swim.claimed_members());
        if !self.is_joined && self.swim.is_joined() {
            // The view must hold all that was fetched before it counts as joined.
            self.directory.publish(self.swim.members());
            self.is_joined = true;
            self.directory.set_joined();
        }
    }
}

fn log(event: &Event) {
    match event {
        Event::MemberChanged { record, reason } => log_member(record, reason),
        Event::RemovalHeld { domain, count } => tracing::warn!(
            event = "removal_held",
            domain = domain.as_deref().unwrap_or("all"),
            silent = count.silent,
            members = count.members,
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
