//! Limit on a target's in-flight requests, above which new flows are not admitted.

use weirhinge_fleet::Millis;

/// In-flight requests, in percent of the target's slots, at which new flows are held back. A short
/// queue keeps the target busy; a longer one only adds latency.
const LIMIT_PERCENT: u32 = 125;
/// The same limit for flows of urgent routes. It is higher because requests on established flows
/// cannot be held back and would otherwise take precedence over urgent ones.
const URGENT_LIMIT_PERCENT: u32 = 200;
/// Initial and lowest limit of a target whose slot count is unknown. The count comes with the
/// target's record, which may be late: after all machines failed at once it is written a second
/// after the target takes requests, and later still while the store is down.
const MIN_ESTIMATE: u32 = 4;
/// Highest limit of a target whose slot count is unknown.
const MAX_ESTIMATE: u32 = 1_000;
/// Answers within this time show that the target queues few requests. Well below the latency
/// objective of interactive routes.
const FAST_ANSWER_MS: Millis = 120;
/// Answers slower than this show that requests queue at the target.
const SLOW_ANSWER_MS: Millis = 200;

/// Limits the target's in-flight requests, by its slot count or, if that is unknown, by an estimate
/// that adapts to answer times.
#[derive(Clone, Debug)]
pub(super) struct AdmissionLimit {
    /// Requests that the target processes concurrently, if known.
    slots: Option<u32>,
    /// Limit estimated while the slot count is unknown: additive increase and additive decrease
    /// around the load at which answers slow down.
    estimate: u32,
}

impl AdmissionLimit {
    /// Whether the target's slot count is known.
    pub(super) fn has_known_slots(&self) -> bool {
        self.slots.is_some()
    }

    /// Sets the number of requests that the target processes concurrently.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots);
    }

    /// Adapts the estimate to an answer that took `took` with `load` requests in flight.
    pub(super) fn record_answer(&mut self, took: Millis, load: u32) {
        if took <= FAST_ANSWER_MS && load >= self.estimate {
            self.estimate = (self.estimate + 1).min(MAX_ESTIMATE);
        } else if took > SLOW_ANSWER_MS {
            self.estimate = (self.estimate - 1).max(MIN_ESTIMATE);
        }
    }

    /// Whether `load` in-flight requests leave no capacity for a new flow.
    pub(super) fn is_busy(&self, load: u32, urgent: bool) -> bool {
        let percent = if urgent { URGENT_LIMIT_PERCENT } else { LIMIT_PERCENT };
        let limit = match self.slots {
            Some(slots) => slots.saturating_mul(percent),
            None => self.estimate * 100 * percent / LIMIT_PERCENT,
        };
        load.saturating_mul(100) >= limit
    }
}

impl Default for AdmissionLimit {
    fn default() -> Self {
        Self { slots: None, estimate: MIN_ESTIMATE }
    }
}
