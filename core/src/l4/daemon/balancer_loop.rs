//! The loop of a balancer: datagrams of callers and agents, the view, the routes, and time.

use std::sync::Arc;

use tokio::sync::watch;

use super::sockets::{Sockets, drain};
use crate::{
    clock::{Clock, Time},
    consts::DATAGRAM_BYTES,
    control::Control,
    kernel::{Kernel, KernelError},
    l4::{
        balancer::{Balancer, BalancerOptions},
        message,
        routes::RouteTable,
        segment::Codec,
    },
    member::Directory,
    metrics::Metrics,
};

/// Starts the loop.
///
/// # Errors
///
/// Fails if a service that it needs is not published.
pub fn start<C: Codec>(
    kernel: &Kernel,
    codec: C,
    options: &BalancerOptions,
    sockets: Sockets,
    routes: watch::Receiver<Arc<RouteTable>>,
) -> Result<(), KernelError> {
    let run = Run {
        balancer: Balancer::new(codec, options, rand::random()),
        clock: kernel.clock(),
        control: kernel.find(Control::NAME)?,
        directory: kernel.find(Directory::NAME)?,
        routes,
        serving: false,
        paused: false,
        sockets,
    };
    let metrics: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    run.balancer.metrics().register(&metrics);
    kernel.spawn(run.run());
    Ok(())
}

struct Run<C> {
    balancer: Balancer<C>,
    clock: Clock,
    control: Arc<Control>,
    directory: Arc<Directory>,
    routes: watch::Receiver<Arc<RouteTable>>,
    serving: bool,
    paused: bool,
    sockets: Sockets,
}

impl<C: Codec> Run<C> {
    async fn run(mut self) {
        let mut changes = self.directory.changes();
        let mut routes = self.routes.clone();
        let mut buffer = Box::new([0; DATAGRAM_BYTES]);
        loop {
            let due = self.clock.instant(self.balancer.due());
            tokio::select! {
                biased;
                Ok(()) = self.sockets.peers.readable() => self.read_peers(&mut buffer),
                Ok(()) = self.sockets.edge.readable() => self.read_callers(&mut buffer),
                () = tokio::time::sleep_until(due) => {}
                Ok(()) = changes.changed() => self.take_view(),
                Ok(()) = routes.changed() => self.take_routes(),
                else => return,
            }
            let now = self.clock.now();
            if now >= self.balancer.due() {
                self.balancer.tick(now, &mut &self.sockets);
            }
            self.serve_when_ready(now);
            self.pause_while_cut_off(now);
        }
    }

    fn read_peers(&mut self, buffer: &mut [u8; DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let balancer = &mut self.balancer;
        let mut out = &self.sockets;
        drain(
            &self.sockets.peers,
            buffer,
            |from, frame| match message::decode(from, frame) {
                Ok(received) => balancer.receive_from_peer(&received, now, &mut out),
                Err(error) => tracing::debug!(event = "frame_rejected", %from, %error),
            },
        );
    }

    fn read_callers(&mut self, buffer: &mut [u8; DATAGRAM_BYTES]) {
        let now = self.clock.now();
        let balancer = &mut self.balancer;
        let mut out = &self.sockets;
        drain(&self.sockets.edge, buffer, |_, datagram| {
            balancer.receive(datagram, now, &mut out);
        });
    }

    fn take_view(&mut self) {
        let now: Time = self.clock.now();
        let view = self.directory.view();
        self.balancer.apply_view(&view, now, &mut &self.sockets);
    }

    fn take_routes(&mut self) {
        let routes = self.routes.borrow_and_update().clone();
        self.balancer.apply_routes(routes);
    }

    fn pause_while_cut_off(&mut self, now: Time) {
        let cut_off = self.balancer.is_isolated(now);
        if self.paused == cut_off {
            return;
        }
        self.paused = cut_off;
        self.control.pause_serving(cut_off);
        match cut_off {
            true => tracing::warn!(event = "agents_lost"),
            false => tracing::info!(event = "agents_regained"),
        }
    }

    fn serve_when_ready(&mut self, now: Time) {
        if self.serving || !self.balancer.can_serve(now) {
            return;
        }
        self.serving = true;
        self.control.start_serving();
        tracing::info!(event = "serving");
    }
}
