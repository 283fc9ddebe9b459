//! How many new flows a target gets in a second while it is slow from its start.

use std::collections::VecDeque;

use weirhinge_fleet::Millis;

/// Length of the sliding window in which new flows are counted.
const WINDOW_MS: Millis = 1_000;

/// What a cold target bears, as its service's configuration and the deployment's bounds say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartRate {
    /// New flows a second that the target bears, at least 1.
    pub per_second: u32,
    /// New flows that the agent may let through in the first second of its own life: those
    /// of the process before it are not known, and both together must keep the bound.
    pub first_second: u32,
}

impl ColdStartRate {
    /// The rate for a target that bears `per_second`, where a second may never bring more
    /// than `per_second` times `overshoot` and `slack`. None if the service has no limit.
    pub fn new(per_second: u32, overshoot: f64, slack: f64) -> Option<Self> {
        if per_second == 0 {
            return None;
        }
        // A cast of a float saturates at the bounds of the integer.
        let most = ((f64::from(per_second) * overshoot + slack).floor() as u32).max(1);
        let first_second = most.saturating_sub(per_second).clamp(1, per_second);
        Some(Self { per_second: per_second.min(most), first_second })
    }
}

/// Counts the new flows of the last second. Only the agent sees those of all balancers.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdStart {
    rate: Option<ColdStartRate>,
    cold_until: Millis,
    admitted: VecDeque<Millis>,
}

impl ColdStart {
    /// Takes over the limit and until when it holds.
    pub(super) fn set(&mut self, rate: Option<ColdStartRate>, cold_until: Millis) {
        self.rate = rate;
        self.cold_until = cold_until;
    }

    /// Whether one more new flow is within the limit, beside those that room is kept for.
    pub(super) fn admits(&self, kept: u32, now: Millis) -> bool {
        let Some(rate) = self.rate.filter(|_| now < self.cold_until) else { return true };
        let limit = if now < WINDOW_MS { rate.first_second } else { rate.per_second };
        let is_recent = |at: &&Millis| now.saturating_sub(**at) < WINDOW_MS;
        let recent = self.admitted.iter().rev().take_while(is_recent).count();
        recent + (kept as usize) < limit as usize
    }

    /// Counts a new flow. Also before the target is cold: the window reaches back.
    pub(super) fn admitted(&mut self, now: Millis) {
        if self.rate.is_none() {
            return;
        }
        while self.admitted.front().is_some_and(|at| now.saturating_sub(*at) >= WINDOW_MS) {
            self.admitted.pop_front();
        }
        self.admitted.push_back(now);
    }
}
