//! Consensus among a small group of replicas that keep all state in memory.
//!
//! The crate does no I/O: callers pass in time and messages, and receive messages
//! to send and committed commands. The protocol is Raft (Ongaro 2014) with
//! pre-votes, single-server membership changes and snapshots. It differs from Raft
//! in that nothing is written to stable storage. Instead, a replica draws a new
//! random identity at every start, so a process that lost its state never votes
//! twice under the same identity: it joins as a learner and becomes a voter only
//! through a committed membership change.

mod election;
mod log;
mod membership;
mod message;
mod node;
mod replication;

pub use log::{Entry, Index, Log, Payload, Snapshot, StateMachine, Term};
pub use membership::{Liveness, MembershipChange, MembershipPlan, ReplicaStatus, plan_change};
pub use message::{Envelope, Message};
pub use node::{Node, NodeOptions, Output, ProposeError, ReplicaId, Role};
