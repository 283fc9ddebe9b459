//! Tracks for which ranges of the store's history this daemon knows all removals.

use std::collections::VecDeque;

use crate::position::Position;

/// Maximum number of gaps remembered, 32 bytes each. Peers at a position before a forgotten gap get
/// a complete update.
const MAX_GAPS: usize = 4;

/// The ranges of positions for which removals may be missing: those whose removals were forgotten,
/// and those bridged by a listing, which does not show targets that were added and removed in
/// between.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovalHistory {
    /// Removals up to this position may be missing.
    forgotten_through: Position,
    /// Ranges, each from a position (inclusive) to another (exclusive), that a listing bridged: the
    /// changes within them are not fully known.
    gaps: VecDeque<(Position, Position)>,
}

impl RemovalHistory {
    /// Records that removals up to a position are no longer remembered.
    pub(crate) fn forget_through(&mut self, position: Position) {
        self.forgotten_through = self.forgotten_through.max(position);
    }

    /// Records that a listing bridged the range between two positions. Targets that were added and
    /// removed in between are unknown, and so are entries that the listing omitted as outdated.
    pub(crate) fn add_gap(&mut self, from: Position, through: Position) {
        if from.is_start() {
            self.forget_through(through);
        } else if through > from {
            self.gaps.push_back((from, through));
        }
        if self.gaps.len() > MAX_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.forget_through(end);
        }
    }

    /// Whether the changes after a position are not sufficient for a peer at that position, because
    /// it may know a target whose removal is unknown here. After the store lost its history, this
    /// happens once for each daemon.
    pub(crate) fn is_incomplete_after(&self, after: Position) -> bool {
        let contains_after = |gap: &(Position, Position)| (gap.0..gap.1).contains(&after);
        after < self.forgotten_through || self.gaps.iter().any(contains_after)
    }

    /// Whether the range from a position to the present contains a gap.
    pub(crate) fn has_gap_after(&self, after: Position) -> bool {
        self.gaps.iter().any(|gap| gap.1 > after)
    }
}
