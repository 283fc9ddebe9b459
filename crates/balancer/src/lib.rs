//! The balancer: takes packets from the fabric, decides for each one without
//! any state per flow, and sends it to the agent beside its target.
//!
//! One operating-system thread runs the data path with blocking, batched
//! system calls; everything else (configuration, health, metrics, signals)
//! runs on `tokio` and hands the data path a new routing table by one atomic
//! pointer swap.

pub mod api;
mod data_path;
mod forward;
mod metrics;
mod run;

pub use forward::{ForwardError, Forwarder};
pub use run::run;
