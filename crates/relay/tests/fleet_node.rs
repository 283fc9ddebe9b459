//! What a daemon reports to its peers about the store.

mod support;

use std::collections::HashMap;
use std::net::Ipv4Addr;

use slog::{Discard, Logger, o};
use support::{ready_record, settings};
use weirhinge_fleet::{
    Configuration, Digest, Millis, PeerRole, Position, ServiceId, TargetStatus, Update,
    VersionedConfiguration, VersionedTarget, ZoneChange, ZoneUpdate,
};
use weirhinge_relay::FleetNode;

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);

fn node(address: Ipv4Addr, role: PeerRole) -> FleetNode {
    let settings = settings(address, std::iter::once(BALANCER));
    FleetNode::with_seed(&settings, role, Logger::root(Discard, o!()), 1)
}

fn machine(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, number)
}

fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn target(number: u8, revision: u64) -> VersionedTarget {
    VersionedTarget {
        id: format!("target-{number}"),
        position: at(revision),
        present: true,
        record: Some(ready_record(machine(number))),
    }
}

fn update(after: u64, through: u64, targets: Vec<VersionedTarget>) -> Update {
    let (after, through) = (at(after), at(through));
    Update { after, through, complete: after.is_start(), targets, ..Update::default() }
}

/// Without the notification, agents learn the capacity of their targets only in answer to their
/// next digest: up to half a second later, and two and a half seconds after a restart.
#[test]
fn agents_are_notified_of_new_records_at_once() {
    let now: Millis = 5_000;
    let mut balancer = node(BALANCER, PeerRole::Balancer);
    balancer.apply_from_store(update(0, 3, vec![target(1, 2), target(2, 3)]), now);
    assert_eq!(balancer.take_pending_records(), [target(1, 2), target(2, 3)]);
    assert!(balancer.take_pending_records().is_empty(), "returned once");
    balancer.apply_from_store(update(3, 4, vec![target(2, 4)]), now + 100);
    let records = balancer.take_pending_records();
    assert_eq!(records, [target(2, 4)]);
    balancer.apply_from_store(update(4, 4, Vec::new()), now + 200);
    assert!(balancer.take_pending_records().is_empty());
    let mut agent = node(machine(2), PeerRole::Agent);
    agent.apply_record(records[0].clone(), now + 201);
    let known = agent.view().candidates(ServiceId::of("sheets"));
    assert_eq!(known.iter().map(|known| known.slots).collect::<Vec<_>>(), [5]);
}

fn target_status(recorded: bool) -> TargetStatus {
    let service = "sheets".to_owned();
    TargetStatus {
        service,
        alive: true,
        load: 0.into(),
        leaving: false,
        recorded,
        without_former_flows: None,
    }
}

/// If agents fetched the record of their target over a connection, 114 to 164 daemons would connect
/// to one balancer at the same time when 300 machines start.
#[test]
fn agent_without_a_record_gets_it_without_a_connection() {
    let mut balancer = node(BALANCER, PeerRole::Balancer);
    balancer.apply_from_store(update(0, 3, vec![target(1, 2), target(2, 3)]), 5_000);
    let mut agent = node(machine(2), PeerRole::Agent);
    agent.target_status = Some(target_status(false));
    let reaction = balancer.on_digest(&agent.digest(false, 100), 5_001);
    assert_eq!(reaction.record, Some(target(2, 3)));
    agent.target_status = Some(target_status(true));
    assert_eq!(balancer.on_digest(&agent.digest(false, 600), 5_501).record, None);
    assert_eq!(agent.on_digest(&balancer.digest(false, 5_502), 602).fetch_from, None);
}

#[test]
fn agents_distribute_fetches_over_known_balancers() {
    let mut seed = serving(BALANCER, 5_000);
    for number in 1..=40 {
        let other = serving(Ipv4Addr::new(10, 0, 0, 100 + number), 5_000);
        seed.on_digest(&other.digest(false, 5_000), 5_001);
    }
    let mut sources = HashMap::new();
    for number in 0..200 {
        let address = machine(number);
        let settings = settings(address, std::iter::once(BALANCER));
        let log = Logger::root(Discard, o!());
        let mut agent = FleetNode::with_seed(&settings, PeerRole::Agent, log, u64::from(number));
        let source = agent.on_digest(&seed.digest(false, 5_002), 100).fetch_from;
        *sources.entry(source.expect("a newer configuration")).or_insert(0) += 1;
    }
    let busiest = sources.values().max().copied().unwrap_or_default();
    assert!(busiest <= 40, "{busiest} of 200 agents fetch from one balancer");
}

#[test]
fn agents_are_not_notified_of_updates_from_peers() {
    let mut balancer = node(BALANCER, PeerRole::Balancer);
    balancer.apply_from_peer(update(0, 3, vec![target(1, 2)]), 5_000);
    assert!(balancer.take_pending_records().is_empty());
}

#[test]
fn notifications_after_a_large_listing_are_limited() {
    let mut balancer = node(BALANCER, PeerRole::Balancer);
    let many = (0..200).map(|number| target(number, 2)).collect();
    balancer.apply_from_store(update(0, 3, many), 5_000);
    assert!(balancer.take_pending_records().len() <= 64);
}

/// A balancer that has a configuration.
fn serving(address: Ipv4Addr, now: Millis) -> FleetNode {
    let mut balancer = node(address, PeerRole::Balancer);
    let configuration = Configuration {
        version: 1,
        routes: Vec::new(),
        idle_timeout_ms: 15_000,
        ..Configuration::default()
    };
    let configuration = Some(VersionedConfiguration { position: at(2), configuration });
    let update = Update { configuration, ..update(0, 2, Vec::new()) };
    balancer.apply_from_store(update, now);
    balancer
}

/// A slow machine whose neighbors all have its own capacity must be able to hand packets off to
/// those of them that are idle.
#[test]
fn overloaded_balancer_hands_off_to_equal_peers_that_keep_up() {
    let now: Millis = 5_000;
    let mut balancer = serving(BALANCER, now);
    let digest_of = |number, overloaded, at| {
        let mut peer = serving(machine(number), at);
        peer.overloaded = overloaded;
        peer.digest(false, at)
    };
    balancer.on_digest(&digest_of(1, false, now), now);
    balancer.on_digest(&digest_of(2, true, now), now);
    balancer.on_digest(&Digest { stopping: true, ..digest_of(3, false, now) }, now);
    balancer.on_digest(&digest_of(4, false, now - 1_000), now - 1_000);
    assert!(
        balancer.available_helpers(true, now).is_empty(),
        "not overloaded, only under short pressure"
    );
    balancer.overloaded = true;
    assert_eq!(balancer.available_helpers(true, now), [machine(1)]);
    assert!(balancer.available_helpers(false, now).is_empty(), "no longer under pressure");
}

#[test]
fn peer_load_counts_overloaded_peers() {
    let now: Millis = 5_000;
    let mut balancer = serving(BALANCER, now);
    for (number, overloaded) in [(1, false), (2, true), (3, false)] {
        let mut peer = serving(machine(number), now);
        peer.overloaded = overloaded;
        balancer.on_digest(&peer.digest(false, now), now);
    }
    let load = balancer.peer_load(now);
    assert_eq!((load.keeping_up, load.overloaded), (2, 1));
}

/// A fleet must detect that its reader is disconnected, although every 600 ms an agent starts that
/// learns from a peer and sends digests to others.
#[test]
fn starting_agents_do_not_make_old_state_fresh() {
    let mut balancer = node(BALANCER, PeerRole::Balancer);
    let confirmed_at: Millis = 20_000;
    balancer.apply_from_store(update(0, 347, vec![target(1, 2)]), confirmed_at);
    for started in 1..10_u8 {
        let uptime: Millis = 100;
        let now = confirmed_at + Millis::from(started) * 600;
        let mut agent = node(machine(started), PeerRole::Agent);
        agent.apply_from_peer(balancer.answer(agent.request(), now), uptime);
        let digest = agent.digest(false, uptime);
        balancer.on_digest(&digest, now);
        assert_eq!(balancer.age(now), Some(now - confirmed_at), "agent {started}");
    }
    assert!(
        balancer.read_reason(confirmed_at + 5_400).is_some(),
        "a balancer reads the store again"
    );
}

/// An update from the store in which the evacuation of zone `a` starts.
fn evacuation(after: u64, through: u64) -> Update {
    let change = ZoneChange { zone: "a".to_owned(), position: at(through), begins: true };
    Update { zones: ZoneUpdate::Changes(vec![change]), ..update(after, through, Vec::new()) }
}

#[test]
fn evacuation_is_propagated_by_digests_at_once() {
    let now: Millis = 5_000;
    let mut reader = serving(BALANCER, now);
    reader.apply_from_store(evacuation(2, 7), now);
    let mut other = serving(machine(9), now);
    let reaction = other.on_digest(&reader.digest(false, now), now + 1);
    assert!(other.view().evacuated_zone_count() == 1 && reaction.propagate);
    let again = other.on_digest(&reader.digest(false, now), now + 2);
    assert!(!again.propagate, "propagated once");
    // An agent of the zone gets a reply and then knows of the evacuation.
    let mut agent = node(machine(2), PeerRole::Agent);
    agent.apply_from_peer(other.answer(agent.request(), now), 100);
    let unaware = node(machine(3), PeerRole::Agent);
    let mut unaware_digest = unaware.digest(false, 100);
    unaware_digest.configuration = Some(1);
    assert!(other.on_digest(&unaware_digest, now + 3).reply);
    assert!(agent.is_evacuated());
    // A restarted balancer learns of it from that agent.
    let mut restarted = node(machine(8), PeerRole::Balancer);
    restarted.on_digest(&agent.digest(false, 200), 50);
    assert_eq!(restarted.view().evacuated_zone_count(), 1);
}

/// Guards against a balancer that lists the store itself and then asks no peer for the targets that
/// left before.
#[test]
fn balancer_that_listed_the_store_fetches_removed_targets_from_a_peer() {
    let now: Millis = 50_000;
    let mut peer = node(BALANCER, PeerRole::Balancer);
    peer.apply_from_store(update(0, 3, vec![target(1, 2), target(2, 3)]), 5_000);
    let removal = VersionedTarget { present: false, record: None, ..target(1, 4) };
    peer.apply_from_store(update(3, 4, vec![removal]), now);
    let mut started = node(machine(9), PeerRole::Balancer);
    started.apply_from_store(update(0, 4, vec![target(2, 3)]), 15);
    assert!(!started.knows_removed_targets(20));
    let request = started.digest(true, 20);
    let position = peer.on_digest(&request, now + 5).removed_targets_known;
    started.note_removed_targets_source(BALANCER, position.expect("the peer ran for long"));
    assert_eq!(started.take_removed_targets_source(25), Some((BALANCER, at(4))));
    assert_eq!(started.take_removed_targets_source(25), None, "used once");
    started.apply_from_peer(peer.answer(started.removed_targets_request(), now + 10), 30);
    assert!(started.knows_removed_targets(30));
    assert!(started.view().target_of_agent(machine(1)).is_some(), "flows are searched there");
    started.note_removed_targets_source(BALANCER, at(4));
    assert_eq!(started.take_removed_targets_source(35), None, "fetched once");
}

/// Each digest between balancers that have run for long would otherwise be followed by a message.
#[test]
fn removed_targets_are_announced_only_with_a_requested_digest() {
    let mut peer = serving(BALANCER, 5_000);
    let other = serving(machine(9), 5_000);
    let announced = |peer: &mut FleetNode, reply, now| {
        peer.on_digest(&other.digest(reply, now), now).removed_targets_known.is_some()
    };
    assert!(!announced(&mut peer, true, 6_000), "it has not run for long itself");
    assert!(!announced(&mut peer, false, 9_000));
    assert!(announced(&mut peer, true, 9_000));
}
