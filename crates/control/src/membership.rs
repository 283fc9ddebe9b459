//! The replicas that a balancer knows, and the voters that a leader proposes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use weirhinge_consensus::{
    MembershipChange, MembershipPlan, Node, ReplicaId, ReplicaStatus, plan_change,
};

use crate::frame::FrameSender;
use crate::state_machine::ConfigStateMachine;

/// The desired number of voters. There are fewer while there are fewer balancers.
const PLAN: MembershipPlan = MembershipPlan { size: 5 };
/// Time without an answer after which the leader considers a voter dead.
const DEAD_AFTER: Duration = Duration::from_millis(1_500);
/// Time without a frame after which a replica is no longer considered live, and the
/// leader stops replicating to it as a learner.
const FORGET_PEER_AFTER: Duration = Duration::from_secs(5);

/// A known replica.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) control: SocketAddr,
    pub(crate) zone: String,
    last_seen_at: Instant,
}

/// All known replicas, by identity.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<ReplicaId, Peer>,
}

impl Peers {
    /// Records that a frame of this sender was received.
    pub(crate) fn note_seen(&mut self, sender: &FrameSender, now: Instant) {
        let peer = Peer { control: sender.address(), zone: sender.zone.clone(), last_seen_at: now };
        self.peers.insert(ReplicaId(sender.id), peer);
    }

    pub(crate) fn control_address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.peers.get(&id).map(|peer| peer.control)
    }

    /// Returns the replicas from which a frame was received recently.
    pub(crate) fn live(&self, now: Instant) -> Vec<ReplicaId> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.duration_since(peer.last_seen_at) < FORGET_PEER_AFTER)
            .map(|(&id, _)| id)
            .collect()
    }

    /// Returns the voters that the leader should propose next, if a change is due.
    pub(crate) fn next_voters(
        &self,
        node: &Node<ConfigStateMachine>,
        own_zone: &str,
        now: Instant,
    ) -> Option<Vec<ReplicaId>> {
        let mut known = self.live(now);
        known.push(node.id());
        known.extend_from_slice(node.voters());
        known.sort_unstable();
        known.dedup();
        let status_of = |id: ReplicaId| ReplicaStatus {
            id,
            zone: match self.peers.get(&id) {
                Some(peer) => peer.zone.clone(),
                None => own_zone.to_owned(),
            },
            liveness: node.liveness(id, DEAD_AFTER),
            leaving: false,
            caught_up: id == node.id()
                || node.matched(id).is_some_and(|matched| matched >= node.commit()),
        };
        let replicas: Vec<ReplicaStatus> = known.into_iter().map(status_of).collect();
        let mut next = node.voters().to_vec();
        match plan_change(&PLAN, node.id(), node.voters(), &replicas)? {
            MembershipChange::Add(id) => next.push(id),
            MembershipChange::Remove(id) => next.retain(|&voter| voter != id),
        }
        Some(next)
    }
}
