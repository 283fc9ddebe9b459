//! Callers without timestamps name the holder by the number that they acknowledge.

mod support;

use etherparse::PacketBuilder;
use proptest::prelude::*;
use support::{service, target};
use weirhinge_config::{ConfigDocument, HashKey, TargetId, TargetState};
use weirhinge_packet::decode_packet;
use weirhinge_routing::{HolderHint, NAMED_BYTES, RouteBasis, RoutingTable};

const KEY: HashKey = HashKey([9; 16]);
const TARGETS: u16 = 4;

fn document(state: TargetState) -> ConfigDocument {
    ConfigDocument {
        revision: 1,
        services: vec![service(1, 10)],
        targets: (0..TARGETS).map(|id| target(id, 1, state)).collect(),
    }
}

fn acknowledging(number: u32) -> Vec<u8> {
    let step = PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, 10], 64);
    let mut packet = Vec::new();
    step.tcp(40_000, 8_443, 1, 4_000).ack(number).write(&mut packet, &[]).expect("packet");
    packet
}

/// Where a caller's packet goes that acknowledges `sent` bytes of a flow at this target.
fn route(table: &RoutingTable, target: u16, sent: u32) -> (TargetId, RouteBasis) {
    let key = decode_packet(&acknowledging(0)).expect("sound").key;
    let first = HolderHint(TargetId(target)).initial_sequence(table.hasher().hash(&key), 77);
    let packet = acknowledging(first.wrapping_add(1 + sent));
    let route = table.route(&decode_packet(&packet).expect("sound")).expect("route");
    (route.target, route.basis)
}

#[test]
fn a_packet_goes_straight_to_its_holder() {
    let table = RoutingTable::build(&document(TargetState::Active), &KEY);
    for target in 0..TARGETS {
        assert_eq!(route(&table, target, 0), (TargetId(target), RouteBasis::Hint));
        assert_eq!(route(&table, target, 100_000), (TargetId(target), RouteBasis::Hint));
    }
}

/// A bucket has no owner then.
#[test]
fn a_packet_finds_its_holder_while_all_targets_drain() {
    let table = RoutingTable::build(&document(TargetState::Draining), &KEY);
    assert_eq!(route(&table, 2, 0), (TargetId(2), RouteBasis::Hint));
}

#[test]
fn numbers_that_name_no_target_of_the_service_lead_to_the_owner() {
    let table = RoutingTable::build(&document(TargetState::Active), &KEY);
    assert_eq!(route(&table, 5_000, 0).1, RouteBasis::Owner);
}

proptest! {
    #[test]
    fn a_name_holds_for_a_known_number_of_bytes(
        target in 0_u16..8_192,
        flow_hash: u64,
        random: u32,
        sent in 0..NAMED_BYTES,
    ) {
        let hint = HolderHint(TargetId(target));
        let acknowledged = hint.initial_sequence(flow_hash, random).wrapping_add(sent);
        prop_assert_eq!(HolderHint::from_acknowledgment(acknowledged, flow_hash), hint);
    }

    /// A stranger that knows the target but not the key finds its name nowhere.
    #[test]
    fn flows_of_one_target_begin_with_different_names(flow_hash: u64, other: u64) {
        prop_assume!(flow_hash != other);
        let hint = HolderHint(TargetId(3));
        let differs = |bit: u32| {
            (0..64).any(|flow: u64| {
                let first = hint.initial_sequence(flow_hash.wrapping_add(flow), 0);
                let second = hint.initial_sequence(other.wrapping_add(flow), 0);
                (first ^ second) >> bit & 1 == 1
            })
        };
        prop_assert!((19..32).all(differs));
    }
}
