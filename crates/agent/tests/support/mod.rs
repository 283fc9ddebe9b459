//! A service with four targets, the dispatchers of their agents, and packets for the service.

// Each test program uses only part of this module.
#![allow(dead_code)]

use std::time::{Duration, Instant};

use etherparse::PacketBuilder;
use weirhinge_agent::dispatch::Dispatcher;
use weirhinge_agent::view::AgentView;
use weirhinge_config::{
    ConfigDocument, HashKey, Service, ServiceId, Target, TargetId, TargetState, TransportProtocol,
};
use weirhinge_packet::decode_packet;
use weirhinge_routing::RoutingTable;
use weirhinge_wire::{Delivery, PacketEnvelope};

pub const KEY: HashKey = HashKey([7; 16]);
pub const AGENTS: u16 = 4;

/// A configuration with two services; the four targets belong to service 1, and those in `draining`
/// are draining.
pub fn document(revision: u64, draining: &[u16]) -> ConfigDocument {
    let service = |id: u32, protocol, last: u8| Service {
        id: ServiceId(id),
        name: format!("service-{id}"),
        address: [203, 0, 113, last].into(),
        port: 8_443,
        protocol,
        proxy_protocol: false,
    };
    let target = |id: u16| Target {
        id: TargetId(id),
        name: format!("target-{id}"),
        service: ServiceId(1),
        zone: "austin".to_owned(),
        agent: ([127, 0, 0, 1], 7_000 + id).into(),
        back_end: ([127, 0, 0, 1], 9_000 + id).into(),
        weight: 100,
        state: if draining.contains(&id) { TargetState::Draining } else { TargetState::Active },
        slots: 7,
        connections: 2_000,
    };
    ConfigDocument {
        revision,
        services: vec![
            service(1, TransportProtocol::Tcp, 10),
            service(2, TransportProtocol::Tcp, 20),
        ],
        targets: (0..AGENTS).map(target).collect(),
    }
}

/// The dispatcher of a warm agent, which admits new flows without comparing candidates.
pub fn agent(target: u16, document: &ConfigDocument) -> Dispatcher<()> {
    comparing_agent(1, target, document)
}

/// The dispatcher of a warm agent that compares up to `candidates` targets for a new flow.
pub fn comparing_agent(candidates: u8, target: u16, document: &ConfigDocument) -> Dispatcher<()> {
    let target = TargetId(target);
    let view = AgentView::build(document, &KEY, target);
    let start = Instant::now();
    // Long enough ago that the back end has warmed up and the target accepts flows.
    let earlier = start.checked_sub(Duration::from_secs(60)).unwrap_or(start);
    let mut dispatcher = Dispatcher::new(target, candidates, 16, view.clone(), earlier);
    dispatcher.apply(view, earlier);
    dispatcher
}

/// A TCP segment from a client to service 1, with or without the TCP timestamp option.
pub fn segment(port: u16, syn: bool, timestamps: bool) -> Vec<u8> {
    let step =
        PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64).tcp(port, 8_443, 1, 4_000);
    let step = if syn { step.syn() } else { step.ack(1) };
    let options: &[u8] = if timestamps { &[1, 1, 8, 10, 0, 0, 0, 1, 0, 0, 0, 0] } else { &[] };
    let mut packet = Vec::new();
    step.options_raw(options).expect("options").write(&mut packet, &[]).expect("packet");
    packet
}

/// An envelope as a balancer sends it under revision 1.
pub fn envelope(target: u16, delivery: Delivery, packet: &[u8]) -> PacketEnvelope<'_> {
    PacketEnvelope { revision: 1, service: 1, target, delivery, hops: 0, packet }
}

/// The target that owns the bucket of a packet's flow under `document`.
pub fn owner(document: &ConfigDocument, packet: &[u8]) -> u16 {
    let table = RoutingTable::build(document, &KEY);
    table.route(&decode_packet(packet).expect("valid packet")).expect("route").target.0
}
