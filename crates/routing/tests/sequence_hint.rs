//! Holder hints in the acknowledgment numbers of clients without TCP timestamps.

mod support;

use etherparse::PacketBuilder;
use proptest::prelude::*;
use support::{service, target};
use weirhinge_config::{ConfigDocument, HashKey, TargetId, TargetState};
use weirhinge_packet::decode_packet;
use weirhinge_routing::{HINT_VALID_BYTES, HolderHint, RouteBasis, RoutingTable};

const KEY: HashKey = HashKey([9; 16]);
const TARGETS: u16 = 4;

fn document(state: TargetState) -> ConfigDocument {
    ConfigDocument {
        revision: 1,
        services: vec![service(1, 10)],
        targets: (0..TARGETS).map(|id| target(id, 1, state)).collect(),
    }
}

fn acknowledgment_packet(acknowledgment: u32) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64);
    let mut packet = Vec::new();
    builder
        .tcp(40_000, 8_443, 1, 4_000)
        .ack(acknowledgment)
        .write(&mut packet, &[])
        .expect("write packet");
    packet
}

/// Routes a client's packet that acknowledges `sent` bytes of a flow held by `target`.
fn route_acknowledgment(table: &RoutingTable, target: u16, sent: u32) -> (TargetId, RouteBasis) {
    let key = decode_packet(&acknowledgment_packet(0)).expect("valid packet").key;
    let initial = HolderHint(TargetId(target)).initial_sequence(table.hasher().hash(&key), 77);
    let packet = acknowledgment_packet(initial.wrapping_add(1 + sent));
    let route =
        table.route(&decode_packet(&packet).expect("valid packet")).expect("packet has a route");
    (route.target, route.basis)
}

#[test]
fn acknowledgment_routes_to_holder() {
    let table = RoutingTable::build(&document(TargetState::Active), &KEY);
    for target in 0..TARGETS {
        assert_eq!(route_acknowledgment(&table, target, 0), (TargetId(target), RouteBasis::Hint));
        assert_eq!(
            route_acknowledgment(&table, target, 100_000),
            (TargetId(target), RouteBasis::Hint)
        );
    }
}

/// If all targets of a service are draining, its buckets have no owner.
#[test]
fn acknowledgment_routes_to_draining_holder_without_bucket_owner() {
    let table = RoutingTable::build(&document(TargetState::Draining), &KEY);
    assert_eq!(route_acknowledgment(&table, 2, 0), (TargetId(2), RouteBasis::Hint));
}

#[test]
fn hint_to_unknown_target_falls_back_to_owner() {
    let table = RoutingTable::build(&document(TargetState::Active), &KEY);
    assert_eq!(route_acknowledgment(&table, 5_000, 0).1, RouteBasis::Owner);
}

proptest! {
    #[test]
    fn hint_is_valid_for_guaranteed_number_of_bytes(
        target in 0_u16..8_192,
        flow_hash: u64,
        random: u32,
        sent in 0..HINT_VALID_BYTES,
    ) {
        let hint = HolderHint(TargetId(target));
        let acknowledged = hint.initial_sequence(flow_hash, random).wrapping_add(sent);
        prop_assert_eq!(HolderHint::from_acknowledgment(acknowledged, flow_hash), hint);
    }

    /// An attacker that knows the target but not the key cannot compute the target bits.
    #[test]
    fn target_bits_differ_between_flows_of_one_target(flow_hash: u64, other_flow_hash: u64) {
        prop_assume!(flow_hash != other_flow_hash);
        let hint = HolderHint(TargetId(3));
        let bit_differs = |bit: u32| {
            (0..64).any(|offset: u64| {
                let first = hint.initial_sequence(flow_hash.wrapping_add(offset), 0);
                let second = hint.initial_sequence(other_flow_hash.wrapping_add(offset), 0);
                (first ^ second) >> bit & 1 == 1
            })
        };
        prop_assert!((19..32).all(bit_differs));
    }
}
