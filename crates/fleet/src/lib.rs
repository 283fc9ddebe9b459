//! What a daemon knows of the configuration, of the targets and of the other
//! daemons, where the only shared memory is a store that it can read.
//!
//! Pure logic: times and messages are passed in. The store numbers every change
//! with one revision, so that a [`Replica`] needs no agreement: the entry with
//! the higher revision wins, whoever passed it on. The [`PeerTable`] spreads who
//! exists, and [`reader`] settles which few daemons read the store for all.

mod evacuation;
mod message;
mod model;
mod peers;
pub mod reader;
mod replica;
mod timing;

pub use evacuation::{EvacuatedZones, ZoneChange, ZoneNews};
pub use message::{
    Digest, FetchRequest, FetchScope, MessageError, PeerMessage, PeerRole, ReturnReason,
    SearchPath, TargetClaim, decode, encode,
};
pub use model::{
    ColdStartPolicy, Configuration, RegionId, Route, RoutePart, ServiceId, TargetRecord,
    TargetState, ZoneId,
};
pub use peers::{PEER_LIFETIME_MS, PeerTable, ServingPeer};
pub use replica::{Change, Replica, TargetEntry, Update, VersionedConfiguration, VersionedTarget};
pub use timing::{Bounds, Timing};

/// Milliseconds on the process's steady clock since some fixed moment.
pub type Millis = u64;
