//! Keeps a daemon's configuration up to date, and reports on it by log lines and
//! metrics. Used by agents and balancers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use slog::{Logger, info, warn};
use weirhinge_config::ConfigDocument;
use weirhinge_observe::ReasonCounters;

use crate::watch::{PolledSources, WatchEvent, WatchOutcome, run_watch};

/// When a source last confirmed that the configuration in effect is the newest.
#[derive(Debug)]
pub struct ConfigFreshness {
    started: Instant,
    /// Milliseconds since `started`, plus one. 0 before the first confirmation.
    confirmed: AtomicU64,
}

impl Default for ConfigFreshness {
    fn default() -> Self {
        Self { started: Instant::now(), confirmed: AtomicU64::new(0) }
    }
}

impl ConfigFreshness {
    fn confirm(&self) {
        let now = self.started.elapsed().as_millis() as u64 + 1;
        self.confirmed.store(now, Ordering::Relaxed);
    }

    /// Returns the whole seconds since the last confirmation, or `None` before the
    /// first one.
    pub fn age_seconds(&self) -> Option<u64> {
        let confirmed = self.confirmed.load(Ordering::Relaxed);
        let now = self.started.elapsed().as_millis() as u64 + 1;
        (confirmed > 0).then(|| now.saturating_sub(confirmed) / 1_000)
    }
}

/// A logger, and the prefix of the messages logged with it.
#[derive(Clone, Debug)]
pub struct FollowerLog {
    /// The daemon's logger.
    pub log: Logger,
    /// Prefix of every message, such as "agent".
    pub prefix: &'static str,
}

/// Polls for new configuration documents on behalf of one daemon.
#[derive(Debug)]
pub struct ConfigFollower {
    /// The platform's address.
    pub platform: SocketAddr,
    /// The sources to poll.
    pub sources: PolledSources,
    /// Updated whenever a source confirms the configuration.
    pub freshness: Arc<ConfigFreshness>,
    /// Counts polls that failed or returned an unusable document, by reason.
    pub errors: ReasonCounters,
    /// The logger and the prefix of its messages.
    pub log: FollowerLog,
}

impl ConfigFollower {
    /// Polls until dropped. Calls `apply` with each newer valid document.
    pub async fn run(self, mut apply: impl FnMut(Arc<ConfigDocument>)) {
        let mut was_failing = false;
        run_watch(self.platform, self.sources, |event| {
            let failing = self.handle_event(event, was_failing, &mut apply);
            was_failing = failing;
        })
        .await;
    }

    /// Handles the result of one poll and returns whether it failed. Successive
    /// failures are logged only once.
    fn handle_event(
        &self,
        event: WatchEvent,
        was_failing: bool,
        apply: &mut impl FnMut(Arc<ConfigDocument>),
    ) -> bool {
        let FollowerLog { log, prefix } = &self.log;
        match event {
            WatchEvent::Unchanged | WatchEvent::Served(WatchOutcome::Current) => {
                self.freshness.confirm();
                false
            }
            WatchEvent::Served(WatchOutcome::Apply(document)) => {
                info!(log, "{}: Received a new configuration.", prefix;
                    "revision" => document.revision);
                self.freshness.confirm();
                apply(document);
                false
            }
            WatchEvent::Served(WatchOutcome::Stale { served, in_effect }) => {
                self.errors.increment("stale");
                if !was_failing {
                    warn!(log, "{}: Ignored a configuration older than the one in effect.", prefix;
                        "served" => served, "in_force" => in_effect);
                }
                true
            }
            WatchEvent::Served(WatchOutcome::Invalid(error)) => {
                self.errors.increment("invalid");
                if !was_failing {
                    warn!(log, "{}: Ignored an invalid configuration.", prefix;
                        "error" => %error);
                }
                true
            }
            WatchEvent::Failed(error) => {
                self.errors.increment("unreachable");
                if !was_failing {
                    warn!(log, "{}: Could not fetch the configuration.", prefix; "error" => %error);
                }
                true
            }
        }
    }
}
