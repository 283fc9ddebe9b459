//! The balancers that request capacity from an agent, and the order in which they get it.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, WaitingOpenings};

use crate::class_share::{NON_URGENT_ONE_IN, is_non_urgent_due};

/// Most balancers whose demand is stored; exceeds the number in a large fleet.
const CAPACITY: usize = 512;
/// Lifetime of a balancer's demand. Balancers repeat it more often while openings wait.
const DEMAND_LIFETIME_MS: Millis = 300;
/// Consecutive lapsed grants after which a balancer's demand is dropped.
const LAPSE_THRESHOLD: u32 = 2;

/// Priority class of an opening.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Opening of an urgent route.
    Urgent,
    /// Any other opening.
    NonUrgent,
}

impl Class {
    /// Returns the class of an opening.
    pub(super) fn of(urgent: bool) -> Self {
        if urgent { Self::Urgent } else { Self::NonUrgent }
    }
}

/// The classes for which the target has capacity. Capacity for non-urgent openings also serves
/// urgent ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AvailableCapacity {
    pub(super) urgent: bool,
    pub(super) non_urgent: bool,
}

impl AvailableCapacity {
    /// Whether there is capacity for an opening of this class.
    pub(super) fn allows(self, urgent: bool) -> bool {
        if urgent { self.urgent } else { self.non_urgent }
    }
}

/// A balancer's latest demand, and the grants it got since.
#[derive(Clone, Copy, Debug)]
struct BalancerDemand {
    demand: OpeningDemand,
    received_at: Millis,
    /// Outstanding grants issued for urgent openings.
    outstanding_urgent: u16,
    /// Outstanding grants issued for non-urgent openings.
    outstanding_non_urgent: u16,
    /// Consecutive grants that lapsed.
    lapses: u32,
}

impl BalancerDemand {
    fn outstanding_mut(&mut self, class: Class) -> &mut u16 {
        match class {
            Class::Urgent => &mut self.outstanding_urgent,
            Class::NonUrgent => &mut self.outstanding_non_urgent,
        }
    }

    fn class_state(&self, class: Class) -> (WaitingOpenings, u16) {
        match class {
            Class::Urgent => (self.demand.urgent, self.outstanding_urgent),
            Class::NonUrgent => (self.demand.others, self.outstanding_non_urgent),
        }
    }

    /// Number of waiting openings without a grant.
    fn ungranted(&self, class: Class) -> u16 {
        let (waiting, outstanding) = self.class_state(class);
        waiting.count.saturating_sub(outstanding)
    }

    /// How long the oldest opening without a grant has waited, assuming evenly spaced arrivals: the
    /// balancer reports only the age of its oldest opening overall.
    fn oldest_ungranted_ms(&self, class: Class, now: Millis) -> Option<Millis> {
        let ungranted = Some(self.ungranted(class)).filter(|ungranted| *ungranted > 0)?;
        let (waiting, _) = self.class_state(class);
        let age =
            Millis::from(waiting.oldest_ms) * Millis::from(ungranted) / Millis::from(waiting.count);
        Some(age + now.saturating_sub(self.received_at))
    }
}

/// Demand of all requesting balancers.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    balancers: BTreeMap<Ipv4Addr, BalancerDemand>,
    /// Consecutive grants for urgent openings while non-urgent ones waited.
    consecutive_urgent: u32,
}

impl DemandTable {
    /// Records a balancer's demand. `outstanding` returns the number of the balancer's outstanding
    /// grants of a class.
    pub(super) fn record_demand(
        &mut self,
        balancer: Ipv4Addr,
        demand: OpeningDemand,
        outstanding: impl Fn(Class) -> u16,
        now: Millis,
    ) {
        if demand.is_empty() {
            self.balancers.remove(&balancer);
            return;
        }
        if !self.balancers.contains_key(&balancer) && self.balancers.len() >= CAPACITY {
            self.evict_oldest();
        }
        let lapses = self.balancers.get(&balancer).map_or(0, |entry| entry.lapses);
        let (outstanding_urgent, outstanding_non_urgent) =
            (outstanding(Class::Urgent), outstanding(Class::NonUrgent));
        let received_at = now;
        let entry = BalancerDemand {
            demand,
            received_at,
            outstanding_urgent,
            outstanding_non_urgent,
            lapses,
        };
        self.balancers.insert(balancer, entry);
    }

    fn evict_oldest(&mut self) {
        let oldest = self.balancers.iter().min_by_key(|(_, entry)| entry.received_at);
        if let Some(balancer) = oldest.map(|(balancer, _)| *balancer) {
            self.balancers.remove(&balancer);
        }
    }

    /// Drops demand that was not renewed within its lifetime.
    pub(super) fn expire(&mut self, now: Millis) {
        self.balancers
            .retain(|_, entry| now.saturating_sub(entry.received_at) < DEMAND_LIFETIME_MS);
    }

    /// Number of requesting balancers.
    pub(super) fn len(&self) -> usize {
        self.balancers.len()
    }

    /// Whether an opening of this class or a more urgent one waits without a grant.
    pub(super) fn has_waiting(&self, class: Class) -> bool {
        self.has_ungranted(Class::Urgent)
            || (class == Class::NonUrgent && self.has_ungranted(Class::NonUrgent))
    }

    fn has_ungranted(&self, class: Class) -> bool {
        self.balancers.values().any(|entry| entry.ungranted(class) > 0)
    }

    /// Returns the balancer that gets the next grant, and the class it is for. Non-urgent openings
    /// whose minimum share is due may use capacity for urgent ones: urgent openings can keep the
    /// load above the limit for non-urgent ones.
    pub(super) fn next_recipient(
        &self,
        capacity: AvailableCapacity,
        now: Millis,
    ) -> Option<(Ipv4Addr, Class)> {
        let non_urgent_due = is_non_urgent_due(self.consecutive_urgent);
        let non_urgent = || self.longest_waiting(Class::NonUrgent, now);
        if non_urgent_due
            && capacity.urgent
            && let Some(recipient) = non_urgent()
        {
            return Some(recipient);
        }
        let urgent = capacity.urgent.then(|| self.longest_waiting(Class::Urgent, now)).flatten();
        urgent.or_else(|| capacity.non_urgent.then(non_urgent).flatten())
    }

    /// Returns the balancer whose oldest ungranted opening has waited longest; the lowest address
    /// wins a tie.
    fn longest_waiting(&self, class: Class, now: Millis) -> Option<(Ipv4Addr, Class)> {
        let waits = |(balancer, entry): (&Ipv4Addr, &BalancerDemand)| {
            entry
                .oldest_ungranted_ms(class, now)
                .map(|waited_ms| (waited_ms, std::cmp::Reverse(*balancer)))
        };
        let (_, balancer) = self.balancers.iter().filter_map(waits).max()?;
        Some((balancer.0, class))
    }

    /// Records a grant that was issued.
    pub(super) fn record_grant(&mut self, balancer: Ipv4Addr, class: Class) {
        self.consecutive_urgent = match class {
            Class::Urgent if self.has_ungranted(Class::NonUrgent) => {
                self.consecutive_urgent.saturating_add(1)
            }
            _ => 0,
        };
        if let Some(entry) = self.balancers.get_mut(&balancer) {
            *entry.outstanding_mut(class) += 1;
        }
    }

    /// Records that a balancer used a grant, before or after it lapsed.
    pub(super) fn record_use(&mut self, balancer: Ipv4Addr) {
        if let Some(entry) = self.balancers.get_mut(&balancer) {
            entry.lapses = 0;
        }
    }

    /// Records that an urgent opening used a grant issued for a non-urgent one, which keeps the
    /// non-urgent share due.
    pub(super) fn keep_non_urgent_due(&mut self) {
        if self.has_ungranted(Class::NonUrgent) {
            self.consecutive_urgent = NON_URGENT_ONE_IN - 1;
        }
    }

    /// Records that a balancer declined a grant: no opening that the grant allows waits there.
    pub(super) fn record_decline(&mut self, balancer: Ipv4Addr, urgent_only: bool) {
        let Some(entry) = self.balancers.get_mut(&balancer) else { return };
        entry.lapses = 0;
        entry.demand.urgent = WaitingOpenings::default();
        entry.outstanding_urgent = entry.outstanding_urgent.saturating_sub(1);
        if !urgent_only || entry.demand.is_empty() {
            self.balancers.remove(&balancer);
        }
    }

    /// Records a lapsed grant.
    pub(super) fn record_lapse(&mut self, balancer: Ipv4Addr, class: Class) {
        let Some(entry) = self.balancers.get_mut(&balancer) else { return };
        entry.lapses += 1;
        let outstanding = entry.outstanding_mut(class);
        *outstanding = outstanding.saturating_sub(1);
        if entry.lapses >= LAPSE_THRESHOLD {
            self.balancers.remove(&balancer);
        }
    }

    /// Clears all outstanding grants.
    pub(super) fn clear_grants(&mut self) {
        for entry in self.balancers.values_mut() {
            (entry.outstanding_urgent, entry.outstanding_non_urgent) = (0, 0);
        }
    }
}
