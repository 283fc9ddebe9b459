//! End-to-end tests of a whole fleet: real balancer and agent processes,
//! stand-ins for the systems around them, a generated load, a schedule of
//! faults, and a check of each promise.
//!
//! [`scenario`] describes a rehearsal, [`run`] executes it, [`history`]
//! records what clients and back ends observed, and [`verdict`] evaluates the
//! record.

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
