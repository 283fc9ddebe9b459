//! Decides where a balancer sends each packet.

mod client_shares;
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

use weirhinge_fleet::{Millis, ReturnReason, ServiceId, TargetLoad, TargetStatus, Timing, ZoneId};

pub use client_shares::ClientShares;
pub use decision::{
    Decision, DropReason, Forward, ForwardReason, QueueInputs, ResetReason, SelectionInputs,
};
pub use granting::{CapacityGrant, CapacityRequest, GrantOutcome, ResolvedOpening};
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

/// Maximum number of flows in the flow table.
const FLOW_CAPACITY: usize = 131_072;
/// Idle time after which a flow is dropped from the table while there is no configuration.
const DEFAULT_IDLE_MS: Millis = 60_000;
/// Minimum idle time before a flow is dropped from the table.
const MIN_IDLE_MS: Millis = 5_000;

/// Inputs of a decision besides the balancer's own state.
#[derive(Clone, Copy, Debug)]
pub struct Context<'a> {
    /// Routes and targets in effect.
    pub view: &'a FleetView,
    /// Whether the store's data is recent enough to refuse flows on its basis.
    pub fresh: bool,
    /// Whether the view contains the targets that were removed from the store recently and may still
    /// hold flows.
    pub knows_removed_targets: bool,
    /// Balancers that take over packets of unknown flows; empty while this balancer has the
    /// processor time to handle them itself.
    pub helpers: &'a [Ipv4Addr],
    /// Current time of the process's steady clock.
    pub now: Millis,
    /// Wall-clock time in milliseconds since 1970. It differs between machines and may jump.
    pub unix_ms: u64,
}

/// Resource limits of a balancer's machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerLimits {
    /// Processor time in thousandths of a processor, or `None` if unknown.
    pub processor_permille: Option<u32>,
    /// Link rate in kilobits per second, or `None` if unknown.
    pub link_kbps: Option<u32>,
}

/// A packet sent by a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientPacket<'a> {
    /// Header of the packet.
    pub header: &'a PacketHeader,
    /// The whole packet.
    pub bytes: &'a [u8],
}

/// A balancer's state, apart from routes and targets.
#[derive(Clone, Debug)]
pub struct Balancer {
    flows: FlowTable,
    statuses: AgentStatuses,
    /// Packets that search for their target. They are sent on without waiting for a retransmission
    /// by the client.
    searches: PendingPackets,
    search_budget: SearchBudget,
    search_outcomes: SearchOutcomes,
    route_history: RouteHistory,
    /// Packets that arrived before a configuration or a target was known.
    undecided: UndecidedPackets,
    /// Opening packets queued until a target has capacity.
    late_binding: LateBinding,
    /// When the store's data last became fresh again.
    store_fresh_at: Millis,
    timing: Timing,
}

impl Balancer {
    /// Creates a balancer without any state.
    pub fn new(timing: Timing) -> Self {
        Self { timing, ..Self::with_capacity(FLOW_CAPACITY) }
    }

    /// Creates a balancer that respects the limits of its machine.
    pub fn with_limits(timing: Timing, limits: BalancerLimits) -> Self {
        let undecided = limits.processor_permille.map(UndecidedPackets::with_processor_share);
        Self {
            undecided: undecided.unwrap_or_default(),
            search_budget: SearchBudget::new(limits.link_kbps),
            ..Self::new(timing)
        }
    }

    /// Creates a balancer that remembers at most `capacity` flows.
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
            store_fresh_at: 0,
            timing: Timing::default(),
        }
    }

    /// Number of flows in the flow table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    /// Records that the store's data is fresh again.
    pub fn note_store_regained(&mut self, now: Millis) {
        self.store_fresh_at = now;
    }

    /// Decides about a client's packet.
    pub fn handle_client_packet(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
    ) -> Decision {
        if packet.header.flags.bounced {
            return Decision::Drop(DropReason::BouncedByClient);
        }
        let decision = self.route_client_packet(context, packet);
        self.keep_undecided(&decision, packet, context.now);
        decision
    }

    fn route_client_packet(&mut self, context: &Context<'_>, packet: ClientPacket<'_>) -> Decision {
        if let Some(helper) = self.choose_helper(context, packet.header) {
            return Decision::HandOff { helper };
        }
        if packet.header.is_opening() {
            return self.decide_opening(context, packet);
        }
        let decision = self.decide_later_packet(context, packet.header);
        self.keep_for_search(&decision, packet, context);
        decision
    }

    /// Decides about a client's packet that an agent returned. `granted` states whether the agent
    /// had received the packet with a grant.
    pub fn handle_returned_packet(
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
        let is_opening_packet = packet.header.is_opening();
        let flow = packet.header.client_flow();
        if self.is_queued(&flow) {
            if is_opening_packet {
                return Decision::Drop(DropReason::OpeningQueued);
            }
            self.remove_from_queue(&flow, context.now);
        }
        if is_opening_packet && self.is_earlier_delivery(&flow, from, granted) {
            return Decision::Drop(DropReason::OpeningElsewhere);
        }
        if let Some(known) = self.note_return(context, &flow, from, is_opening_packet) {
            return known;
        }
        if is_opening_packet {
            let decision = self.decide_returned_opening(context, packet, from, reason);
            self.keep_undecided(&decision, packet, context.now);
            return decision;
        }
        let decision = self.search(context, packet.header);
        self.keep_for_search(&decision, packet, context);
        decision
    }

    /// Records that an agent's target answered a flow. If this was the first answer, returns the
    /// milliseconds since the opening packet was sent to its current agent.
    pub fn note_holder(
        &mut self,
        flow: FlowKey,
        from: Ipv4Addr,
        confirmed: bool,
        load: impl Into<TargetLoad>,
        now: Millis,
    ) -> Option<Millis> {
        self.statuses.note_answer(from, load.into(), now);
        self.remove_from_queue(&flow, now);
        let entry = self.flows.get_mut(&flow)?;
        let was_opening = entry.stage == FlowStage::Opening;
        if matches!(entry.stage, FlowStage::Searching | FlowStage::NotFound) {
            self.search_outcomes.note(false, now);
        }
        // One target may answer the opening packet and another one its retransmission. The client
        // continues with one of them, and only later packets of that one confirm the flow.
        if confirmed || entry.stage != FlowStage::Held {
            entry.set_holder(from);
            self.searches.remove(&flow);
        }
        was_opening.then(|| now.saturating_sub(entry.tried_at))
    }

    /// Records a load report that came with an agent's answer to a packet.
    pub fn note_answer(&mut self, agent: Ipv4Addr, load: impl Into<TargetLoad>, now: Millis) {
        self.statuses.note_answer(agent, load.into(), now);
    }

    /// Records an agent's report about its co-located target. The agent runs in `zone`.
    pub fn note_target_status(
        &mut self,
        agent: Ipv4Addr,
        zone: ZoneId,
        status: &TargetStatus,
        now: Millis,
    ) {
        self.statuses.note_target_status(agent, zone, status, now);
    }

    /// Records an agent's answer to a probe.
    pub fn note_probe_answer(&mut self, now: Millis) {
        self.statuses.note_probe_answer(now);
    }

    /// Records that an agent's target has ended, so that searches skip it.
    pub fn note_target_ended(&mut self, agent: Ipv4Addr, now: Millis) {
        self.statuses.note_target_ended(agent, now);
    }

    /// Whether to probe agents because openings remain unanswered.
    pub fn needs_probes(&self, now: Millis) -> bool {
        self.statuses.needs_probes(now)
    }

    /// Whether this balancer appears to be cut off from all agents.
    pub fn is_isolated(&self, now: Millis) -> bool {
        self.statuses.is_isolated(now)
    }

    /// Drops expired state.
    pub fn expire(&mut self, view: &FleetView, now: Millis) {
        let idle_ms = view.idle_timeout_ms().unwrap_or(DEFAULT_IDLE_MS);
        self.flows.expire(now, idle_ms.max(MIN_IDLE_MS));
        self.statuses.expire(now);
        self.late_binding.expire(now);
        self.route_history.note(view);
    }

    /// Returns the balancer that takes over a packet: the same one for all packets of a flow. Flows
    /// that are known here stay, because they cost little.
    fn choose_helper(&mut self, context: &Context<'_>, header: &PacketHeader) -> Option<Ipv4Addr> {
        let flow = header.client_flow();
        let is_known = context.helpers.is_empty()
            || self.flows.get_mut(&flow).is_some()
            || self.is_queued(&flow);
        let may_leave = context.view.allows_own_region(header.destination);
        if is_known || !may_leave { None } else { rendezvous_first(flow.hash(), context.helpers) }
    }

    fn decide_later_packet(&mut self, context: &Context<'_>, header: &PacketHeader) -> Decision {
        let flow = header.client_flow();
        if self.is_queued(&flow) {
            // The client continues the flow, so a retransmission of its opening packet was answered
            // elsewhere.
            self.remove_from_queue(&flow, context.now);
            self.flows.remove(&flow);
        }
        let Some(entry) = self.flows.get_mut(&flow) else {
            return self.search(context, header);
        };
        entry.used_at = context.now;
        let agent = entry.agent;
        let reason = match entry.stage {
            FlowStage::NotFound | FlowStage::Queued => return self.search(context, header),
            FlowStage::Searching if search::has_timed_out(entry, context.now) => {
                return self.search_past_unanswered(context, header);
            }
            FlowStage::Searching => return self.join_search(context, header),
            FlowStage::Opening | FlowStage::Held => ForwardReason::Held,
        };
        let service = service_of_agent(context.view, &flow, agent);
        Decision::forward(agent, service, reason)
    }

    /// Records in the flow's entry that an agent returned its packet. Returns a decision if the
    /// entry already determines where the packet goes.
    fn note_return(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        from: Ipv4Addr,
        is_opening_packet: bool,
    ) -> Option<Decision> {
        let stage = if is_opening_packet { FlowStage::Opening } else { FlowStage::Searching };
        let Some(entry) = self.flows.get_mut(flow) else {
            let mut entry = FlowEntry::new(from, stage, context.now);
            entry.tried.insert(from);
            // It is unknown what happened to other copies of the opening packet.
            entry.may_be_open = true;
            self.flows.insert(*flow, entry);
            return None;
        };
        match entry.stage {
            FlowStage::Held if entry.agent != from => {
                let agent = entry.agent;
                let service = service_of_agent(context.view, flow, agent);
                Some(Decision::forward(agent, service, ForwardReason::Held))
            }
            FlowStage::NotFound => {
                entry.note_returned(from);
                Some(Decision::Drop(DropReason::NobodyHoldsYet))
            }
            _ => {
                if entry.stage == FlowStage::Opening && !is_opening_packet {
                    // The agents tried with the opening packet were not asked for the flow: a
                    // target whose answer did not arrive here in time may hold it.
                    entry.tried.clear();
                }
                entry.may_be_open |= matches!(entry.stage, FlowStage::Held | FlowStage::Searching);
                entry.note_returned(from);
                entry.stage = stage;
                None
            }
        }
    }

    /// Returns the decision for a packet whose destination has no route.
    fn decide_without_route(view: &FleetView, header: &PacketHeader) -> Decision {
        let sequence = if header.is_opening() { 0 } else { header.acknowledgment };
        match view.label() {
            None => Decision::Drop(DropReason::NoConfiguration),
            Some(_) => Decision::Reset { sequence, reason: ResetReason::NoRoute },
        }
    }

    /// Whether targets without a record may still be alive, because the store's data became fresh
    /// only recently.
    fn is_settling(&self, now: Millis) -> bool {
        now < self.store_fresh_at + self.timing.renewal_grace_ms
    }

    fn assign_agent(&mut self, flow: FlowKey, agent: Ipv4Addr, stage: FlowStage, now: Millis) {
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

/// Returns the service of an agent's target according to the view, or the route's service if the
/// view no longer has the agent. Agents check the service only on opening packets.
fn service_of_agent(view: &FleetView, flow: &FlowKey, agent: Ipv4Addr) -> ServiceId {
    let Some(route) = view.route(flow.service) else { return ServiceId(0) };
    let serves = |service: &ServiceId| {
        view.candidates(*service).iter().any(|candidate| candidate.agent == agent)
    };
    let serving_agent = route.services().find(serves);
    serving_agent.or_else(|| route.pick(flow.hash())).unwrap_or(ServiceId(0))
}
