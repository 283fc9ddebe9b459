//! Reads the platform: its configuration service and its list of machines.
//!
//! The platform can only be read; it lags, goes stale or away. This crate turns
//! it into a [`ConfigWatch`]: the newest valid document seen, which never goes
//! back to a lower revision.

mod client;
mod follower;
mod watch;

pub use client::{Answer, FetchError, Fetched, fetch, send};
pub use follower::{ConfigFollower, ConfigFreshness, FollowerLog};
pub use watch::{ConfigWatch, Following, SourceKind, WatchEvent, WatchOutcome, run_watch};

/// Path of the configuration document on the platform.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";
/// Path of the machine list on the platform.
pub const MACHINES_PATH: &str = "/v1/machines";
