//! A circuit breaker between an agent and its target, closed while the target's answers
//! are good.
//!
//! A target that fails at once looks idle and draws new flows. Only its agent sees all of
//! its answers, whichever balancer they go through, so the agent itself turns new flows
//! away; balancers need not agree on anything. A balancer that meets several such agents
//! lets its opening packet be admitted anyway: where most targets fail, none is left out.

use weirhinge_fleet::Millis;

/// Failures in a row that open the breaker: a single one may be the request's own.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Failures among the latest 16 answers that open it, for targets that fail now and then.
const RECENT_FAILURES: u32 = 5;
/// Good answers in a row that close it again.
const TRIAL_SUCCESSES: u32 = 3;
/// First and longest time for which new flows are turned away. It doubles with each
/// relapse.
const SPANS_MS: (Millis, Millis) = (1_000, 16_000);
/// Time in good order after which the next failure counts as the first one again.
const FORGIVEN_AFTER_MS: Millis = 30_000;
/// Time in which the outcome of one flow that tests the target is waited for.
const TRIAL_MS: Millis = 500;

/// A change of the breaker, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BreakerChange {
    /// New flows are turned away from now on.
    Opened {
        /// Failures in a row.
        consecutive: u32,
        /// Failures among the latest 16 answers.
        recent: u32,
        /// Milliseconds until flows test the target again.
        span_ms: Millis,
    },
    /// New flows are taken as before.
    Closed,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Since this time.
    Closed(Millis),
    /// Until this time.
    Open(Millis),
    /// One flow at a time tests the target.
    HalfOpen { successes: u32, next_trial_at: Millis },
}

/// The breaker.
#[derive(Clone, Debug)]
pub(super) struct CircuitBreaker {
    state: State,
    /// The latest 16 answers, a set bit for each failure.
    recent: u16,
    consecutive: u32,
    span_ms: Millis,
}

impl CircuitBreaker {
    /// Whether a new flow may go to the target; in the half-open state this takes the
    /// place of the one that may.
    pub(super) fn admits(&mut self, now: Millis) -> bool {
        let admits = self.would_admit(now);
        if admits {
            self.begin_trial(now);
        }
        admits
    }

    /// Whether [`Self::admits`] would let a new flow go to the target.
    pub(super) fn would_admit(&self, now: Millis) -> bool {
        match self.state {
            State::Closed(_) => true,
            State::Open(until) => now >= until,
            State::HalfOpen { next_trial_at, .. } => now >= next_trial_at,
        }
    }

    /// Notes that a new flow tests a target that was ejected.
    fn begin_trial(&mut self, now: Millis) {
        let successes = match self.state {
            State::Closed(_) => return,
            State::Open(_) => 0,
            State::HalfOpen { successes, .. } => successes,
        };
        self.state = State::HalfOpen { successes, next_trial_at: now + TRIAL_MS };
    }

    /// Whether the target is ejected and not tested yet.
    pub(super) fn is_ejected(&self, now: Millis) -> bool {
        matches!(self.state, State::Open(until) if now < until)
    }

    /// Whether the target is ejected, or tested after it was.
    pub(super) fn is_open(&self) -> bool {
        !matches!(self.state, State::Closed(_))
    }

    /// Takes in a good answer.
    pub(super) fn succeeded(&mut self, now: Millis) -> Option<BreakerChange> {
        self.note(false);
        let State::HalfOpen { successes, next_trial_at } = &mut self.state else { return None };
        *successes += 1;
        *next_trial_at = now;
        if *successes < TRIAL_SUCCESSES {
            return None;
        }
        self.state = State::Closed(now);
        self.recent = 0;
        Some(BreakerChange::Closed)
    }

    /// Takes in a failure.
    pub(super) fn failed(&mut self, now: Millis) -> Option<BreakerChange> {
        self.note(true);
        match self.state {
            State::Open(_) => None,
            State::HalfOpen { .. } => Some(self.open(now)),
            State::Closed(since) => {
                let is_failing = self.consecutive >= CONSECUTIVE_FAILURES
                    || self.recent.count_ones() >= RECENT_FAILURES;
                if !is_failing {
                    return None;
                }
                if now.saturating_sub(since) >= FORGIVEN_AFTER_MS {
                    self.span_ms = SPANS_MS.0;
                }
                Some(self.open(now))
            }
        }
    }

    fn note(&mut self, failed: bool) {
        self.recent = self.recent << 1 | u16::from(failed);
        self.consecutive = if failed { self.consecutive + 1 } else { 0 };
    }

    fn open(&mut self, now: Millis) -> BreakerChange {
        let span_ms = self.span_ms;
        self.span_ms = (span_ms * 2).min(SPANS_MS.1);
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
        Self { state: State::Closed(0), recent: 0, consecutive: 0, span_ms: SPANS_MS.0 }
    }
}
