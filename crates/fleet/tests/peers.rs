//! Peers, the choice of readers, and what peers send each other.

use std::net::Ipv4Addr;

use proptest::prelude::*;
use weirhinge_fleet::reader::{CheckSchedule, ReaderInputs, should_read, wait_after_failure};
use weirhinge_fleet::{
    Bounds, Digest, EvacuatedZones, MessageError, Millis, PEER_LIFETIME_MS, PeerMessage, PeerRole,
    PeerTable, Position, SearchPath, Timing, ZoneId, decode, encode,
};

const OWN: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 5);

fn address(last: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, last)
}

fn digest(sender: Ipv4Addr, reading: bool) -> Digest {
    Digest {
        sender: sender.to_bits(),
        role: PeerRole::Balancer,
        zone: ZoneId::of("a"),
        capacity: Some(500),
        stopping: false,
        overloaded: false,
        position: Position::new(0, 1),
        configuration: Some(1),
        evacuated: EvacuatedZones::default(),
        age_ms: Some(0),
        reading,
        reply: false,
        balancers: Vec::new(),
        target: None,
    }
}

fn inputs() -> ReaderInputs {
    ReaderInputs {
        uptime_ms: 10_000,
        age_ms: Some(200),
        rank: 0,
        reading: false,
        lower_reader: false,
        checks: false,
    }
}

#[test]
fn seeds_are_silent_until_they_are_heard() {
    let mut peers = PeerTable::new(OWN, [OWN, address(1), address(2)]);
    assert_eq!(peers.silent_seeds().collect::<Vec<_>>(), vec![address(1), address(2)]);
    assert!(peers.heard(&digest(address(1), false), 0));
    assert!(!peers.heard(&digest(address(1), false), 10));
    assert_eq!(peers.silent_seeds().collect::<Vec<_>>(), vec![address(2)]);
    peers.expire(PEER_LIFETIME_MS + 20);
    assert_eq!(peers.silent_seeds().count(), 2);
    assert_eq!(peers.balancers().count(), 0);
}

#[test]
fn capable_peers_run_in_the_zone_have_the_capacity_and_go_on() {
    let mut peers = PeerTable::new(OWN, []);
    let zone = ZoneId::of("a");
    peers.heard(&digest(address(1), false), 7);
    peers.heard(&Digest { zone: ZoneId::of("b"), ..digest(address(2), false) }, 7);
    peers.heard(&Digest { capacity: Some(100), ..digest(address(3), false) }, 7);
    peers.heard(&Digest { capacity: None, ..digest(address(4), false) }, 7);
    assert_eq!(peers.capable(zone, 300).collect::<Vec<_>>(), vec![(address(1), 7)]);
    peers.heard(&Digest { stopping: true, ..digest(address(1), false) }, 9);
    assert_eq!(peers.capable(zone, 300).count(), 0);
}

#[test]
fn configured_peers_know_a_configuration_and_go_on() {
    let mut peers = PeerTable::new(OWN, []);
    peers.heard(&digest(address(1), false), 7);
    peers.heard(&Digest { configuration: None, ..digest(address(2), false) }, 7);
    peers.heard(&Digest { stopping: true, ..digest(address(3), false) }, 7);
    let serving: Vec<_> = peers.serving().map(|peer| (peer.address, peer.heard_at)).collect();
    assert_eq!(serving, vec![(address(1), 7)]);
}

#[test]
fn balancers_that_peers_name_are_known_but_not_named_on() {
    let mut peers = PeerTable::new(OWN, []);
    let named = Digest { balancers: vec![address(9).to_bits()], ..digest(address(1), false) };
    peers.heard(&named, 0);
    assert_eq!(peers.balancers().collect::<Vec<_>>(), vec![address(1), address(9)]);
    // Hearsay does not travel further until the balancer was heard.
    assert_eq!(peers.named_in_digest(0), vec![address(1).to_bits()]);
}

#[test]
fn rank_counts_lower_balancers_alone() {
    let mut peers = PeerTable::new(OWN, []);
    peers.heard(&digest(address(1), true), 0);
    peers.heard(&digest(address(9), true), 0);
    peers.heard(&Digest { role: PeerRole::Agent, ..digest(address(2), false) }, 0);
    assert_eq!(peers.rank(), 1);
    assert!(peers.lower_reader(100, 1_000));
    assert!(!peers.lower_reader(1_100, 1_000));
}

#[test]
fn a_higher_reader_stops_nobody() {
    let mut peers = PeerTable::new(OWN, []);
    peers.heard(&digest(address(9), true), 0);
    assert!(!peers.lower_reader(10, 1_000));
}

#[test]
fn fresh_knowledge_is_not_read_again() {
    assert!(!should_read(&inputs(), &Timing::default()));
}

#[test]
fn a_reader_goes_on_until_a_lower_one_reads() {
    assert!(should_read(&ReaderInputs { reading: true, ..inputs() }, &Timing::default()));
    assert!(!should_read(
        &ReaderInputs { reading: true, lower_reader: true, ..inputs() },
        &Timing::default()
    ));
}

#[test]
fn old_knowledge_is_read_in_order_of_rank_and_within_two_seconds() {
    let old = |age_ms, rank| {
        should_read(&ReaderInputs { age_ms: Some(age_ms), rank, ..inputs() }, &Timing::default())
    };
    assert!(old(1_400, 0));
    assert!(!old(1_400, 1));
    assert!(old(1_500, 1));
    assert!(old(1_900, 500), "also the last of many balancers reads in time");
}

#[test]
fn a_balancer_that_knows_nothing_reads_soon_even_if_others_do() {
    let new = |uptime_ms| ReaderInputs {
        uptime_ms,
        age_ms: None,
        rank: 3,
        lower_reader: true,
        ..inputs()
    };
    assert!(!should_read(&new(0), &Timing::default()));
    assert!(should_read(&new(50), &Timing::default()));
}

/// First byte of the datagrams of this version of the protocol.
const OUR_VERSION: u8 = 7;

#[test]
fn foreign_datagrams_are_refused() {
    assert_eq!(decode::<PeerMessage<'_>>(&[]), Err(MessageError::UnknownVersion));
    assert_eq!(decode::<PeerMessage<'_>>(&[200, 1, 2]), Err(MessageError::UnknownVersion));
    assert_eq!(
        decode::<PeerMessage<'_>>(&[OUR_VERSION, 255, 255, 255]),
        Err(MessageError::Malformed)
    );
}

proptest! {
    #[test]
    fn forwarded_packets_come_through(
        service in any::<u64>(),
        search in prop::option::of((any::<u32>(), prop::collection::vec(any::<u32>(), 0..8))),
        may_wait in any::<bool>(),
        urgent in any::<bool>(),
        packet in prop::collection::vec(any::<u8>(), 0..1_300),
    ) {
        let path_length = search.as_ref().map_or(0, |(_, next)| 8 + 5 * next.len());
        let search = search.map(|(balancer, next)| SearchPath { balancer, next });
        let message = PeerMessage::Forward { service, search, may_wait, urgent, granted: None, packet: &packet };
        let mut buffer = Vec::new();
        encode(&message, &mut buffer).expect("encodes");
        prop_assert_eq!(decode::<PeerMessage<'_>>(&buffer).expect("decodes"), message);
        // A datagram of 1,234 bytes grows by a few bytes, not by a second head.
        prop_assert!(buffer.len() <= packet.len() + 40 + path_length);
    }

    #[test]
    fn noise_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = vec![1];
        framed.extend(&bytes);
        let _ = decode::<PeerMessage<'_>>(&framed);
        let _ = decode::<weirhinge_fleet::Update>(&framed);
    }
}

#[test]
fn a_peer_without_news_is_asked_long_before_it_is_forgotten() {
    let mut peers = PeerTable::new(OWN, []);
    assert!(peers.is_due(address(1), 0));
    peers.heard(&digest(address(1), false), 0);
    assert!(!peers.is_due(address(1), 1_900));
    assert!(peers.is_due(address(1), 2_000));
    peers.expire(2_500);
    assert_eq!(peers.balancers().count(), 1);
}

proptest! {
    /// Whatever the bounds, a reader that fails right after it confirmed is replaced
    /// and the change known with time to spare, however many balancers there are.
    #[test]
    fn the_last_balancer_reads_within_the_bounds(
        change_ms in 500..60_000u64,
        drain_ms in 500..60_000u64,
        renewal_ms in 100..10_000u64,
        rank in 0..5_000usize,
    ) {
        let timing = Timing::new(&Bounds { change_ms, drain_ms, renewal_ms, ..Bounds::default() });
        let age_ms = Some(change_ms.min(drain_ms) * 7 / 10);
        let failed = ReaderInputs { age_ms, rank, ..inputs() };
        prop_assert!(should_read(&failed, &timing));
        // A working reader, whose watch confirms once a wait, is never doubled.
        let age_ms = Some(timing.watch_wait_ms + timing.watch_wait_ms / 4);
        let working = ReaderInputs { age_ms, rank, ..inputs() };
        prop_assert!(!should_read(&working, &timing));
        prop_assert!(timing.settle_ms < drain_ms && timing.vanished_grace_ms < drain_ms);
    }
}

#[test]
fn only_serving_peers_heard_lately_tell_whether_others_keep_up() {
    let mut table = PeerTable::new(address(9), []);
    let overloaded = |peer, overloaded| Digest { overloaded, ..digest(address(peer), false) };
    table.heard(&overloaded(1, true), 100);
    table.heard(&overloaded(2, false), 1_000);
    table.heard(&overloaded(3, true), 1_000);
    table.heard(&Digest { stopping: true, ..digest(address(4), false) }, 1_000);
    table.heard(&Digest { configuration: None, ..digest(address(5), false) }, 1_000);
    let heard_lately = table.serving().filter(|peer| peer.was_heard_within(700, 1_200));
    let overloads: Vec<_> = heard_lately.map(|peer| (peer.address, peer.overloaded)).collect();
    assert_eq!(overloads, [(address(2), false), (address(3), true)]);
}

/// A fleet that wrongly took old knowledge for fresh once read nothing for 15 seconds.
#[test]
fn about_one_balancer_in_ten_seconds_checks_whatever_the_size() {
    for balancers in [4_usize, 91, 1_000] {
        let mut schedules = vec![CheckSchedule::default(); balancers];
        let (mut checks, mut random) = (0, 1_u64);
        let end = 600_000;
        for now in (0..end).step_by(1_000) {
            for schedule in &mut schedules {
                // A linear congruential generator (Knuth's MMIX).
                random = random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
                checks += u32::from(schedule.is_due(now, balancers, fraction));
            }
        }
        assert!((30..120).contains(&checks), "{checks} checks of {balancers} in ten minutes");
    }
}

#[test]
fn a_balancer_whose_turn_it_is_reads_though_all_seems_fresh() {
    let fresh = ReaderInputs { age_ms: Some(100), lower_reader: true, ..inputs() };
    assert!(!should_read(&fresh, &Timing::default()));
    assert!(should_read(&ReaderInputs { checks: true, ..fresh }, &Timing::default()));
}

#[test]
fn the_first_calls_after_a_failure_follow_soon() {
    for balancers in [1, 19, 1_000] {
        let waits = [1, 2].map(|failures| wait_after_failure(failures, balancers, 0.5));
        assert_eq!(waits, [60, 120]);
    }
}

/// All balancers of the largest fleet played once called a store that was down about once
/// a second each: 1,147 calls on one day.
#[test]
fn a_store_that_is_down_is_called_about_ten_times_a_second() {
    let fractions = (0..100).map(|place| f64::from(place) / 100.0);
    for (balancers, most) in [(1, 12.0), (19, 11.0), (91, 20.0), (1_000, 205.0)] {
        let waits = fractions.clone().map(|fraction| wait_after_failure(5, balancers, fraction));
        let mean = waits.sum::<Millis>() as f64 / 100.0;
        let calls_a_second = balancers as f64 * 1_000.0 / mean;
        assert!(calls_a_second <= most, "{balancers} balancers: {calls_a_second}");
        assert!(mean <= 5_000.0);
    }
}
