//! Task that keeps the route table of a process in sync: calls the store and peers, and publishes the
//! current table.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::StreamExt;
use prometheus_client::metrics::counter::Counter;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::MissedTickBehavior,
};

use super::{Action, Event, RouteSync};
use crate::{
    control::{ControlClient, ControlServer},
    kernel::{Kernel, KernelError},
    l4::routes::RouteTable,
    member::Directory,
    membership::LocalRecord,
    metrics::Metrics,
    panics::contain_future,
    store::{Consistency, Position, Store, StoreError},
};

/// Path of the control message that returns the table of a process.
const PULL_PATH: &str = "/routes/pull";

/// Interval of the ticks of [`RouteSync`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

const PULL_TIMEOUT: Duration = Duration::from_secs(1);

const EVENT_QUEUE_CAPACITY: usize = 64;

/// Location and format of the route table in the store.
#[derive(Clone, Copy, Debug)]
pub struct RouteSource {
    /// Key in the store.
    pub key: &'static str,
    /// Decodes the value; the error says why it is invalid.
    pub decode: fn(&[u8]) -> Result<RouteTable, String>,
}

/// Starts the synchronization of routes; the receiver holds the latest table.
///
/// # Errors
///
/// Fails if a kernel component that it needs is not published.
pub fn start(
    kernel: &Kernel,
    store: Arc<dyn Store>,
    source: RouteSource,
    client: ControlClient,
) -> Result<watch::Receiver<Arc<RouteTable>>, KernelError> {
    let local: Arc<LocalRecord> = kernel.find(LocalRecord::NAME)?;
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let metrics: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    let own = local.get();
    let (tables, receiver) = watch::channel(Arc::<RouteTable>::default());
    let current = receiver.clone();
    control.add_handler(PULL_PATH, move |(): ()| {
        let table = current.borrow().clone();
        Box::pin(async move { table.as_ref().clone() })
    });
    let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let task = Task {
        calls: Calls {
            client,
            events: sender,
            refused_position: Arc::new(Mutex::new(Position::START)),
            source,
            store,
            store_calls: Counter::default(),
        },
        sync: RouteSync::new(own.address, &own.domain),
        directory: kernel.find(Directory::NAME)?,
        clock: kernel.clock(),
        local,
        metrics: metrics.clone(),
        tables,
        watch_stop: None,
    };
    let help = "Calls to the store for routes";
    metrics.register("route_store_calls", help, task.calls.store_calls.clone());
    kernel.spawn(task.run(events));
    Ok(receiver)
}

/// The task that runs [`RouteSync`].
struct Task {
    calls: Calls,
    clock: crate::clock::Clock,
    directory: Arc<Directory>,
    local: Arc<LocalRecord>,
    metrics: Arc<Metrics>,
    sync: RouteSync,
    tables: watch::Sender<Arc<RouteTable>>,
    /// Ends the task of the watch when it is dropped.
    watch_stop: Option<oneshot::Sender<()>>,
}

impl Task {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut changes = self.directory.changes();
        let mut eras = self.calls.store.eras();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                Ok(()) = eras.changed() => Event::StoreRestored,
                _ = changes.changed() => {
                    self.sync.apply_view(&self.directory.view());
                    Event::Tick
                }
                Some(event) = events.recv() => event,
            };
            for action in self.sync.handle(event, self.clock.now()) {
                self.run_action(action);
            }
        }
    }

    fn run_action(&mut self, action: Action) {
        match action {
            Action::Read(consistency) => self.calls.spawn(
                "read of routes",
                self.calls.clone().read(consistency),
                Event::ReadFailed,
            ),
            Action::Watch(since) => {
                let (stop, stopped) = oneshot::channel();
                self.watch_stop = Some(stop);
                let watch = self.calls.clone().watch(since, stopped);
                self.calls
                    .spawn("watch of routes", watch, Event::WatchEnded);
            }
            Action::StopWatch => self.watch_stop = None,
            Action::Pull(peer) => {
                let pull = self.calls.clone().pull(peer);
                self.calls
                    .spawn("pull of routes", pull, Event::PullEnded(None));
            }
            Action::Publish(table) => self.publish(table),
            Action::ReportOlder(version) => {
                let in_use = self.sync.table().version;
                tracing::warn!(event = "routes_older_in_store", version, in_use);
            }
            Action::ReportStore(true) => tracing::info!(event = "route_store_reachable"),
            Action::ReportStore(false) => tracing::warn!(event = "route_store_unreachable"),
        }
    }

    fn publish(&mut self, table: Arc<RouteTable>) {
        let version = table.version;
        tracing::info!(
            event = "routes_applied",
            version,
            route_count = table.routes.len()
        );
        // The settings in force are the route table, and their revision is its version.
        self.metrics
            .settings_revision
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.local.update(|record| record.revision = version);
        self.tables.send_replace(table);
    }
}

/// Clients of the store and of peers, with the channel for results; cloned into the task of each call.
#[derive(Clone)]
struct Calls {
    client: ControlClient,
    events: mpsc::Sender<Event>,
    /// Position of the last value that was invalid, so that each is logged once.
    refused_position: Arc<Mutex<Position>>,
    source: RouteSource,
    store: Arc<dyn Store>,
    store_calls: Counter,
}

impl Calls {
    /// Spawns a call; `failure` is its result if it panics.
    fn spawn(
        &self,
        name: &'static str,
        call: impl Future<Output = ()> + Send + 'static,
        failure: Event,
    ) {
        let events = self.events.clone();
        tokio::spawn(async move {
            if contain_future(name, call).await.is_none() {
                // Without a receiver, the daemon is stopping.
                let _ = events.send(failure).await;
            }
        });
    }

    async fn read(self, consistency: Consistency) {
        self.store_calls.inc();
        let read = self
            .store
            .range(self.source.key, Position::START, consistency);
        let event = match read.await {
            Ok(snapshot) => {
                let key = self.source.key;
                let item = snapshot.items.iter().find(|item| item.key == key);
                let table = item.and_then(|item| self.decode(item.position, &item.value));
                Event::ReadSucceeded(snapshot.position, table)
            }
            Err(error) => {
                log_failure("read", &error);
                Event::ReadFailed
            }
        };
        let _ = self.events.send(event).await;
    }

    fn decode(&self, position: Position, value: &[u8]) -> Option<RouteTable> {
        match (self.source.decode)(value) {
            Ok(table) => Some(table),
            Err(reason) => {
                let mut refused = self
                    .refused_position
                    .lock()
                    .expect("lock of the refused position");
                if *refused != position {
                    *refused = position;
                    let revision = position.revision;
                    tracing::error!(
                        event = "routes_refused",
                        revision,
                        era = position.era,
                        reason
                    );
                }
                None
            }
        }
    }

    /// Reports the changes of the table until the watch or the era of the store ends, or until the
    /// sender of `stopped` is dropped.
    async fn watch(self, since: Position, mut stopped: oneshot::Receiver<()>) {
        self.store_calls.inc();
        let mut eras = self.store.eras();
        match self.store.watch(self.source.key, since).await {
            Ok(mut changes) => loop {
                tokio::select! {
                    change = changes.next() => match change {
                        Some(_) => drop(self.events.send(Event::Changed).await),
                        None => break,
                    },
                    Ok(()) = eras.changed() => break,
                    _ = &mut stopped => return,
                }
            },
            Err(error) => log_failure("watch", &error),
        }
        let _ = self.events.send(Event::WatchEnded).await;
    }

    async fn pull(self, peer: SocketAddrV4) {
        let response = self
            .client
            .post::<(), RouteTable>(peer, PULL_PATH, &(), PULL_TIMEOUT)
            .await;
        let table = match response {
            Ok(table) => Some(table),
            Err(error) => {
                tracing::info!(event = "routes_pull_failed", %peer, %error);
                None
            }
        };
        let _ = self.events.send(Event::PullEnded(table)).await;
    }
}

fn log_failure(call: &'static str, error: &StoreError) {
    tracing::info!(event = "route_store_call_failed", call, %error);
}
