//! Balancers that request capacity from an agent.

use weirhinge_fleet::{Millis, OpeningDemand, ReturnReason, ServiceId, WaitingOpenings};
use weirhinge_steering::{Agent, Arrival, DeliveryDecision};

use super::agent_fixture::{answer, arrival, deliver, fill, new_agent, request};
use super::{SERVICE, agent as balancer, flow, opening};

pub const NO_DEMAND: OpeningDemand = OpeningDemand {
    urgent: WaitingOpenings { count: 0, oldest_ms: 0 },
    others: WaitingOpenings { count: 0, oldest_ms: 0 },
};
pub const BUSY: DeliveryDecision = DeliveryDecision::Return(ReturnReason::Busy);

pub fn non_urgent(count: u16, oldest_ms: u16) -> OpeningDemand {
    OpeningDemand { others: WaitingOpenings { count, oldest_ms }, ..NO_DEMAND }
}

pub fn urgent(count: u16, oldest_ms: u16) -> OpeningDemand {
    OpeningDemand { urgent: WaitingOpenings { count, oldest_ms }, ..NO_DEMAND }
}

pub fn request_capacity(agent: &mut Agent, number: u8, demand: OpeningDemand, now: Millis) {
    assert!(agent.demand(balancer(number), ServiceId::of(SERVICE), demand, now));
}

/// Lets the target answer a flow's request, which frees capacity.
pub fn answer_request(agent: &mut Agent, port: u16, now: Millis) {
    agent.output(&answer(flow(port)), now);
}

/// Issues the next grant and returns the last byte of its balancer's address.
pub fn next_grantee(agent: &mut Agent, now: Millis) -> Option<u8> {
    agent.next_grant(now).map(|grant| grant.balancer.octets()[3])
}

pub fn grantees(agent: &mut Agent, now: Millis) -> Vec<u8> {
    std::iter::from_fn(|| next_grantee(agent, now)).collect()
}

/// A balancer sends an opening packet with a grant, and reports its remaining demand.
pub fn use_grant(
    agent: &mut Agent,
    number: u8,
    port: u16,
    remaining: OpeningDemand,
    now: Millis,
) -> DeliveryDecision {
    let header = opening(flow(port));
    let granted = Some(remaining);
    let answer = Arrival { balancer: balancer(number), granted, ..arrival(&header) };
    agent.delivery(&answer, now)
}

pub fn is_delivered(decision: &DeliveryDecision) -> bool {
    matches!(decision, DeliveryDecision::Deliver { .. })
}

pub fn agent_at_limit() -> Agent {
    let mut agent = new_agent();
    fill(&mut agent);
    agent
}

/// An agent at its limit for non-urgent openings, with capacity for one more urgent opening.
pub fn agent_with_urgent_capacity() -> Agent {
    let mut agent = agent_at_limit();
    for port in 5..7 {
        deliver(&mut agent, &request(port, 0), 0);
    }
    agent
}
