//! Tracks whether the target may hold former flows: flows of routes that no longer name its
//! service.
//!
//! Such flows were opened while their routes named the service. Balancers that do not know a flow
//! search for it at this target only as long as the target may hold former flows.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;

use weirhinge_fleet::{Millis, ServiceId};

use super::{Agent, FLOW_IDLE_MS, Flow};
use crate::packet::FlowKey;
use crate::view::FleetView;

/// How long balancers that have not received a route change yet may open flows of the route at
/// targets of a service that the change removed.
const ROUTE_PROPAGATION_MS: Millis = 3_000;

/// Endpoints of the routes that name the target's service, and flows that are not tracked although
/// the target may hold them.
#[derive(Clone, Debug, Default)]
pub(super) struct FormerFlows {
    version: Option<u64>,
    /// Endpoints of the routes that name the service.
    endpoints: HashSet<SocketAddrV4>,
    /// Idle time after which the target may drop a flow.
    idle_ms: Millis,
    /// When a route was last changed to no longer name the service.
    removed_at: Option<Millis>,
    /// Endpoints of untracked flows that the target may hold, each with the time at which the idle
    /// timeout of its last such flow ends.
    untracked: HashMap<SocketAddrV4, Millis>,
}

impl FormerFlows {
    /// How long an idle flow is tracked.
    pub(super) fn idle_ms(&self) -> Millis {
        self.idle_ms.max(FLOW_IDLE_MS)
    }

    /// Records a flow that is not tracked although the target may hold it.
    pub(super) fn record_untracked(&mut self, flow: &FlowKey, used_at: Millis) {
        let until = used_at + self.idle_ms();
        let known = self.untracked.entry(flow.service).or_default();
        *known = until.max(*known);
    }

    /// Records all of these flows that the target may hold as untracked.
    pub(super) fn record_all_untracked(&mut self, flows: &HashMap<FlowKey, Flow>) {
        for (key, flow) in flows.iter().filter(|(_, flow)| may_be_held(flow)) {
            self.record_untracked(key, flow.used_at);
        }
    }

    fn update_routes(&mut self, view: &FleetView, service: ServiceId, now: Millis) {
        let Some(version) = view.label().map(|label| label.version) else { return };
        if self.version == Some(version) {
            return;
        }
        let endpoints = view.route_services().filter(|(_, named)| *named == service);
        let endpoints: HashSet<SocketAddrV4> = endpoints.map(|(endpoint, _)| endpoint).collect();
        let is_next = self.version.is_none_or(|known| known + 1 == version);
        if !is_next || !self.endpoints.is_subset(&endpoints) {
            self.removed_at = Some(now);
        }
        self.idle_ms = view.idle_timeout_ms().unwrap_or(FLOW_IDLE_MS);
        self.endpoints = endpoints;
        self.version = Some(version);
    }

    fn may_have_unknown_flows(&self, now: Millis) -> bool {
        // Times count from the start of the process, before which no flow was tracked.
        let recently_removed = self.removed_at.is_some_and(|at| now < at + ROUTE_PROPAGATION_MS);
        now < self.idle_ms || recently_removed
    }
}

impl Agent {
    /// Updates the routes from the configuration in effect. To be called regularly.
    pub fn update_routes(&mut self, view: &FleetView, now: Millis) {
        self.former.update_routes(view, self.service, now);
        self.former.untracked.retain(|_, until| now < *until);
    }

    /// Returns the configuration version under which the target holds no former flow, or `None` if
    /// it may hold one.
    pub fn without_former_flows(&self, now: Millis) -> Option<u64> {
        let is_former = |endpoint: &SocketAddrV4| !self.former.endpoints.contains(endpoint);
        let mut tracked = self.flows.iter().filter(|(_, flow)| may_be_held(flow));
        let mut untracked = self.former.untracked.iter().filter(|(_, until)| now < **until);
        let may_hold = self.former.may_have_unknown_flows(now)
            || tracked.any(|(key, _)| is_former(&key.service))
            || untracked.any(|(endpoint, _)| is_former(endpoint));
        self.former.version.filter(|_| !may_hold)
    }
}

/// Whether the target may hold a flow. False if the target received nothing of it but a search
/// packet and did not answer.
fn may_be_held(flow: &Flow) -> bool {
    flow.confirmed || flow.searched_since != Some(flow.opened_at)
}
