//! Follows the configuration document, from the platform and the balancers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use weirhinge_config::{ConfigDocument, ConfigError, MachineList};

use crate::client::{FetchError, Fetched, fetch};
use crate::{CONFIGURATION_PATH, MACHINES_PATH};

/// Time between two polls of the platform.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Polls between two readings of the machine list.
const TICKS_PER_LIST: u32 = 4;
/// Longest that one poll may take.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// Who serves a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// The platform: the document that a deployment starts from.
    Platform,
    /// A balancer: what the balancers have agreed on. Once such a document has
    /// been seen, the platform's is not looked at any more.
    Balancer,
}

/// Decides what to do with each document that is served. Pure: the documents
/// are passed in.
#[derive(Debug, Default)]
pub struct ConfigWatch {
    in_force: Arc<ConfigDocument>,
    agreed: bool,
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
    /// Whether the balancers' agreed document has been seen.
    pub fn has_agreed(&self) -> bool {
        self.agreed
    }

    /// Takes in the bytes of a served document.
    pub fn consider(&mut self, kind: SourceKind, origin: &str, bytes: &[u8]) -> WatchOutcome {
        let document = match ConfigDocument::from_json(origin, bytes) {
            Ok(document) => document,
            Err(error) => return WatchOutcome::Invalid(error),
        };
        let (served, in_force) = (document.revision, self.in_force.revision);
        if kind == SourceKind::Balancer {
            self.agreed = true;
        } else if self.agreed {
            return WatchOutcome::Current;
        }
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
    /// A source answered.
    Served(WatchOutcome),
    /// A source confirmed that nothing has changed.
    Unchanged,
    /// No source could be read.
    Failed(FetchError),
}

/// Whom to poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Following {
    /// The platform alone, as balancers do, who agree among themselves.
    Platform,
    /// The balancers on the platform's machine list, and the platform until one
    /// of them has an agreed document.
    Balancers,
}

/// The sources of one watch.
struct Poller {
    platform: SocketAddr,
    following: Following,
    watch: ConfigWatch,
    platform_tag: Option<String>,
    balancer_tag: Option<String>,
    balancers: Vec<SocketAddr>,
    /// Which balancer to ask; moves on when one does not answer.
    place: usize,
}

/// Polls until the process ends, and reports each poll.
pub async fn run_watch(
    platform: SocketAddr,
    following: Following,
    mut report: impl FnMut(WatchEvent),
) {
    let mut poller = Poller {
        platform,
        following,
        watch: ConfigWatch::default(),
        platform_tag: None,
        balancer_tag: None,
        balancers: Vec::new(),
        // Spreads daemons over the balancers.
        place: std::process::id() as usize,
    };
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut number: u32 = 0;
    loop {
        ticks.tick().await;
        if following == Following::Balancers && number.is_multiple_of(TICKS_PER_LIST) {
            poller.read_list().await;
        }
        number = number.wrapping_add(1);
        for event in poller.poll().await {
            report(event);
        }
    }
}

impl Poller {
    /// Reads the machine list; keeps the last one while the platform is away.
    async fn read_list(&mut self) {
        if let Ok(Fetched::Body { bytes, .. }) =
            fetch(self.platform, MACHINES_PATH, None, POLL_TIMEOUT).await
            && let Ok(list) = MachineList::from_json("machine list", &bytes)
        {
            self.balancers = list.machines.iter().filter_map(|machine| machine.api).collect();
        }
    }

    async fn poll(&mut self) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        if self.following == Following::Balancers && !self.balancers.is_empty() {
            events.extend(self.poll_balancer().await);
        }
        if !self.watch.has_agreed() {
            events.push(self.poll_platform().await);
        }
        events
    }

    async fn poll_platform(&mut self) -> WatchEvent {
        let tag = self.platform_tag.as_deref();
        match fetch(self.platform, CONFIGURATION_PATH, tag, POLL_TIMEOUT).await {
            Ok(Fetched::Unchanged) => WatchEvent::Unchanged,
            Ok(Fetched::Body { bytes, entity_tag }) => {
                self.platform_tag = entity_tag;
                let origin = format!("platform {}", self.platform);
                let outcome = self.watch.consider(SourceKind::Platform, &origin, &bytes);
                WatchEvent::Served(outcome)
            }
            Err(error) => WatchEvent::Failed(error),
        }
    }

    /// Polls one balancer. One that has no agreed document yet is no failure.
    async fn poll_balancer(&mut self) -> Option<WatchEvent> {
        let balancer = self.balancers[self.place % self.balancers.len()];
        let tag = self.balancer_tag.as_deref();
        match fetch(balancer, CONFIGURATION_PATH, tag, POLL_TIMEOUT).await {
            Ok(Fetched::Unchanged) => Some(WatchEvent::Unchanged),
            Ok(Fetched::Body { bytes, entity_tag }) => {
                self.balancer_tag = entity_tag;
                let origin = format!("balancer {balancer}");
                let outcome = self.watch.consider(SourceKind::Balancer, &origin, &bytes);
                Some(WatchEvent::Served(outcome))
            }
            Err(error) => {
                self.place = self.place.wrapping_add(1);
                let is_without = matches!(error, FetchError::Status { status: 404, .. });
                (!is_without).then_some(WatchEvent::Failed(error))
            }
        }
    }
}
