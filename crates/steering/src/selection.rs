//! Orders the targets of a service for one flow.

use std::net::Ipv4Addr;

use weirhinge_fleet::Millis;

use crate::agent_status::AgentStatuses;
use crate::expected_time::TypicalTimes;
use crate::view::{Candidate, Distance};

/// Load of a target that is slow from its start, in percent of its load when warm.
pub(crate) const COLD_LOAD_PERCENT: u64 = 160;

/// Load, in thousandths of its slots, that a far target is charged with: about the
/// load at which near ones send openings back.
const FAR_PERMILLE: u64 = 1_500;
/// The same for a target of another zone of the region: half a request a slot. What a
/// balancer knows of loads is that old and rough, and each packet of a flow in its own zone
/// saves a trip and bytes between zones.
const OTHER_ZONE_PERMILLE: u64 = 500;
/// Far targets compared where there are near ones.
const FAR_COMPARED: usize = 1;

/// Mixes a flow's hash with a target into a rank (the finaliser of SplitMix64):
/// rendezvous hashing, so that a change of targets moves only its own share.
pub(crate) fn rank(flow_hash: u64, agent: Ipv4Addr) -> u64 {
    let mut value = flow_hash ^ u64::from(agent.to_bits()).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The candidates in the flow's own order, the same on every balancer.
pub fn rendezvous_order<'a>(
    flow_hash: u64,
    candidates: impl Iterator<Item = &'a Candidate>,
) -> Vec<Candidate> {
    let mut order: Vec<Candidate> = candidates.copied().collect();
    order.sort_by_cached_key(|candidate| std::cmp::Reverse(rank(flow_hash, candidate.agent)));
    order
}

/// The first of these daemons in the flow's own order.
pub fn rendezvous_first(flow_hash: u64, daemons: &[Ipv4Addr]) -> Option<Ipv4Addr> {
    daemons.iter().copied().max_by_key(|daemon| rank(flow_hash, *daemon))
}

/// What one more flow costs at each target, by the time in which it is expected to answer
/// where agents told times, otherwise by load, and by its distance.
#[derive(Clone, Copy, Debug)]
pub struct TargetCosts<'a> {
    typical: Option<TypicalTimes>,
    statuses: &'a AgentStatuses,
    now: Millis,
}

impl<'a> TargetCosts<'a> {
    /// Costs at targets like those of `order`.
    pub fn new(order: &[Candidate], statuses: &'a AgentStatuses, now: Millis) -> Self {
        Self { typical: TypicalTimes::of(order, statuses, now), statuses, now }
    }

    /// The cost at a target; of equal ones the nearer is cheaper.
    pub fn cost(&self, candidate: &Candidate) -> (u64, Distance) {
        let charge = match candidate.distance {
            Distance::Zone => 0,
            Distance::Region => OTHER_ZONE_PERMILLE,
            Distance::Far => FAR_PERMILLE,
        };
        let cost = match self.typical {
            Some(typical) => typical.cost(candidate, charge, self.statuses, self.now),
            None => load_permille(candidate, self.statuses, self.now) + charge,
        };
        (cost, candidate.distance)
    }
}

/// The cheapest of the first `compared` candidates of the region, the first one of the
/// own zone and the first far one, in the flow's order. One of another zone is chosen
/// where that of the own zone is busier by a margin, a far one only where the others are
/// busy: every packet of the flow would cross zones or regions.
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
    let far = far.take(if any_near { FAR_COMPARED } else { compared });
    let costs = TargetCosts::new(order, statuses, now);
    near.chain(own).chain(far).min_by_key(|candidate| costs.cost(candidate)).copied()
}

/// Believed load in thousandths of the target's slots.
pub fn load_permille(candidate: &Candidate, statuses: &AgentStatuses, now: Millis) -> u64 {
    let waiting = u64::from(statuses.load(candidate.agent));
    let load = waiting * 1_000 / u64::from(candidate.slots);
    if now < candidate.cold_until { (load + 1) * COLD_LOAD_PERCENT / 100 } else { load }
}
