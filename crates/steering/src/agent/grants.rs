//! Outstanding grants of capacity to balancers.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand};

use super::demand::{AvailableCapacity, Class, DemandTable};

/// Lifetime of a grant: a round trip to another zone, with allowance for a busy balancer.
const GRANT_LIFETIME_MS: Millis = 20;
/// Most grants outstanding at a time.
const CAPACITY: usize = 1_024;

/// Capacity for one opening packet, granted to a balancer that requested it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The balancer.
    pub balancer: Ipv4Addr,
    /// Whether only openings of urgent routes may use it.
    pub urgent_only: bool,
}

/// The grant that an opening packet uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantUse {
    /// The packet uses no grant.
    None,
    /// The packet uses an outstanding grant.
    Valid,
    /// The packet uses a grant that is no longer outstanding.
    Lapsed,
}

/// A grant that the balancer has neither used nor declined yet.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    grant: Grant,
    /// The class that the grant was issued for.
    class: Class,
    until: Millis,
}

/// The demand of balancers, and the outstanding grants in the order in which they expire.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    demand: DemandTable,
    outstanding: VecDeque<Outstanding>,
    /// Balancers whose grants lapsed, not reported yet.
    lapsed: VecDeque<Ipv4Addr>,
    /// Whether openings that wait at this agent take precedence over the next grant.
    pub(super) local_turn: bool,
}

impl Grants {
    /// Records a balancer's demand.
    pub(super) fn record_demand(&mut self, balancer: Ipv4Addr, demand: OpeningDemand, now: Millis) {
        let outstanding = &self.outstanding;
        let granted = |class| {
            let is_own =
                |entry: &&Outstanding| entry.grant.balancer == balancer && entry.class == class;
            u16::try_from(outstanding.iter().filter(is_own).count()).unwrap_or(u16::MAX)
        };
        self.demand.record_demand(balancer, demand, granted, now);
    }

    /// Removes grants and demand whose lifetime has ended.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(entry) = self.outstanding.pop_front_if(|entry| entry.until <= now) {
            self.demand.record_lapse(entry.grant.balancer, entry.class);
            if self.lapsed.len() < CAPACITY {
                self.lapsed.push_back(entry.grant.balancer);
            }
        }
        self.demand.expire(now);
    }

    /// Number of outstanding grants.
    pub(super) fn reserved(&self) -> u32 {
        self.outstanding.len() as u32
    }

    /// Number of requesting balancers.
    pub(super) fn requesting_balancers(&self) -> usize {
        self.demand.len()
    }

    /// Whether an opening that waits at a balancer takes precedence over one of this class that
    /// arrives without a grant.
    pub(super) fn has_waiting(&self, urgent: bool) -> bool {
        self.demand.has_waiting(Class::of(urgent))
    }

    /// Returns the balancer that gets the next grant, and the class it is for.
    pub(super) fn next_recipient(
        &self,
        capacity: AvailableCapacity,
        now: Millis,
    ) -> Option<(Ipv4Addr, Class)> {
        if self.outstanding.len() >= CAPACITY {
            return None;
        }
        self.demand.next_recipient(capacity, now)
    }

    /// Records a grant as outstanding.
    pub(super) fn grant(&mut self, grant: Grant, class: Class, now: Millis) {
        let until = now + GRANT_LIFETIME_MS;
        self.outstanding.push_back(Outstanding { grant, class, until });
        self.demand.record_grant(grant.balancer, class);
    }

    /// Records that a balancer used its oldest grant for an opening, and its remaining demand.
    /// Returns whether the grant was still outstanding.
    pub(super) fn record_use(
        &mut self,
        balancer: Ipv4Addr,
        urgent: bool,
        remaining: OpeningDemand,
        now: Millis,
    ) -> GrantUse {
        let taken = self.take(balancer);
        self.demand.record_use(balancer);
        self.record_demand(balancer, remaining, now);
        let Some(entry) = taken else { return GrantUse::Lapsed };
        if urgent && entry.class == Class::NonUrgent {
            self.demand.keep_non_urgent_due();
        }
        GrantUse::Valid
    }

    /// Removes a grant that a balancer declined. Returns whether one was outstanding.
    pub(super) fn record_decline(&mut self, balancer: Ipv4Addr) -> bool {
        let Some(entry) = self.take(balancer) else { return false };
        self.demand.record_decline(balancer, entry.grant.urgent_only);
        true
    }

    /// Removes the balancer's oldest grant. Balancers answer grants in the order of issue.
    fn take(&mut self, balancer: Ipv4Addr) -> Option<Outstanding> {
        let index = self.outstanding.iter().position(|entry| entry.grant.balancer == balancer)?;
        self.outstanding.remove(index)
    }

    /// Returns the next balancer whose grant lapsed.
    pub(super) fn next_lapsed_balancer(&mut self) -> Option<Ipv4Addr> {
        self.lapsed.pop_front()
    }

    /// Revokes all outstanding grants. The demand of balancers remains.
    pub(super) fn revoke_outstanding(&mut self) {
        self.outstanding.clear();
        self.demand.clear_grants();
    }
}
