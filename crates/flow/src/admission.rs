//! Admission of new flows: selects the target that accepts a flow.
//!
//! The agent that receives an opening packet from a balancer offers the flow along a short chain of
//! candidate targets. Each candidate compares the lowest load so far with the current load of its
//! own back end, and the last one assigns the flow to the least loaded candidate. This is power of
//! d choices (Mitzenmacher 2001) without load reports: no load used in the decision is older than
//! the time that the packet has been in transit.

use weirhinge_config::TargetId;
use weirhinge_wire::{Delivery, Offer};

/// Sentinel for [`Offer::best_load`]: no candidate with capacity has been found yet. No target has
/// this load.
const NO_CANDIDATE_LOAD: u32 = u32::MAX;
/// Upper bound on the agents that one opening packet visits, regardless of [`Candidates::limit`].
const MAX_VISITS: u8 = 8;
/// Load of a back end with all slots busy, in permille, the unit of [`Offer::best_load`].
const FULL_LOAD: u64 = 1_000;
/// Load in permille that held flows add when the back end is at its connection limit.
const HELD_FLOWS_LOAD: u64 = 100;

/// Current load and limits of an agent's own back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackEndLoad {
    /// Flows that wait for a response, including newly admitted ones.
    pub in_flight: u32,
    /// Number of requests that the back end processes concurrently.
    pub slots: u32,
    /// Number of flows that the agent holds, including idle ones.
    pub flows: u32,
    /// Maximum number of flows that the back end accepts.
    pub connections: u32,
    /// Whether the target accepts new flows, which it does unless it is draining or stopping.
    pub accepts: bool,
    /// Current speed in permille of full speed. Below 1,000 while a freshly started back end warms
    /// up.
    pub speed_permille: u32,
}

impl BackEndLoad {
    /// Returns `true` if the target can accept one more flow.
    pub fn has_capacity(&self) -> bool {
        self.accepts && self.flows < self.connections
    }

    /// Returns the load in permille of the back end's slots, scaled up while the back end is slow.
    /// Held flows add a small amount even when idle, which spreads long-lived feeds evenly.
    pub fn load_permille(&self) -> u32 {
        let busy = u64::from(self.in_flight) * FULL_LOAD / u64::from(self.slots.max(1));
        let held = u64::from(self.flows) * HELD_FLOWS_LOAD / u64::from(self.connections.max(1));
        let load = (busy + held) * FULL_LOAD / u64::from(self.speed_permille.max(1));
        load.min(u64::from(NO_CANDIDATE_LOAD - 1)) as u32
    }
}

/// Reason why a new flow is refused. No data of the flow has reached a back end at this point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// All candidates are draining, stopping or at their connection limits.
    NoCapacity,
    /// The back end refused the connection.
    BackEndRefused,
    /// The back end did not accept the connection in time.
    BackEndTimeout,
}

impl RefusalReason {
    /// Returns the name of the reason as used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::NoCapacity => "no_room",
            RefusalReason::BackEndRefused => "back_end_refused",
            RefusalReason::BackEndTimeout => "back_end_timeout",
        }
    }
}

/// How an agent handles an opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Admit the flow at this agent's target.
    Admit,
    /// Pass the packet on to another target's agent.
    PassOn {
        /// The next target.
        to: TargetId,
        /// The delivery type to send with the packet.
        delivery: Delivery,
    },
    /// Refuse the flow because no candidate has capacity.
    Refuse(RefusalReason),
}

/// Sequence of candidate targets for one flow: the owner of its bucket, then the service's other
/// active targets, starting at a position derived from the flow hash. All agents with the same
/// configuration revision use the same sequence.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// The target of the agent that makes the decision.
    pub own: TargetId,
    /// Owner of the flow's bucket at the agent's configuration revision.
    pub owner: Option<TargetId>,
    /// Targets that accept new flows at the agent's configuration revision, sorted by identifier.
    pub active: &'a [TargetId],
    /// The flow's hash, which is the same for a retransmission.
    pub flow_hash: u64,
    /// Number of targets to compare.
    pub limit: u8,
}

impl Candidates<'_> {
    /// Returns the target at a position in the sequence, which wraps around at its end.
    fn at(&self, position: u8) -> Option<TargetId> {
        let position = usize::from(position) % self.active.len().max(1);
        if position == 0 {
            return self.owner;
        }
        let others = self.active.iter().copied().filter(|&target| Some(target) != self.owner);
        let count = others.clone().count().max(1);
        let start = (self.flow_hash >> 32) as usize % count;
        others.clone().nth((start + position - 1) % count)
    }

    /// Returns the target to visit after `visited` others, never the deciding target itself.
    fn next(&self, visited: u8) -> Option<TargetId> {
        let next = self.at(visited)?;
        if next != self.own {
            return Some(next);
        }
        self.at(visited.wrapping_add(1)).filter(|&other| other != self.own)
    }
}

/// Decides how to handle an opening packet that arrived with this delivery type.
pub fn decide_admission(
    delivery: Delivery,
    own: &BackEndLoad,
    candidates: &Candidates<'_>,
) -> AdmissionStep {
    match delivery {
        Delivery::Assigned if own.has_capacity() => AdmissionStep::Admit,
        Delivery::Offered(offer) => decide_offer(offer, own, candidates),
        // An assigned target may have lost its capacity in the meantime. The offer then restarts.
        Delivery::Assigned
        | Delivery::Owner
        | Delivery::Hinted
        | Delivery::Forwarded
        | Delivery::Standby => {
            let offer = Offer { best: candidates.own.0, best_load: NO_CANDIDATE_LOAD, visited: 0 };
            decide_offer(offer, own, candidates)
        }
    }
}

fn decide_offer(offer: Offer, own: &BackEndLoad, candidates: &Candidates<'_>) -> AdmissionStep {
    let mut updated = offer;
    if own.has_capacity() && own.load_permille() < offer.best_load {
        updated.best = candidates.own.0;
        updated.best_load = own.load_permille();
    }
    updated.visited = offer.visited.saturating_add(1);
    let is_idle_best = updated.best == candidates.own.0 && own.has_capacity() && own.in_flight == 0;
    if is_idle_best {
        return AdmissionStep::Admit;
    }
    if let Some(to) = next_candidate(&updated, candidates) {
        return AdmissionStep::PassOn { to, delivery: Delivery::Offered(updated) };
    }
    if updated.best_load == NO_CANDIDATE_LOAD {
        return AdmissionStep::Refuse(RefusalReason::NoCapacity);
    }
    if updated.best == candidates.own.0 {
        return AdmissionStep::Admit;
    }
    AdmissionStep::PassOn { to: TargetId(updated.best), delivery: Delivery::Assigned }
}

/// Returns the next target to visit, or `None` if the chain is complete. A chain that has not found
/// capacity yet continues past [`Candidates::limit`].
fn next_candidate(offer: &Offer, candidates: &Candidates<'_>) -> Option<TargetId> {
    let visit_limit = if offer.best_load == NO_CANDIDATE_LOAD {
        MAX_VISITS
    } else {
        candidates.limit.min(MAX_VISITS)
    };
    // One visit more than the active targets, because the first agent may not be active itself.
    let max_reachable = u8::try_from(candidates.active.len() + 1).unwrap_or(u8::MAX);
    if offer.visited >= visit_limit.min(max_reachable) {
        return None;
    }
    candidates.next(offer.visited)
}
