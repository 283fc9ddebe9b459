//! Keeps a daemon's configuration in step with the platform, with its log
//! lines and metrics. Shared by every role.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use slog::{Logger, info, warn};
use weirhinge_config::ConfigDocument;
use weirhinge_observe::ReasonCounters;

use crate::watch::{Following, WatchEvent, WatchOutcome, run_watch};

/// When the platform last confirmed the configuration in force.
#[derive(Debug)]
pub struct ConfigFreshness {
    started: Instant,
    /// Milliseconds from `started`, plus one; 0 before the first confirmation.
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

    /// Whole seconds since the last confirmation, if there was one.
    pub fn age_seconds(&self) -> Option<u64> {
        let confirmed = self.confirmed.load(Ordering::Relaxed);
        let now = self.started.elapsed().as_millis() as u64 + 1;
        (confirmed > 0).then(|| now.saturating_sub(confirmed) / 1_000)
    }
}

/// A logger and the fixed prefix of the part that writes.
#[derive(Clone, Debug)]
pub struct FollowerLog {
    /// The process's logger.
    pub log: Logger,
    /// Prefix of every line.
    pub part: &'static str,
}

/// Follows the platform for one daemon.
#[derive(Debug)]
pub struct ConfigFollower {
    /// The platform's address.
    pub platform: SocketAddr,
    /// Whom to poll.
    pub following: Following,
    /// Updated by every confirmation.
    pub freshness: Arc<ConfigFreshness>,
    /// Counts polls without use.
    pub errors: ReasonCounters,
    /// Where to log.
    pub log: FollowerLog,
}

impl ConfigFollower {
    /// Polls the platform until dropped; calls `apply` with each newer document.
    pub async fn run(self, mut apply: impl FnMut(Arc<ConfigDocument>)) {
        let mut was_failing = false;
        run_watch(self.platform, self.following, |event| {
            let failing = self.report(event, was_failing, &mut apply);
            was_failing = failing;
        })
        .await;
    }

    /// Returns whether the platform is failing; a lasting failure is logged once.
    fn report(
        &self,
        event: WatchEvent,
        was_failing: bool,
        apply: &mut impl FnMut(Arc<ConfigDocument>),
    ) -> bool {
        let FollowerLog { log, part } = &self.log;
        match event {
            WatchEvent::Unchanged | WatchEvent::Served(WatchOutcome::Current) => {
                self.freshness.confirm();
                false
            }
            WatchEvent::Served(WatchOutcome::Apply(document)) => {
                info!(log, "{}: Configuration in force.", part; "revision" => document.revision);
                self.freshness.confirm();
                apply(document);
                false
            }
            WatchEvent::Served(WatchOutcome::Stale { served, in_force }) => {
                self.errors.increment("stale");
                if !was_failing {
                    warn!(log, "{}: An older configuration is served.", part;
                        "served" => served, "in_force" => in_force);
                }
                true
            }
            WatchEvent::Served(WatchOutcome::Invalid(error)) => {
                self.errors.increment("invalid");
                if !was_failing {
                    warn!(log, "{}: An invalid configuration is served.", part;
                        "error" => %error);
                }
                true
            }
            WatchEvent::Failed(error) => {
                self.errors.increment("unreachable");
                if !was_failing {
                    warn!(log, "{}: Configuration cannot be read.", part; "error" => %error);
                }
                true
            }
        }
    }
}
