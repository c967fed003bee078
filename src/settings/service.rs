//! Runs the spread of settings in a daemon: calls the store and peers, and publishes the result.

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
    InForce, Plan,
    first::{PULL_PATH, RegionPull, first_parts},
    layout::Layout,
    operator,
    spread::{Action, Event, Page, Pull, Spread},
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
    store::{Store, StoreError},
};

/// Path on which a process hears of a peer's new revision.
const HINT_PATH: &str = "/settings/hint";

const TICK_INTERVAL: Duration = Duration::from_millis(50);
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
const WATCH_PAUSE: Duration = Duration::from_secs(1);
const EVENTS: usize = 64;

/// Starts the spread of settings.
///
/// # Errors
///
/// Fails if a service that it needs is not published.
pub async fn start(
    kernel: &Kernel,
    tree: &Region,
    seeds: &[SocketAddrV4],
    store: Option<Arc<dyn Store>>,
    client: ControlClient,
) -> Result<(), KernelError> {
    let local: Arc<LocalRecord> = kernel.find(LocalRecord::NAME)?;
    let own = local.get();
    let mut spread = Spread::new(
        tree.clone(),
        own.address,
        &own.domain,
        store.is_some(),
        rand::random(),
    );
    let parts = first_parts(&client, seeds, store.as_deref(), &tree.region).await;
    if let Err(fault) = spread.adopt(&parts) {
        tracing::error!(
            event = "settings_refused",
            path = fault.path,
            expected = fault.expected
        );
    }
    let spread = Arc::new(Mutex::new(spread));
    let control: Arc<ControlServer> = kernel.find(ControlServer::NAME)?;
    let (sender, events) = mpsc::channel(EVENTS);
    serve(&control, &spread, &sender, tree.region.clone());
    let service = Service {
        clock: kernel.clock(),
        calls: Calls {
            client,
            events: sender,
            layout: Layout::new(&tree.region),
            region: tree.region.clone(),
            store,
        },
        directory: kernel.find(Directory::NAME)?,
        in_force: kernel.find(InForce::NAME)?,
        local,
        metrics: kernel.find(Metrics::NAME)?,
        own: own.control,
        seen: Seen::new(&*kernel.find(Metrics::NAME)?),
        spread,
        duty: None,
    };
    service.publish(parts.len());
    kernel.spawn(service.run(events));
    Ok(())
}

/// Answers peers; a peer of another region gets nothing.
fn serve(
    control: &ControlServer,
    spread: &Arc<Mutex<Spread>>,
    events: &mpsc::Sender<Event>,
    region: String,
) {
    let spread = spread.clone();
    control.add_handler(PULL_PATH, move |(other, pull): RegionPull| {
        let page = if other == region {
            spread.lock().expect("spread lock").answer(&pull)
        } else {
            Page {
                foreign: true,
                ..Page::default()
            }
        };
        Box::pin(async move { page })
    });
    let events = events.clone();
    control.add_handler(HINT_PATH, move |(peer, revision): (SocketAddrV4, u64)| {
        let events = events.clone();
        Box::pin(async move { events.send(Event::Hinted(peer, revision)).await.is_ok() })
    });
}

/// Metrics of the spread.
struct Seen {
    older: Counter,
    reachable: Gauge,
    refused: Counter,
    relay: Gauge,
    store_calls: Counter,
}

impl Seen {
    fn new(metrics: &Metrics) -> Self {
        let seen = Self {
            older: Counter::default(),
            reachable: Gauge::default(),
            refused: Counter::default(),
            relay: Gauge::default(),
            store_calls: Counter::default(),
        };
        seen.reachable.set(1);
        metrics.register(
            "settings_store_older",
            "Times that the store held older settings than those in force",
            seen.older.clone(),
        );
        metrics.register(
            "settings_store_reachable",
            "Whether the store answered the last call; 1 where no call is made",
            seen.reachable.clone(),
        );
        metrics.register(
            "settings_refused",
            "Trees or values that were refused because they are not valid",
            seen.refused.clone(),
        );
        metrics.register(
            "settings_relay",
            "Whether this process watches the store for others",
            seen.relay.clone(),
        );
        metrics.register(
            "settings_store_calls",
            "Calls to the store for settings",
            seen.store_calls.clone(),
        );
        seen
    }
}

/// The tasks of a relay; dropping it ends them.
struct Duty {
    tasks: Vec<JoinHandle<()>>,
    _stop: watch::Sender<()>,
}

impl Drop for Duty {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

struct Service {
    clock: Clock,
    calls: Calls,
    directory: Arc<Directory>,
    duty: Option<Duty>,
    in_force: Arc<InForce>,
    local: Arc<LocalRecord>,
    metrics: Arc<Metrics>,
    own: SocketAddrV4,
    seen: Seen,
    spread: Arc<Mutex<Spread>>,
}

impl Service {
    async fn run(mut self, mut events: mpsc::Receiver<Event>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut changes = self.directory.changes();
        loop {
            let actions = tokio::select! {
                _ = ticks.tick() => self.handle(Event::Tick),
                Some(event) = events.recv() => self.handle(event),
                Ok(()) = changes.changed() => self.meet(),
            };
            for action in actions {
                self.perform(action);
            }
        }
    }

    fn handle(&self, event: Event) -> VecDeque<Action> {
        let now = self.clock.now();
        self.spread.lock().expect("spread lock").handle(event, now)
    }

    fn meet(&self) -> VecDeque<Action> {
        let view = self.directory.view();
        let now = self.clock.now();
        self.spread.lock().expect("spread lock").meet(&view, now)
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Publish(changed) => self.publish(changed.len()),
            Action::Watch(on) => self.take_duty(on),
            Action::Refused(fault) => {
                self.seen.refused.inc();
                tracing::error!(
                    event = "settings_refused",
                    path = fault.path,
                    expected = fault.expected
                );
            }
            Action::Damaged(keys) => {
                self.seen.refused.inc();
                tracing::error!(event = "settings_damaged", keys = ?keys);
            }
            Action::StoreOlder { revision, lost } => {
                self.seen.older.inc();
                tracing::error!(event = "settings_store_older", revision, lost);
            }
            Action::StoreReachable(reachable) => {
                self.seen.reachable.set(i64::from(reachable));
                tracing::warn!(event = "settings_store", reachable);
            }
            Action::Hint(peers, revision) => {
                for peer in peers {
                    tokio::spawn(self.calls.clone().hint(peer, self.own, revision));
                }
            }
            call => {
                let to_store = !matches!(call, Action::Pull(..));
                self.seen.store_calls.inc_by(u64::from(to_store));
                tokio::spawn(self.calls.clone().make(call));
            }
        }
    }

    fn publish(&self, changed: usize) {
        let (tree, revision) = {
            let spread = self.spread.lock().expect("spread lock");
            let holdings = spread.holdings();
            (holdings.tree().clone(), holdings.revision())
        };
        if !self.in_force.advance(Plan::resolve(tree, revision)) {
            return;
        }
        self.local.update(|record| record.revision = revision);
        self.metrics.settings_revision.set(revision as i64);
        tracing::info!(event = "settings_in_force", revision, changed);
    }

    fn take_duty(&mut self, on: bool) {
        self.duty = None;
        self.seen.relay.set(i64::from(on));
        tracing::info!(event = "settings_relay", on);
        let Some(store) = self.calls.store.clone().filter(|_| on) else {
            return;
        };
        let (stop, _) = watch::channel(());
        let key = self.calls.layout.seed(self.own);
        self.duty = Some(Duty {
            tasks: vec![
                tokio::spawn(self.calls.clone().watch(stop.subscribe())),
                tokio::spawn(maintain_seed(store, key, self.own)),
            ],
            _stop: stop,
        });
    }
}

/// Makes the calls of the state machine and reports how they end.
#[derive(Clone)]
struct Calls {
    client: ControlClient,
    events: mpsc::Sender<Event>,
    layout: Layout,
    region: String,
    store: Option<Arc<dyn Store>>,
}

impl Calls {
    async fn make(self, action: Action) {
        let event = match (action, &self.store) {
            (Action::Pull(peer, pull), _) => self.pull(peer, pull).await,
            (action, Some(store)) => match self.call(store.as_ref(), action).await {
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

    async fn hint(self, peer: SocketAddrV4, own: SocketAddrV4, revision: u64) {
        let message = (own, revision);
        let told: Result<bool, _> = self
            .client
            .post(peer, HINT_PATH, &message, PULL_TIMEOUT)
            .await;
        // A peer that was not told hears it from the records or from another peer.
        let _ = told;
    }

    async fn pull(&self, peer: SocketAddrV4, pull: Pull) -> Event {
        let message: RegionPull = (self.region.clone(), pull);
        let page = self.client.post(peer, PULL_PATH, &message, PULL_TIMEOUT);
        page.await.map_or(Event::PullFailed, Event::Pulled)
    }

    async fn call(&self, store: &dyn Store, action: Action) -> Result<Event, StoreError> {
        let layout = &self.layout;
        Ok(match action {
            Action::ReadHead => {
                let stored = layout.read(&store.range(&layout.head(), 0).await?);
                Event::Head(stored.head_version, stored.head)
            }
            Action::ReadParts(since) => {
                let snapshot = store.range(&layout.tree(), since).await?;
                Event::Parts(since, layout.read(&snapshot))
            }
            Action::WriteBack(proposal) => {
                Event::WroteBack(operator::write(store, layout, &proposal).await?)
            }
            _ => Event::Tick,
        })
    }

    /// Reports each change of the head; opens the watch again when it ends.
    async fn watch(self, mut stop: watch::Receiver<()>) {
        let Some(store) = self.store.clone() else {
            return;
        };
        let head = self.layout.head();
        let follow = async {
            loop {
                let seen = store.range(&head, 0).await.map_or(0, |s| s.revision);
                if let Ok(mut changes) = store.watch(&head, seen).await {
                    while changes.next().await.is_some() {
                        let _ = self.events.send(Event::StoreChanged).await;
                    }
                }
                tokio::time::sleep(WATCH_PAUSE).await;
            }
        };
        tokio::select! {
            () = follow => {}
            _ = stop.changed() => {}
        }
    }
}
