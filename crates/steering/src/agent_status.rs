//! Tracks what a balancer learns about each agent from the agent's own messages.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ServiceId, TargetLoad, TargetStatus, ZoneId};

use crate::view::Candidate;

/// An agent that leaves an opening packet unanswered for this long is skipped. Far longer than a
/// round trip between zones plus a handshake.
const UNANSWERED_MS: Millis = 150;
/// Interval after which a skipped agent is tried again.
const RETRY_MS: Millis = 700;
/// How long an agent that left a search packet unanswered is asked last.
const UNRESPONSIVE_MS: Millis = 3_000;
/// Unanswered search packets after which packet loss is no longer a likely cause.
const PERSISTENT_UNANSWERED_SEARCHES: u32 = 2;
/// How long an agent's report that its target is failing is valid: about the time for which the
/// agent first refuses new flows.
const FAILING_MS: Millis = 1_000;
/// How long an agent's report that it is shutting down is valid: longer than a stop and a start
/// take. In a large fleet, a balancer may receive nothing from the agent's next process for much
/// longer than that.
const LEAVING_MS: Millis = 8_000;
/// How long an agent's report of a live target is valid.
const TARGET_REPORT_LIFETIME_MS: Millis = 2_500;
/// Agents with which no packet was exchanged for this long are removed.
const STATUS_LIFETIME_MS: Millis = 60_000;

#[derive(Clone, Copy, Debug, Default)]
struct AgentStatus {
    reported_at: Millis,
    /// Load of the target in the agent's latest report.
    load: TargetLoad,
    /// Opening packets sent since that report.
    sent_since: u32,
    /// When the oldest opening packet without an answer was sent.
    unanswered_since: Option<Millis>,
    last_tried: Millis,
    /// When the agent last left a search packet unanswered; none if it has answered a packet since.
    unanswered_search_at: Option<Millis>,
    /// Search packets left unanswered since the agent last answered a packet.
    unanswered_searches: u32,
    /// When the agent last reported that it is shutting down.
    leaving_at: Option<Millis>,
    /// When the agent last reported that its target is failing.
    failing_at: Option<Millis>,
    reported_target: Option<ReportedTarget>,
    without_former_flows: Option<WithoutFormerFlows>,
    /// When the agent reported that its target has ended.
    ended_at: Option<Millis>,
}

impl AgentStatus {
    /// Updates the load that the agent reported.
    fn update_load(&mut self, load: TargetLoad, now: Millis) {
        self.reported_at = now;
        self.load = load;
        self.sent_since = 0;
    }
}

/// An agent's report that its target is live and the agent is not shutting down.
#[derive(Clone, Copy, Debug)]
struct ReportedTarget {
    service: ServiceId,
    zone: ZoneId,
    received_at: Millis,
}

impl ReportedTarget {
    fn is_fresh(&self, now: Millis) -> bool {
        now.saturating_sub(self.received_at) < TARGET_REPORT_LIFETIME_MS
    }
}

/// Service and wait times that an agent reported for its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedTimes {
    /// Milliseconds that the target spends on one request.
    pub service_ms: u32,
    /// Milliseconds for which one more request would have waited before being served.
    pub wait_ms: u32,
    /// Milliseconds since the report.
    pub age_ms: Millis,
}

/// An agent's report that its target holds no flow of a route that does not name its service.
#[derive(Clone, Copy, Debug)]
struct WithoutFormerFlows {
    /// The version of the configuration that defined the routes.
    configuration: u64,
    received_at: Millis,
}

/// A balancer that receives nothing from any agent for this long is considered isolated. Each agent
/// sends a message at least every 500 ms.
const ISOLATED_AFTER_MS: Millis = 700;
/// Unanswered opening packets, with no answer to any other packet, after which the balancer is
/// considered isolated although it still receives messages: packets to the agents are lost.
const ISOLATED_OPENINGS: u32 = 8;

/// The status of each agent that this balancer has exchanged packets with.
#[derive(Clone, Debug, Default)]
pub struct AgentStatuses {
    statuses: HashMap<Ipv4Addr, AgentStatus>,
    /// When a message of any agent was last received.
    last_contact_at: Option<Millis>,
    /// When the first of the opening packets counted in `unanswered` was sent.
    unanswered_since: Option<Millis>,
    /// Opening packets sent since any agent last answered a packet.
    unanswered: u32,
    /// Number of reports of a live target from agents without such a report before.
    targets_reported: u64,
}

impl AgentStatuses {
    /// Records that an opening packet was sent to an agent.
    pub fn note_opening_sent(&mut self, agent: Ipv4Addr, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.sent_since += 1;
        status.last_tried = now;
        status.unanswered_since.get_or_insert(now);
        self.unanswered_since.get_or_insert(now);
        self.unanswered += 1;
    }

    /// Records an agent's answer to a probe: packets reach the agents, even if their targets answer
    /// none. Routers send no packets to a balancer that is not ready, so without probes it would
    /// send no opening packets and could never detect that it is reachable again.
    pub fn note_probe_answer(&mut self, now: Millis) {
        self.last_contact_at = Some(now);
        self.unanswered = 0;
        self.unanswered_since = None;
    }

    /// Whether to send probes to find out if agents are reachable.
    pub fn needs_probes(&self, now: Millis) -> bool {
        let waited_ms = self.unanswered_since.map(|since| now.saturating_sub(since));
        self.unanswered >= ISOLATED_OPENINGS
            && waited_ms.is_some_and(|waited_ms| waited_ms >= UNANSWERED_MS)
    }

    /// Whether this balancer appears to be cut off from all agents after it was in contact with
    /// them.
    pub fn is_isolated(&self, now: Millis) -> bool {
        let is_over = |since: Millis| now.saturating_sub(since) >= ISOLATED_AFTER_MS;
        let receives_nothing = self.last_contact_at.is_some_and(is_over);
        let reaches_no_agent = self.last_contact_at.is_some()
            && self.unanswered >= ISOLATED_OPENINGS
            && self.unanswered_since.is_some_and(is_over);
        receives_nothing || reaches_no_agent
    }

    /// Records an agent's answer to a packet, with the load of its target.
    pub fn note_answer(&mut self, agent: Ipv4Addr, load: TargetLoad, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.update_load(load, now);
        status.unanswered_since = None;
        status.unanswered_search_at = None;
        status.unanswered_searches = 0;
        status.ended_at = None;
        self.note_probe_answer(now);
    }

    /// Records a grant, with the load of the agent's target. Unlike an answer to a packet, it does
    /// not show that the target responds.
    pub fn note_grant(&mut self, agent: Ipv4Addr, load: TargetLoad, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.update_load(load, now);
        self.note_probe_answer(now);
    }

    /// Records an agent's report about its target. Unlike an answer to a packet, it does not show
    /// that the target works.
    pub fn note_target_status(
        &mut self,
        agent: Ipv4Addr,
        zone: ZoneId,
        target_status: &TargetStatus,
        now: Millis,
    ) {
        let status = self.statuses.entry(agent).or_default();
        status.update_load(target_status.load, now);
        status.leaving_at = target_status.leaving.then_some(now);
        // Digests that were sent before the report that the target ended may arrive after it.
        status.ended_at = status.ended_at.filter(|_| target_status.leaving);
        let usable = target_status.alive && !target_status.leaving;
        self.targets_reported += u64::from(usable && status.reported_target.is_none());
        let service = ServiceId::of(&target_status.service);
        status.reported_target =
            usable.then_some(ReportedTarget { service, zone, received_at: now });
        status.without_former_flows = target_status
            .without_former_flows
            .map(|configuration| WithoutFormerFlows { configuration, received_at: now });
        self.last_contact_at = Some(now);
    }

    /// Whether an agent recently reported, for this configuration or a later one, that its target
    /// holds no flow of a route that does not name its service.
    pub fn holds_no_former_flow(&self, agent: Ipv4Addr, configuration: u64, now: Millis) -> bool {
        let status = self.statuses.get(&agent);
        status.and_then(|status| status.without_former_flows).is_some_and(|report| {
            report.configuration >= configuration
                && now.saturating_sub(report.received_at) < STATUS_LIFETIME_MS
        })
    }

    /// Returns the number of reports of a live target from agents without such a report before.
    pub fn targets_reported(&self) -> u64 {
        self.targets_reported
    }

    /// Records that an agent refused a new flow because it is shutting down.
    pub fn note_leaving(&mut self, agent: Ipv4Addr, now: Millis) {
        self.statuses.entry(agent).or_default().leaving_at = Some(now);
    }

    /// Records that an agent refused a new flow because its target is failing.
    pub fn note_failing(&mut self, agent: Ipv4Addr, now: Millis) {
        self.statuses.entry(agent).or_default().failing_at = Some(now);
    }

    /// Whether an agent recently reported that this incarnation of its target is failing.
    pub fn is_failing(&self, target: &Candidate, now: Millis) -> bool {
        let received_at = self.statuses.get(&target.agent).and_then(|status| status.failing_at);
        received_at
            .is_some_and(|at| !target.is_newer_than(at) && now.saturating_sub(at) < FAILING_MS)
    }

    /// Whether new flows should skip a target because its agent is shutting down or left opening
    /// packets unanswered. Lets one packet through every `RETRY_MS`.
    pub fn is_suspect(&self, target: &Candidate, now: Millis) -> bool {
        let Some(status) = self.statuses.get(&target.agent) else { return false };
        let timed_out =
            status.unanswered_since.is_some_and(|since| now.saturating_sub(since) >= UNANSWERED_MS);
        let may_retry = now.saturating_sub(status.last_tried) >= RETRY_MS;
        let is_leaving = status
            .leaving_at
            .is_some_and(|at| !target.is_newer_than(at) && now.saturating_sub(at) < LEAVING_MS);
        is_leaving || (timed_out && !may_retry)
    }

    /// Records that an agent left unanswered a search packet that was sent to it alone.
    pub fn note_unanswered_search(&mut self, agent: Ipv4Addr, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.unanswered_search_at = Some(now);
        status.unanswered_searches += 1;
    }

    /// Records an agent's report that its target has ended; the agent stops too.
    pub fn note_target_ended(&mut self, agent: Ipv4Addr, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.ended_at = Some(now);
        status.leaving_at = Some(now);
        status.reported_target = None;
    }

    /// Whether a target has ended according to its agent. The report covers the target of that
    /// time: a target recorded later at the same address is a different one.
    pub fn has_ended(&self, target: &Candidate) -> bool {
        let ended_at = self.statuses.get(&target.agent).and_then(|status| status.ended_at);
        ended_at.is_some_and(|at| !target.is_newer_than(at))
    }

    /// Whether an agent recently left several search packets unanswered and answered no packet; a
    /// single search packet may have been lost.
    pub fn is_persistently_unresponsive(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let unanswered = self.statuses.get(&agent).map_or(0, |status| status.unanswered_searches);
        unanswered >= PERSISTENT_UNANSWERED_SEARCHES && self.is_unresponsive(agent, now)
    }

    /// Whether an agent recently left a search packet unanswered: its target does not respond,
    /// although the agent may report that it does.
    pub fn is_unresponsive(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let unanswered_at =
            self.statuses.get(&agent).and_then(|status| status.unanswered_search_at);
        unanswered_at.is_some_and(|at| now.saturating_sub(at) < UNRESPONSIVE_MS)
    }

    /// Returns the estimated number of requests waiting at the agent's target.
    pub fn load(&self, agent: Ipv4Addr) -> u32 {
        self.statuses.get(&agent).map_or(0, |status| status.load.waiting + status.sent_since)
    }

    /// Returns the load of the agent's target in its latest report.
    pub fn target_load(&self, agent: Ipv4Addr) -> TargetLoad {
        self.statuses.get(&agent).map_or_else(TargetLoad::default, |status| status.load)
    }

    /// Returns the number of opening packets sent to the agent since its latest report.
    pub fn sent_since(&self, agent: Ipv4Addr) -> u32 {
        self.statuses.get(&agent).map_or(0, |status| status.sent_since)
    }

    /// Returns the times that the agent last reported for its target, if it reported any.
    pub fn times(&self, agent: Ipv4Addr, now: Millis) -> Option<ReportedTimes> {
        let status = self.statuses.get(&agent)?;
        let age_ms = now.saturating_sub(status.reported_at);
        let (expected_ms, service_ms) = status.load.expected_ms.zip(status.load.service_ms)?;
        let wait_ms = expected_ms.saturating_sub(service_ms);
        Some(ReportedTimes { service_ms, wait_ms, age_ms })
    }

    /// Returns the milliseconds since the agent's latest report; none if there is none.
    pub fn age(&self, agent: Ipv4Addr, now: Millis) -> Option<Millis> {
        let status = self.statuses.get(&agent).filter(|status| status.reported_at > 0)?;
        Some(now.saturating_sub(status.reported_at))
    }

    /// Returns the agents with a valid report of a live target of this service, in address order.
    pub fn agents_with_target(&self, service: ServiceId, now: Millis) -> Vec<Ipv4Addr> {
        let is_fresh = |status: &AgentStatus| {
            status
                .reported_target
                .is_some_and(|target| target.service == service && target.is_fresh(now))
        };
        let fresh = self.statuses.iter().filter(|(_, status)| is_fresh(status));
        let mut agents: Vec<Ipv4Addr> = fresh.map(|(agent, _)| *agent).collect();
        agents.sort();
        agents
    }

    /// Returns the agents with a valid report of a live target of any service except these, each
    /// with the service.
    pub fn agents_with_target_outside(
        &self,
        services: &HashSet<ServiceId>,
        now: Millis,
    ) -> Vec<(ServiceId, Ipv4Addr)> {
        let targets = self.statuses.iter();
        let targets = targets
            .filter_map(|(agent, status)| status.reported_target.map(|target| (agent, target)));
        let outside = targets
            .filter(|(_, target)| !services.contains(&target.service) && target.is_fresh(now));
        outside.map(|(agent, target)| (target.service, *agent)).collect()
    }

    /// Returns the zone of an agent that reported a live target.
    pub fn reported_zone(&self, agent: Ipv4Addr) -> Option<ZoneId> {
        self.statuses.get(&agent)?.reported_target.map(|target| target.zone)
    }

    /// Removes agents with which no packet was exchanged for `STATUS_LIFETIME_MS`.
    pub fn expire(&mut self, now: Millis) {
        self.statuses.retain(|_, status| {
            let latest = status.reported_at.max(status.last_tried);
            now.saturating_sub(latest) < STATUS_LIFETIME_MS
        });
    }
}
