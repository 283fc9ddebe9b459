//! A replica of the store's contents, updated from the store itself and from peers.

use std::collections::{BTreeMap, BTreeSet};

use crate::Millis;
use crate::era_hold::EraHold;
use crate::evacuation::{EvacuatedZones, ZoneUpdate};
use crate::message::{FetchRequest, FetchScope};
use crate::position::Position;
use crate::removal_coverage::RemovalCoverage;
use crate::removal_history::RemovalHistory;
use crate::removed_target::{REMOVED_TARGET_LIFETIME_MS, RemovedTarget};
use crate::target_entry::{TargetEntry, VersionedTarget};
use crate::timing::Timing;
use crate::update::{Change, UNCONFIRMED_AGE_MS, Update, VersionedConfiguration};

/// Number of entries for which the state known before a restore of the store from a backup is kept
/// during the hold period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreConflicts {
    /// Targets that are missing from the backup and were not renewed since.
    pub unrenewed: usize,
    /// Targets whose records in the backup conflict with the known state.
    pub disputed: usize,
    /// Zones whose evacuation state in the backup differs.
    pub zones: usize,
}

/// The state of the store as far as this daemon knows it. Within an era no entry reverts to an
/// older position; across eras the versions and sequence numbers assigned by the writers keep the
/// order.
#[derive(Clone, Debug)]
pub struct Replica {
    configuration: Option<VersionedConfiguration>,
    targets: BTreeMap<String, TargetEntry>,
    /// Evacuated zones as recorded in the store.
    stored_zones: EvacuatedZones,
    /// Zones whose state from before a restore of the store is still in effect, each with whether
    /// it is evacuated.
    zone_overrides: BTreeMap<String, bool>,
    /// The evacuated zones in effect.
    evacuated: EvacuatedZones,
    /// When this daemon learned that a zone's evacuation ended, by name of the zone.
    returned_at: BTreeMap<String, Millis>,
    /// The position up to which all changes are known.
    position: Position,
    /// When the store last confirmed `position`, to this daemon or to a peer, on this process's
    /// clock. It is negative for a time before the process started, so that a daemon that has just
    /// started does not consider a confirmation fresh that a peer received long ago.
    confirmed_at: Option<i64>,
    removals: RemovalHistory,
    removal_coverage: RemovalCoverage,
    era_hold: EraHold,
    /// Minimum time for which a new era does not override what was known before.
    hold_ms: Millis,
}

impl Default for Replica {
    fn default() -> Self {
        Self::with_hold(Timing::default().renewal_grace_ms)
    }
}

impl Replica {
    /// Creates an empty replica with the default hold period.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates an empty replica. After a restore of the store, restored entries that contradict
    /// what was known before are held back for at least `hold_ms` milliseconds.
    pub fn with_hold(hold_ms: Millis) -> Self {
        Self {
            configuration: None,
            targets: BTreeMap::new(),
            stored_zones: EvacuatedZones::default(),
            zone_overrides: BTreeMap::new(),
            evacuated: EvacuatedZones::default(),
            returned_at: BTreeMap::new(),
            position: Position::default(),
            confirmed_at: None,
            removals: RemovalHistory::default(),
            removal_coverage: RemovalCoverage::default(),
            era_hold: EraHold::default(),
            hold_ms,
        }
    }

    /// Returns the configuration in effect.
    pub fn configuration(&self) -> Option<&VersionedConfiguration> {
        self.configuration.as_ref()
    }

    /// Iterates over the known targets, including removed ones, in order of their identifiers.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// Returns the version of the configuration in effect.
    pub fn version(&self) -> Option<u64> {
        self.configuration.as_ref().map(|known| known.configuration.version)
    }

    /// Returns the evacuated zones as recorded in the store, which is what peers are sent.
    pub fn stored_zones(&self) -> &EvacuatedZones {
        &self.stored_zones
    }

    /// Returns the evacuated zones in effect.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Returns when this daemon learned that a zone's evacuation ended.
    pub fn returned_at(&self, zone: &str) -> Option<Millis> {
        self.returned_at.get(zone).copied()
    }

    /// Returns the position up to which all changes are known.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the newest era reported by any source.
    pub fn newest_era(&self) -> u64 {
        self.era_hold.newest
    }

    /// Returns the number of entries that are kept although the newest era contradicts them, for
    /// logs.
    pub fn restore_conflicts(&self) -> RestoreConflicts {
        let era = self.position.era;
        let is_unrenewed =
            |entry: &&TargetEntry| entry.target.present && entry.target.position.era < era;
        RestoreConflicts {
            unrenewed: self.targets().filter(is_unrenewed).count(),
            disputed: self.targets().filter(|entry| entry.is_disputed()).count(),
            zones: self.zone_overrides.len(),
        }
    }

    /// Returns the milliseconds since the store last confirmed the replica's position; none if it
    /// never did.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let age = self.confirmed_at.map(|confirmed_at| signed(now).saturating_sub(confirmed_at));
        age.map(|age| age.max(0).unsigned_abs())
    }

    /// Whether the targets that were removed recently and may still hold flows are known.
    pub fn knows_removed_targets(&self, now: Millis) -> bool {
        self.removal_coverage.is_sufficient(now)
    }

    /// Whether peers may know recently removed targets that are unknown here.
    pub fn needs_removed_targets(&self, now: Millis) -> bool {
        self.removal_coverage.needs_peer(now)
    }

    /// Whether a peer that knows the recently removed targets at this position closes the gap before
    /// the first state of this replica.
    pub fn can_learn_removals_at(&self, position: Position) -> bool {
        self.removal_coverage.is_extended_by(position)
    }

    /// Applies an update from the store or a peer. Returns the changes that it made.
    pub fn apply(&mut self, update: Update, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        self.learn_update_eras(&update, now);
        self.removal_coverage.note_update(&update, now);
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
        for removed in update.removed {
            self.apply_removed(removed, now, &mut changes);
        }
        // An update that begins after the known position leaves a gap.
        let is_gapless = update.complete || update.after <= self.position;
        if update.complete || (update.skips && is_gapless) {
            self.removals.add_gap(self.position, update.through);
        }
        if is_gapless && !update.through.is_start() {
            self.advance(update.through);
            self.confirm(update.through, update.age_ms, now);
        }
        changes.extend(self.expire_hold(now));
        self.forget_removed(now);
        changes
    }

    /// Applies a peer's set of evacuated zones if it is newer. Returns the changes that it made.
    pub fn learn_evacuated(&mut self, zones: &EvacuatedZones, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        self.learn_era(zones.as_of.era, now);
        if zones.has_updates_for(&self.stored_zones) {
            self.set_zones(zones.clone(), now, &mut changes);
        } else {
            self.stored_zones.as_of = self.stored_zones.as_of.max(zones.as_of);
            self.evacuated.as_of = self.stored_zones.as_of;
        }
        changes
    }

    /// Records that the store is in this era. Returns whether it is newer than the newest known
    /// era; then a hold period begins during which the era's entries do not override what was known
    /// before. It is as long as the writers may take to write again.
    pub fn learn_era(&mut self, era: u64, now: Millis) -> bool {
        let is_newer = era > self.era_hold.newest;
        if is_newer {
            self.era_hold =
                EraHold { newest: era, backup_revision: None, until: Some(now + self.hold_ms) };
        }
        is_newer
    }

    /// Ends the hold period if it is over: the newest era overrides what was kept against it, and
    /// targets whose records were not renewed in it are considered removed. Must be called
    /// regularly. Returns the changes that it made.
    pub fn expire_hold(&mut self, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        let is_current = self.position.era == self.era_hold.newest;
        let confirmed_at = self.confirmed_at.filter(|_| is_current);
        if !self.era_hold.is_over(self.hold_ms, confirmed_at, now) {
            return changes;
        }
        for entry in self.targets.values_mut() {
            let has_changed = entry.resolve_dispute(self.position.era, now);
            if has_changed {
                changes.push(Change::of_target(&entry.target, false));
            }
        }
        self.zone_overrides.clear();
        self.update_effective_zones(now, &mut changes);
        if self.position.era == self.era_hold.newest {
            self.era_hold.until = None;
        }
        changes
    }

    /// Records that the store confirmed `position` to some daemon `age_ms` milliseconds ago, unless
    /// that is [`UNCONFIRMED_AGE_MS`].
    pub fn confirm(&mut self, position: Position, age_ms: u64, now: Millis) {
        if position < self.position || age_ms == UNCONFIRMED_AGE_MS {
            return;
        }
        let confirmed_at = signed(now).saturating_sub(signed(age_ms));
        let latest = self.confirmed_at.map_or(confirmed_at, |known| known.max(confirmed_at));
        self.confirmed_at = Some(latest);
    }

    /// Returns the update that answers a peer's request.
    pub fn update_for(&self, request: &FetchRequest, now: Millis) -> Update {
        let after = request.after;
        // Positions of another era do not show what the requester knows of this one.
        let complete = after.is_start()
            || after.era != self.position.era
            || self.removals.is_incomplete_after(after);
        let is_own = |target: &VersionedTarget, machine| {
            target.record.as_ref().is_some_and(|record| record.address == machine)
        };
        let is_wanted = |entry: &TargetEntry, target: &VersionedTarget| match request.scope {
            // A requester without any state gets removed targets separately.
            FetchScope::All if after.is_start() => target.present || entry.is_disputed(),
            FetchScope::All => complete || target.position > after,
            FetchScope::Machine(machine) => is_own(target, machine),
        };
        let wanted = self
            .targets
            .values()
            .flat_map(|entry| entry.versions().filter(move |target| is_wanted(entry, target)));
        let configuration = self.configuration.as_ref();
        Update {
            after,
            through: self.position,
            complete: complete && request.scope == FetchScope::All,
            skips: self.removals.has_gap_after(after),
            age_ms: self.age(now).unwrap_or(UNCONFIRMED_AGE_MS),
            configuration: configuration
                .filter(|known| {
                    request
                        .configuration
                        .is_none_or(|requested| known.configuration.version > requested)
                })
                .cloned(),
            targets: wanted.cloned().collect(),
            removed: self.removed_targets(request, now),
            removals_known_ms: self.removal_coverage.known_ms(now).filter(|_| request.with_removed),
            zones: ZoneUpdate::Whole(self.stored_zones.clone()),
        }
    }

    /// Returns the removed targets that a requester needs.
    fn removed_targets(&self, request: &FetchRequest, now: Millis) -> Vec<RemovedTarget> {
        if !request.with_removed {
            return Vec::new();
        }
        self.targets.values().filter_map(|entry| entry.as_removed(now)).collect()
    }

    /// Returns only the configuration and the evacuated zones, for a replica that does not have all
    /// targets.
    pub fn configuration_only(&self) -> Update {
        Update {
            configuration: self.configuration.clone(),
            zones: ZoneUpdate::Whole(self.stored_zones.clone()),
            ..Update::default()
        }
    }

    fn learn_update_eras(&mut self, update: &Update, now: Millis) {
        let eras = update.targets.iter().map(|target| target.position.era);
        let newest = eras.fold(update.through.era, u64::max);
        self.learn_era(newest, now);
    }

    fn advance(&mut self, through: Position) {
        if through.era > self.position.era {
            // A confirmation of the earlier era does not confirm this one.
            self.confirmed_at = None;
            if through.era == self.era_hold.newest {
                self.era_hold.backup_revision = Some(through.revision);
            }
        }
        self.position = self.position.max(through);
    }

    fn set_zones(&mut self, zones: EvacuatedZones, now: Millis, changes: &mut Vec<Change>) {
        let previous = self.stored_zones.as_of;
        if zones.as_of.era > previous.era && !previous.is_start() && self.era_hold.is_active() {
            self.zone_overrides = self.evacuated.differences(&zones);
            // An evacuation in the backup takes effect unless this daemon learned that it had
            // ended.
            let returned_at = &self.returned_at;
            self.zone_overrides
                .retain(|zone, is_evacuated| *is_evacuated || returned_at.contains_key(zone));
        }
        // The operator has written again what was missing from the backup.
        self.zone_overrides.retain(|zone, is_evacuated| zones.contains(zone) != *is_evacuated);
        self.stored_zones = zones;
        self.update_effective_zones(now, changes);
    }

    /// Updates the evacuated zones in effect.
    fn update_effective_zones(&mut self, now: Millis, changes: &mut Vec<Change>) {
        let zones = self.stored_zones.with_overrides(&self.zone_overrides);
        let started = zones.iter().filter(|zone| !self.evacuated.contains(zone));
        changes.extend(started.map(|zone| Change::ZoneEvacuated { zone: zone.to_owned() }));
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
        let held_through = self.era_hold.held_through();
        // After the hold period, a target whose record was not renewed in the newest era is
        // considered removed.
        offered.present &= held_through.is_some() || offered.position.era >= self.position.era;
        if offered.present && self.was_removed_since(&offered) {
            return;
        }
        let Some(entry) = self.targets.get_mut(&offered.id) else {
            changes.push(Change::of_target(&offered, false));
            self.targets.insert(offered.id.clone(), TargetEntry::new(offered, now));
            return;
        };
        let incarnation = |entry: &TargetEntry| {
            entry.target.record.as_ref().and_then(|record| record.incarnation)
        };
        let before = incarnation(entry);
        if entry.merge(offered, held_through, now) {
            let restarted = before.is_some() && before != incarnation(entry);
            changes.push(Change::of_target(&entry.target, restarted));
        }
    }

    /// Applies a removal of an earlier time. The last record of a target without an entry is kept, as
    /// the target may still hold flows.
    fn apply_removed(&mut self, removed: RemovedTarget, now: Millis, changes: &mut Vec<Change>) {
        let held_through = self.era_hold.held_through();
        let id = removed.target.id.clone();
        let has_changed = match self.targets.get_mut(&id) {
            Some(entry) => entry.merge_removed(removed, held_through, now),
            None => {
                self.targets.insert(id.clone(), TargetEntry::removed_earlier(removed, now));
                true
            }
        };
        if has_changed {
            changes.push(Change::RemovedEarlier { id });
        }
    }

    /// Returns removals for the known targets that a complete listing as of `through` lacks. A
    /// listing of a new era does not disprove what was known before: the backup that the store was
    /// restored from may be older.
    fn absent_targets(
        &self,
        listed: &[VersionedTarget],
        through: Position,
    ) -> Vec<VersionedTarget> {
        // A peer also lists removed targets and targets of earlier eras that it keeps.
        let listed = listed.iter();
        let listed = listed.filter(|target| target.present && target.position.era == through.era);
        let listed: BTreeSet<&str> = listed.map(|target| target.id.as_str()).collect();
        let known = self.targets.values().flat_map(TargetEntry::versions);
        known
            .filter(|target| target.present && target.position <= through)
            .filter(|target| target.position.era == through.era)
            .filter(|target| !listed.contains(target.id.as_str()))
            .map(|target| VersionedTarget { present: false, position: through, ..target.clone() })
            .collect()
    }

    /// Whether a target was removed after this version. That is so if all later changes are known and
    /// the target is not in the store; positions of another era do not show it.
    fn was_removed_since(&self, version: &VersionedTarget) -> bool {
        let is_absent = match self.targets.get(&version.id).map(|entry| &entry.target) {
            Some(known) => !known.present && known.position.era == version.position.era,
            None => true,
        };
        let knows_later_changes =
            version.position.era == self.position.era && version.position <= self.position;
        is_absent && knows_later_changes
    }

    fn forget_removed(&mut self, now: Millis) {
        self.returned_at.retain(|_, at| now.saturating_sub(*at) < REMOVED_TARGET_LIFETIME_MS);
        let removals = &mut self.removals;
        self.targets.retain(|_, entry| {
            let keep = entry.forget_at().is_none_or(|forget_at| now < forget_at);
            if !keep {
                removals.forget_through(entry.target.position);
            }
            keep
        });
    }
}

/// Converts a time or duration to a signed number, limited to the maximum.
fn signed(millis: Millis) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
