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
/// Number of balancers, those with the lowest addresses, that make these first attempts in quick
/// succession. If all others did so as well, calls at the start of an outage would be a multiple of
/// the number of balancers.
const QUICK_RETRY_RANKS: usize = 5;
/// Mean time between calls of the whole fleet to a store that fails for all balancers.
const FLEET_RETRY_INTERVAL_MS: Millis = 100;
/// Maximum time for which a balancer waits before it takes the number of its peers into account
/// again, so that one that lost contact with them recovers soon.
const MAX_RETRY_WAIT_MS: Millis = 1_000;
/// Wait of a watch that is to be answered at once.
const PROMPT_WATCH_MS: Millis = 1;
/// Mean time between the calls of a fleet whose balancers all have to make the same call.
const SPREAD_CALL_INTERVAL_MS: Millis = 2;
/// Consecutive reads of a reader between which newer state came from peers, after which it assumes
/// that another balancer keeps reading. A verification read brings newer state only once.
const MIN_CONCURRENT_READS: u32 = 2;
/// How long a daemon without any state waits for peers before it reads the store.
const INITIAL_READ_DELAY_MS: Millis = 12;

/// The wait after a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryWait {
    /// Milliseconds to wait.
    pub wait_ms: Millis,
    /// Whether to call the store afterwards; otherwise another wait follows.
    pub calls_store: bool,
}

/// Returns the wait after a number of consecutive failed calls of a balancer, given the number of
/// balancers with a lower address and of all balancers. `fraction` is a random number in [0, 1).
///
/// While the store is down, all balancers try to read. The time to a balancer's next call is drawn
/// from an exponential distribution whose mean is proportional to the number of balancers, so that
/// all of them together call the store about ten times per second. As this distribution has no
/// memory, the wait can be drawn again in between.
pub fn retry_wait(failures: u32, rank: usize, balancers: usize, fraction: f64) -> RetryWait {
    if failures < STORE_OUTAGE_FAILURES && rank < QUICK_RETRY_RANKS {
        let backoff = INITIAL_BACKOFF_MS << failures.saturating_sub(1);
        let wait_ms = (backoff as f64 * (0.7 + 0.6 * fraction)) as Millis;
        return RetryWait { wait_ms, calls_store: true };
    }
    let mean = (FLEET_RETRY_INTERVAL_MS * balancers.max(1) as Millis) as f64;
    let drawn = (-mean * (1.0 - fraction).ln()) as Millis;
    if drawn > MAX_RETRY_WAIT_MS {
        return RetryWait { wait_ms: MAX_RETRY_WAIT_MS, calls_store: false };
    }
    RetryWait { wait_ms: drawn.max(INITIAL_BACKOFF_MS), calls_store: true }
}

/// Inputs to the decision whether a balancer reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReaderInputs {
    /// Milliseconds since this process started.
    pub uptime_ms: Millis,
    /// Milliseconds since the store confirmed the replica's state; none if it never did.
    pub age_ms: Option<Millis>,
    /// How long this balancer, once it has a state, waits for peers to confirm it after its start,
    /// see [`confirmation_delay`].
    pub confirmation_delay_ms: Millis,
    /// Number of known balancers with a lower address.
    pub rank: usize,
    /// Whether this balancer currently reads the store.
    pub reading: bool,
    /// Whether a balancer with a lower address recently reported that it reads the store.
    pub has_lower_reader: bool,
    /// Whether this balancer, while reading, gives way to another reader, see [`yields`].
    pub yields: bool,
    /// Whether a verification read of this balancer is due.
    pub verification_due: bool,
}

/// Why a balancer reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadReason {
    /// It has no state yet.
    Start,
    /// No other balancer appears to read: the known state is too old.
    Stale,
    /// It is the reader.
    Reading,
    /// It verifies that the state considered fresh is in fact fresh.
    Verification,
}

impl ReadReason {
    /// Returns how long the store may delay its answer to a watch until there is a change. If the
    /// known state is too old, others wait for the answer to confirm it.
    pub fn watch_wait_ms(self, timing: &Timing) -> Millis {
        match self {
            ReadReason::Reading => timing.watch_wait_ms,
            ReadReason::Start | ReadReason::Stale | ReadReason::Verification => PROMPT_WATCH_MS,
        }
    }

    /// Whether the balancer reads on behalf of the others after a successful read for this reason.
    /// After a verification read there is another reader.
    pub fn makes_reader(self) -> bool {
        self != ReadReason::Verification
    }
}

/// Returns how long a balancer that listed the store at its start waits before it confirms that the
/// listing is current. `fraction` is a random number in [0, 1), drawn once. When all balancers
/// start, most of them receive the first confirmations from their peers instead.
pub fn confirmation_delay(balancers: usize, fraction: f64) -> Millis {
    (fraction * (SPREAD_CALL_INTERVAL_MS * balancers as Millis) as f64) as Millis
}

/// Returns how long a balancer waits before it lists the whole store because the changes after its
/// position are unavailable, given the number of balancers with a lower address.
///
/// After an outage all balancers may find this at the same time. Their listings are spread so that
/// most balancers receive the first one's result from their peers instead. The lowest balancers list
/// before the others begin to read, and the reader does not wait, as the others depend on it.
pub fn listing_delay(reason: ReadReason, rank: usize) -> Millis {
    if reason == ReadReason::Reading {
        return 0;
    }
    SPREAD_CALL_INTERVAL_MS * rank as Millis
}

/// Whether a reader that learned from a peer that another balancer reads too gives way to it.
/// `fraction` is a random number in [0, 1).
///
/// A balancer's report that it reads reaches only those to which it sends its digests directly, a
/// small part of a large fleet, whereas what it read soon reaches all. A reader that receives newer
/// state than it read itself therefore knows that there is another reader, but not which. The more
/// balancers have a lower address, the more likely it is that the other one is to continue.
pub fn yields(rank: usize, fraction: f64) -> bool {
    fraction * (rank as f64 + 1.0) < rank as f64
}

/// What a reader knows of other balancers that read the store at the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConcurrentReads {
    /// Whether peers sent newer state than the reader's since its last read.
    received_newer_state: bool,
    /// Consecutive reads before which that was so.
    reads: u32,
}

impl ConcurrentReads {
    /// Records that a peer sent newer state than the reader's.
    pub fn note_newer_state(&mut self) {
        self.received_newer_state = true;
    }

    /// Whether another balancer keeps reading; to be called once before each read.
    pub fn is_repeated(&mut self) -> bool {
        let has_newer = std::mem::take(&mut self.received_newer_state);
        self.reads = if has_newer { self.reads + 1 } else { 0 };
        self.reads >= MIN_CONCURRENT_READS
    }
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

/// Returns why this balancer should make the next call to the store; none if it should not.
pub fn read_reason(inputs: &ReaderInputs, timing: &Timing) -> Option<ReadReason> {
    let rank_delay = (inputs.rank as Millis).saturating_mul(timing.rank_delay_ms);
    let read_after = timing.read_after_ms + rank_delay.min(timing.max_rank_delay_ms);
    let continues_reading = inputs.reading && !inputs.has_lower_reader && !inputs.yields;
    match inputs.age_ms {
        None if inputs.uptime_ms >= INITIAL_READ_DELAY_MS + inputs.confirmation_delay_ms => {
            Some(ReadReason::Start)
        }
        None => None,
        Some(age) if age > read_after => Some(ReadReason::Stale),
        Some(_) if continues_reading => Some(ReadReason::Reading),
        Some(_) => inputs.verification_due.then_some(ReadReason::Verification),
    }
}
