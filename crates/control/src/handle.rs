//! Access to a running replica: writes, its status, and the agreed document.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::{mpsc, oneshot, watch};
use weirhinge_config::ConfigDocument;
use weirhinge_consensus::{Node, ReplicaId, Role};

use crate::state_machine::{ConfigCommand, ConfigMachine, Outcome};

/// Why a write has no outcome.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum WriteError {
    /// No group or no leader is known; nothing was applied.
    #[error("not applied: no leader is known here")]
    NoLeader,
    /// The write was not confirmed in time; it may or may not hold.
    #[error("unknown: not confirmed in time; repeat it with the same key")]
    Unknown,
}

/// What a replica shows of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ControlStatus {
    /// The group; 0 if none.
    pub group: u64,
    /// This replica.
    pub replica: u64,
    /// Whether this replica leads.
    pub leads: bool,
    /// The leader, if known.
    pub leader: Option<u64>,
    /// The term.
    pub term: u64,
    /// The voters by this replica's log.
    pub voters: Vec<u64>,
    /// The revision in force here.
    pub revision: u64,
    /// On the leader: replicas that have all that is committed.
    pub caught_up: Vec<u64>,
    /// On the leader: replicas that have not.
    pub behind: Vec<u64>,
}

pub(crate) struct PendingWrite {
    pub(crate) command: ConfigCommand,
    pub(crate) answer: oneshot::Sender<Result<Outcome, WriteError>>,
}

/// Access to the running replica. Cheap to clone.
#[derive(Clone)]
pub struct ControlHandle {
    /// Address for other balancers.
    pub address: SocketAddr,
    pub(crate) writes: mpsc::Sender<PendingWrite>,
    pub(crate) status: Arc<Mutex<ControlStatus>>,
    pub(crate) document: watch::Receiver<Arc<ConfigDocument>>,
}

impl ControlHandle {
    /// Writes a change and waits until it is committed.
    ///
    /// # Errors
    /// Whether nothing was applied or the fate is unknown.
    pub async fn write(&self, command: ConfigCommand) -> Result<Outcome, WriteError> {
        let (answer, answered) = oneshot::channel();
        let pending = PendingWrite { command, answer };
        self.writes.send(pending).await.map_err(|_| WriteError::NoLeader)?;
        // The replica answers every write within its time-out.
        answered.await.unwrap_or(Err(WriteError::Unknown))
    }

    /// The replica's status.
    pub fn status(&self) -> ControlStatus {
        self.status.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Follows the agreed document; revision 0 until there is one.
    pub fn document(&self) -> watch::Receiver<Arc<ConfigDocument>> {
        self.document.clone()
    }
}

/// A replica's status, with the replicas heard of lately.
pub(crate) fn status_of(
    node: &Node<ConfigMachine>,
    group: u64,
    living: &[ReplicaId],
) -> ControlStatus {
    let leads = node.role() == Role::Leader;
    let others = living.iter().copied().filter(|&id| leads && id != node.id());
    let (caught_up, behind): (Vec<ReplicaId>, Vec<ReplicaId>) =
        others.partition(|&id| node.matched(id).is_some_and(|matched| matched >= node.commit()));
    let numbers = |ids: &[ReplicaId]| ids.iter().map(|id| id.0).collect();
    ControlStatus {
        group,
        replica: node.id().0,
        leads,
        leader: node.leader().map(|leader| leader.0),
        term: node.term(),
        voters: numbers(node.voters()),
        revision: node.machine().document().revision,
        caught_up: numbers(&caught_up),
        behind: numbers(&behind),
    }
}
