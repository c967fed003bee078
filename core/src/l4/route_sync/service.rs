//! Task that keeps the route table of a process in sync: calls the store and peers, and publishes the
//! current table.

use std::{
    collections::BTreeMap,
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::StreamExt;
use prometheus_client::metrics::counter::Counter;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::MissedTickBehavior,
};

use super::{Action, Event, RouteSync};
use crate::{
    control::{ControlClient, ControlError, ControlServer},
    kernel::{Kernel, KernelError},
    l4::{
        directives::StoredDirectives,
        routes::{RouteTable, ServiceKey},
    },
    member::Directory,
    membership::LocalRecord,
    metrics::Metrics,
    panics::contain_future,
    store::{Consistency, Position, Snapshot, Store, StoreError},
};

/// Path of the control message that returns the table of a process as earlier builds read it.
const PULL_PATH: &str = "/routes/pull";

/// Path of the control message that returns a [`WholeTable`].
const WHOLE_PULL_PATH: &str = "/routes/whole";

/// Interval of the ticks of [`RouteSync`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);

const PULL_TIMEOUT: Duration = Duration::from_secs(1);

const EVENT_QUEUE_CAPACITY: usize = 64;

/// Limit of the refused keys that are remembered.
const MAX_REFUSED_KEYS: usize = 256;

/// Location and format of the route table in the store.
#[derive(Clone, Debug)]
pub struct RouteSource {
    /// Key in the store.
    pub key: &'static str,
    /// Decodes the value; the error says why it is invalid.
    pub decode: fn(&[u8]) -> Result<RouteTable, String>,
    /// Location and format of the directives; `None` if they are not asked for.
    pub directives: Option<DirectiveSource>,
}

impl RouteSource {
    /// Returns the prefix of the keys that are read and watched.
    fn prefix(&self) -> &'static str {
        let directives = self.directives.as_ref();
        directives.map_or(self.key, |directives| directives.prefix)
    }
}

/// A route table with the fields that earlier builds do not know.
#[derive(Debug, Deserialize, Serialize)]
struct WholeTable {
    table: RouteTable,
    /// Time-outs in milliseconds of the routes that state one.
    timeouts: BTreeMap<SocketAddrV4, u32>,
}

impl WholeTable {
    fn new(table: RouteTable) -> Self {
        let routes = table.routes.iter();
        let timeouts = routes.map(|(address, route)| (*address, route.timeout_ms));
        Self {
            timeouts: timeouts.filter(|(_, timeout_ms)| *timeout_ms > 0).collect(),
            table,
        }
    }

    fn into_table(mut self) -> RouteTable {
        for (address, timeout_ms) in self.timeouts {
            if let Some(route) = self.table.routes.get_mut(&address) {
                route.timeout_ms = timeout_ms;
            }
        }
        self.table
    }
}

/// Requests a second that a cold backend server of each service bears.
pub type ColdRates = BTreeMap<ServiceKey, u32>;

/// Location and format of the operator's directives in the store.
#[derive(Clone, Debug)]
pub struct DirectiveSource {
    /// Common prefix of the keys of the directives and of the route table.
    pub prefix: &'static str,
    /// Decodes a key and its value into the failure domain that is evacuated, or `None` if the key is
    /// no directive; the error says why it is invalid.
    pub decode: fn(&str, &[u8]) -> Result<Option<String>, String>,
    /// Decodes the rates of cold backend servers from the value of the route table, with the reason for
    /// each entry that is invalid.
    pub decode_rates: fn(&[u8]) -> (ColdRates, Vec<String>),
    /// Failure domains that can be evacuated; all if it is empty.
    pub domains: Arc<[String]>,
}

/// The ends of the channels to and from the synchronization.
#[derive(Clone, Debug)]
pub struct RouteChannels {
    /// Takes the events that other tasks observe: announcements of peers.
    pub events: mpsc::Sender<Event>,
    /// The latest route table.
    pub tables: watch::Receiver<Arc<RouteTable>>,
    /// The directives of the latest linearizable read of the store.
    pub directives: watch::Receiver<Arc<StoredDirectives>>,
}

/// Starts the synchronization of routes and of the directives in the store.
///
/// # Errors
///
/// Fails if a kernel component that it needs is not published.
pub fn start(
    kernel: &Kernel,
    store: Arc<dyn Store>,
    source: RouteSource,
    client: ControlClient,
) -> Result<RouteChannels, KernelError> {
    let local: Arc<LocalRecord> = kernel.find(LocalRecord::NAME)?;
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let metrics: Arc<Metrics> = kernel.find(Metrics::NAME)?;
    let own = local.get();
    let (tables, receiver) = watch::channel(Arc::<RouteTable>::default());
    let current = receiver.clone();
    let whole = receiver.clone();
    control.add_handler(PULL_PATH, move |(): ()| {
        let table = current.borrow().clone();
        Box::pin(async move { table.as_ref().clone() })
    });
    control.add_handler(WHOLE_PULL_PATH, move |(): ()| {
        let table = WholeTable::new(whole.borrow().as_ref().clone());
        Box::pin(async move { table })
    });
    let (directives, directives_receiver) = watch::channel(Arc::default());
    let (sender, events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let task = Task {
        calls: Calls {
            client,
            events: sender.clone(),
            refused: Arc::default(),
            source,
            store,
            store_calls: Counter::default(),
        },
        sync: RouteSync::new(own.address, &own.domain),
        directory: kernel.find(Directory::NAME)?,
        clock: kernel.clock(),
        directives,
        local,
        metrics: metrics.clone(),
        tables,
        watch_stop: None,
    };
    let help = "Calls to the store for routes";
    metrics.register("route_store_calls", help, task.calls.store_calls.clone());
    kernel.spawn(task.run(events));
    Ok(RouteChannels {
        events: sender,
        tables: receiver,
        directives: directives_receiver,
    })
}

/// The task that runs [`RouteSync`].
struct Task {
    calls: Calls,
    clock: crate::clock::Clock,
    directives: watch::Sender<Arc<StoredDirectives>>,
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
            Action::PublishDirectives(read) => drop(self.directives.send_replace(read)),
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
    /// Positions of the keys whose last values were invalid, so that each is logged once.
    refused: Arc<Mutex<BTreeMap<String, Position>>>,
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
            .range(self.source.prefix(), Position::START, consistency);
        let snapshot = match read.await {
            Ok(snapshot) => snapshot,
            Err(error) => {
                log_failure("read", &error);
                let _ = self.events.send(Event::ReadFailed).await;
                return;
            }
        };
        let key = self.source.key;
        let item = snapshot.items.iter().find(|item| item.key == key);
        let table = item.and_then(|item| self.decode(item.position, &item.value));
        // A stale read may miss a directive that is in effect.
        let source = self.source.directives.as_ref();
        let source = source.filter(|_| consistency == Consistency::Linearizable);
        let directives = source.map(|source| {
            let version = table.as_ref().map(|table| table.version);
            self.decode_directives(source, &snapshot, version)
        });
        let read = Event::ReadSucceeded(snapshot.position, table);
        let _ = self.events.send(read).await;
        if let Some(directives) = directives {
            let _ = self.events.send(Event::DirectivesRead(directives)).await;
        }
    }

    fn decode(&self, position: Position, value: &[u8]) -> Option<RouteTable> {
        match (self.source.decode)(value) {
            Ok(table) => Some(table),
            Err(reason) => {
                if self.is_first_refusal(self.source.key, position) {
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

    /// Returns the directives in a snapshot; `version` is that of its route table, if it is valid.
    fn decode_directives(
        &self,
        source: &DirectiveSource,
        snapshot: &Snapshot,
        version: Option<u64>,
    ) -> StoredDirectives {
        let mut directives = StoredDirectives {
            position: snapshot.position,
            version: version.unwrap_or_default(),
            ..StoredDirectives::default()
        };
        for item in &snapshot.items {
            if item.key == self.source.key && version.is_some() {
                let (rates, errors) = (source.decode_rates)(&item.value);
                directives.cold_rates = Some(rates);
                for error in errors {
                    self.log_refused(&format!("{}: {error}", item.key), item.position, &error);
                }
                continue;
            }
            match (source.decode)(&item.key, &item.value) {
                Ok(None) => {}
                Ok(Some(domain))
                    if !source.domains.is_empty() && !source.domains.contains(&domain) =>
                {
                    // Kept, since another process may have newer settings that name the domain. It has
                    // no effect where no VM is in it.
                    let reason = format!("no VM is in failure domain {domain}");
                    self.log_refused(&item.key, item.position, &reason);
                    directives.evacuated.insert(domain, item.position);
                }
                Ok(Some(domain)) => drop(directives.evacuated.insert(domain, item.position)),
                Err(reason) => self.log_refused(&item.key, item.position, &reason),
            }
        }
        directives
    }

    fn log_refused(&self, key: &str, position: Position, reason: &str) {
        if self.is_first_refusal(key, position) {
            tracing::error!(event = "directive_refused", key, %position, reason);
        }
    }

    /// Returns whether the value that a key has had since a position is refused for the first time.
    fn is_first_refusal(&self, key: &str, position: Position) -> bool {
        let mut refused = self.refused.lock().expect("lock of the refused keys");
        // Bounds the memory if the operator writes many invalid keys.
        if refused.len() >= MAX_REFUSED_KEYS {
            refused.clear();
        }
        refused.insert(key.to_owned(), position) != Some(position)
    }

    /// Reports the changes of the table until the watch or the era of the store ends, or until the
    /// sender of `stopped` is dropped.
    async fn watch(self, since: Position, mut stopped: oneshot::Receiver<()>) {
        self.store_calls.inc();
        let mut eras = self.store.eras();
        match self.store.watch(self.source.prefix(), since).await {
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
            .post::<(), WholeTable>(peer, WHOLE_PULL_PATH, &(), PULL_TIMEOUT)
            .await;
        let response = match response {
            // An earlier build has only the other path.
            Err(ControlError::Refused { .. }) => {
                let pull = self.client.post(peer, PULL_PATH, &(), PULL_TIMEOUT);
                pull.await
            }
            response => response.map(WholeTable::into_table),
        };
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
