//! How long the target beside an agent takes for a request, measured from its answers.
//!
//! The target is taken to work on as many requests at once as it has slots, and to begin
//! others in their order as slots become free. A target that takes them in another order
//! shows the same average: slots that are at work for the same time answer as many requests.

use std::collections::VecDeque;

use weirhinge_fleet::{Millis, TargetLoad};

use crate::packet::FlowKey;

/// Weight of one more answer in the average: some ten answers replace it.
const ANSWER_WEIGHT: f64 = 0.125;
/// Time without an answer after which the next one has a greater weight, up to
/// [`MOST_WEIGHT`]: what was measured before is old by then.
const MEMORY_MS: f64 = 1_000.0;
/// Most weight of one more answer, once there are [`FEWEST_ANSWERS`].
const MOST_WEIGHT: f64 = 0.5;
/// Answers from which the average is told; fewer tell more of the requests than of the target.
const FEWEST_ANSWERS: u32 = 4;
/// Most that one answer counts, in multiples of the average: a few requests ask for far more
/// work than others, at any target.
const MOST_MULTIPLE: f64 = 4.0;
/// Least average for that bound. Times are whole milliseconds, so that a quick target's
/// average may be none at all.
const LEAST_BOUNDED_MS: f64 = 2.0;
/// Time without an answer after which nothing is known of the target any more, so that one
/// that was slow is tried again.
const AGED_MS: Millis = 3_000;
/// A request that takes this long is told of a target of which nothing else is known; well
/// above what an interactive request takes.
const LONG_REQUEST_MS: Millis = 200;
/// Time over which utilisation is measured.
const UTILISATION_MS: f64 = 1_000.0;
/// Most that a target's open flows are expected to make a request wait, in multiples of its
/// service time. The formula has no bound near full utilisation, where what is in hand now
/// tells more.
const MOST_STEADY_WAIT: f64 = 2.0;
/// A target without any answer for this long, in multiples of its average, hangs.
const HANGING_MULTIPLE: f64 = 8.0;
/// The same in milliseconds, at least: longer than a pause of a target's process.
const HANGING_MS: f64 = 500.0;
/// Requests that must run there, if it has as many slots: a single one may be a long one.
const HANGING_REQUESTS: u32 = 2;

/// A moving average of service times.
#[derive(Clone, Copy, Debug)]
struct Average {
    ms: f64,
    answers: u32,
    measured_at: Millis,
}

impl Average {
    fn first(took_ms: f64, now: Millis) -> Self {
        Self { ms: took_ms, answers: 1, measured_at: now }
    }

    fn with(self, took_ms: f64, now: Millis) -> Self {
        let since_last = now.saturating_sub(self.measured_at) as f64;
        let few = 1.0 / f64::from(self.answers + 1);
        let weight = few.max((since_last / MEMORY_MS).clamp(ANSWER_WEIGHT, MOST_WEIGHT));
        let most = self.ms.max(LEAST_BOUNDED_MS) * MOST_MULTIPLE;
        let took_ms = if self.is_known() { took_ms.min(most) } else { took_ms };
        Self {
            ms: self.ms + (took_ms - self.ms) * weight,
            answers: self.answers.saturating_add(1),
            measured_at: now,
        }
    }

    fn is_known(&self) -> bool {
        self.answers >= FEWEST_ANSWERS
    }
}

/// The requests at the target, and what its answers to earlier ones showed.
#[derive(Clone, Debug, Default)]
pub(super) struct ServiceTime {
    /// Requests that the target works on at once; nothing is measured until it is known.
    slots: Option<u32>,
    /// Requests that the target works on, and since when.
    running: Vec<(FlowKey, Millis)>,
    /// Requests that wait at the target for a slot.
    queued: VecDeque<FlowKey>,
    average: Option<Average>,
    /// Part of its slots that were at work, as a moving average.
    utilisation: f64,
    /// When the target last answered.
    answered_at: Millis,
    now: Millis,
}

impl ServiceTime {
    /// Notes how many requests the target works on at once.
    pub(super) fn set_slots(&mut self, slots: u32) {
        self.slots = Some(slots.max(1));
    }

    /// Moves on to a time; what is reported next happens then.
    pub(super) fn advance(&mut self, now: Millis) {
        self.utilisation = self.utilisation_at(now);
        self.now = now.max(self.now);
    }

    /// A request was handed to the target.
    pub(super) fn delivered(&mut self, flow: FlowKey) {
        self.queued.push_back(flow);
        self.fill_slots();
    }

    /// The target answered a request.
    pub(super) fn answered(&mut self, flow: &FlowKey) {
        self.answered_at = self.now;
        if let Some(took) = self.end(flow) {
            self.measure(took);
        }
    }

    /// A request ended without an answer that tells how long it takes. It took longer than
    /// the average if it ran for longer.
    pub(super) fn withdrawn(&mut self, flow: &FlowKey) {
        let Some(ran_for) = self.end(flow) else { return };
        if self.average.is_some_and(|average| ran_for as f64 > average.ms) {
            self.measure(ran_for);
        }
    }

    /// What balancers are told, with `waiting` requests in hand and first requests of
    /// `expected` more flows to come.
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

    /// Whether the target answered nothing for far longer than a request takes.
    pub(super) fn hangs(&self, now: Millis) -> bool {
        let average = self.average.filter(Average::is_known);
        let oldest = self.running.iter().map(|(_, since)| *since).min();
        let Some((average, oldest)) = average.zip(oldest) else { return false };
        let enough = self.slots.map_or(HANGING_REQUESTS, |slots| slots.min(HANGING_REQUESTS));
        if self.running.len() < enough as usize {
            return false;
        }
        let silent_for = now.saturating_sub(oldest.max(self.answered_at)) as f64;
        silent_for >= (average.ms * HANGING_MULTIPLE).max(HANGING_MS)
    }

    /// The average, where requests that already run for longer count as if they were
    /// answered now: a target that hangs is seen without an answer.
    fn service_ms(&self, now: Millis) -> Option<f64> {
        let running_for = self.running.iter().map(|(_, since)| now.saturating_sub(*since));
        let fresh = self.average.filter(|average| !is_aged(average, now));
        let Some(average) = fresh.filter(Average::is_known) else {
            let longest = running_for.max().filter(|longest| *longest >= LONG_REQUEST_MS);
            return longest.map(|longest| longest as f64);
        };
        let raise = |ms: f64, ran_for: Millis| ms + (ran_for as f64 - ms).max(0.0) * ANSWER_WEIGHT;
        Some(running_for.fold(average.ms, raise))
    }

    fn measure(&mut self, took: Millis) {
        if self.slots.is_none() {
            return;
        }
        let fresh = self.average.filter(|average| !is_aged(average, self.now));
        self.average = Some(match fresh {
            Some(average) => average.with(took as f64, self.now),
            None => Average::first(took as f64, self.now),
        });
    }

    /// Takes out a request. Returns for how long the target worked on it.
    fn end(&mut self, flow: &FlowKey) -> Option<Millis> {
        if let Some(place) = self.running.iter().position(|(running, _)| running == flow) {
            let (_, since) = self.running.swap_remove(place);
            self.fill_slots();
            return Some(self.now.saturating_sub(since));
        }
        // The target works on requests in another order: one that is taken to run has
        // not begun. Its time goes to the one that ended.
        let place = self.queued.iter().position(|queued| queued == flow)?;
        self.queued.remove(place);
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
        let at_work = (self.running.len() as f64 / slots).min(1.0);
        let elapsed = now.saturating_sub(self.now) as f64;
        let kept = (-elapsed / UTILISATION_MS).exp();
        at_work + (self.utilisation - at_work) * kept
    }
}

fn is_aged(average: &Average, now: Millis) -> bool {
    now.saturating_sub(average.measured_at) >= AGED_MS
}

/// Mean wait at a queue with several servers, in multiples of the service time (Sakasegawa's
/// approximation for M/M/k). What was asked of the target in the last second was asked on
/// flows that are open still for the most part, and cannot be moved.
fn steady_wait(utilisation: f64, slots: f64) -> f64 {
    let exponent = (2.0 * (slots + 1.0)).sqrt() - 1.0;
    let wait = utilisation.powf(exponent) / (slots * (1.0 - utilisation));
    wait.min(MOST_STEADY_WAIT)
}

/// At least a millisecond; a cast of a float saturates at the bounds of the integer.
fn whole_ms(ms: f64) -> u32 {
    ms.round().max(1.0) as u32
}
