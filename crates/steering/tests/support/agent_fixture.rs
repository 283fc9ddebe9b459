//! An agent whose target is simulated by the test.

use weirhinge_fleet::ServiceId;
use weirhinge_steering::{Agent, Arrival, DeliveryDecision, Flags, FlowKey, PacketHeader};

use super::{SERVICE, agent, data, flow, packet};

pub fn new_agent() -> Agent {
    let mut agent = Agent::new(ServiceId::of(SERVICE));
    agent.set_slots(4);
    agent
}

pub fn arrival(header: &PacketHeader) -> Arrival<'_> {
    Arrival {
        header,
        packet: b"packet",
        balancer: agent(100),
        service: ServiceId::of(SERVICE),
        search: None,
        may_wait: false,
        urgent: false,
        granted: None,
    }
}

pub fn deliver(agent: &mut Agent, header: &PacketHeader, now: u64) -> u32 {
    match agent.delivery(&arrival(header), now) {
        DeliveryDecision::Deliver { echo, .. } => echo,
        other => panic!("expected a delivery, got {other:?}"),
    }
}

/// A packet that the target sends on a flow.
pub fn output(flow: FlowKey, flags: Flags, length: u16) -> PacketHeader {
    let header = packet(flow, flags, length);
    PacketHeader { source: header.destination, destination: header.source, ..header }
}

pub fn answer(flow: FlowKey) -> PacketHeader {
    output(flow, Flags { ack: true, ..Flags::default() }, 400)
}

pub fn request(port: u16, sequence: u32) -> PacketHeader {
    PacketHeader { sequence, ..data(flow(port)) }
}

/// Delivers five requests, the limit for a target with four slots (125%).
pub fn fill(agent: &mut Agent) {
    for port in 0..5 {
        deliver(agent, &request(port, 0), 0);
    }
    assert_eq!(agent.waiting(), 5);
}
