//! Forwarding of packets: the envelope for the target's agent, and the copy of an opening packet
//! for the standby owner.

use etherparse::PacketBuilder;
use weirhinge_balancer::{ForwardError, Forwarder};
use weirhinge_config::{ConfigDocument, HashKey};
use weirhinge_packet::DropReason;
use weirhinge_routing::{HolderHint, RouteBasis, RouteError, RoutingTable};
use weirhinge_wire::{AgentMessage, Delivery, PacketEnvelope, decode};

const DOCUMENT: &str = r#"
revision = 9
[[services]]
id = 4
name = "approvals"
address = "203.0.113.10"
port = 8443
[[targets]]
id = 1
name = "approvals-1"
service = 4
zone = "austin"
agent = "127.0.0.1:7001"
back_end = "127.0.0.1:9001"
slots = 7
connections = 2000
[[targets]]
id = 2
name = "approvals-2"
service = 4
zone = "austin"
agent = "127.0.0.1:7002"
back_end = "127.0.0.1:9002"
slots = 7
connections = 2000
"#;

fn table() -> RoutingTable {
    let document = ConfigDocument::from_toml("test", DOCUMENT).expect("valid document");
    RoutingTable::build(&document, &HashKey([7; 16]))
}

fn packet(syn: bool, options: &[u8]) -> Vec<u8> {
    let step = PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64)
        .tcp(40_000, 8_443, 1, 4_000)
        .options_raw(options)
        .expect("options");
    let step = if syn { step.syn() } else { step.ack(1) };
    let mut packet = Vec::new();
    step.write(&mut packet, b"payload").expect("packet");
    packet
}

fn envelope(bytes: &[u8]) -> PacketEnvelope<'_> {
    match decode(bytes) {
        Ok(AgentMessage::Packet(envelope)) => envelope,
        other => panic!("expected a packet, found {other:?}"),
    }
}

#[test]
fn opening_packet_goes_to_owner_and_standby_owner() {
    let table = table();
    let forwarder = Forwarder::new(&table);
    let packet = packet(true, &[]);
    let mut buffer = Vec::new();
    let forwarded = forwarder.forward(&packet, &mut buffer).expect("forwarded");
    let owner = envelope(&buffer);
    assert_eq!((owner.revision, owner.service, owner.delivery), (9, 4, Delivery::Owner));
    assert_eq!(owner.packet, packet);
    assert_eq!(forwarded.agent.port(), 7_000 + owner.target);
    let owner_target = owner.target;

    let copy = forwarded.standby.expect("a standby owner");
    forwarder.forward_standby(&copy, &packet, &mut buffer).expect("encoded");
    let standby_owner = envelope(&buffer);
    assert_eq!(
        (standby_owner.target, standby_owner.delivery),
        (3 - owner_target, Delivery::Standby)
    );
    assert_eq!(copy.agent().port(), 7_000 + standby_owner.target);
}

#[test]
fn hinted_packet_goes_to_its_holder_without_standby_copy() {
    let table = table();
    let forwarder = Forwarder::new(&table);
    for target in [1, 2] {
        let hint = HolderHint(weirhinge_config::TargetId(target));
        let mut options = vec![1, 1, 8, 10, 0, 0, 0, 1];
        options.extend(hint.timestamp(5).to_be_bytes());
        let packet = packet(false, &options);
        let mut buffer = Vec::new();
        let forwarded = forwarder.forward(&packet, &mut buffer).expect("forwarded");
        assert_eq!((forwarded.basis, forwarded.standby), (RouteBasis::Hint, None));
        assert_eq!(envelope(&buffer).target, target);
        assert_eq!(envelope(&buffer).delivery, Delivery::Hinted);
    }
}

#[test]
fn packet_without_route_is_dropped_with_reason() {
    let table = table();
    let forwarder = Forwarder::new(&table);
    let mut buffer = Vec::new();
    let mut drop_reason =
        |packet: &[u8]| forwarder.forward(packet, &mut buffer).expect_err("dropped");
    let truncated = ForwardError::Packet(DropReason::Truncated);
    assert_eq!(drop_reason(&[0x45]), truncated);
    let mut to_unknown_service = packet(true, &[]);
    to_unknown_service[19] = 99;
    assert_eq!(drop_reason(&to_unknown_service), ForwardError::Route(RouteError::UnknownService));
}
