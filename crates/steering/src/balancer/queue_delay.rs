//! Estimates how long an opening would wait for capacity, and decides whether it may.
//!
//! This handles an overload that outlasts the queue: an opening that would miss its objective is
//! refused on arrival, while its client still has time to try elsewhere. The permitted wait depends
//! on the client's rank, so that the queue settles at the length at which openings join it as fast
//! as they are admitted from it.

use weirhinge_fleet::Millis;

use crate::client_rank::ClientRank;

/// Length of a bucket in which admissions are counted.
const BUCKET_MS: Millis = 25;
/// Buckets of the usual window of 250 ms: long enough to count several admissions, and short
/// compared with the objectives that waits are compared with.
const SHORT_WINDOW_BUCKETS: u64 = 10;
/// Buckets of the longer window of one second, for rates too low for the usual one.
const LONG_WINDOW_BUCKETS: u64 = 40;
/// With fewer admissions than this in the usual window, the longer window is considered too.
const MIN_ADMISSIONS: u64 = 4;
/// Time without queued openings after which the measured rate is discarded.
const RATE_LIFETIME_MS: Millis = 1_000;
/// Maximum number of openings ahead of one that may wait while the rate is unknown.
const MAX_AHEAD_AT_UNKNOWN_RATE: u64 = 7;

/// Rate at which queued openings of one class and service are admitted.
///
/// Only time during which openings are queued counts, because none can be admitted otherwise.
#[derive(Clone, Debug)]
pub struct AdmissionRate {
    /// Admissions per bucket of waiting time; bucket `n` is at index `n % LONG_WINDOW_BUCKETS`.
    admission_counts: [u32; LONG_WINDOW_BUCKETS as usize],
    /// Openings that arrived while others were queued, in the same buckets.
    arrivals: [u32; LONG_WINDOW_BUCKETS as usize],
    /// The bucket of the last admission or arrival.
    newest_bucket: u64,
    /// Waiting time at the last admission, or `None` before the first.
    last_admission: Option<Millis>,
    /// Total waiting time up to `resumed_at`, or up to now while the queue is empty.
    waited_ms: Millis,
    /// Since when the queue has not been empty, or `None` while it is.
    resumed_at: Option<Millis>,
    /// When the queue last became empty.
    paused_at: Millis,
}

impl AdmissionRate {
    /// Records that an opening is queued. Has no effect unless the queue was empty.
    pub fn note_waiting_started(&mut self, now: Millis) {
        if self.resumed_at.is_some() {
            return;
        }
        if now.saturating_sub(self.paused_at) >= RATE_LIFETIME_MS {
            *self = Self::default();
        }
        self.resumed_at = Some(now);
    }

    /// Records that the queue is empty, whether the last opening was admitted or gave up. Has no
    /// effect if the queue was already empty.
    pub fn note_waiting_ended(&mut self, now: Millis) {
        if self.resumed_at.is_none() {
            return;
        }
        self.waited_ms = self.waiting_time(now);
        self.resumed_at = None;
        self.paused_at = now;
    }

    /// Counts a queued opening that is admitted.
    pub fn note_admitted(&mut self, now: Millis) {
        self.note_waiting_started(now);
        let waited = self.waiting_time(now);
        self.advance(waited / BUCKET_MS);
        let count = &mut self.admission_counts[bucket_index(self.newest_bucket)];
        *count = count.saturating_add(1);
        self.last_admission = Some(waited);
    }

    /// Counts an opening that arrives while others are queued, whether or not it may wait.
    pub fn note_arrival(&mut self, now: Millis) {
        if self.resumed_at.is_none() {
            return;
        }
        self.advance(self.waiting_time(now) / BUCKET_MS);
        let arrivals = &mut self.arrivals[bucket_index(self.newest_bucket)];
        *arrivals = arrivals.saturating_add(1);
    }

    /// Whether fewer openings arrive than are admitted, so that the queue is shrinking.
    pub fn is_draining(&self, now: Millis) -> bool {
        let waited = self.waiting_time(now);
        let admissions = self.count(&self.admission_counts, SHORT_WINDOW_BUCKETS, waited).events;
        let arrivals = self.count(&self.arrivals, SHORT_WINDOW_BUCKETS, waited).events;
        admissions >= MIN_ADMISSIONS && arrivals < admissions
    }

    /// Returns the expected wait behind `ahead` openings, or `None` before the first admission.
    pub fn expected_wait(&self, ahead: usize, now: Millis) -> Option<Millis> {
        let last_admission = self.last_admission?;
        let waited = self.waiting_time(now);
        let since_last = waited.saturating_sub(last_admission);
        let ahead = ahead as u64;
        let recent = self.count(&self.admission_counts, SHORT_WINDOW_BUCKETS, waited);
        let recent_wait = recent.wait(ahead, since_last);
        if recent.events >= MIN_ADMISSIONS {
            return Some(recent_wait);
        }
        let long_wait =
            self.count(&self.admission_counts, LONG_WINDOW_BUCKETS, waited).wait(ahead, since_last);
        Some(recent_wait.max(long_wait))
    }

    fn waiting_time(&self, now: Millis) -> Millis {
        let current = self.resumed_at.map_or(0, |resumed| now.saturating_sub(resumed));
        self.waited_ms + current
    }

    /// Makes `bucket` the newest one and clears the buckets skipped over.
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.newest_bucket).min(LONG_WINDOW_BUCKETS);
        for age in 0..passed {
            self.admission_counts[bucket_index(bucket - age)] = 0;
            self.arrivals[bucket_index(bucket - age)] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }

    /// Counts the events of the last `buckets` buckets, including the current one.
    fn count(&self, events: &[u32], buckets: u64, waited: Millis) -> EventCount {
        let first = (waited / BUCKET_MS + 1).saturating_sub(buckets);
        let oldest_kept = (self.newest_bucket + 1).saturating_sub(LONG_WINDOW_BUCKETS);
        let kept_buckets = first.max(oldest_kept)..=self.newest_bucket;
        let events = kept_buckets.map(|bucket| u64::from(events[bucket_index(bucket)])).sum();
        let span_ms = (waited - first * BUCKET_MS).max(BUCKET_MS);
        EventCount { events, span_ms }
    }
}

impl Default for AdmissionRate {
    fn default() -> Self {
        Self {
            admission_counts: [0; LONG_WINDOW_BUCKETS as usize],
            arrivals: [0; LONG_WINDOW_BUCKETS as usize],
            newest_bucket: 0,
            last_admission: None,
            waited_ms: 0,
            resumed_at: None,
            paused_at: 0,
        }
    }
}

/// Admissions or arrivals in a time span.
struct EventCount {
    events: u64,
    span_ms: Millis,
}

impl EventCount {
    /// Returns how long `ahead` admissions take at this rate. Without any admission in the span,
    /// the time since the last one is the lower bound for each.
    fn wait(&self, ahead: u64, since_last: Millis) -> Millis {
        match self.events {
            0 => ahead.saturating_mul(since_last),
            admissions => ahead.saturating_mul(self.span_ms) / admissions,
        }
    }
}

/// Whether an opening may wait behind `ahead` others, with `budget_ms` left in which its answer
/// would still be in time. Among clients within their share, the one ranked last may wait for a
/// quarter of its budget.
pub fn may_wait(
    expected_wait: Option<Millis>,
    ahead: usize,
    budget_ms: Millis,
    rank: ClientRank,
) -> bool {
    if budget_ms == 0 {
        return false;
    }
    match expected_wait {
        Some(wait) => wait <= scale_by_rank(budget_ms, rank),
        None => ahead as u64 <= scale_by_rank(MAX_AHEAD_AT_UNKNOWN_RATE, rank),
    }
}

/// Returns `limit * (1 - 0.75 * rank)`, where the rank of a client within its share is between 0
/// and 1.
fn scale_by_rank(limit: u64, rank: ClientRank) -> u64 {
    const RANK_RANGE: u64 = 1 << 16;
    let share = (4 * RANK_RANGE).saturating_sub(3 * u64::from(rank.value()));
    limit.saturating_mul(share) / (4 * RANK_RANGE)
}

fn bucket_index(bucket: u64) -> usize {
    (bucket % LONG_WINDOW_BUCKETS) as usize
}
