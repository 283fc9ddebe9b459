//! The relay daemons: a balancer and an agent for targets that terminate flows themselves.
//!
//! Each daemon runs on one thread. It receives and sends packets and exchanges state with its
//! peers; balancers also read the platform's store. `weirhinge-steering` makes the decisions and
//! `weirhinge-fleet` keeps the state of the fleet. Packet and document formats are behind the
//! [`Platform`] trait.

mod agent;
mod backlog;
mod balancer;
mod clock;
mod daemon_context;
mod events;
mod fleet_node;
mod http_server;
mod link;
mod metrics;
mod peer_stream;
mod platform;
mod process;
mod readiness;
mod receive;
mod reload;
mod reported_rejections;
mod settings;
mod store;
mod store_client;

pub use agent::run as run_agent;
pub use backlog::Backlog;
pub use balancer::run as run_balancer;
pub use fleet_node::{DigestActions, FleetNode};
pub use platform::{
    ListPage, Platform, ReadConsistency, RejectReason, RejectedItem, StaleResponse, WatchPage,
};
pub use process::{ProcessLog, Signals, run_process};
pub use reported_rejections::ReportedRejections;
pub use settings::{AgentSettings, BalancerSettings, CommonSettings, RawSettings};
