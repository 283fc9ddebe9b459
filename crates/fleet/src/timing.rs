//! Timeouts and intervals derived from the time bounds of a deployment.

use crate::Millis;

/// Bound assumed for a deployment that does not configure one.
const DEFAULT_BOUND_MS: Millis = 3_000;
/// Time between renewals of a target's record that is assumed if it is not configured.
const DEFAULT_RENEWAL_MS: Millis = 1_100;
/// Minimum and maximum wait of a watch.
const WATCH_WAIT_RANGE_MS: (Millis, Millis) = (150, 1_000);
/// Number of watch waits in the tightest bound. It is chosen so that a reader that fails at the
/// worst moment is replaced in time: the last of many balancers starts to read after 1.83 watch
/// waits, which is 0.61 of the bound.
const WATCH_WAITS_PER_BOUND: u64 = 3;

/// The time bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Milliseconds within which a configuration takes effect.
    pub change_ms: Millis,
    /// Milliseconds after which a draining or leaving target gets no new flows.
    pub drain_ms: Millis,
    /// Milliseconds after which the targets of an evacuated zone get no new flows.
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

/// Timeouts and intervals that keep the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Maximum wait of a watch. An answer without changes confirms the known state.
    pub watch_wait_ms: Millis,
    /// Minimum time between two watches, so that changes in quick succession share a call.
    pub min_watch_interval_ms: Millis,
    /// Age of the known state from which a balancer reads the store itself. It exceeds the wait of
    /// a watch, so that no second balancer starts to read while a reader works.
    pub read_after_ms: Millis,
    /// Additional delay for each balancer with a lower address.
    pub rank_delay_ms: Millis,
    /// Maximum of that delay.
    pub max_rank_delay_ms: Millis,
    /// How long a peer's report that it reads the store is valid.
    pub reader_report_lifetime_ms: Millis,
    /// Age up to which the known state is fresh enough to refuse flows based on it.
    pub fresh_ms: Millis,
    /// Age from which the known state is considered stale.
    pub stale_ms: Millis,
    /// How long targets without a record may get flows after the known state became fresh again;
    /// targets that are alive have renewed their records by then. This is also the hold period
    /// during which a store restored from a backup does not override what was known before.
    pub renewal_grace_ms: Millis,
    /// How long a target whose record disappeared without notice may still get flows if its service
    /// has no other target.
    pub vanished_grace_ms: Millis,
}

impl Timing {
    /// Derives the timeouts and intervals from the bounds.
    pub fn new(bounds: &Bounds) -> Self {
        let tightest_bound = bounds.change_ms.min(bounds.drain_ms).min(bounds.evacuation_ms);
        let wait = (tightest_bound / WATCH_WAITS_PER_BOUND)
            .clamp(WATCH_WAIT_RANGE_MS.0, WATCH_WAIT_RANGE_MS.1);
        // Two renewals, as one may be lost, within the bound on leaving targets.
        let renewal_time = bounds.renewal_ms * 9 / 4;
        Self {
            watch_wait_ms: wait,
            min_watch_interval_ms: wait / 4,
            read_after_ms: wait * 27 / 20,
            rank_delay_ms: wait * 12 / 100,
            max_rank_delay_ms: wait * 48 / 100,
            reader_report_lifetime_ms: wait * 13 / 10,
            fresh_ms: wait * 18 / 10,
            stale_ms: wait * 5 / 2,
            renewal_grace_ms: renewal_time.min(bounds.drain_ms * 5 / 6),
            vanished_grace_ms: bounds.drain_ms / 2,
        }
    }
}

impl Default for Timing {
    fn default() -> Self {
        Self::new(&Bounds::default())
    }
}
