//! Of which spans of the store's history this daemon knows all removals.

use std::collections::VecDeque;

use crate::position::Position;

/// Most spans remembered of which a listing told the outcome alone, 32 bytes each; peers
/// that stand before a span that was forgotten are told all.
const MOST_GAPS: usize = 4;
/// The spans of which removals are not all known: those that were forgotten, and those that a
/// listing passed over, which tells nothing of targets that came and went.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovalHistory {
    /// Removals up to this position are not all known.
    forgotten_through: Position,
    /// Spans, each from one position to before another, of which a listing told the outcome
    /// alone: what went in them is not fully known here.
    gaps: VecDeque<(Position, Position)>,
}

impl RemovalHistory {
    /// Notes that removals up to a position are not remembered any more.
    pub(crate) fn forget_through(&mut self, position: Position) {
        self.forgotten_through = self.forgotten_through.max(position);
    }

    /// Notes that a listing led from one position to another. Targets that came and went
    /// between them are not known, nor what was left out there as a word of the past.
    pub(crate) fn skip(&mut self, from: Position, through: Position) {
        if from.is_start() {
            self.forget_through(through);
        } else if through > from {
            self.gaps.push_back((from, through));
        }
        if self.gaps.len() > MOST_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.forget_through(end);
        }
    }

    /// Whether changes after a position are not enough for a peer that stands there: it may
    /// know a target whose removal is not known here. After a lost history that is each
    /// daemon once.
    pub(crate) fn is_incomplete_after(&self, after: Position) -> bool {
        let holds = |gap: &(Position, Position)| (gap.0..gap.1).contains(&after);
        after < self.forgotten_through || self.gaps.iter().any(holds)
    }

    /// Whether the span from a position to now has a gap.
    pub(crate) fn has_gap_after(&self, after: Position) -> bool {
        self.gaps.iter().any(|gap| gap.1 > after)
    }
}
