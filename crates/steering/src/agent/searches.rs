//! Answers searches for the target that holds a flow.

use weirhinge_fleet::Millis;

use super::Agent;
use super::decision::HoldsNotice;
use crate::arrival::Arrival;

/// Time within which a target bounces a packet of a flow that it does not hold, with allowance for
/// a busy machine.
const BOUNCE_TIMEOUT_MS: Millis = 30;
/// Output of the target this long after a delivery shows that the target processed the packet: it
/// processes packets in order.
const PROCESSED_AFTER_MS: Millis = 2;
/// A target without output for this long after a search packet may be stalled, and the balancer
/// has moved on to other targets.
const SEARCH_TIMEOUT_MS: Millis = 120;

impl Agent {
    /// Returns the immediate answer to a search if the agent knows that the target holds the flow.
    /// The target itself may take longer to answer than the balancer waits before it searches
    /// elsewhere. If the target lost the flow, its bounce corrects the answer.
    pub(super) fn search_notice(&self, arrival: &Arrival<'_>) -> Option<HoldsNotice> {
        let flow = arrival.header.client_flow();
        let entry = self.flows.get(&flow).filter(|_| arrival.search.is_some())?;
        entry.is_held().then_some(HoldsNotice { balancer: arrival.balancer, flow, confirmed: true })
    }

    /// Returns the notice for the next search whose packet the target processed and did not bounce.
    /// Such a target holds the flow, though its answer may take longer than balancers wait.
    pub fn next_search_notice(&mut self, now: Millis) -> Option<HoldsNotice> {
        while let Some((delivered_at, flow)) = self.searches.front().copied() {
            if now < delivered_at + BOUNCE_TIMEOUT_MS {
                return None;
            }
            let is_processed =
                self.last_output_at.is_some_and(|at| at >= delivered_at + PROCESSED_AFTER_MS);
            if !is_processed && now < delivered_at + SEARCH_TIMEOUT_MS {
                return None;
            }
            self.searches.pop_front();
            let entry = self.flows.get_mut(&flow);
            let same_search = entry.filter(|entry| entry.searched_since == Some(delivered_at));
            if let Some(entry) = same_search.filter(|_| is_processed) {
                entry.searched_since = None;
                return Some(HoldsNotice { balancer: entry.balancer, flow, confirmed: true });
            }
        }
        None
    }
}
