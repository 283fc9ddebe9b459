//! Pending writes of a replica: those of its own API, which it routes to the leader,
//! and, on the leader, those that are not committed yet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use weirhinge_consensus::{Node, ReplicaId};

use crate::driver::Driver;
use crate::frame::FrameBody;
use crate::handle::{PendingWrite, WriteError};
use crate::state_machine::{ConfigCommand, Outcome};

/// Maximum time from a write's arrival to its commit, across changes of leader.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// A write that this replica proposed as leader and that is not committed yet.
pub(crate) struct PendingCommit {
    index: u64,
    key: String,
    proposed_at: Instant,
    reply: ReplyTo,
}

/// Where to send the answer to a write.
pub(crate) enum ReplyTo {
    Local { ticket: u64 },
    Remote { to: SocketAddr, ticket: u64 },
}

/// A write received through this balancer's API and not answered yet. It is sent to
/// each new leader; its idempotency key keeps it from being executed twice when the
/// leader changes.
pub(crate) struct LocalWrite {
    command: ConfigCommand,
    answer: oneshot::Sender<Result<Outcome, WriteError>>,
    sent_to: Option<ReplicaId>,
    was_sent: bool,
    received_at: Instant,
}

impl Driver {
    pub(crate) fn handle_write(&mut self, write: PendingWrite) {
        let PendingWrite { command, answer } = write;
        self.next_ticket += 1;
        let local_write = LocalWrite {
            command,
            answer,
            sent_to: None,
            was_sent: false,
            received_at: Instant::now(),
        };
        self.local_writes.insert(self.next_ticket, local_write);
        self.route_local_writes();
    }

    /// Sends every local write to the current leader, unless it was already sent there,
    /// and fails those that have timed out.
    pub(crate) fn route_local_writes(&mut self) {
        let leader = self.node.as_ref().and_then(Node::leader);
        let tickets: Vec<u64> = self.local_writes.keys().copied().collect();
        for ticket in tickets {
            let Some(local_write) = self.local_writes.get_mut(&ticket) else {
                continue;
            };
            if local_write.received_at.elapsed() >= WRITE_TIMEOUT {
                // A write that was never sent cannot have been applied.
                let error =
                    if local_write.was_sent { WriteError::Unknown } else { WriteError::NoLeader };
                self.finish_local_write(ticket, Err(error));
                continue;
            }
            let Some(leader) = leader.filter(|&leader| local_write.sent_to != Some(leader)) else {
                continue;
            };
            local_write.sent_to = Some(leader);
            local_write.was_sent = true;
            let command = local_write.command.clone();
            if leader == self.id {
                self.propose(command, ReplyTo::Local { ticket });
            } else if let Some(control_address) = self.peers.control_address(leader) {
                let frame = self.frame(FrameBody::Write { ticket, command });
                self.peer_connections.send(control_address, &frame);
            }
        }
    }

    pub(crate) fn finish_local_write(&mut self, ticket: u64, result: Result<Outcome, WriteError>) {
        if let Some(local_write) = self.local_writes.remove(&ticket) {
            // The writer may have stopped waiting.
            let _ = local_write.answer.send(result);
        }
    }

    /// Handles the answer of a leader to a local write. After an error, the write is
    /// sent again to the leader that is current then.
    pub(crate) fn handle_write_answer(&mut self, ticket: u64, answer: Result<Outcome, WriteError>) {
        match answer {
            Ok(outcome) => self.finish_local_write(ticket, Ok(outcome)),
            Err(_) => {
                if let Some(local_write) = self.local_writes.get_mut(&ticket) {
                    local_write.sent_to = None;
                }
            }
        }
    }

    pub(crate) fn propose(&mut self, command: ConfigCommand, reply: ReplyTo) {
        let key = command.key.clone();
        let proposed = match &mut self.node {
            Some(node) => node.propose(command).ok(),
            None => None,
        };
        match proposed {
            Some((index, outputs)) => {
                self.pending_commits.push(PendingCommit {
                    index,
                    key,
                    proposed_at: Instant::now(),
                    reply,
                });
                self.execute_outputs(outputs);
            }
            None => self.reply(reply, Err(WriteError::NoLeader)),
        }
    }

    /// Answers the proposed writes whose key has an outcome in the committed state, and
    /// fails those that have timed out.
    pub(crate) fn answer_committed_writes(&mut self) {
        let Some(node) = &self.node else {
            return;
        };
        let commit = node.commit();
        let mut answered = Vec::new();
        let mut still_pending = Vec::new();
        for pending in std::mem::take(&mut self.pending_commits) {
            let outcome = node.machine().outcome(&pending.key).cloned();
            match outcome {
                Some(outcome) if pending.index <= commit => {
                    answered.push((pending.reply, Ok(outcome)))
                }
                _ if pending.proposed_at.elapsed() >= WRITE_TIMEOUT => {
                    answered.push((pending.reply, Err(WriteError::Unknown)));
                }
                _ => still_pending.push(pending),
            }
        }
        self.pending_commits = still_pending;
        for (reply, result) in answered {
            self.reply(reply, result);
        }
    }

    pub(crate) fn reply(&mut self, reply: ReplyTo, result: Result<Outcome, WriteError>) {
        match reply {
            ReplyTo::Local { ticket } => self.handle_write_answer(ticket, result),
            ReplyTo::Remote { to, ticket } => {
                let frame = self.frame(FrameBody::WriteAnswer { ticket, answer: result });
                self.peer_connections.send(to, &frame);
            }
        }
    }
}
