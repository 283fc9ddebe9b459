//! Where opening packets go.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, RegionId, ReturnReason, ServiceId};

use super::decision::{Decision, DropReason, Forward, ForwardReason, ResetReason, SelectionInputs};
use super::opening_queue::Turn;
use super::queueing::QueuePlace;
use super::{Balancer, ClientPacket, Context, service_of};
use crate::expected_time::expected_ms;
use crate::flow_table::{FlowEntry, FlowStage};
use crate::packet::{FlowKey, OPENING_SPAN_MS, PacketHeader};
use crate::selection::{cheapest, load_permille, rendezvous_order};
use crate::view::{Availability, Candidate, CompiledRoute, Distance};

/// Targets compared by load. Two even out almost as well as all would (the power
/// of two choices) and keep the flow near the front of its order, where a balancer
/// that does not know the flow looks first.
const COMPARED: usize = 2;

/// Failing targets that send an opening packet back before one has to take it.
const MOST_FAILING_RETURNS: u32 = 2;

/// Targets that may take a new flow, each tier in the flow's order.
pub(super) struct Eligible {
    pub(super) answering: Vec<Candidate>,
    /// Ready targets whose agent does not answer, is about to stop, or said that its
    /// target fails.
    silent: Vec<Candidate>,
}

impl Eligible {
    fn is_empty(&self) -> bool {
        self.answering.is_empty() && self.silent.is_empty()
    }

    /// The targets that a flow did not try yet.
    pub(super) fn without(mut self, tried: &BTreeSet<Ipv4Addr>) -> Self {
        let is_untried = |candidate: &Candidate| !tried.contains(&candidate.agent);
        self.answering.retain(is_untried);
        self.silent.retain(is_untried);
        self
    }
}

impl Balancer {
    pub(super) fn opening_packet(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
    ) -> Decision {
        let now = context.now;
        let flow = packet.header.client_flow();
        if self.is_queued(&flow) {
            return Decision::Drop(DropReason::OpeningQueued);
        }
        let granted_by = self.granted_lately(&flow, now);
        let is_copy = |entry: &FlowEntry| {
            matches!(entry.stage, FlowStage::Opening | FlowStage::Held)
                && now.saturating_sub(entry.tried_at) < OPENING_SPAN_MS
        };
        let Some(entry) = self.flows.get_mut(&flow).filter(|entry| is_copy(entry)) else {
            self.flows.remove(&flow);
            return self.choose_target(context, packet, ForwardReason::Opened);
        };
        entry.used_at = now;
        let agent = entry.agent;
        if entry.stage == FlowStage::Held {
            // It took the opening that answered its grant; the copy goes without one.
            entry.granted = false;
        }
        if entry.stage == FlowStage::Held || granted_by.is_some() {
            // The target may take the copy though it sends the first packet back.
            entry.may_be_open = true;
            let service = service_of(context.view, &flow, agent);
            return Decision::forward(agent, service, ForwardReason::OpeningRepeated);
        }
        if entry.has_waited {
            let service = service_of(context.view, &flow, agent);
            return Decision::forward(agent, service, ForwardReason::OpeningWaits);
        }
        entry.tried.insert(agent);
        entry.may_be_open = true;
        self.choose_target(context, packet, ForwardReason::OpeningMoved)
    }

    /// An opening packet that a busy target sent back waits at the least loaded one, and
    /// so does one that met several failing targets, which then take it; others go on to
    /// a target that they did not try yet.
    pub(super) fn returned_opening(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
        from: Ipv4Addr,
        returned: ReturnReason,
    ) -> Decision {
        if let Some(decision) = self.returned_to_queue(context, packet, from, returned) {
            return decision;
        }
        let flow = packet.header.client_flow();
        let goes_on = match returned {
            ReturnReason::Busy => false,
            ReturnReason::Failing => self.passes_failing(context, packet.header),
            ReturnReason::Bounced | ReturnReason::OtherService => true,
            ReturnReason::Leaving | ReturnReason::Evacuated => {
                self.forget_wait(&flow);
                true
            }
        };
        let Some(entry) = self.flows.get_mut(&flow).filter(|_| !goes_on) else {
            return self.choose_target(context, packet, ForwardReason::OpeningReturned);
        };
        if entry.has_waited {
            // It waited for nearly as long as the client does, or had to make room for
            // newer ones; it gets its answer now.
            return self.refuse(&flow, ResetReason::Refused);
        }
        entry.has_waited = true;
        entry.tried.clear();
        self.choose_target(context, packet, ForwardReason::OpeningWaits)
    }

    /// An opening packet may have waited at a target that now takes no new flows: it did
    /// not get its turn there, and may wait once more at another one.
    fn forget_wait(&mut self, flow: &FlowKey) {
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.has_waited = false;
        }
    }

    /// Whether an opening packet that a failing target sent back tries another one: only
    /// a few times, as most of them may fail.
    fn passes_failing(&mut self, context: &Context<'_>, header: &PacketHeader) -> bool {
        let flow = header.client_flow();
        let Some(entry) = self.flows.get_mut(&flow) else { return true };
        entry.failing_returns += 1;
        if entry.failing_returns >= MOST_FAILING_RETURNS {
            return false;
        }
        let Some(route) = context.view.route(header.destination) else { return false };
        route.pick(flow.hash()).is_some_and(|service| {
            let eligible = self.eligible(context, route, service, flow.hash());
            !eligible.without(self.flows.tried(&flow)).is_empty()
        })
    }

    /// Chooses a target for an opening packet among those not tried yet.
    pub(super) fn choose_target(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
        reason: ForwardReason,
    ) -> Decision {
        let (now, header) = (context.now, packet.header);
        let flow = header.client_flow();
        let Some(route) = context.view.route(header.destination) else {
            return Self::without_route(context.view, header);
        };
        let Some(service) = route.pick(flow.hash()) else {
            return Decision::Reset { sequence: 0, reason: ResetReason::NoTarget };
        };
        let eligible = self.eligible(context, route, service, flow.hash());
        let any_eligible = !eligible.is_empty();
        let untried = eligible.without(self.flows.tried(&flow));
        let is_forced = reason == ForwardReason::OpeningWaits || untried.answering.is_empty();
        if !is_forced && self.must_queue(route, service) {
            let targets = &untried.answering;
            let place = QueuePlace { route, service, turn: Turn::Last, targets };
            return self.queue_opening(context, packet, &place);
        }
        // A target that does not answer looks idle: it is never compared by load.
        let tier = if untried.answering.is_empty() { &untried.silent } else { &untried.answering };
        let compared = if reason == ForwardReason::OpeningWaits { tier.len() } else { COMPARED };
        let Some(chosen) = cheapest(tier, compared, &self.statuses, now) else {
            return self.nobody_takes(context, &flow, any_eligible, reason);
        };
        let inputs = SelectionInputs {
            eligible: tier.len(),
            load_permille: load_permille(&chosen, &self.statuses, now),
            expected_ms: expected_ms(&chosen, &self.statuses, now),
            load_age_ms: self.statuses.age(chosen.agent, now),
        };
        self.statuses.note_opening_sent(chosen.agent, now);
        let is_new = self.flows.get_mut(&flow).is_none();
        self.go_to(flow, chosen.agent, FlowStage::Opening, now);
        if is_new {
            self.note_first_packet(header, now);
        }
        let forward = Forward::to(chosen.agent, service, reason);
        let (urgent, inputs) = (route.is_urgent(), Some(inputs));
        Decision::Forward(Forward { urgent, inputs, ..forward })
    }

    /// The outcome for an opening packet that no untried target can get.
    fn nobody_takes(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        any_eligible: bool,
        reason: ForwardReason,
    ) -> Decision {
        // Silent targets may yet answer the next copy, those that sent the packet
        // back will not take it now.
        if any_eligible && reason == ForwardReason::OpeningReturned {
            return self.refuse(flow, ResetReason::Refused);
        }
        self.flows.remove(flow);
        let settled = context.fresh && !self.is_unsettled(context.now);
        if !any_eligible && self.is_evacuated(context, flow) {
            return Decision::Reset { sequence: 0, reason: ResetReason::Evacuated };
        }
        if !any_eligible && settled {
            return Decision::Reset { sequence: 0, reason: ResetReason::NoTarget };
        }
        Decision::Drop(DropReason::NoTargetYet)
    }

    /// Whether a flow's service has ready targets, but in evacuated zones alone. That is
    /// known without any news of the store: nothing is waited for.
    fn is_evacuated(&self, context: &Context<'_>, flow: &FlowKey) -> bool {
        let route = context.view.route(flow.service);
        let service = route.and_then(|route| route.pick(flow.hash()));
        let (Some(route), Some(service)) = (route, service) else { return false };
        context.view.candidates(service).iter().any(|candidate| {
            candidate.availability == Availability::Ready
                && candidate.evacuated
                && route.allows(candidate.region)
        })
    }

    /// Targets that may take a new flow: ready ones, or where none of them answers
    /// also those that lost their record but may well live.
    pub(super) fn eligible(
        &self,
        context: &Context<'_>,
        route: &CompiledRoute,
        service: ServiceId,
        flow_hash: u64,
    ) -> Eligible {
        let now = context.now;
        let candidates = context.view.candidates(service);
        let is_ready = |candidate: &&Candidate| {
            candidate.availability == Availability::Ready
                && !candidate.evacuated
                && route.allows(candidate.region)
        };
        let ready = candidates.iter().filter(is_ready);
        let ready = rendezvous_order(flow_hash, ready);
        let is_silent = |candidate: &Candidate| self.is_silent(candidate, now);
        let (silent, mut answering): (Vec<_>, Vec<_>) = ready.into_iter().partition(is_silent);
        if answering.is_empty() {
            let mut unrecorded = self.unrecorded(context, candidates, service);
            unrecorded.retain(|candidate| route.allows(candidate.region));
            answering = rendezvous_order(flow_hash, unrecorded.iter());
            answering.retain(|candidate| !is_silent(candidate));
        }
        Eligible { answering, silent }
    }

    /// Whether a target does not answer, is about to stop, or fails.
    pub(super) fn is_silent(&self, candidate: &Candidate, now: Millis) -> bool {
        self.statuses.is_suspect(candidate, now) || self.statuses.is_failing(candidate, now)
    }

    /// Targets without a record that may take flows where no other does.
    fn unrecorded(
        &self,
        context: &Context<'_>,
        candidates: &[Candidate],
        service: ServiceId,
    ) -> Vec<Candidate> {
        let now = context.now;
        let unsettled = !context.fresh || self.is_unsettled(now);
        let grace_ms = self.timing.vanished_grace_ms;
        let may_live = |candidate: &&Candidate| match candidate.availability {
            Availability::Removed(at) => {
                !candidate.evacuated && (unsettled || now.saturating_sub(at) < grace_ms)
            }
            Availability::Ready | Availability::Leaving => false,
        };
        let mut unrecorded: Vec<Candidate> = candidates.iter().filter(may_live).copied().collect();
        if unsettled {
            for agent in self.statuses.agents_with_target(service, now) {
                let zone = self.statuses.reported_zone(agent);
                let is_evacuated = zone.is_some_and(|zone| context.view.is_evacuated(zone));
                let is_known = candidates.iter().any(|candidate| candidate.agent == agent);
                if !is_known && !is_evacuated {
                    let region = zone.and_then(|zone| context.view.region_of(zone));
                    unrecorded.push(claimed_candidate(agent, region, now));
                }
            }
        }
        unrecorded
    }
}

/// A target known by its agent's word alone.
fn claimed_candidate(agent: Ipv4Addr, region: Option<RegionId>, now: Millis) -> Candidate {
    Candidate {
        agent,
        availability: Availability::Removed(now),
        recorded: false,
        evacuated: false,
        slots: 1,
        cold_until: 0,
        incarnation: None,
        distance: Distance::Region,
        region,
        learned_at: now,
    }
}
