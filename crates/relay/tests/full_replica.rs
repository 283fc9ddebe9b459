//! Full replicas of the store's contents at agents.

mod support;

use std::net::Ipv4Addr;

use slog::{Discard, Logger, o};
use support::{ready_record, settings};
use weirhinge_fleet::{
    Configuration, FULL_REPLICAS, Millis, PeerRole, Position, TargetRecord, TargetState, Update,
    VersionedConfiguration, VersionedTarget,
};
use weirhinge_relay::FleetNode;

const BALANCER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
/// The time on all clocks when a test begins.
const START: Millis = 5_000;

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

fn target(number: u8, revision: u64, state: TargetState) -> VersionedTarget {
    VersionedTarget {
        id: format!("target-{number}"),
        position: at(revision),
        present: true,
        record: Some(TargetRecord { state, ..ready_record(machine(number)) }),
    }
}

fn ready_targets(count: u8) -> Vec<VersionedTarget> {
    (0..count).map(|number| target(number, 2, TargetState::Ready)).collect()
}

fn update(after: u64, through: u64, targets: Vec<VersionedTarget>) -> Update {
    let configuration = Configuration { version: through, ..Configuration::default() };
    let configuration = Some(VersionedConfiguration { position: at(through), configuration });
    let (after, through) = (at(after), at(through));
    Update {
        after,
        through,
        complete: after.is_start(),
        configuration,
        targets,
        ..Update::default()
    }
}

/// A balancer that knows `count` targets.
fn balancer_with_targets(count: u8) -> FleetNode {
    let mut balancer = node(BALANCER, PeerRole::Balancer);
    balancer.apply_from_store(update(0, 3, ready_targets(count)), START);
    balancer
}

fn requests_replica(balancer: &mut FleetNode, number: u8) -> bool {
    let agent = node(machine(number), PeerRole::Agent);
    balancer.on_digest(&agent.digest(false, START), START).requests_replica
}

/// Sends the balancer's request to an agent, which fetches what it lacks.
fn replicate(balancer: &FleetNode, agent: &mut FleetNode, now: Millis) {
    if agent.on_replica_request(balancer.position(), balancer.age(now), now) {
        let request = agent.full_replica_request().expect("a replica");
        agent.apply_to_full_replica(balancer.answer(request, now), now);
    }
}

/// An agent that holds a full replica of the balancer's state.
fn holder(balancer: &FleetNode, number: u8) -> FleetNode {
    let mut agent = node(machine(number), PeerRole::Agent);
    replicate(balancer, &mut agent, START);
    agent
}

#[test]
fn number_of_full_replicas_does_not_grow_with_the_fleet() {
    let mut balancer = balancer_with_targets(250);
    let requested = (0..250).filter(|number| requests_replica(&mut balancer, *number)).count();
    assert_eq!(requested, FULL_REPLICAS);
    let mut small = balancer_with_targets(5);
    assert!((0..5).all(|number| requests_replica(&mut small, number)));
    assert!(!requests_replica(&mut small, 9), "an agent without a recorded target");
}

#[test]
fn draining_target_is_replaced_as_a_holder() {
    let mut balancer = balancer_with_targets(250);
    let selected = |balancer: &mut FleetNode| -> Vec<u8> {
        (0..250).filter(|number| requests_replica(balancer, *number)).collect()
    };
    let before = selected(&mut balancer);
    let drained = target(before[0], 4, TargetState::Draining);
    balancer.apply_from_store(update(3, 4, vec![drained]), START);
    let after = selected(&mut balancer);
    assert!(!after.contains(&before[0]));
    assert_eq!(after.len(), FULL_REPLICAS);
    assert_eq!(after.iter().filter(|number| before.contains(number)).count(), FULL_REPLICAS - 1);
}

#[test]
fn balancer_without_state_recovers_all_targets_from_an_agent() {
    let balancer = balancer_with_targets(40);
    let agent = holder(&balancer, 3);
    let position = agent.replica_position().expect("a replica");
    let mut started = node(BALANCER, PeerRole::Balancer);
    assert!(started.needs_replica(position));
    let now = START + 4_000;
    started.apply_from_peer(agent.answer(started.request(), now), 50);
    assert_eq!(started.view().target_count(), 40);
    assert_eq!(started.position(), balancer.position());
    // The state is as old as the last confirmation by the store.
    assert_eq!(started.age(50), Some(4_000));
    assert!(!started.is_fresh(50));
    assert!(!started.needs_replica(position));
}

#[test]
fn replica_follows_changes() {
    let mut balancer = balancer_with_targets(40);
    let mut agent = holder(&balancer, 3);
    let changes = vec![
        target(7, 4, TargetState::Draining),
        VersionedTarget { present: false, record: None, ..target(8, 5, TargetState::Ready) },
    ];
    balancer.apply_from_store(update(3, 5, changes), START + 100);
    replicate(&balancer, &mut agent, START + 200);
    let mut started = node(BALANCER, PeerRole::Balancer);
    started.apply_from_peer(agent.answer(started.request(), START + 300), 50);
    assert_eq!(started.view().target_count(), 39, "without the removed target");
    assert_eq!(started.position(), at(5));
}

/// The configuration reaches agents by digests as well, and possibly earlier.
#[test]
fn answer_contains_the_newest_configuration_of_the_agent() {
    let balancer = balancer_with_targets(40);
    let mut agent = holder(&balancer, 3);
    agent.apply_from_peer(update(3, 9, Vec::new()), START + 100);
    let answer = agent.answer(node(BALANCER, PeerRole::Balancer).request(), START + 200);
    let version = answer.configuration.map(|known| known.configuration.version);
    assert_eq!((version, answer.through), (Some(9), at(3)));
}

#[test]
fn agent_without_a_replica_answers_with_the_configuration_only() {
    let mut agent = node(machine(3), PeerRole::Agent);
    agent.apply_from_peer(update(0, 3, ready_targets(1)), START);
    let answer = agent.answer(node(BALANCER, PeerRole::Balancer).request(), START);
    assert!(answer.configuration.is_some() && answer.targets.is_empty() && !answer.complete);
    assert!(agent.replica_position().is_none());
}

#[test]
fn replica_is_kept_without_balancers_and_discarded_if_no_longer_requested() {
    let mut balancer = balancer_with_targets(40);
    let mut agent = holder(&balancer, 3);
    let much_later = START + 3_600_000;
    agent.check_freshness(much_later);
    agent.on_digest(&node(BALANCER, PeerRole::Balancer).digest(false, 10), much_later);
    assert!(agent.replica_position().is_some(), "a balancer without state does not replace it");
    balancer.apply_from_store(update(3, 4, Vec::new()), START + 10_000);
    agent.on_digest(&balancer.digest(false, START + 10_000), START + 10_000);
    assert!(agent.replica_position().is_some(), "requested a short time ago");
    agent.on_digest(&balancer.digest(false, much_later), much_later);
    assert!(agent.replica_position().is_none());
}
