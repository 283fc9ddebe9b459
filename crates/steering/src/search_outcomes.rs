//! Tracks whether the latest searches found a holder, which decides how the next search begins.
//!
//! A balancer that has restarted finds nearly all flows near the front of their search order, so
//! that one path of a few agents is enough as the first wave. After targets have lost their flows,
//! no search finds a holder, and waves of growing size only delay the reset to the client.

use weirhinge_fleet::Millis;

/// Unsuccessful searches among the latest 16 from which on all targets are asked at once.
const MOSTLY_UNSUCCESSFUL: u32 = 12;
/// Age at which outcomes are no longer taken into account.
const LIFETIME_MS: Millis = 3_000;

/// The outcomes of the latest 16 searches.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SearchOutcomes {
    /// One bit per search, set if the search was unsuccessful.
    unsuccessful: u16,
    latest_at: Millis,
}

impl SearchOutcomes {
    /// Records the outcome of a search.
    pub(crate) fn note(&mut self, unsuccessful: bool, now: Millis) {
        if now.saturating_sub(self.latest_at) >= LIFETIME_MS {
            self.unsuccessful = 0;
        }
        self.unsuccessful = self.unsuccessful << 1 | u16::from(unsuccessful);
        self.latest_at = now;
    }

    /// Whether the next search will most likely be unsuccessful too.
    pub(crate) fn are_mostly_unsuccessful(&self, now: Millis) -> bool {
        let is_recent = now.saturating_sub(self.latest_at) < LIFETIME_MS;
        is_recent && self.unsuccessful.count_ones() >= MOSTLY_UNSUCCESSFUL
    }
}
