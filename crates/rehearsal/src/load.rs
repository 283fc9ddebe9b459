//! The load: long-lived feeds, and requests in an open loop: they start on
//! schedule regardless of outstanding answers, so that a stall shows up in the
//! measured latency.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until, timeout};

use crate::history::{FlowKind, History, RequestId};
use crate::scenario::ServiceScenario;
use crate::standin::back_end::{
    DEADLINE_HEADER, REQUEST_HEADER, SERVICE_HEADER, answer_bytes, feed_line,
};
use crate::standin::client::{AddressPool, HttpClient, open};
use crate::standin::fabric::Fabric;

/// Number of requests on one kept flow.
const REQUESTS_PER_KEPT_FLOW: usize = 8;
/// Time within which a client must receive a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time that a request may wait for a slot, sent in its deadline header.
const SLOT_DEADLINE: Duration = Duration::from_secs(10);
/// Number of update intervals without data after which a feed counts as broken.
const MAX_SILENT_INTERVALS: u32 = 20;
/// Delay before a broken or refused feed is reopened.
const REOPEN_DELAY: Duration = Duration::from_secs(1);
/// Period over which the feeds of a service are opened.
const FEED_RAMP_UP: Duration = Duration::from_secs(2);

/// State shared by all clients. Cheap to clone.
#[derive(Clone)]
pub struct LoadContext {
    /// The fabric that clients send through.
    pub fabric: Fabric,
    /// Source addresses for clients.
    pub pool: Arc<AddressPool>,
    /// The record that clients write to.
    pub history: History,
    /// Set when the load ends, upon which clients close their feeds.
    pub load_ended: Arc<AtomicBool>,
    /// Identifier of the next request.
    pub next_request: Arc<AtomicU64>,
}

impl LoadContext {
    fn next_request_id(&self) -> RequestId {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    fn has_load_ended(&self) -> bool {
        self.load_ended.load(Ordering::Relaxed)
    }
}

/// The load on one service.
#[derive(Clone)]
pub struct ServiceLoad {
    /// State shared with other services' clients.
    pub context: LoadContext,
    /// The service and its load parameters.
    pub service: ServiceScenario,
    /// Random seed of the arrivals.
    pub seed: u64,
}

impl ServiceLoad {
    fn destination(&self) -> SocketAddr {
        SocketAddr::new(self.service.address, self.service.port)
    }

    /// Opens all feeds and keeps them open until the load ends.
    pub async fn run_feeds(self) {
        let mut feeds = JoinSet::new();
        for number in 0..self.service.feeds {
            let load = self.clone();
            let start = FEED_RAMP_UP.mul_f64(number as f64 / self.service.feeds as f64);
            feeds.spawn(async move {
                sleep(start).await;
                load.maintain_feed().await;
            });
        }
        while feeds.join_next().await.is_some() {}
    }

    async fn maintain_feed(&self) {
        while !self.context.has_load_ended() {
            let mut client = None;
            if let Err(reason) = self.read_feed(&mut client).await {
                self.context.history.record_broken_flow(FlowKind::Feed, client, None, reason);
            }
            if !self.context.has_load_ended() {
                sleep(REOPEN_DELAY).await;
            }
        }
    }

    /// Opens one feed and reads it until the load ends. An error is a broken flow;
    /// a feed that cannot be opened is recorded as refused and returns `Ok`.
    async fn read_feed(&self, client: &mut Option<SocketAddr>) -> Result<(), String> {
        let id = self.context.next_request_id();
        let Some(mut http_client) = self.open_http_client(id).await else {
            return Ok(());
        };
        *client = Some(http_client.source);
        let silence_limit = self.feed_interval() * MAX_SILENT_INTERVALS;
        let response =
            timeout(silence_limit, http_client.sender.send_request(self.request("/feed", id)))
                .await
                .map_err(|_| "feed did not start in time".to_owned())?
                .map_err(|error| error.to_string())?;
        let mut body = response.into_body();
        let mut expected: u64 = 0;
        while !self.context.has_load_ended() {
            let frame = timeout(silence_limit, body.frame())
                .await
                .map_err(|_| format!("no data in time, expected update {expected}"))?
                .ok_or_else(|| format!("feed ended, expected update {expected}"))?
                .map_err(|error| format!("expected update {expected}: {error}"))?;
            let data = frame.into_data().unwrap_or_default();
            expected = self.check_updates(id, expected, &data)?;
        }
        Ok(())
    }

    /// Checks the lines of one frame and returns the next expected update. The back
    /// end writes complete lines, one or more per frame.
    fn check_updates(&self, id: RequestId, first: u64, data: &[u8]) -> Result<u64, String> {
        let mut next = first;
        for line in data.split_inclusive(|&byte| byte == b'\n') {
            if line != feed_line(id, next).as_bytes() {
                self.context.history.lock().wrong_answers += 1;
                let found = String::from_utf8_lossy(line);
                return Err(format!("update {next}: found {found:?}"));
            }
            next += 1;
        }
        self.context.history.lock().feed_updates += next - first;
        Ok(next)
    }

    /// Starts requests at exponentially distributed intervals until `until`, then
    /// waits for the last answer.
    pub async fn run_requests(self, until: Instant) {
        let rate = self.request_rate();
        if rate <= 0.0 {
            return;
        }
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut requests = JoinSet::new();
        let mut scheduled = Instant::now();
        // A kept flow carries several requests, so fewer flows are started.
        let flow_rate = rate / self.requests_per_flow();
        loop {
            let gap = -(1.0 - random.random::<f64>()).ln() / flow_rate;
            scheduled += Duration::from_secs_f64(gap);
            if scheduled >= until {
                break;
            }
            sleep_until(scheduled).await;
            let load = self.clone();
            let kept = random.random_bool(self.kept_flow_probability());
            requests.spawn(async move { load.run_flow(kept, scheduled, until).await });
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    /// Returns the requests per second that produce the configured load on the
    /// service's slots.
    fn request_rate(&self) -> f64 {
        let slots = self.service.targets as f64 * f64::from(self.service.slots);
        self.service.load * slots * 1_000.0 / self.service.service_ms
    }

    /// Returns the share of flows to keep, such that the share of requests on kept
    /// flows matches the scenario.
    fn kept_flow_probability(&self) -> f64 {
        let kept = self.service.kept_flow_share / REQUESTS_PER_KEPT_FLOW as f64;
        kept / (kept + 1.0 - self.service.kept_flow_share)
    }

    fn requests_per_flow(&self) -> f64 {
        let kept = self.kept_flow_probability();
        kept * REQUESTS_PER_KEPT_FLOW as f64 + (1.0 - kept)
    }

    async fn run_flow(&self, kept: bool, scheduled: Instant, until: Instant) {
        let first = self.context.next_request_id();
        let Some(mut http_client) = self.open_http_client(first).await else {
            self.context.history.record_not_run(first);
            return;
        };
        let kind = if kept { FlowKind::Kept } else { FlowKind::Single };
        let count = if kept { REQUESTS_PER_KEPT_FLOW } else { 1 };
        let client = Some(http_client.source);
        for number in 0..count {
            let (id, scheduled) = match number {
                0 => (first, scheduled),
                _ => (self.context.next_request_id(), Instant::now()),
            };
            if let Err(reason) = self.request_once(&mut http_client, id, scheduled).await {
                self.context.history.lock().unknown_outcomes += 1;
                self.context.history.record_broken_flow(kind, client, Some(id), reason);
                return;
            }
            if Instant::now() >= until {
                return;
            }
        }
    }

    /// Sends one request and checks its answer. An error is a broken flow.
    async fn request_once(
        &self,
        http_client: &mut HttpClient,
        id: RequestId,
        scheduled: Instant,
    ) -> Result<(), String> {
        let exchange = async {
            let response = http_client.sender.send_request(self.request("/run", id)).await?;
            let (head, body) = response.into_parts();
            Ok::<_, hyper::Error>((head, body.collect().await?.to_bytes()))
        };
        let (head, body) = timeout(ANSWER_TIMEOUT, exchange)
            .await
            .map_err(|_| "no complete answer in time".to_owned())?
            .map_err(|error| error.to_string())?;
        let head = Response::from_parts(head, ());
        match head.status() {
            StatusCode::OK => {
                let is_own_answer = header_number(&head, REQUEST_HEADER) == Some(id);
                if !is_own_answer || body != answer_bytes(id, self.service.answer_bytes) {
                    self.context.history.lock().wrong_answers += 1;
                } else {
                    self.context.history.record_answer(scheduled.elapsed());
                }
            }
            StatusCode::SERVICE_UNAVAILABLE => self.context.history.record_not_run(id),
            // The back end itself records misdirected requests.
            _ => {}
        }
        Ok(())
    }

    async fn open_http_client(&self, id: RequestId) -> Option<HttpClient> {
        let context = &self.context;
        let timestamps = self.has_timestamps(id);
        let opened = open(&context.fabric, &context.pool, self.destination(), timestamps).await;
        let connection = match opened {
            Ok(connection) => connection,
            Err(error) => {
                self.context.history.record_refusal(format!("{error:?}"));
                return None;
            }
        };
        self.context.history.lock().flows_opened += 1;
        HttpClient::start(connection).await.ok()
    }

    /// Returns whether the client uses TCP timestamps; a fixed share does not.
    fn has_timestamps(&self, id: RequestId) -> bool {
        (id % 100) as f64 >= self.service.plain_caller_share * 100.0
    }

    fn request(&self, path: &str, id: RequestId) -> Request<Empty<Bytes>> {
        let mut request = Request::new(Empty::new());
        if let Ok(uri) = path.parse() {
            *request.uri_mut() = uri;
        }
        let headers = request.headers_mut();
        headers.insert(REQUEST_HEADER, id.into());
        headers.insert(DEADLINE_HEADER, (SLOT_DEADLINE.as_millis() as u64).into());
        if let Ok(service) = self.service.name.parse() {
            headers.insert(SERVICE_HEADER, service);
        }
        request
    }

    fn feed_interval(&self) -> Duration {
        Duration::from_millis(self.service.feed_interval_ms)
    }
}

fn header_number<B>(response: &Response<B>, name: &str) -> Option<u64> {
    response.headers().get(name)?.to_str().ok()?.parse().ok()
}
