//! Runs the daemons for targets that end flows themselves: a balancer and an
//! agent, each on one thread, around the decisions of `weirhinge-steering` and
//! the knowledge of `weirhinge-fleet`.
//!
//! How the outside speaks is behind the typed seam [`Platform`].

mod agent;
mod backlog;
mod balancer;
mod base;
mod clock;
mod events;
mod fleet_node;
mod http;
mod link;
mod metrics;
mod peer_stream;
mod platform;
mod process;
mod receive;
mod refused_items;
mod reload;
mod settings;
mod status;
mod store;
mod store_client;

pub use agent::run as run_agent;
pub use backlog::Backlog;
pub use balancer::run as run_balancer;
pub use fleet_node::{DigestActions, FleetNode};
pub use platform::{AnswerBehind, ListPage, Platform, RejectReason, RejectedItem, WatchPage};
pub use process::{ProcessLog, Signals, run_process};
pub use refused_items::RefusedItems;
pub use settings::{AgentSettings, BalancerSettings, CommonSettings, RawSettings};
