//! An agent's decisions about flows: which target admits a new flow, which agent holds an existing
//! one, and when a flow key may be reused.
//!
//! The crate does no I/O and reads no clock. Time, loads and messages are passed in, so that the
//! same code runs in production, in simulations and in property tests.

pub mod admission;
pub mod expiring_set;
pub mod fence;
pub mod holder_directory;
pub mod standby;
pub mod table;

pub use admission::{AdmissionStep, BackEndLoad, Candidates, RefusalReason, decide_admission};
pub use expiring_set::ExpiringSet;
pub use fence::{Fence, FenceError};
pub use holder_directory::{HolderDirectory, LookupStep};
pub use standby::{DuePacket, StandbyQueue};
pub use table::{FlowPhase, FlowTable, FlowTableError};
