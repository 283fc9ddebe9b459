//! The writes of one replica: on their way to the leader, and waiting for their
//! commit there.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::oneshot;
use weirhinge_consensus::{Node, ReplicaId};

use crate::driver::Driver;
use crate::frame::FrameBody;
use crate::handle::{PendingWrite, WriteError};
use crate::state_machine::{ConfigCommand, Outcome};

/// Longest that a write may wait for its commit, over all leaders.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);

/// A write that waits for its commit at the leader.
pub(crate) struct Waiting {
    index: u64,
    key: String,
    since: Instant,
    reply: Reply,
}

/// Whom the leader answers.
pub(crate) enum Reply {
    Local { ticket: u64 },
    Remote { to: SocketAddr, ticket: u64 },
}

/// A write that came to this balancer's API, until it is answered. It goes to
/// whoever leads; its key keeps it from running twice when leaders change.
pub(crate) struct OwnWrite {
    command: ConfigCommand,
    answer: oneshot::Sender<Result<Outcome, WriteError>>,
    sent_to: Option<ReplicaId>,
    was_sent: bool,
    since: Instant,
}

impl Driver {
    pub(crate) fn handle_write(&mut self, write: PendingWrite) {
        let PendingWrite { command, answer } = write;
        self.next_ticket += 1;
        let own =
            OwnWrite { command, answer, sent_to: None, was_sent: false, since: Instant::now() };
        self.own_writes.insert(self.next_ticket, own);
        self.route_own_writes();
    }

    /// Sends every own write to the leader of the moment, unless it is there,
    /// and gives up on those that have waited too long.
    pub(crate) fn route_own_writes(&mut self) {
        let leader = self.node.as_ref().and_then(Node::leader);
        let tickets: Vec<u64> = self.own_writes.keys().copied().collect();
        for ticket in tickets {
            let Some(own) = self.own_writes.get_mut(&ticket) else {
                continue;
            };
            if own.since.elapsed() >= WRITE_TIMEOUT {
                // What was never sent has certainly not been applied.
                let error = if own.was_sent { WriteError::Unknown } else { WriteError::NoLeader };
                self.finish_own_write(ticket, Err(error));
                continue;
            }
            let Some(leader) = leader.filter(|&leader| own.sent_to != Some(leader)) else {
                continue;
            };
            own.sent_to = Some(leader);
            own.was_sent = true;
            let command = own.command.clone();
            if leader == self.id {
                self.propose(command, Reply::Local { ticket });
            } else if let Some(address) = self.peers.address(leader) {
                let frame = self.frame(FrameBody::Write { ticket, command });
                self.senders.send(address, &frame);
            }
        }
    }

    pub(crate) fn finish_own_write(&mut self, ticket: u64, result: Result<Outcome, WriteError>) {
        if let Some(own) = self.own_writes.remove(&ticket) {
            // The writer may have given up.
            let _ = own.answer.send(result);
        }
    }

    /// Takes in a leader's answer. One that led no more is asked no longer; the
    /// write goes to the next leader.
    pub(crate) fn handle_write_answer(&mut self, ticket: u64, answer: Result<Outcome, WriteError>) {
        match answer {
            Ok(outcome) => self.finish_own_write(ticket, Ok(outcome)),
            Err(_) => {
                if let Some(own) = self.own_writes.get_mut(&ticket) {
                    own.sent_to = None;
                }
            }
        }
    }

    pub(crate) fn propose(&mut self, command: ConfigCommand, reply: Reply) {
        let key = command.key.clone();
        let proposed = match &mut self.node {
            Some(node) => node.propose(command).ok(),
            None => None,
        };
        match proposed {
            Some((index, outputs)) => {
                self.waiting.push(Waiting { index, key, since: Instant::now(), reply });
                self.carry_out(outputs);
            }
            None => self.reply(reply, Err(WriteError::NoLeader)),
        }
    }

    /// Answers writes whose key has an outcome in the committed state, and
    /// gives up on those that have waited too long.
    pub(crate) fn answer_writes(&mut self) {
        let Some(node) = &self.node else {
            return;
        };
        let commit = node.commit();
        let mut answered = Vec::new();
        let mut still_waiting = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let outcome = node.machine().outcome(&waiting.key).cloned();
            match outcome {
                Some(outcome) if waiting.index <= commit => {
                    answered.push((waiting.reply, Ok(outcome)))
                }
                _ if waiting.since.elapsed() >= WRITE_TIMEOUT => {
                    answered.push((waiting.reply, Err(WriteError::Unknown)));
                }
                _ => still_waiting.push(waiting),
            }
        }
        self.waiting = still_waiting;
        for (reply, result) in answered {
            self.reply(reply, result);
        }
    }

    pub(crate) fn reply(&mut self, reply: Reply, result: Result<Outcome, WriteError>) {
        match reply {
            Reply::Local { ticket } => self.handle_write_answer(ticket, result),
            Reply::Remote { to, ticket } => {
                let frame = self.frame(FrameBody::WriteAnswer { ticket, answer: result });
                self.senders.send(to, &frame);
            }
        }
    }
}
