//! Follows the platform's configuration document.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use weirhinge_config::{ConfigDocument, ConfigError};

use crate::CONFIGURATION_PATH;
use crate::client::{FetchError, Fetched, fetch};

/// Time between two polls of the platform.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longest that one poll may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Decides what to do with each document that the platform serves. Pure: the
/// documents are passed in.
#[derive(Debug, Default)]
pub struct ConfigWatch {
    in_force: Arc<ConfigDocument>,
}

/// What became of a served document.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The document is newer and valid: put it in force.
    Apply(Arc<ConfigDocument>),
    /// The document has the revision in force already.
    Current,
    /// The document is older than the one in force and is ignored.
    Stale {
        /// The revision served.
        served: u64,
        /// The revision in force.
        in_force: u64,
    },
    /// The document failed its checks; the one in force stays.
    Invalid(ConfigError),
}

impl ConfigWatch {
    /// Takes in the bytes of a served document.
    pub fn consider(&mut self, origin: &str, bytes: &[u8]) -> WatchOutcome {
        let document = match ConfigDocument::from_json(origin, bytes) {
            Ok(document) => document,
            Err(error) => return WatchOutcome::Invalid(error),
        };
        let (served, in_force) = (document.revision, self.in_force.revision);
        if served < in_force {
            return WatchOutcome::Stale { served, in_force };
        }
        if served == in_force {
            return WatchOutcome::Current;
        }
        if let Err(error) = document.check_successor(origin, &self.in_force) {
            return WatchOutcome::Invalid(error);
        }
        self.in_force = Arc::new(document);
        WatchOutcome::Apply(self.in_force.clone())
    }
}

/// What one poll brought, for the daemon's log and metrics.
#[derive(Debug)]
pub enum WatchEvent {
    /// The platform answered.
    Served(WatchOutcome),
    /// The platform confirmed that nothing has changed.
    Unchanged,
    /// The platform could not be read.
    Failed(FetchError),
}

/// Polls the platform until the process ends, and reports each poll.
pub async fn run_watch(platform: SocketAddr, mut report: impl FnMut(WatchEvent)) {
    let mut watch = ConfigWatch::default();
    let mut entity_tag: Option<String> = None;
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let origin = format!("platform {platform}");
    loop {
        ticks.tick().await;
        let tag = entity_tag.as_deref();
        match fetch(platform, CONFIGURATION_PATH, tag, POLL_TIMEOUT).await {
            Ok(Fetched::Unchanged) => report(WatchEvent::Unchanged),
            Ok(Fetched::Body { bytes, entity_tag: tag }) => {
                entity_tag = tag;
                report(WatchEvent::Served(watch.consider(&origin, &bytes)));
            }
            Err(error) => report(WatchEvent::Failed(error)),
        }
    }
}
