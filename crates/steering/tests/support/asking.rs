//! Balancers that ask an agent for room.

use weirhinge_fleet::{Millis, OpeningDemand, ReturnReason, ServiceId, WaitingOpenings};
use weirhinge_steering::{Agent, Arrival, DeliveryDecision};

use super::beside::{answer, arrival, deliver, fill, new_agent, request};
use super::{SERVICE, agent as balancer, flow, opening};

pub const NOTHING: OpeningDemand = OpeningDemand {
    urgent: WaitingOpenings { count: 0, oldest_ms: 0 },
    others: WaitingOpenings { count: 0, oldest_ms: 0 },
};
pub const BUSY: DeliveryDecision = DeliveryDecision::Return(ReturnReason::Busy);

pub fn others(count: u16, oldest_ms: u16) -> OpeningDemand {
    OpeningDemand { others: WaitingOpenings { count, oldest_ms }, ..NOTHING }
}

pub fn urgent(count: u16, oldest_ms: u16) -> OpeningDemand {
    OpeningDemand { urgent: WaitingOpenings { count, oldest_ms }, ..NOTHING }
}

pub fn ask(beside: &mut Agent, number: u8, demand: OpeningDemand, now: Millis) {
    assert!(beside.demand(balancer(number), ServiceId::of(SERVICE), demand, now));
}

/// Answers the request of a flow, which makes room.
pub fn free(beside: &mut Agent, port: u16, now: Millis) {
    beside.output(&answer(flow(port)), now);
}

/// The last byte of the address that gets the next grant.
pub fn grant(beside: &mut Agent, now: Millis) -> Option<u8> {
    beside.next_grant(now).map(|grant| grant.balancer.octets()[3])
}

pub fn grants(beside: &mut Agent, now: Millis) -> Vec<u8> {
    std::iter::from_fn(|| grant(beside, now)).collect()
}

/// A balancer answers a grant.
pub fn answer_grant(
    beside: &mut Agent,
    number: u8,
    port: u16,
    rest: OpeningDemand,
    now: Millis,
) -> DeliveryDecision {
    let header = opening(flow(port));
    let granted = Some(rest);
    let answer = Arrival { balancer: balancer(number), granted, ..arrival(&header) };
    beside.delivery(&answer, now)
}

pub fn is_taken(decision: &DeliveryDecision) -> bool {
    matches!(decision, DeliveryDecision::Deliver { .. })
}

pub fn full_agent() -> Agent {
    let mut beside = new_agent();
    fill(&mut beside);
    beside
}

/// A target with the others' room full and one place left for urgent openings.
pub fn agent_with_urgent_room() -> Agent {
    let mut beside = full_agent();
    for port in 5..7 {
        deliver(&mut beside, &request(port, 0), 0);
    }
    beside
}
