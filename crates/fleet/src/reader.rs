//! Which daemons read the store for the others.
//!
//! Every call to the store is paid for, so as few balancers as possible read
//! it; the others follow their peers. Nobody is appointed: a balancer begins to
//! read when what it knows is no longer fresh, later the more balancers stand
//! before it, and stops when one that stands before it reads as well. Two
//! readers at once cost calls and nothing else.

use crate::Millis;
use crate::timing::Timing;

/// How long a daemon that knows nothing waits for peers before it reads.
const FIRST_WAIT_MS: Millis = 12;

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
}

/// Whether to make the next call to the store.
pub fn should_read(inputs: &ReaderInputs, timing: &Timing) -> bool {
    let rank_wait = (inputs.rank as Millis).saturating_mul(timing.rank_step_ms);
    let patience = timing.read_after_ms + rank_wait.min(timing.longest_rank_wait_ms);
    match inputs.age_ms {
        None => inputs.uptime_ms >= FIRST_WAIT_MS,
        Some(age) if age > patience => true,
        Some(_) => inputs.reading && !inputs.lower_reader,
    }
}
