//! Estimates the service time of the target from its answers.
//!
//! The model: the target processes as many requests concurrently as it has slots, and starts the
//! others in order of arrival as slots become free. A target that uses another order yields the
//! same average, because slots that are busy for the same time answer as many requests.

use std::collections::VecDeque;

use weirhinge_fleet::{Millis, TargetLoad};

use crate::packet::FlowKey;

/// Weight of a new sample in the average, which about ten samples replace.
const MIN_WEIGHT: f64 = 0.125;
/// Gap since the previous answer at which the weight of the next one would reach 1. The weight
/// grows with the gap, up to [`MAX_WEIGHT`], because the earlier samples are out of date.
const FULL_WEIGHT_GAP_MS: f64 = 1_000.0;
/// Highest weight of a new sample once there are [`MIN_SAMPLES`].
const MAX_WEIGHT: f64 = 0.5;
/// Samples needed before the average is reported. Fewer say more about the requests than about the
/// target.
const MIN_SAMPLES: u32 = 4;
/// Upper bound of one sample, in multiples of the average: at any target a few requests need far
/// more work than others.
const MAX_SAMPLE_MULTIPLE: f64 = 4.0;
/// Lowest average to which [`MAX_SAMPLE_MULTIPLE`] is applied. Times are whole milliseconds, so the
/// average of a fast target may be 0.
const MIN_BOUNDED_AVERAGE_MS: f64 = 2.0;
/// Time without an answer after which the average is discarded, so that a target that was slow is
/// tried again.
const AVERAGE_LIFETIME_MS: Millis = 3_000;
/// A running request that takes this long is reported as the service time of a target without an
/// average. Well above the time of interactive requests.
const LONG_REQUEST_MS: Millis = 200;
/// Time constant of the moving average of utilisation, in milliseconds.
const UTILISATION_TIME_CONSTANT_MS: f64 = 1_000.0;
/// Upper bound of the wait expected from the load of a target's open flows, in multiples of its
/// service time. The formula is unbounded near full utilisation, where the current queue says more.
const MAX_STEADY_WAIT: f64 = 2.0;
/// A target is stalled when it has not answered for this long, in multiples of its average service
/// time.
const STALLED_MULTIPLE: f64 = 8.0;
/// Lower bound of that time in milliseconds: longer than a pause of the target's process.
const MIN_STALLED_MS: f64 = 500.0;
/// Running requests needed to call a target stalled (fewer if it has fewer slots), because a single
/// one may just take long.
const MIN_STALLED_REQUESTS: u32 = 2;

/// A moving average of service times.
#[derive(Clone, Copy, Debug)]
struct Average {
    ms: f64,
    samples: u32,
    measured_at: Millis,
}

impl Average {
    fn first(took_ms: f64, now: Millis) -> Self {
        Self { ms: took_ms, samples: 1, measured_at: now }
    }

    fn updated(self, took_ms: f64, now: Millis) -> Self {
        let since_last = now.saturating_sub(self.measured_at) as f64;
        let initial_weight = 1.0 / f64::from(self.samples + 1);
        let weight =
            initial_weight.max((since_last / FULL_WEIGHT_GAP_MS).clamp(MIN_WEIGHT, MAX_WEIGHT));
        let max_sample_ms = self.ms.max(MIN_BOUNDED_AVERAGE_MS) * MAX_SAMPLE_MULTIPLE;
        let took_ms = if self.is_known() { took_ms.min(max_sample_ms) } else { took_ms };
        Self {
            ms: self.ms + (took_ms - self.ms) * weight,
            samples: self.samples.saturating_add(1),
            measured_at: now,
        }
    }

    fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }
}

/// Requests at the target, and the service time and utilisation measured so far.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTime {
    /// Requests that the target processes concurrently. Nothing is measured until this is known.
    slots: Option<u32>,
    /// Requests assumed to be running, each with its start time.
    running: Vec<(FlowKey, Millis)>,
    /// Requests assumed to wait at the target for a slot.
    queued: VecDeque<FlowKey>,
    average: Option<Average>,
    /// Moving average of the share of busy slots.
    utilisation: f64,
    /// When the target last answered.
    answered_at: Millis,
    now: Millis,
}

impl ServiceTime {
    /// Sets the number of requests that the target processes concurrently.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots.max(1));
    }

    /// Advances the clock; subsequent calls report events at this time.
    pub(super) fn advance(&mut self, now: Millis) {
        self.utilisation = self.utilisation_at(now);
        self.now = now.max(self.now);
    }

    /// Records the delivery of a request to the target.
    pub(super) fn record_delivery(&mut self, flow: FlowKey) {
        self.queued.push_back(flow);
        self.fill_slots();
    }

    /// Records the target's answer to a request.
    pub(super) fn record_answer(&mut self, flow: &FlowKey) {
        self.answered_at = self.now;
        if let Some(took) = self.remove(flow) {
            self.measure(took);
        }
    }

    /// Records the end of a request whose duration says nothing about the service time, unless it
    /// ran longer than the average.
    pub(super) fn record_abandoned(&mut self, flow: &FlowKey) {
        let Some(ran_for) = self.remove(flow) else { return };
        if self.average.is_some_and(|average| ran_for as f64 > average.ms) {
            self.measure(ran_for);
        }
    }

    /// Returns the load to report to balancers, for `waiting` unanswered requests and `expected`
    /// flows whose first requests are still to come.
    pub(super) fn load(&self, waiting: u32, expected: u32, now: Millis) -> TargetLoad {
        let times = self.slots.zip(self.service_ms(now));
        let Some((slots, service_ms)) = times else { return waiting.into() };
        let slots = f64::from(slots);
        let beyond_slots = (f64::from(waiting + expected) + 1.0 - slots).max(0.0);
        let queue = beyond_slots / slots;
        let steady = steady_wait(self.utilisation_at(now), slots);
        let expected_ms = service_ms * (1.0 + queue.max(steady));
        TargetLoad {
            waiting,
            expected_ms: Some(whole_ms(expected_ms)),
            service_ms: Some(whole_ms(service_ms)),
        }
    }

    /// Whether the target has not answered for far longer than a request takes.
    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        let average = self.average.filter(Average::is_known);
        let oldest = self.running.iter().map(|(_, since)| *since).min();
        let Some((average, oldest)) = average.zip(oldest) else { return false };
        let required =
            self.slots.map_or(MIN_STALLED_REQUESTS, |slots| slots.min(MIN_STALLED_REQUESTS));
        if self.running.len() < required as usize {
            return false;
        }
        let silent_for = now.saturating_sub(oldest.max(self.answered_at)) as f64;
        silent_for >= (average.ms * STALLED_MULTIPLE).max(MIN_STALLED_MS)
    }

    /// Returns the average, raised by running requests that already exceed it as if they were
    /// answered now. This reveals a stalled target without an answer from it.
    fn service_ms(&self, now: Millis) -> Option<f64> {
        let running_for = self.running.iter().map(|(_, since)| now.saturating_sub(*since));
        let fresh = self.average.filter(|average| !is_expired(average, now));
        let Some(average) = fresh.filter(Average::is_known) else {
            let longest = running_for.max().filter(|longest| *longest >= LONG_REQUEST_MS);
            return longest.map(|longest| longest as f64);
        };
        let raise = |ms: f64, ran_for: Millis| ms + (ran_for as f64 - ms).max(0.0) * MIN_WEIGHT;
        Some(running_for.fold(average.ms, raise))
    }

    fn measure(&mut self, took: Millis) {
        if self.slots.is_none() {
            return;
        }
        let fresh = self.average.filter(|average| !is_expired(average, self.now));
        self.average = Some(match fresh {
            Some(average) => average.updated(took as f64, self.now),
            None => Average::first(took as f64, self.now),
        });
    }

    /// Removes a request. Returns how long it ran.
    fn remove(&mut self, flow: &FlowKey) -> Option<Millis> {
        if let Some(index) = self.running.iter().position(|(running, _)| running == flow) {
            let (_, since) = self.running.swap_remove(index);
            self.fill_slots();
            return Some(self.now.saturating_sub(since));
        }
        // The target uses another order: a request that was assumed to run has not started. Its
        // running time is attributed to the one that ended.
        let index = self.queued.iter().position(|queued| queued == flow)?;
        self.queued.remove(index);
        let latest = self.running.iter_mut().max_by_key(|(_, since)| *since)?;
        let since = std::mem::replace(&mut latest.1, self.now);
        Some(self.now.saturating_sub(since))
    }

    fn fill_slots(&mut self) {
        let slots = self.slots.unwrap_or(u32::MAX) as usize;
        while self.running.len() < slots
            && let Some(flow) = self.queued.pop_front()
        {
            self.running.push((flow, self.now));
        }
    }

    fn utilisation_at(&self, now: Millis) -> f64 {
        let slots = f64::from(self.slots.unwrap_or(u32::MAX));
        let busy_share = (self.running.len() as f64 / slots).min(1.0);
        let elapsed = now.saturating_sub(self.now) as f64;
        let decay = (-elapsed / UTILISATION_TIME_CONSTANT_MS).exp();
        busy_share + (self.utilisation - busy_share) * decay
    }
}

fn is_expired(average: &Average, now: Millis) -> bool {
    now.saturating_sub(average.measured_at) >= AVERAGE_LIFETIME_MS
}

/// Mean wait in a queue with several servers, in multiples of the service time (Sakasegawa's
/// approximation for M/M/k). Most of the load of the last second came from flows that are still
/// open and cannot be moved.
fn steady_wait(utilisation: f64, slots: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    let wait = utilisation.powf(exponent) / (slots * (1.0 - utilisation));
    wait.min(MAX_STEADY_WAIT)
}

/// Rounds to whole milliseconds, at least 1. Float-to-integer casts saturate.
fn whole_ms(ms: f64) -> u32 {
    ms.round().max(1.0) as u32
}
