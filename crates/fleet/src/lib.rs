//! The state that the daemons of a fleet share: the configuration, the targets, the evacuated zones
//! and the balancers.
//!
//! Daemons learn it from the platform's store, which they only read, and from each other's
//! messages. This crate does no I/O: times and messages are passed in.
//!
//! The store numbers every change with one revision, so a [`Replica`] needs no consensus: the entry
//! with the later position wins, no matter which daemon passed it on. When the store is restored
//! from a backup, its revisions go back too, and a new era begins (see [`Position`]); then the
//! versions and sequence numbers that the writers assign decide ([`TargetEntry`],
//! [`VersionedConfiguration`]). The [`PeerTable`] holds the known balancers, and [`reader`] elects
//! the few of them that read the store on behalf of all daemons.

mod era_hold;
mod evacuation;
mod message;
mod model;
mod peers;
mod position;
pub mod reader;
mod removal_coverage;
mod removal_history;
mod removed_target;
mod replica;
mod replication;
mod target_entry;
mod timing;
mod update;

pub use evacuation::{EvacuatedZones, ZoneChange, ZoneUpdate};
pub use message::{
    Digest, FetchRequest, FetchScope, MessageError, OpeningDemand, PeerMessage, PeerRole,
    ReturnReason, SearchPath, TargetLoad, TargetStatus, WaitingOpenings, decode, encode,
};
pub use model::{
    ColdStartPolicy, Configuration, RegionId, Route, RoutePart, ServiceId, TargetRecord,
    TargetState, ZoneId,
};
pub use peers::{PEER_TIMEOUT_MS, PeerTable, ServingPeer};
pub use position::Position;
pub use removed_target::RemovedTarget;
pub use replica::{Replica, RestoreConflicts};
pub use replication::{FULL_REPLICAS, full_replica_agents};
pub use target_entry::{TargetEntry, VersionedTarget};
pub use timing::{Bounds, Timing};
pub use update::{Change, UNCONFIRMED_AGE_MS, Update, VersionedConfiguration};

/// Milliseconds on the process's monotonic clock since an arbitrary fixed moment.
pub type Millis = u64;
