//! The balancer: receives packets from the fabric, routes each one without per-flow state, and
//! sends it to the agent of its target.
//!
//! One operating-system thread runs the data path with blocking, batched system calls. Everything
//! else (configuration, health, metrics, signals) runs on `tokio` and hands the data path a new
//! routing table by one atomic pointer swap.

pub mod api;
mod data_path;
mod forward;
mod metrics;
mod run;

pub use forward::{ForwardError, Forwarder};
pub use run::run;
