//! Compares the targets of a service by the time in which each would answer one more request.

use weirhinge_fleet::Millis;

use crate::agent_status::AgentStatuses;
use crate::selection::COLD_LOAD_PERCENT;
use crate::view::Candidate;

/// Targets from whose times the typical ones are taken: the first of a flow's order are any
/// of the service, and enough that a slow third of them is hardly ever taken for typical.
const TYPICAL_OF: usize = 16;
/// Age at which an agent's word about a wait is worth no more than that of any other: the
/// queue that it told of is gone.
const WAIT_LIFETIME_MS: f64 = 1_000.0;
/// The same for a service time: as for a wait, a target that was slow is tried again. In a
/// large fleet a balancer hears of most agents with the answers to its own openings alone.
const SERVICE_LIFETIME_MS: f64 = 10_000.0;
/// Differences in cost below this part of a typical service time are taken for none: what
/// is measured is that rough, and the first target of the flow's order is found soonest.
const STEPS_PER_SERVICE: f64 = 4.0;

/// What is expected of a target of which nothing is known.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalTimes {
    service_ms: f64,
    wait_ms: f64,
}

impl TypicalTimes {
    /// Those of the first targets in a flow's order; none if no agent told times.
    pub fn of(order: &[Candidate], statuses: &AgentStatuses, now: Millis) -> Option<Self> {
        let first = order.iter().take(TYPICAL_OF);
        let told = first.filter_map(|candidate| statuses.times(candidate.agent, now));
        let (services, waits) = told.map(|times| (times.service_ms, times.wait_ms)).unzip();
        Some(Self { service_ms: median(services)?.max(1.0), wait_ms: median(waits)? })
    }

    /// What one more request costs at a target, in steps. Each request in hand counts its
    /// share of a service time, also while slots are free: others come in the meantime.
    /// `charge_permille` is for its distance, in thousandths of a typical service time.
    pub fn cost(
        &self,
        candidate: &Candidate,
        charge_permille: u64,
        statuses: &AgentStatuses,
        now: Millis,
    ) -> u64 {
        let (service_ms, wait_ms) = self.times_of(candidate, statuses, now);
        let in_hand = f64::from(statuses.load(candidate.agent)) / f64::from(candidate.slots);
        let charge_ms = self.service_ms * charge_permille as f64 / 1_000.0;
        let cost_ms = service_ms * (1.0 + in_hand) + wait_ms + charge_ms;
        // A cast of a float saturates at the bounds of the integer.
        (cost_ms * STEPS_PER_SERVICE / self.service_ms).round() as u64
    }

    fn times_of(&self, candidate: &Candidate, statuses: &AgentStatuses, now: Millis) -> (f64, f64) {
        let Some(times) = statuses.times(candidate.agent, now) else {
            let is_cold = now < candidate.cold_until;
            let percent = if is_cold { COLD_LOAD_PERCENT as f64 } else { 100.0 };
            return (self.service_ms * percent / 100.0, self.wait_ms);
        };
        let age_ms = times.age_ms as f64;
        let aged = |told: u32, typical: f64, lifetime_ms: f64| {
            typical + (f64::from(told) - typical) * (1.0 - age_ms / lifetime_ms).max(0.0)
        };
        let service_ms = aged(times.service_ms, self.service_ms, SERVICE_LIFETIME_MS);
        (service_ms, aged(times.wait_ms, self.wait_ms, WAIT_LIFETIME_MS))
    }
}

/// Milliseconds in which a target is expected to answer one more request, as its agent told,
/// with what was sent since.
pub fn expected_ms(candidate: &Candidate, statuses: &AgentStatuses, now: Millis) -> Option<u64> {
    let times = statuses.times(candidate.agent, now)?;
    let sent_since = u64::from(statuses.sent_since(candidate.agent));
    let service_ms = u64::from(times.service_ms);
    let sent_ms = sent_since * service_ms / u64::from(candidate.slots);
    Some(service_ms + u64::from(times.wait_ms) + sent_ms)
}

fn median(mut values: Vec<u32>) -> Option<f64> {
    values.sort_unstable();
    values.get(values.len().saturating_sub(1) / 2).copied().map(f64::from)
}
