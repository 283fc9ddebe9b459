//! The balancer's metrics.

use weirhinge_observe::{Counter, Gauge, Metrics, ReasonCounters};

/// Counters and gauges of a balancer.
#[derive(Clone, Debug)]
pub struct BalancerMetrics {
    /// Packets received from the fabric.
    pub packets_in: Counter,
    /// Packets sent to agents.
    pub packets_forwarded: Counter,
    /// Packets routed by their holder hint.
    pub packets_hinted: Counter,
    /// Packets dropped, by reason.
    pub packets_dropped: ReasonCounters,
    /// Configuration revision in effect.
    pub revision: Gauge,
    /// Polls of the platform that failed or returned no usable document, by reason.
    pub platform_errors: ReasonCounters,
}

impl BalancerMetrics {
    /// Registers all metrics of a balancer.
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
