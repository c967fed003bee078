//! Event loop of a balancer: datagrams of callers, frames of agents and other balancers, membership
//! changes, route changes, and timers.

use std::sync::Arc;

use tokio::sync::{mpsc, watch};

use super::sockets::{Sockets, receive_pending};
use crate::{
    clock::{Clock, Time, unix_ms},
    consts::MAX_DATAGRAM_BYTES,
    control::ControlServer,
    kernel::{Kernel, KernelError},
    l4::{
        balancer::Balancer,
        directives::StoredDirectives,
        message,
        route_sync::{Event, service::RouteChannels},
        routes::RouteTable,
        segment::Codec,
    },
    member::Directory,
    membership::Discovery,
    metrics::Metrics,
    panics::contain,
};

/// Starts the event loop of a balancer.
///
/// # Errors
///
/// Fails if a kernel component that the loop needs is not published.
pub fn start<C: Codec>(
    kernel: &Kernel,
    balancer: Balancer<C>,
    sockets: Sockets,
    channels: RouteChannels,
    discoveries: mpsc::Sender<Discovery>,
) -> Result<(), KernelError> {
    let event_loop = BalancerLoop {
        balancer,
        clock: kernel.clock(),
        control: kernel.find(ControlServer::NAME)?,
        directory: kernel.find(Directory::NAME)?,
        directives: channels.directives,
        discoveries,
        route_events: channels.events,
        routes: channels.tables,
        reported_ready: false,
        paused: false,
        sockets,
    };
    let metrics_registry: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    event_loop.balancer.metrics().register(&metrics_registry);
    kernel.spawn(event_loop.run());
    Ok(())
}

struct BalancerLoop<C> {
    balancer: Balancer<C>,
    clock: Clock,
    control: Arc<ControlServer>,
    directives: watch::Receiver<Arc<StoredDirectives>>,
    directory: Arc<Directory>,
    discoveries: mpsc::Sender<Discovery>,
    route_events: mpsc::Sender<Event>,
    routes: watch::Receiver<Arc<RouteTable>>,
    /// Whether the balancer has been reported as ready.
    reported_ready: bool,
    /// Whether the balancer is reported as not ready because it reaches no agent.
    paused: bool,
    sockets: Sockets,
}

impl<C: Codec> BalancerLoop<C> {
    async fn run(mut self) {
        let mut view_changes = self.directory.changes();
        let mut routes = self.routes.clone();
        let mut directives = self.directives.clone();
        let mut buffer = Box::new([0; MAX_DATAGRAM_BYTES]);
        loop {
            let due = self.clock.instant(self.balancer.due());
            tokio::select! {
                biased;
                Ok(()) = self.sockets.peers.readable() => self.read_peers(&mut buffer),
                Ok(()) = self.sockets.segments.readable() => self.read_callers(&mut buffer),
                () = tokio::time::sleep_until(due) => {}
                Ok(()) = view_changes.changed() => self.apply_view(),
                Ok(()) = routes.changed() => self.apply_routes(),
                Ok(()) = directives.changed() => self.apply_directives(),
                else => return,
            }
            let now = self.clock.now();
            if now >= self.balancer.due() {
                contain("tick", || self.balancer.tick(now, &mut &self.sockets));
            }
            self.fetch_members(now);
            self.pull_announced_routes();
            self.report_ready_once(now);
            self.pause_while_isolated(now);
        }
    }

    fn read_peers(&mut self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let balancer = &mut self.balancer;
        let mut out = &self.sockets;
        receive_pending(
            &self.sockets.peers,
            buffer,
            |from, frame| match message::decode(from, frame) {
                Ok(received) => balancer.receive_from_peer(&received, now, &mut out),
                Err(error) => tracing::debug!(event = "frame_rejected", %from, %error),
            },
        );
    }

    fn read_callers(&mut self, buffer: &mut [u8; MAX_DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let balancer = &mut self.balancer;
        let mut out = &self.sockets;
        receive_pending(&self.sockets.segments, buffer, |_, datagram| {
            balancer.receive_from_caller(datagram, now, &mut out);
        });
    }

    fn apply_view(&mut self) {
        let now: Time = self.clock.now();
        let view = self.directory.view();
        contain("view", || {
            self.balancer.set_unix_ms(unix_ms(), now);
            self.balancer.apply_view(&view, now, &mut &self.sockets);
        });
    }

    fn apply_routes(&mut self) {
        let routes = self.routes.borrow_and_update().clone();
        self.balancer.apply_routes(routes);
    }

    /// Passes on the peers that have announced newer routes. One that finds the channel full is left out,
    /// as the versions are compared again. A balancer without routes knows few members yet, and takes them
    /// from any process that holds a fleet key; later on only members count.
    fn pull_announced_routes(&mut self) {
        while let Some(announcement) = self.balancer.take_route_announcement() {
            let view = self.directory.view();
            let mut members = view.members.values();
            let is_member = members.any(|record| record.control == announcement.control);
            if !is_member && self.balancer.has_routes() {
                continue;
            }
            let event = Event::Announced(announcement.control, announcement.version);
            let _ = self.route_events.try_send(event);
        }
    }

    /// Fetches the members of a process that knows agents which are unknown here. A fetch that finds the
    /// channel full is left out, as a later reply causes another one.
    fn fetch_members(&mut self, now: Time) {
        let Some(peer) = self.balancer.take_member_fetch(now) else {
            return;
        };
        if let Some(record) = self.directory.view().members.get(&peer) {
            let discovery = Discovery::BetterInformed(record.control);
            let _ = self.discoveries.try_send(discovery);
        }
    }

    fn apply_directives(&mut self) {
        let now = self.clock.now();
        let read = self.directives.borrow_and_update().clone();
        contain("directives", || {
            let out = &mut &self.sockets;
            self.balancer.apply_stored_directives(&read, now, out);
        });
    }

    /// Reports the balancer as not ready to the fabric while it reaches no agent.
    fn pause_while_isolated(&mut self, now: Time) {
        let is_isolated = self.balancer.is_isolated(now);
        if self.paused == is_isolated {
            return;
        }
        self.paused = is_isolated;
        self.control.set_paused(is_isolated);
        match is_isolated {
            true => tracing::warn!(event = "agents_unreachable"),
            false => tracing::info!(event = "agents_reachable"),
        }
    }

    /// Reports the balancer as ready to the fabric once it knows routes and a ready agent, and has
    /// fetched all members or waited long enough for them.
    fn report_ready_once(&mut self, now: Time) {
        if self.reported_ready || !self.balancer.can_serve(now) {
            return;
        }
        self.reported_ready = true;
        self.control.mark_ready();
        let joined = self.balancer.has_joined();
        if !joined {
            self.balancer.metrics().ready_before_join.inc();
        }
        let view = self.directory.view();
        let live = view.members.values().filter(|r| !r.state.is_gone());
        tracing::info!(
            event = "reported_ready",
            joined,
            agents = view.agents().count(),
            members = live.count(),
            claimed = self.directory.claimed(),
        );
    }
}
