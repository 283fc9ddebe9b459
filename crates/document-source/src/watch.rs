//! Polls the platform and the balancers for the configuration document.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use weirhinge_config::{ConfigDocument, ConfigError, MachineList};

use crate::client::{FetchError, Fetched, fetch};
use crate::{CONFIGURATION_PATH, MACHINES_PATH};

/// Interval between polls.
pub const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of polls per reading of the machine list.
const POLLS_PER_LIST_READ: u32 = 4;
/// Timeout of one request.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);

/// The kind of source that served a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SourceKind {
    /// The platform, which has the document that a deployment starts from.
    Platform,
    /// A balancer, which has the document that the balancers have agreed on. Once
    /// such a document has been seen, the platform's document is ignored.
    Balancer,
}

/// Keeps the newest valid document, and decides for each served document whether it
/// takes effect. Does no I/O.
#[derive(Debug, Default)]
pub struct ConfigWatch {
    in_effect: Arc<ConfigDocument>,
    agreed_document_seen: bool,
}

/// The result of handling a served document.
#[derive(Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The document is valid and newer: apply it.
    Apply(Arc<ConfigDocument>),
    /// The document has the revision in effect, or is the platform's and ignored
    /// because the balancers have agreed on one.
    Current,
    /// The document is older than the one in effect and was ignored.
    Stale {
        /// The revision served.
        served: u64,
        /// The revision in effect.
        in_effect: u64,
    },
    /// The document is invalid. The one in effect stays.
    Invalid(ConfigError),
}

impl ConfigWatch {
    /// Whether a document that the balancers agreed on has been seen.
    pub fn has_seen_agreed_document(&self) -> bool {
        self.agreed_document_seen
    }

    /// Handles a served document, given as JSON. `origin` names its source in errors.
    pub fn handle_document(
        &mut self,
        kind: SourceKind,
        origin: &str,
        bytes: &[u8],
    ) -> WatchOutcome {
        let document = match ConfigDocument::from_json(origin, bytes) {
            Ok(document) => document,
            Err(error) => return WatchOutcome::Invalid(error),
        };
        let (served, in_effect) = (document.revision, self.in_effect.revision);
        if kind == SourceKind::Balancer {
            self.agreed_document_seen = true;
        } else if self.agreed_document_seen {
            return WatchOutcome::Current;
        }
        if served < in_effect {
            return WatchOutcome::Stale { served, in_effect };
        }
        if served == in_effect {
            return WatchOutcome::Current;
        }
        if let Err(error) = document.check_successor(origin, &self.in_effect) {
            return WatchOutcome::Invalid(error);
        }
        self.in_effect = Arc::new(document);
        WatchOutcome::Apply(self.in_effect.clone())
    }
}

/// The result of polling one source.
#[derive(Debug)]
pub enum WatchEvent {
    /// The source served a document.
    Served(WatchOutcome),
    /// The source confirmed that its document has not changed.
    Unchanged,
    /// The source could not be read.
    Failed(FetchError),
}

/// The sources that a daemon polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolledSources {
    /// Only the platform. Used by balancers, which receive the agreed document through
    /// consensus.
    Platform,
    /// The balancers on the platform's machine list, and the platform until one of
    /// the balancers has served an agreed document.
    Balancers,
}

/// Polls the sources and keeps the state of the polling.
struct Poller {
    platform: SocketAddr,
    sources: PolledSources,
    watch: ConfigWatch,
    platform_tag: Option<String>,
    balancer_tag: Option<String>,
    balancers: Vec<SocketAddr>,
    /// Selects the balancer to poll; advances when a request to it fails.
    balancer_index: usize,
}

/// Polls until dropped, and passes the result of each poll to `report`.
pub async fn run_watch(
    platform: SocketAddr,
    sources: PolledSources,
    mut report: impl FnMut(WatchEvent),
) {
    let mut poller = Poller {
        platform,
        sources,
        watch: ConfigWatch::default(),
        platform_tag: None,
        balancer_tag: None,
        balancers: Vec::new(),
        // Spreads the daemons over the balancers.
        balancer_index: std::process::id() as usize,
    };
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut poll_count: u32 = 0;
    loop {
        ticks.tick().await;
        if sources == PolledSources::Balancers && poll_count.is_multiple_of(POLLS_PER_LIST_READ) {
            poller.read_machine_list().await;
        }
        poll_count = poll_count.wrapping_add(1);
        for event in poller.poll().await {
            report(event);
        }
    }
}

impl Poller {
    /// Reads the machine list. Keeps the last one while the platform is unavailable.
    async fn read_machine_list(&mut self) {
        if let Ok(Fetched::Body { bytes, .. }) =
            fetch(self.platform, MACHINES_PATH, None, POLL_TIMEOUT).await
            && let Ok(list) = MachineList::from_json("machine list", &bytes)
        {
            self.balancers = list.machines.iter().filter_map(|machine| machine.api).collect();
        }
    }

    async fn poll(&mut self) -> Vec<WatchEvent> {
        let mut events = Vec::new();
        if self.sources == PolledSources::Balancers && !self.balancers.is_empty() {
            events.extend(self.poll_balancer().await);
        }
        if !self.watch.has_seen_agreed_document() {
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
                let outcome = self.watch.handle_document(SourceKind::Platform, &origin, &bytes);
                WatchEvent::Served(outcome)
            }
            Err(error) => WatchEvent::Failed(error),
        }
    }

    /// Polls one balancer. It is not an error if the balancer has no agreed document
    /// yet (status 404).
    async fn poll_balancer(&mut self) -> Option<WatchEvent> {
        let balancer = self.balancers[self.balancer_index % self.balancers.len()];
        let tag = self.balancer_tag.as_deref();
        match fetch(balancer, CONFIGURATION_PATH, tag, POLL_TIMEOUT).await {
            Ok(Fetched::Unchanged) => Some(WatchEvent::Unchanged),
            Ok(Fetched::Body { bytes, entity_tag }) => {
                self.balancer_tag = entity_tag;
                let origin = format!("balancer {balancer}");
                let outcome = self.watch.handle_document(SourceKind::Balancer, &origin, &bytes);
                Some(WatchEvent::Served(outcome))
            }
            Err(error) => {
                self.balancer_index = self.balancer_index.wrapping_add(1);
                let has_no_document = matches!(error, FetchError::Status { status: 404, .. });
                (!has_no_document).then_some(WatchEvent::Failed(error))
            }
        }
    }
}
