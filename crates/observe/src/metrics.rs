//! A thin layer over `prometheus-client`: each part declares its own metrics
//! beside the code that counts them.

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
/// Factor between the bounds of neighbouring buckets.
const BUCKET_FACTOR: f64 = 4.0;
/// Number of buckets: up to about 10 seconds.
const BUCKETS: u16 = 11;

/// Collects metrics while a daemon starts; frozen into an [`Arc`] when it runs.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
}

/// Label set of a counter that is split by reason.
type ReasonLabels = Vec<(&'static str, &'static str)>;

/// A counter split by a fixed set of reasons.
#[derive(Clone, Debug)]
pub struct ReasonCounters {
    family: Family<ReasonLabels, Counter>,
}

impl ReasonCounters {
    /// Counts one occurrence for a reason.
    pub fn increment(&self, reason: &'static str) {
        self.family.get_or_create(&vec![("reason", reason)]).inc();
    }

    /// Counts several occurrences for a reason.
    pub fn add(&self, reason: &'static str, count: u64) {
        if count > 0 {
            self.family.get_or_create(&vec![("reason", reason)]).inc_by(count);
        }
    }

    /// The count for a reason.
    pub fn get(&self, reason: &'static str) -> u64 {
        self.family.get_or_create(&vec![("reason", reason)]).get()
    }
}

impl Metrics {
    /// An empty collection; every name gets the prefix `weirhinge_`.
    pub fn new() -> Self {
        Self { registry: Registry::with_prefix("weirhinge") }
    }

    /// Declares a counter.
    pub fn counter(&mut self, name: &str, help: &str) -> Counter {
        let counter = Counter::default();
        self.registry.register(name, help, counter.clone());
        counter
    }

    /// Declares a counter that counts already.
    pub fn adopt_counter(&mut self, name: &str, help: &str, counter: Counter) {
        self.registry.register(name, help, counter);
    }

    /// Declares a gauge.
    pub fn gauge(&mut self, name: &str, help: &str) -> Gauge {
        let gauge = Gauge::default();
        self.registry.register(name, help, gauge.clone());
        gauge
    }

    /// Declares a latency histogram in seconds.
    pub fn histogram(&mut self, name: &str, help: &str) -> Histogram {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKETS);
        let histogram = Histogram::new(buckets);
        self.registry.register(name, help, histogram.clone());
        histogram
    }

    /// Declares a counter that is split by reason.
    pub fn reasons(&mut self, name: &str, help: &str) -> ReasonCounters {
        let family = Family::<ReasonLabels, Counter>::default();
        self.registry.register(name, help, family.clone());
        ReasonCounters { family }
    }

    /// Ends the declarations.
    pub fn freeze(self) -> Arc<Metrics> {
        Arc::new(self)
    }

    /// All metrics in the OpenMetrics text format.
    ///
    /// # Errors
    /// When a metric cannot be written as text.
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
