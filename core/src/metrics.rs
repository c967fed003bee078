//! Metrics of one process, in the OpenMetrics text format.

use std::sync::Mutex;

use prometheus_client::{
    encoding::text::encode,
    metrics::{counter::Counter, family::Family, gauge::Gauge},
    registry::{Metric, Registry},
};

/// A label that tells the cases of one counter apart.
pub type Labels = [(&'static str, &'static str); 1];

/// A counter with one label.
pub type Cases = Family<Labels, Counter>;

/// The metrics of one process, under the name [`Metrics::NAME`].
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    /// Datagrams routed, by reason.
    pub routed: Cases,
    /// Datagrams dropped, by reason.
    pub dropped: Cases,
    /// Requests ended, by outcome.
    pub requests: Cases,
    /// Revision of the settings in force.
    pub revision: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("berylvalve")),
            routed: Cases::default(),
            dropped: Cases::default(),
            requests: Cases::default(),
            revision: Gauge::default(),
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
            metrics.revision.clone(),
        );
        metrics
    }
}

impl Metrics {
    /// Name of the service in the kernel's registry.
    pub const NAME: &'static str = "metrics";

    /// Adds a metric to what is shown.
    pub fn register(&self, name: &str, help: &str, metric: impl Metric) {
        let mut registry = self.registry.lock().expect("registry lock");
        registry.register(name, help, metric);
    }

    /// Counts a routed datagram.
    pub fn count_route(&self, reason: &'static str) {
        self.routed.get_or_create(&[("reason", reason)]).inc();
    }

    /// Counts a dropped datagram.
    pub fn count_drop(&self, reason: &'static str) {
        self.dropped.get_or_create(&[("reason", reason)]).inc();
    }

    /// Counts an ended request.
    pub fn count_request(&self, outcome: &'static str) {
        self.requests.get_or_create(&[("outcome", outcome)]).inc();
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let registry = self.registry.lock().expect("registry lock");
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &registry);
        text
    }
}
