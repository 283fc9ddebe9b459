//! Which of several claims about one target counts.
//!
//! Within one era of the store the claim with the later position counts: the store orders
//! all writes. Across eras it does not, as a store that came back from a copy states, in
//! the newer era, what was true some seconds before the last words of the older one. There
//! the target's own counts decide: a target that said it drains keeps draining for as long
//! as it lives, the higher sequence is the later word, and an incarnation that is known to
//! have ended stays ended. What neither settles is held in dispute for a bounded time, in
//! which a living target writes again and the store drops a silent one; then the newer era
//! is taken at its word, so that no doubt lasts.

use musli::{Decode, Encode};

use crate::Millis;
use crate::model::{TargetRecord, TargetState};
use crate::position::Position;

/// Ended incarnations remembered of one target, 8 bytes each. A claim of an older one
/// would have to be as many restarts late.
const ENDED_REMEMBERED: usize = 4;

/// The latest known change of one target's record.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct VersionedTarget {
    /// The target's identifier in the store.
    pub id: String,
    /// The position of the change, or for a removal found by its absence the position at
    /// which it was absent.
    pub position: Position,
    /// Whether the record is still in the store.
    pub present: bool,
    /// The record, or the last one known of a removed target.
    pub record: Option<TargetRecord>,
}

impl VersionedTarget {
    fn incarnation(&self) -> Option<u64> {
        self.record.as_ref().and_then(|record| record.incarnation)
    }

    /// Whether both are about one life of the target, as far as is known.
    fn shares_life_with(&self, other: &Self) -> bool {
        self.record.is_some() && other.record.is_some() && self.incarnation() == other.incarnation()
    }

    /// The later of two claims by the store's order. At one position a removal wins: a
    /// complete list proves the absence of a target at the very position of its latest
    /// change only if that change was the removal.
    fn supersedes(&self, known: &Self) -> bool {
        match self.position.cmp(&known.position) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => known.present && !self.present,
            std::cmp::Ordering::Less => false,
        }
    }

    /// Whether this claim, of a newer era, may have been made before `older`: it is among
    /// those that the era began with, and brings back what had left, or another life.
    fn may_predate(&self, older: &Self, era_began_with: Position) -> bool {
        let is_of_newer_era = self.position.era > older.position.era;
        if !self.present || !is_of_newer_era || self.position > era_began_with {
            return false;
        }
        let (Some(record), Some(before)) = (&self.record, &older.record) else { return false };
        if self.shares_life_with(older) {
            return !older.present && record.sequence <= before.sequence;
        }
        record.incarnation.is_some() && before.incarnation.is_some()
    }

    /// This claim, made after `older`, with what stays true of `older`.
    fn after(mut self, older: &Self) -> Self {
        let Some(before) = &older.record else { return self };
        if !self.present && !self.shares_life_with(older) {
            self.record = Some(before.clone());
            return self;
        }
        let is_newer_era = self.position.era > older.position.era;
        let shares_life = self.shares_life_with(older);
        if let Some(record) = self.record.as_mut().filter(|_| shares_life) {
            let leaves = [&*record, before].iter().any(|one| one.state == TargetState::Draining);
            if is_newer_era && before.sequence > record.sequence {
                record.clone_from(before);
            }
            if leaves {
                record.state = TargetState::Draining;
            }
        }
        self
    }
}

/// What is believed of one target, and when this daemon learned of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The latest change that counts.
    pub target: VersionedTarget,
    /// When this daemon learned of the change.
    pub learned_at: Millis,
    /// What a newer era of the store states against it.
    disputed: Option<VersionedTarget>,
    /// Incarnations that others followed within one era, the latest last.
    ended: Vec<u64>,
}

impl TargetEntry {
    /// An entry for a target that was not known.
    pub(crate) fn new(target: VersionedTarget, now: Millis) -> Self {
        Self { target, learned_at: now, disputed: None, ended: Vec::new() }
    }

    /// Whether a newer era of the store states something else, and both are held.
    pub(crate) fn is_disputed(&self) -> bool {
        self.disputed.is_some()
    }

    /// All claims that a peer needs to believe the same.
    pub(crate) fn claims(&self) -> impl Iterator<Item = &VersionedTarget> {
        std::iter::once(&self.target).chain(&self.disputed)
    }

    /// Takes in a further claim. While a new era's word is held back, `era_began_with` is the
    /// position up to which its claims may be those of the copy. Returns whether what is
    /// believed changed.
    pub(crate) fn take(
        &mut self,
        offered: VersionedTarget,
        era_began_with: Option<Position>,
        now: Millis,
    ) -> bool {
        let before = self.target.clone();
        match self.disputed.take() {
            Some(disputed) if offered.position.era >= disputed.position.era => {
                let latest = if offered.supersedes(&disputed) { offered } else { disputed };
                self.weigh(latest, era_began_with);
            }
            disputed => {
                self.weigh(offered, era_began_with);
                if let Some(disputed) = disputed {
                    self.weigh(disputed, era_began_with);
                }
            }
        }
        self.note_change(&before, now)
    }

    /// Ends a dispute: what the newer era states, and was not taken back since, counts, and
    /// what `era` did not renew is gone. Returns whether what is believed changed.
    pub(crate) fn settle(&mut self, era: u64, now: Millis) -> bool {
        let before = self.target.clone();
        if let Some(disputed) = self.disputed.take() {
            self.weigh(disputed, None);
        }
        self.target.present &= self.target.position.era >= era;
        self.note_change(&before, now)
    }

    fn weigh(&mut self, offered: VersionedTarget, era_began_with: Option<Position>) {
        if offered.present && self.has_ended(&offered) {
            // It is never believed, but kept until the store drops it: peers that do believe
            // it are to hear of that.
            let is_of_newer_era = offered.position.era > self.target.position.era;
            self.disputed = Some(offered).filter(|_| is_of_newer_era);
            return;
        }
        let known = self.target.clone();
        let is_late = !offered.supersedes(&known);
        let (older, newer) = if is_late { (offered, known) } else { (known, offered) };
        // Another life that a peer knew in an earlier era ends none that is believed here.
        let is_open = !is_late || newer.shares_life_with(&older);
        let may_predate = |began_with| newer.may_predate(&older, began_with);
        if is_open && era_began_with.is_some_and(may_predate) {
            self.target = older;
            self.disputed = Some(newer);
            return;
        }
        self.note_end(&older, &newer);
        self.target = newer.after(&older);
    }

    fn has_ended(&self, claim: &VersionedTarget) -> bool {
        claim.incarnation().is_some_and(|began| self.ended.contains(&began))
    }

    /// Remembers an incarnation that another one followed. The store orders the two only
    /// within one era.
    fn note_end(&mut self, older: &VersionedTarget, newer: &VersionedTarget) {
        let is_ordered = older.position.era == newer.position.era;
        // A removal brings the last record that its source knew, which may be an older one.
        let follows = newer.present && older.incarnation() != newer.incarnation();
        let Some(ended) = older.incarnation().filter(|_| is_ordered && follows) else { return };
        if self.ended.contains(&ended) {
            return;
        }
        if self.ended.len() == ENDED_REMEMBERED {
            self.ended.remove(0);
        }
        self.ended.push(ended);
    }

    /// A listing of a newer era, or a renewal, that repeats what is known is no change:
    /// nothing is learned of the target by it.
    fn note_change(&mut self, before: &VersionedTarget, now: Millis) -> bool {
        let content = |record: &Option<TargetRecord>| {
            record.clone().map(|record| TargetRecord { sequence: 0, ..record })
        };
        let is_same = before.present == self.target.present
            && content(&before.record) == content(&self.target.record);
        if !is_same {
            self.learned_at = now;
        }
        !is_same
    }
}
