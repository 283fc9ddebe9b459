//! Stateless packet routing: selects the target of a packet without per-flow state.
//!
//! A [`RoutingTable`] is built from one configuration document and routes decoded packets. It does
//! no I/O, and all processes with the same document and hash key make the same decisions.

mod bucket;
mod hash;
mod hint;
mod table;

pub use bucket::{BUCKETS_PER_TARGET, BucketTable};
pub use hash::FlowHasher;
pub use hint::{HINT_VALID_BYTES, HolderHint};
pub use table::{Route, RouteBasis, RouteError, RoutingTable, ServiceRoute, Standby, TargetRoute};
