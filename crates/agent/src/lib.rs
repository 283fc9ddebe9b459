//! The agent of one target: it runs on the machine of the target's back end, terminates the flows
//! that the target holds, and decides together with the service's other agents which of them admits
//! a new flow.
//!
//! [`dispatch`] decides what to do with each message and does no I/O. The flow modules run one task
//! per flow. [`run`] owns the socket and connects the two.

mod back_end;
pub mod dispatch;
mod execute;
mod fabric;
mod flow_log;
mod flows;
mod load;
mod metrics;
pub mod planted_defect;
mod run;
mod tcp_flow;
mod timestamps;
mod udp_flow;
pub mod view;

pub use planted_defect::PlantedDefect;
pub use run::run;
