//! Reads the platform's store: a listing, then watches.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use slog::{Logger, info, warn};
use weirhinge_fleet::{
    EvacuatedZones, Millis, Position, Timing, Update, VersionedConfiguration, VersionedTarget,
    ZoneUpdate,
};

use crate::clock::Clock;
use crate::fleet_node::FleetNode;
use crate::metrics::StoreMetrics;
use crate::platform::{AnswerBehind, Platform, RejectedItem};
use crate::refused_items::RefusedItems;
use crate::settings::CommonSettings;
use crate::store_client::{StoreAnswer, StoreClient, StoreError};

/// Longest wait for an answer that comes at once.
const ANSWER_LIMIT: Duration = Duration::from_millis(1_200);
/// How much longer than asked a watch may take.
const WATCH_SLACK: Duration = Duration::from_millis(500);
/// How often a balancer that does not read looks whether it should.
const IDLE_POLL: Duration = Duration::from_millis(40);
/// The same while nothing is known yet.
const START_POLL: Duration = Duration::from_millis(4);
/// Most pages of one listing.
const MAXIMUM_PAGES: usize = 200;

/// Why the whole store is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListingReason {
    /// Nothing is known yet.
    Start,
    /// The store was out of reach since the last listing.
    Outage,
    /// The store does not have the changes after the known position.
    HistoryGone,
    /// The store came back from a copy: its revisions are others.
    Restored,
}

impl ListingReason {
    /// Label for logs and counters.
    fn label(self) -> &'static str {
        match self {
            ListingReason::Start => "start",
            ListingReason::Outage => "outage",
            ListingReason::HistoryGone => "history_gone",
            ListingReason::Restored => "restored",
        }
    }
}

/// Reads the store whenever this balancer should.
pub struct StoreReader<P> {
    platform: P,
    client: StoreClient,
    timing: Timing,
    node: Rc<RefCell<FleetNode>>,
    clock: Clock,
    metrics: StoreMetrics,
    log: Logger,
    needs_list: bool,
    is_lost: bool,
    /// Watches in a row that the store refused, as it lacks the changes since.
    refused_watches: u32,
    refused: RefusedItems,
}

impl<P: Platform> StoreReader<P> {
    /// A reader that is not connected yet.
    pub fn new(
        platform: P,
        settings: &CommonSettings,
        node: Rc<RefCell<FleetNode>>,
        clock: Clock,
        metrics: StoreMetrics,
        log: Logger,
    ) -> Self {
        Self {
            platform,
            client: StoreClient::new(settings.store),
            timing: settings.timing,
            node,
            clock,
            metrics,
            log,
            needs_list: true,
            is_lost: false,
            refused_watches: 0,
            refused: RefusedItems::default(),
        }
    }

    /// Reads for as long as the process lives; calls `news` after each answer.
    pub async fn run(mut self, news: impl Fn()) {
        let mut failures = 0;
        loop {
            let now = self.clock.now();
            if !self.node.borrow().should_read(now) {
                self.set_reading(false);
                let known = !self.node.borrow().position().is_start();
                tokio::time::sleep(if known { IDLE_POLL } else { START_POLL }).await;
                continue;
            }
            match self.read_once().await {
                Ok(()) => {
                    failures = 0;
                    self.regained();
                    self.set_reading(true);
                    news();
                    self.space_watches(now).await;
                }
                Err(error) => {
                    self.lost(&error);
                    self.set_reading(false);
                    failures += 1;
                    let wait_ms = self.node.borrow().retry_backoff(failures);
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                }
            }
        }
    }

    fn set_reading(&self, reading: bool) {
        self.node.borrow_mut().reading = reading;
    }

    async fn space_watches(&self, began: Millis) {
        let elapsed = self.clock.now().saturating_sub(began);
        let rest = self.timing.min_watch_interval_ms.saturating_sub(elapsed);
        tokio::time::sleep(Duration::from_millis(rest)).await;
    }

    async fn read_once(&mut self) -> Result<(), StoreError> {
        let known = self.node.borrow().position();
        // What peers passed on is as good as a listing of one's own.
        if known.is_start() {
            return self.list(ListingReason::Start).await;
        }
        if self.needs_list && self.is_lost {
            return self.list(ListingReason::Outage).await;
        }
        let reason = match self.watch(known).await {
            Ok(()) => {
                self.refused_watches = 0;
                return Ok(());
            }
            Err(StoreError::HistoryGone { .. }) => ListingReason::HistoryGone,
            Err(StoreError::Restored { .. }) => ListingReason::Restored,
            Err(error) => return Err(error),
        };
        info!(self.log, "store: history gone, listing anew"; "event" => "store_history_gone",
            "reason" => reason.label(), "revision" => known.revision);
        self.needs_list = true;
        self.wait_after_refusal().await;
        self.list(reason).await
    }

    /// The first refused watch is mended by a listing. Where it was not, listing again at
    /// once would load the store with nothing gained.
    async fn wait_after_refusal(&mut self) {
        self.refused_watches += 1;
        if self.refused_watches > 1 {
            let wait_ms = self.node.borrow().retry_backoff(self.refused_watches);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
        }
    }

    async fn list(&mut self, reason: ListingReason) -> Result<(), StoreError> {
        self.metrics.listings.increment(reason.label());
        let asked_at = self.clock.now();
        let known = self.node.borrow().position();
        let mut listed = Listed::default();
        let mut after: Option<String> = None;
        for _ in 0..MAXIMUM_PAGES {
            let path = self.platform.list_path(after.as_deref());
            let answer = self.call(&path, ANSWER_LIMIT).await?;
            let page = self.platform.read_list(answer.era, &answer.body);
            let page = page.map_err(|rejected| self.unusable(rejected))?;
            self.check_page(known, &listed, page.at)?;
            self.log_rejected(&page.rejected);
            listed.at.get_or_insert(page.at);
            listed.configuration = listed.configuration.or(page.configuration);
            listed.targets.extend(page.targets);
            listed.targets.extend(page.removed);
            listed.evacuated.extend(page.evacuated);
            after = page.next_after;
            if after.is_none() {
                break;
            }
        }
        self.needs_list = false;
        let through = listed.at.unwrap_or_default();
        info!(self.log, "store: listed"; "event" => "store_listed", "reason" => reason.label(),
            "era" => through.era, "revision" => through.revision,
            "known_era" => known.era, "known" => known.revision);
        self.apply(Update {
            after: Position::default(),
            through,
            complete: true,
            skips: true,
            age_ms: self.clock.now().saturating_sub(asked_at),
            configuration: listed.configuration,
            targets: listed.targets,
            zones: ZoneUpdate::Whole(EvacuatedZones::new(through, listed.evacuated)),
        });
        Ok(())
    }

    /// A page proves nothing if it is older than what was known when it was asked for, or if
    /// the store came back from a copy since the first page.
    fn check_page(&self, known: Position, listed: &Listed, at: Position) -> Result<(), StoreError> {
        let peer = self.client.address();
        if at < known {
            return Err(StoreError::Behind { peer, behind: AnswerBehind { at, after: known } });
        }
        if listed.at.is_some_and(|first| first.era != at.era) {
            return Err(StoreError::Restored { peer, era: at.era });
        }
        Ok(())
    }

    async fn watch(&mut self, after: Position) -> Result<(), StoreError> {
        let asked_at = self.clock.now();
        let wait_ms = self.timing.watch_wait_ms;
        let path = self.platform.watch_path(after.revision, wait_ms);
        let limit = Duration::from_millis(wait_ms) + WATCH_SLACK;
        let answer = self.call(&path, limit).await?;
        let peer = self.client.address();
        // The revision may exist in both eras: an answer can look right and lack changes.
        if answer.era > after.era {
            return Err(StoreError::Restored { peer, era: answer.era });
        }
        let page = self.platform.read_watch(answer.era, &answer.body);
        let page = page.map_err(|rejected| self.unusable(rejected))?;
        self.log_rejected(&page.rejected);
        let elapsed_ms = self.clock.now().saturating_sub(asked_at);
        let update = page.into_update(after, wait_ms, elapsed_ms);
        let update = update.map_err(|behind| StoreError::Behind { peer, behind })?;
        self.apply(update);
        Ok(())
    }

    fn apply(&self, update: Update) {
        let now = self.clock.now();
        self.node.borrow_mut().apply_from_store(update, now);
    }

    async fn call(&mut self, path: &str, limit: Duration) -> Result<EraAnswer, StoreError> {
        self.metrics.calls.inc();
        let began = self.clock.now();
        let result = self.client.get(path, limit).await;
        self.metrics.call_seconds.observe((self.clock.now() - began) as f64 / 1_000.0);
        let StoreAnswer { headers, body } = result?;
        let era = self.platform.store_era(&headers).map_err(|rejected| self.unusable(rejected))?;
        Ok(EraAnswer { era, body })
    }

    fn unusable(&self, rejected: RejectedItem) -> StoreError {
        StoreError::Unusable { peer: self.client.address(), rejected: Box::new(rejected) }
    }

    fn log_rejected(&mut self, rejected: &[RejectedItem]) {
        for item in rejected {
            if !self.refused.is_news(item) {
                continue;
            }
            self.metrics.rejected_items.increment(item.reason.label());
            warn!(self.log, "store: item refused"; "event" => "item_refused", "key" => &item.key,
                "reason" => item.reason.label(),
                "field" => &item.field, "found" => &item.found, "expected" => &item.expected);
        }
    }

    fn lost(&mut self, error: &StoreError) {
        self.metrics.failures.inc();
        if !self.is_lost {
            self.is_lost = true;
            let age_ms = self.node.borrow().age(self.clock.now());
            warn!(self.log, "store: lost"; "event" => "store_lost", "reason" => error.to_string(),
                "age_ms" => age_ms);
        }
    }

    fn regained(&mut self) {
        if self.is_lost {
            self.is_lost = false;
            let position = self.node.borrow().position();
            info!(self.log, "store: regained"; "event" => "store_regained",
                "era" => position.era, "revision" => position.revision);
        }
    }
}

/// A successful answer, and which life of the store made it.
struct EraAnswer {
    era: u64,
    body: Bytes,
}

#[derive(Default)]
struct Listed {
    at: Option<Position>,
    configuration: Option<VersionedConfiguration>,
    targets: Vec<VersionedTarget>,
    evacuated: Vec<String>,
}
