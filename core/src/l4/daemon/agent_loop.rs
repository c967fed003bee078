//! The loop of an agent: frames of balancers, segments and reports of the backend server, and time.

use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

use tokio::sync::{mpsc, oneshot};

use super::sockets::{Sockets, drain};
use crate::{
    clock::Clock,
    consts::MAX_DATAGRAM_BYTES,
    control::ControlServer,
    kernel::{Kernel, KernelError},
    l4::{
        agent::{Agent, AgentOptions},
        message,
        segment::Codec,
        server::{ReportError, ServerReport, ServerState},
    },
    member::{Directory, MemberState},
    membership::LocalRecord,
    metrics::Metrics,
};

/// Reports that wait for the loop, at most.
const WAITING_REPORTS: usize = 16;

/// What the backend server says about itself.
#[derive(Clone, Debug)]
pub enum ServerNews {
    /// A status report.
    Report(ServerReport),
    /// The start with this id leaves.
    Leaves(String),
}

type Call = (ServerNews, oneshot::Sender<Result<(), ReportError>>);

/// Takes what the backend server says, under the name [`ServerDesk::NAME`].
#[derive(Clone, Debug)]
pub struct ServerDesk {
    alive: Arc<AtomicBool>,
    calls: mpsc::Sender<Call>,
}

impl ServerDesk {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "server_desk";

    /// Hands news to the agent.
    ///
    /// # Errors
    ///
    /// Fails if the news changes nothing, or if the agent stops.
    pub async fn tell(&self, news: ServerNews) -> Result<(), ReportError> {
        let (sender, answer) = oneshot::channel();
        if self.calls.send((news, sender)).await.is_err() {
            return Err(ReportError::Unknown);
        }
        answer.await.unwrap_or(Err(ReportError::Unknown))
    }

    /// Returns whether the backend server reports and has not left.
    pub fn server_is_alive(&self) -> bool {
        self.alive.load(Ordering::Relaxed)
    }
}

/// Starts the loop.
///
/// # Errors
///
/// Fails if a service that it needs is not published.
pub fn start<C: Codec>(
    kernel: &Kernel,
    codec: C,
    options: AgentOptions,
    sockets: Sockets,
) -> Result<ServerDesk, KernelError> {
    let (sender, calls) = mpsc::channel(WAITING_REPORTS);
    let alive = Arc::new(AtomicBool::new(false));
    let desk = ServerDesk {
        alive: alive.clone(),
        calls: sender,
    };
    kernel.publish(ServerDesk::NAME, Arc::new(desk.clone()));
    let clock = kernel.clock();
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let run = Run {
        agent: Agent::new(codec, options, clock.now()),
        alive,
        clock,
        control,
        directory: kernel.find(Directory::NAME)?,
        local: kernel.find(LocalRecord::NAME)?,
        sockets,
        state: None,
    };
    let metrics: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    run.agent.counts().register(&metrics);
    kernel.spawn(run.run(calls));
    Ok(desk)
}

struct Run<C> {
    agent: Agent<C>,
    alive: Arc<AtomicBool>,
    clock: Clock,
    control: Arc<ControlServer>,
    directory: Arc<Directory>,
    local: Arc<LocalRecord>,
    sockets: Sockets,
    state: Option<ServerState>,
}

impl<C: Codec> Run<C> {
    async fn run(mut self, mut calls: mpsc::Receiver<Call>) {
        let mut buffer = Box::new([0; MAX_DATAGRAM_BYTES]);
        let mut changes = self.directory.changes();
        loop {
            let due = self.clock.instant(self.agent.due());
            tokio::select! {
                biased;
                Ok(()) = self.sockets.edge.readable() => self.read_server(&mut buffer),
                Ok(()) = self.sockets.peers.readable() => self.read_peers(&mut buffer),
                Some((news, answer)) = calls.recv() => {
                    let _ = answer.send(self.take_news(news));
                }
                () = tokio::time::sleep_until(due) => {}
                Ok(()) = changes.changed() => self.agent.take_view(&self.directory.view()),
                else => return,
            }
            let now = self.clock.now();
            if now >= self.agent.due() {
                self.agent.tick(now, &mut &self.sockets);
                self.announce();
            }
        }
    }

    fn read_peers(&mut self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let agent = &mut self.agent;
        let mut out = &self.sockets;
        drain(
            &self.sockets.peers,
            buffer,
            |from, frame| match message::decode(from, frame) {
                Ok(received) => agent.receive(&received, now, &mut out),
                Err(error) => tracing::debug!(event = "frame_rejected", %from, %error),
            },
        );
    }

    fn read_server(&mut self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let agent = &mut self.agent;
        let mut out = &self.sockets;
        drain(&self.sockets.edge, buffer, |_, datagram| {
            agent.receive_from_server(datagram, now, &mut out);
        });
    }

    fn take_news(&mut self, news: ServerNews) -> Result<(), ReportError> {
        let now = self.clock.now();
        let taken = match &news {
            ServerNews::Report(report) => self.agent.report(report, now, &mut &self.sockets),
            ServerNews::Leaves(id) => self.agent.leave(id, now),
        };
        if let Err(error) = &taken {
            tracing::warn!(event = "server_news_rejected", news = ?news, %error);
        }
        self.announce();
        taken
    }

    /// Tells the membership whether the backend server takes new flows.
    fn announce(&mut self) {
        let state = self.agent.server_state(self.clock.now());
        if state == self.state {
            return;
        }
        tracing::info!(event = "server_seen_as", state = ?state, before = ?self.state);
        self.state = state;
        self.alive.store(state.is_some(), Ordering::Relaxed);
        let announced = match state {
            Some(ServerState::Ready) => MemberState::Ready,
            Some(ServerState::Draining) | None => MemberState::Draining,
        };
        self.local.update(|record| record.state = announced);
        if announced == MemberState::Ready {
            self.control.mark_ready();
        }
    }
}
