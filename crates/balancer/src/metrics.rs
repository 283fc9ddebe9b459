//! The balancer's metrics.

use weirhinge_observe::{Counter, Gauge, Metrics, ReasonCounters};

/// What a balancer counts.
#[derive(Clone, Debug)]
pub struct BalancerMetrics {
    /// Packets received from the fabric.
    pub packets_in: Counter,
    /// Packets sent to agents.
    pub packets_forwarded: Counter,
    /// Packets that went to the holder named by their timestamp.
    pub packets_hinted: Counter,
    /// Packets dropped, by reason.
    pub packets_dropped: ReasonCounters,
    /// Configuration revision in force.
    pub revision: Gauge,
    /// Polls of the platform that failed or brought nothing usable, by reason.
    pub platform_errors: ReasonCounters,
}

impl BalancerMetrics {
    /// Declares all metrics.
    pub fn declare(metrics: &mut Metrics) -> Self {
        Self {
            packets_in: metrics.counter("packets_in", "Packets received"),
            packets_forwarded: metrics.counter("packets_forwarded", "Packets sent to agents"),
            packets_hinted: metrics.counter("packets_hinted", "Packets routed by holder hint"),
            packets_dropped: metrics.reason_counters("packets_dropped", "Packets dropped"),
            revision: metrics.gauge("revision", "Configuration revision in force"),
            platform_errors: metrics
                .reason_counters("platform_errors", "Platform polls without use"),
        }
    }
}
