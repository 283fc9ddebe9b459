//! Opening packets that wait at the balancer until an agent grants capacity.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, PeerMessage, ServiceId};
use weirhinge_steering::{CapacityGrant, GrantOutcome, ResolvedOpening};

use super::Daemon;
use crate::platform::Platform;

impl<P: Platform> Daemon<P> {
    /// Answers an agent's grant with the first queued opening that may use it, or declines it.
    pub(super) fn handle_grant(&self, grant: &CapacityGrant, now: Millis) {
        let GrantOutcome { granted, resolved } =
            self.decide(now, |core, context| core.use_grant(context, grant));
        self.metrics.grants.increment(if granted.is_some() { "used" } else { "declined" });
        match granted {
            Some(opening) => {
                self.metrics.queue_seconds.observe(opening.waited_ms as f64 / 1_000.0);
                self.execute_resolved(opening, now);
            }
            None => self.link.send(grant.agent, &PeerMessage::Declined),
        }
        for opening in resolved {
            self.execute_resolved(opening, now);
        }
        self.update_queue_length();
    }

    /// Refuses openings that cannot be served in time, and requests capacity from further
    /// agents for those that still wait.
    pub(super) fn process_queue(&self, now: Millis) {
        let refused = self.core.borrow_mut().refuse_overdue(now);
        for opening in refused {
            self.execute_resolved(opening, now);
        }
        let requests = self.decide(now, |core, context| core.due_capacity_requests(context));
        for request in requests {
            self.request_capacity(&request.agents, request.service, request.demand);
        }
        self.update_queue_length();
    }

    /// Sends agents a request for capacity.
    pub(super) fn request_capacity(
        &self,
        agents: &[Ipv4Addr],
        service: ServiceId,
        demand: OpeningDemand,
    ) {
        for agent in agents {
            self.link.send(*agent, &PeerMessage::Demand { service: service.0, demand });
        }
    }

    /// Executes the decision about an opening that no longer waits.
    fn execute_resolved(&self, opening: ResolvedOpening, now: Millis) {
        let ResolvedOpening { header, bytes, decision, .. } = opening;
        self.execute_decision(decision, &header, &bytes, now);
    }

    pub(super) fn update_queue_length(&self) {
        self.metrics.queue_length.set(self.core.borrow().queue_length() as i64);
    }
}
