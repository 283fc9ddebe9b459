//! Handles capacity grants of agents, and openings whose wait ends without one.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId, TargetLoad};

use super::decision::{Decision, Forward, ForwardReason, QueueInputs, ResetReason};
use super::opening_queue::QueuedOpening;
use super::{Balancer, ClientPacket, Context};
use crate::flow_table::FlowStage;
use crate::packet::{FlowKey, PacketHead};
use crate::view::{Candidate, RouteChoice, Standing};

/// An agent's grant of capacity for one opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomGrant {
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
pub struct SettledOpening {
    /// Header of the packet.
    pub head: PacketHead,
    /// The whole packet.
    pub bytes: Vec<u8>,
    /// What to do with the packet.
    pub decision: Decision,
    /// How long the packet was queued.
    pub waited_ms: Millis,
}

impl SettledOpening {
    fn new(opening: QueuedOpening, decision: Decision, now: Millis) -> Self {
        let waited_ms = now.saturating_sub(opening.queued_at);
        Self { head: opening.head, bytes: opening.bytes, decision, waited_ms }
    }
}

/// What a balancer does with an agent's grant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantAnswer {
    /// The opening that uses the grant. The grant is declined if there is none.
    pub granted: Option<SettledOpening>,
    /// Openings that left the queue without using the grant.
    pub settled: Vec<SettledOpening>,
}

/// Agents to ask for capacity.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomRequest {
    /// Addresses of the agents.
    pub agents: Vec<Ipv4Addr>,
    /// The service for which capacity is requested.
    pub service: ServiceId,
    /// The openings queued for the service.
    pub demand: OpeningDemand,
}

impl Balancer {
    /// Uses an agent's grant for the first opening in the queue that may have it.
    pub fn grant(&mut self, context: &Context<'_>, grant: &RoomGrant) -> GrantAnswer {
        self.statuses.granted(grant.agent, grant.load, context.now);
        let answer = self.answer_grant(context, grant);
        let urgent_only = grant.urgent_only && answer.granted.is_none();
        let next = self.late_binding.flows_in_service_order(grant.service, urgent_only).next();
        if next.is_none() {
            self.late_binding.forget_asked(grant.agent);
        }
        answer
    }

    fn answer_grant(&mut self, context: &Context<'_>, grant: &RoomGrant) -> GrantAnswer {
        let mut settled = self.due_refusals(context.now);
        let Some(target) = self.granting_target(context, grant) else {
            return GrantAnswer { granted: None, settled };
        };
        while let Some(flow) = self.first_flow_for_grant(context, grant, &target) {
            if self.still_belongs_to(context, &flow, grant.service) {
                let granted = self.send_granted(context, &flow, grant);
                return GrantAnswer { granted, settled };
            }
            settled.extend(self.reroute_opening(context, &flow));
        }
        GrantAnswer { granted: None, settled }
    }

    /// Returns the target that grants capacity, unless this balancer knows that it accepts no new
    /// flows.
    fn granting_target(&self, context: &Context<'_>, grant: &RoomGrant) -> Option<Candidate> {
        let first = self.late_binding.first_flow(grant.service)?;
        let is_granting = |candidate: &&Candidate| candidate.agent == grant.agent;
        let known = context.view.candidates(grant.service).iter().find(is_granting);
        if let Some(known) = known.filter(|known| known.standing == Standing::Ready) {
            let takes_flows = !known.evacuated && !self.is_unhealthy(known, context.now);
            return takes_flows.then_some(*known);
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
        grant: &RoomGrant,
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
    fn reroute_opening(&mut self, context: &Context<'_>, flow: &FlowKey) -> Option<SettledOpening> {
        let now = context.now;
        let opening = self.late_binding.give_up(flow, now)?;
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.tried.clear();
        }
        let packet = ClientPacket { head: &opening.head, bytes: &opening.bytes };
        let decision = self.choose_target(context, packet, ForwardReason::Opened);
        self.keep_undecided(&decision, packet, now);
        Some(SettledOpening::new(opening, decision, now))
    }

    /// Sends a queued opening to the target that granted capacity.
    fn send_granted(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        grant: &RoomGrant,
    ) -> Option<SettledOpening> {
        let (now, service, agent) = (context.now, grant.service, grant.agent);
        let opening = self.late_binding.admit(flow, now)?;
        self.statuses.sent_opening(agent, now);
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
        let urgent = context.view.route(flow.service).is_some_and(RouteChoice::is_urgent);
        let mut forward = Forward::to(agent, service, ForwardReason::OpeningGranted);
        forward.urgent = urgent;
        forward.granted = Some(self.late_binding.demand(service, now));
        Some(SettledOpening::new(opening, Decision::Forward(forward), now))
    }

    /// Refuses the openings whose budgets have expired.
    pub fn due_refusals(&mut self, now: Millis) -> Vec<SettledOpening> {
        let mut refused = Vec::new();
        while let Some(opening) = self.late_binding.take_overdue(now) {
            let class = opening.class;
            let ahead = self.late_binding.waiting(class);
            let expected_wait_ms = self.late_binding.expected_wait(class, ahead, now);
            let inputs = QueueInputs { ahead, expected_wait_ms, budget_ms: 0 };
            let reason = ResetReason::Overloaded { inputs };
            let decision = self.refuse(&opening.head.client_flow(), reason);
            refused.push(SettledOpening::new(opening, decision, now));
        }
        refused
    }

    /// Returns further agents to ask for capacity, for services with queued openings. Requests and
    /// grants may be lost, and the agents asked before may have no capacity.
    pub fn due_room_requests(&mut self, context: &Context<'_>) -> Vec<RoomRequest> {
        let now = context.now;
        let services = self.late_binding.services_due_for_request(now).into_iter();
        let requests = services.filter_map(|service| {
            let flow = self.late_binding.flow_for_further_request(service)?;
            let route = context.view.route(flow.service);
            let eligible = route.map(|route| self.eligible(context, route, service, flow.hash()));
            let healthy = eligible.map(|eligible| eligible.healthy).unwrap_or_default();
            let agents = self.agents_to_ask(service, &healthy, now);
            let demand = self.late_binding.demand(service, now);
            Some(RoomRequest { agents, service, demand })
        });
        requests.filter(|request| !request.agents.is_empty()).collect()
    }
}
