//! A replica of the store's contents, fed by the store itself and by peers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use musli::{Decode, Encode};

use crate::Millis;
use crate::evacuation::{EvacuatedZones, ZoneNews};
use crate::message::{FetchRequest, FetchScope};
use crate::model::{Configuration, TargetRecord};
use crate::position::Position;
use crate::succession::{TargetEntry, VersionedTarget};
use crate::timing::Timing;

/// Holds after which a daemon that heard nothing of the store since takes its last word: it
/// has been cut off for some 12 s then, or is an agent, which follows configurations alone.
const LONGEST_HOLDS: u64 = 4;
/// Most spans remembered of which a listing told the outcome alone, 32 bytes each; peers
/// that stand before a span that was forgotten are told all.
const MOST_GAPS: usize = 4;
/// How long a removed target is remembered, so that an older report does not
/// bring it back and its open flows are still found.
const REMOVED_TARGET_LIFETIME_MS: Millis = 90_000;

/// A configuration with the position of its write.
///
/// The operator's version orders configurations, not the position: a store that came back
/// from a copy states an older one, and the operator writes the newest again.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionedConfiguration {
    /// The position of the write.
    pub position: Position,
    /// The configuration written.
    pub configuration: Configuration,
}

/// What one source says about the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Update {
    /// The update holds every change after this position.
    pub after: Position,
    /// Up to this position; the start if the source does not know all changes of any span.
    pub through: Position,
    /// Whether the update lists everything; what it lacks is not in the store.
    pub complete: bool,
    /// Whether targets that came and went in the span may be missing, as the source knows
    /// a part of it by a listing alone.
    pub skips: bool,
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
        /// The position of its write.
        position: Position,
    },
    /// A target's record appeared or changed.
    Target {
        /// The target's identifier.
        id: String,
        /// The record now known.
        record: TargetRecord,
        /// Whether it is another life of a target that was known.
        restarted: bool,
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

/// How far a daemon has come to terms with the newest era of the store.
#[derive(Clone, Copy, Debug, Default)]
struct EraHold {
    /// The newest era heard of, from whomever.
    newest: u64,
    /// Up to here its entries may be those of the copy that it began with; all of them
    /// while this daemon knows no position of it.
    began_with: Option<u64>,
    /// The earliest time at which its word is taken against what was known before; none
    /// once all is settled.
    until: Option<Millis>,
}

impl EraHold {
    fn is_on(&self) -> bool {
        self.until.is_some()
    }

    /// The position up to which the era's word is held back; none once it is not.
    fn held_through(&self) -> Option<Position> {
        let revision = self.began_with.unwrap_or(u64::MAX);
        self.until.map(|_| Position::new(self.newest, revision))
    }
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
    /// Removals up to this position are not all known.
    forgotten_through: Position,
    /// Spans, each from one position to before another, of which a listing told the outcome
    /// alone: what went in them is not fully known here.
    gaps: VecDeque<(Position, Position)>,
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
            forgotten_through: Position::default(),
            gaps: VecDeque::new(),
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
            self.note_gap(update.through);
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
        let is_due = self.era.until.is_some_and(|until| self.is_hold_over(until, now));
        if !is_due {
            return changes;
        }
        for entry in self.targets.values_mut() {
            let has_changed = entry.settle(self.position.era, now);
            if has_changed {
                changes.push(change_of(&entry.target, false));
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
        let is_in = |gap: &(Position, Position)| (gap.0..gap.1).contains(&after);
        let complete = after.is_start()
            || after.era != self.position.era
            || after < self.forgotten_through
            || self.gaps.iter().any(is_in);
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
            skips: self.gaps.iter().any(|gap| gap.1 > after),
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

    /// The hold ends with a word of the store from after it: what writers did meanwhile is
    /// known then. A daemon that hears nothing goes on with what it knew, but not for ever.
    fn is_hold_over(&self, until: Millis, now: Millis) -> bool {
        let is_confirmed = self.position.era == self.era.newest
            && self.confirmed_at.is_some_and(|at| at >= signed(until));
        is_confirmed || now >= until + LONGEST_HOLDS * self.hold_ms
    }

    fn learn_eras(&mut self, update: &Update, now: Millis) {
        let eras = update.targets.iter().map(|target| target.position.era);
        let newest = eras.fold(update.through.era, u64::max);
        self.learn_era(newest, now);
    }

    /// A listing tells nothing of targets that came and went since the known position, nor
    /// of what was left out there as a word of the past. A peer that stands in between may
    /// know such a target, and must be told all: after a lost history each daemon once.
    fn note_gap(&mut self, through: Position) {
        if self.position.is_start() {
            self.forgotten_through = self.forgotten_through.max(through);
        } else if through > self.position {
            self.gaps.push_back((self.position, through));
        }
        if self.gaps.len() > MOST_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.forgotten_through = self.forgotten_through.max(end);
        }
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
            changes.push(change_of(&offered, false));
            self.targets.insert(offered.id.clone(), TargetEntry::new(offered, now));
            return;
        };
        let incarnation = |entry: &TargetEntry| {
            entry.target.record.as_ref().and_then(|record| record.incarnation)
        };
        let before = incarnation(entry);
        if entry.take(offered, held_through, now) {
            let restarted = before.is_some() && before != incarnation(entry);
            changes.push(change_of(&entry.target, restarted));
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
        let mut forgotten_through = self.forgotten_through;
        self.targets.retain(|_, entry| {
            let age = now.saturating_sub(entry.learned_at);
            let keep = entry.target.present || age < REMOVED_TARGET_LIFETIME_MS;
            if !keep {
                forgotten_through = forgotten_through.max(entry.target.position);
            }
            keep
        });
        self.forgotten_through = forgotten_through;
    }
}

fn change_of(target: &VersionedTarget, restarted: bool) -> Change {
    let id = target.id.clone();
    match (&target.record, target.present) {
        (Some(record), true) => Change::Target { id, record: record.clone(), restarted },
        (record, _) => Change::Removed { id, record: record.clone() },
    }
}

/// A time or span as a signed number; one too long for that counts as endless.
fn signed(millis: Millis) -> i64 {
    i64::try_from(millis).unwrap_or(i64::MAX)
}
