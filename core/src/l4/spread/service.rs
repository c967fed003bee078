//! Runs the spread of routes: calls the store and peers, and publishes the table in force.

use std::{
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::StreamExt;
use prometheus_client::metrics::counter::Counter;
use tokio::{
    sync::{mpsc, watch},
    time::MissedTickBehavior,
};

use super::{Action, Event, Spread};
use crate::{
    control::{ControlClient, ControlServer},
    kernel::{Kernel, KernelError},
    l4::routes::RouteTable,
    member::Directory,
    membership::LocalRecord,
    metrics::Metrics,
    store::{Store, StoreError},
};

/// Path on which a process answers with its table.
const PULL_PATH: &str = "/routes/pull";

/// Interval between two looks at what is due.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a peer's table.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Events that wait for the task, at most.
const EVENTS: usize = 64;

/// Where routes stand in the store, and how their value is read.
#[derive(Clone, Copy, Debug)]
pub struct RouteSource {
    /// Key of the table.
    pub key: &'static str,
    /// Reads a value; the error says what is wrong with it.
    pub decode: fn(&[u8]) -> Result<RouteTable, String>,
}

/// Starts the spread; the receiver learns each table that comes into force.
///
/// # Errors
///
/// Fails if a service that it needs is not published.
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
    let (tables, in_force) = watch::channel(Arc::<RouteTable>::default());
    let answered = in_force.clone();
    control.add_handler(PULL_PATH, move |(): ()| {
        let table = answered.borrow().clone();
        Box::pin(async move { table.as_ref().clone() })
    });
    let (sender, events) = mpsc::channel(EVENTS);
    let service = Service {
        calls: Calls {
            client,
            events: sender,
            refused: Arc::new(Mutex::new(0)),
            source,
            store,
            store_calls: Counter::default(),
        },
        spread: Spread::new(own.address, &own.domain),
        directory: kernel.find(Directory::NAME)?,
        clock: kernel.clock(),
        local,
        metrics: metrics.clone(),
        tables,
    };
    let help = "Calls to the store for routes";
    metrics.register("route_store_calls", help, service.calls.store_calls.clone());
    kernel.spawn(service.run(events));
    Ok(in_force)
}

struct Service {
    calls: Calls,
    clock: crate::clock::Clock,
    directory: Arc<Directory>,
    local: Arc<LocalRecord>,
    metrics: Arc<Metrics>,
    spread: Spread,
    tables: watch::Sender<Arc<RouteTable>>,
}

impl Service {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut changes = self.directory.changes();
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let event = tokio::select! {
                _ = ticks.tick() => Event::Tick,
                _ = changes.changed() => {
                    self.spread.meet(&self.directory.view());
                    Event::Tick
                }
                Some(event) = events.recv() => event,
            };
            for action in self.spread.handle(event, self.clock.now()) {
                self.act(action);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Read => drop(tokio::spawn(self.calls.clone().read())),
            Action::Watch(revision) => drop(tokio::spawn(self.calls.clone().watch(revision))),
            Action::Pull(peer) => drop(tokio::spawn(self.calls.clone().pull(peer))),
            Action::Publish(table) => self.publish(table),
            Action::Reachable(true) => tracing::info!(event = "store_regained"),
            Action::Reachable(false) => tracing::warn!(event = "store_lost"),
        }
    }

    fn publish(&mut self, table: Arc<RouteTable>) {
        let version = table.version;
        tracing::info!(
            event = "routes_in_force",
            version,
            routes = table.routes.len()
        );
        self.metrics
            .settings_revision
            .set(i64::try_from(version).unwrap_or(i64::MAX));
        self.local.update(|record| record.revision = version);
        self.tables.send_replace(table);
    }
}

/// What the tasks of calls need.
#[derive(Clone)]
struct Calls {
    client: ControlClient,
    events: mpsc::Sender<Event>,
    /// Store revision of the last value that could not be read, so that it is logged once.
    refused: Arc<Mutex<u64>>,
    source: RouteSource,
    store: Arc<dyn Store>,
    store_calls: Counter,
}

impl Calls {
    async fn read(self) {
        self.store_calls.inc();
        let event = match self.store.range(self.source.key, 0).await {
            Ok(snapshot) => {
                let key = self.source.key;
                let item = snapshot.items.iter().find(|item| item.key == key);
                let table = item.and_then(|item| self.decode(item.revision, &item.value));
                Event::Read(snapshot.revision, table)
            }
            Err(error) => {
                log_failure("read", &error);
                Event::ReadFailed
            }
        };
        let _ = self.events.send(event).await;
    }

    fn decode(&self, revision: u64, value: &[u8]) -> Option<RouteTable> {
        match (self.source.decode)(value) {
            Ok(table) => Some(table),
            Err(reason) => {
                let mut refused = self.refused.lock().expect("refused lock");
                if *refused != revision {
                    *refused = revision;
                    tracing::error!(event = "routes_refused", revision, reason);
                }
                None
            }
        }
    }

    async fn watch(self, revision: u64) {
        self.store_calls.inc();
        match self.store.watch(self.source.key, revision).await {
            Ok(mut changes) => {
                while changes.next().await.is_some() {
                    let _ = self.events.send(Event::Changed).await;
                }
            }
            Err(error) => log_failure("watch", &error),
        }
        let _ = self.events.send(Event::WatchEnded).await;
    }

    async fn pull(self, peer: SocketAddrV4) {
        let answered = self
            .client
            .post::<(), RouteTable>(peer, PULL_PATH, &(), PULL_TIMEOUT)
            .await;
        let table = match answered {
            Ok(table) => Some(table),
            Err(error) => {
                tracing::info!(event = "routes_not_pulled", %peer, %error);
                None
            }
        };
        let _ = self.events.send(Event::Pulled(table)).await;
    }
}

fn log_failure(call: &'static str, error: &StoreError) {
    tracing::info!(event = "store_call_failed", call, %error);
}
