//! What a daemon knows of the configuration, of the targets and of the other
//! daemons, where the only shared memory is a store that it can read.
//!
//! Pure logic: times and messages are passed in. The store numbers every change
//! with one revision, so that a [`Replica`] needs no agreement: the later entry
//! counts, whoever passed it on. Where the store comes back from a copy and its
//! revisions with it, what the writers count themselves decides ([`TargetEntry`],
//! [`VersionedConfiguration`]). The [`PeerTable`] spreads who exists, and [`reader`]
//! settles which few daemons read the store for all.

mod era_hold;
mod evacuation;
mod message;
mod model;
mod peers;
mod position;
pub mod reader;
mod removal_history;
mod replica;
mod succession;
mod timing;
mod update;

pub use evacuation::{EvacuatedZones, ZoneChange, ZoneNews};
pub use message::{
    Digest, FetchRequest, FetchScope, MessageError, OpeningDemand, PeerMessage, PeerRole,
    ReturnReason, SearchPath, TargetClaim, TargetLoad, WaitingOpenings, decode, encode,
};
pub use model::{
    ColdStartPolicy, Configuration, RegionId, Route, RoutePart, ServiceId, TargetRecord,
    TargetState, ZoneId,
};
pub use peers::{PEER_LIFETIME_MS, PeerTable, ServingPeer};
pub use position::Position;
pub use replica::{KeptAgainstCopy, Replica};
pub use succession::{TargetEntry, VersionedTarget};
pub use timing::{Bounds, Timing};
pub use update::{Change, Update, VersionedConfiguration};

/// Milliseconds on the process's steady clock since some fixed moment.
pub type Millis = u64;
