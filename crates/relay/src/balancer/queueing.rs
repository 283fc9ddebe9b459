//! Openings that wait here until an agent grants room.

use std::net::Ipv4Addr;

use weirhinge_fleet::{Millis, OpeningDemand, PeerMessage, ServiceId};
use weirhinge_steering::{GrantAnswer, RoomGrant, SettledOpening};

use super::Daemon;
use crate::platform::Platform;

impl<P: Platform> Daemon<P> {
    /// Answers an agent's grant with the opening that goes first, or declines it.
    pub(super) fn take_grant(&self, grant: &RoomGrant, now: Millis) {
        let GrantAnswer { granted, settled } =
            self.decide(now, |core, context| core.grant(context, grant));
        self.metrics.grants.increment(if granted.is_some() { "used" } else { "declined" });
        match granted {
            Some(opening) => {
                self.metrics.queue_seconds.observe(opening.waited_ms as f64 / 1_000.0);
                self.settle(opening, now);
            }
            None => self.link.send(grant.agent, &PeerMessage::Declined),
        }
        for opening in settled {
            self.settle(opening, now);
        }
        self.show_queue_length();
    }

    /// Tells the clients of openings that cannot be served in time, and asks further agents
    /// for room for those that still wait.
    pub(super) fn continue_queue(&self, now: Millis) {
        let refused = self.core.borrow_mut().due_refusals(now);
        for opening in refused {
            self.settle(opening, now);
        }
        let requests = self.decide(now, |core, context| core.due_room_requests(context));
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

    fn settle(&self, opening: SettledOpening, now: Millis) {
        let SettledOpening { header, bytes, decision, .. } = opening;
        self.carry_out(decision, &header, &bytes, now);
    }

    pub(super) fn show_queue_length(&self) {
        self.metrics.queue_length.set(self.core.borrow().queue_length() as i64);
    }
}
