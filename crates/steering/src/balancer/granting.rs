//! Handles capacity grants of agents, and openings whose wait ends without one.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId, TargetLoad};

use super::decision::{Decision, Forward, ForwardReason, QueueInputs, ResetReason};
use super::opening_queue::QueuedOpening;
use super::{Balancer, ClientPacket, Context};
use crate::flow_table::FlowStage;
use crate::packet::{FlowKey, PacketHeader};
use crate::view::{Availability, Candidate, CompiledRoute};

/// An agent's grant of capacity for one opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CapacityGrant {
    /// Address of the agent.
    pub agent: Ipv4Addr,
    /// The service of the agent's target.
    pub service: ServiceId,
    /// Whether only openings of urgent routes may use the grant.
    pub urgent_only: bool,
    /// Current load of the target.
    pub load: TargetLoad,
}

/// A queued packet that has been decided about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResolvedOpening {
    /// Header of the packet.
    pub header: PacketHeader,
    /// The whole packet.
    pub bytes: Vec<u8>,
    /// What to do with the packet.
    pub decision: Decision,
    /// How long the packet was queued.
    pub waited_ms: Millis,
}

impl ResolvedOpening {
    fn new(opening: QueuedOpening, decision: Decision, now: Millis) -> Self {
        let waited_ms = now.saturating_sub(opening.queued_at);
        Self { header: opening.header, bytes: opening.bytes, decision, waited_ms }
    }
}

/// What a balancer does with an agent's grant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantOutcome {
    /// The opening that uses the grant. The grant is declined if there is none.
    pub granted: Option<ResolvedOpening>,
    /// Openings that left the queue without using the grant.
    pub resolved: Vec<ResolvedOpening>,
}

/// Agents to ask for capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityRequest {
    /// Addresses of the agents.
    pub agents: Vec<Ipv4Addr>,
    /// The service for which capacity is requested.
    pub service: ServiceId,
    /// The openings queued for the service.
    pub demand: OpeningDemand,
}

impl Balancer {
    /// Uses an agent's grant for the first opening in the queue that may have it.
    pub fn use_grant(&mut self, context: &Context<'_>, grant: &CapacityGrant) -> GrantOutcome {
        self.statuses.note_grant(grant.agent, grant.load, context.now);
        let answer = self.answer_grant(context, grant);
        let urgent_only = grant.urgent_only && answer.granted.is_none();
        let next = self.late_binding.flows_in_service_order(grant.service, urgent_only).next();
        if next.is_none() {
            self.late_binding.forget_asked(grant.agent);
        }
        answer
    }

    fn answer_grant(&mut self, context: &Context<'_>, grant: &CapacityGrant) -> GrantOutcome {
        let mut resolved = self.refuse_overdue(context.now);
        let Some(target) = self.granting_target(context, grant) else {
            return GrantOutcome { granted: None, resolved };
        };
        while let Some(flow) = self.first_flow_for_grant(context, grant, &target) {
            if self.still_belongs_to(context, &flow, grant.service) {
                let granted = self.send_granted(context, &flow, grant);
                return GrantOutcome { granted, resolved };
            }
            resolved.extend(self.reroute_opening(context, &flow));
        }
        GrantOutcome { granted: None, resolved }
    }

    /// Returns the target that grants capacity, unless this balancer knows that it accepts no new
    /// flows.
    fn granting_target(&self, context: &Context<'_>, grant: &CapacityGrant) -> Option<Candidate> {
        let first = self.late_binding.first_flow(grant.service)?;
        let is_granting = |candidate: &&Candidate| candidate.agent == grant.agent;
        let known = context.view.candidates(grant.service).iter().find(is_granting);
        if let Some(known) = known.filter(|known| known.availability == Availability::Ready) {
            let accepts_flows = !known.evacuated && !self.is_unhealthy(known, context.now);
            return accepts_flows.then_some(*known);
        }
        let route = context.view.route(first.service)?;
        let eligible = self.eligible(context, route, grant.service, first.hash());
        eligible.healthy.iter().find(is_granting).copied()
    }

    /// Returns the first queued flow that either may use the grant or no longer belongs to the
    /// service.
    fn first_flow_for_grant(
        &self,
        context: &Context<'_>,
        grant: &CapacityGrant,
        target: &Candidate,
    ) -> Option<FlowKey> {
        let may_use = |flow: &FlowKey| {
            let route = context.view.route(flow.service);
            let is_tried = self.flows.tried(flow).contains(&target.agent);
            !is_tried && route.is_some_and(|route| route.allows(target.region))
        };
        let mut flows = self.late_binding.flows_in_service_order(grant.service, grant.urgent_only);
        flows.find(|flow| !self.still_belongs_to(context, flow, grant.service) || may_use(flow))
    }

    /// Whether the configuration still maps a flow to a service.
    fn still_belongs_to(&self, context: &Context<'_>, flow: &FlowKey, service: ServiceId) -> bool {
        let route = context.view.route(flow.service);
        route.and_then(|route| route.pick(flow.hash())) == Some(service)
    }

    /// Decides again about an opening whose route or service has changed.
    fn reroute_opening(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
    ) -> Option<ResolvedOpening> {
        let now = context.now;
        let opening = self.late_binding.give_up(flow, now)?;
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.tried.clear();
        }
        let packet = ClientPacket { header: &opening.header, bytes: &opening.bytes };
        let decision = self.choose_target(context, packet, ForwardReason::Opened);
        self.keep_undecided(&decision, packet, now);
        Some(ResolvedOpening::new(opening, decision, now))
    }

    /// Sends a queued opening to the target that granted capacity.
    fn send_granted(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        grant: &CapacityGrant,
    ) -> Option<ResolvedOpening> {
        let (now, service, agent) = (context.now, grant.service, grant.agent);
        let opening = self.late_binding.admit(flow, now)?;
        self.statuses.note_opening_sent(agent, now);
        let was_evicted = self.flows.get_mut(flow).is_none();
        self.assign_agent(*flow, agent, FlowStage::Opening, now);
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.granted = true;
            if was_evicted {
                // The full flow table evicted the entry, so which targets received a copy is
                // unknown.
                entry.may_be_open = true;
                entry.first_at = opening.queued_at;
                entry.queued_at = Some(opening.queued_at);
            }
        }
        let urgent = context.view.route(flow.service).is_some_and(CompiledRoute::is_urgent);
        let mut forward = Forward::to(agent, service, ForwardReason::OpeningGranted);
        forward.urgent = urgent;
        forward.granted = Some(self.late_binding.demand(service, now));
        Some(ResolvedOpening::new(opening, Decision::Forward(forward), now))
    }

    /// Refuses the openings whose budgets have expired.
    pub fn refuse_overdue(&mut self, now: Millis) -> Vec<ResolvedOpening> {
        let mut refused = Vec::new();
        while let Some(opening) = self.late_binding.take_overdue(now) {
            let class = opening.class;
            let ahead = self.late_binding.waiting(class);
            let expected_wait_ms = self.late_binding.expected_wait(class, ahead, now);
            let inputs = QueueInputs { ahead, expected_wait_ms, budget_ms: 0 };
            let reason = ResetReason::Overloaded { inputs };
            let decision = self.refuse(&opening.header.client_flow(), reason);
            refused.push(ResolvedOpening::new(opening, decision, now));
        }
        refused
    }

    /// Returns further agents to ask for capacity, for services with queued openings. Requests and
    /// grants may be lost, and the agents asked before may have no capacity.
    pub fn due_capacity_requests(&mut self, context: &Context<'_>) -> Vec<CapacityRequest> {
        let now = context.now;
        let services = self.late_binding.services_due_for_request(now).into_iter();
        let requests = services.filter_map(|service| {
            let flow = self.late_binding.flow_for_further_request(service)?;
            let route = context.view.route(flow.service);
            let eligible = route.map(|route| self.eligible(context, route, service, flow.hash()));
            let healthy = eligible.map(|eligible| eligible.healthy).unwrap_or_default();
            let agents = self.agents_to_ask(service, &healthy, now);
            let demand = self.late_binding.demand(service, now);
            Some(CapacityRequest { agents, service, demand })
        });
        requests.filter(|request| !request.agents.is_empty()).collect()
    }
}
