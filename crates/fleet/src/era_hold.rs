//! The time after the store came back from a copy in which it is not believed against what
//! was known before.

use crate::Millis;
use crate::position::Position;

/// Holds after which a daemon that heard nothing of the store since takes its last word: it
/// has been cut off for some 12 s then, or is an agent, which follows configurations alone.
const LONGEST_HOLDS: u64 = 4;
/// How far a daemon has come to terms with the newest era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EraHold {
    /// The newest era heard of, from whomever.
    pub(crate) newest: u64,
    /// Up to here its entries may be those of the copy that it began with; all of them
    /// while this daemon knows no position of it.
    pub(crate) began_with: Option<u64>,
    /// The earliest time at which its word is taken against what was known before; none
    /// once all is settled.
    pub(crate) until: Option<Millis>,
}

impl EraHold {
    /// Whether a new era's word is held back.
    pub(crate) fn is_on(&self) -> bool {
        self.until.is_some()
    }

    /// The position up to which the era's word is held back; none once it is not.
    pub(crate) fn held_through(&self) -> Option<Position> {
        let revision = self.began_with.unwrap_or(u64::MAX);
        self.until.map(|_| Position::new(self.newest, revision))
    }

    /// Whether the hold, of at least `hold_ms`, is over. It ends with a word of the store from
    /// after it: what writers did meanwhile is known then. A daemon that hears nothing goes on
    /// with what it knew, but not for ever. `confirmed_at` is when the store last confirmed
    /// what is known of its newest era, on this process's clock.
    pub(crate) fn is_over(&self, hold_ms: Millis, confirmed_at: Option<i64>, now: Millis) -> bool {
        let Some(until) = self.until else { return false };
        let is_confirmed = confirmed_at.is_some_and(|at| i128::from(at) >= i128::from(until));
        is_confirmed || now >= until + LONGEST_HOLDS * hold_ms
    }
}
