//! What a balancer decides about a packet, and why.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId};

/// Why a packet was forwarded where it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwardReason {
    /// Opens a flow at the chosen target.
    Opened,
    /// A copy of an opening packet, for the target that answered the first.
    OpeningRepeated,
    /// A copy of an opening packet that nobody answered, for another target.
    OpeningMoved,
    /// The previous target sent the opening packet back.
    OpeningReturned,
    /// The opening packet waited, and this target granted room.
    OpeningGranted,
    /// All targets compared are busy; the opening packet waits at this one.
    OpeningWaits,
    /// The flow's target is known.
    Held,
    /// The flow is not known; the packet looks for its target.
    Search,
}

impl ForwardReason {
    /// Label for logs and counters.
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

/// What was weighed when it was decided whether an opening packet may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueInputs {
    /// How many openings of its class waited before it.
    pub ahead: usize,
    /// How long it was expected to wait; none while too little was known.
    pub expected_wait_ms: Option<Millis>,
    /// For how long it could have waited.
    pub budget_ms: Millis,
}

/// Why a flow was reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResetReason {
    /// No route has the packet's destination.
    NoRoute,
    /// The route's service has no target that takes new flows.
    NoTarget,
    /// All targets of the route's service are in evacuated zones.
    Evacuated,
    /// Every target sent the opening packet back.
    Refused,
    /// Every target sent the flow's packet back, repeatedly.
    NobodyHolds,
    /// No target has room in time for its opening packet, which no target has got.
    Overloaded {
        /// What was weighed.
        inputs: QueueInputs,
    },
}

impl ResetReason {
    /// Label for logs and counters.
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
    /// No configuration is known yet.
    NoConfiguration,
    /// No target is known yet, or the store's word is too old to refuse by.
    NoTargetYet,
    /// A packet that claims to be sent back by a target came from a client.
    BouncedByClient,
    /// No target held the flow this time.
    NobodyHoldsYet,
    /// The search for the flow is under way already.
    SearchGoesOn,
    /// The searches of other flows use up the link for now; the packet is kept.
    SearchWaits {
        /// Milliseconds until it is decided about again.
        wait_ms: Millis,
    },
    /// The kept copy of a packet is no longer needed.
    SearchEnded,
    /// The flow's opening packet waits here already.
    OpeningQueued,
    /// The opening packet has gone to another target since, or to the same one for its grant.
    OpeningElsewhere,
    /// No target has room in time for the opening packet, but one that has got a copy of it
    /// may have opened the flow.
    OpeningRefused,
}

impl DropReason {
    /// Label for logs and counters.
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

/// What was weighed when a target was chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SelectionInputs {
    /// Targets that could be chosen.
    pub eligible: usize,
    /// Believed load of the chosen target, in thousandths of its slots.
    pub load_permille: u64,
    /// Milliseconds in which the chosen target is expected to answer, if its agent told.
    pub expected_ms: Option<u64>,
    /// Milliseconds since the chosen agent last spoke; none if never.
    pub load_age_ms: Option<Millis>,
}

/// A packet's way to an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Forward {
    /// The agent.
    pub agent: Ipv4Addr,
    /// The service that the agent must stand for.
    pub service: ServiceId,
    /// Whether an opening packet goes before others of the service.
    pub urgent: bool,
    /// Why this agent.
    pub reason: ForwardReason,
    /// The agents that a searching packet visits in turn after this one.
    pub next: Vec<Ipv4Addr>,
    /// Further rows of agents that copies of a searching packet visit at the same time,
    /// each row in turn.
    pub further_rows: Vec<Vec<Ipv4Addr>>,
    /// What was weighed, if a target was chosen by load.
    pub inputs: Option<SelectionInputs>,
    /// Set if the packet uses the agent's grant of room: what still waits here.
    pub granted: Option<OpeningDemand>,
}

impl Forward {
    /// A packet's way to one agent.
    pub(super) fn to(agent: Ipv4Addr, service: ServiceId, reason: ForwardReason) -> Self {
        Self {
            agent,
            service,
            urgent: false,
            reason,
            next: Vec::new(),
            further_rows: Vec::new(),
            inputs: None,
            granted: None,
        }
    }

    /// Whether the target is only guessed to hold the flow.
    pub fn is_search(&self) -> bool {
        self.reason == ForwardReason::Search
    }

    /// Whether an opening packet may wait at the agent until there is room.
    pub fn may_wait(&self) -> bool {
        self.reason == ForwardReason::OpeningWaits
    }
}

/// What to do with a packet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it to an agent.
    Forward(Forward),
    /// Tell the client at once that the flow will not go on.
    Reset {
        /// Sequence number of the reset.
        sequence: u32,
        /// Why.
        reason: ResetReason,
    },
    /// Leave it to a balancer that has the time for it.
    HandOff {
        /// The balancer.
        helper: Ipv4Addr,
    },
    /// Let the opening packet wait here until a target has room.
    Queue {
        /// Agents to be asked for room.
        ask: Vec<Ipv4Addr>,
        /// The service that room is asked for.
        service: ServiceId,
        /// What waits for it.
        demand: OpeningDemand,
        /// What was weighed.
        inputs: QueueInputs,
    },
    /// Do nothing.
    Drop(DropReason),
}

impl Decision {
    /// Forwards a packet to an agent that was not chosen by load.
    pub(super) fn forward(agent: Ipv4Addr, service: ServiceId, reason: ForwardReason) -> Self {
        Decision::Forward(Forward::to(agent, service, reason))
    }

    /// Sends a searching packet along each of these rows of agents: to the first of a
    /// row, which passes it on to the others in turn. Without any, drops it.
    pub(super) fn search(rows: &[Vec<Ipv4Addr>], service: ServiceId) -> Self {
        let Some((first_row, further_rows)) = rows.split_first() else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        let Some((agent, next)) = first_row.split_first() else {
            return Decision::Drop(DropReason::NobodyHoldsYet);
        };
        let (next, further_rows) = (next.to_vec(), further_rows.to_vec());
        let forward = Forward::to(*agent, service, ForwardReason::Search);
        Decision::Forward(Forward { next, further_rows, ..forward })
    }
}
