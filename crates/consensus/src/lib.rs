//! Agreement among a few replicas that keep everything in memory.
//!
//! Pure logic: time and messages are passed in, messages and committed commands
//! come out. The protocol is Raft (Ongaro 2014) with pre-votes, single-server
//! membership changes and snapshots, and one rule of its own in place of stable
//! storage: a replica's identity is drawn anew at every start. A process that
//! lost its memory therefore never votes under an old identity; it joins as a
//! learner and becomes a voter only by a committed membership change.

mod election;
mod log;
mod membership;
mod message;
mod node;
mod replication;

pub use log::{Entry, Index, Log, Machine, Payload, Snapshot, Term};
pub use membership::{Candidate, Liveness, MembershipChange, MembershipPlan, plan_change};
pub use message::{Envelope, Message};
pub use node::{Node, NodeOptions, Output, ProposeError, ReplicaId, Role};
