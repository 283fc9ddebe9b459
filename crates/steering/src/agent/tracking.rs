//! Tracks the requests and the expected first requests of each flow.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, TargetLoad};

use super::flow::Flow;
use super::restart_checks::LatestPacket;
use super::{Agent, FLOW_CAPACITY, SEARCH_CAPACITY};
use crate::packet::{FlowKey, PacketHeader};

impl Agent {
    /// Returns the target's load, as reported to balancers.
    pub fn load(&self, now: Millis) -> TargetLoad {
        self.service_time.load(self.waiting, self.expected + self.grants.reserved(), now)
    }

    /// In-flight requests, plus those that admitted flows and outstanding grants are about to
    /// bring.
    pub(super) fn committed_requests(&self) -> u32 {
        self.waiting + self.expected + self.grants.reserved()
    }

    pub(super) fn expire_expected(&mut self, now: Millis) {
        while let Some((until, flow)) = self.expected_until.front().copied() {
            if until > now {
                return;
            }
            self.expected_until.pop_front();
            self.clear_expected(&flow);
        }
    }

    /// Measures the time from the admission of a flow to its first request. A request that arrives
    /// after its timeout counts as well, because it shows that the timeout was too short.
    pub(super) fn record_first_request(&mut self, flow: &FlowKey, now: Millis) {
        let entry = self.flows.get_mut(flow);
        if let Some(admitted_at) = entry.and_then(|entry| entry.admitted_at.take()) {
            self.round_trip.record(now.saturating_sub(admitted_at));
        }
    }

    /// Stops expecting the first request of a flow: it arrived, or its timeout has passed.
    pub(super) fn clear_expected(&mut self, flow: &FlowKey) {
        if let Some(flow) = self.flows.get_mut(flow)
            && std::mem::take(&mut flow.expected)
        {
            self.expected -= 1;
        }
    }

    pub(super) fn track(
        &mut self,
        header: &PacketHeader,
        packet: &[u8],
        balancer: Ipv4Addr,
        searched: bool,
        now: Millis,
    ) {
        let flow = header.client_flow();
        let is_new = !self.flows.contains_key(&flow);
        if is_new && self.flows.len() >= FLOW_CAPACITY {
            if !searched {
                self.former.record_untracked(&flow, now);
            }
            return;
        }
        self.service_time.advance(now);
        let is_expected = is_new && header.is_opening();
        if is_expected {
            self.cold_start.record_admission(now);
        }
        let entry = self.flows.entry(flow).or_insert(Flow {
            balancer,
            waiting_since: None,
            delivered_to: None,
            expected: is_expected,
            searched_since: None,
            confirmed: false,
            admitted_at: is_expected.then_some(now),
            opened_at: now,
            used_at: now,
            latest: LatestPacket::default(),
        });
        entry.balancer = balancer;
        entry.used_at = now;
        entry.update_latest(header, packet);
        if searched && entry.searched_since.is_none() {
            entry.searched_since = Some(now);
            if self.searches.len() < SEARCH_CAPACITY {
                self.searches.push_back((now, flow));
            }
        }
        if entry.record_data(header) && entry.waiting_since.is_none() {
            entry.waiting_since = Some(now);
            self.waiting += 1;
            self.service_time.record_delivery(flow);
        }
        if is_expected {
            self.expected += 1;
            let until = now + self.round_trip.timeout();
            self.expected_until.push_back((until, flow));
        }
        if header.length > 0 {
            self.record_first_request(&flow, now);
            self.clear_expected(&flow);
        }
        if header.flags.rst {
            self.untrack(&flow);
        }
    }

    pub(super) fn untrack(&mut self, flow: &FlowKey) {
        self.clear_expected(flow);
        if self.flows.remove(flow).is_some_and(|flow| flow.waiting_since.is_some()) {
            self.waiting -= 1;
            self.service_time.record_abandoned(flow);
        }
    }
}
