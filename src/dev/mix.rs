//! The callers of a site: feeds held open, and requests at a rate.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::Method;
use quinn::Endpoint;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rustls::pki_types::CertificateDer;
use snafu::ResultExt;
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, sleep_until, timeout},
};

use super::{ClientSnafu, DevError, Load, RunOptions};
use crate::{
    agent::reply::Outcome,
    caller::{Call, Caller, client_endpoint},
    config::{
        site::{MixEntry, Site},
        tree::Region,
    },
    standin::body::answer_body,
};

const ENDPOINTS: usize = 8;
/// Connections of each service's callers for each backend server, when a load is given.
const CALLERS_PER_SERVER: usize = 50;
/// Connections opened at once before a load is sent.
const CONNECTS_AT_ONCE: usize = 10;
/// A burst sends this many times the mean rate for one part in as many of each period.
const BURST_FACTOR: u32 = 5;
const BURST_PERIOD: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const FEED_SILENCE: Duration = Duration::from_secs(3);
const FEED_RETRY: Duration = Duration::from_millis(100);

/// What became of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Name of the request.
    pub id: String,
    /// Service that it was meant for.
    pub service: String,
    /// Whether it must run at most once.
    pub once: bool,
    /// Its end; `None` if no word came by its deadline.
    pub outcome: Option<Outcome>,
    /// Whether the whole body was the right one.
    pub intact: bool,
    /// Time to the end.
    pub latency: Duration,
    /// Rank of the request under overload.
    pub priority: u8,
}

/// What all callers saw.
#[derive(Debug, Default)]
pub struct Seen {
    /// Requests by end.
    pub requests: Mutex<Vec<Observed>>,
    /// Feeds opened.
    pub flows: AtomicU64,
    /// Feeds that ended or lost events.
    pub broken: AtomicU64,
}

/// Running callers.
#[derive(Debug)]
pub struct Mix {
    seen: Arc<Seen>,
    stop: watch::Sender<()>,
    tasks: JoinSet<()>,
}

struct Source {
    burst: bool,
    callers: Vec<Arc<Caller>>,
    entry: MixEntry,
    idempotent: bool,
    method: Method,
    path: String,
    pool: Vec<Arc<Caller>>,
    priority: u8,
    seen: Arc<Seen>,
}

impl Mix {
    /// Starts the callers.
    ///
    /// # Errors
    ///
    /// Fails if no socket can be opened.
    pub async fn start(
        site: &Site,
        tree: &Region,
        roots: &[CertificateDer<'static>],
        options: RunOptions,
    ) -> Result<Self, DevError> {
        let seen = Arc::new(Seen::default());
        let (stop, _) = watch::channel(());
        let mut tasks = JoinSet::new();
        let mut endpoints = Vec::with_capacity(ENDPOINTS);
        for _ in 0..ENDPOINTS {
            endpoints.push(client_endpoint(roots).context(ClientSnafu)?);
        }
        for (index, entry) in site.mix.iter().enumerate() {
            let mut source = source(tree, &endpoints, entry, &seen);
            if let Some(load) = &options.load {
                source.apply(load, site);
                source.connect_ahead().await;
            }
            let source = Arc::new(source);
            let seed = options.seed.wrapping_mul(1000) + index as u64;
            if entry.open > 0 {
                for _ in 0..entry.open {
                    tasks.spawn(hold_feed(
                        source.clone(),
                        endpoints.clone(),
                        stop.subscribe(),
                    ));
                }
                continue;
            }
            let random = SmallRng::seed_from_u64(seed);
            tasks.spawn(send_requests(
                source,
                endpoints.clone(),
                random,
                stop.subscribe(),
            ));
        }
        Ok(Self { seen, stop, tasks })
    }

    /// Returns what was seen so far.
    pub fn seen(&self) -> &Seen {
        &self.seen
    }

    /// Sends nothing new, waits for what is open, and returns what was seen.
    pub async fn finish(mut self, settle: Duration) -> Arc<Seen> {
        drop(self.stop);
        let _ = timeout(settle, async {
            while self.tasks.join_next().await.is_some() {}
        })
        .await;
        self.seen
    }
}

fn source(tree: &Region, endpoints: &[Endpoint], entry: &MixEntry, seen: &Arc<Seen>) -> Source {
    let plans = tree.request_types(&entry.service);
    let plan = plans
        .iter()
        .find(|plan| plan.name == entry.request)
        .expect("checked mix");
    let target = tree.services[&entry.service].address;
    let mut callers = Vec::with_capacity(endpoints.len());
    for endpoint in endpoints {
        callers.push(Arc::new(Caller::with_endpoint(
            endpoint.clone(),
            target,
            &entry.service,
        )));
    }
    Source {
        burst: false,
        callers,
        entry: entry.clone(),
        idempotent: plan.idempotent,
        method: plan.method.parse().expect("checked method"),
        path: plan.path.clone(),
        pool: Vec::new(),
        priority: plan.priority,
        seen: seen.clone(),
    }
}

impl Source {
    /// Returns a caller with no open connection.
    fn new_caller(&self, number: usize) -> Arc<Caller> {
        Arc::new(self.callers[number % self.callers.len()].fresh())
    }

    /// Returns the caller of a request: one that stays connected if there are any.
    fn caller(&self, number: usize) -> Arc<Caller> {
        match self.pool.get(number % self.pool.len().max(1)) {
            Some(caller) => caller.clone(),
            None => self.new_caller(number),
        }
    }

    /// Sends a share of what the servers can carry, over connections that stay open.
    fn apply(&mut self, load: &Load, site: &Site) {
        let same = |entry: &&MixEntry| entry.service == self.entry.service;
        let total: f64 = site.mix.iter().filter(same).map(|entry| entry.rate).sum();
        let mut groups = site.servers.iter();
        let Some(group) = groups.find(|g| g.service == self.entry.service) else {
            return;
        };
        let rates = group.service_ms.iter().map(|ms| 1000.0 / *ms as f64);
        let capacity = rates.sum::<f64>() * f64::from(group.slots);
        self.burst = load.burst;
        if total > 0.0 {
            self.entry.rate *= capacity * load.factor / total;
        }
        for number in 0..CALLERS_PER_SERVER * group.service_ms.len() {
            let caller = self.new_caller(number);
            self.pool.push(caller);
        }
    }

    /// Opens the connections that stay open.
    async fn connect_ahead(&self) {
        for callers in self.pool.chunks(CONNECTS_AT_ONCE) {
            let opened = callers.iter().map(|caller| caller.connect_ahead());
            futures::future::join_all(opened).await;
        }
    }

    /// Returns the mean gap between two requests now, in seconds.
    fn mean_gap(&self, since: Duration) -> f64 {
        let gap = 1.0 / self.entry.rate;
        let loud = BURST_PERIOD / BURST_FACTOR;
        let within = Duration::from_millis((since.as_millis() % BURST_PERIOD.as_millis()) as u64);
        match self.burst {
            false => gap,
            true if within < loud => gap / f64::from(BURST_FACTOR),
            true => (BURST_PERIOD - within).as_secs_f64(),
        }
    }
}

async fn send_requests(
    source: Arc<Source>,
    _endpoints: Vec<Endpoint>,
    mut random: SmallRng,
    mut stop: watch::Receiver<()>,
) {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    let start = Instant::now();
    let mut due = start;
    loop {
        // Exponential gaps make a Poisson process.
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() * source.mean_gap(due - start));
        tokio::select! {
            _ = stop.changed() => break,
            () = sleep_until(due) => {}
        }
        number += 1;
        tasks.spawn(send_one(source.clone(), number));
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
}

async fn send_one(source: Arc<Source>, number: usize) {
    let id = format!("{}-{}-{number}", source.entry.service, source.entry.request);
    let caller = source.caller(number);
    let start = Instant::now();
    let call = Call {
        method: source.method.clone(),
        path: source.path.clone(),
        id: id.clone(),
        body: if source.idempotent {
            Bytes::new()
        } else {
            Bytes::from(id.clone())
        },
        deadline: start + CALL_TIMEOUT,
        idempotent: source.idempotent,
    };
    let reply = caller.call(&call).await;
    let expected = answer_body(&id, source.entry.answer_bytes);
    let observed = Observed {
        service: source.entry.service.clone(),
        once: !source.idempotent,
        outcome: reply.as_ref().map(|r| r.outcome),
        intact: reply
            .as_ref()
            .is_none_or(|r| r.outcome != Outcome::Answered || r.body == expected),
        latency: start.elapsed(),
        priority: source.priority,
        id,
    };
    source
        .seen
        .requests
        .lock()
        .expect("requests lock")
        .push(observed);
    if source.pool.is_empty() {
        caller.disconnect().await;
    }
}

async fn hold_feed(source: Arc<Source>, endpoints: Vec<Endpoint>, mut stop: watch::Receiver<()>) {
    let number = source.seen.flows.fetch_add(1, Ordering::Relaxed) as usize % endpoints.len();
    let caller = source.new_caller(number);
    tokio::select! {
        _ = stop.changed() => {}
        () = follow(&source, &caller) => {}
    }
    caller.disconnect().await;
}

/// Follows a feed for ever; an end, a silence or a gap counts as a broken flow.
async fn follow(source: &Source, caller: &Arc<Caller>) {
    let mut last: Option<u64> = None;
    loop {
        let Ok(mut feed) = caller.feed(&source.path, last).await else {
            sleep(FEED_RETRY).await;
            continue;
        };
        while let Ok(Some(event)) = timeout(FEED_SILENCE, feed.next()).await {
            if last.is_some_and(|last| event.id != last + 1) {
                source.seen.broken.fetch_add(1, Ordering::Relaxed);
            }
            last = Some(event.id);
        }
        source.seen.broken.fetch_add(1, Ordering::Relaxed);
    }
}

/// Returns the requests by name.
pub fn by_id(requests: &[Observed]) -> HashMap<&str, &Observed> {
    requests.iter().map(|r| (r.id.as_str(), r)).collect()
}
