//! What an agent follows of each flow: requests that wait, and first requests that are
//! expected.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, TargetLoad};

use super::flow::Flow;
use super::restart_checks::LatestPacket;
use super::{Agent, FLOW_CAPACITY, SEARCH_CAPACITY};
use crate::packet::{FlowKey, PacketHeader};

impl Agent {
    /// How busy the target is, for balancers.
    pub fn load(&self, now: Millis) -> TargetLoad {
        self.service_time.load(self.waiting, self.expected + self.grants.kept(), now)
    }

    /// Requests in hand, those that admitted flows are about to bring, and room kept for
    /// balancers.
    pub(super) fn requests_in_hand(&self) -> u32 {
        self.waiting + self.expected + self.grants.kept()
    }

    pub(super) fn drop_expectations(&mut self, now: Millis) {
        while let Some((until, flow)) = self.expectations.front().copied() {
            if until > now {
                return;
            }
            self.expectations.pop_front();
            self.fulfil(&flow);
        }
    }

    /// Measures how long a flow that was admitted took to bring its first request. One that
    /// came too late to be expected counts as well: the wait was too short for it.
    pub(super) fn note_first_request(&mut self, flow: &FlowKey, now: Millis) {
        let entry = self.flows.get_mut(flow);
        if let Some(admitted_at) = entry.and_then(|entry| entry.admitted_at.take()) {
            self.round_trip.note(now.saturating_sub(admitted_at));
        }
    }

    /// A flow's first request came, or is no longer expected.
    pub(super) fn fulfil(&mut self, flow: &FlowKey) {
        if let Some(flow) = self.flows.get_mut(flow)
            && std::mem::take(&mut flow.expected)
        {
            self.expected -= 1;
        }
    }

    pub(super) fn follow(
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
                self.former.unfollow(&flow, now);
            }
            return;
        }
        self.service_time.advance(now);
        let is_expected = is_new && header.is_opening();
        if is_expected {
            self.cold_start.admitted(now);
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
        entry.keep_latest(header, packet);
        if searched && entry.searched_since.is_none() {
            entry.searched_since = Some(now);
            if self.searches.len() < SEARCH_CAPACITY {
                self.searches.push_back((now, flow));
            }
        }
        if entry.takes_new_data(header) && entry.waiting_since.is_none() {
            entry.waiting_since = Some(now);
            self.waiting += 1;
            self.service_time.delivered(flow);
        }
        if is_expected {
            self.expected += 1;
            let until = now + self.round_trip.expected_within();
            self.expectations.push_back((until, flow));
        }
        if header.length > 0 {
            self.note_first_request(&flow, now);
            self.fulfil(&flow);
        }
        if header.flags.rst {
            self.forget(&flow);
        }
    }

    pub(super) fn forget(&mut self, flow: &FlowKey) {
        self.fulfil(flow);
        if self.flows.remove(flow).is_some_and(|flow| flow.waiting_since.is_some()) {
            self.waiting -= 1;
            self.service_time.withdrawn(flow);
        }
    }
}
