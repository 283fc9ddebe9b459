//! How long an opening would wait for room, and whether it may.
//!
//! Answers a crowd that outlasts the queue: an opening that would miss its objective is
//! refused when it arrives, while its caller still has time to try elsewhere. The wait
//! that is allowed depends on the caller, so that the queue settles at the length at which
//! as many may wait as find room.

use weirhinge_fleet::Millis;

use crate::client_rank::ClientRank;

/// Length of a bucket in which admissions are counted.
const BUCKET_MS: Millis = 25;
/// Buckets of the usual window of 250 ms: long enough to count some admissions, and short
/// beside the objectives that waits are compared with.
const SHORT_WINDOW: u64 = 10;
/// Buckets of the longer window of one second, for rates too low for the usual one.
const LONG_WINDOW: u64 = 40;
/// With fewer admissions than this in the usual window, the longer one is looked at too.
const FEW_ADMISSIONS: u64 = 4;
/// Time without waiting openings after which the rate that was found says nothing.
const FORGET_MS: Millis = 1_000;
/// Most openings ahead of one that may wait while the rate is not known yet.
const MOST_AHEAD_AT_UNKNOWN_RATE: u64 = 7;

/// Rate at which waiting openings of one class and service find room.
///
/// Only time in which openings wait counts: without any, none could be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRate {
    /// Admissions by bucket of waiting time; bucket `n` is at `n % LONG_WINDOW`.
    counts: [u32; LONG_WINDOW as usize],
    /// Openings that came while others waited, by the same buckets.
    arrivals: [u32; LONG_WINDOW as usize],
    /// The bucket of the last admission or arrival.
    newest_bucket: u64,
    /// Waiting time at the last admission, if there was one.
    last_admission: Option<Millis>,
    /// Waiting time up to `resumed_at`, or in all while nothing waits.
    waited_ms: Millis,
    /// Since when openings have been waiting.
    resumed_at: Option<Millis>,
    /// When the last opening left.
    paused_at: Millis,
}

impl AdmissionRate {
    /// Notes that an opening waits where none did. Has no effect while some wait.
    pub fn waiting_began(&mut self, now: Millis) {
        if self.resumed_at.is_some() {
            return;
        }
        if now.saturating_sub(self.paused_at) >= FORGET_MS {
            *self = Self::default();
        }
        self.resumed_at = Some(now);
    }

    /// Notes that no opening waits any more, whether the last was admitted or given up. Has
    /// no effect while none waits.
    pub fn waiting_ended(&mut self, now: Millis) {
        if self.resumed_at.is_none() {
            return;
        }
        self.waited_ms = self.waiting_time(now);
        self.resumed_at = None;
        self.paused_at = now;
    }

    /// Counts an opening that waited and found room.
    pub fn admitted(&mut self, now: Millis) {
        self.waiting_began(now);
        let waited = self.waiting_time(now);
        self.advance(waited / BUCKET_MS);
        let count = &mut self.counts[slot(self.newest_bucket)];
        *count = count.saturating_add(1);
        self.last_admission = Some(waited);
    }

    /// Counts an opening that comes while others wait, whether it may wait or not.
    pub fn arrived(&mut self, now: Millis) {
        if self.resumed_at.is_none() {
            return;
        }
        self.advance(self.waiting_time(now) / BUCKET_MS);
        let arrivals = &mut self.arrivals[slot(self.newest_bucket)];
        *arrivals = arrivals.saturating_add(1);
    }

    /// Whether fewer come than find room: what waits gets less by itself.
    pub fn is_draining(&self, now: Millis) -> bool {
        let waited = self.waiting_time(now);
        let admissions = self.count(&self.counts, SHORT_WINDOW, waited).events;
        let arrivals = self.count(&self.arrivals, SHORT_WINDOW, waited).events;
        admissions >= FEW_ADMISSIONS && arrivals < admissions
    }

    /// How long an opening waits with so many before it; none while no admission is known.
    pub fn expected_wait(&self, ahead: usize, now: Millis) -> Option<Millis> {
        let last_admission = self.last_admission?;
        let waited = self.waiting_time(now);
        let since_last = waited.saturating_sub(last_admission);
        let ahead = ahead as u64;
        let recent = self.count(&self.counts, SHORT_WINDOW, waited);
        let recent_wait = recent.wait(ahead, since_last);
        if recent.events >= FEW_ADMISSIONS {
            return Some(recent_wait);
        }
        let long_wait = self.count(&self.counts, LONG_WINDOW, waited).wait(ahead, since_last);
        Some(recent_wait.max(long_wait))
    }

    fn waiting_time(&self, now: Millis) -> Millis {
        let current = self.resumed_at.map_or(0, |resumed| now.saturating_sub(resumed));
        self.waited_ms + current
    }

    /// Makes `bucket` the newest one and clears those passed over.
    fn advance(&mut self, bucket: u64) {
        let passed = bucket.saturating_sub(self.newest_bucket).min(LONG_WINDOW);
        for back in 0..passed {
            self.counts[slot(bucket - back)] = 0;
            self.arrivals[slot(bucket - back)] = 0;
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
    }

    /// The events of the last `buckets` buckets, the current one included.
    fn count(&self, events: &[u32], buckets: u64, waited: Millis) -> Count {
        let first = (waited / BUCKET_MS + 1).saturating_sub(buckets);
        let oldest_kept = (self.newest_bucket + 1).saturating_sub(LONG_WINDOW);
        let kept = first.max(oldest_kept)..=self.newest_bucket;
        let events = kept.map(|bucket| u64::from(events[slot(bucket)])).sum();
        let span_ms = (waited - first * BUCKET_MS).max(BUCKET_MS);
        Count { events, span_ms }
    }
}

impl Default for AdmissionRate {
    fn default() -> Self {
        Self {
            counts: [0; LONG_WINDOW as usize],
            arrivals: [0; LONG_WINDOW as usize],
            newest_bucket: 0,
            last_admission: None,
            waited_ms: 0,
            resumed_at: None,
            paused_at: 0,
        }
    }
}

/// Admissions or arrivals in a span of time.
struct Count {
    events: u64,
    span_ms: Millis,
}

impl Count {
    /// How long `ahead` admissions take at this rate. Without any admission, the time since
    /// the last one is the shortest that one can take.
    fn wait(&self, ahead: u64, since_last: Millis) -> Millis {
        match self.events {
            0 => ahead.saturating_mul(since_last),
            admissions => ahead.saturating_mul(self.span_ms) / admissions,
        }
    }
}

/// Whether an opening may wait behind `ahead` others, with `budget_ms` left in which its
/// answer would still be in time. Of callers with no more than their share, the one ranked
/// last may wait a quarter of its budget.
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
        Some(wait) => wait <= ranked_part(budget_ms, rank),
        None => ahead as u64 <= ranked_part(MOST_AHEAD_AT_UNKNOWN_RATE, rank),
    }
}

/// `whole * (1 - 0.75 * rank)`, the rank of a caller with no more than its share being
/// between 0 and 1.
fn ranked_part(whole: u64, rank: ClientRank) -> u64 {
    const RANGE: u64 = 1 << 16;
    let share = (4 * RANGE).saturating_sub(3 * u64::from(rank.value()));
    whole.saturating_mul(share) / (4 * RANGE)
}

fn slot(bucket: u64) -> usize {
    (bucket % LONG_WINDOW) as usize
}
