//! Exchange of the targets that were removed from the store recently and may still hold flows. A
//! balancer that starts cannot learn of them from the store.

use std::net::Ipv4Addr;

use weirhinge_fleet::{FetchRequest, Millis, PeerRole, Position};

use super::FleetNode;

impl FleetNode {
    /// Whether this daemon knows the targets that were removed from the store recently.
    pub fn knows_removed_targets(&self, now: Millis) -> bool {
        self.replica.knows_removed_targets(now)
    }

    /// Returns the position of the state that contains the recently removed targets; none if this
    /// daemon does not know them.
    pub(super) fn removed_targets_position(&self, now: Millis) -> Option<Position> {
        match self.role {
            PeerRole::Balancer => self.knows_removed_targets(now).then(|| self.replica.position()),
            PeerRole::Agent => self.replica_with_removed_targets(now),
        }
    }

    /// Whether this balancer asks its peers for the recently removed targets.
    pub(super) fn needs_removed_targets(&self, now: Millis) -> bool {
        self.role == PeerRole::Balancer && self.replica.needs_removed_targets(now)
    }

    /// Records that a peer, at this position, knows the recently removed targets.
    pub fn note_removed_targets_source(&mut self, peer: Ipv4Addr, position: Position) {
        self.removed_targets_source = Some((peer, position));
    }

    /// Takes the peer to fetch the recently removed targets from, with its position; none if this
    /// balancer has no state yet, does not need them, or knows of no such peer. A source is used
    /// once; further ones answer the next digests.
    pub fn take_removed_targets_source(&mut self, now: Millis) -> Option<(Ipv4Addr, Position)> {
        if self.replica.position().is_start() {
            return None;
        }
        let source = self.removed_targets_source.take()?;
        let is_useful =
            self.needs_removed_targets(now) && self.replica.can_learn_removals_at(source.1);
        is_useful.then_some(source)
    }

    /// Returns the request for the recently removed targets and the changes that this balancer
    /// lacks.
    pub fn removed_targets_request(&self) -> FetchRequest {
        FetchRequest { with_removed: true, ..self.request() }
    }
}
