//! Selects the targets that a search asks, and their order.
//!
//! Targets of the services named by the flow's route come first. A flow stays at its target when
//! the target's service is removed from the route, so targets of all other services follow, unless
//! their agents report that they hold no such flow.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ServiceId};

use super::{Balancer, Context};
use crate::packet::FlowKey;
use crate::selection::{rendezvous_order, rendezvous_weight};
use crate::view::{Availability, Candidate, CompiledRoute, Distance};

/// A target that left the store and whose agent has been silent for this long no longer prevents a
/// flow from being given up.
const DEPARTED_SILENCE_MS: Millis = 2_500;

/// A target that may hold a flow.
pub(super) struct SearchTarget {
    pub(super) service: ServiceId,
    pub(super) agent: Ipv4Addr,
    /// Whether the target does not answer; such targets are asked last.
    pub(super) is_unresponsive: bool,
    /// Whether the target is in another region; such targets are asked after those in this region.
    is_far: bool,
}

impl Balancer {
    /// Returns the untried targets that may hold a flow, in the flow's rendezvous order with
    /// unresponsive ones last. Targets of services that the route does not name are included once
    /// no responsive target of the route's services is left.
    pub(super) fn untried_search_targets(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        flow: &FlowKey,
    ) -> Vec<SearchTarget> {
        let tried = self.flows.tried(flow);
        let mut targets = self.route_search_targets(context, route, flow.hash());
        targets.retain(|target| !tried.contains(&target.agent));
        if targets.iter().all(|target| target.is_unresponsive) {
            let listed: HashSet<Ipv4Addr> = targets.iter().map(|target| target.agent).collect();
            let mut further = self.other_search_targets(context, route, flow.hash());
            further
                .retain(|target| !tried.contains(&target.agent) && !listed.contains(&target.agent));
            targets.extend(further);
        }
        // The sort is stable, so the rendezvous order is kept within each group.
        targets.sort_by_key(|target| (target.is_unresponsive, target.is_far));
        targets
    }

    /// Returns the targets of the services that the route names.
    fn route_search_targets(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        flow_hash: u64,
    ) -> Vec<SearchTarget> {
        let mut targets: Vec<SearchTarget> = Vec::new();
        let mut listed: HashSet<Ipv4Addr> = HashSet::new();
        for service in route.services() {
            let candidates = context.view.candidates(service).iter();
            let candidates = candidates.filter(|candidate| route.allows(candidate.region));
            for candidate in rendezvous_order(flow_hash, candidates) {
                listed.insert(candidate.agent);
                if self.target_has_ended(context, &candidate) {
                    continue;
                }
                targets.push(self.search_target(service, &candidate, context.now));
            }
            for agent in self.statuses.agents_with_target(service, context.now) {
                if self.should_ask_unrecorded(context, route, agent) && listed.insert(agent) {
                    targets.push(reported_search_target(service, agent));
                }
            }
        }
        targets
    }

    /// Returns the targets of all other services that may hold a flow of the route from a time when
    /// the route named their service.
    fn other_search_targets(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        flow_hash: u64,
    ) -> Vec<SearchTarget> {
        let named: HashSet<ServiceId> = route.services().collect();
        let may_hold = |service: ServiceId, agent: Ipv4Addr| {
            let since = self.route_history.unchanged_since(service);
            !self.statuses.holds_no_former_flow(agent, since, context.now)
        };
        let recorded = context.view.targets_outside(&named).filter(|(service, candidate)| {
            route.allows(candidate.region)
                && may_hold(*service, candidate.agent)
                && !self.target_has_ended(context, candidate)
                && !self.is_foreign_address(candidate.agent, context.now)
        });
        let mut targets: Vec<SearchTarget> = recorded
            .map(|(service, candidate)| self.search_target(service, candidate, context.now))
            .collect();
        let agents_with_target = self.statuses.agents_with_target_outside(&named, context.now);
        let unrecorded = agents_with_target.into_iter().filter(|(service, agent)| {
            may_hold(*service, *agent)
                && context.view.target_of_agent(*agent).is_none()
                && self.should_ask_unrecorded(context, route, *agent)
        });
        targets.extend(unrecorded.map(|(service, agent)| reported_search_target(service, agent)));
        targets.sort_by_key(|target| Reverse(rendezvous_weight(flow_hash, target.agent)));
        targets
    }

    /// Whether to ask a target that is known only from its agent's reports.
    fn should_ask_unrecorded(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        agent: Ipv4Addr,
    ) -> bool {
        let knows_all = self.knows_all_targets(context);
        let is_unresponsive = knows_all && self.statuses.is_unresponsive(agent, context.now);
        let zone = self.statuses.reported_zone(agent);
        let region = zone.and_then(|zone| context.view.region_of(zone));
        !is_unresponsive && route.allows(region)
    }

    fn search_target(
        &self,
        service: ServiceId,
        candidate: &Candidate,
        now: Millis,
    ) -> SearchTarget {
        let agent = candidate.agent;
        let is_unresponsive = self.has_left(candidate, now)
            || self.statuses.is_suspect(candidate, now)
            || self.statuses.is_unresponsive(agent, now);
        SearchTarget {
            service,
            agent,
            is_unresponsive,
            is_far: candidate.distance == Distance::Far,
        }
    }

    /// Whether a target left the store and its agent has been silent as well.
    fn has_left(&self, candidate: &Candidate, now: Millis) -> bool {
        let age = self.statuses.age(candidate.agent, now);
        let is_silent = age.is_none_or(|age| age >= DEPARTED_SILENCE_MS);
        candidate.availability != Availability::Ready && is_silent
    }

    /// Whether an unanswered search shows that a target which left the store has ended. To a balancer
    /// that never heard from the target's agent, a single lost packet looks the same.
    fn is_silence_conclusive(&self, agent: Ipv4Addr, now: Millis) -> bool {
        self.statuses.age(agent, now).is_some()
            || self.statuses.is_persistently_unresponsive(agent, now)
    }

    /// Whether a target has ended: its agent reported it, or the target left the store and did not
    /// answer several search packets either, although its agent may be alive. A live target would
    /// have renewed its record by then.
    fn target_has_ended(&self, context: &Context<'_>, candidate: &Candidate) -> bool {
        let is_settled = context.fresh && !self.is_settling(context.now);
        let agent = candidate.agent;
        let is_unresponsive = self.statuses.is_persistently_unresponsive(agent, context.now);
        self.statuses.has_ended(candidate) || (!candidate.recorded && is_settled && is_unresponsive)
    }

    /// Whether no agent has ever been heard from at an address that also left a search unanswered.
    /// A store entry of another writer may name a machine that never belonged to the fleet.
    fn is_foreign_address(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let had_time = now >= self.store_fresh_at + DEPARTED_SILENCE_MS;
        had_time
            && self.statuses.age(agent, now).is_none()
            && self.statuses.is_unresponsive(agent, now)
    }

    /// Whether an unresponsive target has most likely ended.
    pub(super) fn has_probably_ended(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        agent: Ipv4Addr,
    ) -> bool {
        let now = context.now;
        let Some((service, candidate)) = context.view.target_of_agent(agent) else { return true };
        let is_named = route.services().any(|named| named == service);
        (self.has_left(candidate, now) && self.is_silence_conclusive(agent, now))
            || self.target_has_ended(context, candidate)
            || (!is_named && self.is_foreign_address(agent, now))
    }
}

fn reported_search_target(service: ServiceId, agent: Ipv4Addr) -> SearchTarget {
    SearchTarget { service, agent, is_unresponsive: false, is_far: false }
}
