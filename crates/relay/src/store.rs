//! Reads the platform's store: lists it once, then watches for changes.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Bytes;
use slog::{Logger, info, warn};
use weirhinge_fleet::reader::ReadReason;
use weirhinge_fleet::{
    EvacuatedZones, Millis, Position, Timing, UNCONFIRMED_AGE_MS, Update, VersionedConfiguration,
    VersionedTarget, ZoneUpdate,
};

use crate::clock::Clock;
use crate::fleet_node::FleetNode;
use crate::metrics::StoreMetrics;
use crate::platform::{Platform, ReadConsistency, RejectedItem, StaleResponse};
use crate::reported_rejections::ReportedRejections;
use crate::settings::CommonSettings;
use crate::store_client::{StoreClient, StoreError, StoreResponse};

/// Timeout of a request that the store answers immediately.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How much longer than its requested wait a watch may take.
const WATCH_TIMEOUT_MARGIN: Duration = Duration::from_millis(500);
/// How often a balancer that does not read the store checks whether it should.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// The same interval until the store has confirmed the balancer's state.
const START_POLL_INTERVAL: Duration = Duration::from_millis(4);
/// Most pages read in one listing.
const MAX_PAGES: usize = 200;

/// Why the whole store is listed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListingReason {
    /// No state is known yet.
    Start,
    /// Reads failed while a listing was due.
    Outage,
    /// The store no longer has the changes after the known position.
    HistoryGone,
    /// The store was restored from a backup, so the known revisions do not apply.
    Restored,
}

impl ListingReason {
    /// Returns the label for logs and counters.
    fn label(self) -> &'static str {
        match self {
            ListingReason::Start => "start",
            ListingReason::Outage => "outage",
            ListingReason::HistoryGone => "history_gone",
            ListingReason::Restored => "restored",
        }
    }

    /// Returns how current the listing has to be. A balancer that starts brings an old listing up to
    /// date with one watch, which costs the store less than a current listing of many pages.
    fn consistency(self) -> ReadConsistency {
        match self {
            ListingReason::Start => ReadConsistency::Stale,
            ListingReason::Outage | ListingReason::HistoryGone | ListingReason::Restored => {
                ReadConsistency::Linearizable
            }
        }
    }
}

/// Reads the store while this balancer is one of its readers.
pub struct StoreReader<P> {
    platform: P,
    client: StoreClient,
    timing: Timing,
    node: Rc<RefCell<FleetNode>>,
    clock: Clock,
    metrics: StoreMetrics,
    log: Logger,
    /// Whether a listing is due: none succeeded since the start or the last refused watch.
    needs_list: bool,
    is_store_lost: bool,
    /// Consecutive watches that could not continue from the known position.
    refused_watches: u32,
    reported_rejections: ReportedRejections,
}

impl<P: Platform> StoreReader<P> {
    /// Creates a reader that is not connected yet.
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
            is_store_lost: false,
            refused_watches: 0,
            reported_rejections: ReportedRejections::default(),
        }
    }

    /// Reads until the process ends; calls `on_update` after each successful read.
    pub async fn run(mut self, on_update: impl Fn()) {
        let mut failures = 0;
        loop {
            let now = self.clock.now();
            let Some(reason) = self.node.borrow().read_reason(now) else {
                self.set_reading(false);
                let is_starting = !self.is_confirmed();
                let interval = if is_starting { START_POLL_INTERVAL } else { IDLE_POLL_INTERVAL };
                tokio::time::sleep(interval).await;
                continue;
            };
            match self.read_once(reason).await {
                Ok(()) => {
                    failures = 0;
                    self.note_store_regained();
                    // A first listing may be stale and is confirmed by the next read.
                    let is_confirmed = self.is_confirmed();
                    self.set_reading(is_confirmed && reason.makes_reader());
                    on_update();
                    if is_confirmed {
                        self.await_min_watch_interval(now).await;
                    }
                }
                Err(error) => {
                    self.note_store_lost(&error);
                    self.set_reading(false);
                    failures += 1;
                    self.await_retry(failures).await;
                }
            }
        }
    }

    /// Waits until a failed call is due to be repeated, or until peers have sent newer state.
    async fn await_retry(&self, failures: u32) {
        loop {
            let wait = self.node.borrow().retry_wait(failures);
            tokio::time::sleep(Duration::from_millis(wait.wait_ms)).await;
            let is_needed = self.node.borrow().read_reason(self.clock.now()).is_some();
            if wait.calls_store || !is_needed {
                return;
            }
        }
    }

    /// Whether the store has confirmed the known state.
    fn is_confirmed(&self) -> bool {
        self.node.borrow().age(self.clock.now()).is_some()
    }

    fn set_reading(&self, reading: bool) {
        self.node.borrow_mut().reading = reading;
    }

    async fn await_min_watch_interval(&self, began_at: Millis) {
        let elapsed = self.clock.now().saturating_sub(began_at);
        let remaining = self.timing.min_watch_interval_ms.saturating_sub(elapsed);
        tokio::time::sleep(Duration::from_millis(remaining)).await;
    }

    async fn read_once(&mut self, reason: ReadReason) -> Result<(), StoreError> {
        let known = self.node.borrow().position();
        // No first listing is needed if peers have sent the state already.
        if known.is_start() {
            return self.list(ListingReason::Start).await;
        }
        if self.needs_list && self.is_store_lost {
            return self.list(ListingReason::Outage).await;
        }
        let listing_reason = match self.watch(known, reason.watch_wait_ms(&self.timing)).await {
            Ok(()) => {
                self.refused_watches = 0;
                return Ok(());
            }
            Err(StoreError::HistoryGone { .. }) => ListingReason::HistoryGone,
            Err(StoreError::Restored { .. }) => ListingReason::Restored,
            Err(error) => return Err(error),
        };
        info!(self.log, "store: changes after the known revision are unavailable, listing again";
            "event" => "store_history_gone",
            "reason" => listing_reason.label(), "revision" => known.revision);
        self.needs_list = true;
        self.back_off_after_refusal(reason).await;
        if self.node.borrow().position() != known {
            // Peers have sent newer state in the meantime.
            return Ok(());
        }
        self.list(listing_reason).await
    }

    /// Waits before the next listing. One listing normally resolves a refused watch; when it did
    /// not, listing again soon would load the store without any benefit.
    async fn back_off_after_refusal(&mut self, reason: ReadReason) {
        self.refused_watches += 1;
        if self.refused_watches > 1 {
            return self.await_retry(self.refused_watches).await;
        }
        let delay_ms = self.node.borrow().listing_delay(reason);
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }

    async fn list(&mut self, reason: ListingReason) -> Result<(), StoreError> {
        self.metrics.listings.increment(reason.label());
        let requested_at = self.clock.now();
        let known = self.node.borrow().position();
        let mut listing = Listing::default();
        let mut after: Option<String> = None;
        for _ in 0..MAX_PAGES {
            let path = self.platform.list_path(after.as_deref(), reason.consistency());
            let response = self.call(&path, RESPONSE_TIMEOUT).await?;
            let page = self.platform.read_list(response.era, &response.body);
            let page = page.map_err(|rejected| self.unusable_response(rejected))?;
            self.check_page(known, &listing, page.at)?;
            self.log_rejected(&page.rejected);
            listing.note_page(page.at);
            listing.configuration = listing.configuration.or(page.configuration);
            listing.targets.extend(page.targets);
            listing.targets.extend(page.removed);
            listing.evacuated.extend(page.evacuated);
            after = page.next_after;
            if after.is_none() {
                break;
            }
        }
        self.needs_list = false;
        let through = listing.at.unwrap_or_default();
        // Peers may have sent newer state in the meantime.
        let is_outdated = through < self.node.borrow().position();
        info!(self.log, "store: listing complete"; "event" => "store_listed",
            "reason" => reason.label(), "era" => through.era, "revision" => through.revision,
            "known_era" => known.era, "known" => known.revision, "outdated" => is_outdated);
        self.apply(Update {
            after: Position::default(),
            through,
            complete: true,
            skips: true,
            age_ms: match reason.consistency() {
                ReadConsistency::Linearizable => self.clock.now().saturating_sub(requested_at),
                ReadConsistency::Stale => UNCONFIRMED_AGE_MS,
            },
            configuration: listing.configuration,
            targets: listing.targets,
            zones: ZoneUpdate::Whole(EvacuatedZones::new(through, listing.evacuated)),
            ..Update::default()
        });
        Ok(())
    }

    /// Rejects a page that is older than the state known when the listing began, or that is from
    /// another era than the first page because the store was restored from a backup in between.
    fn check_page(
        &self,
        known: Position,
        listing: &Listing,
        at: Position,
    ) -> Result<(), StoreError> {
        let peer = self.client.address();
        if at < known {
            return Err(StoreError::Stale { peer, stale: StaleResponse { at, known } });
        }
        if listing.at.is_some_and(|first| first.era != at.era) {
            return Err(StoreError::Restored { peer, era: at.era });
        }
        Ok(())
    }

    async fn watch(&mut self, after: Position, wait_ms: Millis) -> Result<(), StoreError> {
        let requested_at = self.clock.now();
        let path = self.platform.watch_path(after.revision, wait_ms);
        let timeout = Duration::from_millis(wait_ms) + WATCH_TIMEOUT_MARGIN;
        let response = self.call(&path, timeout).await?;
        let peer = self.client.address();
        // The same revision may exist in both eras, so a response of a newer era can look valid and
        // yet lack changes.
        if response.era > after.era {
            return Err(StoreError::Restored { peer, era: response.era });
        }
        let page = self.platform.read_watch(response.era, &response.body);
        let page = page.map_err(|rejected| self.unusable_response(rejected))?;
        self.log_rejected(&page.rejected);
        let elapsed_ms = self.clock.now().saturating_sub(requested_at);
        let update = page.into_update(after, wait_ms, elapsed_ms);
        let update = update.map_err(|stale| StoreError::Stale { peer, stale })?;
        self.apply(update);
        Ok(())
    }

    fn apply(&self, update: Update) {
        let now = self.clock.now();
        self.node.borrow_mut().apply_from_store(update, now);
    }

    async fn call(&mut self, path: &str, timeout: Duration) -> Result<EraResponse, StoreError> {
        self.metrics.calls.inc();
        let began_at = self.clock.now();
        let result = self.client.get(path, timeout).await;
        self.metrics.call_seconds.observe((self.clock.now() - began_at) as f64 / 1_000.0);
        let StoreResponse { headers, body } = result?;
        let era = self
            .platform
            .store_era(&headers)
            .map_err(|rejected| self.unusable_response(rejected))?;
        Ok(EraResponse { era, body })
    }

    fn unusable_response(&self, rejected: RejectedItem) -> StoreError {
        StoreError::Unusable { peer: self.client.address(), rejected: Box::new(rejected) }
    }

    fn log_rejected(&mut self, rejected: &[RejectedItem]) {
        for item in rejected {
            if !self.reported_rejections.record(item) {
                continue;
            }
            self.metrics.rejected_items.increment(item.reason.label());
            warn!(self.log, "store: item rejected, not applied"; "event" => "item_refused",
                "key" => &item.key, "reason" => item.reason.label(),
                "field" => &item.field, "found" => &item.found, "expected" => &item.expected);
        }
    }

    fn note_store_lost(&mut self, error: &StoreError) {
        self.metrics.failures.inc();
        if !self.is_store_lost {
            self.is_store_lost = true;
            let age_ms = self.node.borrow().age(self.clock.now());
            warn!(self.log, "store: reads fail"; "event" => "store_lost",
                "reason" => error.to_string(), "age_ms" => age_ms);
        }
    }

    fn note_store_regained(&mut self) {
        if self.is_store_lost {
            self.is_store_lost = false;
            let position = self.node.borrow().position();
            info!(self.log, "store: reads succeed again"; "event" => "store_regained",
                "era" => position.era, "revision" => position.revision);
        }
    }
}

/// The body of a successful response, and the era of the store that sent it.
struct EraResponse {
    era: u64,
    body: Bytes,
}

/// The pages of one listing, combined.
#[derive(Default)]
struct Listing {
    /// The lowest position of a page: changes after it may be missing.
    at: Option<Position>,
    configuration: Option<VersionedConfiguration>,
    targets: Vec<VersionedTarget>,
    evacuated: Vec<String>,
}

impl Listing {
    /// Records the position of a page. Pages of a stale listing may come from different replicas of
    /// the store, so a later page may be older.
    fn note_page(&mut self, at: Position) {
        self.at = Some(self.at.map_or(at, |known| known.min(at)));
    }
}
