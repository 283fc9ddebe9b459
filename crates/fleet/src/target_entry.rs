//! Resolution of conflicting versions of a target's record.
//!
//! Within one era of the store, the version with the later position wins, as the store orders all
//! writes. Across eras positions do not help: a store that was restored from a backup returns, in
//! the newer era, state that is some seconds older than the latest writes of the earlier era. There
//! the target's own data decides: a draining target keeps draining until its incarnation ends, the
//! higher sequence number is the later write, and an incarnation that is known to have ended stays
//! ended. What this leaves open is kept as a dispute for a bounded time, in which a live target
//! writes again and the store drops an unresponsive one; after that the newer era wins, so that
//! every dispute ends.

use musli::{Decode, Encode};

use crate::Millis;
use crate::model::{TargetRecord, TargetState};
use crate::position::Position;
use crate::removed_target::{REMOVED_TARGET_LIFETIME_MS, RemovedTarget};

/// Maximum number of ended incarnations remembered per target, 8 bytes each. A report of an older
/// one would have to be delayed by as many restarts.
const MAX_ENDED_INCARNATIONS: usize = 4;

/// A version of a target's record: its latest change known to the source.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionedTarget {
    /// The target's identifier in the store.
    pub id: String,
    /// The position of the change, or for a removal that was detected by a listing, the position of
    /// that listing.
    pub position: Position,
    /// Whether the record is in the store.
    pub present: bool,
    /// The record, or the last known record of a removed target.
    pub record: Option<TargetRecord>,
}

impl VersionedTarget {
    fn incarnation(&self) -> Option<u64> {
        self.record.as_ref().and_then(|record| record.incarnation)
    }

    /// Whether both versions are of the same incarnation, as far as is known.
    fn is_same_incarnation_as(&self, other: &Self) -> bool {
        self.record.is_some() && other.record.is_some() && self.incarnation() == other.incarnation()
    }

    /// Whether this version is later than `known` in the store's order. At equal positions a
    /// removal wins: a complete listing proves that a target is absent at the position of the
    /// target's latest change only if that change was the removal.
    fn supersedes(&self, known: &Self) -> bool {
        match self.position.cmp(&known.position) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => known.present && !self.present,
            std::cmp::Ordering::Less => false,
        }
    }

    /// Whether this version, of a newer era, may have been written before `older`. That is so if it
    /// may come from the backup that the era started from, and it restores a removed target or has
    /// another incarnation.
    fn may_predate(&self, older: &Self, backup_through: Position) -> bool {
        let is_of_newer_era = self.position.era > older.position.era;
        if !self.present || !is_of_newer_era || self.position > backup_through {
            return false;
        }
        let (Some(record), Some(before)) = (&self.record, &older.record) else { return false };
        if self.is_same_incarnation_as(older) {
            return !older.present && record.sequence <= before.sequence;
        }
        record.incarnation.is_some() && before.incarnation.is_some()
    }

    /// Returns this version with what remains true of `older`, which was written before it.
    fn merged_onto(mut self, older: &Self) -> Self {
        let Some(before) = &older.record else { return self };
        if !self.present && !self.is_same_incarnation_as(older) {
            self.record = Some(before.clone());
            return self;
        }
        let is_newer_era = self.position.era > older.position.era;
        let is_same_incarnation = self.is_same_incarnation_as(older);
        if let Some(record) = self.record.as_mut().filter(|_| is_same_incarnation) {
            let is_draining =
                [&*record, before].iter().any(|known| known.state == TargetState::Draining);
            if is_newer_era && before.sequence > record.sequence {
                record.clone_from(before);
            }
            if is_draining {
                record.state = TargetState::Draining;
            }
        }
        self
    }
}

/// The current state of one target, and when this daemon learned of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The version in effect.
    pub target: VersionedTarget,
    /// When this daemon learned of that version.
    pub learned_at: Millis,
    /// The contradicting version of a newer era of the store, while the conflict is unresolved.
    disputed: Option<VersionedTarget>,
    /// Incarnations that were followed by others within one era, the latest last.
    ended_incarnations: Vec<u64>,
    /// When the entry is dropped, if a peer reported the removal as one of an earlier time.
    earlier_removal_until: Option<Millis>,
}

impl TargetEntry {
    /// Creates an entry for a target that was not known.
    pub(crate) fn new(target: VersionedTarget, now: Millis) -> Self {
        Self {
            target,
            learned_at: now,
            disputed: None,
            ended_incarnations: Vec::new(),
            earlier_removal_until: None,
        }
    }

    /// Creates an entry for a target that was not known and was removed at an earlier time.
    pub(crate) fn removed_earlier(removed: RemovedTarget, now: Millis) -> Self {
        let earlier_removal_until = Some(now.saturating_add(removed.remaining_ms));
        Self { earlier_removal_until, ..Self::new(removed.target, now) }
    }

    /// Whether the target was removed before this daemon could learn of it, so that the time of the
    /// removal is unknown.
    pub fn was_removed_earlier(&self) -> bool {
        !self.target.present && self.earlier_removal_until.is_some()
    }

    /// Returns when a removed target is to be forgotten; none while the record is in the store.
    pub(crate) fn forget_at(&self) -> Option<Millis> {
        if self.target.present {
            return None;
        }
        let own_observation = self.learned_at.saturating_add(REMOVED_TARGET_LIFETIME_MS);
        Some(self.earlier_removal_until.unwrap_or(own_observation))
    }

    /// Returns the removal for a peer that may not know it; none if the target was not removed, its
    /// record is unknown, or the removal is disputed.
    pub(crate) fn as_removed(&self, now: Millis) -> Option<RemovedTarget> {
        let remaining_ms = self.forget_at()?.saturating_sub(now);
        let is_useful = remaining_ms > 0 && self.target.record.is_some() && !self.is_disputed();
        is_useful.then(|| RemovedTarget { target: self.target.clone(), remaining_ms })
    }

    /// Whether a newer era of the store contradicts the version in effect and both are kept.
    pub(crate) fn is_disputed(&self) -> bool {
        self.disputed.is_some()
    }

    /// Returns all versions that a peer needs to reach the same state.
    pub(crate) fn versions(&self) -> impl Iterator<Item = &VersionedTarget> {
        std::iter::once(&self.target).chain(&self.disputed)
    }

    /// Merges another version. During the hold period of a new era, `backup_through` is the
    /// position up to which its versions may come from the backup. Returns whether the state of the
    /// target changed.
    pub(crate) fn merge(
        &mut self,
        offered: VersionedTarget,
        backup_through: Option<Position>,
        now: Millis,
    ) -> bool {
        let before = self.target.clone();
        match self.disputed.take() {
            Some(disputed) if offered.position.era >= disputed.position.era => {
                let latest = if offered.supersedes(&disputed) { offered } else { disputed };
                self.merge_version(latest, backup_through);
            }
            disputed => {
                self.merge_version(offered, backup_through);
                if let Some(disputed) = disputed {
                    self.merge_version(disputed, backup_through);
                }
            }
        }
        self.update_learned_at(&before, now)
    }

    /// Merges a removal of an earlier time. Returns whether the state of the target changed.
    pub(crate) fn merge_removed(
        &mut self,
        removed: RemovedTarget,
        backup_through: Option<Position>,
        now: Millis,
    ) -> bool {
        let has_changed = self.merge(removed.target, backup_through, now);
        if has_changed && !self.target.present {
            self.earlier_removal_until = Some(now.saturating_add(removed.remaining_ms));
        }
        has_changed
    }

    /// Resolves a dispute in favor of the newer era, unless its version was removed since. A target
    /// whose record was not renewed in `era` is considered removed. Returns whether the state of
    /// the target changed.
    pub(crate) fn resolve_dispute(&mut self, era: u64, now: Millis) -> bool {
        let before = self.target.clone();
        if let Some(disputed) = self.disputed.take() {
            self.merge_version(disputed, None);
        }
        self.target.present &= self.target.position.era >= era;
        self.update_learned_at(&before, now)
    }

    fn merge_version(&mut self, offered: VersionedTarget, backup_through: Option<Position>) {
        if offered.present && self.has_ended(&offered) {
            // This version never takes effect, but it is kept until the store drops it: peers that
            // accepted it have to learn of the conflict.
            let is_of_newer_era = offered.position.era > self.target.position.era;
            self.disputed = Some(offered).filter(|_| is_of_newer_era);
            return;
        }
        let known = self.target.clone();
        let is_late = !offered.supersedes(&known);
        let (older, newer) = if is_late { (offered, known) } else { (known, offered) };
        // Another incarnation that a peer knew in an earlier era does not end the one in effect
        // here.
        let may_dispute = !is_late || newer.is_same_incarnation_as(&older);
        let may_predate = |backup_through| newer.may_predate(&older, backup_through);
        if may_dispute && backup_through.is_some_and(may_predate) {
            self.target = older;
            self.disputed = Some(newer);
            return;
        }
        self.record_ended(&older, &newer);
        self.target = newer.merged_onto(&older);
    }

    fn has_ended(&self, version: &VersionedTarget) -> bool {
        version
            .incarnation()
            .is_some_and(|incarnation| self.ended_incarnations.contains(&incarnation))
    }

    /// Remembers an incarnation that was followed by another one. The store orders the two only
    /// within one era.
    fn record_ended(&mut self, older: &VersionedTarget, newer: &VersionedTarget) {
        let is_ordered = older.position.era == newer.position.era;
        // A removal carries the last record that its source knew, which may be an older one.
        let follows = newer.present && older.incarnation() != newer.incarnation();
        let Some(ended) = older.incarnation().filter(|_| is_ordered && follows) else { return };
        if self.ended_incarnations.contains(&ended) {
            return;
        }
        if self.ended_incarnations.len() == MAX_ENDED_INCARNATIONS {
            self.ended_incarnations.remove(0);
        }
        self.ended_incarnations.push(ended);
    }

    /// Updates `learned_at` if the state of the target changed. A listing of a newer era or a
    /// renewal that repeats the known state is no change.
    fn update_learned_at(&mut self, before: &VersionedTarget, now: Millis) -> bool {
        let content = |record: &Option<TargetRecord>| {
            record.clone().map(|record| TargetRecord { sequence: 0, ..record })
        };
        let is_same = before.present == self.target.present
            && content(&before.record) == content(&self.target.record);
        if !is_same {
            self.learned_at = now;
            self.earlier_removal_until = None;
        }
        !is_same
    }
}
