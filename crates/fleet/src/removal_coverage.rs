//! Tracks for how long this daemon has known all removals of targets.

use crate::Millis;
use crate::position::Position;
use crate::removed_target::REMOVED_TARGET_LIFETIME_MS;
use crate::update::Update;

/// Time for which all removals must be known before a daemon relies on knowing every target that may
/// hold a flow. The agents of targets that were removed earlier have reported to it by then: within
/// two seconds an agent asks a silent balancer for a digest and so learns of the others, and it
/// sends its own digest every half second.
const MIN_COVERAGE_MS: Millis = 3_000;

/// The time for which this daemon has known all removals of targets. A listing of the store does not
/// show which targets were removed before it; only peers know them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RemovalCoverage {
    /// The position of the first complete state; none before it.
    began_at: Option<Position>,
    /// Since when all removals are known, on this process's clock. It is negative for a time before
    /// the process started.
    known_since: i64,
    /// Whether it was extended by a peer whose own coverage is sufficient.
    is_inherited: bool,
}

impl RemovalCoverage {
    /// Extends the coverage by what an update contains.
    pub(crate) fn note_update(&mut self, update: &Update, now: Millis) {
        let now = i64::try_from(now).unwrap_or(i64::MAX);
        if update.complete && self.began_at.is_none() {
            self.began_at = Some(update.through);
            self.known_since = now;
        }
        // A peer at an earlier position lacks the removals between that position and the listing.
        let is_connected = self.began_at.is_some_and(|began_at| update.through >= began_at);
        let Some(known_ms) = update.removals_known_ms.filter(|_| is_connected) else { return };
        let known_since = now.saturating_sub_unsigned(known_ms);
        self.known_since = self.known_since.min(known_since);
        self.is_inherited |= known_ms >= MIN_COVERAGE_MS;
    }

    /// Returns the milliseconds for which all removals have been known; none before the first
    /// complete state.
    pub(crate) fn known_ms(&self, now: Millis) -> Option<Millis> {
        let now = i64::try_from(now).unwrap_or(i64::MAX);
        self.began_at.map(|_| now.saturating_sub(self.known_since).max(0).unsigned_abs())
    }

    /// Whether the coverage is sufficient to rely on knowing every target that may hold a flow.
    pub(crate) fn is_sufficient(&self, now: Millis) -> bool {
        self.known_ms(now).is_some_and(|known_ms| known_ms >= MIN_COVERAGE_MS)
    }

    /// Whether a peer may know earlier removals that still matter.
    pub(crate) fn needs_peer(&self, now: Millis) -> bool {
        let is_complete =
            self.known_ms(now).is_some_and(|known_ms| known_ms >= REMOVED_TARGET_LIFETIME_MS);
        !self.is_inherited && !is_complete
    }

    /// Whether a peer whose state is at `position` knows all removals up to the beginning of this
    /// coverage.
    pub(crate) fn is_extended_by(&self, position: Position) -> bool {
        self.began_at.is_none_or(|began_at| position >= began_at)
    }
}
