//! Randomized soak test of the relay. Real processes run between stand-in clients, targets
//! and store, faults are injected from outside in an order derived from a seed, and each
//! guarantee is checked against what clients and targets observed.
//!
//! [`plan`] generates the episodes, [`run`] executes them, [`request_log`] records the
//! outcome of each request, and [`verdict`] checks the results.

mod client_tasks;
mod faults;
pub mod plan;
pub mod request_log;
pub mod run;
pub mod verdict;
