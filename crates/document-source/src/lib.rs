//! Reads the configuration document and the machine list from the platform, and the
//! agreed configuration from the balancers.
//!
//! The platform is read-only for weirhinge, and may lag, serve stale data or be
//! unreachable. [`ConfigWatch`] therefore keeps the newest valid document seen, and
//! never returns to a lower revision.

mod client;
mod follower;
mod watch;

pub use client::{FetchError, Fetched, HttpResponse, fetch, send};
pub use follower::{ConfigFollower, ConfigFreshness, FollowerLog};
pub use watch::{ConfigWatch, PolledSources, SourceKind, WatchEvent, WatchOutcome, run_watch};

/// HTTP path of the configuration document, on the platform and the balancers.
pub const CONFIGURATION_PATH: &str = "/v1/configuration";
/// HTTP path of the platform's machine list.
pub const MACHINES_PATH: &str = "/v1/machines";
