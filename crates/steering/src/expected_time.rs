//! Compares the targets of a service by the time that each needs to answer one more request.

use weirhinge_fleet::Millis;

use crate::agent_status::AgentStatuses;
use crate::selection::COLD_LOAD_PERCENT;
use crate::view::Candidate;

/// Number of targets that the typical times are computed from. The first targets in a flow's order
/// are a random sample of the service, and with 16 of them a slow third hardly ever determines the
/// median.
const TYPICAL_SAMPLE: usize = 16;
/// Age at which a reported wait time says no more than the typical one: the queue that it described
/// is gone.
const WAIT_LIFETIME_MS: f64 = 1_000.0;
/// The same for a service time, so that a target that was slow is tried again. In a large fleet, a
/// balancer receives reports from most agents only with the answers to its own opening packets.
const SERVICE_LIFETIME_MS: f64 = 10_000.0;
/// Steps of the cost per typical service time. Smaller differences are ignored: measurements are no
/// more precise than that, and among equal costs the first target in the flow's order is found
/// soonest by a search.
const COST_STEPS_PER_SERVICE_TIME: f64 = 4.0;

/// The times expected of a target without a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TypicalTimes {
    service_ms: f64,
    wait_ms: f64,
}

impl TypicalTimes {
    /// Returns the typical times of the first targets in a flow's order; none if no agent reported
    /// times.
    pub fn of(order: &[Candidate], statuses: &AgentStatuses, now: Millis) -> Option<Self> {
        let first = order.iter().take(TYPICAL_SAMPLE);
        let reported = first.filter_map(|candidate| statuses.times(candidate.agent, now));
        let (services, waits) = reported.map(|times| (times.service_ms, times.wait_ms)).unzip();
        Some(Self { service_ms: median(services)?.max(1.0), wait_ms: median(waits)? })
    }

    /// Returns the cost of one more request at a target, in steps. Each waiting request adds its
    /// share of a service time, even while slots are free, because more requests arrive in the
    /// meantime. `surcharge_permille` is the surcharge for the distance, in thousandths of a
    /// typical service time.
    pub fn cost(
        &self,
        candidate: &Candidate,
        surcharge_permille: u64,
        statuses: &AgentStatuses,
        now: Millis,
    ) -> u64 {
        let (service_ms, wait_ms) = self.times_of(candidate, statuses, now);
        let waiting_per_slot =
            f64::from(statuses.load(candidate.agent)) / f64::from(candidate.slots);
        let surcharge_ms = self.service_ms * surcharge_permille as f64 / 1_000.0;
        let cost_ms = service_ms * (1.0 + waiting_per_slot) + wait_ms + surcharge_ms;
        // A float-to-integer cast saturates at the bounds of the integer.
        (cost_ms * COST_STEPS_PER_SERVICE_TIME / self.service_ms).round() as u64
    }

    fn times_of(&self, candidate: &Candidate, statuses: &AgentStatuses, now: Millis) -> (f64, f64) {
        let Some(times) = statuses.times(candidate.agent, now) else {
            let is_cold = now < candidate.cold_until;
            let percent = if is_cold { COLD_LOAD_PERCENT as f64 } else { 100.0 };
            return (self.service_ms * percent / 100.0, self.wait_ms);
        };
        let age_ms = times.age_ms as f64;
        let aged = |reported: u32, typical: f64, lifetime_ms: f64| {
            typical + (f64::from(reported) - typical) * (1.0 - age_ms / lifetime_ms).max(0.0)
        };
        let service_ms = aged(times.service_ms, self.service_ms, SERVICE_LIFETIME_MS);
        (service_ms, aged(times.wait_ms, self.wait_ms, WAIT_LIFETIME_MS))
    }
}

/// Returns the milliseconds in which a target is expected to answer one more request: the reported
/// times plus the openings sent since. None without a report.
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
