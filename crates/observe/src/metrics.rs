//! A thin layer over `prometheus-client`. Each component registers its own metrics next to the
//! code that updates them.

use std::sync::Arc;

use eyre::WrapErr;
pub use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
pub use prometheus_client::metrics::gauge::Gauge;
pub use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

/// Upper bound of a latency histogram's first bucket, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.000_01;
/// Ratio of the upper bounds of adjacent buckets.
const BUCKET_FACTOR: f64 = 4.0;
/// Number of buckets; the last upper bound is about 10 seconds.
const BUCKET_COUNT: u16 = 11;

/// Registry of a daemon's metrics: filled while the daemon starts, then frozen into an [`Arc`].
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
}

/// Label set with the single label `reason`.
type ReasonLabels = Vec<(&'static str, &'static str)>;

/// A family of counters with the label `reason`, which takes a fixed set of values.
#[derive(Clone, Debug)]
pub struct ReasonCounters {
    family: Family<ReasonLabels, Counter>,
}

impl ReasonCounters {
    /// Adds 1 to the counter of `reason`.
    pub fn increment(&self, reason: &'static str) {
        self.family.get_or_create(&vec![("reason", reason)]).inc();
    }

    /// Adds `count` to the counter of `reason`; 0 creates no counter.
    pub fn add(&self, reason: &'static str, count: u64) {
        if count > 0 {
            self.family.get_or_create(&vec![("reason", reason)]).inc_by(count);
        }
    }

    /// Returns the count of `reason`.
    pub fn get(&self, reason: &'static str) -> u64 {
        self.family.get_or_create(&vec![("reason", reason)]).get()
    }
}

impl Metrics {
    /// Creates an empty registry; every metric name gets the prefix `weirhinge_`.
    pub fn new() -> Self {
        Self { registry: Registry::with_prefix("weirhinge") }
    }

    /// Registers a new counter.
    pub fn counter(&mut self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry.register(name, help, counter.clone());
        counter
    }

    /// Registers an existing counter.
    pub fn register_counter(&mut self, name: &str, help: &str, counter: Counter) {
        self.registry.register(name, help, counter);
    }

    /// Registers a new gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// Registers a new latency histogram in seconds.
    pub fn histogram(&mut self, name: &str, help: &str) -> Histogram {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT);
        let histogram = Histogram::new(buckets);
        self.registry.register(name, help, histogram.clone());
        histogram
    }

    /// Registers a new family of counters with the label `reason`.
    pub fn reason_counters(&mut self, name: &str, help: &str) -> ReasonCounters {
        let family = Family::<ReasonLabels, Counter>::default();
        self.registry.register(name, help, family.clone());
        ReasonCounters { family }
    }

    /// Ends the registration of metrics.
    pub fn freeze(self) -> Arc<Metrics> {
        Arc::new(self)
    }

    /// Encodes all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// Returns an error if a metric cannot be encoded as text.
    pub fn encode(&self) -> eyre::Result<String> {
        let mut text = String::new();
        prometheus_client::encoding::text::encode(&mut text, &self.registry)
            .wrap_err("encode metrics")?;
        Ok(text)
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}
