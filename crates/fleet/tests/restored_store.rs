//! A store that comes back from a copy some seconds old: what is believed of it, and of
//! peers that know it or don't.

use weirhinge_fleet::{
    Change, Configuration, EvacuatedZones, FetchRequest, FetchScope, Position, Replica,
    TargetRecord, TargetState, Update, VersionedConfiguration, VersionedTarget, ZoneNews,
};

/// How long the word of a new era is not taken against what was known.
const HOLD_MS: u64 = 2_500;
/// Era of the store before and after it came back.
const OLD: u64 = 4;
const NEW: u64 = 5;

/// One target, and the life and write of it that a claim is about.
fn record(incarnation: u64, sequence: u64, state: TargetState) -> TargetRecord {
    TargetRecord {
        service: "sheets".to_owned(),
        address: 7,
        zone: "a".to_owned(),
        slots: 5,
        state,
        warm_up_ms: 0,
        incarnation: Some(incarnation),
        sequence,
    }
}

fn claim(position: (u64, u64), record: TargetRecord) -> VersionedTarget {
    let position = Position::new(position.0, position.1);
    VersionedTarget { id: "x".to_owned(), position, present: true, record: Some(record) }
}

fn removal(position: (u64, u64)) -> VersionedTarget {
    let position = Position::new(position.0, position.1);
    VersionedTarget { id: "x".to_owned(), position, present: false, record: None }
}

fn events(era: u64, after: u64, through: u64, targets: Vec<VersionedTarget>) -> Update {
    let (after, through) = (Position::new(era, after), Position::new(era, through));
    Update { after, through, targets, ..Update::default() }
}

fn listing(era: u64, through: u64, targets: Vec<VersionedTarget>) -> Update {
    let through = Position::new(era, through);
    let zones = ZoneNews::Whole(EvacuatedZones::new(through, []));
    Update { complete: true, through, targets, zones, ..Update::default() }
}

fn with_version(version: u64, update: Update) -> Update {
    let configuration =
        Configuration { version, idle_timeout_ms: 15_000, ..Configuration::default() };
    let versioned = VersionedConfiguration { position: update.through, configuration };
    Update { configuration: Some(versioned), ..update }
}

fn with_zones(names: &[&str], update: Update) -> Update {
    let names = names.iter().map(|name| (*name).to_owned());
    Update { zones: ZoneNews::Whole(EvacuatedZones::new(update.through, names)), ..update }
}

/// A daemon that knows one claim about the target.
fn knowing(target: VersionedTarget) -> Replica {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(listing(OLD, 60, vec![target]), 0);
    replica
}

/// The store's position is confirmed when the hold is over, some time after 500 ms.
fn end_hold(replica: &mut Replica) -> Vec<Change> {
    let now = 500 + HOLD_MS;
    replica.confirm(replica.position(), 0, now);
    replica.settle(now)
}

/// State of the target, if the daemon believes that the store has its record.
fn state(replica: &Replica) -> Option<TargetState> {
    let entry = replica.targets().next().filter(|entry| entry.target.present)?;
    entry.target.record.as_ref().map(|record| record.state)
}

fn incarnation(replica: &Replica) -> Option<u64> {
    replica.targets().next()?.target.record.as_ref()?.incarnation
}

fn everything(replica: &Replica) -> FetchRequest {
    let (after, configuration) = (replica.position(), replica.version());
    FetchRequest { after, configuration, scope: FetchScope::All }
}

#[test]
fn a_version_in_force_stays_and_the_next_one_follows_at_a_lower_revision() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_version(22, listing(OLD, 19, Vec::new())), 0);
    replica.apply(with_version(18, listing(NEW, 12, Vec::new())), 1_000);
    assert_eq!(replica.version(), Some(22), "the copy's is older");
    assert_eq!(replica.position(), Position::new(NEW, 12));
    replica.apply(with_version(24, events(NEW, 12, 13, Vec::new())), 1_100);
    assert_eq!((replica.version(), replica.age(1_100)), (Some(24), Some(0)));
}

#[test]
fn confirmations_of_the_earlier_era_confirm_nothing_of_the_new_one() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(listing(OLD, 60, Vec::new()), 1_000);
    replica.apply(Update { age_ms: 700, ..listing(NEW, 30, Vec::new()) }, 1_000);
    assert_eq!(replica.age(1_000), Some(700));
}

#[test]
fn a_target_that_drains_is_not_ready_again_by_the_copy() {
    let mut replica = knowing(claim((OLD, 55), record(1, 9, TargetState::Draining)));
    let copy = claim((NEW, 20), record(1, 3, TargetState::Ready));
    let changes = replica.apply(listing(NEW, 30, vec![copy]), 500);
    assert_eq!((state(&replica), changes), (Some(TargetState::Draining), Vec::new()));
    // It still is when the hold is over, and when another daemon tells of the copy alone.
    end_hold(&mut replica);
    assert_eq!(state(&replica), Some(TargetState::Draining));
}

#[test]
fn a_draining_target_is_known_to_one_that_read_the_copy_alone() {
    let mut started = Replica::with_hold(HOLD_MS);
    let copy = claim((NEW, 20), record(1, 3, TargetState::Ready));
    started.apply(listing(NEW, 30, vec![copy]), 0);
    let mut other = knowing(claim((OLD, 55), record(1, 9, TargetState::Draining)));
    other.apply(started.update_for(&everything(&other), 10), 10);
    let told = Update {
        targets: other.targets().map(|entry| entry.target.clone()).collect(),
        ..Update::default()
    };
    started.apply(told, 20);
    assert_eq!(state(&started), Some(TargetState::Draining));
}

#[test]
fn a_target_that_the_copy_lacks_stays_until_it_had_time_to_write_again() {
    let known = claim((OLD, 55), record(1, 2, TargetState::Ready));
    let mut living = knowing(known.clone());
    let mut dead = knowing(known);
    for replica in [&mut living, &mut dead] {
        let changes = replica.apply(listing(NEW, 30, Vec::new()), 500);
        assert_eq!((state(replica), changes), (Some(TargetState::Ready), Vec::new()));
        assert_eq!(replica.kept().unrenewed, 1);
    }
    let again = claim((NEW, 31), record(1, 4, TargetState::Ready));
    assert!(living.apply(events(NEW, 30, 31, vec![again]), 1_400).is_empty());
    assert!(end_hold(&mut living).is_empty());
    assert_eq!(state(&living), Some(TargetState::Ready));
    assert!(dead.settle(499 + HOLD_MS).is_empty(), "too early");
    assert!(dead.settle(500 + HOLD_MS).is_empty(), "nothing was heard since");
    assert!(matches!(end_hold(&mut dead)[..], [Change::Removed { .. }]));
}

#[test]
fn a_target_that_left_is_not_brought_back_by_the_copy_before_the_store_had_time_to_drop_it() {
    let mut replica = knowing(claim((OLD, 40), record(1, 5, TargetState::Ready)));
    replica.apply(events(OLD, 60, 61, vec![removal((OLD, 61))]), 100);
    let copy = claim((NEW, 40), record(1, 5, TargetState::Ready));
    replica.apply(listing(NEW, 50, vec![copy]), 500);
    assert_eq!((state(&replica), replica.kept().disputed), (None, 1));
    // The store drops the entry of a target that is silent ...
    let mut dropped = replica.clone();
    dropped.apply(events(NEW, 50, 52, vec![removal((NEW, 52))]), 1_000);
    end_hold(&mut dropped);
    assert_eq!(state(&dropped), None);
    // ... a living one writes again ...
    let mut renewed = replica.clone();
    let again = claim((NEW, 53), record(1, 6, TargetState::Ready));
    renewed.apply(events(NEW, 50, 53, vec![again]), 1_000);
    assert_eq!(state(&renewed), Some(TargetState::Ready));
    // ... and one that is still listed is believed in the end.
    end_hold(&mut replica);
    assert_eq!(state(&replica), Some(TargetState::Ready));
}

#[test]
fn an_ended_incarnation_is_never_brought_back() {
    let mut replica = knowing(claim((OLD, 40), record(1, 5, TargetState::Draining)));
    let second = claim((OLD, 61), record(2, 0, TargetState::Ready));
    let changes = replica.apply(events(OLD, 60, 61, vec![second]), 100);
    assert!(matches!(changes[..], [Change::Target { restarted: true, .. }]));
    let copy = claim((NEW, 40), record(1, 5, TargetState::Draining));
    replica.apply(listing(NEW, 50, vec![copy]), 500);
    assert_eq!((incarnation(&replica), state(&replica)), (Some(2), Some(TargetState::Ready)));
    let again = claim((NEW, 51), record(2, 1, TargetState::Ready));
    replica.apply(events(NEW, 50, 51, vec![again]), 1_500);
    end_hold(&mut replica);
    assert_eq!((incarnation(&replica), state(&replica)), (Some(2), Some(TargetState::Ready)));
}

/// It learned of the second life alone and cannot know from the store that the first one
/// came before: which one lasts tells.
#[test]
fn another_incarnation_in_the_copy_is_believed_only_if_it_lasts() {
    for (known, in_copy) in [(2, 1), (1, 2)] {
        let mut replica = knowing(claim((OLD, 55), record(known, 3, TargetState::Ready)));
        let copy = claim((NEW, 40), record(in_copy, 9, TargetState::Ready));
        replica.apply(listing(NEW, 50, vec![copy]), 500);
        assert_eq!(incarnation(&replica), Some(known));
        let mut renewed = replica.clone();
        let again = claim((NEW, 51), record(known, 4, TargetState::Ready));
        renewed.apply(events(NEW, 50, 51, vec![again]), 1_500);
        end_hold(&mut renewed);
        assert_eq!(incarnation(&renewed), Some(known));
        end_hold(&mut replica);
        let belief = (incarnation(&replica), state(&replica));
        assert_eq!(belief, (Some(in_copy), Some(TargetState::Ready)));
    }
}

/// What is written after the era began is no word of the copy.
#[test]
fn an_incarnation_that_begins_in_the_new_era_is_taken_at_once() {
    let mut replica = knowing(claim((OLD, 55), record(2, 3, TargetState::Draining)));
    replica.apply(listing(NEW, 50, Vec::new()), 500);
    let third = claim((NEW, 51), record(1, 0, TargetState::Ready));
    let changes = replica.apply(events(NEW, 50, 51, vec![third]), 600);
    assert!(matches!(changes[..], [Change::Target { restarted: true, .. }]));
    assert_eq!((incarnation(&replica), state(&replica)), (Some(1), Some(TargetState::Ready)));
}

/// A daemon that takes an earlier life for a later one, as it knows no better, must not
/// refuse the later one for good.
#[test]
fn a_later_incarnation_is_taken_after_an_earlier_one_was_believed() {
    let mut replica = Replica::with_hold(HOLD_MS);
    let first = claim((NEW, 40), record(1, 9, TargetState::Ready));
    replica.apply(listing(NEW, 50, vec![first]), 0);
    let again = claim((NEW, 51), record(2, 4, TargetState::Ready));
    replica.apply(events(NEW, 50, 51, vec![again]), 700);
    assert_eq!(incarnation(&replica), Some(2));
}

#[test]
fn evacuations_of_before_count_until_the_operator_had_time_to_write_again() {
    let evacuated = |replica: &Replica| replica.evacuated().iter().collect::<Vec<_>>().join(" ");
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_zones(&["a", "b"], listing(OLD, 58, Vec::new())), 0);
    replica.apply(with_zones(&["a"], events(OLD, 58, 60, Vec::new())), 100);
    // The copy lacks the evacuation of a, and that b was taken back.
    let changes = replica.apply(with_zones(&["b"], listing(NEW, 30, Vec::new())), 500);
    assert_eq!((evacuated(&replica).as_str(), changes.len()), ("a", 0));
    assert_eq!(replica.kept().zones, 2);
    let mut rewritten = replica.clone();
    rewritten.apply(with_zones(&["a", "b"], events(NEW, 30, 31, Vec::new())), 600);
    rewritten.apply(with_zones(&["a"], events(NEW, 31, 32, Vec::new())), 610);
    end_hold(&mut rewritten);
    assert_eq!(evacuated(&rewritten), "a");
    // A take-back that is written in the new era counts at once.
    rewritten.apply(with_zones(&[], events(NEW, 32, 33, Vec::new())), 620);
    assert_eq!(evacuated(&rewritten), "");
    end_hold(&mut replica);
    assert_eq!(evacuated(&replica), "b", "the store's word counts in the end");
}

/// It may have begun after what this daemon knew and before the copy was made.
#[test]
fn an_evacuation_that_the_copy_has_counts_at_once_where_no_end_was_heard_of() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_zones(&[], listing(OLD, 60, Vec::new())), 0);
    replica.apply(with_zones(&["a"], listing(NEW, 61, Vec::new())), 500);
    assert!(replica.evacuated().contains("a"));
}

#[test]
fn a_peer_of_an_earlier_era_gets_all_and_takes_nothing_back() {
    let mut behind = knowing(claim((OLD, 55), record(1, 2, TargetState::Ready)));
    behind.apply(with_version(9, events(OLD, 60, 60, Vec::new())), 0);
    let mut ahead = Replica::with_hold(HOLD_MS);
    ahead.apply(with_version(8, listing(NEW, 30, Vec::new())), 0);
    let update = ahead.update_for(&everything(&behind), 10);
    assert!(update.complete);
    behind.apply(update, 20);
    assert_eq!((behind.position(), behind.version()), (Position::new(NEW, 30), Some(9)));
    assert_eq!(state(&behind), Some(TargetState::Ready));
    // The configuration goes the other way, though its position is of the earlier era.
    ahead.apply(behind.update_for(&everything(&ahead), 30), 30);
    assert_eq!(ahead.version(), Some(9));
}

/// One that is cut off goes on with what it knew, but no doubt lasts for ever.
#[test]
fn a_daemon_that_hears_nothing_takes_the_last_word_in_the_end() {
    let mut replica = knowing(claim((OLD, 55), record(1, 2, TargetState::Ready)));
    replica.apply(listing(NEW, 30, Vec::new()), 500);
    assert!(replica.settle(500 + 5 * HOLD_MS - 1).is_empty());
    assert!(matches!(replica.settle(500 + 5 * HOLD_MS)[..], [Change::Removed { .. }]));
    assert!(replica.settle(500 + 6 * HOLD_MS).is_empty(), "told once");
}

#[test]
fn an_era_never_goes_back() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_version(3, listing(NEW, 30, Vec::new())), 0);
    replica.apply(with_version(2, listing(OLD, 900, Vec::new())), 10);
    assert!(!replica.learn_era(OLD, 20));
    assert_eq!((replica.position(), replica.newest_era()), (Position::new(NEW, 30), NEW));
    assert_eq!(replica.version(), Some(3));
}
