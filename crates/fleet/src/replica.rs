//! A replica of the store's contents, fed by the store itself and by peers.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;
use crate::era_hold::EraHold;
use crate::evacuation::{EvacuatedZones, ZoneNews};
use crate::message::{FetchRequest, FetchScope};
use crate::position::Position;
use crate::removal_history::RemovalHistory;
use crate::succession::{TargetEntry, VersionedTarget};
use crate::timing::Timing;
use crate::update::{Change, Update, VersionedConfiguration};

/// How long a removed target is remembered, so that an older report does not
/// bring it back and its open flows are still found.
const REMOVED_TARGET_LIFETIME_MS: Millis = 90_000;

/// What is kept for a time against a store that came back from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct KeptAgainstCopy {
    /// Targets that the copy lacks.
    pub unrenewed: usize,
    /// Targets of which the copy states something else.
    pub disputed: usize,
    /// Zones whose state is another one in the copy.
    pub zones: usize,
}

/// The state of the store as far as this daemon knows it. Within an era no entry goes back
/// to an older position; across eras what the writers count themselves keeps the order.
#[derive(Clone, Debug)]
pub struct Replica {
    configuration: Option<VersionedConfiguration>,
    targets: BTreeMap<String, TargetEntry>,
    /// Evacuated zones, as the store states them.
    stored_zones: EvacuatedZones,
    /// Zones whose state of before the store came back from a copy still counts, each with
    /// whether it is evacuated.
    kept_zones: BTreeMap<String, bool>,
    /// The evacuated zones that count.
    evacuated: EvacuatedZones,
    /// When this daemon learned that a zone's evacuation ended, by zone.
    returned_at: BTreeMap<String, Millis>,
    /// All changes up to here are known.
    position: Position,
    /// When the store last confirmed `position`, to this daemon or to a peer, on this
    /// process's clock. Negative for a time before the process started: a daemon that
    /// has just started must not take what peers confirmed long ago for fresh.
    confirmed_at: Option<i64>,
    removals: RemovalHistory,
    era: EraHold,
    /// How long a new era's word is not taken against what was known before, at least.
    hold_ms: Millis,
}

impl Default for Replica {
    fn default() -> Self {
        Self::with_hold(Timing::default().settle_ms)
    }
}

impl Replica {
    /// An empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// An empty replica that holds the word of a new era back for this long where it
    /// contradicts what was known before.
    pub fn with_hold(hold_ms: Millis) -> Self {
        Self {
            configuration: None,
            targets: BTreeMap::new(),
            stored_zones: EvacuatedZones::default(),
            kept_zones: BTreeMap::new(),
            evacuated: EvacuatedZones::default(),
            returned_at: BTreeMap::new(),
            position: Position::default(),
            confirmed_at: None,
            removals: RemovalHistory::default(),
            era: EraHold::default(),
            hold_ms,
        }
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&VersionedConfiguration> {
        self.configuration.as_ref()
    }

    /// The known targets, removed ones included, by identifier.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|known| known.configuration.version)
    }

    /// The evacuated zones as the store states them, for peers.
    pub fn stored_zones(&self) -> &EvacuatedZones {
        &self.stored_zones
    }

    /// The evacuated zones that count.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// When this daemon learned that a zone's evacuation ended.
    pub fn returned_at(&self, zone: &str) -> Option<Millis> {
        self.returned_at.get(zone).copied()
    }

    /// The position up to which all changes are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// The newest era heard of.
    pub fn newest_era(&self) -> u64 {
        self.era.newest
    }

    /// What is kept against the newest era's word, for logs.
    pub fn kept(&self) -> KeptAgainstCopy {
        let era = self.position.era;
        let is_unrenewed =
            |entry: &&TargetEntry| entry.target.present && entry.target.position.era < era;
        KeptAgainstCopy {
            unrenewed: self.targets().filter(is_unrenewed).count(),
            disputed: self.targets().filter(|entry| entry.is_disputed()).count(),
            zones: self.kept_zones.len(),
        }
    }

    /// Milliseconds since the store last confirmed the replica's position.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let age = self.confirmed_at.map(|confirmed_at| signed(now).saturating_sub(confirmed_at));
        age.map(|age| age.max(0).unsigned_abs())
    }

    /// Takes in what a source says. Returns what changed.
    pub fn apply(&mut self, update: Update, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        self.learn_eras(&update, now);
        self.apply_configuration(update.configuration, &mut changes);
        if let Some(zones) = self.stored_zones.updated(update.zones, update.after, update.through) {
            self.set_zones(zones, now, &mut changes);
        }
        let absent = if update.complete {
            self.absent_targets(&update.targets, update.through)
        } else {
            Vec::new()
        };
        for target in update.targets.into_iter().chain(absent) {
            self.apply_target(target, now, &mut changes);
        }
        // A span that begins after what is known here leaves a gap.
        let is_gapless = update.complete || update.after <= self.position;
        if update.complete || (update.skips && is_gapless) {
            self.removals.skip(self.position, update.through);
        }
        if is_gapless && !update.through.is_start() {
            self.advance(update.through);
            self.confirm(update.through, update.age_ms, now);
        }
        changes.extend(self.settle(now));
        self.forget_removed(now);
        changes
    }

    /// Takes in a peer's word about evacuated zones, unless this daemon knows as much.
    /// Returns what changed.
    pub fn learn_evacuated(&mut self, zones: &EvacuatedZones, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        self.learn_era(zones.as_of.era, now);
        if zones.is_news_for(&self.stored_zones) {
            self.set_zones(zones.clone(), now, &mut changes);
        } else {
            self.stored_zones.as_of = self.stored_zones.as_of.max(zones.as_of);
            self.evacuated.as_of = self.stored_zones.as_of;
        }
        changes
    }

    /// Takes in that the store is in this era. Returns whether it is a newer one than was
    /// known; then what it states is not taken against what was known before, for as long
    /// as the writers may take to write again.
    pub fn learn_era(&mut self, era: u64, now: Millis) -> bool {
        let is_newer = era > self.era.newest;
        if is_newer {
            self.era = EraHold { newest: era, began_with: None, until: Some(now + self.hold_ms) };
        }
        is_newer
    }

    /// Once the hold is over, takes the newest era at its word: what it did not renew is
    /// gone. To be called regularly. Returns what changed.
    pub fn settle(&mut self, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        let is_current = self.position.era == self.era.newest;
        let confirmed_at = self.confirmed_at.filter(|_| is_current);
        if !self.era.is_over(self.hold_ms, confirmed_at, now) {
            return changes;
        }
        for entry in self.targets.values_mut() {
            let has_changed = entry.settle(self.position.era, now);
            if has_changed {
                changes.push(Change::of_target(&entry.target, false));
            }
        }
        self.kept_zones.clear();
        self.count_zones(now, &mut changes);
        if self.position.era == self.era.newest {
            self.era.until = None;
        }
        changes
    }

    /// Records that somebody saw the store confirm `position` `age_ms` ago.
    pub fn confirm(&mut self, position: Position, age_ms: u64, now: Millis) {
        if position < self.position {
            return;
        }
        let confirmed_at = signed(now).saturating_sub(signed(age_ms));
        let latest = self.confirmed_at.map_or(confirmed_at, |known| known.max(confirmed_at));
        self.confirmed_at = Some(latest);
    }

    /// What a peer asks for.
    pub fn update_for(&self, request: &FetchRequest, now: Millis) -> Update {
        let after = request.after;
        // Positions of another era say nothing about what the asker knows of this one.
        let complete = after.is_start()
            || after.era != self.position.era
            || self.removals.is_incomplete_after(after);
        let is_own = |target: &VersionedTarget, machine| {
            target.record.as_ref().is_some_and(|record| record.address == machine)
        };
        let is_wanted = |entry: &TargetEntry, target: &VersionedTarget| match request.scope {
            // One that knows nothing need not hear of what is gone.
            FetchScope::All if after.is_start() => target.present || entry.is_disputed(),
            FetchScope::All => complete || target.position > after,
            FetchScope::Machine(machine) => is_own(target, machine),
        };
        let wanted = self
            .targets
            .values()
            .flat_map(|entry| entry.claims().filter(move |target| is_wanted(entry, target)));
        let configuration = self.configuration.as_ref();
        Update {
            after,
            through: self.position,
            complete: complete && request.scope == FetchScope::All,
            skips: self.removals.has_gap_after(after),
            age_ms: self.age(now).unwrap_or(u64::MAX),
            configuration: configuration
                .filter(|known| {
                    request.configuration.is_none_or(|asker| known.configuration.version > asker)
                })
                .cloned(),
            targets: wanted.cloned().collect(),
            zones: ZoneNews::Whole(self.stored_zones.clone()),
        }
    }

    /// The configuration and the evacuated zones alone, from a replica that does not have
    /// all targets.
    pub fn configuration_only(&self) -> Update {
        Update {
            configuration: self.configuration.clone(),
            zones: ZoneNews::Whole(self.stored_zones.clone()),
            ..Update::default()
        }
    }

    fn learn_eras(&mut self, update: &Update, now: Millis) {
        let eras = update.targets.iter().map(|target| target.position.era);
        let newest = eras.fold(update.through.era, u64::max);
        self.learn_era(newest, now);
    }

    fn advance(&mut self, through: Position) {
        if through.era > self.position.era {
            // What confirmed the earlier era says nothing about this one.
            self.confirmed_at = None;
            if through.era == self.era.newest {
                self.era.began_with = Some(through.revision);
            }
        }
        self.position = self.position.max(through);
    }

    fn set_zones(&mut self, zones: EvacuatedZones, now: Millis, changes: &mut Vec<Change>) {
        let began = self.stored_zones.as_of;
        if zones.as_of.era > began.era && !began.is_start() && self.era.is_on() {
            self.kept_zones = self.evacuated.differences(&zones);
            // An evacuation that the copy has counts, unless its end was heard of.
            let returned_at = &self.returned_at;
            self.kept_zones
                .retain(|zone, is_evacuated| *is_evacuated || returned_at.contains_key(zone));
        }
        // The operator has written again what the copy lacked.
        self.kept_zones.retain(|zone, is_evacuated| zones.contains(zone) != *is_evacuated);
        self.stored_zones = zones;
        self.count_zones(now, changes);
    }

    /// Brings the evacuated zones that count up to date.
    fn count_zones(&mut self, now: Millis, changes: &mut Vec<Change>) {
        let zones = self.stored_zones.with(&self.kept_zones);
        let begins = zones.iter().filter(|zone| !self.evacuated.contains(zone));
        changes.extend(begins.map(|zone| Change::ZoneEvacuated { zone: zone.to_owned() }));
        for zone in self.evacuated.iter().filter(|zone| !zones.contains(zone)) {
            changes.push(Change::ZoneReturned { zone: zone.to_owned() });
            self.returned_at.insert(zone.to_owned(), now);
        }
        self.evacuated = zones;
    }

    fn apply_configuration(
        &mut self,
        offered: Option<VersionedConfiguration>,
        changes: &mut Vec<Change>,
    ) {
        let Some(offered) = offered else { return };
        let version = offered.configuration.version;
        if self.version().is_some_and(|known| version <= known) {
            return;
        }
        changes.push(Change::Configuration { version, position: offered.position });
        self.configuration = Some(offered);
    }

    fn apply_target(
        &mut self,
        mut offered: VersionedTarget,
        now: Millis,
        changes: &mut Vec<Change>,
    ) {
        let held_through = self.era.held_through();
        // The hold is over: what the newest era did not renew is gone.
        offered.present &= held_through.is_some() || offered.position.era >= self.position.era;
        let Some(entry) = self.targets.get_mut(&offered.id) else {
            changes.push(Change::of_target(&offered, false));
            self.targets.insert(offered.id.clone(), TargetEntry::new(offered, now));
            return;
        };
        let incarnation = |entry: &TargetEntry| {
            entry.target.record.as_ref().and_then(|record| record.incarnation)
        };
        let before = incarnation(entry);
        if entry.take(offered, held_through, now) {
            let restarted = before.is_some() && before != incarnation(entry);
            changes.push(Change::of_target(&entry.target, restarted));
        }
    }

    /// Targets known here that a complete list as of `through` does not have. The list of
    /// a new era proves nothing about what was known before: the copy that the store came
    /// back from may be older.
    fn absent_targets(
        &self,
        listed: &[VersionedTarget],
        through: Position,
    ) -> Vec<VersionedTarget> {
        // A peer also names what is gone, and what it holds of earlier eras.
        let listed = listed.iter();
        let listed = listed.filter(|target| target.present && target.position.era == through.era);
        let listed: BTreeSet<&str> = listed.map(|target| target.id.as_str()).collect();
        let known = self.targets.values().flat_map(TargetEntry::claims);
        known
            .filter(|target| target.present && target.position <= through)
            .filter(|target| target.position.era == through.era)
            .filter(|target| !listed.contains(target.id.as_str()))
            .map(|target| VersionedTarget { present: false, position: through, ..target.clone() })
            .collect()
    }

    fn forget_removed(&mut self, now: Millis) {
        self.returned_at.retain(|_, at| now.saturating_sub(*at) < REMOVED_TARGET_LIFETIME_MS);
        let removals = &mut self.removals;
        self.targets.retain(|_, entry| {
            let age = now.saturating_sub(entry.learned_at);
            let keep = entry.target.present || age < REMOVED_TARGET_LIFETIME_MS;
            if !keep {
                removals.forget_through(entry.target.position);
            }
            keep
        });
    }
}

/// A time or span as a signed number; one too long for that counts as endless.
fn signed(millis: Millis) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
