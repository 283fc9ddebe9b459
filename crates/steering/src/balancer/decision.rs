//! A balancer's decision about a packet, and the reason for it.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};

/// Why a packet was forwarded to the chosen agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardReason {
    /// The packet opens a flow at the selected target.
    Opened,
    /// A retransmitted opening packet goes to the target that answered the first one.
    OpeningRepeated,
    /// A retransmitted opening packet goes to another target because the first one did not answer.
    OpeningMoved,
    /// The previous target returned the opening packet.
    OpeningReturned,
    /// The opening packet was queued, and this target granted capacity for it.
    OpeningGranted,
    /// All compared targets are busy; the opening packet waits at this one.
    OpeningWaits,
    /// The flow's target is known.
    Held,
    /// The flow is unknown; the packet searches for its target.
    Search,
}

impl ForwardReason {
    /// Label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ForwardReason::Opened => "opened",
            ForwardReason::OpeningRepeated => "opening_repeated",
            ForwardReason::OpeningMoved => "opening_moved",
            ForwardReason::OpeningReturned => "opening_returned",
            ForwardReason::OpeningGranted => "opening_granted",
            ForwardReason::OpeningWaits => "opening_waits",
            ForwardReason::Held => "held",
            ForwardReason::Search => "search",
        }
    }
}

/// Inputs of the decision whether an opening packet may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueInputs {
    /// Number of openings of the same class that were queued before it.
    pub ahead: usize,
    /// Expected wait, or `None` if the admission rate is not known yet.
    pub expected_wait_ms: Option<Millis>,
    /// Longest time it was allowed to wait.
    pub budget_ms: Millis,
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// No route matches the packet's destination.
    NoRoute,
    /// The route's service has no target that accepts new flows.
    NoTarget,
    /// All targets of the route's service are in evacuated zones.
    Evacuated,
    /// Every target returned the opening packet.
    Refused,
    /// Every target repeatedly returned the flow's packet.
    NobodyHolds,
    /// No target has capacity in time, and no target has received the opening packet.
    Overloaded {
        /// Inputs of the decision.
        inputs: QueueInputs,
    },
}

impl ResetReason {
    /// Label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResetReason::NoRoute => "no_route",
            ResetReason::NoTarget => "no_target",
            ResetReason::Evacuated => "evacuated",
            ResetReason::Refused => "refused",
            ResetReason::NobodyHolds => "nobody_holds",
            ResetReason::Overloaded { .. } => "overloaded",
        }
    }
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DropReason {
    /// No configuration has been received yet.
    NoConfiguration,
    /// No target is known yet, or the store's data is too old to justify a refusal.
    NoTargetYet,
    /// A client sent a packet that is marked as returned by a target.
    BouncedByClient,
    /// No target holds the flow so far.
    NobodyHoldsYet,
    /// A search for the flow is already in progress.
    SearchGoesOn,
    /// Searches for other flows use up the link for now; the packet is kept.
    SearchWaits {
        /// Milliseconds until the next decision about the packet.
        wait_ms: Millis,
    },
    /// The kept copy of the packet is no longer needed.
    SearchEnded,
    /// The flow's opening packet is already queued here.
    OpeningQueued,
    /// The opening packet has since gone to another target, or to the same one with its grant.
    OpeningElsewhere,
    /// No target has capacity in time, but a target that received a copy of the opening packet may
    /// have opened the flow.
    OpeningRefused,
}

impl DropReason {
    /// Label used in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::NoConfiguration => "no_configuration",
            DropReason::NoTargetYet => "no_target_yet",
            DropReason::BouncedByClient => "bounced_by_client",
            DropReason::NobodyHoldsYet => "nobody_holds_yet",
            DropReason::SearchGoesOn => "search_goes_on",
            DropReason::SearchWaits { .. } => "search_waits",
            DropReason::SearchEnded => "search_ended",
            DropReason::OpeningQueued => "opening_queued",
            DropReason::OpeningElsewhere => "opening_elsewhere",
            DropReason::OpeningRefused => "opening_refused",
        }
    }
}

/// Inputs of the selection of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectionInputs {
    /// Number of eligible targets.
    pub eligible: usize,
    /// Estimated load of the selected target, in thousandths of its slots.
    pub load_permille: u64,
    /// Milliseconds in which the selected target is expected to answer, if its agent reported
    /// times.
    pub expected_ms: Option<u64>,
    /// Milliseconds since the last report of the selected target's agent, or `None` without a
    /// report.
    pub load_age_ms: Option<Millis>,
}

/// An agent to which a packet is forwarded, and how it is to be handled there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// The service that the agent's target must belong to.
    pub service: ServiceId,
    /// Whether an opening packet has priority over others of the service.
    pub urgent: bool,
    /// Why this agent was chosen.
    pub reason: ForwardReason,
    /// The agents that a search packet visits in turn after this one.
    pub next: Vec<Ipv4Addr>,
    /// Further paths that copies of a search packet take in parallel. Each path lists the agents
    /// visited in turn.
    pub further_paths: Vec<Vec<Ipv4Addr>>,
    /// Inputs of the selection, if the target was selected by load.
    pub inputs: Option<SelectionInputs>,
    /// The openings that remain queued here, if the packet uses the agent's grant of capacity.
    pub granted: Option<OpeningDemand>,
}

impl Forward {
    /// Forwards a packet to a single agent.
    pub(super) fn to(agent: Ipv4Addr, service: ServiceId, reason: ForwardReason) -> Self {
        Self {
            agent,
            service,
            urgent: false,
            reason,
            next: Vec::new(),
            further_paths: Vec::new(),
            inputs: None,
            granted: None,
        }
    }

    /// Whether the packet searches for the target that holds its flow.
    pub fn is_search(&self) -> bool {
        self.reason == ForwardReason::Search
    }

    /// Whether an opening packet may wait at the agent until its target has capacity.
    pub fn may_wait(&self) -> bool {
        self.reason == ForwardReason::OpeningWaits
    }
}

/// What to do with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an agent.
    Forward(Forward),
    /// Reset the flow, so that the client learns at once that it cannot continue.
    Reset {
        /// Sequence number of the reset.
        sequence: u32,
        /// Why the flow is reset.
        reason: ResetReason,
    },
    /// Hand it off to another balancer that has processor time to spare.
    HandOff {
        /// Address of that balancer.
        helper: Ipv4Addr,
    },
    /// Queue the opening packet here until a target has capacity.
    Queue {
        /// Agents to ask for capacity.
        ask: Vec<Ipv4Addr>,
        /// The service for which capacity is requested.
        service: ServiceId,
        /// The openings queued for the service.
        demand: OpeningDemand,
        /// Inputs of the decision.
        inputs: QueueInputs,
    },
    /// Discard it.
    Drop(DropReason),
}

impl Decision {
    /// Forwards a packet to an agent that was not selected by load.
    pub(super) fn forward(agent: Ipv4Addr, service: ServiceId, reason: ForwardReason) -> Self {
        Decision::Forward(Forward::to(agent, service, reason))
    }

    /// Sends a search packet along each of these paths, in parallel: to the first agent of a path,
    /// which passes it on to the others in turn. Drops the packet if there are no paths.
    pub(super) fn search(paths: &[Vec<Ipv4Addr>], service: ServiceId) -> Self {
        let Some((first_path, further_paths)) = paths.split_first() else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        let Some((agent, next)) = first_path.split_first() else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        let (next, further_paths) = (next.to_vec(), further_paths.to_vec());
        let forward = Forward::to(*agent, service, ForwardReason::Search);
        Decision::Forward(Forward { next, further_paths, ..forward })
    }
}
