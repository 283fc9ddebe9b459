//! What replicas say to each other.

use serde::{Deserialize, Serialize};

use crate::log::{Entry, Index, Machine, Snapshot, Term};
use crate::node::ReplicaId;

/// A message with its ends.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(
    serialize = "M: serde::Serialize, M::Command: serde::Serialize",
    deserialize = "M: serde::de::DeserializeOwned, M::Command: serde::de::DeserializeOwned"
))]
pub struct Envelope<M: Machine> {
    /// Who sends.
    pub from: ReplicaId,
    /// Who shall receive.
    pub to: ReplicaId,
    /// What is said.
    pub message: Message<M>,
}

/// What one replica says to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(bound(
    serialize = "M: serde::Serialize, M::Command: serde::Serialize",
    deserialize = "M: serde::de::DeserializeOwned, M::Command: serde::de::DeserializeOwned"
))]
pub enum Message<M: Machine> {
    /// Would you vote for me in this term? Changes nothing at the receiver.
    PreVote {
        /// The term that the sender would stand in.
        term: Term,
        /// Last index of the sender's log.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// The answer to a pre-vote.
    PreVoteAnswer {
        /// The term asked about.
        term: Term,
        /// The sender's own term: one that asks with an older term must learn
        /// it, or it is refused for ever.
        own_term: Term,
        /// Whether the sender would vote.
        granted: bool,
    },
    /// Vote for me in this term.
    Vote {
        /// The term that the sender stands in.
        term: Term,
        /// Last index of the sender's log.
        last_index: Index,
        /// Term of the sender's last entry.
        last_term: Term,
    },
    /// The answer to a vote.
    VoteAnswer {
        /// The sender's term.
        term: Term,
        /// Whether the sender voted.
        granted: bool,
    },
    /// Entries of the leader's log; without any, its heartbeat.
    Append {
        /// The leader's term.
        term: Term,
        /// The index before the entries.
        previous_index: Index,
        /// The term at that index.
        previous_term: Term,
        /// The entries.
        entries: Vec<Entry<M::Command>>,
        /// The leader's commit index.
        commit: Index,
    },
    /// The leader's snapshot, for a log that is too far behind.
    Install {
        /// The leader's term.
        term: Term,
        /// The snapshot.
        snapshot: Snapshot<M>,
    },
    /// The answer to entries or a snapshot.
    AppendAnswer {
        /// The sender's term.
        term: Term,
        /// Whether the sender's log fits up to `index`.
        success: bool,
        /// On success the index up to which the logs agree; otherwise where the
        /// leader should try next.
        index: Index,
    },
}

impl<M: Machine> Message<M> {
    /// The term that the message speaks for. A pre-vote names a term that may
    /// never be, and so do its answers.
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
