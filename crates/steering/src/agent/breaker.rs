//! A circuit breaker between an agent and its target, closed while the target answers successfully.
//!
//! A target whose requests fail immediately looks idle and attracts new flows. Only its agent sees
//! all of its answers, whichever balancer the requests came through, so the agent itself refuses
//! new flows and balancers need not agree on anything. A balancer that is refused by several such
//! agents has its opening packet admitted anyway, so that no target is excluded where most of them
//! fail.

use weirhinge_fleet::Millis;

/// Consecutive failures that open the breaker. Fewer may be caused by the requests themselves.
const CONSECUTIVE_FAILURE_THRESHOLD: u32 = 3;
/// Failures among the latest 16 answers that open the breaker, for targets that fail
/// intermittently.
const RECENT_FAILURE_THRESHOLD: u32 = 5;
/// Consecutive successes in the half-open state that close the breaker.
const TRIAL_SUCCESS_THRESHOLD: u32 = 3;
/// Initial and longest ejection, in milliseconds. The time doubles with each ejection that follows
/// before [`BACKOFF_RESET_MS`] has passed.
const EJECTION_BOUNDS_MS: (Millis, Millis) = (1_000, 16_000);
/// Time in the closed state after which the next ejection has the initial length again.
const BACKOFF_RESET_MS: Millis = 30_000;
/// Time to wait for the outcome of a trial flow before the next one may start.
const TRIAL_TIMEOUT_MS: Millis = 500;

/// A state change of the breaker, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// New flows are refused from now on.
    Opened {
        /// Consecutive failures.
        consecutive: u32,
        /// Failures among the latest 16 answers.
        recent: u32,
        /// Milliseconds until trial flows are admitted.
        span_ms: Millis,
    },
    /// New flows are admitted without restriction.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Closed since this time.
    Closed(Millis),
    /// Open until this time.
    Open(Millis),
    /// Trial flows are admitted one at a time.
    HalfOpen { successes: u32, next_trial_at: Millis },
}

/// Ejects the target after repeated failures and readmits it after successful trial flows.
#[derive(Clone, Debug)]
pub(super) struct CircuitBreaker {
    state: State,
    /// Outcomes of the latest 16 answers, one bit each, set for a failure.
    recent: u16,
    consecutive: u32,
    span_ms: Millis,
}

impl CircuitBreaker {
    /// Returns whether a new flow is admitted. Outside the closed state, admission starts a trial, and no
    /// other flow is admitted until the trial succeeds or times out.
    pub(super) fn try_admit(&mut self, now: Millis) -> bool {
        let admitted = self.would_admit(now);
        if admitted {
            self.begin_trial(now);
        }
        admitted
    }

    /// Whether [`Self::try_admit`] would admit a new flow.
    pub(super) fn would_admit(&self, now: Millis) -> bool {
        match self.state {
            State::Closed(_) => true,
            State::Open(until) => now >= until,
            State::HalfOpen { next_trial_at, .. } => now >= next_trial_at,
        }
    }

    /// Starts a trial, unless the breaker is closed.
    fn begin_trial(&mut self, now: Millis) {
        let successes = match self.state {
            State::Closed(_) => return,
            State::Open(_) => 0,
            State::HalfOpen { successes, .. } => successes,
        };
        self.state = State::HalfOpen { successes, next_trial_at: now + TRIAL_TIMEOUT_MS };
    }

    /// Whether the target is ejected and trial flows are not yet admitted.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        matches!(self.state, State::Open(until) if now < until)
    }

    /// Whether the breaker is open or half-open.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed(_))
    }

    /// Records a successful answer.
    pub(super) fn record_success(&mut self, now: Millis) -> Option<BreakerChange> {
        self.record_outcome(false);
        let State::HalfOpen { successes, next_trial_at } = &mut self.state else { return None };
        *successes += 1;
        *next_trial_at = now;
        if *successes < TRIAL_SUCCESS_THRESHOLD {
            return None;
        }
        self.state = State::Closed(now);
        self.recent = 0;
        Some(BreakerChange::Closed)
    }

    /// Records a failure.
    pub(super) fn record_failure(&mut self, now: Millis) -> Option<BreakerChange> {
        self.record_outcome(true);
        match self.state {
            State::Open(_) => None,
            State::HalfOpen { .. } => Some(self.open(now)),
            State::Closed(since) => {
                let is_failing = self.consecutive >= CONSECUTIVE_FAILURE_THRESHOLD
                    || self.recent.count_ones() >= RECENT_FAILURE_THRESHOLD;
                if !is_failing {
                    return None;
                }
                if now.saturating_sub(since) >= BACKOFF_RESET_MS {
                    self.span_ms = EJECTION_BOUNDS_MS.0;
                }
                Some(self.open(now))
            }
        }
    }

    fn record_outcome(&mut self, failed: bool) {
        self.recent = self.recent << 1 | u16::from(failed);
        self.consecutive = if failed { self.consecutive + 1 } else { 0 };
    }

    fn open(&mut self, now: Millis) -> BreakerChange {
        let span_ms = self.span_ms;
        self.span_ms = (span_ms * 2).min(EJECTION_BOUNDS_MS.1);
        self.state = State::Open(now + span_ms);
        BreakerChange::Opened {
            consecutive: self.consecutive,
            recent: self.recent.count_ones(),
            span_ms,
        }
    }
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self { state: State::Closed(0), recent: 0, consecutive: 0, span_ms: EJECTION_BOUNDS_MS.0 }
    }
}
