//! Sends a site's mix to a running fleet and reports what came of it.

use std::{sync::atomic::Ordering, time::Duration};

use rustls::pki_types::CertificateDer;
use serde::Serialize;
use tokio::time::{Instant, sleep_until};

use crate::{
    config::site::Site,
    dev::{
        DevError, Faults, RunOptions,
        mix::{Mix, Seen},
        tally::Tally,
    },
};

const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which open requests may end after the last one was sent.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// What is sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadOptions {
    /// Time in which requests are sent.
    pub time: Duration,
    /// Factor on the rates of the site's mix.
    pub rate: f64,
    /// Seed of the gaps between requests.
    pub seed: u64,
}

/// What came of a load.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered by a backend server.
    pub answered: u64,
    /// Requests refused without running.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Requests without a word by their deadline.
    pub lost: u64,
    /// Feeds held open.
    pub flows: u64,
    /// Feeds that ended, fell silent or lost events.
    pub broken_flows: u64,
    /// Median time to an answer, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of the time to an answer, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of the time to an answer, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the time to an answer, in milliseconds.
    pub p999_ms: f64,
}

impl LoadReport {
    /// Returns what was seen so far.
    fn of(seen: &Seen) -> Self {
        let tally = Tally::of(&seen.requests.lock().expect("requests lock"));
        Self {
            sent: tally.sent,
            answered: tally.answered,
            refused: tally.refused,
            unknown: tally.unknown,
            lost: tally.lost,
            flows: seen.flows.load(Ordering::Relaxed),
            broken_flows: seen.broken.load(Ordering::Relaxed),
            p50_ms: tally.answer_ms(0.5),
            p90_ms: tally.answer_ms(0.9),
            p99_ms: tally.answer_ms(0.99),
            p999_ms: tally.answer_ms(0.999),
        }
    }
}

/// Sends the mix of a site, calling `progress` every second.
///
/// # Errors
///
/// Fails if no socket can be opened.
pub async fn run(
    site: &Site,
    roots: &[CertificateDer<'static>],
    options: LoadOptions,
    mut progress: impl FnMut(&LoadReport),
) -> Result<LoadReport, DevError> {
    let mut site = site.clone();
    for entry in &mut site.mix {
        entry.rate *= options.rate;
    }
    let run = RunOptions {
        time: options.time,
        faults: Faults::None,
        seed: options.seed,
        load: None,
    };
    let mix = Mix::start(&site, &site.tree, roots, run).await?;
    let end = Instant::now() + options.time;
    while Instant::now() < end {
        sleep_until(end.min(Instant::now() + PROGRESS_INTERVAL)).await;
        progress(&LoadReport::of(mix.seen()));
    }
    let seen = mix.finish(SETTLE_TIME).await;
    Ok(LoadReport::of(&seen))
}
