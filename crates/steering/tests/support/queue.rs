//! Callers and agents around the openings that wait at a balancer.

use std::net::{Ipv4Addr, SocketAddrV4};

use weirhinge_fleet::{ReturnReason, Route, ServiceId, TargetLoad};
use weirhinge_steering::{
    Context, Decision, FlowKey, GrantAnswer, PacketHeader, ResetReason, RoomGrant, RoomRequest,
    SettledOpening, client_rank,
};

use super::{Fixture, SERVICE, Store, agent, endpoint, forwarded, opening, route_to};

/// Within which callers expect an answer.
pub const OBJECTIVE: u64 = 1_000;
/// What an opening may wait for of it: a request at a target whose agent told nothing takes
/// 50 ms, and a journey 30 ms.
pub const BUDGET: u64 = OBJECTIVE - 50 - 30;

pub fn urgent_endpoint() -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 2), 443)
}

/// A route with an objective.
pub fn route(endpoint: SocketAddrV4, service: &str, priority: u32) -> Route {
    let route = route_to(endpoint, service, priority);
    Route { objective_ms: Some(OBJECTIVE), timeout_ms: Some(10_000), ..route }
}

/// An urgent route and another one, to a service of so many targets.
pub fn store(targets: u8) -> Store {
    let mut store = Store::with_targets(targets);
    store.configure(vec![route(urgent_endpoint(), SERVICE, 1), route(endpoint(), SERVICE, 2)]);
    store
}

pub fn caller(number: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(Ipv4Addr::new(100, 64, 0, 0).to_bits() + number)
}

pub fn flow_of(caller: Ipv4Addr) -> FlowKey {
    FlowKey { client: SocketAddrV4::new(caller, 40_000), service: endpoint() }
}

/// Flows of callers that go before nearly all others.
pub fn first_ranked(count: usize) -> Vec<FlowKey> {
    let callers = (1..).map(caller);
    let callers = callers.filter(|caller| client_rank(*caller, 0).value() < 4_096);
    callers.take(count).map(flow_of).collect()
}

pub fn urgent(flow: FlowKey) -> FlowKey {
    FlowKey { service: urgent_endpoint(), ..flow }
}

/// The opening packet's copy of this number.
pub fn copy(flow: FlowKey, number: u32) -> PacketHeader {
    PacketHeader { acknowledgment: number, ..opening(flow) }
}

pub fn is_overloaded(decision: &Decision) -> bool {
    matches!(decision, Decision::Reset { sequence: 0, reason: ResetReason::Overloaded { .. } })
}

pub fn is_queued(decision: &Decision) -> bool {
    matches!(decision, Decision::Queue { .. })
}

/// The flow that a grant was used for.
pub fn granted_flow(answer: &GrantAnswer) -> Option<FlowKey> {
    answer.granted.as_ref().map(|opening| opening.header.client_flow())
}

impl Fixture {
    /// An opening finds no room at any target.
    pub fn open_at_busy(&mut self, flow: FlowKey, now: u64) -> Decision {
        let header = opening(flow);
        match self.client(&header, now) {
            Decision::Forward(forward) => {
                self.balancer.note_answer(forward.agent, 0, now);
                self.returned(&header, forward.agent, ReturnReason::Busy, now)
            }
            other => other,
        }
    }

    /// Lets an opening wait.
    pub fn queue(&mut self, flow: FlowKey, now: u64) {
        let decision = self.open_at_busy(flow, now);
        assert!(is_queued(&decision), "{decision:?}");
    }

    pub fn grant_for(&mut self, urgent_only: bool, agent: Ipv4Addr, now: u64) -> GrantAnswer {
        let service = ServiceId::of(SERVICE);
        let grant = RoomGrant { agent, service, urgent_only, load: TargetLoad::default() };
        let context =
            Context { view: &self.view, fresh: self.fresh, helpers: &[], now, unix_ms: 0 };
        self.balancer.grant(&context, &grant)
    }

    /// An agent grants room for any opening.
    pub fn grant(&mut self, number: u8, now: u64) -> GrantAnswer {
        self.grant_for(false, agent(number), now)
    }

    /// The flow that an agent's grant is used for, and how many of the others still wait.
    pub fn serve(&mut self, number: u8, now: u64) -> Option<(FlowKey, u16)> {
        let granted = self.grant(number, now).granted?;
        let left = forwarded(&granted.decision).granted.expect("what is left is told");
        Some((granted.header.client_flow(), left.others.count))
    }

    pub fn due_refusals(&mut self, now: u64) -> Vec<SettledOpening> {
        self.balancer.due_refusals(now)
    }

    pub fn due_room_requests(&mut self, now: u64) -> Vec<RoomRequest> {
        let context =
            Context { view: &self.view, fresh: self.fresh, helpers: &[], now, unix_ms: 0 };
        self.balancer.due_room_requests(&context)
    }
}
