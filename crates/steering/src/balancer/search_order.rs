//! Which targets a search asks, and in which order.
//!
//! The targets of the services that the flow's route names come first. A flow stays where it
//! was opened when its service leaves the route, so those of all other services come next,
//! unless their agents say that they hold no such flow.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ServiceId};

use super::{Balancer, Context};
use crate::packet::FlowKey;
use crate::selection::{rendezvous_order, rendezvous_weight};
use crate::view::{Availability, Candidate, CompiledRoute, Distance};

/// A target that left the store and whose agent was silent for this long does not
/// hold up the giving up of a flow.
const SILENT_LEAVER_MS: Millis = 2_500;

/// One target that may hold a flow.
pub(super) struct SearchPlace {
    pub(super) service: ServiceId,
    pub(super) agent: Ipv4Addr,
    /// Its agent does not answer; it is asked last.
    pub(super) is_silent: bool,
    /// It is in another region; it is asked after those in this one.
    is_far: bool,
}

impl Balancer {
    /// The targets that may hold a flow and were not tried yet, in the flow's order, those
    /// that do not answer last. Those of services that the route does not name are among
    /// them once no answering target of the others is left.
    pub(super) fn untried_places(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        flow: &FlowKey,
    ) -> Vec<SearchPlace> {
        let tried = self.flows.tried(flow);
        let mut places = self.named_places(context, route, flow.hash());
        places.retain(|place| !tried.contains(&place.agent));
        if places.iter().all(|place| place.is_silent) {
            let listed: HashSet<Ipv4Addr> = places.iter().map(|place| place.agent).collect();
            let mut further = self.further_places(context, route, flow.hash());
            further.retain(|place| !tried.contains(&place.agent) && !listed.contains(&place.agent));
            places.extend(further);
        }
        // A stable sort: the flow's order stays within each part.
        places.sort_by_key(|place| (place.is_silent, place.is_far));
        places
    }

    /// The targets of the services that the route names.
    fn named_places(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        flow_hash: u64,
    ) -> Vec<SearchPlace> {
        let mut places: Vec<SearchPlace> = Vec::new();
        let mut listed: HashSet<Ipv4Addr> = HashSet::new();
        for service in route.services() {
            let candidates = context.view.candidates(service).iter();
            let candidates = candidates.filter(|candidate| route.allows(candidate.region));
            for candidate in rendezvous_order(flow_hash, candidates) {
                listed.insert(candidate.agent);
                if self.is_gone_for_good(context, &candidate) {
                    continue;
                }
                places.push(self.search_place(service, &candidate, context.now));
            }
            for agent in self.statuses.agents_with_target(service, context.now) {
                if self.may_be_asked_unrecorded(context, route, agent) && listed.insert(agent) {
                    places.push(claimed_place(service, agent));
                }
            }
        }
        places
    }

    /// The targets of all other services that may hold a flow of the route from a time when
    /// it named their service.
    fn further_places(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        flow_hash: u64,
    ) -> Vec<SearchPlace> {
        let named: HashSet<ServiceId> = route.services().collect();
        let may_hold = |service: ServiceId, agent: Ipv4Addr| {
            let since = self.route_history.unchanged_since(service);
            !self.statuses.holds_no_former_flow(agent, since, context.now)
        };
        let recorded = context.view.targets_outside(&named).filter(|(service, candidate)| {
            route.allows(candidate.region)
                && may_hold(*service, candidate.agent)
                && !self.is_gone_for_good(context, candidate)
                && !self.is_stray(candidate.agent, context.now)
        });
        let mut places: Vec<SearchPlace> = recorded
            .map(|(service, candidate)| self.search_place(service, candidate, context.now))
            .collect();
        let agents_with_target = self.statuses.agents_with_target_outside(&named, context.now);
        let unrecorded = agents_with_target.into_iter().filter(|(service, agent)| {
            may_hold(*service, *agent)
                && context.view.target_of_agent(*agent).is_none()
                && self.may_be_asked_unrecorded(context, route, *agent)
        });
        places.extend(unrecorded.map(|(service, agent)| claimed_place(service, agent)));
        places.sort_by_key(|place| Reverse(rendezvous_weight(flow_hash, place.agent)));
        places
    }

    /// Whether a target that only its agent speaks of is asked.
    fn may_be_asked_unrecorded(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        agent: Ipv4Addr,
    ) -> bool {
        let certain = self.knows_all_targets(context);
        let is_unresponsive = certain && self.statuses.is_unresponsive(agent, context.now);
        let zone = self.statuses.reported_zone(agent);
        let region = zone.and_then(|zone| context.view.region_of(zone));
        !is_unresponsive && route.allows(region)
    }

    fn search_place(&self, service: ServiceId, candidate: &Candidate, now: Millis) -> SearchPlace {
        let agent = candidate.agent;
        let is_silent = self.has_left(candidate, now)
            || self.statuses.is_suspect(candidate, now)
            || self.statuses.is_unresponsive(agent, now);
        SearchPlace { service, agent, is_silent, is_far: candidate.distance == Distance::Far }
    }

    /// Whether a target left the store and its agent is silent too.
    fn has_left(&self, candidate: &Candidate, now: Millis) -> bool {
        let age = self.statuses.age(candidate.agent, now);
        let is_silent = age.is_none_or(|age| age >= SILENT_LEAVER_MS);
        candidate.availability != Availability::Ready && is_silent
    }

    /// Whether a target has ended: its agent said so, or it left the store and answered
    /// none of several searching packets either, though its agent may live. A living one
    /// has renewed its record by then.
    fn is_gone_for_good(&self, context: &Context<'_>, candidate: &Candidate) -> bool {
        let is_settled = context.fresh && !self.is_unsettled(context.now);
        let agent = candidate.agent;
        let is_unresponsive = self.statuses.is_persistently_unresponsive(agent, context.now);
        self.statuses.has_ended(candidate) || (!candidate.recorded && is_settled && is_unresponsive)
    }

    /// Whether nobody was ever heard at an agent's address, which left a search unanswered
    /// as well: an entry of another writer may name a machine that never was one of ours.
    fn is_stray(&self, agent: Ipv4Addr, now: Millis) -> bool {
        let had_time = now >= self.regained_at + SILENT_LEAVER_MS;
        had_time
            && self.statuses.age(agent, now).is_none()
            && self.statuses.is_unresponsive(agent, now)
    }

    /// Whether a target that does not answer is most likely gone.
    pub(super) fn may_be_gone(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        agent: Ipv4Addr,
    ) -> bool {
        let now = context.now;
        let Some((service, candidate)) = context.view.target_of_agent(agent) else { return true };
        let is_named = route.services().any(|named| named == service);
        self.has_left(candidate, now)
            || self.is_gone_for_good(context, candidate)
            || (!is_named && self.is_stray(agent, now))
    }
}

fn claimed_place(service: ServiceId, agent: Ipv4Addr) -> SearchPlace {
    SearchPlace { service, agent, is_silent: false, is_far: false }
}
