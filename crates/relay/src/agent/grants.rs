//! Grants of capacity to balancers at which opening packets wait.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, PeerMessage, ServiceId};
use weirhinge_steering::Grant;

use super::Daemon;
use crate::platform::Platform;

impl<P: Platform> Daemon<P> {
    /// Handles a balancer's request for capacity.
    pub(super) fn handle_demand(
        &self,
        sender: Ipv4Addr,
        service: ServiceId,
        demand: OpeningDemand,
    ) {
        let now = self.clock.now();
        if !self.core.borrow_mut().demand(sender, service, demand, now) {
            return self.link.count_unexpected();
        }
        self.process_pending_openings();
    }

    /// Handles a declined grant: its capacity goes to another balancer.
    pub(super) fn handle_declined(&self, sender: Ipv4Addr) {
        let now = self.clock.now();
        let in_time = self.core.borrow_mut().declined(sender, now);
        self.metrics.grants_declined.inc();
        self.decisions.declined(sender, in_time, now);
        self.process_pending_openings();
    }

    /// Sends the next grant. Returns whether there was one.
    pub(super) fn send_next_grant(&self, now: Millis) -> bool {
        let grant = self.core.borrow_mut().next_grant(now);
        let Some(Grant { balancer, urgent_only }) = grant else { return false };
        let load = self.core.borrow().load(now);
        self.metrics.grants_sent.inc();
        self.decisions.granted(balancer, urgent_only, load.waiting, now);
        let service = ServiceId::of(&self.service).0;
        self.link.send(balancer, &PeerMessage::Grant { service, urgent_only, load });
        true
    }

    /// Logs and counts grants that balancers did not answer in time.
    pub(super) fn report_lapsed_grants(&self, now: Millis) {
        loop {
            let lapsed = self.core.borrow_mut().next_lapsed_balancer();
            let Some(balancer) = lapsed else { return };
            self.metrics.grants_lapsed.inc();
            self.decisions.lapsed(balancer, now);
        }
    }
}
