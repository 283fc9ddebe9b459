//! Decides, without any state per flow, which target a packet goes to.
//!
//! Pure logic: a [`RoutingTable`] is built from one configuration document and
//! answers for each decoded packet. Every process that holds the same document
//! and hash key gives the same answers.

mod bucket;
mod hash;
mod hint;
mod table;

pub use bucket::{BUCKETS_PER_TARGET, BucketTable};
pub use hash::FlowHasher;
pub use hint::{HolderHint, NAMED_BYTES};
pub use table::{Route, RouteBasis, RouteError, RoutingTable, ServiceRoute, Standby, TargetRoute};
