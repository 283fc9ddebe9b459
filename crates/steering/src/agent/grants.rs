//! Room that an agent has given to balancers and that is not used yet.

use std::collections::VecDeque;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand};

use super::demand::{Class, DemandTable, Room};

/// How long room is kept for a balancer: a trip to another zone and back, and a busy balancer.
const GRANT_LIFETIME_MS: Millis = 20;
/// Most grants that are unanswered at a time.
const CAPACITY: usize = 1_024;

/// Room for one opening packet, given to a balancer that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The balancer.
    pub balancer: Ipv4Addr,
    /// Whether the room is for openings of urgent routes alone.
    pub urgent_only: bool,
}

/// How an opening packet stands to the grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GrantUse {
    /// It uses none.
    None,
    /// Room is kept for it.
    InTime,
    /// It was granted room that is not kept any more.
    Late,
}

/// A grant without an answer.
#[derive(Clone, Copy, Debug)]
struct Outstanding {
    grant: Grant,
    /// The class that it was meant for.
    class: Class,
    until: Millis,
}

/// The balancers that asked, and the grants to them in the order in which they lapse.
#[derive(Clone, Debug, Default)]
pub(super) struct Grants {
    demand: DemandTable,
    outstanding: VecDeque<Outstanding>,
    /// Balancers that let a grant pass, not told yet.
    lapsed: VecDeque<Ipv4Addr>,
    /// Whether openings that wait at the agent itself go before the next grant.
    pub(super) own_turn: bool,
}

impl Grants {
    /// Takes in what waits at a balancer.
    pub(super) fn heard(&mut self, balancer: Ipv4Addr, demand: OpeningDemand, now: Millis) {
        let outstanding = &self.outstanding;
        let granted = |class| {
            let is_own =
                |entry: &&Outstanding| entry.grant.balancer == balancer && entry.class == class;
            u16::try_from(outstanding.iter().filter(is_own).count()).unwrap_or(u16::MAX)
        };
        self.demand.heard(balancer, demand, granted, now);
    }

    /// Ends grants that were not answered in time, and forgets silent balancers.
    pub(super) fn expire(&mut self, now: Millis) {
        while let Some(entry) = self.outstanding.pop_front_if(|entry| entry.until <= now) {
            self.demand.lapsed(entry.grant.balancer, entry.class);
            if self.lapsed.len() < CAPACITY {
                self.lapsed.push_back(entry.grant.balancer);
            }
        }
        self.demand.expire(now);
    }

    /// Room that is kept for balancers.
    pub(super) fn kept(&self) -> u32 {
        self.outstanding.len() as u32
    }

    /// Number of balancers known to ask.
    pub(super) fn asking(&self) -> usize {
        self.demand.len()
    }

    /// Whether an opening at a balancer goes before one of this class that comes unasked.
    pub(super) fn goes_before(&self, urgent: bool) -> bool {
        self.demand.goes_before(Class::of(urgent))
    }

    /// Whom to grant room to next, and for which class.
    pub(super) fn first(&self, room: Room, now: Millis) -> Option<(Ipv4Addr, Class)> {
        if self.outstanding.len() >= CAPACITY {
            return None;
        }
        self.demand.first(room, now)
    }

    /// Keeps room for a balancer.
    pub(super) fn grant(&mut self, grant: Grant, class: Class, now: Millis) {
        let until = now + GRANT_LIFETIME_MS;
        self.outstanding.push_back(Outstanding { grant, class, until });
        self.demand.granted(grant.balancer, class);
    }

    /// A balancer answered a grant with an opening, and told what still waits. Returns
    /// whether room was still kept for it.
    pub(super) fn used(
        &mut self,
        balancer: Ipv4Addr,
        urgent: bool,
        rest: OpeningDemand,
        now: Millis,
    ) -> GrantUse {
        let taken = self.take(balancer);
        self.demand.answered(balancer);
        self.heard(balancer, rest, now);
        let Some(entry) = taken else { return GrantUse::Late };
        if urgent && entry.class == Class::Others {
            self.demand.others_passed_over();
        }
        GrantUse::InTime
    }

    /// A balancer has no use for a grant. Returns whether room was kept for it.
    pub(super) fn declined(&mut self, balancer: Ipv4Addr) -> bool {
        let Some(entry) = self.take(balancer) else { return false };
        self.demand.declined(balancer, entry.grant.urgent_only);
        true
    }

    /// Takes out the oldest grant to a balancer, which answers them in their order.
    fn take(&mut self, balancer: Ipv4Addr) -> Option<Outstanding> {
        let place = self.outstanding.iter().position(|entry| entry.grant.balancer == balancer)?;
        self.outstanding.remove(place)
    }

    /// The next balancer that let a grant pass.
    pub(super) fn next_lapsed(&mut self) -> Option<Ipv4Addr> {
        self.lapsed.pop_front()
    }

    /// Gives up all room that is kept; who asked is still known.
    pub(super) fn forget_outstanding(&mut self) {
        self.outstanding.clear();
        self.demand.forget_grants();
    }
}
