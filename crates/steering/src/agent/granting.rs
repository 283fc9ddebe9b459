//! Grants the target's capacity to balancers at which openings wait.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};

use super::Agent;
use super::demand::{AvailableCapacity, Class};
use super::grants::{Grant, GrantUse};
use crate::arrival::Arrival;

impl Agent {
    /// Records a balancer's waiting openings. Returns false if they are for another service.
    /// [`Self::next_grant`] returns a grant if there is capacity now.
    pub fn demand(
        &mut self,
        balancer: Ipv4Addr,
        service: ServiceId,
        demand: OpeningDemand,
        now: Millis,
    ) -> bool {
        let is_own = service == self.service;
        if is_own {
            self.grants.expire(now);
            self.grants.record_demand(balancer, demand, now);
        }
        is_own
    }

    /// Handles a declined grant. Returns whether the grant was outstanding, in which case its
    /// capacity is free again.
    pub fn declined(&mut self, balancer: Ipv4Addr, now: Millis) -> bool {
        self.grants.expire(now);
        self.grants.record_decline(balancer)
    }

    /// Returns the next grant to send, if the target has capacity for it. To be called alternately
    /// with [`Self::next_outcome`] until both return `None`.
    pub fn next_grant(&mut self, now: Millis) -> Option<Grant> {
        self.expire_expected(now);
        self.grants.expire(now);
        let (balancer, class) = self.next_recipient(now)?;
        let local_goes_first = self.grants.local_turn && self.has_capacity_for_local();
        if local_goes_first || !self.breaker.try_admit(now) {
            return None;
        }
        let urgent_only = class == Class::Urgent && !self.available_capacity().non_urgent;
        let grant = Grant { balancer, urgent_only };
        self.grants.grant(grant, class, now);
        self.grants.local_turn = true;
        Some(grant)
    }

    /// Returns the next balancer that let a grant lapse. Each lapsed grant is reported once.
    pub fn next_lapsed_balancer(&mut self) -> Option<Ipv4Addr> {
        self.grants.next_lapsed_balancer()
    }

    /// Number of balancers that currently request capacity.
    pub fn requesting_balancers(&self) -> usize {
        self.grants.requesting_balancers()
    }

    /// Number of outstanding grants, each of which reserves capacity for one new flow.
    pub fn reserved_capacity(&self) -> u32 {
        self.grants.reserved()
    }

    /// Whether the next free capacity goes to a balancer instead of an opening that waits at this
    /// agent. The two take turns.
    pub(super) fn yields_to_grant(&self, now: Millis) -> bool {
        !self.grants.local_turn && self.next_recipient(now).is_some()
    }

    /// Matches an opening packet with the grants, and records the demand that it reports.
    pub(super) fn use_grant(&mut self, arrival: &Arrival<'_>, now: Millis) -> GrantUse {
        self.grants.expire(now);
        let Some(remaining) = arrival.granted else { return GrantUse::None };
        // A duplicated message must not use up the grant for the balancer's next opening.
        let key = arrival.header.client_flow();
        let known_balancer = self.flows.get(&key).map(|flow| flow.balancer);
        if known_balancer == Some(arrival.balancer) && self.is_duplicate_opening(&key, now) {
            return GrantUse::None;
        }
        self.grants.record_use(arrival.balancer, arrival.urgent, remaining, now)
    }

    /// Whether a new flow is refused because the target fails. A flow that may wait found no
    /// better target and is admitted. A flow with a valid grant passed the breaker when the grant
    /// was issued, and is refused only if the target was ejected since. Any other flow that is
    /// admitted may start a trial.
    pub(super) fn breaker_refuses(
        &mut self,
        arrival: &Arrival<'_>,
        grant: GrantUse,
        now: Millis,
    ) -> bool {
        match grant {
            GrantUse::Valid => self.breaker.is_ejected(now),
            GrantUse::Lapsed => !self.breaker.try_admit(now),
            GrantUse::None => !arrival.may_wait && !self.breaker.try_admit(now),
        }
    }

    /// Whether there is capacity for a new flow. A stalled target only takes a flow that found no
    /// better target and may wait.
    pub(super) fn has_capacity(&self, arrival: &Arrival<'_>, grant: GrantUse, now: Millis) -> bool {
        let is_stalled = !arrival.may_wait && self.service_time.is_stalled(now);
        let is_available = self.available_capacity().allows(arrival.urgent)
            && !is_stalled
            && self.cold_start_allows(now);
        match grant {
            GrantUse::Valid => true,
            GrantUse::Lapsed => is_available,
            GrantUse::None => is_available && !self.would_overtake(arrival.urgent),
        }
    }

    /// Whether the cold-start limit allows one more new flow in addition to the outstanding grants.
    pub(super) fn cold_start_allows(&self, now: Millis) -> bool {
        self.cold_start.allows(self.grants.reserved(), now)
    }

    /// Whether an opening without a grant would overtake openings that wait at balancers. While the
    /// breaker is open or half-open this is allowed, so that the target gets its trial flows.
    fn would_overtake(&self, urgent: bool) -> bool {
        !self.breaker.is_open() && self.grants.has_waiting(urgent)
    }

    /// Returns the balancer that gets the next grant, if the target has capacity for one.
    fn next_recipient(&self, now: Millis) -> Option<(Ipv4Addr, Class)> {
        let accepts_flows = self.refusal_reason().is_none()
            && self.breaker.would_admit(now)
            && !self.service_time.is_stalled(now)
            && self.cold_start_allows(now);
        accepts_flows.then(|| self.grants.next_recipient(self.available_capacity(), now)).flatten()
    }

    fn has_capacity_for_local(&self) -> bool {
        self.openings
            .next_is_urgent()
            .is_some_and(|urgent| self.available_capacity().allows(urgent))
    }

    pub(super) fn available_capacity(&self) -> AvailableCapacity {
        let load = self.committed_requests();
        AvailableCapacity {
            urgent: !self.admission.is_busy(load, true),
            non_urgent: !self.admission.is_busy(load, false),
        }
    }
}
