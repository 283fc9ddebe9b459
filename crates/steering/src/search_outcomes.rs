//! How the latest searches ended, which tells how the next one should begin.
//!
//! A balancer that has lost its memory finds nearly all flows near the front of their
//! order, and a first row of a few agents is enough. After targets have lost theirs, no
//! flow is found anywhere, and a search that asks in waves of growing size only takes
//! longer until its client is told.

use weirhinge_fleet::Millis;

/// Searches in vain among the latest 16 that call for asking all at once.
const MOSTLY_IN_VAIN: u32 = 12;
/// Outcomes older than this tell nothing any more.
const LIFETIME_MS: Millis = 3_000;

/// The latest 16 outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SearchOutcomes {
    /// A set bit for each search in vain.
    in_vain: u16,
    latest_at: Millis,
}

impl SearchOutcomes {
    /// Notes an outcome.
    pub(crate) fn note(&mut self, in_vain: bool, now: Millis) {
        if now.saturating_sub(self.latest_at) >= LIFETIME_MS {
            self.in_vain = 0;
        }
        self.in_vain = self.in_vain << 1 | u16::from(in_vain);
        self.latest_at = now;
    }

    /// Whether the next search will most likely find nothing either.
    pub(crate) fn are_mostly_in_vain(&self, now: Millis) -> bool {
        let is_recent = now.saturating_sub(self.latest_at) < LIFETIME_MS;
        is_recent && self.in_vain.count_ones() >= MOSTLY_IN_VAIN
    }
}
