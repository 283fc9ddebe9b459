//! A balancer's decisions about packets.

mod caller_shares;
mod decision;
mod granting;
mod late_binding;
mod opening;
mod opening_queue;
mod queue_delay;
mod queueing;
mod search;
mod search_order;
mod undecided;

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ReturnReason, ServiceId, TargetClaim, TargetLoad, Timing, ZoneId};

pub use caller_shares::CallerShares;
pub use decision::{
    Decision, DropReason, Forward, ForwardReason, QueueInputs, ResetReason, SelectionInputs,
};
pub use granting::{GrantAnswer, RoomGrant, RoomRequest, SettledOpening};
pub use queue_delay::{AdmissionRate, may_wait};

use crate::agent_status::AgentStatuses;
use crate::flow_table::{FlowEntry, FlowStage, FlowTable};
use crate::packet::{FlowKey, PacketHeader};
use crate::pending_packets::PendingPackets;
use crate::route_history::RouteHistory;
use crate::search_budget::SearchBudget;
use crate::search_outcomes::SearchOutcomes;
use crate::selection::rendezvous_first;
use crate::view::FleetView;
use late_binding::LateBinding;
use undecided::UndecidedPackets;

/// Most flows that a balancer remembers.
const FLOW_CAPACITY: usize = 131_072;
/// Idle time after which a flow is forgotten when no configuration states one.
const DEFAULT_IDLE_MS: Millis = 60_000;
/// Shortest idle time after which a flow is forgotten.
const SHORTEST_IDLE_MS: Millis = 5_000;

/// What a decision is made from, beside the balancer's own state.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Routes and targets in force.
    pub view: &'a FleetView,
    /// Whether the store's word is recent enough to refuse by.
    pub fresh: bool,
    /// Balancers that take packets of unknown flows over; empty while this one has
    /// the time to deal with them.
    pub helpers: &'a [Ipv4Addr],
    /// The time.
    pub now: Millis,
    /// The time of day, in milliseconds since 1970. Machines disagree on it, and it may
    /// jump.
    pub unix_ms: u64,
}

/// What a balancer's machine gives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerLimits {
    /// Processor time, in thousandths of a processor; none if not known.
    pub processor_permille: Option<u32>,
    /// Rate of its link in kilobits a second; none if not known.
    pub link_kbps: Option<u32>,
}

/// A packet that a client wrote.
#[derive(Clone, Copy, Debug)]
pub struct ClientPacket<'a> {
    /// Its head.
    pub header: &'a PacketHeader,
    /// All of it.
    pub bytes: &'a [u8],
}

/// The state of a balancer that decisions need beside the view.
#[derive(Clone, Debug)]
pub struct Balancer {
    flows: FlowTable,
    statuses: AgentStatuses,
    /// Packets that look for their target, to be sent on without waiting for the
    /// client to send them again.
    searches: PendingPackets,
    search_budget: SearchBudget,
    search_outcomes: SearchOutcomes,
    route_history: RouteHistory,
    /// Packets that came before a configuration or a target was known.
    undecided: UndecidedPackets,
    /// Opening packets that wait until a target has room.
    late_binding: LateBinding,
    /// When the store's word last became fresh.
    regained_at: Millis,
    timing: Timing,
}

impl Balancer {
    /// A balancer that has seen nothing.
    pub fn new(timing: Timing) -> Self {
        Self { timing, ..Self::with_capacity(FLOW_CAPACITY) }
    }

    /// The same within the limits of its machine.
    pub fn with_limits(timing: Timing, limits: BalancerLimits) -> Self {
        let undecided = limits.processor_permille.map(UndecidedPackets::with_processor_share);
        Self {
            undecided: undecided.unwrap_or_default(),
            search_budget: SearchBudget::new(limits.link_kbps),
            ..Self::new(timing)
        }
    }

    /// A balancer that remembers at most `capacity` flows.
    pub fn with_capacity(capacity: usize) -> Self {
        Self {
            flows: FlowTable::new(capacity),
            statuses: AgentStatuses::default(),
            searches: PendingPackets::default(),
            search_budget: SearchBudget::new(None),
            search_outcomes: SearchOutcomes::default(),
            route_history: RouteHistory::default(),
            undecided: UndecidedPackets::default(),
            late_binding: LateBinding::default(),
            regained_at: 0,
            timing: Timing::default(),
        }
    }

    /// Number of flows remembered.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Notes that the store's word is fresh again after it was not.
    pub fn store_regained(&mut self, now: Millis) {
        self.regained_at = now;
    }

    /// Decides about a client's packet.
    pub fn client_packet(&mut self, context: &Context<'_>, packet: ClientPacket<'_>) -> Decision {
        if packet.header.flags.bounced {
            return Decision::Drop(DropReason::BouncedByClient);
        }
        let decision = self.decide_client_packet(context, packet);
        self.keep_undecided(&decision, packet, context.now);
        decision
    }

    fn decide_client_packet(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
    ) -> Decision {
        if let Some(helper) = self.helper(context, packet.header) {
            return Decision::HandOff { helper };
        }
        if packet.header.is_opening() {
            return self.opening_packet(context, packet);
        }
        let decision = self.later_packet(context, packet.header);
        self.keep_for_search(&decision, packet, context);
        decision
    }

    /// Decides about a client's packet that an agent sent back, and that it got with a grant
    /// or without.
    pub fn returned_packet(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
        from: Ipv4Addr,
        reason: ReturnReason,
        granted: bool,
    ) -> Decision {
        match reason {
            ReturnReason::Leaving => self.statuses.note_leaving(from, context.now),
            ReturnReason::Failing => self.statuses.note_failing(from, context.now),
            ReturnReason::Bounced
            | ReturnReason::OtherService
            | ReturnReason::Evacuated
            | ReturnReason::Busy => {}
        }
        let opens = packet.header.is_opening();
        let flow = packet.header.client_flow();
        if self.is_queued(&flow) {
            if opens {
                return Decision::Drop(DropReason::OpeningQueued);
            }
            self.leave_queue(&flow, context.now);
        }
        if opens && self.is_earlier_delivery(&flow, from, granted) {
            return Decision::Drop(DropReason::OpeningElsewhere);
        }
        if let Some(known) = self.note_return(context, &flow, from, opens) {
            return known;
        }
        if opens {
            let decision = self.returned_opening(context, packet, from, reason);
            self.keep_undecided(&decision, packet, context.now);
            return decision;
        }
        let decision = self.search(context, packet.header);
        self.keep_for_search(&decision, packet, context);
        decision
    }

    /// Takes in that an agent's target answered a flow. Returns for how many
    /// milliseconds the opening packet had waited, if this was its first answer.
    pub fn holds(
        &mut self,
        flow: FlowKey,
        from: Ipv4Addr,
        confirmed: bool,
        load: impl Into<TargetLoad>,
        now: Millis,
    ) -> Option<Millis> {
        self.statuses.note_answer(from, load.into(), now);
        self.leave_queue(&flow, now);
        let entry = self.flows.get_mut(&flow)?;
        let was_opening = entry.stage == FlowStage::Opening;
        if matches!(entry.stage, FlowStage::Searching | FlowStage::NotFound) {
            self.search_outcomes.note(false, now);
        }
        // Two targets may answer copies of one opening packet; the client goes on
        // with one of them, and only that one's later packets confirm.
        if confirmed || entry.stage != FlowStage::Held {
            entry.set_holder(from);
            self.searches.remove(&flow);
        }
        was_opening.then(|| now.saturating_sub(entry.tried_at))
    }

    /// Takes in an agent's sign of life that came with an answer to a packet.
    pub fn note_answer(&mut self, agent: Ipv4Addr, load: impl Into<TargetLoad>, now: Millis) {
        self.statuses.note_answer(agent, load.into(), now);
    }

    /// Takes in the word of an agent, which runs in `zone`, about the target beside it.
    pub fn note_target_status(
        &mut self,
        agent: Ipv4Addr,
        zone: ZoneId,
        claim: &TargetClaim,
        now: Millis,
    ) {
        self.statuses.note_target_status(agent, zone, claim, now);
    }

    /// Takes in an agent's answer to a probe.
    pub fn note_probe_answer(&mut self, now: Millis) {
        self.statuses.note_probe_answer(now);
    }

    /// Takes in that an agent's target has ended: searches need not ask it.
    pub fn note_target_ended(&mut self, agent: Ipv4Addr, now: Millis) {
        self.statuses.note_target_ended(agent, now);
    }

    /// Whether agents are to be probed, as openings stay unanswered.
    pub fn needs_probes(&self, now: Millis) -> bool {
        self.statuses.needs_probes(now)
    }

    /// Whether this balancer seems to be cut off from all agents.
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.statuses.is_isolated(now)
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, view: &FleetView, now: Millis) {
        let idle_ms = view.idle_timeout_ms().unwrap_or(DEFAULT_IDLE_MS);
        self.flows.expire(now, idle_ms.max(SHORTEST_IDLE_MS));
        self.statuses.expire(now);
        self.late_binding.expire(now);
        self.route_history.note(view);
    }

    /// The balancer that takes a packet over: the same for all packets of a flow.
    /// Flows that are known here cost little and stay.
    fn helper(&mut self, context: &Context<'_>, header: &PacketHeader) -> Option<Ipv4Addr> {
        let flow = header.client_flow();
        let is_known = context.helpers.is_empty()
            || self.flows.get_mut(&flow).is_some()
            || self.is_queued(&flow);
        let may_leave = context.view.allows_own_region(header.destination);
        if is_known || !may_leave { None } else { rendezvous_first(flow.hash(), context.helpers) }
    }

    fn later_packet(&mut self, context: &Context<'_>, header: &PacketHeader) -> Decision {
        let flow = header.client_flow();
        if self.is_queued(&flow) {
            // Its client goes on: a copy of its opening packet was answered elsewhere.
            self.leave_queue(&flow, context.now);
            self.flows.remove(&flow);
        }
        let Some(entry) = self.flows.get_mut(&flow) else {
            return self.search(context, header);
        };
        entry.used_at = context.now;
        let agent = entry.agent;
        let reason = match entry.stage {
            FlowStage::NotFound | FlowStage::Queued => return self.search(context, header),
            FlowStage::Searching if search::is_stalled(entry, context.now) => {
                return self.search_past_silence(context, header);
            }
            FlowStage::Searching => return self.join_search(context, header),
            FlowStage::Opening | FlowStage::Held => ForwardReason::Held,
        };
        let service = service_of(context.view, &flow, agent);
        Decision::forward(agent, service, reason)
    }

    /// Notes in the flow's entry that an agent sent its packet back. Returns the
    /// decision if the entry already says where the packet goes.
    fn note_return(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        from: Ipv4Addr,
        opens: bool,
    ) -> Option<Decision> {
        let stage = if opens { FlowStage::Opening } else { FlowStage::Searching };
        let Some(entry) = self.flows.get_mut(flow) else {
            let mut entry = FlowEntry::new(from, stage, context.now);
            entry.tried.insert(from);
            // What became of other copies of an opening packet is not known.
            entry.may_be_open = true;
            self.flows.insert(*flow, entry);
            return None;
        };
        match entry.stage {
            FlowStage::Held if entry.agent != from => {
                let agent = entry.agent;
                let service = service_of(context.view, flow, agent);
                Some(Decision::forward(agent, service, ForwardReason::Held))
            }
            FlowStage::NotFound => {
                entry.note_returned(from);
                Some(Decision::Drop(DropReason::NobodyHoldsYet))
            }
            _ => {
                if entry.stage == FlowStage::Opening && !opens {
                    // What was tried for the opening packet was not asked for the flow: a
                    // target whose answer did not come here in time may hold it.
                    entry.tried.clear();
                }
                entry.may_be_open |= matches!(entry.stage, FlowStage::Held | FlowStage::Searching);
                entry.note_returned(from);
                entry.stage = stage;
                None
            }
        }
    }

    /// The outcome for a packet to an address without a route.
    fn without_route(view: &FleetView, header: &PacketHeader) -> Decision {
        let sequence = if header.is_opening() { 0 } else { header.acknowledgment };
        match view.label() {
            None => Decision::Drop(DropReason::NoConfiguration),
            Some(_) => Decision::Reset { sequence, reason: ResetReason::NoRoute },
        }
    }

    /// Whether targets may live that have no record yet.
    fn is_unsettled(&self, now: Millis) -> bool {
        now < self.regained_at + self.timing.settle_ms
    }

    fn go_to(&mut self, flow: FlowKey, agent: Ipv4Addr, stage: FlowStage, now: Millis) {
        match self.flows.get_mut(&flow) {
            Some(entry) => {
                entry.agent = agent;
                entry.stage = stage;
                entry.tried_at = now;
                entry.granted = false;
            }
            None => self.flows.insert(flow, FlowEntry::new(agent, stage, now)),
        }
    }
}

impl Default for Balancer {
    fn default() -> Self {
        Self::new(Timing::default())
    }
}

/// The service that an agent stands for in the view; for an agent that the view
/// no longer has, the route's. Only opening packets are refused for it.
fn service_of(view: &FleetView, flow: &FlowKey, agent: Ipv4Addr) -> ServiceId {
    let Some(route) = view.route(flow.service) else { return ServiceId(0) };
    let stands_for = |service: &ServiceId| {
        view.candidates(*service).iter().any(|candidate| candidate.agent == agent)
    };
    let by_agent = route.services().find(stands_for);
    by_agent.or_else(|| route.pick(flow.hash())).unwrap_or(ServiceId(0))
}
