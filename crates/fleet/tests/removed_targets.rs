//! What a daemon that starts learns of the targets that were removed before.

use musli::Encode;
use weirhinge_fleet::{
    Change, FetchRequest, FetchScope, Millis, Position, Replica, TargetRecord, TargetState, Update,
    VersionedTarget, decode, encode,
};

/// The time on the clock of a peer that has run for long.
const LATER: Millis = 500_000;

fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn target(id: &str, revision: u64) -> VersionedTarget {
    let record = TargetRecord {
        service: "sheets".to_owned(),
        address: 7,
        zone: "a".to_owned(),
        slots: 5,
        state: TargetState::Ready,
        warm_up_ms: 0,
        incarnation: None,
        sequence: 1,
    };
    VersionedTarget {
        id: id.to_owned(),
        position: at(revision),
        present: true,
        record: Some(record),
    }
}

fn removal(id: &str, revision: u64) -> VersionedTarget {
    VersionedTarget { present: false, record: None, ..target(id, revision) }
}

fn listing(through: u64, targets: Vec<VersionedTarget>) -> Update {
    Update { through: at(through), complete: true, targets, ..Update::default() }
}

fn events(after: u64, through: u64, targets: Vec<VersionedTarget>) -> Update {
    Update { after: at(after), through: at(through), targets, ..Update::default() }
}

/// A replica that saw target `x` leave at revision 4, and is at revision 5.
fn peer() -> Replica {
    let mut peer = Replica::new();
    peer.apply(listing(3, vec![target("x", 2), target("y", 3)]), 0);
    peer.apply(events(3, 4, vec![removal("x", 4)]), LATER - 1_000);
    peer.apply(events(4, 5, Vec::new()), LATER - 500);
    peer
}

/// A replica of a daemon that listed the store after target `x` had left.
fn started() -> Replica {
    let mut started = Replica::new();
    started.apply(listing(5, vec![target("y", 3)]), 20);
    started
}

fn request(replica: &Replica) -> FetchRequest {
    FetchRequest {
        after: replica.position(),
        configuration: None,
        scope: FetchScope::All,
        with_removed: true,
    }
}

fn removed_ids(replica: &Replica) -> Vec<&str> {
    let removed = replica.targets().filter(|entry| !entry.target.present);
    removed.map(|entry| entry.target.id.as_str()).collect()
}

/// Guards against a daemon that lists the store and then never learns of a target that left before
/// the listing and still serves.
#[test]
fn daemon_that_listed_the_store_learns_of_earlier_removals() {
    let mut started = started();
    assert!(!started.knows_removed_targets(30) && started.needs_removed_targets(30));
    let changes = started.apply(peer().update_for(&request(&started), LATER), 40);
    assert!(matches!(&changes[..], [Change::RemovedEarlier { id }] if id == "x"));
    let entry = started.targets().find(|entry| entry.target.id == "x").expect("the removed target");
    assert!(entry.was_removed_earlier());
    assert!(entry.target.record.is_some(), "its machine is known");
    assert!(started.knows_removed_targets(40) && !started.needs_removed_targets(40));
}

#[test]
fn daemon_without_state_learns_of_earlier_removals_with_its_state() {
    let mut started = Replica::new();
    started.apply(peer().update_for(&request(&started), LATER), 40);
    assert_eq!(removed_ids(&started), ["x"]);
    assert_eq!(started.position(), at(5));
    assert!(started.knows_removed_targets(40));
}

/// The listing may already lack a target whose removal has not reached the peer.
#[test]
fn peer_behind_the_listing_does_not_complete_the_removals() {
    let mut started = Replica::new();
    started.apply(listing(9, Vec::new()), 20);
    let peer = peer();
    assert!(!started.can_learn_removals_at(peer.position()));
    started.apply(peer.update_for(&request(&started), LATER), 40);
    assert!(!started.knows_removed_targets(40) && started.needs_removed_targets(40));
}

#[test]
fn peer_that_started_a_short_time_ago_does_not_complete_the_removals() {
    let mut second = started();
    second.apply(started().update_for(&request(&second), 1_000), 40);
    assert!(!second.knows_removed_targets(40));
}

/// Agents of targets that left earlier have reported themselves by then.
#[test]
fn daemon_without_peers_relies_on_its_own_time() {
    let started = started();
    assert!(!started.knows_removed_targets(3_000));
    assert!(started.knows_removed_targets(3_020));
    assert!(started.needs_removed_targets(3_020), "a peer may know more");
    assert!(!started.needs_removed_targets(90_020), "by then all earlier ones are forgotten");
}

/// Otherwise daemons that start one after the other would keep a removed target forever.
#[test]
fn passing_a_removal_on_does_not_extend_its_lifetime() {
    let mut started = started();
    let late = LATER + 80_000;
    started.apply(peer().update_for(&request(&started), late), 40);
    assert_eq!(removed_ids(&started), ["x"]);
    let mut second = Replica::new();
    second.apply(started.update_for(&request(&second), 5_000), 10);
    second.apply(events(5, 5, Vec::new()), 3_900);
    assert_eq!(removed_ids(&second), ["x"]);
    second.apply(events(5, 5, Vec::new()), 4_100);
    assert_eq!(removed_ids(&second), Vec::<&str>::new());
}

#[test]
fn target_that_returned_is_not_removed_by_an_earlier_removal() {
    let mut started = Replica::new();
    started.apply(listing(6, vec![target("x", 6)]), 20);
    let mut peer = peer();
    let answer = peer.update_for(&request(&started), LATER);
    peer.apply(events(5, 6, vec![target("x", 6)]), LATER);
    started.apply(answer, 40);
    started.apply(peer.update_for(&request(&started), LATER), 50);
    assert_eq!(removed_ids(&started), Vec::<&str>::new());
}

#[test]
fn removals_are_sent_on_request_only() {
    let answer =
        peer().update_for(&FetchRequest { with_removed: false, ..request(&started()) }, LATER);
    assert_eq!((answer.removed, answer.removals_known_ms), (Vec::new(), None));
}

/// The request as earlier releases encode it.
#[derive(Encode)]
struct EarlierFetchRequest {
    after: Position,
    configuration: Option<u64>,
    scope: FetchScope,
}

/// Daemons of two releases work side by side while a fleet is upgraded.
#[test]
fn requests_without_removals_are_encoded_as_by_earlier_releases() {
    let request = FetchRequest { with_removed: false, ..request(&started()) };
    let FetchRequest { after, configuration, scope, .. } = request;
    let (mut earlier, mut current) = (Vec::new(), Vec::new());
    encode(&EarlierFetchRequest { after, configuration, scope }, &mut earlier).expect("encodes");
    encode(&request, &mut current).expect("encodes");
    assert_eq!(earlier, current);
    assert_eq!(decode::<FetchRequest>(&earlier), Ok(request));
}

#[test]
fn removals_survive_encoding() {
    let update = peer().update_for(&request(&started()), LATER);
    let mut buffer = Vec::new();
    encode(&update, &mut buffer).expect("encodes");
    assert_eq!(decode::<Update>(&buffer), Ok(update));
}
