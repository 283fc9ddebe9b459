//! Evacuated zones: the set is complete in every message and never reverts to an older state.

use proptest::prelude::*;
use weirhinge_fleet::{
    Change, EvacuatedZones, FetchRequest, FetchScope, Position, Replica, Update, ZoneChange,
    ZoneUpdate,
};

fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn zones(as_of: u64, names: &[&str]) -> EvacuatedZones {
    EvacuatedZones::new(at(as_of), names.iter().map(|name| (*name).to_owned()))
}

fn listing(through: u64, names: &[&str]) -> Update {
    let zones = ZoneUpdate::Whole(zones(through, names));
    Update { through: at(through), complete: true, zones, ..Update::default() }
}

fn events(after: u64, through: u64, changes: &[(u64, &str, bool)]) -> Update {
    let changes = changes.iter().map(|(revision, zone, begins)| ZoneChange {
        zone: (*zone).to_owned(),
        position: at(*revision),
        begins: *begins,
    });
    let zones = ZoneUpdate::Changes(changes.collect());
    Update { after: at(after), through: at(through), zones, ..Update::default() }
}

fn evacuated(replica: &Replica) -> Vec<&str> {
    replica.evacuated().iter().collect()
}

#[test]
fn store_changes_start_and_end_an_evacuation() {
    let mut replica = Replica::new();
    replica.apply(listing(10, &[]), 0);
    let changes = replica.apply(events(10, 12, &[(11, "a", true)]), 100);
    assert_eq!(changes, [Change::ZoneEvacuated { zone: "a".to_owned() }]);
    assert_eq!(evacuated(&replica), ["a"]);
    let changes = replica.apply(events(12, 15, &[(14, "a", false)]), 4_200);
    assert_eq!(changes, [Change::ZoneReturned { zone: "a".to_owned() }]);
    assert_eq!((evacuated(&replica), replica.returned_at("a")), (vec![], Some(4_200)));
}

#[test]
fn listing_without_a_zone_ends_its_evacuation() {
    let mut replica = Replica::new();
    replica.apply(listing(10, &["a", "b"]), 0);
    replica.apply(listing(20, &["b"]), 50);
    assert_eq!(evacuated(&replica), ["b"]);
}

#[test]
fn older_update_does_not_restore_an_evacuation() {
    let mut replica = Replica::new();
    replica.apply(listing(10, &["a"]), 0);
    replica.apply(events(10, 20, &[(18, "a", false)]), 10);
    assert!(replica.learn_evacuated(&zones(15, &["a"]), 20).is_empty());
    assert!(replica.apply(listing(12, &["a"]), 30).is_empty());
    assert_eq!(evacuated(&replica), Vec::<&str>::new());
}

/// The pages of a listing are read one after the other: an evacuation that began after the first
/// page was read may be on a later page, and is then repeated among the changes after the first
/// page.
#[test]
fn changes_already_in_the_listing_are_ignored() {
    let mut replica = Replica::new();
    replica.apply(listing(10, &["a"]), 0);
    replica.apply(events(10, 16, &[(12, "a", true), (14, "a", false)]), 10);
    assert_eq!(evacuated(&replica), Vec::<&str>::new());
}

#[test]
fn restarted_daemon_learns_evacuations_from_any_peer() {
    let mut balancer = Replica::new();
    balancer.apply(listing(10, &["a"]), 0);
    let mut agent = Replica::new();
    agent.learn_evacuated(balancer.evacuated(), 5);
    let everything = FetchRequest {
        after: Position::default(),
        configuration: None,
        scope: FetchScope::All,
        with_removed: false,
    };
    for source in [balancer.update_for(&everything, 10), agent.configuration_only()] {
        let mut restarted = Replica::new();
        restarted.apply(source, 20);
        assert_eq!(evacuated(&restarted), ["a"]);
    }
}

/// All balancers may restart after an evacuation ended and then know nothing of it. An agent that
/// kept running must not consider its zone evacuated forever.
#[test]
fn agent_learns_of_the_end_from_a_balancer_without_the_evacuation() {
    let mut agent = Replica::new();
    agent.learn_evacuated(&zones(10, &["a"]), 0);
    let mut restarted = Replica::new();
    restarted.apply(listing(30, &[]), 0);
    assert!(restarted.evacuated().has_updates_for(agent.evacuated()));
    agent.learn_evacuated(restarted.evacuated(), 900);
    assert_eq!(evacuated(&agent), Vec::<&str>::new());
}

#[test]
fn number_of_zones_is_bounded() {
    let names: Vec<String> = (0..1_000).map(|number| format!("zone-{number}")).collect();
    assert_eq!(EvacuatedZones::new(at(1), names).len(), 64);
}

proptest! {
    /// The newest state wins, for any sources and any order of messages.
    #[test]
    fn newest_state_wins(
        states in proptest::collection::vec(proptest::collection::btree_set("[a-c]", 0..3), 1..8),
        order in proptest::collection::vec((any::<bool>(), any::<proptest::sample::Index>()), 0..30),
    ) {
        let as_of = |index: usize| at(10 + index as u64);
        let complete = |index: usize| EvacuatedZones::new(as_of(index), states[index].clone());
        let mut replica = Replica::new();
        let mut newest = None;
        for (is_digest, index) in order {
            let state_index = index.index(states.len());
            if is_digest {
                replica.learn_evacuated(&complete(state_index), 0);
            } else {
                replica.apply(Update { zones: ZoneUpdate::Whole(complete(state_index)), ..Update::default() }, 0);
            }
            newest = newest.max(Some(state_index));
            let expected = newest.map(complete).unwrap_or_default();
            prop_assert_eq!(replica.evacuated(), &expected);
        }
    }
}
