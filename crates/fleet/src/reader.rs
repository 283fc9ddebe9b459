//! Which daemons read the store for the others.
//!
//! Every call to the store is paid for, so as few balancers as possible read
//! it; the others follow their peers. Nobody is appointed: a balancer begins to
//! read when what it knows is no longer fresh, later the more balancers stand
//! before it, and stops when one that stands before it reads as well. Two
//! readers at once cost calls and nothing else.
//!
//! Knowledge that somebody wrongly takes for fresh would keep everybody from reading. So
//! now and then a balancer drawn at random reads too, about as often in a large fleet as
//! in a small one.

use crate::Millis;
use crate::timing::Timing;

/// Mean time between the readings of balancers that only check, in the whole fleet.
const CHECK_EVERY_MS: Millis = 10_000;
/// Time after its start in which a balancer does not check: it does not know yet how many
/// there are.
const NO_CHECKS_MS: Millis = 5_000;
/// First wait after a failed call; it doubles with each of the first failures.
const FIRST_BACKOFF_MS: Millis = 60;
/// Failures in a row that may be this balancer's own.
const OWN_FAILURES: u32 = 3;
/// Mean time between the calls of the whole fleet to a store that fails for all.
const RETRY_EVERY_MS: Millis = 100;
/// Longest mean wait of one balancer: one that lost touch with its peers is soon back.
const LONGEST_MEAN_WAIT_MS: Millis = 5_000;
/// How long a daemon that knows nothing waits for peers before it reads.
const FIRST_WAIT_MS: Millis = 12;

/// How long to wait after so many failed calls in a row. `fraction` is a random number of at
/// least 0 and below 1. While the store is down, all balancers want to read; together they
/// call it about ten times a second, however many they are, up to 50 of them.
pub fn wait_after_failure(failures: u32, balancers: usize, fraction: f64) -> Millis {
    let first = FIRST_BACKOFF_MS << failures.saturating_sub(1).min(OWN_FAILURES);
    if failures < OWN_FAILURES {
        return (first as f64 * (0.7 + 0.6 * fraction)) as Millis;
    }
    let mean = (RETRY_EVERY_MS * balancers.max(1) as Millis).min(LONGEST_MEAN_WAIT_MS);
    let drawn = (2.0 * mean as f64 * fraction) as Millis;
    drawn.max(FIRST_BACKOFF_MS)
}

/// What a balancer knows when it decides whether to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderInputs {
    /// Milliseconds since this process started.
    pub uptime_ms: Millis,
    /// Milliseconds since the store confirmed the replica; none if never.
    pub age_ms: Option<Millis>,
    /// Living balancers with a lower address.
    pub rank: usize,
    /// Whether this balancer reads now.
    pub reading: bool,
    /// Whether a balancer with a lower address said lately that it reads.
    pub lower_reader: bool,
    /// Whether it is this balancer's turn to check what the others say.
    pub checks: bool,
}

/// When this balancer checks the store's word itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct CheckSchedule {
    next_at: Option<Millis>,
}

impl CheckSchedule {
    /// Whether it is time; then the next time is drawn. `fraction` is a random number
    /// of at least 0 and below 1.
    pub fn is_due(&mut self, uptime_ms: Millis, balancers: usize, fraction: f64) -> bool {
        if uptime_ms < NO_CHECKS_MS || self.next_at.is_some_and(|next_at| uptime_ms < next_at) {
            return false;
        }
        // Exponentially distributed: all balancers together check at an even rate, also
        // soon after they started together.
        let mean = (CHECK_EVERY_MS * balancers.max(1) as Millis) as f64;
        let wait = (-mean * (1.0 - fraction).ln()) as Millis;
        self.next_at.replace(uptime_ms + wait.max(1)).is_some()
    }
}

/// Whether to make the next call to the store.
pub fn should_read(inputs: &ReaderInputs, timing: &Timing) -> bool {
    let rank_wait = (inputs.rank as Millis).saturating_mul(timing.rank_step_ms);
    let patience = timing.read_after_ms + rank_wait.min(timing.longest_rank_wait_ms);
    match inputs.age_ms {
        None => inputs.uptime_ms >= FIRST_WAIT_MS,
        Some(age) if age > patience => true,
        Some(_) => inputs.checks || (inputs.reading && !inputs.lower_reader),
    }
}
