//! A replica of the store's contents, fed by the store itself and by peers.

use std::collections::BTreeMap;

use musli::{Decode, Encode};

use crate::Millis;
use crate::evacuation::{EvacuatedZones, ZoneNews};
use crate::model::{Configuration, TargetRecord};

/// How long a removed target is remembered, so that an older report does not
/// bring it back and its open flows are still found.
const REMOVED_TARGET_LIFETIME_MS: Millis = 90_000;

/// A configuration with the store revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionedConfiguration {
    /// The store revision of the write.
    pub revision: u64,
    /// The configuration written.
    pub configuration: Configuration,
}

/// The latest known change of one target's record.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionedTarget {
    /// The target's identifier in the store.
    pub id: String,
    /// The store revision of the change, or for a removal found by its absence
    /// the revision at which it was absent.
    pub revision: u64,
    /// Whether the record is still in the store.
    pub present: bool,
    /// The record, or the last one known of a removed target.
    pub record: Option<TargetRecord>,
}

/// What one source says about the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Update {
    /// The update holds every change after this revision.
    pub after: u64,
    /// Up to this revision; 0 if the source does not know all changes of any span.
    pub through: u64,
    /// Whether the update lists everything; what it lacks is not in the store.
    pub complete: bool,
    /// Milliseconds since the store itself confirmed `through`.
    pub age_ms: u64,
    /// The configuration, if it changed in this span.
    pub configuration: Option<VersionedConfiguration>,
    /// Targets that changed in this span.
    pub targets: Vec<VersionedTarget>,
    /// Evacuated zones.
    pub zones: ZoneNews,
}

impl Update {
    /// The same after `elapsed_ms` on its way from the source.
    pub fn delayed_by(self, elapsed_ms: Millis) -> Self {
        Self { age_ms: self.age_ms.saturating_add(elapsed_ms), ..self }
    }
}

/// What an update changed in the replica, for logs and dependents.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration came into force.
    Configuration {
        /// Its version.
        version: u64,
        /// Its store revision.
        revision: u64,
    },
    /// A target's record appeared or changed.
    Target {
        /// The target's identifier.
        id: String,
        /// The record now known.
        record: TargetRecord,
    },
    /// A target's record left the store.
    Removed {
        /// The target's identifier.
        id: String,
        /// The last record known.
        record: Option<TargetRecord>,
    },
    /// The targets of a zone are to get no new flows from now on.
    ZoneEvacuated {
        /// The zone's name.
        zone: String,
    },
    /// A zone's evacuation ended.
    ZoneReturned {
        /// The zone's name.
        zone: String,
    },
}

/// A target's latest known change and when this daemon learned of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The latest change.
    pub target: VersionedTarget,
    /// When this daemon learned of the change.
    pub learned_at: Millis,
}

/// The state of the store as far as this daemon knows it. No entry ever goes
/// back to an older revision.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    configuration: Option<VersionedConfiguration>,
    targets: BTreeMap<String, TargetEntry>,
    evacuated: EvacuatedZones,
    /// When this daemon learned that a zone's evacuation ended, by zone.
    returned_at: BTreeMap<String, Millis>,
    /// All changes up to here are known.
    revision: u64,
    /// When the store last confirmed `revision`, to this daemon or to a peer, on this
    /// process's clock. Negative for a time before the process started: a daemon that
    /// has just started must not take what peers confirmed long ago for fresh.
    confirmed_at: Option<i64>,
    /// Removed targets were forgotten up to this revision.
    forgotten_through: u64,
}

impl Replica {
    /// An empty replica.
    pub fn new() -> Self {
        Self::default()
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&VersionedConfiguration> {
        self.configuration.as_ref()
    }

    /// The known targets, removed ones included, by identifier.
    pub fn targets(&self) -> impl Iterator<Item = &TargetEntry> {
        self.targets.values()
    }

    /// The evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// When this daemon learned that a zone's evacuation ended.
    pub fn returned_at(&self, zone: &str) -> Option<Millis> {
        self.returned_at.get(zone).copied()
    }

    /// The revision up to which all changes are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Milliseconds since the store last confirmed the replica's revision.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let age = self.confirmed_at.map(|confirmed_at| signed(now).saturating_sub(confirmed_at));
        age.map(|age| age.max(0).unsigned_abs())
    }

    /// Takes in what a source says. Returns what changed.
    pub fn apply(&mut self, update: Update, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        self.apply_configuration(update.configuration, &mut changes);
        if let Some(zones) = self.evacuated.updated(update.zones, update.after, update.through) {
            self.set_evacuated(zones, now, &mut changes);
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
        let is_gapless = update.complete || update.after <= self.revision;
        if is_gapless && update.through > 0 {
            self.revision = self.revision.max(update.through);
            self.confirm(update.through, update.age_ms, now);
        }
        self.forget_removed(now);
        changes
    }

    /// Takes in a peer's word about evacuated zones, unless this daemon knows as much.
    /// Returns what changed.
    pub fn learn_evacuated(&mut self, zones: &EvacuatedZones, now: Millis) -> Vec<Change> {
        let mut changes = Vec::new();
        if zones.is_news_for(&self.evacuated) {
            self.set_evacuated(zones.clone(), now, &mut changes);
        } else {
            self.evacuated.as_of = self.evacuated.as_of.max(zones.as_of);
        }
        changes
    }

    /// Records that somebody saw the store confirm `revision` `age_ms` ago.
    pub fn confirm(&mut self, revision: u64, age_ms: u64, now: Millis) {
        if revision < self.revision {
            return;
        }
        let confirmed_at = signed(now).saturating_sub(signed(age_ms));
        let latest = self.confirmed_at.map_or(confirmed_at, |known| known.max(confirmed_at));
        self.confirmed_at = Some(latest);
    }

    /// Everything that changed after `after`, for a peer.
    pub fn update_after(&self, after: u64, now: Millis) -> Update {
        let complete = after < self.forgotten_through || after == 0;
        let is_wanted = |target: &VersionedTarget| {
            if complete { target.present } else { target.revision > after }
        };
        let targets = self.targets.values().map(|entry| &entry.target);
        let configuration = self.configuration.as_ref();
        Update {
            after,
            through: self.revision,
            complete,
            age_ms: self.age(now).unwrap_or(u64::MAX),
            configuration: configuration
                .filter(|configuration| complete || configuration.revision > after)
                .cloned(),
            targets: targets.filter(|target| is_wanted(target)).cloned().collect(),
            zones: ZoneNews::Whole(self.evacuated.clone()),
        }
    }

    /// The configuration if it changed after `after`, and the targets of a machine.
    pub fn update_for_machine(&self, after: u64, machine: u32, now: Millis) -> Update {
        let is_own = |target: &VersionedTarget| {
            target.record.as_ref().is_some_and(|record| record.address == machine)
        };
        let targets = self.targets.values().map(|entry| &entry.target);
        let targets = targets.filter(|target| is_own(target)).cloned().collect();
        Update { targets, complete: false, ..self.update_after(after, now) }
    }

    /// The configuration and the evacuated zones alone, from a replica that does not have
    /// all targets.
    pub fn configuration_only(&self) -> Update {
        Update {
            configuration: self.configuration.clone(),
            zones: ZoneNews::Whole(self.evacuated.clone()),
            ..Update::default()
        }
    }

    fn set_evacuated(&mut self, zones: EvacuatedZones, now: Millis, changes: &mut Vec<Change>) {
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
        let known = self.configuration.as_ref().map_or(0, |known| known.revision);
        if offered.revision <= known {
            return;
        }
        changes.push(Change::Configuration {
            version: offered.configuration.version,
            revision: offered.revision,
        });
        self.configuration = Some(offered);
    }

    fn apply_target(
        &mut self,
        mut offered: VersionedTarget,
        now: Millis,
        changes: &mut Vec<Change>,
    ) {
        let known = self.targets.get(&offered.id);
        if known.is_some_and(|known| !supersedes(&offered, &known.target)) {
            return;
        }
        if offered.record.is_none() {
            offered.record = known.and_then(|known| known.target.record.clone());
        }
        let id = offered.id.clone();
        match (&offered.record, offered.present) {
            (Some(record), true) => {
                changes.push(Change::Target { id: id.clone(), record: record.clone() });
            }
            (record, _) => {
                changes.push(Change::Removed { id: id.clone(), record: record.clone() });
            }
        }
        self.targets.insert(id, TargetEntry { target: offered, learned_at: now });
    }

    /// Targets known here that a complete list as of `through` does not have.
    fn absent_targets(&self, listed: &[VersionedTarget], through: u64) -> Vec<VersionedTarget> {
        let is_listed = |id: &str| listed.iter().any(|target| target.id == id);
        let known = self.targets.values().map(|entry| &entry.target);
        known
            .filter(|target| target.present && target.revision <= through)
            .filter(|target| !is_listed(&target.id))
            .map(|target| VersionedTarget { present: false, revision: through, ..target.clone() })
            .collect()
    }

    fn forget_removed(&mut self, now: Millis) {
        self.returned_at.retain(|_, at| now.saturating_sub(*at) < REMOVED_TARGET_LIFETIME_MS);
        let mut forgotten_through = self.forgotten_through;
        self.targets.retain(|_, entry| {
            let age = now.saturating_sub(entry.learned_at);
            let keep = entry.target.present || age < REMOVED_TARGET_LIFETIME_MS;
            if !keep {
                forgotten_through = forgotten_through.max(entry.target.revision);
            }
            keep
        });
        self.forgotten_through = forgotten_through;
    }
}

/// A time or span as a signed number; one too long for that counts as endless.
fn signed(millis: Millis) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}

/// Whether `offered` is newer than `known`. At one revision, a removal wins: a
/// complete list proves the absence of a target at the very revision of its
/// latest change only if that change was the removal.
fn supersedes(offered: &VersionedTarget, known: &VersionedTarget) -> bool {
    match offered.revision.cmp(&known.revision) {
        std::cmp::Ordering::Greater => true,
        std::cmp::Ordering::Equal => known.present && !offered.present,
        std::cmp::Ordering::Less => false,
    }
}
