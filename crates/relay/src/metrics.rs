//! Metrics of the relay's daemons.

use weirhinge_observe::{Counter, Gauge, Histogram, Metrics, ReasonCounters};

/// Metrics of a balancer.
#[derive(Clone)]
pub struct BalancerMetrics {
    /// Packets forwarded, by reason.
    pub forwarded: ReasonCounters,
    /// Flows reset, by reason.
    pub resets: ReasonCounters,
    /// Packets dropped, by reason.
    pub dropped: ReasonCounters,
    /// Searches deferred because those of other flows used up the searches' share of the link.
    pub searches_deferred: Counter,
    /// Packets handed off to other balancers.
    pub handed_off: Counter,
    /// Packets that other balancers handed off to this one.
    pub handed_in: Counter,
    /// Flows in the flow table.
    pub flows: Gauge,
    /// Seconds from an opening packet's forwarding to the agent's report that its
    /// target answered.
    pub opening_seconds: Histogram,
    /// Duration of one packet decision in seconds.
    pub decision_seconds: Histogram,
    /// Opening packets that began to wait at the balancer for capacity.
    pub openings_queued: Counter,
    /// Opening packets that wait at the balancer for capacity now.
    pub queue_length: Gauge,
    /// Seconds for which opening packets waited at the balancer until they were granted capacity.
    pub queue_seconds: Histogram,
    /// Capacity grants from agents, by whether they were used or declined.
    pub grants: ReasonCounters,
}

impl BalancerMetrics {
    /// Declares the metrics.
    pub fn declare(metrics: &mut Metrics) -> Self {
        Self {
            forwarded: metrics.reason_counters("packets_forwarded", "Packets forwarded"),
            resets: metrics.reason_counters("resets", "Flows reset"),
            dropped: metrics.reason_counters("packets_dropped", "Packets dropped"),
            searches_deferred: metrics
                .counter("searches_deferred", "Searches put off to keep the link free"),
            handed_off: metrics
                .counter("packets_handed_off", "Packets handed off to other balancers"),
            handed_in: metrics
                .counter("packets_handed_in", "Packets that other balancers handed off"),
            flows: metrics.gauge("flows", "Flows remembered"),
            opening_seconds: metrics.histogram(
                "opening_seconds",
                "Seconds from forwarding an opening packet to the target's answer",
            ),
            decision_seconds: metrics.histogram("decision_seconds", "Seconds of one decision"),
            openings_queued: metrics
                .counter("openings_queued", "Opening packets that began to wait for room"),
            queue_length: metrics.gauge("queue_length", "Opening packets that wait for room"),
            queue_seconds: metrics.histogram(
                "queue_seconds",
                "Seconds for which opening packets that found room waited",
            ),
            grants: metrics.reason_counters("room_grants", "Grants of room by agents"),
        }
    }
}

/// Metrics of an agent.
#[derive(Clone)]
pub struct AgentMetrics {
    /// Packets delivered to the target.
    pub delivered: Counter,
    /// Packets returned to balancers or passed on to other agents, by reason.
    pub returned: ReasonCounters,
    /// Opening packets that waited at the agent for capacity.
    pub openings_waited: Counter,
    /// Capacity grants sent to balancers.
    pub grants_sent: Counter,
    /// Grants that balancers declined.
    pub grants_declined: Counter,
    /// Grants that balancers did not answer in time.
    pub grants_lapsed: Counter,
    /// Balancers that request capacity.
    pub balancers_asking: Gauge,
    /// Packets from the target that were sent to clients.
    pub to_clients: Counter,
    /// Packets dropped, by reason.
    pub dropped: ReasonCounters,
    /// Flows reset because the target lost them when it restarted.
    pub flows_reset: Counter,
    /// Ejections of the target: it failed, and gets no new flows for a while.
    pub ejections: Counter,
    /// Whether the target is ejected now: 1 if so, 0 otherwise.
    pub ejected: Gauge,
    /// Requests that wait for an answer from the target.
    pub waiting: Gauge,
    /// Flows that the agent tracks.
    pub flows: Gauge,
}

impl AgentMetrics {
    /// Declares the metrics.
    pub fn declare(metrics: &mut Metrics) -> Self {
        Self {
            delivered: metrics.counter("packets_delivered", "Packets handed to the target"),
            returned: metrics.reason_counters("packets_returned", "Packets sent back to balancers"),
            openings_waited: metrics
                .counter("openings_waited", "Opening packets that waited for room"),
            grants_sent: metrics.counter("grants_sent", "Grants of room sent to balancers"),
            grants_declined: metrics
                .counter("grants_declined", "Grants that balancers had no use for"),
            grants_lapsed: metrics
                .counter("grants_lapsed", "Grants that were not answered in time"),
            balancers_asking: metrics.gauge("balancers_asking", "Balancers that ask for room"),
            to_clients: metrics.counter("packets_to_clients", "Packets sent to clients"),
            dropped: metrics.reason_counters("packets_dropped", "Packets dropped"),
            flows_reset: metrics.counter("flows_reset", "Flows that a restarted target lost"),
            ejections: metrics.counter("target_ejections", "Times that the target was ejected"),
            ejected: metrics.gauge("target_ejected", "Whether the target is ejected now"),
            waiting: metrics.gauge("requests_waiting", "Requests waiting for the target"),
            flows: metrics.gauge("flows", "Flows followed"),
        }
    }
}

/// Metrics of both roles about the known state of the fleet and the exchange with peers.
#[derive(Clone)]
pub struct FleetMetrics {
    /// Latest known store revision.
    pub revision: Gauge,
    /// Newest known era of the store.
    pub era: Gauge,
    /// Version of the configuration in effect; 0 if none is known.
    pub configuration: Gauge,
    /// Milliseconds since the store confirmed the known state; -1 if it never did.
    pub age_ms: Gauge,
    /// 1 if the daemon knows the targets that were removed from the store recently, otherwise 0.
    pub knows_removed_targets: Gauge,
    /// Other balancers that this daemon knows.
    pub balancers: Gauge,
    /// Evacuated zones: their targets get no new flows.
    pub zones_evacuated: Gauge,
    /// Fetches from peers, by outcome.
    pub fetches: ReasonCounters,
    /// Responses to peers' fetches, by outcome.
    pub responses: ReasonCounters,
    /// Duration of one fetch from a peer in seconds.
    pub fetch_seconds: Histogram,
    /// Datagrams from peers that were refused, and messages to peers that could not be sent, by
    /// reason.
    pub refused: ReasonCounters,
}

impl FleetMetrics {
    /// Declares the metrics.
    pub fn declare(metrics: &mut Metrics) -> Self {
        Self {
            revision: metrics.gauge("store_revision", "Store revision known"),
            era: metrics.gauge("store_era", "How often the store came back from a copy"),
            configuration: metrics.gauge("configuration_version", "Configuration in force"),
            age_ms: metrics.gauge("store_age_ms", "Milliseconds since the store's confirmation"),
            knows_removed_targets: metrics
                .gauge("removed_targets_known", "Whether recently removed targets are known"),
            balancers: metrics.gauge("balancers_known", "Other balancers known"),
            zones_evacuated: metrics
                .gauge("zones_evacuated", "Zones whose targets get no new flows"),
            fetches: metrics.reason_counters("peer_fetches", "Fetches from peers"),
            responses: metrics
                .reason_counters("peer_fetch_responses", "Responses to peers' fetches"),
            fetch_seconds: metrics.histogram("peer_fetch_seconds", "Seconds of one fetch"),
            refused: metrics.reason_counters("peer_messages_refused", "Datagrams of peers refused"),
        }
    }
}

/// Metrics of the store reader.
#[derive(Clone)]
pub struct StoreMetrics {
    /// Calls to the store.
    pub calls: Counter,
    /// Failed calls to the store.
    pub failures: Counter,
    /// Items that could not be used, by reason. An item counts once as long as it is unchanged.
    pub rejected_items: ReasonCounters,
    /// Listings of all items, by reason.
    pub listings: ReasonCounters,
    /// Duration of one call in seconds, including the wait of a watch.
    pub call_seconds: Histogram,
}

impl StoreMetrics {
    /// Declares the metrics.
    pub fn declare(metrics: &mut Metrics) -> Self {
        Self {
            calls: metrics.counter("store_calls", "Calls to the store"),
            failures: metrics.counter("store_failures", "Failed calls to the store"),
            rejected_items: metrics
                .reason_counters("store_items_refused", "Unusable items of the store"),
            listings: metrics.reason_counters("store_listings", "Listings of the whole store"),
            call_seconds: metrics.histogram("store_call_seconds", "Seconds of one store call"),
        }
    }
}
