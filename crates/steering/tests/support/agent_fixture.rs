//! An agent whose target is simulated by the test.

use weirhinge_fleet::ServiceId;
use weirhinge_steering::{Agent, Arrival, DeliveryDecision, Flags, FlowKey, PacketHead};

use super::{SERVICE, agent, data, flow, packet};

pub fn new_agent() -> Agent {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    agent.set_slots(4);
    agent
}

pub fn arrival(head: &PacketHead) -> Arrival<'_> {
    Arrival {
        head,
        packet: b"packet",
        balancer: agent(100),
        service: ServiceId::of(SERVICE),
        search: None,
        may_wait: false,
        urgent: false,
        granted: None,
    }
}

pub fn deliver(agent: &mut Agent, head: &PacketHead, now: u64) -> u32 {
    match agent.delivery(&arrival(head), now) {
        DeliveryDecision::Deliver { echo, .. } => echo,
        other => panic!("expected a delivery, got {other:?}"),
    }
}

/// A packet that the target sends on a flow.
pub fn output(flow: FlowKey, flags: Flags, length: u16) -> PacketHead {
    let head = packet(flow, flags, length);
    PacketHead { source: head.destination, destination: head.source, ..head }
}

pub fn answer(flow: FlowKey) -> PacketHead {
    output(flow, Flags { ack: true, ..Flags::default() }, 400)
}

pub fn request(port: u16, sequence: u32) -> PacketHead {
    PacketHead { sequence, ..data(flow(port)) }
}

/// Delivers five requests, the limit for a target with four slots (125%).
pub fn fill(agent: &mut Agent) {
    for port in 0..5 {
        deliver(agent, &request(port, 0), 0);
    }
    assert_eq!(agent.waiting(), 5);
}
