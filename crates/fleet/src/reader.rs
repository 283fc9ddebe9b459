//! Election of the balancers that read the store on behalf of all daemons.
//!
//! Calls to the store are expensive, so as few balancers as possible read it; the others follow
//! their peers. The election needs no coordination: a balancer starts to read when its state is no
//! longer fresh, with a delay that grows with the number of balancers that have a lower address,
//! and stops when one of those reads as well. Two readers at the same time cost additional calls
//! but do no harm.
//!
//! A daemon that wrongly considers old state fresh could keep all others from reading. Therefore
//! randomly chosen balancers also read from time to time for verification, at a rate that is about
//! the same for large and small fleets.

use crate::Millis;
use crate::timing::Timing;

/// Mean time between verification reads in the whole fleet.
const MEAN_VERIFICATION_INTERVAL_MS: Millis = 10_000;
/// Time after its start during which a balancer makes no verification reads, because it does not
/// know yet how many balancers there are.
const VERIFICATION_START_DELAY_MS: Millis = 5_000;
/// Backoff after the first failed call; it doubles with each of the first failures.
const INITIAL_BACKOFF_MS: Millis = 60;
/// Number of consecutive failures from which the store is assumed to fail for all balancers; fewer
/// may be a fault of this balancer alone.
const STORE_OUTAGE_FAILURES: u32 = 3;
/// Mean time between calls of the whole fleet to a store that fails for all balancers.
const FLEET_RETRY_INTERVAL_MS: Millis = 100;
/// Maximum mean backoff of one balancer. It is bounded so that a balancer that lost contact with
/// its peers recovers soon.
const MAX_MEAN_BACKOFF_MS: Millis = 5_000;
/// How long a daemon without any state waits for peers before it reads the store.
const INITIAL_READ_DELAY_MS: Millis = 12;

/// Returns the backoff after a number of consecutive failed calls. `fraction` is a random number in
/// [0, 1). While the store is down, all balancers try to read; together they call it about ten
/// times per second, for any number of balancers up to 50.
pub fn retry_backoff(failures: u32, balancers: usize, fraction: f64) -> Millis {
    let initial = INITIAL_BACKOFF_MS << failures.saturating_sub(1).min(STORE_OUTAGE_FAILURES);
    if failures < STORE_OUTAGE_FAILURES {
        return (initial as f64 * (0.7 + 0.6 * fraction)) as Millis;
    }
    let mean = (FLEET_RETRY_INTERVAL_MS * balancers.max(1) as Millis).min(MAX_MEAN_BACKOFF_MS);
    let drawn = (2.0 * mean as f64 * fraction) as Millis;
    drawn.max(INITIAL_BACKOFF_MS)
}

/// Inputs to the decision whether a balancer reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderInputs {
    /// Milliseconds since this process started.
    pub uptime_ms: Millis,
    /// Milliseconds since the store confirmed the replica's state; none if it never did.
    pub age_ms: Option<Millis>,
    /// Number of known balancers with a lower address.
    pub rank: usize,
    /// Whether this balancer currently reads the store.
    pub reading: bool,
    /// Whether a balancer with a lower address recently reported that it reads the store.
    pub has_lower_reader: bool,
    /// Whether a verification read of this balancer is due.
    pub verification_due: bool,
}

/// Schedule of the verification reads of one balancer.
#[derive(Clone, Copy, Debug, Default)]
pub struct VerificationSchedule {
    next_at: Option<Millis>,
}

impl VerificationSchedule {
    /// Whether a verification read is due. Draws the time of the next one if the previous time has
    /// passed or none was drawn yet. `fraction` is a random number in [0, 1).
    pub fn is_due(&mut self, uptime_ms: Millis, balancers: usize, fraction: f64) -> bool {
        if uptime_ms < VERIFICATION_START_DELAY_MS
            || self.next_at.is_some_and(|next_at| uptime_ms < next_at)
        {
            return false;
        }
        // Exponentially distributed, so that the rate of verification reads of all balancers
        // together is even, also soon after they started at the same time.
        let mean = (MEAN_VERIFICATION_INTERVAL_MS * balancers.max(1) as Millis) as f64;
        let wait = (-mean * (1.0 - fraction).ln()) as Millis;
        self.next_at.replace(uptime_ms + wait.max(1)).is_some()
    }
}

/// Whether this balancer should make the next call to the store.
pub fn should_read(inputs: &ReaderInputs, timing: &Timing) -> bool {
    let rank_delay = (inputs.rank as Millis).saturating_mul(timing.rank_delay_ms);
    let read_after = timing.read_after_ms + rank_delay.min(timing.max_rank_delay_ms);
    match inputs.age_ms {
        None => inputs.uptime_ms >= INITIAL_READ_DELAY_MS,
        Some(age) if age > read_after => true,
        Some(_) => inputs.verification_due || (inputs.reading && !inputs.has_lower_reader),
    }
}
