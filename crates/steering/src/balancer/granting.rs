//! Grants of room by agents, and what else ends the wait of openings.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, ServiceId, TargetLoad};

use super::decision::{Decision, Forward, ForwardReason, QueueInputs, ResetReason};
use super::opening_queue::QueuedOpening;
use super::{Balancer, ClientPacket, Context};
use crate::flow_table::FlowStage;
use crate::packet::{FlowKey, PacketHeader};
use crate::view::{Availability, Candidate, CompiledRoute};

/// An agent's word that its target has room for one opening packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomGrant {
    /// The agent.
    pub agent: Ipv4Addr,
    /// The service that the agent stands for.
    pub service: ServiceId,
    /// Whether the room is for openings of urgent routes alone.
    pub urgent_only: bool,
    /// How busy the target is.
    pub load: TargetLoad,
}

/// A packet that waited and is decided about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledOpening {
    /// Its head.
    pub header: PacketHeader,
    /// All of it.
    pub bytes: Vec<u8>,
    /// What becomes of it.
    pub decision: Decision,
    /// For how long it waited.
    pub waited_ms: Millis,
}

impl SettledOpening {
    fn new(opening: QueuedOpening, decision: Decision, now: Millis) -> Self {
        let waited_ms = now.saturating_sub(opening.queued_at);
        Self { header: opening.header, bytes: opening.bytes, decision, waited_ms }
    }
}

/// What a balancer does with an agent's grant.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GrantAnswer {
    /// The opening that uses the grant; without one it is declined.
    pub granted: Option<SettledOpening>,
    /// Openings that were found to wait no longer.
    pub settled: Vec<SettledOpening>,
}

/// Agents to be asked for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RoomRequest {
    /// The agents.
    pub agents: Vec<Ipv4Addr>,
    /// The service that room is asked for.
    pub service: ServiceId,
    /// What waits.
    pub demand: OpeningDemand,
}

impl Balancer {
    /// Takes an agent's grant for the opening that goes first.
    pub fn grant(&mut self, context: &Context<'_>, grant: &RoomGrant) -> GrantAnswer {
        self.statuses.note_grant(grant.agent, grant.load, context.now);
        let answer = self.answer_grant(context, grant);
        let urgent_only = grant.urgent_only && answer.granted.is_none();
        let next = self.late_binding.flows_in_turn(grant.service, urgent_only).next();
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
        while let Some(flow) = self.first_concerned(context, grant, &target) {
            if self.still_fits(context, &flow, grant.service) {
                let granted = self.send_granted(context, &flow, grant);
                return GrantAnswer { granted, settled };
            }
            settled.extend(self.settle_anew(context, &flow));
        }
        GrantAnswer { granted: None, settled }
    }

    /// The target that grants room, if it takes new flows by what this balancer knows.
    fn granting_target(&self, context: &Context<'_>, grant: &RoomGrant) -> Option<Candidate> {
        let first = self.late_binding.first_flow(grant.service)?;
        let is_granting = |candidate: &&Candidate| candidate.agent == grant.agent;
        let known = context.view.candidates(grant.service).iter().find(is_granting);
        if let Some(known) = known.filter(|known| known.availability == Availability::Ready) {
            let takes_flows = !known.evacuated && !self.is_silent(known, context.now);
            return takes_flows.then_some(*known);
        }
        let route = context.view.route(first.service)?;
        let eligible = self.eligible(context, route, grant.service, first.hash());
        eligible.answering.iter().find(is_granting).copied()
    }

    /// The first waiting flow that may use a grant, or that waits for the service no longer.
    fn first_concerned(
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
        let mut flows = self.late_binding.flows_in_turn(grant.service, grant.urgent_only);
        flows.find(|flow| !self.still_fits(context, flow, grant.service) || may_use(flow))
    }

    /// Whether the configuration still sends a flow to a service.
    fn still_fits(&self, context: &Context<'_>, flow: &FlowKey, service: ServiceId) -> bool {
        let route = context.view.route(flow.service);
        route.and_then(|route| route.pick(flow.hash())) == Some(service)
    }

    /// Decides anew about an opening whose route or service has changed.
    fn settle_anew(&mut self, context: &Context<'_>, flow: &FlowKey) -> Option<SettledOpening> {
        let now = context.now;
        let opening = self.late_binding.give_up(flow, now)?;
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.tried.clear();
        }
        let packet = ClientPacket { header: &opening.header, bytes: &opening.bytes };
        let decision = self.choose_target(context, packet, ForwardReason::Opened);
        self.keep_undecided(&decision, packet, now);
        Some(SettledOpening::new(opening, decision, now))
    }

    /// Sends a waiting opening to the target that granted room.
    fn send_granted(
        &mut self,
        context: &Context<'_>,
        flow: &FlowKey,
        grant: &RoomGrant,
    ) -> Option<SettledOpening> {
        let (now, service, agent) = (context.now, grant.service, grant.agent);
        let opening = self.late_binding.admit(flow, now)?;
        self.statuses.note_opening_sent(agent, now);
        let is_forgotten = self.flows.get_mut(flow).is_none();
        self.go_to(*flow, agent, FlowStage::Opening, now);
        if let Some(entry) = self.flows.get_mut(flow) {
            entry.granted = true;
            if is_forgotten {
                // A full table forgot it, and with it which targets have got a copy.
                entry.may_be_open = true;
                entry.first_at = opening.queued_at;
                entry.queued_at = Some(opening.queued_at);
            }
        }
        let urgent = context.view.route(flow.service).is_some_and(CompiledRoute::is_urgent);
        let mut forward = Forward::to(agent, service, ForwardReason::OpeningGranted);
        forward.urgent = urgent;
        forward.granted = Some(self.late_binding.demand(service, now));
        Some(SettledOpening::new(opening, Decision::Forward(forward), now))
    }

    /// The openings whose budgets have ended.
    pub fn due_refusals(&mut self, now: Millis) -> Vec<SettledOpening> {
        let mut refused = Vec::new();
        while let Some(opening) = self.late_binding.take_overdue(now) {
            let class = opening.class;
            let ahead = self.late_binding.waiting(class);
            let expected_wait_ms = self.late_binding.expected_wait(class, ahead, now);
            let inputs = QueueInputs { ahead, expected_wait_ms, budget_ms: 0 };
            let reason = ResetReason::Overloaded { inputs };
            let decision = self.refuse(&opening.header.client_flow(), reason);
            refused.push(SettledOpening::new(opening, decision, now));
        }
        refused
    }

    /// Further agents to be asked for room, for services whose openings still wait: questions
    /// and grants may be lost, and those asked may be full.
    pub fn due_room_requests(&mut self, context: &Context<'_>) -> Vec<RoomRequest> {
        let now = context.now;
        let services = self.late_binding.services_to_ask(now).into_iter();
        let requests = services.filter_map(|service| {
            let flow = self.late_binding.flow_to_ask_for(service)?;
            let route = context.view.route(flow.service);
            let eligible = route.map(|route| self.eligible(context, route, service, flow.hash()));
            let answering = eligible.map(|eligible| eligible.answering).unwrap_or_default();
            let agents = self.agents_to_ask(service, &answering, now);
            let demand = self.late_binding.demand(service, now);
            Some(RoomRequest { agents, service, demand })
        });
        requests.filter(|request| !request.agents.is_empty()).collect()
    }
}
