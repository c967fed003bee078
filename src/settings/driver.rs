//! Runs [`SettingsSync`] in a daemon: calls the store and peers, and publishes the active settings.

use std::{
    collections::VecDeque,
    net::SocketAddrV4,
    sync::{Arc, Mutex},
    time::Duration,
};

use futures::StreamExt;
use prometheus_client::metrics::{counter::Counter, gauge::Gauge};
use tokio::{
    sync::{mpsc, watch},
    task::JoinHandle,
    time::MissedTickBehavior,
};

use super::{
    ActiveSettings, ResolvedSettings,
    bootstrap::{PULL_PATH, RegionPull, initial_parts},
    client::commit_proposal,
    layout::Layout,
    sync::{Action, Event, Page, Pull, SettingsSync},
};
use crate::{
    clock::Clock,
    config::tree::Region,
    control::{ControlClient, ControlServer},
    kernel::{Kernel, KernelError},
    member::Directory,
    membership::LocalRecord,
    metrics::Metrics,
    seeds::maintain_seed,
    store::{Consistency, Position, Store, StoreError},
};

/// Control path on which a process receives hints of a peer's new revision.
const HINT_PATH: &str = "/settings/hint";

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const WATCH_RETRY_DELAY: Duration = Duration::from_secs(1);
const EVENT_QUEUE_LENGTH: usize = 64;

/// Obtains the initial settings and starts to keep them up to date.
///
/// # Errors
///
/// Fails if a component that it needs is not published in the kernel's registry.
pub async fn start(
    kernel: &Kernel,
    tree: &Region,
    seeds: &[SocketAddrV4],
    store: Option<Arc<dyn Store>>,
    client: ControlClient,
) -> Result<(), KernelError> {
    let local: Arc<LocalRecord> = kernel.find(LocalRecord::NAME)?;
    let local_record = local.get();
    let mut sync = SettingsSync::new(
        tree.clone(),
        local_record.address,
        &local_record.domain,
        store.is_some(),
        rand::random(),
    );
    let parts = initial_parts(&client, seeds, store.as_deref(), &tree.region).await;
    if let Err(violation) = sync.apply_initial(&parts) {
        tracing::error!(
            event = "settings_refused",
            path = violation.path,
            expected = violation.expected
        );
    }
    let sync = Arc::new(Mutex::new(sync));
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let (sender, events) = mpsc::channel(EVENT_QUEUE_LENGTH);
    add_handlers(&control, &sync, &sender, tree.region.clone());
    let driver = Driver {
        clock: kernel.clock(),
        calls: CallContext {
            client,
            events: sender,
            layout: Layout::new(&tree.region),
            region: tree.region.clone(),
            store,
        },
        directory: kernel.find(Directory::NAME)?,
        active: kernel.find(ActiveSettings::NAME)?,
        local,
        metrics_registry: kernel.find(Metrics::NAME)?,
        control_address: local_record.control,
        metrics: SyncMetrics::new(&*kernel.find(Metrics::NAME)?),
        sync,
        relay_tasks: None,
    };
    driver.publish(parts.len());
    kernel.spawn(driver.run(events));
    Ok(())
}

/// Adds the handlers of pulls and hints; a peer of another region gets no parts.
fn add_handlers(
    control: &ControlServer,
    sync: &Arc<Mutex<SettingsSync>>,
    events: &mpsc::Sender<Event>,
    region: String,
) {
    let sync = sync.clone();
    control.add_handler(PULL_PATH, move |(peer_region, pull): RegionPull| {
        let page = if peer_region == region {
            sync.lock().expect("sync lock").page_after(&pull)
        } else {
            Page {
                wrong_region: true,
                ..Page::default()
            }
        };
        Box::pin(async move { page })
    });
    let events = events.clone();
    control.add_handler(HINT_PATH, move |(peer, revision): (SocketAddrV4, u64)| {
        let events = events.clone();
        Box::pin(async move {
            events
                .send(Event::HintReceived(peer, revision))
                .await
                .is_ok()
        })
    });
}

struct SyncMetrics {
    store_older: Counter,
    store_reachable: Gauge,
    refused: Counter,
    relay: Gauge,
    store_calls: Counter,
}

impl SyncMetrics {
    fn new(metrics_registry: &Metrics) -> Self {
        let metrics = Self {
            store_older: Counter::default(),
            store_reachable: Gauge::default(),
            refused: Counter::default(),
            relay: Gauge::default(),
            store_calls: Counter::default(),
        };
        metrics.store_reachable.set(1);
        metrics_registry.register(
            "settings_store_older",
            "Times that the store held older settings than those in force",
            metrics.store_older.clone(),
        );
        metrics_registry.register(
            "settings_store_reachable",
            "Whether the store answered the last call; 1 where no call is made",
            metrics.store_reachable.clone(),
        );
        metrics_registry.register(
            "settings_refused",
            "Trees or values that were refused because they are not valid",
            metrics.refused.clone(),
        );
        metrics_registry.register(
            "settings_relay",
            "Whether this process watches the store for others",
            metrics.relay.clone(),
        );
        metrics_registry.register(
            "settings_store_calls",
            "Calls to the store for settings",
            metrics.store_calls.clone(),
        );
        metrics
    }
}

/// The tasks of a relay, which are aborted on drop.
struct RelayTasks {
    tasks: Vec<JoinHandle<()>>,
    _stop: watch::Sender<()>,
}

impl Drop for RelayTasks {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct Driver {
    clock: Clock,
    calls: CallContext,
    directory: Arc<Directory>,
    relay_tasks: Option<RelayTasks>,
    active: Arc<ActiveSettings>,
    local: Arc<LocalRecord>,
    metrics_registry: Arc<Metrics>,
    control_address: SocketAddrV4,
    metrics: SyncMetrics,
    sync: Arc<Mutex<SettingsSync>>,
}

impl Driver {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.directory.changes();
        loop {
            let actions = tokio::select! {
                _ = ticks.tick() => self.handle(Event::Tick),
                Some(event) = events.recv() => self.handle(event),
                Ok(()) = changes.changed() => self.apply_view(),
            };
            for action in actions {
                self.perform(action);
            }
        }
    }

    fn handle(&self, event: Event) -> VecDeque<Action> {
        let now = self.clock.now();
        self.sync.lock().expect("sync lock").handle(event, now)
    }

    fn apply_view(&self) -> VecDeque<Action> {
        let view = self.directory.view();
        let now = self.clock.now();
        self.sync.lock().expect("sync lock").apply_view(&view, now)
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Publish(changed) => self.publish(changed.len()),
            Action::SetRelay(enabled) => self.set_relay(enabled),
            Action::ReportInvalid(violation) => {
                self.metrics.refused.inc();
                tracing::error!(
                    event = "settings_refused",
                    path = violation.path,
                    expected = violation.expected
                );
            }
            Action::ReportUnreadable(keys) => {
                self.metrics.refused.inc();
                tracing::error!(event = "settings_unreadable", keys = ?keys);
            }
            Action::ReportStoreOlder { revision, missing } => {
                self.metrics.store_older.inc();
                tracing::error!(event = "settings_store_older", revision, missing);
            }
            Action::ReportReachability(reachable) => {
                self.metrics.store_reachable.set(i64::from(reachable));
                tracing::warn!(event = "settings_store", reachable);
            }
            Action::Hint(peers, revision) => {
                for peer in peers {
                    tokio::spawn(
                        self.calls
                            .clone()
                            .hint(peer, self.control_address, revision),
                    );
                }
            }
            call => {
                let is_store_call = !matches!(call, Action::Pull(..));
                self.metrics.store_calls.inc_by(u64::from(is_store_call));
                tokio::spawn(self.calls.clone().perform(call));
            }
        }
    }

    fn publish(&self, changed: usize) {
        let (tree, revision) = {
            let sync = self.sync.lock().expect("sync lock");
            let replica = sync.replica();
            (replica.tree().clone(), replica.revision())
        };
        if !self
            .active
            .advance(ResolvedSettings::resolve(tree, revision))
        {
            return;
        }
        self.local.update(|record| record.revision = revision);
        self.metrics_registry.settings_revision.set(revision as i64);
        tracing::info!(event = "settings_applied", revision, changed);
    }

    fn set_relay(&mut self, enabled: bool) {
        self.relay_tasks = None;
        self.metrics.relay.set(i64::from(enabled));
        tracing::info!(event = "settings_relay", enabled);
        let Some(store) = self.calls.store.clone().filter(|_| enabled) else {
            return;
        };
        let (stop, _) = watch::channel(());
        let key = self.calls.layout.seed_key(self.control_address);
        self.relay_tasks = Some(RelayTasks {
            tasks: vec![
                tokio::spawn(self.calls.clone().watch(stop.subscribe())),
                tokio::spawn(maintain_seed(store, key, self.control_address)),
            ],
            _stop: stop,
        });
    }
}

/// Makes the calls that the state machine requests, and reports their results to it.
#[derive(Clone)]
struct CallContext {
    client: ControlClient,
    events: mpsc::Sender<Event>,
    layout: Layout,
    region: String,
    store: Option<Arc<dyn Store>>,
}

impl CallContext {
    async fn perform(self, action: Action) {
        let event = match (action, &self.store) {
            (Action::Pull(peer, pull), _) => self.pull(peer, pull).await,
            (action, Some(store)) => match self.call_store(store.as_ref(), action).await {
                Ok(event) => event,
                Err(error) => {
                    tracing::debug!(event = "settings_store_call_failed", %error);
                    Event::StoreFailed
                }
            },
            (_, None) => Event::StoreFailed,
        };
        let _ = self.events.send(event).await;
    }

    async fn hint(self, peer: SocketAddrV4, control_address: SocketAddrV4, revision: u64) {
        let message = (control_address, revision);
        let sent: Result<bool, _> = self
            .client
            .post(peer, HINT_PATH, &message, PEER_CALL_TIMEOUT)
            .await;
        // A peer that misses the hint learns the revision from membership records or another peer.
        let _ = sent;
    }

    async fn pull(&self, peer: SocketAddrV4, pull: Pull) -> Event {
        let message: RegionPull = (self.region.clone(), pull);
        let page = self
            .client
            .post(peer, PULL_PATH, &message, PEER_CALL_TIMEOUT);
        page.await.map_or(Event::PullFailed, Event::PullSucceeded)
    }

    async fn call_store(&self, store: &dyn Store, action: Action) -> Result<Event, StoreError> {
        let layout = &self.layout;
        let read =
            async |prefix: &str, since| store.range(prefix, since, Consistency::Linearizable).await;
        Ok(match action {
            Action::ReadHead => {
                let stored = layout.decode(&read(&layout.head_key(), Position::START).await?);
                Event::HeadRead(stored.head_position, stored.head)
            }
            Action::ReadParts(since) => {
                let snapshot = read(&layout.tree_prefix(), since).await?;
                Event::PartsRead(since, layout.decode(&snapshot))
            }
            Action::Restore(proposal) => {
                Event::RestoreEnded(commit_proposal(store, layout, &proposal).await?)
            }
            _ => Event::Tick,
        })
    }

    /// Reports each change of the head, and reopens the watch when it ends.
    async fn watch(self, mut stop: watch::Receiver<()>) {
        let Some(store) = self.store.clone() else {
            return;
        };
        let head = self.layout.head_key();
        let watch_head = async {
            loop {
                let read = store.range(&head, Position::START, Consistency::Linearizable);
                let since = read.await.map_or(Position::START, |read| read.position);
                if let Ok(mut changes) = store.watch(&head, since).await {
                    while changes.next().await.is_some() {
                        let _ = self.events.send(Event::StoreChanged).await;
                    }
                }
                tokio::time::sleep(WATCH_RETRY_DELAY).await;
            }
        };
        tokio::select! {
            () = watch_head => {}
            _ = stop.changed() => {}
        }
    }
}
