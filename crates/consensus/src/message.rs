//! Messages between replicas.

use serde::{Deserialize, Serialize};

use crate::log::{Entry, Index, Snapshot, StateMachine, Term};
use crate::node::ReplicaId;

/// A message with its sender and receiver.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(
    serialize = "M: serde::Serialize, M::Command: serde::Serialize",
    deserialize = "M: serde::de::DeserializeOwned, M::Command: serde::de::DeserializeOwned"
))]
pub struct Envelope<M: StateMachine> {
    /// The sender.
    pub from: ReplicaId,
    /// The receiver.
    pub to: ReplicaId,
    /// The message itself.
    pub message: Message<M>,
}

/// A message from one replica to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(
    serialize = "M: serde::Serialize, M::Command: serde::Serialize",
    deserialize = "M: serde::de::DeserializeOwned, M::Command: serde::de::DeserializeOwned"
))]
pub enum Message<M: StateMachine> {
    /// Asks whether the receiver would vote for the sender. Does not change the
    /// receiver's state.
    PreVote {
        /// The term of the election that the sender would start.
        term: Term,
        /// Last index of the sender's log.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a pre-vote.
    PreVoteAnswer {
        /// The term of the pre-vote that this answers.
        term: Term,
        /// The sender's current term. A replica whose term is older has to
        /// adopt it; otherwise its pre-votes would never be granted.
        own_term: Term,
        /// Whether the sender would grant its vote.
        granted: bool,
    },
    /// Requests the receiver's vote.
    Vote {
        /// The term of the election.
        term: Term,
        /// Last index of the sender's log.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// Answer to a vote request.
    VoteAnswer {
        /// The sender's term.
        term: Term,
        /// Whether the sender granted its vote.
        granted: bool,
    },
    /// Entries of the leader's log. Without entries it is a heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The index that precedes the entries.
        previous_index: Index,
        /// The term at that index.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry<M::Command>>,
        /// The leader's commit index.
        commit: Index,
    },
    /// The leader's snapshot, for a replica that needs entries which the leader
    /// has already compacted.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot<M>,
    },
    /// Answer to entries or a snapshot.
    AppendAnswer {
        /// The sender's term.
        term: Term,
        /// Whether the sender's log now matches the leader's up to `index`.
        success: bool,
        /// On success, the index up to which the logs match; otherwise the index
        /// after which the leader should retry.
        index: Index,
    },
}

impl<M: StateMachine> Message<M> {
    /// Returns the sender's term. Pre-votes and their answers have none: the term
    /// that they name may never begin, so the receiver must not adopt it.
    pub fn term(&self) -> Option<Term> {
        match self {
            Message::PreVote { .. } | Message::PreVoteAnswer { .. } => None,
            Message::Vote { term, .. }
            | Message::VoteAnswer { term, .. }
            | Message::Append { term, .. }
            | Message::Install { term, .. }
            | Message::AppendAnswer { term, .. } => Some(*term),
        }
    }
}
