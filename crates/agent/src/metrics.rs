//! The agent's metrics.

use weirhinge_observe::{Counter, Gauge, Metrics, ReasonCounters};

/// What an agent counts.
#[derive(Clone, Debug)]
pub(crate) struct AgentMetrics {
    /// Messages received from balancers and agents.
    pub(crate) messages_in: Counter,
    /// Packets dropped, by reason.
    pub(crate) packets_dropped: ReasonCounters,
    /// Packets passed on to another agent, by reason.
    pub(crate) packets_passed_on: ReasonCounters,
    /// Packets that the fabric's socket did not take.
    pub(crate) packets_unsent: Counter,
    /// Bytes of control messages sent to other agents.
    pub(crate) control_bytes: Counter,
    /// Opening packets handled in the place of a silent owner.
    pub(crate) standby_acted: Counter,
    /// Opening packets admitted here because no candidate claimed them.
    pub(crate) offers_unclaimed: Counter,
    /// Flows held.
    pub(crate) flows_open: Gauge,
    /// Flows whose handshake completed.
    pub(crate) flows_opened: Counter,
    /// Flows refused before anything reached a back end, by reason.
    pub(crate) flows_refused: ReasonCounters,
    /// Flows that ended, by how.
    pub(crate) flows_ended: ReasonCounters,
    /// Flows cut by this process: back end gone, deadline of a planned stop.
    pub(crate) flows_broken: Counter,
    /// Flows that wait for an answer.
    pub(crate) in_flight: Gauge,
    /// Configuration revision in force.
    pub(crate) revision: Gauge,
    /// Polls of the platform that failed or brought nothing usable, by reason.
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
