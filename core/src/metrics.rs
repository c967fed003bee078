//! Metrics of one process, in the OpenMetrics text format.

use std::sync::Mutex;

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Metric, Registry},
};

/// Name and value of the one label of a metric family.
pub type Label = [(&'static str, &'static str); 1];

/// Counters that differ in the value of one label.
pub type CounterFamily = Family<Label, Counter>;

/// The metrics of one process, published in the kernel under [`Metrics::NAME`].
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Datagrams routed, by the reason for the routing decision.
    pub routed: CounterFamily,
    /// Datagrams dropped, by the reason for dropping them.
    pub dropped: CounterFamily,
    /// Requests that have ended, by outcome.
    pub requests: CounterFamily,
    /// Revision of the settings in force.
    pub settings_revision: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("berylvalve")),
            routed: CounterFamily::default(),
            dropped: CounterFamily::default(),
            requests: CounterFamily::default(),
            settings_revision: Gauge::default(),
        };
        metrics.register(
            "datagrams_routed",
            "Datagrams routed",
            metrics.routed.clone(),
        );
        metrics.register(
            "datagrams_dropped",
            "Datagrams dropped",
            metrics.dropped.clone(),
        );
        metrics.register("requests", "Requests ended", metrics.requests.clone());
        metrics.register(
            "settings_revision",
            "Settings in force",
            metrics.settings_revision.clone(),
        );
        metrics
    }
}

impl Metrics {
    /// Name of the metrics in the kernel's registry.
    pub const NAME: &'static str = "metrics";

    /// Adds a metric to the output of [`Metrics::text`]; its name there has the prefix `berylvalve_`.
    pub fn register(&self, name: &str, help: &str, metric: impl Metric) {
        let mut registry = self.registry.lock().expect("metrics lock");
        registry.register(name, help, metric);
    }

    /// Counts a routed datagram under the label value `reason`.
    pub fn count_routed(&self, reason: &'static str) {
        self.routed.get_or_create(&[("reason", reason)]).inc();
    }

    /// Counts a dropped datagram under the label value `reason`.
    pub fn count_dropped(&self, reason: &'static str) {
        self.dropped.get_or_create(&[("reason", reason)]).inc();
    }

    /// Counts a request that has ended under the label value `outcome`.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&[("outcome", outcome)]).inc();
    }

    /// Returns all registered metrics in the OpenMetrics text format.
    pub fn text(&self) -> String {
        let registry = self.registry.lock().expect("metrics lock");
        let mut text = String::new();
        // Writing to a `String` never fails.
        let _ = encode(&mut text, &registry);
        text
    }
}
