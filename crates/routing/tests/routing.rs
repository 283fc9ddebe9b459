//! Bucket ownership and packet routing: determinism, minimal remapping, weights, and rejection of
//! hints to other services.

mod support;

use etherparse::PacketBuilder;
use support::{service, target};
use weirhinge_config::{ConfigDocument, HashKey, ServiceId, TargetId, TargetState};
use weirhinge_packet::decode_packet;
use weirhinge_routing::{BucketTable, HolderHint, RouteBasis, RouteError, RoutingTable};

const KEY: HashKey = HashKey([7; 16]);
const SEED: u64 = 11;

fn equally_weighted(ids: impl IntoIterator<Item = u16>) -> Vec<(TargetId, u32)> {
    ids.into_iter().map(|id| (TargetId(id), 100)).collect()
}

fn owner_changes(before: &BucketTable, after: &BucketTable) -> Vec<(TargetId, TargetId)> {
    before
        .owners()
        .iter()
        .copied()
        .zip(after.owners().iter().copied())
        .filter(|(old, new)| old != new)
        .collect()
}

#[test]
fn removing_target_remaps_only_its_buckets() {
    let before = BucketTable::build(SEED, &equally_weighted(0..7), 7);
    let after = BucketTable::build(SEED, &equally_weighted((0..7).filter(|&id| id != 3)), 7);
    let changes = owner_changes(&before, &after);
    assert!(changes.iter().all(|(old, _)| *old == TargetId(3)));
    let owned = before.owners().iter().filter(|&&owner| owner == TargetId(3)).count();
    assert_eq!(changes.len(), owned);
}

#[test]
fn added_target_is_only_new_owner() {
    let before = BucketTable::build(SEED, &equally_weighted(0..7), 8);
    let after = BucketTable::build(SEED, &equally_weighted(0..8), 8);
    let changes = owner_changes(&before, &after);
    assert!(changes.iter().all(|(_, new)| *new == TargetId(7)));
    let fair_share = before.len() / 8;
    assert!(
        changes.len() < fair_share + fair_share / 2,
        "{} of {} buckets changed owner",
        changes.len(),
        before.len()
    );
}

#[test]
fn standby_owner_takes_over_buckets_of_removed_owner() {
    let before = BucketTable::build(SEED, &equally_weighted(0..7), 7);
    let after = BucketTable::build(SEED, &equally_weighted((0..7).filter(|&id| id != 3)), 7);
    for bucket in 0..before.len() as u32 {
        let standby_owner = before.standby_owner(bucket).expect("standby owner");
        assert_ne!(before.owner(bucket), Some(standby_owner));
        if before.owner(bucket) == Some(TargetId(3)) {
            assert_eq!(after.owner(bucket), Some(standby_owner));
        }
    }
    let single = BucketTable::build(SEED, &equally_weighted(0..1), 1);
    assert_eq!((single.owner(0), single.standby_owner(0)), (Some(TargetId(0)), None));
}

#[test]
fn bucket_shares_are_proportional_to_weights() {
    let targets = [(TargetId(1), 100), (TargetId(2), 300)];
    let table = BucketTable::build(SEED, &targets, 64);
    let light = table.owners().iter().filter(|&&owner| owner == TargetId(1)).count();
    let share = light as f64 / table.len() as f64;
    assert!(
        (0.22..0.28).contains(&share),
        "share of the target with weight 100 is {share}, expected about 0.25"
    );
}

#[test]
fn table_is_independent_of_target_order() {
    let ascending = BucketTable::build(SEED, &equally_weighted(0..9), 9);
    let descending = BucketTable::build(SEED, &equally_weighted((0..9).rev()), 9);
    assert_eq!(ascending, descending);
}

fn document(draining: &[u16]) -> ConfigDocument {
    let target = |id: u16| {
        let state =
            if draining.contains(&id) { TargetState::Draining } else { TargetState::Active };
        target(id, if id < 4 { 1 } else { 2 }, state)
    };
    ConfigDocument {
        revision: 5,
        services: vec![service(1, 10), service(2, 20)],
        targets: (0..6).map(target).collect(),
    }
}

fn segment(service_octet: u8, syn: bool, echo: Option<u32>) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([198, 18, 0, 1], [203, 0, 113, service_octet], 64)
        .tcp(40_000, 8_443, 1, 4_000);
    let builder = if syn { builder.syn() } else { builder.ack(1) };
    let mut packet = Vec::new();
    let options = echo.map(|echo| {
        let mut options = vec![1, 1, 8, 10, 0, 0, 0, 1];
        options.extend(echo.to_be_bytes());
        options
    });
    builder
        .options_raw(&options.unwrap_or_default())
        .expect("valid TCP options")
        .write(&mut packet, &[])
        .expect("write packet");
    packet
}

#[test]
fn hint_routes_to_draining_holder() {
    let table = RoutingTable::build(&document(&[2]), &KEY);
    let echo = HolderHint(TargetId(2)).timestamp(123_456);
    let packet = segment(10, false, Some(echo));
    let route =
        table.route(&decode_packet(&packet).expect("valid packet")).expect("packet has a route");
    assert_eq!((route.target, route.basis), (TargetId(2), RouteBasis::Hint));
    let opening = segment(10, true, Some(echo));
    let route =
        table.route(&decode_packet(&opening).expect("valid packet")).expect("packet has a route");
    assert_eq!(route.basis, RouteBasis::Owner);
    assert_ne!(route.target, TargetId(2), "a draining target must not receive an opening packet");
}

#[test]
fn hint_to_target_of_other_service_is_ignored() {
    let table = RoutingTable::build(&document(&[]), &KEY);
    for other_target in [4, 5, 6, 8_191] {
        let echo = HolderHint(TargetId(other_target)).timestamp(9);
        let packet = segment(10, false, Some(echo));
        let route = table
            .route(&decode_packet(&packet).expect("valid packet"))
            .expect("packet has a route");
        assert_eq!(route.service, ServiceId(1));
        assert_eq!(route.basis, RouteBasis::Owner);
        assert!(route.target < TargetId(4));
    }
}

#[test]
fn rebuilt_table_equals_newly_built_table() {
    let first = RoutingTable::build(&document(&[]), &KEY);
    for draining in [&[][..], &[1], &[4], &[0, 1, 4]] {
        let mut next = document(draining);
        next.revision = 6;
        next.targets[3].weight = 300;
        let rebuilt = first.rebuild(&next);
        let built = RoutingTable::build(&next, &KEY);
        assert_eq!(rebuilt.revision(), 6);
        for id in [ServiceId(1), ServiceId(2)] {
            let (rebuilt, built) = (rebuilt.service(id), built.service(id));
            let (rebuilt, built) = (rebuilt.expect("service"), built.expect("service"));
            assert_eq!(rebuilt.buckets, built.buckets);
            assert_eq!((&rebuilt.active, &rebuilt.members), (&built.active, &built.members));
        }
    }
}

#[test]
fn unknown_destination_and_drained_service_are_not_routed() {
    let table = RoutingTable::build(&document(&[4, 5]), &KEY);
    let unknown = segment(99, true, None);
    let unknown = decode_packet(&unknown).expect("valid packet");
    assert_eq!(table.route(&unknown), Err(RouteError::UnknownService));
    let drained = segment(20, true, None);
    let drained = decode_packet(&drained).expect("valid packet");
    assert_eq!(table.route(&drained), Err(RouteError::NoTarget));
}

#[test]
fn timestamps_increase_for_three_days() {
    let hint = HolderHint(TargetId(8_191));
    let start = 0xFFFF_FFFF_u64;
    let first = hint.timestamp(start);
    for hours in 1..72 {
        let later = hint.timestamp(start + hours * 3_600);
        assert!((later.wrapping_sub(first) as i32) > 0, "after {hours} h");
        assert_eq!(HolderHint::from_timestamp_echo(later), hint);
    }
}
