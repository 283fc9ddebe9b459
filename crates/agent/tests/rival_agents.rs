//! Packets reach the agent that holds their flow, also where two agents answered one opening
//! packet or the packet names another.

mod support;

use std::time::Instant;

use weirhinge_agent::dispatch::Dispatch;
use weirhinge_packet::{FlowKey, decode_packet};
use weirhinge_wire::{AgentMessage, Delivery, HolderAnswer, Holding};

use support::{AGENTS, agent, document, envelope, owner, segment};

/// What an agent says that has admitted a flow.
fn claim(from: u16, key: FlowKey) -> AgentMessage<'static> {
    let (flow, holding) = (key.into(), Holding::Opening);
    AgentMessage::HolderAnswer(HolderAnswer { service: 1, from, revision: 1, flow, holding })
}

/// Two agents admit one opening packet, and the caller takes up the other's answer. Its
/// first request was handed to the half-open flow here alone, as the claim was forgotten
/// when the flow was admitted, and was lost until the caller repeated it seconds later.
#[test]
fn an_agent_that_admits_a_claimed_flow_passes_its_packets_to_the_claimant() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let own = owner(&document, &opening);
    let claimant = (own + 1) % AGENTS;
    let mut agent = agent(own, &document);
    let now = Instant::now();
    let key = decode_packet(&opening).expect("sound").key;
    agent.handle(&claim(claimant, key), 0, now);
    let assigned = AgentMessage::Packet(envelope(own, Delivery::Assigned, &opening));
    let Dispatch::Open { key, .. } = agent.handle(&assigned, 0, now) else {
        panic!("the agent admits what it is assigned");
    };
    agent.flows.insert(key, (), now).expect("inserted");
    let request = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &request));
    let Dispatch::Several(all) = agent.handle(&message, 0, now) else {
        panic!("the packet goes to both");
    };
    assert_eq!(all[0], Dispatch::Deliver(key));
    let Dispatch::PassOn(ways) = &all[1] else {
        panic!("the packet goes to the claimant");
    };
    assert_eq!((ways[0].target.0, ways[0].delivery), (claimant, Delivery::Forwarded));
}

/// The claim of the agent whose answer the caller took up came after its first request,
/// which had gone to the half-open flow here alone.
#[test]
fn a_late_claimant_gets_what_the_half_open_flow_here_was_handed() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let own = owner(&document, &opening);
    let claimant = (own + 1) % AGENTS;
    let mut agent = agent(own, &document);
    let now = Instant::now();
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &opening));
    let Dispatch::Open { key, .. } = agent.handle(&message, 0, now) else {
        panic!("the owner admits");
    };
    agent.flows.insert(key, (), now).expect("inserted");
    let request = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(own, Delivery::Owner, &request));
    assert_eq!(agent.handle(&message, 0, now), Dispatch::Deliver(key));
    let Dispatch::Release { packets, pass_on } = agent.handle(&claim(claimant, key), 0, now) else {
        panic!("the claimant gets the request");
    };
    assert_eq!(packets, [request]);
    assert_eq!((pass_on.target.0, pass_on.delivery), (claimant, Delivery::Forwarded));
}

/// A long flow's numbers come to name another target. Its agent is not asked to search: the
/// owner knows the holder.
#[test]
fn a_packet_that_names_this_agent_by_number_alone_goes_to_the_owner() {
    let document = document(1, &[]);
    let opening = segment(40_000, true, false);
    let owner_target = owner(&document, &opening);
    let named = (owner_target + 1) % AGENTS;
    let mut agent = agent(named, &document);
    let packet = segment(40_000, false, false);
    let message = AgentMessage::Packet(envelope(named, Delivery::Hinted, &packet));
    let Dispatch::PassOn(ways) = agent.handle(&message, 0, Instant::now()) else {
        panic!("the packet goes on");
    };
    assert_eq!((ways[0].target.0, ways[0].delivery), (owner_target, Delivery::Owner));
    // A timestamp names no other target, however long the flow: the flow was held here.
    let packet = segment(40_000, false, true);
    let message = AgentMessage::Packet(envelope(named, Delivery::Hinted, &packet));
    assert!(matches!(agent.handle(&message, 0, Instant::now()), Dispatch::Ask { .. }));
}
