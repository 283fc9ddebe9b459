//! Whether the target may hold flows of routes that do not name its service.
//!
//! Such flows were opened when their routes did. Balancers that do not know them ask the
//! target only while it may hold some.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

use weirhinge_fleet::{Millis, ServiceId};

use super::{Agent, FLOW_IDLE_MS, Flow};
use crate::packet::FlowKey;
use crate::view::FleetView;

/// For how long after a service left a route balancers that do not know of it yet may open
/// flows of the route at its targets.
const ROUTES_SPREAD_MS: Millis = 3_000;

/// What is known of the routes of the target's service, and of flows that are not followed.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerFlows {
    version: Option<u64>,
    /// Addresses and ports of the routes that name the service.
    named: HashSet<SocketAddrV4>,
    /// Time after which the target may forget a resting flow.
    idle_ms: Millis,
    /// When a route last stopped naming the service.
    left_at: Option<Millis>,
    /// Flows that the target may hold and that are not followed, by their routes' addresses
    /// and ports, each with the time until which they may rest.
    unfollowed: HashMap<SocketAddrV4, Millis>,
}

impl FormerFlows {
    /// For how long a resting flow is followed.
    pub(super) fn idle_ms(&self) -> Millis {
        self.idle_ms.max(FLOW_IDLE_MS)
    }

    /// Notes that a flow is not followed any more, though the target may hold it.
    pub(super) fn unfollow(&mut self, flow: &FlowKey, used_at: Millis) {
        let until = used_at + self.idle_ms();
        let known = self.unfollowed.entry(flow.service).or_default();
        *known = until.max(*known);
    }

    /// Notes the same of all these flows.
    pub(super) fn unfollow_all(&mut self, flows: &HashMap<FlowKey, Flow>) {
        for (key, flow) in flows.iter().filter(|(_, flow)| may_be_held(flow)) {
            self.unfollow(key, flow.used_at);
        }
    }

    fn learn(&mut self, view: &FleetView, service: ServiceId, now: Millis) {
        let Some(version) = view.label().map(|label| label.version) else { return };
        if self.version == Some(version) {
            return;
        }
        let named = view.route_services().filter(|(_, named)| *named == service);
        let named: HashSet<SocketAddrV4> = named.map(|(endpoint, _)| endpoint).collect();
        let is_next = self.version.is_none_or(|known| known + 1 == version);
        if !is_next || !self.named.is_subset(&named) {
            self.left_at = Some(now);
        }
        self.idle_ms = view.idle_timeout_ms().unwrap_or(FLOW_IDLE_MS);
        self.named = named;
        self.version = Some(version);
    }

    fn is_unsettled(&self, now: Millis) -> bool {
        // The clock begins with the process, which followed no flow before.
        let left_lately = self.left_at.is_some_and(|at| now < at + ROUTES_SPREAD_MS);
        now < self.idle_ms || left_lately
    }
}

impl Agent {
    /// Takes in the routes in force; to be called regularly.
    pub fn learn_routes(&mut self, view: &FleetView, now: Millis) {
        self.former.learn(view, self.service, now);
        self.former.unfollowed.retain(|_, until| now < *until);
    }

    /// The version of the configuration by which the target holds no flow of a route that
    /// does not name its service; none if it may hold one.
    pub fn without_former_flows(&self, now: Millis) -> Option<u64> {
        let is_former = |endpoint: &SocketAddrV4| !self.former.named.contains(endpoint);
        let mut followed = self.flows.iter().filter(|(_, flow)| may_be_held(flow));
        let mut unfollowed = self.former.unfollowed.iter().filter(|(_, until)| now < **until);
        let may_hold = self.former.is_unsettled(now)
            || followed.any(|(key, _)| is_former(&key.service))
            || unfollowed.any(|(endpoint, _)| is_former(endpoint));
        self.former.version.filter(|_| !may_hold)
    }
}

/// Whether the target may hold a flow, other than one of which it only got a searching packet.
fn may_be_held(flow: &Flow) -> bool {
    flow.confirmed || flow.searched_since != Some(flow.opened_at)
}
