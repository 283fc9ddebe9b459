//! Queues openings that find no capacity until any target of their service grants some.
//!
//! The target of an opening is chosen when one has capacity, not when the opening arrives (late
//! binding), so no opening waits at a busy target while another target is idle. This applies to
//! routes that state an objective.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ReturnReason, ServiceId};

use super::decision::{Decision, DropReason, QueueInputs, ResetReason};
use super::late_binding::Trend;
use super::opening::Eligible;
use super::opening_queue::{QueueClass, QueueEnd, QueuedOpening};
use super::queue_delay::may_wait;
use super::{Balancer, ClientPacket, Context};
use crate::client_rank::ClientRank;
use crate::flow_table::FlowStage;
use crate::packet::{FlowKey, PacketHeader};
use crate::selection::TargetCosts;
use crate::view::{Candidate, CompiledRoute, Distance};

/// Time of a request that is spent neither in the queue nor at the target: a handshake and the
/// transit of the request and its answer, between zones.
const TRANSIT_MS: Millis = 30;
/// Service time assumed if no agent has reported one.
const DEFAULT_SERVICE_MS: Millis = 50;
/// A client abandons an attempt to open a flow this long after its first packet.
const ATTEMPT_TIMEOUT_MS: Millis = 1_400;
/// When a client sends the first opening packet and its retransmissions, relative to the first.
const TRANSMISSIONS_AFTER_MS: [Millis; 3] = [0, 200, 600];
/// A retransmission that arrives within this time after the opening was sent with a grant goes to
/// the same target. After this time, the target counts as unresponsive.
const GRANT_ANSWER_TIMEOUT_MS: Millis = 150;

/// Where an opening is to be queued.
pub(super) struct QueuePlace<'a> {
    pub(super) route: &'a CompiledRoute,
    pub(super) service: ServiceId,
    pub(super) queue_end: QueueEnd,
    /// The healthy targets that may take it.
    pub(super) targets: &'a [Candidate],
}

/// The deadlines of a queued opening.
struct Deadlines {
    /// Until when its answer would still meet the route's objective.
    objective_deadline: Millis,
    /// Until when its client waits for an answer.
    client_deadline: Millis,
}

impl Deadlines {
    fn new(route: &CompiledRoute, first_at: Millis, service_ms: Millis) -> Self {
        let needed_ms = service_ms + TRANSIT_MS;
        let latest_for = |limit: Millis| first_at + limit.saturating_sub(needed_ms);
        let attempt_deadline = first_at + ATTEMPT_TIMEOUT_MS - TRANSIT_MS;
        let client_deadline =
            route.timeout_ms().map_or(attempt_deadline, latest_for).min(attempt_deadline);
        let objective_deadline =
            route.objective_ms().map_or(client_deadline, latest_for).min(client_deadline);
        Self { objective_deadline, client_deadline }
    }

    /// Returns when the wait must end. An opening that is already too late for its objective may
    /// still wait if it delays no other opening.
    fn wait_deadline(&self, queue_is_empty: bool, now: Millis) -> Millis {
        let is_late = self.objective_deadline <= now;
        if is_late && queue_is_empty { self.client_deadline } else { self.objective_deadline }
    }
}

impl Balancer {
    /// Whether an opening that arrives now has to queue behind others of its class.
    pub(super) fn must_queue(&self, route: &CompiledRoute, service: ServiceId) -> bool {
        let class = QueueClass { service, urgent: route.is_urgent() };
        route.objective_ms().is_some() && self.late_binding.waiting(class) > 0
    }

    /// Queues an opening until a target has capacity, or refuses it if it would wait too long.
    pub(super) fn queue_opening(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
        place: &QueuePlace<'_>,
    ) -> Decision {
        let (now, flow) = (context.now, packet.header.client_flow());
        let (first_at, queued_at) = self.note_queued(packet.header, now);
        let service = place.service;
        let class = QueueClass { service, urgent: place.route.is_urgent() };
        let waiting = self.late_binding.waiting(class);
        let ahead = if place.queue_end == QueueEnd::Front { 0 } else { waiting };
        let service_ms = self.median_service_ms(context, service);
        let deadlines = Deadlines::new(place.route, first_at, service_ms);
        let deadline = deadlines.wait_deadline(waiting == 0, now);
        let budget_ms = deadline.saturating_sub(now);
        let expected_wait_ms = self.late_binding.expected_wait(class, ahead, now);
        let inputs = QueueInputs { ahead, expected_wait_ms, budget_ms };
        let rank = match self.late_binding.note_arrival(class, now) {
            // No refusals are needed for the others to be in time.
            Trend::Draining => ClientRank::SERVED_FIRST,
            Trend::Growing => self.late_binding.rank(*flow.client.ip(), context.unix_ms, now),
        };
        let may_wait = match place.queue_end {
            QueueEnd::Front => budget_ms > 0,
            QueueEnd::Back => may_wait(expected_wait_ms, ahead, budget_ms, rank),
        };
        // Most openings are refused in an overload, so the packet is copied only if it may wait.
        let opening = || {
            let (header, bytes) = (*packet.header, packet.bytes.to_vec());
            QueuedOpening { header, bytes, class, queued_at, deadline }
        };
        if !may_wait || !self.late_binding.push(opening(), place.queue_end, now) {
            return self.refuse(&flow, ResetReason::Overloaded { inputs });
        }
        let ask = self.agents_to_ask(service, place.targets, now);
        let demand = self.late_binding.demand(service, now);
        Decision::Queue { ask, service, demand, inputs }
    }

    /// Records in a flow's entry that its opening is queued. Returns when the flow began and when
    /// its opening was queued first.
    fn note_queued(&mut self, header: &PacketHeader, now: Millis) -> (Millis, Millis) {
        let flow = header.client_flow();
        if self.flows.get_mut(&flow).is_none() {
            let no_agent = Ipv4Addr::UNSPECIFIED;
            self.assign_agent(flow, no_agent, FlowStage::Queued, now);
            self.note_first_packet(header, now);
        }
        let Some(entry) = self.flows.get_mut(&flow) else { return (now, now) };
        entry.stage = FlowStage::Queued;
        entry.used_at = now;
        entry.granted = false;
        let queued_at = *entry.queued_at.get_or_insert(now);
        (entry.first_at, queued_at)
    }

    /// Records in a new flow's entry when its first packet was sent. Another balancer may have
    /// received that packet and sent it to a target.
    pub(super) fn note_first_packet(&mut self, header: &PacketHeader, now: Millis) {
        let Some(entry) = self.flows.get_mut(&header.client_flow()) else { return };
        let retransmissions = usize::try_from(header.acknowledgment).unwrap_or(usize::MAX);
        let age_ms = TRANSMISSIONS_AFTER_MS[retransmissions.min(TRANSMISSIONS_AFTER_MS.len() - 1)];
        entry.first_at = now.saturating_sub(age_ms);
        entry.may_be_open = retransmissions > 0;
    }

    /// Returns the decision for an opening that no target takes, or none in time. The client gets a
    /// reset only if no target can have opened the flow.
    pub(super) fn refuse(&mut self, flow: &FlowKey, reason: ResetReason) -> Decision {
        let may_be_open = self.flows.get_mut(flow).is_none_or(|entry| entry.may_be_open);
        self.flows.remove(flow);
        if may_be_open {
            return Decision::Drop(DropReason::OpeningRefused);
        }
        Decision::Reset { sequence: 0, reason }
    }

    /// Whether a returned opening belongs to an earlier delivery to the same agent than the latest
    /// one: the message was late or duplicated, and the agent may still take the latest delivery.
    pub(super) fn is_earlier_delivery(
        &mut self,
        flow: &FlowKey,
        from: Ipv4Addr,
        granted: bool,
    ) -> bool {
        let entry = self.flows.get_mut(flow).filter(|entry| entry.agent == from);
        entry.is_some_and(|entry| entry.granted != granted)
    }

    /// Returns the decision for a returned opening that is queued, or `None` if it is handled like
    /// openings of routes without an objective.
    pub(super) fn requeue_returned(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
        from: Ipv4Addr,
        returned: ReturnReason,
    ) -> Option<Decision> {
        let flow = packet.header.client_flow();
        let route = context.view.route(packet.header.destination)?;
        route.objective_ms()?;
        let service = route.pick(flow.hash())?;
        let entry = self.flows.get_mut(&flow).filter(|entry| !entry.has_waited)?;
        if entry.agent != from {
            return Some(Decision::Drop(DropReason::OpeningElsewhere));
        }
        let was_granted = std::mem::take(&mut entry.granted);
        if returned == ReturnReason::Busy {
            entry.tried.clear();
        } else if !was_granted {
            return None;
        }
        let eligible = self.eligible(context, route, service, flow.hash());
        let Eligible { healthy, .. } = eligible.without_tried(self.flows.tried(&flow));
        if healthy.is_empty() {
            return None;
        }
        let queue_end = if was_granted { QueueEnd::Front } else { QueueEnd::Back };
        let place = QueuePlace { route, service, queue_end, targets: &healthy };
        Some(self.queue_opening(context, packet, &place))
    }

    /// Returns the target to which a flow's opening was recently sent with a grant; retransmissions
    /// go to the same target.
    pub(super) fn recently_granted_agent(
        &mut self,
        flow: &FlowKey,
        now: Millis,
    ) -> Option<Ipv4Addr> {
        let entry = self.flows.get_mut(flow)?;
        let is_recent = now.saturating_sub(entry.tried_at) < GRANT_ANSWER_TIMEOUT_MS;
        let awaits_answer = entry.granted && entry.stage == FlowStage::Opening && is_recent;
        awaits_answer.then_some(entry.agent)
    }

    /// Whether a flow's opening is queued here.
    pub(super) fn is_queued(&self, flow: &FlowKey) -> bool {
        self.late_binding.contains(flow)
    }

    /// Removes a flow's opening from the queue, because the flow was opened elsewhere or abandoned.
    pub(super) fn remove_from_queue(&mut self, flow: &FlowKey, now: Millis) {
        self.late_binding.give_up(flow, now);
    }

    /// Number of openings queued here.
    pub fn queue_length(&self) -> usize {
        self.late_binding.len()
    }

    /// Selects the agents to ask for capacity: those of the cheapest targets, and far ones only
    /// after all others.
    pub(super) fn agents_to_ask(
        &mut self,
        service: ServiceId,
        targets: &[Candidate],
        now: Millis,
    ) -> Vec<Ipv4Addr> {
        let costs = TargetCosts::new(targets, &self.statuses, now);
        let cost = |target: &Candidate| (target.distance == Distance::Far, costs.cost(target));
        self.late_binding.select_agents_to_ask(service, targets, cost, now)
    }

    /// Returns the median of the service times reported for a service's targets.
    fn median_service_ms(&mut self, context: &Context<'_>, service: ServiceId) -> Millis {
        let statuses = &self.statuses;
        self.late_binding.service_ms(service, context.now, || {
            let candidates = context.view.candidates(service).iter();
            let reported =
                candidates.filter_map(|target| statuses.target_load(target.agent).service_ms);
            let mut reported: Vec<u32> = reported.collect();
            reported.sort_unstable();
            reported
                .get(reported.len() / 2)
                .map_or(DEFAULT_SERVICE_MS, |median| Millis::from(*median))
        })
    }
}
