//! Openings that find no room wait here until any target of their service grants some.
//!
//! Which target serves an opening is decided when one has room, not when the opening comes
//! (late binding): no opening waits at a busy target while another one is idle. Concerns
//! routes that state an objective.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, ReturnReason, ServiceId};

use super::decision::{Decision, DropReason, QueueInputs, ResetReason};
use super::late_binding::Trend;
use super::opening::Eligible;
use super::opening_queue::{QueueClass, QueuedOpening, Turn};
use super::queue_delay::may_wait;
use super::{Balancer, ClientPacket, Context};
use crate::client_rank::ClientRank;
use crate::flow_table::FlowStage;
use crate::packet::{FlowKey, PacketHeader};
use crate::selection::TargetCosts;
use crate::view::{Candidate, CompiledRoute, Distance};

/// Time of a flow that neither the queue nor the target sees: a handshake and the way of the
/// request and its answer, between zones.
const JOURNEY_MS: Millis = 30;
/// Time of a request at a target when no agent has told.
const DEFAULT_SERVICE_MS: Millis = 50;
/// A client gives up an attempt to open a flow this long after its first packet.
const ATTEMPT_MS: Millis = 1_400;
/// When a client sends the copies of an opening packet, after the first one.
const COPIES_AFTER_MS: [Millis; 3] = [0, 200, 600];
/// A copy that comes within this time after the opening was sent for a grant goes to the
/// same target: after it, the target counts as silent.
const GRANT_ANSWER_MS: Millis = 150;

/// Where an opening is to wait.
pub(super) struct QueuePlace<'a> {
    pub(super) route: &'a CompiledRoute,
    pub(super) service: ServiceId,
    pub(super) turn: Turn,
    /// The answering targets that may take it.
    pub(super) targets: &'a [Candidate],
}

/// When an opening's flow began, and until when it may wait.
struct Budget {
    /// Until when its answer would still meet the route's objective.
    objective_end: Millis,
    /// Until when its caller is there.
    patience_end: Millis,
}

impl Budget {
    fn new(route: &CompiledRoute, first_at: Millis, service_ms: Millis) -> Self {
        let needed_ms = service_ms + JOURNEY_MS;
        let before = |limit: Millis| first_at + limit.saturating_sub(needed_ms);
        let attempt_end = first_at + ATTEMPT_MS - JOURNEY_MS;
        let patience_end = route.timeout_ms().map_or(attempt_end, before).min(attempt_end);
        let objective_end = route.objective_ms().map_or(patience_end, before).min(patience_end);
        Self { objective_end, patience_end }
    }

    /// The end of the wait. An opening that is too late for its objective may still wait
    /// where it holds up no other.
    fn end(&self, nothing_waits: bool, now: Millis) -> Millis {
        let is_late = self.objective_end <= now;
        if is_late && nothing_waits { self.patience_end } else { self.objective_end }
    }
}

impl Balancer {
    /// Whether an opening that comes now queues behind others of its class.
    pub(super) fn must_queue(&self, route: &CompiledRoute, service: ServiceId) -> bool {
        let class = QueueClass { service, urgent: route.is_urgent() };
        route.objective_ms().is_some() && self.late_binding.waiting(class) > 0
    }

    /// Lets an opening wait for room, or refuses it if it would wait for too long.
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
        let ahead = if place.turn == Turn::First { 0 } else { waiting };
        let service_ms = self.typical_service_ms(context, service);
        let budget = Budget::new(place.route, first_at, service_ms);
        let budget_end = budget.end(waiting == 0, now);
        let budget_ms = budget_end.saturating_sub(now);
        let expected_wait_ms = self.late_binding.expected_wait(class, ahead, now);
        let inputs = QueueInputs { ahead, expected_wait_ms, budget_ms };
        let rank = match self.late_binding.note_arrival(class, now) {
            // Nobody has to be refused for others to be in time.
            Trend::Draining => ClientRank::SERVED_FIRST,
            Trend::Growing => self.late_binding.rank(*flow.client.ip(), context.unix_ms, now),
        };
        let may_wait = match place.turn {
            Turn::First => budget_ms > 0,
            Turn::Last => may_wait(expected_wait_ms, ahead, budget_ms, rank),
        };
        // In a crowd most are refused: only what waits is copied.
        let opening = || {
            let (header, bytes) = (*packet.header, packet.bytes.to_vec());
            QueuedOpening { header, bytes, class, queued_at, budget_end }
        };
        if !may_wait || !self.late_binding.push(opening(), place.turn, now) {
            return self.refuse(&flow, ResetReason::Overloaded { inputs });
        }
        let ask = self.agents_to_ask(service, place.targets, now);
        let demand = self.late_binding.demand(service, now);
        Decision::Queue { ask, service, demand, inputs }
    }

    /// Notes in a flow's entry that its opening waits. Returns when the flow began and when
    /// its opening first began to wait.
    fn note_queued(&mut self, header: &PacketHeader, now: Millis) -> (Millis, Millis) {
        let flow = header.client_flow();
        if self.flows.get_mut(&flow).is_none() {
            let nowhere = Ipv4Addr::UNSPECIFIED;
            self.go_to(flow, nowhere, FlowStage::Queued, now);
            self.note_first_packet(header, now);
        }
        let Some(entry) = self.flows.get_mut(&flow) else { return (now, now) };
        entry.stage = FlowStage::Queued;
        entry.used_at = now;
        entry.granted = false;
        let queued_at = *entry.queued_at.get_or_insert(now);
        (entry.first_at, queued_at)
    }

    /// Notes in a new flow's entry when its first packet came, which another balancer may
    /// have got and sent to a target.
    pub(super) fn note_first_packet(&mut self, header: &PacketHeader, now: Millis) {
        let Some(entry) = self.flows.get_mut(&header.client_flow()) else { return };
        let copies = usize::try_from(header.acknowledgment).unwrap_or(usize::MAX);
        let age_ms = COPIES_AFTER_MS[copies.min(COPIES_AFTER_MS.len() - 1)];
        entry.first_at = now.saturating_sub(age_ms);
        entry.may_be_open = copies > 0;
    }

    /// The outcome for an opening that no target takes, or none in time. Its client is told if
    /// no target can have opened the flow.
    pub(super) fn refuse(&mut self, flow: &FlowKey, reason: ResetReason) -> Decision {
        let may_be_open = self.flows.get_mut(flow).is_none_or(|entry| entry.may_be_open);
        self.flows.remove(flow);
        if may_be_open {
            return Decision::Drop(DropReason::OpeningRefused);
        }
        Decision::Reset { sequence: 0, reason }
    }

    /// Whether a returned opening is another delivery than the latest one to the same agent:
    /// the message came late or twice, and the agent may still take the latest one.
    pub(super) fn is_earlier_delivery(
        &mut self,
        flow: &FlowKey,
        from: Ipv4Addr,
        granted: bool,
    ) -> bool {
        let entry = self.flows.get_mut(flow).filter(|entry| entry.agent == from);
        entry.is_some_and(|entry| entry.granted != granted)
    }

    /// The outcome for a returned opening that queues; none if it goes on as openings of
    /// routes without an objective do.
    pub(super) fn returned_to_queue(
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
        let Eligible { answering, .. } = eligible.without(self.flows.tried(&flow));
        if answering.is_empty() {
            return None;
        }
        let turn = if was_granted { Turn::First } else { Turn::Last };
        let place = QueuePlace { route, service, turn, targets: &answering };
        Some(self.queue_opening(context, packet, &place))
    }

    /// The target that a copy of an opening follows, which was sent there for a grant.
    pub(super) fn granted_lately(&mut self, flow: &FlowKey, now: Millis) -> Option<Ipv4Addr> {
        let entry = self.flows.get_mut(flow)?;
        let is_recent = now.saturating_sub(entry.tried_at) < GRANT_ANSWER_MS;
        let awaits_answer = entry.granted && entry.stage == FlowStage::Opening && is_recent;
        awaits_answer.then_some(entry.agent)
    }

    /// Whether a flow's opening waits here.
    pub(super) fn is_queued(&self, flow: &FlowKey) -> bool {
        self.late_binding.contains(flow)
    }

    /// Forgets an opening that waits, as its flow was opened elsewhere or given up.
    pub(super) fn leave_queue(&mut self, flow: &FlowKey, now: Millis) {
        self.late_binding.give_up(flow, now);
    }

    /// How many openings wait here.
    pub fn queue_length(&self) -> usize {
        self.late_binding.len()
    }

    /// The agents to be asked for room: those of the cheapest targets, and far ones only after
    /// all others.
    pub(super) fn agents_to_ask(
        &mut self,
        service: ServiceId,
        targets: &[Candidate],
        now: Millis,
    ) -> Vec<Ipv4Addr> {
        let costs = TargetCosts::new(targets, &self.statuses, now);
        let cost = |target: &Candidate| (target.distance == Distance::Far, costs.cost(target));
        self.late_binding.choose_asked(service, targets, cost, now)
    }

    /// The time of one request at the middle one of the service's targets.
    fn typical_service_ms(&mut self, context: &Context<'_>, service: ServiceId) -> Millis {
        let statuses = &self.statuses;
        self.late_binding.service_ms(service, context.now, || {
            let candidates = context.view.candidates(service).iter();
            let told =
                candidates.filter_map(|target| statuses.target_load(target.agent).service_ms);
            let mut told: Vec<u32> = told.collect();
            told.sort_unstable();
            told.get(told.len() / 2).map_or(DEFAULT_SERVICE_MS, |middle| Millis::from(*middle))
        })
    }
}
