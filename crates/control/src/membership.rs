//! The replicas that a balancer knows, and the voters that a leader wants.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use weirhinge_consensus::{
    MembershipChange, MembershipPlan, Node, ReplicaId, ReplicaStatus, plan_change,
};

use crate::frame::Sender;
use crate::state_machine::ConfigMachine;

/// Voters wanted; fewer while there are fewer balancers.
const PLAN: MembershipPlan = MembershipPlan { size: 5 };
/// Silence after which a leader counts a voter as dead.
const DEAD_AFTER: Duration = Duration::from_millis(1_500);
/// Silence after which a replica is no longer sent to.
const FORGET_AFTER: Duration = Duration::from_secs(5);

/// One known replica.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) control: SocketAddr,
    pub(crate) zone: String,
    heard: Instant,
}

/// All known replicas by identity.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    peers: BTreeMap<ReplicaId, Peer>,
}

impl Peers {
    pub(crate) fn heard(&mut self, sender: &Sender, now: Instant) {
        let peer = Peer { control: sender.address(), zone: sender.zone.clone(), heard: now };
        self.peers.insert(ReplicaId(sender.id), peer);
    }

    pub(crate) fn address(&self, id: ReplicaId) -> Option<SocketAddr> {
        self.peers.get(&id).map(|peer| peer.control)
    }

    /// Replicas heard of lately.
    pub(crate) fn living(&self, now: Instant) -> Vec<ReplicaId> {
        self.peers
            .iter()
            .filter(|(_, peer)| now.duration_since(peer.heard) < FORGET_AFTER)
            .map(|(&id, _)| id)
            .collect()
    }

    /// The voters that the leader should propose next, if a change is due.
    pub(crate) fn wanted_voters(
        &self,
        node: &Node<ConfigMachine>,
        own_zone: &str,
        now: Instant,
    ) -> Option<Vec<ReplicaId>> {
        let mut known = self.living(now);
        known.push(node.id());
        known.extend_from_slice(node.voters());
        known.sort_unstable();
        known.dedup();
        let candidate = |id: ReplicaId| ReplicaStatus {
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
        let candidates: Vec<ReplicaStatus> = known.into_iter().map(candidate).collect();
        let mut wanted = node.voters().to_vec();
        match plan_change(&PLAN, node.id(), node.voters(), &candidates)? {
            MembershipChange::Add(id) => wanted.push(id),
            MembershipChange::Remove(id) => wanted.retain(|&voter| voter != id),
        }
        Some(wanted)
    }
}
