//! Orders the targets of a service for one flow.

use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::agent_status::AgentStatuses;
use crate::expected_time::TypicalTimes;
use crate::view::{Candidate, Distance};

/// Load of a target that is warming up, in percent of its load when warm.
pub(crate) const COLD_LOAD_PERCENT: u64 = 160;

/// Surcharge for a target in another region, in thousandths of its slots: about the load at which
/// targets of the own region return opening packets.
const OTHER_REGION_SURCHARGE_PERMILLE: u64 = 1_500;
/// Surcharge for a target in another zone of the region: half a request per slot. A balancer's
/// knowledge of loads is old and rough enough to justify it, and each packet of a flow that stays
/// in its zone saves a trip and bytes between zones.
const OTHER_ZONE_SURCHARGE_PERMILLE: u64 = 500;
/// Targets of other regions that are compared if the own region has any.
const OTHER_REGION_COMPARED: usize = 1;

/// Returns the rendezvous-hashing weight of an agent for a flow, mixed with the finalizer of
/// SplitMix64. When targets change, only the flows of the changed targets move.
pub(crate) fn rendezvous_weight(flow_hash: u64, agent: Ipv4Addr) -> u64 {
    let mut value = flow_hash ^ u64::from(agent.to_bits()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the candidates in rendezvous order for a flow: the same order on every balancer.
pub fn rendezvous_order<'a>(
    flow_hash: u64,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Vec<Candidate> {
    let mut order: Vec<Candidate> = candidates.copied().collect();
    order.sort_by_cached_key(|candidate| {
        std::cmp::Reverse(rendezvous_weight(flow_hash, candidate.agent))
    });
    order
}

/// Returns the first of these daemons in rendezvous order for a flow.
pub fn rendezvous_first(flow_hash: u64, daemons: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    daemons.iter().copied().max_by_key(|daemon| rendezvous_weight(flow_hash, *daemon))
}

/// The cost of one more flow at each target: the time in which it is expected to answer if agents
/// reported times, otherwise its load, plus a surcharge for its distance.
#[derive(Clone, Copy, Debug)]
pub struct TargetCosts<'a> {
    typical: Option<TypicalTimes>,
    statuses: &'a AgentStatuses,
    now: Millis,
}

impl<'a> TargetCosts<'a> {
    /// Prepares the costs of targets, with typical times taken from `order`.
    pub fn new(order: &[Candidate], statuses: &'a AgentStatuses, now: Millis) -> Self {
        Self { typical: TypicalTimes::of(order, statuses, now), statuses, now }
    }

    /// Returns the cost of a target. Equal costs are ordered by distance.
    pub fn cost(&self, candidate: &Candidate) -> (u64, Distance) {
        let surcharge = match candidate.distance {
            Distance::Zone => 0,
            Distance::Region => OTHER_ZONE_SURCHARGE_PERMILLE,
            Distance::Far => OTHER_REGION_SURCHARGE_PERMILLE,
        };
        let cost = match self.typical {
            Some(typical) => typical.cost(candidate, surcharge, self.statuses, self.now),
            None => load_permille(candidate, self.statuses, self.now) + surcharge,
        };
        (cost, candidate.distance)
    }
}

/// Returns the cheapest of the first `compared` candidates of the region, the first one of the own
/// zone and the first one of another region, in the flow's order. A target of another zone is
/// selected only if that of the own zone is busier by a margin, one of another region only if the
/// others are busy, since every packet of the flow would cross zones or regions.
pub fn cheapest(
    order: &[Candidate],
    compared: usize,
    statuses: &AgentStatuses,
    now: Millis,
) -> Option<Candidate> {
    let near = order.iter().filter(|candidate| candidate.distance != Distance::Far).take(compared);
    let own = order.iter().find(|candidate| candidate.distance == Distance::Zone);
    let far = order.iter().filter(|candidate| candidate.distance == Distance::Far);
    let any_near = order.iter().any(|candidate| candidate.distance != Distance::Far);
    let far = far.take(if any_near { OTHER_REGION_COMPARED } else { compared });
    let costs = TargetCosts::new(order, statuses, now);
    near.chain(own).chain(far).min_by_key(|candidate| costs.cost(candidate)).copied()
}

/// Returns the estimated load in thousandths of the target's slots.
pub fn load_permille(candidate: &Candidate, statuses: &AgentStatuses, now: Millis) -> u64 {
    let waiting = u64::from(statuses.load(candidate.agent));
    let load = waiting * 1_000 / u64::from(candidate.slots);
    if now < candidate.cold_until { (load + 1) * COLD_LOAD_PERCENT / 100 } else { load }
}
