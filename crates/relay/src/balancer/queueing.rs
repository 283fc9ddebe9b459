//! Openings that wait here until an agent grants room.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, PeerMessage, ServiceId};
use weirhinge_steering::{CapacityGrant, GrantOutcome, ResolvedOpening};

use super::Daemon;
use crate::platform::Platform;

impl<P: Platform> Daemon<P> {
    /// Answers an agent's grant with the opening that goes first, or declines it.
    pub(super) fn take_grant(&self, grant: &CapacityGrant, now: Millis) {
        let GrantOutcome { granted, resolved } =
            self.decide(now, |core, context| core.use_grant(context, grant));
        self.metrics.grants.increment(if granted.is_some() { "used" } else { "declined" });
        match granted {
            Some(opening) => {
                self.metrics.queue_seconds.observe(opening.waited_ms as f64 / 1_000.0);
                self.resolve(opening, now);
            }
            None => self.link.send(grant.agent, &PeerMessage::Declined),
        }
        for opening in resolved {
            self.resolve(opening, now);
        }
        self.show_queue_length();
    }

    /// Tells the clients of openings that cannot be served in time, and asks further agents
    /// for room for those that still wait.
    pub(super) fn continue_queue(&self, now: Millis) {
        let refused = self.core.borrow_mut().refuse_overdue(now);
        for opening in refused {
            self.resolve(opening, now);
        }
        let requests = self.decide(now, |core, context| core.due_capacity_requests(context));
        for request in requests {
            self.ask_for_room(&request.agents, request.service, request.demand);
        }
        self.show_queue_length();
    }

    /// Asks agents for room.
    pub(super) fn ask_for_room(
        &self,
        agents: &[Ipv4Addr],
        service: ServiceId,
        demand: OpeningDemand,
    ) {
        for agent in agents {
            self.link.send(*agent, &PeerMessage::Demand { service: service.0, demand });
        }
    }

    fn resolve(&self, opening: ResolvedOpening, now: Millis) {
        let ResolvedOpening { header, bytes, decision, .. } = opening;
        self.carry_out(decision, &header, &bytes, now);
    }

    pub(super) fn show_queue_length(&self) {
        self.metrics.queue_length.set(self.core.borrow().queue_length() as i64);
    }
}
