//! The peer table, the reader election and the messages between peers.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;

use proptest::prelude::*;
use weirhinge_fleet::reader::{
    ConcurrentReads, ReadReason, ReaderInputs, RetryWait, VerificationSchedule, confirmation_delay,
    listing_delay, read_reason, retry_wait, yields,
};
use weirhinge_fleet::{
    Bounds, Digest, EvacuatedZones, MessageError, PEER_TIMEOUT_MS, PeerMessage, PeerRole,
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
        confirmation_delay_ms: 0,
        rank: 0,
        reading: false,
        has_lower_reader: false,
        yields: false,
        verification_due: false,
    }
}

#[test]
fn seeds_are_silent_until_a_digest_arrives() {
    let mut peers = PeerTable::new(OWN, [OWN, address(1), address(2)]);
    assert_eq!(peers.silent_seeds().collect::<Vec<_>>(), vec![address(1), address(2)]);
    assert!(peers.record_digest(&digest(address(1), false), 0));
    assert!(!peers.record_digest(&digest(address(1), false), 10));
    assert_eq!(peers.silent_seeds().collect::<Vec<_>>(), vec![address(2)]);
    peers.expire(PEER_TIMEOUT_MS + 20);
    assert_eq!(peers.silent_seeds().count(), 2);
    assert_eq!(peers.balancers().count(), 0);
}

#[test]
fn capable_peers_are_in_the_zone_with_capacity_and_not_stopping() {
    let mut peers = PeerTable::new(OWN, []);
    let zone = ZoneId::of("a");
    peers.record_digest(&digest(address(1), false), 7);
    peers.record_digest(&Digest { zone: ZoneId::of("b"), ..digest(address(2), false) }, 7);
    peers.record_digest(&Digest { capacity: Some(100), ..digest(address(3), false) }, 7);
    peers.record_digest(&Digest { capacity: None, ..digest(address(4), false) }, 7);
    assert_eq!(peers.capable_in_zone(zone, 300).collect::<Vec<_>>(), vec![(address(1), 7)]);
    peers.record_digest(&Digest { stopping: true, ..digest(address(1), false) }, 9);
    assert_eq!(peers.capable_in_zone(zone, 300).count(), 0);
}

#[test]
fn serving_peers_have_a_configuration_and_are_not_stopping() {
    let mut peers = PeerTable::new(OWN, []);
    peers.record_digest(&digest(address(1), false), 7);
    peers.record_digest(&Digest { configuration: None, ..digest(address(2), false) }, 7);
    peers.record_digest(&Digest { stopping: true, ..digest(address(3), false) }, 7);
    let serving: Vec<_> = peers.serving().map(|peer| (peer.address, peer.last_seen_at)).collect();
    assert_eq!(serving, vec![(address(1), 7)]);
}

#[test]
fn advertised_balancers_are_known_but_not_advertised_further() {
    let mut peers = PeerTable::new(OWN, []);
    let advertising = Digest { balancers: vec![address(9).to_bits()], ..digest(address(1), false) };
    peers.record_digest(&advertising, 0);
    assert_eq!(peers.balancers().collect::<Vec<_>>(), vec![address(1), address(9)]);
    // An advertised balancer is not advertised further until a digest from it has arrived.
    assert_eq!(peers.balancers_to_advertise(0.0), vec![address(1).to_bits()]);
}

#[test]
fn all_balancers_of_a_large_fleet_are_advertised() {
    const BALANCERS: u32 = 2_000;
    let mut peers = PeerTable::new(OWN, []);
    for number in 0..BALANCERS {
        let sender = Ipv4Addr::from_bits(address(0).to_bits() + 256 + number);
        peers.record_digest(&digest(sender, false), 0);
    }
    let fractions = (0..BALANCERS).map(|step| f64::from(step) / f64::from(BALANCERS));
    let advertised = fractions.flat_map(|fraction| peers.balancers_to_advertise(fraction));
    let advertised: BTreeSet<u32> = advertised.collect();
    assert_eq!(advertised.len(), BALANCERS as usize);
}

#[test]
fn rank_counts_only_lower_balancers() {
    let mut peers = PeerTable::new(OWN, []);
    peers.record_digest(&digest(address(1), true), 0);
    peers.record_digest(&digest(address(9), true), 0);
    peers.record_digest(&Digest { role: PeerRole::Agent, ..digest(address(2), false) }, 0);
    assert_eq!(peers.rank(), 1);
    assert!(peers.has_lower_reader(100, 1_000));
    assert!(!peers.has_lower_reader(1_100, 1_000));
}

#[test]
fn reader_with_higher_address_is_ignored() {
    let mut peers = PeerTable::new(OWN, []);
    peers.record_digest(&digest(address(9), true), 0);
    assert!(!peers.has_lower_reader(10, 1_000));
}

fn should_read(inputs: &ReaderInputs, timing: &Timing) -> bool {
    read_reason(inputs, timing).is_some()
}

#[test]
fn fresh_state_is_not_read_again() {
    assert!(!should_read(&inputs(), &Timing::default()));
}

#[test]
fn reader_continues_until_a_lower_one_reads() {
    assert!(should_read(&ReaderInputs { reading: true, ..inputs() }, &Timing::default()));
    assert!(!should_read(
        &ReaderInputs { reading: true, has_lower_reader: true, ..inputs() },
        &Timing::default()
    ));
    assert!(!should_read(
        &ReaderInputs { reading: true, yields: true, ..inputs() },
        &Timing::default()
    ));
}

/// A verification read of another balancer brings newer state only once.
#[test]
fn concurrent_reader_is_noticed_at_its_second_read() {
    let mut reads = ConcurrentReads::default();
    let mut notice = |received: bool| {
        if received {
            reads.note_newer_state();
        }
        reads.is_repeated()
    };
    let noticed = [true, false, true, true, true, false].map(&mut notice);
    assert_eq!(noticed, [false, false, false, true, true, false]);
}

/// The lowest balancer never gives way, the highest one nearly always does.
#[test]
fn readers_give_way_according_to_rank() {
    let yielding = |rank| {
        let fractions = (0..1_000).map(|step| f64::from(step) / 1_000.0);
        fractions.filter(|fraction| yields(rank, *fraction)).count()
    };
    assert_eq!([0, 1, 3, 9].map(yielding), [0, 500, 750, 900]);
}

#[test]
fn old_state_is_read_in_order_of_rank_within_two_seconds() {
    let reads_at = |age_ms, rank| {
        should_read(&ReaderInputs { age_ms: Some(age_ms), rank, ..inputs() }, &Timing::default())
    };
    assert!(reads_at(1_400, 0));
    assert!(!reads_at(1_400, 1));
    assert!(reads_at(1_500, 1));
    assert!(reads_at(1_900, 500), "the last of many balancers also reads in time");
}

#[test]
fn balancer_without_state_reads_soon_even_if_others_read() {
    let without_state = |uptime_ms| ReaderInputs {
        uptime_ms,
        age_ms: None,
        rank: 3,
        has_lower_reader: true,
        ..inputs()
    };
    assert!(!should_read(&without_state(0), &Timing::default()));
    assert!(should_read(&without_state(50), &Timing::default()));
}

/// A balancer that takes over when the store lost its history has to list it before the balancers
/// after it begin to read as well, and the reader at once.
#[test]
fn lowest_balancers_list_the_store_first() {
    let timing = Timing::default();
    assert_eq!(listing_delay(ReadReason::Reading, 299), 0);
    let delays = [0, 1, 4].map(|rank| listing_delay(ReadReason::Stale, rank));
    assert!(delays.iter().all(|delay| *delay < timing.rank_delay_ms / 10), "{delays:?}");
    assert!(listing_delay(ReadReason::Stale, 299) > 500, "the others hear of it before");
}

/// When all balancers start, each lists the store, and the first to confirm that its listing is
/// current do so on behalf of the others.
#[test]
fn first_confirmations_of_a_fleet_are_spread() {
    let unconfirmed = |uptime_ms, confirmation_delay_ms| ReaderInputs {
        uptime_ms,
        age_ms: None,
        confirmation_delay_ms,
        ..inputs()
    };
    let delays = (0..300).map(|step| confirmation_delay(300, f64::from(step) / 300.0));
    let timing = Timing::default();
    let within = |uptime_ms| {
        delays.clone().filter(|delay| should_read(&unconfirmed(uptime_ms, *delay), &timing)).count()
    };
    assert!(within(15) > 0, "one soon");
    assert!(within(100) < 60, "few before the others hear of it");
    assert_eq!(within(700), 300, "all if nobody is heard of");
    assert!(confirmation_delay(3, 0.99) < 10, "a small fleet does not wait");
}

/// First byte of the datagrams of this protocol version.
const PROTOCOL_VERSION: u8 = 7;

#[test]
fn foreign_datagrams_are_rejected() {
    assert_eq!(decode::<PeerMessage<'_>>(&[]), Err(MessageError::UnknownVersion));
    assert_eq!(decode::<PeerMessage<'_>>(&[200, 1, 2]), Err(MessageError::UnknownVersion));
    assert_eq!(
        decode::<PeerMessage<'_>>(&[PROTOCOL_VERSION, 255, 255, 255]),
        Err(MessageError::Malformed)
    );
}

proptest! {
    #[test]
    fn forwarded_packets_survive_encoding(
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
        // The encoding adds a few bytes to a datagram of 1,234 bytes, not a second header.
        prop_assert!(buffer.len() <= packet.len() + 40 + path_length);
    }

    #[test]
    fn decoding_arbitrary_bytes_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = vec![1];
        framed.extend(&bytes);
        let _ = decode::<PeerMessage<'_>>(&framed);
        let _ = decode::<weirhinge_fleet::Update>(&framed);
    }
}

#[test]
fn digest_is_requested_long_before_a_peer_expires() {
    let mut peers = PeerTable::new(OWN, []);
    assert!(peers.needs_digest_request(address(1), 0));
    peers.record_digest(&digest(address(1), false), 0);
    assert!(!peers.needs_digest_request(address(1), 1_900));
    assert!(peers.needs_digest_request(address(1), 2_000));
    peers.expire(2_500);
    assert_eq!(peers.balancers().count(), 1);
}

proptest! {
    /// For any bounds and any number of balancers, a reader that fails right after a confirmation
    /// is replaced, and the change is known, with time to spare.
    #[test]
    fn last_balancer_reads_within_the_bounds(
        change_ms in 500..60_000u64,
        drain_ms in 500..60_000u64,
        renewal_ms in 100..10_000u64,
        rank in 0..5_000usize,
    ) {
        let timing = Timing::new(&Bounds { change_ms, drain_ms, renewal_ms, ..Bounds::default() });
        let age_ms = Some(change_ms.min(drain_ms) * 7 / 10);
        let failed = ReaderInputs { age_ms, rank, ..inputs() };
        prop_assert!(should_read(&failed, &timing));
        // A working reader, whose watch confirms once per wait, is not joined by a second one.
        let age_ms = Some(timing.watch_wait_ms + timing.watch_wait_ms / 4);
        let working = ReaderInputs { age_ms, rank, ..inputs() };
        prop_assert!(!should_read(&working, &timing));
        prop_assert!(timing.renewal_grace_ms < drain_ms && timing.vanished_grace_ms < drain_ms);
    }
}

#[test]
fn only_recently_seen_serving_peers_report_overload() {
    let mut table = PeerTable::new(address(9), []);
    let overloaded = |peer, overloaded| Digest { overloaded, ..digest(address(peer), false) };
    table.record_digest(&overloaded(1, true), 100);
    table.record_digest(&overloaded(2, false), 1_000);
    table.record_digest(&overloaded(3, true), 1_000);
    table.record_digest(&Digest { stopping: true, ..digest(address(4), false) }, 1_000);
    table.record_digest(&Digest { configuration: None, ..digest(address(5), false) }, 1_000);
    let recently_seen = table.serving().filter(|peer| peer.was_seen_within(700, 1_200));
    let reports: Vec<_> = recently_seen.map(|peer| (peer.address, peer.overloaded)).collect();
    assert_eq!(reports, [(address(2), false), (address(3), true)]);
}

/// Without verification reads, a fleet that wrongly considered old state fresh did not read the
/// store for 15 seconds.
#[test]
fn one_verification_read_in_ten_seconds_for_any_fleet_size() {
    for balancers in [4_usize, 91, 1_000] {
        let mut schedules = vec![VerificationSchedule::default(); balancers];
        let (mut reads, mut random) = (0, 1_u64);
        let end = 600_000;
        for now in (0..end).step_by(1_000) {
            for schedule in &mut schedules {
                // A linear congruential generator (Knuth's MMIX).
                random = random
                    .wrapping_mul(6_364_136_223_846_793_005)
                    .wrapping_add(1_442_695_040_888_963_407);
                let fraction = (random >> 11) as f64 / (1_u64 << 53) as f64;
                reads += u32::from(schedule.is_due(now, balancers, fraction));
            }
        }
        assert!(
            (30..120).contains(&reads),
            "{reads} verification reads of {balancers} balancers in ten minutes"
        );
    }
}

#[test]
fn due_verification_read_happens_despite_fresh_state() {
    let fresh = ReaderInputs { age_ms: Some(100), has_lower_reader: true, ..inputs() };
    assert!(!should_read(&fresh, &Timing::default()));
    let due = ReaderInputs { verification_due: true, ..fresh };
    let reason = read_reason(&due, &Timing::default());
    assert_eq!(reason, Some(ReadReason::Verification));
    assert!(!ReadReason::Verification.makes_reader(), "there is another reader");
}

#[test]
fn first_retries_of_the_lowest_balancers_follow_soon() {
    for balancers in [1, 19, 1_000] {
        let waits = [1, 2].map(|failures| retry_wait(failures, 0, balancers, 0.5));
        let expected = [60, 120].map(|wait_ms| RetryWait { wait_ms, calls_store: true });
        assert_eq!(waits, expected);
    }
}

/// Returns the mean time between the calls of one of `balancers` to a store that fails, over many
/// waits with fractions spread evenly over [0, 1).
fn mean_call_interval(failures: u32, rank: usize, balancers: usize) -> f64 {
    const DRAWS: u32 = 10_000;
    let waits = (0..DRAWS)
        .map(|step| retry_wait(failures, rank, balancers, f64::from(step) / f64::from(DRAWS)));
    let (mut waited_ms, mut calls) = (0, 0);
    for wait in waits {
        waited_ms += wait.wait_ms;
        calls += u32::from(wait.calls_store);
    }
    waited_ms as f64 / f64::from(calls)
}

/// Without a wait that depends on the number of balancers, each one called a failed store about
/// once a second: 1,147 calls on one day in a fleet of 91 balancers.
#[test]
fn failed_store_is_called_about_ten_times_per_second_by_fleets_of_any_size() {
    for balancers in [1, 19, 91, 300, 1_000, 2_000] {
        let interval = mean_call_interval(5, 9, balancers);
        let calls_per_second = balancers as f64 * 1_000.0 / interval;
        assert!(
            (7.0..11.0).contains(&calls_per_second),
            "{balancers} balancers: {calls_per_second} calls per second"
        );
    }
}

/// When an outage begins, the balancers beyond the lowest ones call the store once each.
#[test]
fn other_balancers_do_not_repeat_a_failed_call_in_quick_succession() {
    let first = mean_call_interval(1, 9, 300);
    assert!(first > 25_000.0, "{first} ms");
}

/// The number of balancers is taken into account again once a second, so that a balancer that lost
/// contact with its peers calls the store soon.
#[test]
fn waits_are_short_in_fleets_of_any_size() {
    let waits = (0..1_000).map(|step| retry_wait(5, 9, 2_000, f64::from(step) / 1_000.0));
    assert!(waits.map(|wait| wait.wait_ms).max().is_some_and(|longest| longest <= 1_000));
}
