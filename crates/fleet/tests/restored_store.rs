//! A store that is restored from a backup some seconds old: what a replica accepts from it and from
//! peers that have or have not seen the restore.

use weirhinge_fleet::{
    Change, Configuration, EvacuatedZones, FetchRequest, FetchScope, Position, Replica,
    TargetRecord, TargetState, Update, VersionedConfiguration, VersionedTarget, ZoneUpdate,
};

/// Hold period of a new era.
const HOLD_MS: u64 = 2_500;
/// Eras of the store before and after the restore.
const OLD_ERA: u64 = 4;
const NEW_ERA: u64 = 5;

/// A record of one target, with the incarnation and the sequence number of its write.
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

fn version_of(position: (u64, u64), record: TargetRecord) -> VersionedTarget {
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
    let zones = ZoneUpdate::Whole(EvacuatedZones::new(through, []));
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
    Update { zones: ZoneUpdate::Whole(EvacuatedZones::new(update.through, names)), ..update }
}

/// A replica that knows one version of the target.
fn replica_with(target: VersionedTarget) -> Replica {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(listing(OLD_ERA, 60, vec![target]), 0);
    replica
}

/// Confirms the store's position at the end of the hold period that began at 500 ms.
fn end_hold(replica: &mut Replica) -> Vec<Change> {
    let now = 500 + HOLD_MS;
    replica.confirm(replica.position(), 0, now);
    replica.expire_hold(now)
}

/// The state of the target, if its record counts as present in the store.
fn state(replica: &Replica) -> Option<TargetState> {
    let entry = replica.targets().next().filter(|entry| entry.target.present)?;
    entry.target.record.as_ref().map(|record| record.state)
}

fn incarnation(replica: &Replica) -> Option<u64> {
    replica.targets().next()?.target.record.as_ref()?.incarnation
}

fn fetch_all(replica: &Replica) -> FetchRequest {
    let (after, configuration) = (replica.position(), replica.version());
    FetchRequest { after, configuration, scope: FetchScope::All, with_removed: false }
}

#[test]
fn configuration_version_survives_a_restore_and_advances_at_a_lower_revision() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_version(22, listing(OLD_ERA, 19, Vec::new())), 0);
    replica.apply(with_version(18, listing(NEW_ERA, 12, Vec::new())), 1_000);
    assert_eq!(replica.version(), Some(22), "the version in the backup is older");
    assert_eq!(replica.position(), Position::new(NEW_ERA, 12));
    replica.apply(with_version(24, events(NEW_ERA, 12, 13, Vec::new())), 1_100);
    assert_eq!((replica.version(), replica.age(1_100)), (Some(24), Some(0)));
}

#[test]
fn confirmation_of_the_earlier_era_does_not_confirm_the_new_one() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(listing(OLD_ERA, 60, Vec::new()), 1_000);
    replica.apply(Update { age_ms: 700, ..listing(NEW_ERA, 30, Vec::new()) }, 1_000);
    assert_eq!(replica.age(1_000), Some(700));
}

#[test]
fn restore_does_not_make_a_draining_target_ready() {
    let mut replica = replica_with(version_of((OLD_ERA, 55), record(1, 9, TargetState::Draining)));
    let restored = version_of((NEW_ERA, 20), record(1, 3, TargetState::Ready));
    let changes = replica.apply(listing(NEW_ERA, 30, vec![restored]), 500);
    assert_eq!((state(&replica), changes), (Some(TargetState::Draining), Vec::new()));
    // It still drains after the hold period.
    end_hold(&mut replica);
    assert_eq!(state(&replica), Some(TargetState::Draining));
}

#[test]
fn reader_of_the_backup_learns_of_draining_from_a_peer() {
    let mut started = Replica::with_hold(HOLD_MS);
    let restored = version_of((NEW_ERA, 20), record(1, 3, TargetState::Ready));
    started.apply(listing(NEW_ERA, 30, vec![restored]), 0);
    let mut other = replica_with(version_of((OLD_ERA, 55), record(1, 9, TargetState::Draining)));
    other.apply(started.update_for(&fetch_all(&other), 10), 10);
    let peer_update = Update {
        targets: other.targets().map(|entry| entry.target.clone()).collect(),
        ..Update::default()
    };
    started.apply(peer_update, 20);
    assert_eq!(state(&started), Some(TargetState::Draining));
}

#[test]
fn target_missing_from_the_backup_stays_for_the_hold_period() {
    let known = version_of((OLD_ERA, 55), record(1, 2, TargetState::Ready));
    let mut renewed = replica_with(known.clone());
    let mut unrenewed = replica_with(known);
    for replica in [&mut renewed, &mut unrenewed] {
        let changes = replica.apply(listing(NEW_ERA, 30, Vec::new()), 500);
        assert_eq!((state(replica), changes), (Some(TargetState::Ready), Vec::new()));
        assert_eq!(replica.restore_conflicts().unrenewed, 1);
    }
    let renewal = version_of((NEW_ERA, 31), record(1, 4, TargetState::Ready));
    assert!(renewed.apply(events(NEW_ERA, 30, 31, vec![renewal]), 1_400).is_empty());
    assert!(end_hold(&mut renewed).is_empty());
    assert_eq!(state(&renewed), Some(TargetState::Ready));
    assert!(unrenewed.expire_hold(499 + HOLD_MS).is_empty(), "too early");
    assert!(
        unrenewed.expire_hold(500 + HOLD_MS).is_empty(),
        "the store has not confirmed anything since"
    );
    assert!(matches!(end_hold(&mut unrenewed)[..], [Change::Removed { .. }]));
}

#[test]
fn restore_does_not_readd_a_removed_target_during_the_hold_period() {
    let mut replica = replica_with(version_of((OLD_ERA, 40), record(1, 5, TargetState::Ready)));
    replica.apply(events(OLD_ERA, 60, 61, vec![removal((OLD_ERA, 61))]), 100);
    let restored = version_of((NEW_ERA, 40), record(1, 5, TargetState::Ready));
    replica.apply(listing(NEW_ERA, 50, vec![restored]), 500);
    assert_eq!((state(&replica), replica.restore_conflicts().disputed), (None, 1));
    // The store drops the entry of an unresponsive target ...
    let mut dropped = replica.clone();
    dropped.apply(events(NEW_ERA, 50, 52, vec![removal((NEW_ERA, 52))]), 1_000);
    end_hold(&mut dropped);
    assert_eq!(state(&dropped), None);
    // ... a live one writes again ...
    let mut renewed = replica.clone();
    let renewal = version_of((NEW_ERA, 53), record(1, 6, TargetState::Ready));
    renewed.apply(events(NEW_ERA, 50, 53, vec![renewal]), 1_000);
    assert_eq!(state(&renewed), Some(TargetState::Ready));
    // ... and a target that is still listed is accepted after the hold period.
    end_hold(&mut replica);
    assert_eq!(state(&replica), Some(TargetState::Ready));
}

#[test]
fn ended_incarnation_is_never_restored() {
    let mut replica = replica_with(version_of((OLD_ERA, 40), record(1, 5, TargetState::Draining)));
    let second = version_of((OLD_ERA, 61), record(2, 0, TargetState::Ready));
    let changes = replica.apply(events(OLD_ERA, 60, 61, vec![second]), 100);
    assert!(matches!(changes[..], [Change::Target { restarted: true, .. }]));
    let restored = version_of((NEW_ERA, 40), record(1, 5, TargetState::Draining));
    replica.apply(listing(NEW_ERA, 50, vec![restored]), 500);
    assert_eq!((incarnation(&replica), state(&replica)), (Some(2), Some(TargetState::Ready)));
    let renewal = version_of((NEW_ERA, 51), record(2, 1, TargetState::Ready));
    replica.apply(events(NEW_ERA, 50, 51, vec![renewal]), 1_500);
    end_hold(&mut replica);
    assert_eq!((incarnation(&replica), state(&replica)), (Some(2), Some(TargetState::Ready)));
}

/// A replica that knows only one of two incarnations cannot learn from the store which one was
/// first. The one that is still being written wins.
#[test]
fn other_incarnation_in_the_backup_wins_only_if_it_lasts() {
    for (known, in_backup) in [(2, 1), (1, 2)] {
        let mut replica =
            replica_with(version_of((OLD_ERA, 55), record(known, 3, TargetState::Ready)));
        let restored = version_of((NEW_ERA, 40), record(in_backup, 9, TargetState::Ready));
        replica.apply(listing(NEW_ERA, 50, vec![restored]), 500);
        assert_eq!(incarnation(&replica), Some(known));
        let mut renewed = replica.clone();
        let renewal = version_of((NEW_ERA, 51), record(known, 4, TargetState::Ready));
        renewed.apply(events(NEW_ERA, 50, 51, vec![renewal]), 1_500);
        end_hold(&mut renewed);
        assert_eq!(incarnation(&renewed), Some(known));
        end_hold(&mut replica);
        let accepted = (incarnation(&replica), state(&replica));
        assert_eq!(accepted, (Some(in_backup), Some(TargetState::Ready)));
    }
}

/// Entries written after the era began do not come from the backup.
#[test]
fn incarnation_started_in_the_new_era_is_accepted_at_once() {
    let mut replica = replica_with(version_of((OLD_ERA, 55), record(2, 3, TargetState::Draining)));
    replica.apply(listing(NEW_ERA, 50, Vec::new()), 500);
    let third = version_of((NEW_ERA, 51), record(1, 0, TargetState::Ready));
    let changes = replica.apply(events(NEW_ERA, 50, 51, vec![third]), 600);
    assert!(matches!(changes[..], [Change::Target { restarted: true, .. }]));
    assert_eq!((incarnation(&replica), state(&replica)), (Some(1), Some(TargetState::Ready)));
}

/// A daemon that accepted an earlier incarnation for lack of better information must still accept
/// the later one.
#[test]
fn later_incarnation_is_accepted_after_an_earlier_one() {
    let mut replica = Replica::with_hold(HOLD_MS);
    let first = version_of((NEW_ERA, 40), record(1, 9, TargetState::Ready));
    replica.apply(listing(NEW_ERA, 50, vec![first]), 0);
    let second = version_of((NEW_ERA, 51), record(2, 4, TargetState::Ready));
    replica.apply(events(NEW_ERA, 50, 51, vec![second]), 700);
    assert_eq!(incarnation(&replica), Some(2));
}

#[test]
fn earlier_evacuations_stay_in_effect_for_the_hold_period() {
    let evacuated = |replica: &Replica| replica.evacuated().iter().collect::<Vec<_>>().join(" ");
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_zones(&["a", "b"], listing(OLD_ERA, 58, Vec::new())), 0);
    replica.apply(with_zones(&["a"], events(OLD_ERA, 58, 60, Vec::new())), 100);
    // The backup lacks the evacuation of `a` and the end of the evacuation of `b`.
    let changes = replica.apply(with_zones(&["b"], listing(NEW_ERA, 30, Vec::new())), 500);
    assert_eq!((evacuated(&replica).as_str(), changes.len()), ("a", 0));
    assert_eq!(replica.restore_conflicts().zones, 2);
    let mut rewritten = replica.clone();
    rewritten.apply(with_zones(&["a", "b"], events(NEW_ERA, 30, 31, Vec::new())), 600);
    rewritten.apply(with_zones(&["a"], events(NEW_ERA, 31, 32, Vec::new())), 610);
    end_hold(&mut rewritten);
    assert_eq!(evacuated(&rewritten), "a");
    // The end of an evacuation that is written in the new era takes effect at once.
    rewritten.apply(with_zones(&[], events(NEW_ERA, 32, 33, Vec::new())), 620);
    assert_eq!(evacuated(&rewritten), "");
    end_hold(&mut replica);
    assert_eq!(evacuated(&replica), "b", "the store's state wins after the hold period");
}

/// The evacuation may have started after the last update that this replica received and before the
/// backup was made.
#[test]
fn evacuation_in_the_backup_takes_effect_unless_its_end_was_seen() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_zones(&[], listing(OLD_ERA, 60, Vec::new())), 0);
    replica.apply(with_zones(&["a"], listing(NEW_ERA, 61, Vec::new())), 500);
    assert!(replica.evacuated().contains("a"));
}

#[test]
fn peer_of_an_earlier_era_gets_a_complete_update_and_keeps_its_state() {
    let mut behind = replica_with(version_of((OLD_ERA, 55), record(1, 2, TargetState::Ready)));
    behind.apply(with_version(9, events(OLD_ERA, 60, 60, Vec::new())), 0);
    let mut ahead = Replica::with_hold(HOLD_MS);
    ahead.apply(with_version(8, listing(NEW_ERA, 30, Vec::new())), 0);
    let update = ahead.update_for(&fetch_all(&behind), 10);
    assert!(update.complete);
    behind.apply(update, 20);
    assert_eq!((behind.position(), behind.version()), (Position::new(NEW_ERA, 30), Some(9)));
    assert_eq!(state(&behind), Some(TargetState::Ready));
    // The configuration is passed on in the other direction, although its position is of the
    // earlier era.
    ahead.apply(behind.update_for(&fetch_all(&ahead), 30), 30);
    assert_eq!(ahead.version(), Some(9));
}

/// A disconnected daemon keeps its earlier state, but only for a limited time.
#[test]
fn disconnected_daemon_accepts_the_last_update_after_a_limit() {
    let mut replica = replica_with(version_of((OLD_ERA, 55), record(1, 2, TargetState::Ready)));
    replica.apply(listing(NEW_ERA, 30, Vec::new()), 500);
    assert!(replica.expire_hold(500 + 5 * HOLD_MS - 1).is_empty());
    assert!(matches!(replica.expire_hold(500 + 5 * HOLD_MS)[..], [Change::Removed { .. }]));
    assert!(replica.expire_hold(500 + 6 * HOLD_MS).is_empty(), "reported once");
}

#[test]
fn era_never_decreases() {
    let mut replica = Replica::with_hold(HOLD_MS);
    replica.apply(with_version(3, listing(NEW_ERA, 30, Vec::new())), 0);
    replica.apply(with_version(2, listing(OLD_ERA, 900, Vec::new())), 10);
    assert!(!replica.learn_era(OLD_ERA, 20));
    assert_eq!((replica.position(), replica.newest_era()), (Position::new(NEW_ERA, 30), NEW_ERA));
    assert_eq!(replica.version(), Some(3));
}
