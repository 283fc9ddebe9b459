//! Decisions about flows at an agent: who admits a new one, who holds an
//! existing one, and when a flow's key may be used again.
//!
//! Pure logic: time, loads and messages are passed in, so that the same code
//! runs under real processes, a simulation and property tests.

pub mod admission;
pub mod directory;
pub mod fence;
pub mod recent;
pub mod standby;
pub mod table;

pub use admission::{AdmissionStep, Candidates, OwnLoad, RefusalReason, consider};
pub use directory::{Directory, LookupStep};
pub use fence::{Fence, FenceError};
pub use recent::RecentSet;
pub use standby::{DuePacket, StandbyQueue};
pub use table::{FlowPhase, FlowTable, FlowTableError};
