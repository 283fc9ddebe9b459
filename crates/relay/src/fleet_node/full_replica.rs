//! Full replicas at agents, from which balancers that start without any state recover the records
//! of the targets while the store is down.

use std::net::Ipv4Addr;

use slog::info;
use weirhinge_fleet::{
    Digest, FetchRequest, FetchScope, Millis, PeerRole, Position, Replica, Update,
};

use super::FleetNode;

/// An agent discards its replica when balancers have not requested it for this long although they
/// know later changes. Balancers repeat their request twice a second.
const REQUEST_LIFETIME_MS: Millis = 60_000;

/// A replica of everything that balancers know, held by an agent. It is separate from the agent's
/// own state, which covers one target only.
#[derive(Debug)]
pub(super) struct FullReplica {
    replica: Replica,
    /// When a balancer last requested it.
    requested_at: Millis,
}

impl FullReplica {
    /// Ends the hold period after a restore of the store if it is over.
    pub(super) fn expire_hold(&mut self, now: Millis) {
        self.replica.expire_hold(now);
    }
}

impl FleetNode {
    /// Whether this balancer requests a full replica of a digest's sender.
    pub(super) fn requests_replica_of(&self, digest: &Digest) -> bool {
        let is_selected = self.replica_agents.contains(&Ipv4Addr::from_bits(digest.sender));
        is_selected && digest.role == PeerRole::Agent && !self.replica.position().is_start()
    }

    /// Processes a balancer's request to keep a full replica. `age_ms` is the age of the balancer's
    /// state. Returns whether to fetch the changes up to `position`.
    pub fn on_replica_request(
        &mut self,
        position: Position,
        age_ms: Option<u64>,
        now: Millis,
    ) -> bool {
        if self.role != PeerRole::Agent {
            return false;
        }
        let hold_ms = self.timing.renewal_grace_ms;
        let full_replica = self.full_replica.get_or_insert_with(|| {
            info!(self.log, "fleet: full replica requested"; "event" => "replica_requested",
                "revision" => position.revision);
            FullReplica { replica: Replica::with_hold(hold_ms), requested_at: now }
        });
        full_replica.requested_at = now;
        let known = full_replica.replica.position();
        if let Some(age_ms) = age_ms.filter(|_| position == known) {
            full_replica.replica.confirm(position, age_ms, now);
        }
        position > known
    }

    /// Discards this agent's full replica if balancers know later changes than it contains and have
    /// not requested it for a long time. While there are no balancers, it is kept.
    pub(super) fn discard_unrequested_replica(&mut self, balancer: &Digest, now: Millis) {
        let is_unrequested = self.full_replica.as_ref().is_some_and(|full_replica| {
            let unrequested_ms = now.saturating_sub(full_replica.requested_at);
            unrequested_ms >= REQUEST_LIFETIME_MS
                && balancer.position > full_replica.replica.position()
        });
        if is_unrequested {
            self.full_replica = None;
            info!(self.log, "fleet: full replica discarded"; "event" => "replica_discarded");
        }
    }

    /// Returns the position of this agent's full replica; none without one or before its first
    /// fetch.
    pub fn replica_position(&self) -> Option<Position> {
        let position = self.full_replica.as_ref()?.replica.position();
        Some(position).filter(|position| !position.is_start())
    }

    /// Returns the position of this agent's full replica if it contains the targets that were removed
    /// recently.
    pub(super) fn replica_with_removed_targets(&self, now: Millis) -> Option<Position> {
        let replica = &self.full_replica.as_ref()?.replica;
        replica.knows_removed_targets(now).then(|| replica.position())
    }

    /// Whether this balancer lacks changes that a full replica at this position contains.
    pub fn needs_replica(&self, position: Position) -> bool {
        self.role == PeerRole::Balancer && position > self.replica.position()
    }

    /// Returns the request for the changes that this agent's full replica lacks.
    pub fn full_replica_request(&self) -> Option<FetchRequest> {
        let replica = &self.full_replica.as_ref()?.replica;
        let (after, configuration) = (replica.position(), replica.version());
        let scope = FetchScope::All;
        Some(FetchRequest { after, configuration, scope, with_removed: false })
    }

    /// Applies an update to this agent's full replica.
    pub fn apply_to_full_replica(&mut self, update: Update, now: Millis) {
        if let Some(full_replica) = &mut self.full_replica {
            full_replica.replica.apply(update, now);
        }
    }

    /// Answers a fetch request from this agent's full replica, or with the configuration and the
    /// evacuated zones if it has none. The configuration known to the agent may be the newer one.
    pub(super) fn agent_answer(&self, request: &FetchRequest, now: Millis) -> Update {
        let known = self.replica.configuration_only();
        let Some(full_replica) = self
            .full_replica
            .as_ref()
            .filter(|_| request.scope == FetchScope::All && self.replica_position().is_some())
        else {
            return known;
        };
        let mut update = full_replica.replica.update_for(request, now);
        if self.replica.version() > full_replica.replica.version() {
            update.configuration = known.configuration;
        }
        update
    }
}
