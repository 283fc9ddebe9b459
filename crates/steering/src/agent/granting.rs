//! Gives room of the target to balancers at which openings wait.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};

use super::Agent;
use super::demand::{Class, Room};
use super::grants::{Grant, GrantUse};
use crate::arrival::Arrival;

impl Agent {
    /// Takes in what waits at a balancer. Returns false if it is for another service.
    /// [`Self::next_grant`] tells whether there is room at once.
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
            self.grants.heard(balancer, demand, now);
        }
        is_own
    }

    /// A balancer has no use for a grant. Returns whether room was kept for it, which is
    /// free now.
    pub fn declined(&mut self, balancer: Ipv4Addr, now: Millis) -> bool {
        self.grants.expire(now);
        self.grants.declined(balancer)
    }

    /// The next grant to send, if the target has room for it; to be called together with
    /// [`Self::next_outcome`] until both have nothing.
    pub fn next_grant(&mut self, now: Millis) -> Option<Grant> {
        self.drop_expectations(now);
        self.grants.expire(now);
        let (balancer, class) = self.first_asker(now)?;
        let goes_after_own = self.grants.own_turn && self.has_room_for_own();
        if goes_after_own || !self.breaker.admits(now) {
            return None;
        }
        let urgent_only = class == Class::Urgent && !self.room().others;
        let grant = Grant { balancer, urgent_only };
        self.grants.grant(grant, class, now);
        self.grants.own_turn = true;
        Some(grant)
    }

    /// The next balancer that let a grant pass; each is told once.
    pub fn next_lapsed(&mut self) -> Option<Ipv4Addr> {
        self.grants.next_lapsed()
    }

    /// Number of balancers that ask for room.
    pub fn asking(&self) -> usize {
        self.grants.asking()
    }

    /// Room that is kept for balancers.
    pub fn kept_room(&self) -> u32 {
        self.grants.kept()
    }

    /// Whether the next room goes to a balancer, not to an opening that waits here: they
    /// take turns.
    pub(super) fn yields_to_grant(&self, now: Millis) -> bool {
        !self.grants.own_turn && self.first_asker(now).is_some()
    }

    /// Takes in the part of an opening packet that concerns grants.
    pub(super) fn use_grant(&mut self, arrival: &Arrival<'_>, now: Millis) -> GrantUse {
        self.grants.expire(now);
        let Some(rest) = arrival.granted else { return GrantUse::None };
        // A doubled message must not take the room of the balancer's next opening.
        let key = arrival.header.client_flow();
        let came_from = self.flows.get(&key).map(|flow| flow.balancer);
        if came_from == Some(arrival.balancer) && self.is_copy(&key, now) {
            return GrantUse::None;
        }
        self.grants.used(arrival.balancer, arrival.urgent, rest, now)
    }

    /// Whether the target fails and a new flow is turned away for that. One that may wait
    /// found no better target; for one with a grant the breaker was asked already.
    pub(super) fn is_turned_away(
        &mut self,
        arrival: &Arrival<'_>,
        grant: GrantUse,
        now: Millis,
    ) -> bool {
        match grant {
            GrantUse::InTime => self.breaker.is_ejected(now),
            GrantUse::Late => !self.breaker.admits(now),
            GrantUse::None => !arrival.may_wait && !self.breaker.admits(now),
        }
    }

    /// Whether there is room for a new flow. A target that hangs takes only one that found
    /// no better target and may wait.
    pub(super) fn has_room(&self, arrival: &Arrival<'_>, grant: GrantUse, now: Millis) -> bool {
        let hangs = !arrival.may_wait && self.service_time.hangs(now);
        let is_free = self.room().has(arrival.urgent) && !hangs && self.cold_start_admits(now);
        match grant {
            GrantUse::InTime => true,
            GrantUse::Late => is_free,
            GrantUse::None => is_free && !self.passes_over(arrival.urgent),
        }
    }

    /// Whether a cold target bears one more new flow beside those that it has room kept for.
    pub(super) fn cold_start_admits(&self, now: Millis) -> bool {
        self.cold_start.admits(self.grants.kept(), now)
    }

    /// Whether an opening that nobody asked for would go before those that wait at balancers.
    /// A target under test takes what comes.
    fn passes_over(&self, urgent: bool) -> bool {
        !self.breaker.is_open() && self.grants.goes_before(urgent)
    }

    /// The balancer that gets the next grant, if the target has room for one.
    fn first_asker(&self, now: Millis) -> Option<(Ipv4Addr, Class)> {
        let takes_any = self.takes_nothing().is_none()
            && self.breaker.would_admit(now)
            && !self.service_time.hangs(now)
            && self.cold_start_admits(now);
        takes_any.then(|| self.grants.first(self.room(), now)).flatten()
    }

    fn has_room_for_own(&self) -> bool {
        self.openings.next_is_urgent().is_some_and(|urgent| self.room().has(urgent))
    }

    pub(super) fn room(&self) -> Room {
        let load = self.requests_in_hand();
        Room {
            urgent: !self.admission.is_busy(load, true),
            others: !self.admission.is_busy(load, false),
        }
    }
}
