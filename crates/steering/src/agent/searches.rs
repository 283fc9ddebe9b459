//! Searches for a flow's target, as the agent of one that may hold it answers them.

use weirhinge_fleet::Millis;

use super::Agent;
use super::decision::HoldsNotice;
use crate::arrival::Arrival;

/// Time in which a target sends back a packet that it does not hold the flow of,
/// with room for a busy machine.
const BOUNCE_MS: Millis = 30;
/// What the target wrote this long after a packet was handed to it shows that it
/// saw the packet: it takes packets in their order.
const SEEN_MS: Millis = 2;
/// A target that wrote nothing for this long since a searching packet may stand
/// still; the balancer has looked elsewhere since.
const SEARCH_LIFETIME_MS: Millis = 120;

impl Agent {
    /// The answer to a search for a flow that the target holds as far as this agent
    /// knows. The target itself may take longer to answer than a balancer waits
    /// before it looks elsewhere; if it lost the flow, its bounce corrects this.
    pub(super) fn search_notice(&self, arrival: &Arrival<'_>) -> Option<HoldsNotice> {
        let flow = arrival.header.client_flow();
        let entry = self.flows.get(&flow).filter(|_| arrival.search.is_some())?;
        entry.is_held().then_some(HoldsNotice { balancer: arrival.balancer, flow, confirmed: true })
    }

    /// The next search whose packet the target has seen and not sent back: it holds
    /// the flow, though its answer may take longer than balancers wait.
    pub fn next_found(&mut self, now: Millis) -> Option<HoldsNotice> {
        while let Some((delivered_at, flow)) = self.searches.front().copied() {
            if now < delivered_at + BOUNCE_MS {
                return None;
            }
            let is_seen = self.wrote_at.is_some_and(|at| at >= delivered_at + SEEN_MS);
            if !is_seen && now < delivered_at + SEARCH_LIFETIME_MS {
                return None;
            }
            self.searches.pop_front();
            let entry = self.flows.get_mut(&flow);
            let same = entry.filter(|entry| entry.searched_since == Some(delivered_at));
            if let Some(entry) = same.filter(|_| is_seen) {
                entry.searched_since = None;
                return Some(HoldsNotice { balancer: entry.balancer, flow, confirmed: true });
            }
        }
        None
    }
}
