//! The agent's metrics.

use weirhinge_observe::{Counter, Gauge, Metrics, ReasonCounters};

/// Counters and gauges of an agent.
#[derive(Clone, Debug)]
pub(crate) struct AgentMetrics {
    /// Messages received from balancers and agents.
    pub(crate) messages_in: Counter,
    /// Packets dropped, by reason.
    pub(crate) packets_dropped: ReasonCounters,
    /// Packets passed on to another agent, by reason.
    pub(crate) packets_passed_on: ReasonCounters,
    /// Packets and messages that the kernel did not accept for sending.
    pub(crate) packets_unsent: Counter,
    /// Bytes of control messages sent to other agents.
    pub(crate) control_bytes: Counter,
    /// Opening packets handled as standby owner because the owner did not claim them.
    pub(crate) standby_acted: Counter,
    /// Opening packets admitted here because no candidate claimed them.
    pub(crate) offers_unclaimed: Counter,
    /// Flows held.
    pub(crate) flows_open: Gauge,
    /// Flows whose handshake completed.
    pub(crate) flows_opened: Counter,
    /// Flows refused before anything reached a back end, by reason.
    pub(crate) flows_refused: ReasonCounters,
    /// Flows that ended, by the way in which they ended.
    pub(crate) flows_ended: ReasonCounters,
    /// Flows broken by this process: the back end failed, or the deadline of a graceful shutdown
    /// passed.
    pub(crate) flows_broken: Counter,
    /// Flows that wait for an answer of the back end.
    pub(crate) in_flight: Gauge,
    /// Configuration revision in effect.
    pub(crate) revision: Gauge,
    /// Polls of the platform that failed or returned no usable document, by reason.
    pub(crate) platform_errors: ReasonCounters,
}

impl AgentMetrics {
    pub(crate) fn declare(metrics: &mut Metrics) -> Self {
        Self {
            messages_in: metrics.counter("messages_in", "Messages received"),
            packets_dropped: metrics.reason_counters("packets_dropped", "Packets dropped"),
            packets_passed_on: metrics
                .reason_counters("packets_passed_on", "Packets sent to agents"),
            packets_unsent: metrics.counter("packets_unsent", "Packets the kernel did not take"),
            control_bytes: metrics.counter("control_bytes", "Control bytes sent to agents"),
            standby_acted: metrics.counter("standby_acted", "Packets handled for a silent owner"),
            offers_unclaimed: metrics.counter("offers_unclaimed", "Offers that nobody claimed"),
            flows_open: metrics.gauge("flows_open", "Flows held"),
            flows_opened: metrics.counter("flows_opened", "Flows whose handshake completed"),
            flows_refused: metrics
                .reason_counters("flows_refused", "Flows refused before they ran"),
            flows_ended: metrics.reason_counters("flows_ended", "Flows ended"),
            flows_broken: metrics.counter("flows_broken", "Flows cut by this process"),
            in_flight: metrics.gauge("in_flight", "Flows that wait for an answer"),
            revision: metrics.gauge("revision", "Configuration revision in force"),
            platform_errors: metrics
                .reason_counters("platform_errors", "Platform polls without use"),
        }
    }
}
