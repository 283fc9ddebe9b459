//! Helpers for tests of openings that wait at a balancer: clients, routes and grants.

use std::net::{Ipv4Addr, SocketAddrV4};

use weirhinge_fleet::{ReturnReason, Route, ServiceId, TargetLoad};
use weirhinge_steering::{
    CapacityGrant, CapacityRequest, Decision, FlowKey, GrantOutcome, PacketHeader, ResetReason,
    ResolvedOpening, client_rank,
};

use super::{Fixture, SERVICE, Store, agent, endpoint, forwarded, opening, route_to};

/// Time in milliseconds within which clients expect an answer.
pub const OBJECTIVE: u64 = 1_000;
/// Part of the objective that an opening may spend waiting: a request takes 50 ms at a target whose
/// agent reported no times, and 30 ms in transit.
pub const BUDGET: u64 = OBJECTIVE - 50 - 30;

pub fn urgent_endpoint() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

/// A route with an objective.
pub fn route(endpoint: SocketAddrV4, service: &str, priority: u32) -> Route {
    let route = route_to(endpoint, service, priority);
    Route { objective_ms: Some(OBJECTIVE), timeout_ms: Some(10_000), ..route }
}

/// An urgent route and a non-urgent one to a service with this many targets.
pub fn store(targets: u8) -> Store {
    let mut store = Store::with_targets(targets);
    store.configure(vec![route(urgent_endpoint(), SERVICE, 1), route(endpoint(), SERVICE, 2)]);
    store
}

pub fn client_address(number: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(100, 64, 0, 0).to_bits() + number)
}

pub fn flow_from(client_address: Ipv4Addr) -> FlowKey {
    FlowKey { client: SocketAddrV4::new(client_address, 40_000), service: endpoint() }
}

/// Flows of clients that are served before nearly all others.
pub fn top_ranked_flows(count: usize) -> Vec<FlowKey> {
    let addresses = (1..).map(client_address);
    let addresses =
        addresses.filter(|client_address| client_rank(*client_address, 0).value() < 4_096);
    addresses.take(count).map(flow_from).collect()
}

pub fn urgent(flow: FlowKey) -> FlowKey {
    FlowKey { service: urgent_endpoint(), ..flow }
}

/// The opening packet's retransmission with this number.
pub fn retransmission(flow: FlowKey, number: u32) -> PacketHeader {
    PacketHeader { acknowledgment: number, ..opening(flow) }
}

pub fn is_overloaded(decision: &Decision) -> bool {
    matches!(decision, Decision::Reset { sequence: 0, reason: ResetReason::Overloaded { .. } })
}

pub fn is_queued(decision: &Decision) -> bool {
    matches!(decision, Decision::Queue { .. })
}

/// The flow that used a grant.
pub fn granted_flow(answer: &GrantOutcome) -> Option<FlowKey> {
    answer.granted.as_ref().map(|opening| opening.header.client_flow())
}

impl Fixture {
    /// Opens a flow while no target has capacity.
    pub fn open_without_capacity(&mut self, flow: FlowKey, now: u64) -> Decision {
        let header = opening(flow);
        match self.client(&header, now) {
            Decision::Forward(forward) => {
                self.balancer.note_answer(forward.agent, 0, now);
                self.returned(&header, forward.agent, ReturnReason::Busy, now)
            }
            other => other,
        }
    }

    /// Queues an opening.
    pub fn queue(&mut self, flow: FlowKey, now: u64) {
        let decision = self.open_without_capacity(flow, now);
        assert!(is_queued(&decision), "{decision:?}");
    }

    pub fn grant_for(&mut self, urgent_only: bool, agent: Ipv4Addr, now: u64) -> GrantOutcome {
        let service = ServiceId::of(SERVICE);
        let grant = CapacityGrant { agent, service, urgent_only, load: TargetLoad::default() };
        let (balancer, context) = self.parts(now);
        balancer.use_grant(&context, &grant)
    }

    /// An agent grants capacity for any opening.
    pub fn grant(&mut self, number: u8, now: u64) -> GrantOutcome {
        self.grant_for(false, agent(number), now)
    }

    /// Uses an agent's grant. Returns the flow that used it and the number of non-urgent openings
    /// still queued.
    pub fn serve(&mut self, number: u8, now: u64) -> Option<(FlowKey, u16)> {
        let granted = self.grant(number, now).granted?;
        let remaining = forwarded(&granted.decision)
            .granted
            .expect("a granted opening reports the remaining demand");
        Some((granted.header.client_flow(), remaining.others.count))
    }

    pub fn refuse_overdue(&mut self, now: u64) -> Vec<ResolvedOpening> {
        self.balancer.refuse_overdue(now)
    }

    pub fn due_capacity_requests(&mut self, now: u64) -> Vec<CapacityRequest> {
        let (balancer, context) = self.parts(now);
        balancer.due_capacity_requests(&context)
    }
}
