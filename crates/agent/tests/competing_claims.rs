//! Packets reach the agent that holds their flow even if two agents have answered the opening
//! packet or the packet's holder hint names another agent.

mod support;

use std::time::Instant;

use weirhinge_agent::dispatch::Decision;
use weirhinge_packet::{FlowKey, decode_packet};
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, Holding};

use support::{AGENTS, agent, document, envelope, owner, segment};

/// The claim of an agent that has admitted a flow.
fn claim(from: u16, key: FlowKey) -> AgentMessage<'static> {
    let (flow, holding) = (key.into(), Holding::Opening);
    AgentMessage::HolderAnswer(HolderAnswer { service: 1, from, revision: 1, flow, holding })
}

/// Two agents admit the same opening packet, and the client takes up the other agent's answer. If
/// admission discards the other agent's claim, the client's first request is delivered only to the
/// half-open flow here and is lost until the client retransmits it seconds later.
#[test]
fn admitted_flow_claimed_elsewhere_forwards_packets_to_claimant() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let own = owner(&document, &opening);
    let claimant = (own + 1) % AGENTS;
    let mut agent = agent(own, &document);
    let now = Instant::now();
    let key = decode_packet(&opening).expect("valid packet").key;
    agent.handle(&claim(claimant, key), 0, now);
    let assigned = AgentMessage::Packet(envelope(own, Delivery::Assigned, &opening));
    let Decision::Open { key, .. } = agent.handle(&assigned, 0, now) else {
        panic!("expected the agent to admit the assigned flow");
    };
    agent.flows.insert(key, (), now).expect("inserted");
    let request = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &request));
    let Decision::Multiple(all) = agent.handle(&message, 0, now) else {
        panic!("expected the packet to be delivered and forwarded");
    };
    assert_eq!(all[0], Decision::Deliver(key));
    let Decision::PassOn(next_hops) = &all[1] else {
        panic!("expected the packet to be forwarded to the claimant");
    };
    assert_eq!((next_hops[0].target.0, next_hops[0].delivery), (claimant, Delivery::Forwarded));
}

/// The client takes up another agent's answer, and that agent's claim arrives only after the
/// client's first request has been delivered to the half-open flow here.
#[test]
fn late_claimant_receives_packets_delivered_to_half_open_flow() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let own = owner(&document, &opening);
    let claimant = (own + 1) % AGENTS;
    let mut agent = agent(own, &document);
    let now = Instant::now();
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &opening));
    let Decision::Open { key, .. } = agent.handle(&message, 0, now) else {
        panic!("expected the owner to admit the flow");
    };
    agent.flows.insert(key, (), now).expect("inserted");
    let request = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &request));
    assert_eq!(agent.handle(&message, 0, now), Decision::Deliver(key));
    let Decision::ForwardBuffered { packets, next_hop } =
        agent.handle(&claim(claimant, key), 0, now)
    else {
        panic!("expected the request to be forwarded to the claimant");
    };
    assert_eq!(packets, [request]);
    assert_eq!((next_hop.target.0, next_hop.delivery), (claimant, Delivery::Forwarded));
}

/// The sequence numbers of a long flow advance until they name another target. That target's agent
/// passes the packet to the owner, which knows the holder, instead of querying all agents.
#[test]
fn packet_misdirected_by_sequence_number_goes_to_owner() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    let named = (owner_target + 1) % AGENTS;
    let mut agent = agent(named, &document);
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(named, Delivery::Hinted, &packet));
    let Decision::PassOn(next_hops) = agent.handle(&message, 0, Instant::now()) else {
        panic!("expected the packet to be passed on");
    };
    assert_eq!((next_hops[0].target.0, next_hops[0].delivery), (owner_target, Delivery::Owner));
    // Timestamps name the same target throughout a flow, so this flow was held here.
    let packet = segment(40_000, false, true);
    let message = AgentMessage::Packet(envelope(named, Delivery::Hinted, &packet));
    assert!(matches!(agent.handle(&message, 0, Instant::now()), Decision::Query { .. }));
}
