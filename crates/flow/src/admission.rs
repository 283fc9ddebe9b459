//! Chooses which target admits a new flow.
//!
//! The agent that a balancer sends an opening packet to offers the flow along
//! a short chain of candidates. Each candidate compares the best load so far
//! with its own back end's load at that moment, and the last one hands the flow
//! to the best. This is the power of d choices (Mitzenmacher 2001) without
//! reported loads: nothing that decides is older than the packet's own journey.

use weirhinge_config::TargetId;
use weirhinge_wire::{Delivery, Offer};

/// Load that no target reports; stands for "no candidate yet".
const NO_CANDIDATE_LOAD: u32 = u32::MAX;
/// Most agents that one opening packet passes, whatever else happens.
const MAXIMUM_VISITS: u8 = 8;
/// A load of all slots busy, in the unit of [`Offer::best_load`].
const FULL_LOAD: u64 = 1_000;
/// Share of the load that open but idle flows add at the connection limit.
const IDLE_FLOW_LOAD: u64 = 100;

/// An agent's own view of its back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OwnLoad {
    /// Flows that wait for an answer, newly admitted ones included.
    pub in_flight: u32,
    /// Requests that the back end works on at once.
    pub slots: u32,
    /// All flows held.
    pub flows: u32,
    /// Most flows that the back end takes.
    pub connections: u32,
    /// Whether the target may take new flows: neither draining nor stopping.
    pub accepts: bool,
    /// Thousandths of full speed that a freshly started back end has reached.
    pub warmth: u32,
}

impl OwnLoad {
    /// Whether the target can take one more flow.
    pub fn has_room(&self) -> bool {
        self.accepts && self.flows < self.connections
    }

    /// Load in thousandths of the back end's slots, scaled up while it is cold.
    /// Idle flows add a little, which spreads standing feeds evenly.
    pub fn relative(&self) -> u32 {
        let busy = u64::from(self.in_flight) * FULL_LOAD / u64::from(self.slots.max(1));
        let idle = u64::from(self.flows) * IDLE_FLOW_LOAD / u64::from(self.connections.max(1));
        let load = (busy + idle) * FULL_LOAD / u64::from(self.warmth.max(1));
        load.min(u64::from(NO_CANDIDATE_LOAD - 1)) as u32
    }
}

/// Why a new flow is refused. Nothing has reached a back end at this point.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// Every candidate is draining, stopping or at its connection limit.
    NoRoom,
    /// The back end refused the connection.
    BackEndRefused,
    /// The back end did not take the connection in time.
    BackEndTimeout,
}

impl RefusalReason {
    /// The reason's name as it appears in metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalReason::NoRoom => "no_room",
            RefusalReason::BackEndRefused => "back_end_refused",
            RefusalReason::BackEndTimeout => "back_end_timeout",
        }
    }
}

/// What an agent does with an opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionStep {
    /// Admit the flow here.
    Admit,
    /// Send the packet on to another target.
    PassOn {
        /// The next target.
        to: TargetId,
        /// How the packet is delivered there.
        delivery: Delivery,
    },
    /// Refuse the flow: no candidate has room.
    Refuse(RefusalReason),
}

/// The candidates of one flow: its bucket's owner first, then the service's
/// other active targets from a place that the flow's hash picks. Every agent of
/// one revision walks the same sequence.
#[derive(Clone, Copy, Debug)]
pub struct Candidates<'a> {
    /// The target that decides now.
    pub own: TargetId,
    /// Owner of the flow's bucket under the agent's revision.
    pub owner: Option<TargetId>,
    /// Targets that take new flows, sorted, under the agent's revision.
    pub active: &'a [TargetId],
    /// The flow's hash; the same for a repeated packet.
    pub flow_hash: u64,
    /// How many targets to compare.
    pub limit: u8,
}

impl Candidates<'_> {
    /// The target at a place in the sequence, wrapping around at its end.
    fn at(&self, place: u8) -> Option<TargetId> {
        let place = usize::from(place) % self.active.len().max(1);
        if place == 0 {
            return self.owner;
        }
        let others = self.active.iter().copied().filter(|&target| Some(target) != self.owner);
        let count = others.clone().count().max(1);
        let start = (self.flow_hash >> 32) as usize % count;
        others.clone().nth((start + place - 1) % count)
    }

    /// The target to ask after `visited` others; never the one that decides.
    fn next(&self, visited: u8) -> Option<TargetId> {
        let next = self.at(visited)?;
        if next != self.own {
            return Some(next);
        }
        self.at(visited.wrapping_add(1)).filter(|&other| other != self.own)
    }
}

/// Decides one step of an opening packet that arrived by `delivery`.
pub fn consider(delivery: Delivery, own: &OwnLoad, candidates: &Candidates<'_>) -> AdmissionStep {
    match delivery {
        Delivery::Assigned if own.has_room() => AdmissionStep::Admit,
        Delivery::Offered(offer) => consider_offer(offer, own, candidates),
        // Assigned, but the room has gone meanwhile: the offer starts over.
        Delivery::Assigned
        | Delivery::Owner
        | Delivery::Hinted
        | Delivery::Forwarded
        | Delivery::Standby => {
            let offer = Offer { best: candidates.own.0, best_load: NO_CANDIDATE_LOAD, visited: 0 };
            consider_offer(offer, own, candidates)
        }
    }
}

fn consider_offer(offer: Offer, own: &OwnLoad, candidates: &Candidates<'_>) -> AdmissionStep {
    let mut best = offer;
    if own.has_room() && own.relative() < offer.best_load {
        best.best = candidates.own.0;
        best.best_load = own.relative();
    }
    best.visited = offer.visited.saturating_add(1);
    let takes_at_once = best.best == candidates.own.0 && own.has_room() && own.in_flight == 0;
    if takes_at_once {
        return AdmissionStep::Admit;
    }
    if let Some(to) = next_candidate(&best, candidates) {
        return AdmissionStep::PassOn { to, delivery: Delivery::Offered(best) };
    }
    if best.best_load == NO_CANDIDATE_LOAD {
        return AdmissionStep::Refuse(RefusalReason::NoRoom);
    }
    if best.best == candidates.own.0 {
        return AdmissionStep::Admit;
    }
    AdmissionStep::PassOn { to: TargetId(best.best), delivery: Delivery::Assigned }
}

/// The next target to ask, unless enough have been asked. A chain that has met
/// no room yet goes on past its usual limit.
fn next_candidate(best: &Offer, candidates: &Candidates<'_>) -> Option<TargetId> {
    let wanted = if best.best_load == NO_CANDIDATE_LOAD {
        MAXIMUM_VISITS
    } else {
        candidates.limit.min(MAXIMUM_VISITS)
    };
    // An agent that is not active itself is one visit more than its targets.
    let reachable = u8::try_from(candidates.active.len() + 1).unwrap_or(u8::MAX);
    if best.visited >= wanted.min(reachable) {
        return None;
    }
    candidates.next(best.visited)
}
