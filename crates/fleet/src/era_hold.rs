//! The hold period after a restore of the store from a backup. Until it ends, restored entries do
//! not override what was known before.

use crate::Millis;
use crate::position::Position;

/// Number of further hold periods after which a daemon without confirmation from the store accepts
/// the last state it received. By then it has been disconnected for about 12 s, or it is an agent,
/// which follows only configurations.
const MAX_EXTRA_HOLD_PERIODS: u64 = 4;

/// State of the hold period for the newest era of the store.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EraHold {
    /// The newest era reported by any source.
    pub(crate) newest: u64,
    /// The revision up to which the era's entries may come from the backup that it started from;
    /// none while this daemon knows no position of the era, in which case all may.
    pub(crate) backup_revision: Option<u64>,
    /// The earliest time at which the era's entries override what was known before; none if no hold
    /// period is active.
    pub(crate) until: Option<Millis>,
}

impl EraHold {
    /// Whether a hold period is active.
    pub(crate) fn is_active(&self) -> bool {
        self.until.is_some()
    }

    /// Returns the position up to which the era's entries are held back; none if no hold period is
    /// active.
    pub(crate) fn held_through(&self) -> Option<Position> {
        let revision = self.backup_revision.unwrap_or(u64::MAX);
        self.until.map(|_| Position::new(self.newest, revision))
    }

    /// Whether the hold period, which lasts at least `hold_ms`, is over. It ends when the store has
    /// confirmed the daemon's state after that time, since all writes made in the meantime are
    /// known then. A daemon without such a confirmation keeps its earlier state, for
    /// [`MAX_EXTRA_HOLD_PERIODS`] further periods at most. `confirmed_at` is the time on this
    /// process's clock at which the store last confirmed the state of its newest era.
    pub(crate) fn is_over(&self, hold_ms: Millis, confirmed_at: Option<i64>, now: Millis) -> bool {
        let Some(until) = self.until else { return false };
        let is_confirmed = confirmed_at.is_some_and(|at| i128::from(at) >= i128::from(until));
        is_confirmed || now >= until + MAX_EXTRA_HOLD_PERIODS * hold_ms
    }
}
