//! What a balancer knows of each agent from the agent itself.

use std::collections::{HashMap, HashSet};
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ServiceId, TargetLoad, TargetStatus, ZoneId};

use crate::view::Candidate;

/// An agent that leaves an opening packet unanswered for this long is passed
/// over. Far above a journey between zones and a handshake.
const UNANSWERED_MS: Millis = 150;
/// How often a passed-over agent is tried again.
const RETRY_MS: Millis = 700;
/// How long an agent that left a search unanswered is asked last.
const MUTE_MS: Millis = 3_000;
/// Searching packets left unanswered that are no accident any more.
const PERSISTENTLY_MUTE: u32 = 2;
/// How long an agent's word that its target fails counts; about the time for which the
/// agent turns new flows away at first.
const FAILING_MS: Millis = 1_000;
/// How long the word of an agent that it stops counts: longer than a stop and a start take.
/// In a large fleet a balancer may not hear of the agent's next process for much longer.
const LEAVING_MS: Millis = 8_000;
/// How long an agent's word about its target counts.
const CLAIM_LIFETIME_MS: Millis = 2_500;
/// How long after the last sign of life an agent is forgotten.
const STATUS_LIFETIME_MS: Millis = 60_000;

#[derive(Clone, Copy, Debug, Default)]
struct AgentStatus {
    heard_at: Millis,
    /// How busy the target was when the agent last spoke.
    load: TargetLoad,
    /// Opening packets sent since then.
    sent_since: u32,
    /// When the oldest opening packet without an answer was sent.
    unanswered_since: Option<Millis>,
    last_tried: Millis,
    /// When it last left a searching packet unanswered, and was not heard since.
    ignored_search_at: Option<Millis>,
    /// How many searching packets it left unanswered since it last answered a packet.
    ignored_searches: u32,
    /// When it last said that it is about to stop.
    leaving_at: Option<Millis>,
    /// When it last said that its target fails.
    failing_at: Option<Millis>,
    claim: Option<Claim>,
    without_former_flows: Option<WithoutFormerFlows>,
    /// When its last word came, that its target has ended.
    ended_at: Option<Millis>,
}

impl AgentStatus {
    /// Takes in how busy the target is.
    fn tell(&mut self, load: TargetLoad, now: Millis) {
        self.heard_at = now;
        self.load = load;
        self.sent_since = 0;
    }
}

/// An agent's word that a target works beside it.
#[derive(Clone, Copy, Debug)]
struct Claim {
    service: ServiceId,
    zone: ZoneId,
    said_at: Millis,
}

impl Claim {
    fn is_fresh(&self, now: Millis) -> bool {
        now.saturating_sub(self.said_at) < CLAIM_LIFETIME_MS
    }
}

/// What an agent told of its target's times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldTimes {
    /// Milliseconds for which the target works on one request.
    pub service_ms: u32,
    /// Milliseconds for which one more request was to wait before.
    pub wait_ms: u32,
    /// Milliseconds since then.
    pub age_ms: Millis,
}

/// An agent's word that its target holds no flow of a route that does not name its service.
#[derive(Clone, Copy, Debug)]
struct WithoutFormerFlows {
    /// The version of the configuration that the routes were those of.
    configuration: u64,
    said_at: Millis,
}

/// Silence of all agents after which this balancer takes itself for cut off.
/// Each agent speaks at least every half second.
const ISOLATED_AFTER_MS: Millis = 700;
/// Opening packets left unanswered, with no answer to any other, that say so too:
/// then agents are heard but not reached.
const ISOLATED_OPENINGS: u32 = 8;

/// The agents that this balancer has dealt with.
#[derive(Clone, Debug, Default)]
pub struct AgentStatuses {
    statuses: HashMap<Ipv4Addr, AgentStatus>,
    /// When any agent last spoke.
    any_heard_at: Option<Millis>,
    /// When the first of the opening packets below was sent.
    unanswered_since: Option<Millis>,
    /// Opening packets sent since any agent last answered a packet.
    unanswered: u32,
    /// Agents that claimed a target and had not claimed it before.
    claims_seen: u64,
}

impl AgentStatuses {
    /// Records that an opening packet went to an agent.
    pub fn sent_opening(&mut self, agent: Ipv4Addr, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.sent_since += 1;
        status.last_tried = now;
        status.unanswered_since.get_or_insert(now);
        self.unanswered_since.get_or_insert(now);
        self.unanswered += 1;
    }

    /// Records an agent's answer to a probe: packets reach agents, though targets may not
    /// answer any. Without probes a balancer that routers leave alone, as it is not ready,
    /// would send no more openings and could never find out that it is cut off no longer.
    pub fn reached(&mut self, now: Millis) {
        self.any_heard_at = Some(now);
        self.unanswered = 0;
        self.unanswered_since = None;
    }

    /// Whether it is to be found out by probes if agents are reached.
    pub fn doubts_reach(&self, now: Millis) -> bool {
        let waits = self.unanswered_since.map(|since| now.saturating_sub(since));
        self.unanswered >= ISOLATED_OPENINGS && waits.is_some_and(|waits| waits >= UNANSWERED_MS)
    }

    /// Whether this balancer seems to be cut off from all agents, though it was in
    /// touch with them before.
    pub fn is_isolated(&self, now: Millis) -> bool {
        let is_over = |since: Millis| now.saturating_sub(since) >= ISOLATED_AFTER_MS;
        let hears_nobody = self.any_heard_at.is_some_and(is_over);
        let reaches_nobody = self.any_heard_at.is_some()
            && self.unanswered >= ISOLATED_OPENINGS
            && self.unanswered_since.is_some_and(is_over);
        hears_nobody || reaches_nobody
    }

    /// Records a sign of life with how busy the target is.
    pub fn heard(&mut self, agent: Ipv4Addr, load: TargetLoad, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.tell(load, now);
        status.unanswered_since = None;
        status.ignored_search_at = None;
        status.ignored_searches = 0;
        status.ended_at = None;
        self.reached(now);
    }

    /// Records an agent's word that its target has room. Unlike an answer to a packet it
    /// does not show that the target answers.
    pub fn granted(&mut self, agent: Ipv4Addr, load: TargetLoad, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.tell(load, now);
        self.reached(now);
    }

    /// Records an agent's word about its target. Unlike an answer to a packet it
    /// does not show that the target works.
    pub fn claimed(&mut self, agent: Ipv4Addr, zone: ZoneId, claim: &TargetStatus, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.tell(claim.load, now);
        status.leaving_at = claim.leaving.then_some(now);
        // Digests that were sent before the last word may come after it.
        status.ended_at = status.ended_at.filter(|_| claim.leaving);
        let usable = claim.alive && !claim.leaving;
        self.claims_seen += u64::from(usable && status.claim.is_none());
        let service = ServiceId::of(&claim.service);
        status.claim = usable.then_some(Claim { service, zone, said_at: now });
        status.without_former_flows = claim
            .without_former_flows
            .map(|configuration| WithoutFormerFlows { configuration, said_at: now });
        self.any_heard_at = Some(now);
    }

    /// Whether an agent said lately, of this configuration or a later one, that its target
    /// holds no flow of a route that does not name its service.
    pub fn holds_no_former_flow(&self, agent: Ipv4Addr, configuration: u64, now: Millis) -> bool {
        let status = self.statuses.get(&agent);
        status.and_then(|status| status.without_former_flows).is_some_and(|word| {
            word.configuration >= configuration
                && now.saturating_sub(word.said_at) < STATUS_LIFETIME_MS
        })
    }

    /// Number of times that an agent's claim was new.
    pub fn claims_seen(&self) -> u64 {
        self.claims_seen
    }

    /// Records that an agent refused new flows because it stops.
    pub fn note_leaving(&mut self, agent: Ipv4Addr, now: Millis) {
        self.statuses.entry(agent).or_default().leaving_at = Some(now);
    }

    /// Records that an agent refused a new flow because its target fails.
    pub fn note_failing(&mut self, agent: Ipv4Addr, now: Millis) {
        self.statuses.entry(agent).or_default().failing_at = Some(now);
    }

    /// Whether an agent said lately that its target fails, and meant this life of it.
    pub fn is_failing(&self, target: &Candidate, now: Millis) -> bool {
        let said_at = self.statuses.get(&target.agent).and_then(|status| status.failing_at);
        said_at.is_some_and(|at| !target.is_newer_than(at) && now.saturating_sub(at) < FAILING_MS)
    }

    /// Whether new flows should pass a target over: its agent is about to stop or left
    /// opening packets unanswered. Lets one packet through now and then.
    pub fn is_suspect(&self, target: &Candidate, now: Millis) -> bool {
        let Some(status) = self.statuses.get(&target.agent) else { return false };
        let waits_long =
            status.unanswered_since.is_some_and(|since| now.saturating_sub(since) >= UNANSWERED_MS);
        let rested = now.saturating_sub(status.last_tried) >= RETRY_MS;
        let is_leaving = status
            .leaving_at
            .is_some_and(|at| !target.is_newer_than(at) && now.saturating_sub(at) < LEAVING_MS);
        is_leaving || (waits_long && !rested)
    }

    /// Records that an agent, asked alone, left a searching packet unanswered.
    pub fn ignored_search(&mut self, agent: Ipv4Addr, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.ignored_search_at = Some(now);
        status.ignored_searches += 1;
    }

    /// Records an agent's last word: its target has ended, and it stops itself.
    pub fn target_ended(&mut self, agent: Ipv4Addr, now: Millis) {
        let status = self.statuses.entry(agent).or_default();
        status.ended_at = Some(now);
        status.leaving_at = Some(now);
        status.claim = None;
    }

    /// Whether a target has ended by its agent's last word. The word is about the target of
    /// that time: one that was recorded since, at the same address, is another.
    pub fn has_ended(&self, target: &Candidate) -> bool {
        let ended_at = self.statuses.get(&target.agent).and_then(|status| status.ended_at);
        ended_at.is_some_and(|at| !target.is_newer_than(at))
    }

    /// Whether an agent lately left several searching packets unanswered and answered
    /// none: a single one may have been lost on its way.
    pub fn is_persistently_mute(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let ignored = self.statuses.get(&agent).map_or(0, |status| status.ignored_searches);
        ignored >= PERSISTENTLY_MUTE && self.is_mute(agent, now)
    }

    /// Whether an agent left a searching packet unanswered lately: its target does not
    /// answer, though the agent itself may say that it does.
    pub fn is_mute(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let ignored_at = self.statuses.get(&agent).and_then(|status| status.ignored_search_at);
        ignored_at.is_some_and(|at| now.saturating_sub(at) < MUTE_MS)
    }

    /// Requests believed to wait at the agent's target.
    pub fn load(&self, agent: Ipv4Addr) -> u32 {
        self.statuses.get(&agent).map_or(0, |status| status.load.waiting + status.sent_since)
    }

    /// How busy the target was when the agent last spoke.
    pub fn target_load(&self, agent: Ipv4Addr) -> TargetLoad {
        self.statuses.get(&agent).map_or_else(TargetLoad::default, |status| status.load)
    }

    /// Opening packets sent to the agent since it last spoke.
    pub fn sent_since(&self, agent: Ipv4Addr) -> u32 {
        self.statuses.get(&agent).map_or(0, |status| status.sent_since)
    }

    /// What the agent last told of its target's times, if it told any.
    pub fn times(&self, agent: Ipv4Addr, now: Millis) -> Option<ToldTimes> {
        let status = self.statuses.get(&agent)?;
        let age_ms = now.saturating_sub(status.heard_at);
        let (expected_ms, service_ms) = status.load.expected_ms.zip(status.load.service_ms)?;
        let wait_ms = expected_ms.saturating_sub(service_ms);
        Some(ToldTimes { service_ms, wait_ms, age_ms })
    }

    /// Milliseconds since the agent was last heard.
    pub fn age(&self, agent: Ipv4Addr, now: Millis) -> Option<Millis> {
        let status = self.statuses.get(&agent).filter(|status| status.heard_at > 0)?;
        Some(now.saturating_sub(status.heard_at))
    }

    /// Agents that lately said that a target of this service works beside them.
    pub fn claimants(&self, service: ServiceId, now: Millis) -> Vec<Ipv4Addr> {
        let is_fresh = |status: &AgentStatus| {
            status.claim.is_some_and(|claim| claim.service == service && claim.is_fresh(now))
        };
        let fresh = self.statuses.iter().filter(|(_, status)| is_fresh(status));
        let mut agents: Vec<Ipv4Addr> = fresh.map(|(agent, _)| *agent).collect();
        agents.sort();
        agents
    }

    /// Agents that lately said that a target of a service other than these works beside
    /// them, each with the service.
    pub fn claimants_outside(
        &self,
        services: &HashSet<ServiceId>,
        now: Millis,
    ) -> Vec<(ServiceId, Ipv4Addr)> {
        let claims = self.statuses.iter();
        let claims = claims.filter_map(|(agent, status)| status.claim.map(|claim| (agent, claim)));
        let outside =
            claims.filter(|(_, claim)| !services.contains(&claim.service) && claim.is_fresh(now));
        outside.map(|(agent, claim)| (claim.service, *agent)).collect()
    }

    /// The zone that an agent with a target said it runs in.
    pub fn claimed_zone(&self, agent: Ipv4Addr) -> Option<ZoneId> {
        self.statuses.get(&agent)?.claim.map(|claim| claim.zone)
    }

    /// Forgets agents that were silent for long.
    pub fn expire(&mut self, now: Millis) {
        self.statuses.retain(|_, status| {
            let latest = status.heard_at.max(status.last_tried);
            now.saturating_sub(latest) < STATUS_LIFETIME_MS
        });
    }
}
