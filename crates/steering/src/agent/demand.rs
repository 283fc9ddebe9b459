//! Which balancers asked an agent for room, and who of them goes first.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, WaitingOpenings};

use crate::class_share::{NON_URGENT_ONE_IN, is_non_urgent_due};

/// Most balancers whose demand is kept, above the number of a large fleet.
const CAPACITY: usize = 512;
/// What a balancer said counts for this long; it asks again sooner while openings wait.
const DEMAND_LIFETIME_MS: Millis = 300;
/// Grants left unanswered in a row after which a balancer's demand is dropped.
const MOST_LAPSES: u32 = 2;

/// The two classes of openings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Class {
    /// Openings of urgent routes.
    Urgent,
    /// All others.
    Others,
}

impl Class {
    /// The class of an opening.
    pub(super) fn of(urgent: bool) -> Self {
        if urgent { Self::Urgent } else { Self::Others }
    }
}

/// Which classes the target has room for. Room for others is room for urgent ones too.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Room {
    pub(super) urgent: bool,
    pub(super) others: bool,
}

impl Room {
    /// Whether there is room for an opening of this class.
    pub(super) fn has(self, urgent: bool) -> bool {
        if urgent { self.urgent } else { self.others }
    }
}

/// What a balancer said last, and what it was granted since.
#[derive(Clone, Copy, Debug)]
struct Asker {
    demand: OpeningDemand,
    heard_at: Millis,
    /// Unanswered grants that were meant for urgent openings.
    granted_urgent: u16,
    /// Unanswered grants that were meant for others.
    granted_others: u16,
    /// Grants in a row that it did not answer in time.
    lapses: u32,
}

impl Asker {
    fn granted(&mut self, class: Class) -> &mut u16 {
        match class {
            Class::Urgent => &mut self.granted_urgent,
            Class::Others => &mut self.granted_others,
        }
    }

    fn of_class(&self, class: Class) -> (WaitingOpenings, u16) {
        match class {
            Class::Urgent => (self.demand.urgent, self.granted_urgent),
            Class::Others => (self.demand.others, self.granted_others),
        }
    }

    /// Openings that wait and have no grant yet.
    fn left(&self, class: Class) -> u16 {
        let (waiting, granted) = self.of_class(class);
        waiting.count.saturating_sub(granted)
    }

    /// For how long the first of these has waited. Behind those that have grants its age is
    /// not known: arrivals are taken to be spread evenly.
    fn waited(&self, class: Class, now: Millis) -> Option<Millis> {
        let left = Some(self.left(class)).filter(|left| *left > 0)?;
        let (waiting, _) = self.of_class(class);
        let age =
            Millis::from(waiting.oldest_ms) * Millis::from(left) / Millis::from(waiting.count);
        Some(age + now.saturating_sub(self.heard_at))
    }
}

/// The balancers that asked for room.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    askers: BTreeMap<Ipv4Addr, Asker>,
    /// Grants for urgent openings in a row, while others waited.
    urgent_in_row: u32,
}

impl DemandTable {
    /// Takes in what waits at a balancer. `granted` tells how many unanswered grants of a
    /// class it has.
    pub(super) fn heard(
        &mut self,
        balancer: Ipv4Addr,
        demand: OpeningDemand,
        granted: impl Fn(Class) -> u16,
        now: Millis,
    ) {
        if demand.is_empty() {
            self.askers.remove(&balancer);
            return;
        }
        if !self.askers.contains_key(&balancer) && self.askers.len() >= CAPACITY {
            self.forget_oldest();
        }
        let lapses = self.askers.get(&balancer).map_or(0, |asker| asker.lapses);
        let (granted_urgent, granted_others) = (granted(Class::Urgent), granted(Class::Others));
        let heard_at = now;
        let asker = Asker { demand, heard_at, granted_urgent, granted_others, lapses };
        self.askers.insert(balancer, asker);
    }

    fn forget_oldest(&mut self) {
        let oldest = self.askers.iter().min_by_key(|(_, asker)| asker.heard_at);
        if let Some(balancer) = oldest.map(|(balancer, _)| *balancer) {
            self.askers.remove(&balancer);
        }
    }

    /// Forgets balancers that have been silent for long.
    pub(super) fn expire(&mut self, now: Millis) {
        self.askers.retain(|_, asker| now.saturating_sub(asker.heard_at) < DEMAND_LIFETIME_MS);
    }

    /// Number of balancers known to ask.
    pub(super) fn len(&self) -> usize {
        self.askers.len()
    }

    /// Whether an opening of this class, or a more urgent one, waits without a grant.
    pub(super) fn goes_before(&self, class: Class) -> bool {
        self.has(Class::Urgent) || (class == Class::Others && self.has(Class::Others))
    }

    fn has(&self, class: Class) -> bool {
        self.askers.values().any(|asker| asker.left(class) > 0)
    }

    /// Whom to grant room to, and for which class. Others that are due by their least share
    /// get any room: urgent openings may keep a target above what others are given.
    pub(super) fn first(&self, room: Room, now: Millis) -> Option<(Ipv4Addr, Class)> {
        let others_due = is_non_urgent_due(self.urgent_in_row);
        let others = || self.longest(Class::Others, now);
        if others_due
            && room.urgent
            && let Some(first) = others()
        {
            return Some(first);
        }
        let urgent = room.urgent.then(|| self.longest(Class::Urgent, now)).flatten();
        urgent.or_else(|| room.others.then(others).flatten())
    }

    /// The balancer whose first opening has waited longest; of several the lowest address.
    fn longest(&self, class: Class, now: Millis) -> Option<(Ipv4Addr, Class)> {
        let waits = |(balancer, asker): (&Ipv4Addr, &Asker)| {
            asker.waited(class, now).map(|waited| (waited, std::cmp::Reverse(*balancer)))
        };
        let (_, balancer) = self.askers.iter().filter_map(waits).max()?;
        Some((balancer.0, class))
    }

    /// Notes a grant.
    pub(super) fn granted(&mut self, balancer: Ipv4Addr, class: Class) {
        self.urgent_in_row = match class {
            Class::Urgent if self.has(Class::Others) => self.urgent_in_row.saturating_add(1),
            _ => 0,
        };
        if let Some(asker) = self.askers.get_mut(&balancer) {
            *asker.granted(class) += 1;
        }
    }

    /// Notes that a balancer used a grant, in time or late.
    pub(super) fn answered(&mut self, balancer: Ipv4Addr) {
        if let Some(asker) = self.askers.get_mut(&balancer) {
            asker.lapses = 0;
        }
    }

    /// Notes that a grant meant for others was used by an urgent opening: others are still due.
    pub(super) fn others_passed_over(&mut self) {
        if self.has(Class::Others) {
            self.urgent_in_row = NON_URGENT_ONE_IN - 1;
        }
    }

    /// Notes that a balancer had no use for a grant: nothing of the classes that the grant
    /// was open to waits there.
    pub(super) fn declined(&mut self, balancer: Ipv4Addr, urgent_only: bool) {
        let Some(asker) = self.askers.get_mut(&balancer) else { return };
        asker.lapses = 0;
        asker.demand.urgent = WaitingOpenings::default();
        asker.granted_urgent = asker.granted_urgent.saturating_sub(1);
        if !urgent_only || asker.demand.is_empty() {
            self.askers.remove(&balancer);
        }
    }

    /// Notes that a balancer let a grant pass.
    pub(super) fn lapsed(&mut self, balancer: Ipv4Addr, class: Class) {
        let Some(asker) = self.askers.get_mut(&balancer) else { return };
        asker.lapses += 1;
        let granted = asker.granted(class);
        *granted = granted.saturating_sub(1);
        if asker.lapses >= MOST_LAPSES {
            self.askers.remove(&balancer);
        }
    }

    /// Notes that no grant is outstanding any more.
    pub(super) fn forget_grants(&mut self) {
        for asker in self.askers.values_mut() {
            (asker.granted_urgent, asker.granted_others) = (0, 0);
        }
    }
}
