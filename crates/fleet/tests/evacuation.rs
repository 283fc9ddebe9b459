//! Evacuated zones: whole in every message, never back to an older state.

use proptest::prelude::*;
use weirhinge_fleet::{
    Change, EvacuatedZones, FetchRequest, FetchScope, Position, Replica, Update, ZoneChange,
    ZoneNews,
};

fn at(revision: u64) -> Position {
    Position::new(0, revision)
}

fn zones(as_of: u64, names: &[&str]) -> EvacuatedZones {
    EvacuatedZones::new(at(as_of), names.iter().map(|name| (*name).to_owned()))
}

fn listing(through: u64, names: &[&str]) -> Update {
    let zones = ZoneNews::Whole(zones(through, names));
    Update { through: at(through), complete: true, zones, ..Update::default() }
}

fn events(after: u64, through: u64, changes: &[(u64, &str, bool)]) -> Update {
    let changes = changes.iter().map(|(revision, zone, begins)| ZoneChange {
        zone: (*zone).to_owned(),
        position: at(*revision),
        begins: *begins,
    });
    let zones = ZoneNews::Changes(changes.collect());
    Update { after: at(after), through: at(through), zones, ..Update::default() }
}

fn evacuated(replica: &Replica) -> Vec<&str> {
    replica.evacuated().iter().collect()
}

#[test]
fn an_evacuation_begins_and_ends_with_the_stores_word() {
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
fn a_zone_that_a_listing_lacks_was_taken_back() {
    let mut replica = Replica::new();
    replica.apply(listing(10, &["a", "b"]), 0);
    replica.apply(listing(20, &["b"]), 50);
    assert_eq!(evacuated(&replica), ["b"]);
}

#[test]
fn an_older_word_brings_nothing_back() {
    let mut replica = Replica::new();
    replica.apply(listing(10, &["a"]), 0);
    replica.apply(events(10, 20, &[(18, "a", false)]), 10);
    assert!(replica.learn_evacuated(&zones(15, &["a"]), 20).is_empty());
    assert!(replica.apply(listing(12, &["a"]), 30).is_empty());
    assert_eq!(evacuated(&replica), Vec::<&str>::new());
}

/// The pages of a listing are read one after the other: what began after the first page
/// may stand on a later one, and comes once more with the changes after the first page.
#[test]
fn changes_that_a_listing_held_already_do_no_harm() {
    let mut replica = Replica::new();
    replica.apply(listing(10, &["a"]), 0);
    replica.apply(events(10, 16, &[(12, "a", true), (14, "a", false)]), 10);
    assert_eq!(evacuated(&replica), Vec::<&str>::new());
}

#[test]
fn a_daemon_without_memory_learns_everything_from_any_peer() {
    let mut balancer = Replica::new();
    balancer.apply(listing(10, &["a"]), 0);
    let mut agent = Replica::new();
    agent.learn_evacuated(balancer.evacuated(), 5);
    let everything =
        FetchRequest { after: Position::default(), configuration: None, scope: FetchScope::All };
    for source in [balancer.update_for(&everything, 10), agent.configuration_only()] {
        let mut restarted = Replica::new();
        restarted.apply(source, 20);
        assert_eq!(evacuated(&restarted), ["a"]);
    }
}

/// All balancers may restart after an evacuation ended, and know nothing of it. An agent
/// that went on must not keep its zone evacuated for ever.
#[test]
fn an_agent_hears_of_the_end_from_a_balancer_that_never_knew_the_evacuation() {
    let mut agent = Replica::new();
    agent.learn_evacuated(&zones(10, &["a"]), 0);
    let mut restarted = Replica::new();
    restarted.apply(listing(30, &[]), 0);
    assert!(restarted.evacuated().is_news_for(agent.evacuated()));
    agent.learn_evacuated(restarted.evacuated(), 900);
    assert_eq!(evacuated(&agent), Vec::<&str>::new());
}

#[test]
fn the_number_of_zones_is_bounded() {
    let names: Vec<String> = (0..1_000).map(|number| format!("zone-{number}")).collect();
    assert_eq!(EvacuatedZones::new(at(1), names).len(), 64);
}

proptest! {
    /// Whoever tells what, in whatever order: the newest state wins, and nothing older.
    #[test]
    fn replicas_agree_on_the_newest_state(
        states in proptest::collection::vec(proptest::collection::btree_set("[a-c]", 0..3), 1..8),
        order in proptest::collection::vec((any::<bool>(), any::<proptest::sample::Index>()), 0..30),
    ) {
        let as_of = |place: usize| at(10 + place as u64);
        let whole = |place: usize| EvacuatedZones::new(as_of(place), states[place].clone());
        let mut replica = Replica::new();
        let mut newest = None;
        for (digest, index) in order {
            let place = index.index(states.len());
            if digest {
                replica.learn_evacuated(&whole(place), 0);
            } else {
                replica.apply(Update { zones: ZoneNews::Whole(whole(place)), ..Update::default() }, 0);
            }
            newest = newest.max(Some(place));
            let expected = newest.map(whole).unwrap_or_default();
            prop_assert_eq!(replica.evacuated(), &expected);
        }
    }
}
