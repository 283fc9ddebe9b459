//! Waits that follow from the bounds of a deployment.

use crate::Millis;

/// Bound on a change that a deployment without one is taken to have.
const DEFAULT_BOUND_MS: Millis = 3_000;
/// Time between renewals of a target's record that is assumed where none is told.
const DEFAULT_RENEWAL_MS: Millis = 1_100;
/// Shortest and longest wait of a watch.
const WATCH_WAITS_MS: (Millis, Millis) = (150, 1_000);
/// Part of the tighter bound that a watch waits, so that a reader which fails at
/// the worst moment is replaced in time: the last of many balancers begins to read
/// after 1.83 waits, 0.61 of the bound.
const WATCHES_A_BOUND: u64 = 3;

/// What a deployment promises to its users.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Milliseconds within which a configuration is in force.
    pub change_ms: Millis,
    /// Milliseconds after which a leaving target gets no new flow.
    pub drain_ms: Millis,
    /// Milliseconds after which the targets of an evacuated zone get no new flow.
    pub evacuation_ms: Millis,
    /// Milliseconds between renewals of a target's record.
    pub renewal_ms: Millis,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            change_ms: DEFAULT_BOUND_MS,
            drain_ms: DEFAULT_BOUND_MS,
            evacuation_ms: DEFAULT_BOUND_MS,
            renewal_ms: DEFAULT_RENEWAL_MS,
        }
    }
}

/// Waits that keep the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Longest wait of one watch; an answer without changes confirms what is known.
    pub watch_wait_ms: Millis,
    /// Shortest time from one watch to the next, so that changes in quick
    /// succession share a call.
    pub watch_spacing_ms: Millis,
    /// Knowledge older than this is worth a call of one's own. Above the wait of a
    /// watch, so that a working reader is never doubled.
    pub read_after_ms: Millis,
    /// Time that each balancer leaves to the one before it.
    pub rank_step_ms: Millis,
    /// Longest such time.
    pub longest_rank_wait_ms: Millis,
    /// How long a reader's word that it reads counts.
    pub reader_word_ms: Millis,
    /// Knowledge younger than this is recent enough to refuse a flow by.
    pub fresh_ms: Millis,
    /// Knowledge older than this counts as lost.
    pub stale_ms: Millis,
    /// How long targets without a record may take flows after the store's word
    /// became fresh again: living ones have renewed their records by then. For as long,
    /// a store that came back from a copy is not believed against what was known before.
    pub settle_ms: Millis,
    /// How long a target whose record left without a word may take flows when its
    /// service has no other.
    pub vanished_grace_ms: Millis,
}

impl Timing {
    /// The waits for these bounds.
    pub fn new(bounds: &Bounds) -> Self {
        let tighter = bounds.change_ms.min(bounds.drain_ms).min(bounds.evacuation_ms);
        let wait = (tighter / WATCHES_A_BOUND).clamp(WATCH_WAITS_MS.0, WATCH_WAITS_MS.1);
        // Two renewals, as one may be lost, within the bound on leaving targets.
        let renewed = bounds.renewal_ms * 9 / 4;
        Self {
            watch_wait_ms: wait,
            watch_spacing_ms: wait / 4,
            read_after_ms: wait * 27 / 20,
            rank_step_ms: wait * 12 / 100,
            longest_rank_wait_ms: wait * 48 / 100,
            reader_word_ms: wait * 13 / 10,
            fresh_ms: wait * 18 / 10,
            stale_ms: wait * 5 / 2,
            settle_ms: renewed.min(bounds.drain_ms * 5 / 6),
            vanished_grace_ms: bounds.drain_ms / 2,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::new(&Bounds::default())
    }
}
