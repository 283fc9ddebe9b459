//! Access to a running replica: writes, its status and the agreed document.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use weirhinge_config::ConfigDocument;
use weirhinge_consensus::{Node, ReplicaId, Role};

use crate::state_machine::{ConfigCommand, ConfigStateMachine, Outcome};

/// Why the outcome of a write is not known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum WriteError {
    /// This replica knows no group or no leader. Nothing was applied.
    #[error("not applied: no leader is known here")]
    NoLeader,
    /// The write was not confirmed within the timeout. It may or may not be applied.
    #[error("unknown: not confirmed in time; repeat it with the same key")]
    Unknown,
}

/// A replica's state, as the API reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// The group's identity. 0 if the replica has not joined one.
    pub group: u64,
    /// This replica's identity.
    pub replica: u64,
    /// Whether this replica is the leader.
    pub leads: bool,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// The current Raft term.
    pub term: u64,
    /// The voters according to this replica's log.
    pub voters: Vec<u64>,
    /// The revision of the configuration that this replica has applied.
    pub revision: u64,
    /// On the leader: live replicas that have all committed entries.
    pub caught_up: Vec<u64>,
    /// On the leader: live replicas that lack committed entries.
    pub behind: Vec<u64>,
}

/// A write on its way from the API to the replica's task.
pub(crate) struct PendingWrite {
    pub(crate) command: ConfigCommand,
    pub(crate) answer: oneshot::Sender<Result<Outcome, WriteError>>,
}

/// A handle to the running replica. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    /// The TCP address on which the replica accepts frames of other balancers.
    pub address: SocketAddr,
    pub(crate) writes: mpsc::Sender<PendingWrite>,
    pub(crate) status: Arc<Mutex<ControlStatus>>,
    pub(crate) document: watch::Receiver<Arc<ConfigDocument>>,
}

impl ControlHandle {
    /// Submits a write and waits until it is committed.
    ///
    /// # Errors
    /// When no leader is known ([`WriteError::NoLeader`], nothing was applied) or the
    /// write was not confirmed in time ([`WriteError::Unknown`]).
    pub async fn write(&self, command: ConfigCommand) -> Result<Outcome, WriteError> {
        let (answer, answered) = oneshot::channel();
        let pending = PendingWrite { command, answer };
        self.writes.send(pending).await.map_err(|_| WriteError::NoLeader)?;
        // The replica answers every write within its timeout, so an answer is missing
        // only if its task has ended.
        answered.await.unwrap_or(Err(WriteError::Unknown))
    }

    /// Returns the replica's current status.
    pub fn status(&self) -> ControlStatus {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns a receiver of the agreed document. Its revision is 0 until there is
    /// one.
    pub fn document(&self) -> watch::Receiver<Arc<ConfigDocument>> {
        self.document.clone()
    }
}

/// Returns a replica's status. `live` are the replicas that were seen recently.
pub(crate) fn replica_status(
    node: &Node<ConfigStateMachine>,
    group: u64,
    live: &[ReplicaId],
) -> ControlStatus {
    let leads = node.role() == Role::Leader;
    let others = live.iter().copied().filter(|&id| leads && id != node.id());
    let (caught_up, behind): (Vec<ReplicaId>, Vec<ReplicaId>) =
        others.partition(|&id| node.matched(id).is_some_and(|matched| matched >= node.commit()));
    let raw_ids = |ids: &[ReplicaId]| ids.iter().map(|id| id.0).collect();
    ControlStatus {
        group,
        replica: node.id().0,
        leads,
        leader: node.leader().map(|leader| leader.0),
        term: node.term(),
        voters: raw_ids(node.voters()),
        revision: node.machine().document().revision,
        caught_up: raw_ids(&caught_up),
        behind: raw_ids(&behind),
    }
}
