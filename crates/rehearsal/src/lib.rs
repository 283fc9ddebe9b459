//! The rehearsal kit: real processes of the product behind stand-ins of the
//! systems around it, a load, a schedule of faults, and a check of each promise.
//!
//! [`scenario`] describes a rehearsal, [`run`] carries it out, [`history`]
//! records what callers and back ends saw, and [`verdict`] judges it.

pub mod agreement;
pub mod bench;
pub mod faults;
pub mod fleet;
mod fleet_parts;
pub mod history;
pub mod load;
mod operator;
pub mod processes;
pub mod report;
pub mod run;
pub mod sampler;
pub mod scenario;
pub mod scrape;
pub mod simulate;
pub mod simulate_changes;
pub mod standin;
pub mod verdict;
