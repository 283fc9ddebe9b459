//! Decides where opening packets go.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, RegionId, ReturnReason, ServiceId};

use super::decision::{Decision, DropReason, Forward, ForwardReason, ResetReason, SelectionInputs};
use super::opening_queue::QueueEnd;
use super::queueing::QueuePlace;
use super::{Balancer, ClientPacket, Context, service_of_agent};
use crate::expected_time::expected_ms;
use crate::flow_table::{FlowEntry, FlowStage};
use crate::packet::{FlowKey, OPENING_SPAN_MS, PacketHeader};
use crate::selection::{cheapest, load_permille, rendezvous_order};
use crate::view::{Availability, Candidate, CompiledRoute, Distance};

/// Number of targets compared by load. Comparing two balances load almost as well as comparing all
/// (the power of two choices), and keeps the flow near the front of its rendezvous order, where a
/// balancer that does not know the flow searches first.
const TARGETS_COMPARED: usize = 2;

/// Number of failing targets that return an opening packet before one of them has to take it.
const MAX_FAILING_RETURNS: u32 = 2;

/// Targets that may take a new flow, each tier in the flow's rendezvous order.
pub(super) struct Eligible {
    pub(super) healthy: Vec<Candidate>,
    /// Ready targets whose agent does not answer, is about to stop, or reported that its target is
    /// failing.
    unhealthy: Vec<Candidate>,
}

impl Eligible {
    fn is_empty(&self) -> bool {
        self.healthy.is_empty() && self.unhealthy.is_empty()
    }

    /// Removes the targets that the flow has already tried.
    pub(super) fn without_tried(mut self, tried: &BTreeSet<Ipv4Addr>) -> Self {
        let is_untried = |candidate: &Candidate| !tried.contains(&candidate.agent);
        self.healthy.retain(is_untried);
        self.unhealthy.retain(is_untried);
        self
    }
}

impl Balancer {
    pub(super) fn decide_opening(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
    ) -> Decision {
        let now = context.now;
        let flow = packet.header.client_flow();
        if self.is_queued(&flow) {
            return Decision::Drop(DropReason::OpeningQueued);
        }
        let granted_by = self.recently_granted_agent(&flow, now);
        let is_retransmission = |entry: &FlowEntry| {
            matches!(entry.stage, FlowStage::Opening | FlowStage::Held)
                && now.saturating_sub(entry.tried_at) < OPENING_SPAN_MS
        };
        let Some(entry) = self.flows.get_mut(&flow).filter(|entry| is_retransmission(entry)) else {
            self.flows.remove(&flow);
            return self.choose_target(context, packet, ForwardReason::Opened);
        };
        entry.used_at = now;
        let agent = entry.agent;
        if entry.stage == FlowStage::Held {
            // The target took the opening that used its grant; the retransmission is sent without
            // one.
            entry.granted = false;
        }
        if entry.stage == FlowStage::Held || granted_by.is_some() {
            // The target may accept the retransmission even if it returns the first packet.
            entry.may_be_open = true;
            let service = service_of_agent(context.view, &flow, agent);
            return Decision::forward(agent, service, ForwardReason::OpeningRepeated);
        }
        if entry.has_waited {
            let service = service_of_agent(context.view, &flow, agent);
            return Decision::forward(agent, service, ForwardReason::OpeningWaits);
        }
        entry.tried.insert(agent);
        entry.may_be_open = true;
        self.choose_target(context, packet, ForwardReason::OpeningMoved)
    }

    /// An opening packet returned by a busy target waits at the least loaded target. So does one
    /// returned by several failing targets, and that target then has to take it. Any other opening
    /// packet goes to a target that it has not tried yet.
    pub(super) fn decide_returned_opening(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
        from: Ipv4Addr,
        returned: ReturnReason,
    ) -> Decision {
        if let Some(decision) = self.requeue_returned(context, packet, from, returned) {
            return decision;
        }
        let flow = packet.header.client_flow();
        let tries_another = match returned {
            ReturnReason::Busy => false,
            ReturnReason::Failing => self.skip_failing(context, packet.header),
            ReturnReason::Bounced | ReturnReason::OtherService => true,
            ReturnReason::Leaving | ReturnReason::Evacuated => {
                self.allow_another_wait(&flow);
                true
            }
        };
        let Some(entry) = self.flows.get_mut(&flow).filter(|_| !tries_another) else {
            return self.choose_target(context, packet, ForwardReason::OpeningReturned);
        };
        if entry.has_waited {
            // The packet waited nearly as long as its client does, or was displaced by newer ones.
            // It is refused now.
            return self.refuse(&flow, ResetReason::Refused);
        }
        entry.has_waited = true;
        entry.tried.clear();
        self.choose_target(context, packet, ForwardReason::OpeningWaits)
    }

    /// Lets an opening packet wait once more at another target. It may have waited at a target that
    /// stopped accepting new flows before the packet's turn came.
    fn allow_another_wait(&mut self, flow: &FlowKey) {
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.has_waited = false;
        }
    }

    /// Whether an opening packet returned by a failing target tries another one. It does so only a
    /// few times, because most targets may be failing.
    fn skip_failing(&mut self, context: &Context<'_>, header: &PacketHeader) -> bool {
        let flow = header.client_flow();
        let Some(entry) = self.flows.get_mut(&flow) else { return true };
        entry.failing_returns += 1;
        if entry.failing_returns >= MAX_FAILING_RETURNS {
            return false;
        }
        let Some(route) = context.view.route(header.destination) else { return false };
        route.pick(flow.hash()).is_some_and(|service| {
            let eligible = self.eligible(context, route, service, flow.hash());
            !eligible.without_tried(self.flows.tried(&flow)).is_empty()
        })
    }

    /// Selects a target for an opening packet among those not tried yet.
    pub(super) fn choose_target(
        &mut self,
        context: &Context<'_>,
        packet: ClientPacket<'_>,
        reason: ForwardReason,
    ) -> Decision {
        let (now, header) = (context.now, packet.header);
        let flow = header.client_flow();
        let Some(route) = context.view.route(header.destination) else {
            return Self::decide_without_route(context.view, header);
        };
        let Some(service) = route.pick(flow.hash()) else {
            return Decision::Reset { sequence: 0, reason: ResetReason::NoTarget };
        };
        let eligible = self.eligible(context, route, service, flow.hash());
        let any_eligible = !eligible.is_empty();
        let untried = eligible.without_tried(self.flows.tried(&flow));
        let bypasses_queue = reason == ForwardReason::OpeningWaits || untried.healthy.is_empty();
        if !bypasses_queue && self.must_queue(route, service) {
            let targets = &untried.healthy;
            let place = QueuePlace { route, service, queue_end: QueueEnd::Back, targets };
            return self.queue_opening(context, packet, &place);
        }
        // An unhealthy target appears idle, so it is never compared by load.
        let tier = if untried.healthy.is_empty() { &untried.unhealthy } else { &untried.healthy };
        let compared =
            if reason == ForwardReason::OpeningWaits { tier.len() } else { TARGETS_COMPARED };
        let Some(chosen) = cheapest(tier, compared, &self.statuses, now) else {
            return self.decide_without_target(context, &flow, any_eligible, reason);
        };
        let inputs = SelectionInputs {
            eligible: tier.len(),
            load_permille: load_permille(&chosen, &self.statuses, now),
            expected_ms: expected_ms(&chosen, &self.statuses, now),
            load_age_ms: self.statuses.age(chosen.agent, now),
        };
        self.statuses.note_opening_sent(chosen.agent, now);
        let is_new = self.flows.get_mut(&flow).is_none();
        self.assign_agent(flow, chosen.agent, FlowStage::Opening, now);
        if is_new {
            self.note_first_packet(header, now);
        }
        let forward = Forward::to(chosen.agent, service, reason);
        let (urgent, inputs) = (route.is_urgent(), Some(inputs));
        Decision::Forward(Forward { urgent, inputs, ..forward })
    }

    /// Returns the decision for an opening packet for which no untried target is left.
    fn decide_without_target(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        any_eligible: bool,
        reason: ForwardReason,
    ) -> Decision {
        // Unhealthy targets may still answer the next retransmission, but those that returned
        // the packet will not take it now.
        if any_eligible && reason == ForwardReason::OpeningReturned {
            return self.refuse(flow, ResetReason::Refused);
        }
        self.flows.remove(flow);
        let is_settled = context.fresh && !self.is_settling(context.now);
        if !any_eligible && self.is_evacuated(context, flow) {
            return Decision::Reset { sequence: 0, reason: ResetReason::Evacuated };
        }
        if !any_eligible && is_settled {
            return Decision::Reset { sequence: 0, reason: ResetReason::NoTarget };
        }
        Decision::Drop(DropReason::NoTargetYet)
    }

    /// For a flow whose service has no eligible target: whether the service has ready targets, all
    /// of them in evacuated zones. This is known even without recent store data, so the refusal
    /// need not wait for any.
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

    /// Returns the targets that may take a new flow: ready ones and, if none of them is healthy,
    /// also those that lost their record but may still be alive.
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
        let is_unhealthy = |candidate: &Candidate| self.is_unhealthy(candidate, now);
        let (unhealthy, mut healthy): (Vec<_>, Vec<_>) = ready.into_iter().partition(is_unhealthy);
        if healthy.is_empty() {
            let mut unrecorded_targets = self.unrecorded_targets(context, candidates, service);
            unrecorded_targets.retain(|candidate| route.allows(candidate.region));
            healthy = rendezvous_order(flow_hash, unrecorded_targets.iter());
            healthy.retain(|candidate| !is_unhealthy(candidate));
        }
        Eligible { healthy, unhealthy }
    }

    /// Whether a target does not answer, is about to stop, or is failing.
    pub(super) fn is_unhealthy(&self, candidate: &Candidate, now: Millis) -> bool {
        self.statuses.is_suspect(candidate, now) || self.statuses.is_failing(candidate, now)
    }

    /// Returns targets without a record, which may take flows when no other target does.
    fn unrecorded_targets(
        &self,
        context: &Context<'_>,
        candidates: &[Candidate],
        service: ServiceId,
    ) -> Vec<Candidate> {
        let now = context.now;
        let is_uncertain = !context.fresh || self.is_settling(now);
        let grace_ms = self.timing.vanished_grace_ms;
        let may_be_alive = |candidate: &&Candidate| match candidate.availability {
            Availability::Removed(at) => {
                !candidate.evacuated && (is_uncertain || now.saturating_sub(at) < grace_ms)
            }
            Availability::Ready | Availability::RemovedEarlier | Availability::Leaving => false,
        };
        let mut unrecorded_targets: Vec<Candidate> =
            candidates.iter().filter(may_be_alive).copied().collect();
        if is_uncertain {
            for agent in self.statuses.agents_with_target(service, now) {
                let zone = self.statuses.reported_zone(agent);
                let is_evacuated = zone.is_some_and(|zone| context.view.is_evacuated(zone));
                let is_known = candidates.iter().any(|candidate| {
                    candidate.agent == agent
                        && candidate.availability != Availability::RemovedEarlier
                });
                if !is_known && !is_evacuated {
                    let region = zone.and_then(|zone| context.view.region_of(zone));
                    unrecorded_targets.push(reported_candidate(agent, region, now));
                }
            }
        }
        unrecorded_targets
    }
}

/// A target known only from its agent's reports.
fn reported_candidate(agent: Ipv4Addr, region: Option<RegionId>, now: Millis) -> Candidate {
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
