//! Rate limit on new flows of a cold target, that is, one that is still slow after its start.

use std::collections::VecDeque;

use weirhinge_fleet::Millis;

/// Length of the sliding window over which new flows are counted.
const WINDOW_MS: Millis = 1_000;

/// Rate of new flows for a cold target, from its service's configuration and the bounds of the
/// deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartRate {
    /// New flows per second that the target can take, at least 1.
    pub per_second: u32,
    /// New flows admitted in the first second after the agent's own start. The flows that the
    /// previous agent process admitted in that second are unknown, and both processes together must
    /// keep within the bound.
    pub first_second: u32,
}

impl ColdStartRate {
    /// Returns the rate for a target that can take `per_second` new flows, where no second may
    /// bring more than `per_second * overshoot + slack`. Returns `None` if the service has no
    /// limit.
    pub fn new(per_second: u32, overshoot: f64, slack: f64) -> Option<Self> {
        if per_second == 0 {
            return None;
        }
        // Float-to-integer casts saturate.
        let max_per_second = ((f64::from(per_second) * overshoot + slack).floor() as u32).max(1);
        let first_second = max_per_second.saturating_sub(per_second).clamp(1, per_second);
        Some(Self { per_second: per_second.min(max_per_second), first_second })
    }
}

/// Counts the new flows of the last second. The agent does this because only it sees the flows of
/// all balancers.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdStart {
    rate: Option<ColdStartRate>,
    cold_until: Millis,
    admitted_at: VecDeque<Millis>,
}

impl ColdStart {
    /// Sets the limit and the time until which it applies.
    pub(super) fn configure(&mut self, rate: Option<ColdStartRate>, cold_until: Millis) {
        self.rate = rate;
        self.cold_until = cold_until;
    }

    /// Whether the limit allows one more new flow in addition to `reserved` grants.
    pub(super) fn allows(&self, reserved: u32, now: Millis) -> bool {
        let Some(rate) = self.rate.filter(|_| now < self.cold_until) else { return true };
        let limit = if now < WINDOW_MS { rate.first_second } else { rate.per_second };
        let is_recent = |at: &&Millis| now.saturating_sub(**at) < WINDOW_MS;
        let recent = self.admitted_at.iter().rev().take_while(is_recent).count();
        recent + (reserved as usize) < limit as usize
    }

    /// Counts a new flow. Flows are counted before the target is cold as well, because the window
    /// reaches back.
    pub(super) fn record_admission(&mut self, now: Millis) {
        if self.rate.is_none() {
            return;
        }
        while self.admitted_at.front().is_some_and(|at| now.saturating_sub(*at) >= WINDOW_MS) {
            self.admitted_at.pop_front();
        }
        self.admitted_at.push_back(now);
    }
}
