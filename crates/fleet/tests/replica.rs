//! The replica is monotonic under reordered, repeated, stale and partial updates.

use proptest::prelude::*;
use weirhinge_fleet::{
    Change, Configuration, FetchRequest, FetchScope, Position, Replica, TargetRecord, TargetState,
    UNCONFIRMED_AGE_MS, Update, VersionedConfiguration, VersionedTarget,
};

fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

/// A fetch request of a peer that has no configuration.
fn after(revision: u64) -> FetchRequest {
    FetchRequest {
        after: at(revision),
        configuration: None,
        scope: FetchScope::All,
        with_removed: false,
    }
}

fn record(address: u32, state: TargetState) -> TargetRecord {
    TargetRecord {
        service: "sheets".to_owned(),
        address,
        zone: "a".to_owned(),
        slots: 5,
        state,
        warm_up_ms: 0,
        incarnation: None,
        sequence: 1,
    }
}

fn target(id: &str, revision: u64, state: Option<TargetState>) -> VersionedTarget {
    VersionedTarget {
        id: id.to_owned(),
        position: at(revision),
        present: state.is_some(),
        record: state.map(|state| record(7, state)),
    }
}

fn configuration(revision: u64, version: u64) -> VersionedConfiguration {
    let configuration = Configuration {
        version,
        routes: Vec::new(),
        idle_timeout_ms: 15_000,
        ..Configuration::default()
    };
    VersionedConfiguration { position: at(revision), configuration }
}

fn events(after: u64, through: u64, targets: Vec<VersionedTarget>) -> Update {
    Update { after: at(after), through: at(through), targets, ..Update::default() }
}

fn listing(through: u64, targets: Vec<VersionedTarget>) -> Update {
    Update { complete: true, ..events(0, through, targets) }
}

fn present(replica: &Replica) -> Vec<(String, u64)> {
    replica
        .targets()
        .filter(|entry| entry.target.present)
        .map(|entry| (entry.target.id.clone(), entry.target.position.revision))
        .collect()
}

#[test]
fn older_configuration_is_ignored() {
    let mut replica = Replica::new();
    let with = |configuration, through| Update {
        configuration: Some(configuration),
        ..events(0, through, Vec::new())
    };
    replica.apply(with(configuration(9, 31), 9), 0);
    let changes = replica.apply(with(configuration(4, 12), 4), 1);
    assert_eq!(changes, Vec::new());
    assert_eq!(replica.configuration().map(|known| known.configuration.version), Some(31));
    assert_eq!(replica.position().revision, 9);
}

#[test]
fn older_report_does_not_restore_a_removed_target() {
    let mut replica = Replica::new();
    replica.apply(listing(3, vec![target("x", 3, Some(TargetState::Ready))]), 0);
    replica.apply(events(3, 5, vec![target("x", 5, None)]), 1);
    replica.apply(events(0, 4, vec![target("x", 4, Some(TargetState::Draining))]), 2);
    assert_eq!(present(&replica), Vec::new());
}

#[test]
fn removal_keeps_the_last_record() {
    let mut replica = Replica::new();
    replica.apply(listing(3, vec![target("x", 3, Some(TargetState::Ready))]), 0);
    let changes = replica.apply(events(3, 5, vec![target("x", 5, None)]), 1);
    let record = Some(record(7, TargetState::Ready));
    assert_eq!(changes, vec![Change::Removed { id: "x".to_owned(), record }]);
}

#[test]
fn listing_removes_missing_targets_unless_newer() {
    let mut replica = Replica::new();
    let known = vec![
        target("old", 3, Some(TargetState::Ready)),
        target("new", 8, Some(TargetState::Ready)),
    ];
    replica.apply(events(0, 8, known), 0);
    replica.apply(listing(6, Vec::new()), 1);
    assert_eq!(present(&replica), vec![("new".to_owned(), 8)]);
    replica.apply(listing(9, vec![target("listed", 9, Some(TargetState::Ready))]), 1);
    assert_eq!(present(&replica), vec![("listed".to_owned(), 9)]);
}

/// Guards against new flows to a target that left: a daemon that starts may receive its peers' state
/// before an older listing of the store completes, which still shows the target.
#[test]
fn outdated_listing_does_not_restore_an_unknown_target() {
    let gone = || target("gone", 2, Some(TargetState::Ready));
    let mut started = Replica::new();
    started.apply(listing(5, vec![target("stays", 3, Some(TargetState::Ready))]), 0);
    let outdated = listing(4, vec![gone(), target("stays", 3, Some(TargetState::Ready))]);
    assert_eq!(started.apply(outdated, 1), Vec::new());
    assert_eq!(present(&started), vec![("stays".to_owned(), 3)]);
    // The same change as part of a difference.
    assert_eq!(started.apply(events(1, 2, vec![gone()]), 2), Vec::new());
    assert_eq!(started.position(), at(5));
}

/// Guards against the same when the known removal is an earlier one than the latest.
#[test]
fn outdated_listing_does_not_restore_a_target_that_left_twice() {
    let mut replica = Replica::new();
    replica.apply(listing(1, vec![target("x", 1, Some(TargetState::Ready))]), 0);
    replica.apply(events(1, 2, vec![target("x", 2, None)]), 1);
    // The listing skips the return at revision 3 and the second removal at revision 4.
    replica.apply(listing(5, Vec::new()), 2);
    replica.apply(listing(3, vec![target("x", 3, Some(TargetState::Ready))]), 3);
    assert_eq!(present(&replica), Vec::new());
}

/// Guards against the same when the answers of two peers arrive in the opposite order.
#[test]
fn answer_of_a_peer_that_is_behind_does_not_restore_an_unknown_target() {
    let mut behind = Replica::new();
    behind.apply(listing(3, vec![target("x", 2, Some(TargetState::Ready))]), 0);
    let mut ahead = Replica::new();
    ahead.apply(listing(4, Vec::new()), 0);
    let mut started = Replica::new();
    started.apply(ahead.update_for(&after(0), 10), 0);
    started.apply(behind.update_for(&after(0), 10), 1);
    assert_eq!(present(&started), Vec::new());
    // A target that returned is added at its new position.
    started.apply(events(4, 6, vec![target("x", 6, Some(TargetState::Ready))]), 2);
    assert_eq!(present(&started), vec![("x".to_owned(), 6)]);
}

#[test]
fn gap_does_not_advance_the_revision() {
    let mut replica = Replica::new();
    replica.apply(listing(3, Vec::new()), 0);
    replica.apply(events(5, 9, vec![target("x", 8, Some(TargetState::Ready))]), 1);
    assert_eq!(replica.position().revision, 3);
    // The entry itself is applied nevertheless.
    assert_eq!(present(&replica), vec![("x".to_owned(), 8)]);
}

#[test]
fn only_the_known_or_a_newer_revision_confirms() {
    let mut replica = Replica::new();
    replica.apply(listing(7, Vec::new()), 1_000);
    assert_eq!(replica.age(1_500), Some(500));
    replica.confirm(at(6), 0, 1_500);
    assert_eq!(replica.age(1_500), Some(500));
    replica.confirm(at(7), 100, 1_500);
    assert_eq!(replica.age(1_500), Some(100));
    // An older confirmation does not increase the age.
    replica.confirm(at(7), 900, 1_500);
    assert_eq!(replica.age(1_500), Some(100));
}

#[test]
fn peer_behind_gets_the_difference() {
    let mut replica = Replica::new();
    let targets =
        vec![target("x", 3, Some(TargetState::Ready)), target("y", 4, Some(TargetState::Ready))];
    replica.apply(listing(4, targets), 0);
    replica.apply(events(4, 6, vec![target("x", 6, None)]), 0);
    let update = replica.update_for(&after(4), 10);
    assert!(!update.complete);
    assert_eq!((update.after, update.through, update.age_ms), (at(4), at(6), 10));
    let ids: Vec<&str> = update.targets.iter().map(|target| target.id.as_str()).collect();
    assert_eq!(ids, vec!["x"]);
}

#[test]
fn peer_before_forgotten_removals_gets_a_complete_update() {
    let mut replica = Replica::new();
    replica.apply(listing(3, vec![target("x", 3, Some(TargetState::Ready))]), 0);
    replica.apply(events(3, 5, vec![target("x", 5, None)]), 0);
    replica.apply(events(5, 5, Vec::new()), 200_000);
    assert!(replica.update_for(&after(4), 200_000).complete);
    assert!(!replica.update_for(&after(5), 200_000).complete);
}

/// A daemon that started with a listing does not know the removals before it. If it answered with
/// differences from an earlier position, the peer would keep those targets forever.
#[test]
fn peer_before_the_first_listing_gets_a_complete_update() {
    let mut behind = Replica::new();
    behind.apply(listing(3, vec![target("x", 3, Some(TargetState::Ready))]), 0);
    let mut started = Replica::new();
    started.apply(listing(5, Vec::new()), 0);
    behind.apply(started.update_for(&after(3), 0), 0);
    assert_eq!(present(&behind), Vec::new());
}

#[test]
fn peer_in_a_gap_gets_a_complete_update() {
    let mut reader = Replica::new();
    reader.apply(listing(3, Vec::new()), 0);
    reader.apply(listing(9, Vec::new()), 0);
    assert!(
        reader.update_for(&after(5), 0).complete,
        "targets added and removed in between are unknown"
    );
    assert!(reader.update_for(&after(3), 0).complete);
    assert!(!reader.update_for(&after(9), 0).complete);
    // Peers in an earlier gap get a complete update after any number of further listings.
    for through in 10..30 {
        reader.apply(listing(2 * through, Vec::new()), 0);
    }
    assert!(reader.update_for(&after(5), 0).complete);
}

/// A difference that a peer derived from a listing may lack removals, and so is not passed on as a
/// difference.
#[test]
fn gap_is_passed_on_with_differences() {
    let mut reader = Replica::new();
    reader.apply(listing(1, Vec::new()), 0);
    let mut second = reader.clone();
    reader.apply(listing(3, Vec::new()), 0);
    second.apply(reader.update_for(&after(1), 0), 0);
    let mut third = Replica::new();
    third.apply(listing(2, vec![target("x", 2, Some(TargetState::Ready))]), 0);
    third.apply(second.update_for(&after(2), 0), 0);
    assert_eq!(present(&third), Vec::new());
}

prop_compose! {
    fn any_history()(states in prop::collection::vec(
        (0..4u8, prop_oneof![
            Just(Some(TargetState::Ready)), Just(Some(TargetState::Draining)), Just(None),
        ]), 1..20,
    )) -> Vec<VersionedTarget> {
        states
            .into_iter()
            .zip(1..)
            .map(|((id, state), revision)| target(&id.to_string(), revision, state))
            .collect()
    }
}

proptest! {
    /// The replica converges to the store's state for any order and repetition of changes.
    #[test]
    fn reordered_and_repeated_changes_converge(
        history in any_history(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..60),
    ) {
        let last = history.len() as u64;
        let mut expected = Replica::new();
        for change in &history {
            expected.apply(events(0, change.position.revision, vec![change.clone()]), 0);
        }
        let mut replica = Replica::new();
        for index in order {
            let change = index.get(&history).clone();
            replica.apply(events(change.position.revision - 1, change.position.revision, vec![change]), 0);
        }
        replica.apply(events(0, last, history.iter().rev().cloned().collect()), 0);
        prop_assert_eq!(present(&replica), present(&expected));
        prop_assert_eq!(replica.position().revision, last);
    }

    /// Listings that arrive after a newer one change nothing.
    #[test]
    fn outdated_listings_change_nothing(
        history in any_history(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..20),
    ) {
        let store_at = |through: usize| {
            let mut store = Replica::new();
            let changes = history[..=through].to_vec();
            store.apply(events(0, through as u64 + 1, changes), 0);
            store
        };
        let mut replica = Replica::new();
        let mut newest = 0;
        for index in order {
            let through = index.index(history.len());
            newest = newest.max(through);
            replica.apply(store_at(through).update_for(&after(0), 0), 0);
            prop_assert_eq!(present(&replica), present(&store_at(newest)));
        }
    }

    /// A replica that follows another one by differences ends in the same state.
    #[test]
    fn follower_converges_by_differences(history in any_history(), cut in any::<prop::sample::Index>()) {
        let cut = cut.index(history.len());
        let mut leader = Replica::new();
        let mut follower = Replica::new();
        for change in &history[..cut] {
            leader.apply(events(change.position.revision - 1, change.position.revision, vec![change.clone()]), 0);
        }
        follower.apply(leader.update_for(&after(0), 0), 0);
        for change in &history[cut..] {
            leader.apply(events(change.position.revision - 1, change.position.revision, vec![change.clone()]), 0);
        }
        follower.apply(leader.update_for(&after(follower.position().revision), 0), 0);
        prop_assert_eq!(present(&follower), present(&leader));
        prop_assert_eq!(follower.position(), leader.position());
    }
}

#[test]
fn machine_scope_covers_configuration_and_own_targets() {
    let mut replica = Replica::new();
    let mut own = target("own", 4, Some(TargetState::Ready));
    own.record = Some(record(9, TargetState::Ready));
    let targets = vec![target("other", 3, Some(TargetState::Ready)), own];
    let update = Update { configuration: Some(configuration(2, 31)), ..listing(4, targets) };
    replica.apply(update, 0);
    let own = FetchRequest { scope: FetchScope::Machine(9), ..after(0) };
    let mut agent = Replica::new();
    agent.apply(replica.update_for(&own, 0), 0);
    assert_eq!(present(&agent), vec![("own".to_owned(), 4)]);
    assert_eq!(agent.configuration().map(|known| known.configuration.version), Some(31));
}

/// An agent's update must not be mistaken for the complete state of the store.
#[test]
fn configuration_only_update_has_no_position_or_age() {
    let mut replica = Replica::new();
    let update = Update { configuration: Some(configuration(2, 31)), ..listing(4, Vec::new()) };
    replica.apply(update, 0);
    let mut restarted = Replica::new();
    restarted.apply(replica.configuration_only(), 10);
    assert_eq!(restarted.configuration().map(|known| known.configuration.version), Some(31));
    assert_eq!((restarted.position(), restarted.age(10)), (at(0), None));
}

/// A process that had run for 100 ms and learned of a confirmation 680 ms old limited its age to
/// its own uptime and reported 100 ms to its peers. With a new agent every 600 ms the whole fleet
/// considered one old revision fresh, and no balancer read the store.
#[test]
fn confirmation_from_before_the_start_keeps_its_age() {
    let mut replica = Replica::new();
    replica.apply(Update { age_ms: 680, ..listing(347, Vec::new()) }, 100);
    assert_eq!(replica.age(100), Some(680));
    assert_eq!(replica.age(400), Some(980));
    assert_eq!(replica.update_for(&after(347), 400).age_ms, 980);
    replica.confirm(at(347), 700, 400);
    assert_eq!(replica.age(400), Some(700), "a more recent confirmation wins");
}

/// A stale listing, or a peer that has one, shows what was in the store some time ago.
#[test]
fn state_without_confirmation_has_no_age() {
    let mut replica = Replica::new();
    replica.apply(Update { age_ms: UNCONFIRMED_AGE_MS, ..listing(5, Vec::new()) }, 50);
    assert_eq!((replica.position(), replica.age(60)), (at(5), None));
    assert_eq!(replica.update_for(&after(0), 60).age_ms, UNCONFIRMED_AGE_MS);
    replica.confirm(at(5), 20, 60);
    assert_eq!(replica.age(60), Some(20));
}

#[test]
fn update_ages_in_transit() {
    let update = Update { age_ms: 108, ..listing(5, Vec::new()) };
    assert_eq!(update.delayed_by(600).age_ms, 708);
    let unknown = Update { age_ms: UNCONFIRMED_AGE_MS, ..listing(5, Vec::new()) };
    assert_eq!(unknown.delayed_by(600).age_ms, UNCONFIRMED_AGE_MS);
}
