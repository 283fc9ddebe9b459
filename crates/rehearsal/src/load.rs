//! The load: standing feeds, and requests that start on schedule whatever the
//! system does (open loop), so that a stall cannot hide its own delay.

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
use crate::standin::caller::{AddressPool, HttpClient, open};
use crate::standin::fabric::Fabric;

/// Requests on one kept flow.
const REQUESTS_PER_KEPT_FLOW: usize = 8;
/// A caller waits this long for a whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);
/// A caller tells the back end to give up waiting for a slot after this.
const SLOT_DEADLINE: Duration = Duration::from_secs(10);
/// A feed that has been silent for this many intervals is broken.
const SILENT_INTERVALS: u32 = 20;
/// Pause before a broken or refused feed is opened again.
const REOPEN_PAUSE: Duration = Duration::from_secs(1);
/// Time over which the feeds of a service open.
const FEED_RAMP: Duration = Duration::from_secs(2);

/// What all callers share. Cheap to clone.
#[derive(Clone)]
pub struct LoadContext {
    /// The fabric that callers send through.
    pub fabric: Fabric,
    /// Addresses for callers.
    pub pool: Arc<AddressPool>,
    /// Where callers record what they see.
    pub history: History,
    /// Set when the load ends: feeds then close in order.
    pub ending: Arc<AtomicBool>,
    /// Numbers requests.
    pub next_request: Arc<AtomicU64>,
}

impl LoadContext {
    fn request_id(&self) -> RequestId {
        self.next_request.fetch_add(1, Ordering::Relaxed)
    }

    fn is_ending(&self) -> bool {
        self.ending.load(Ordering::Relaxed)
    }
}

/// One service's callers.
#[derive(Clone)]
pub struct ServiceLoad {
    /// Shared parts.
    pub context: LoadContext,
    /// The service's scenario.
    pub service: ServiceScenario,
    /// Seed of arrivals.
    pub seed: u64,
}

impl ServiceLoad {
    fn destination(&self) -> SocketAddr {
        SocketAddr::new(self.service.address, self.service.port)
    }

    /// Opens all feeds and keeps them until the load ends.
    pub async fn run_feeds(self) {
        let mut feeds = JoinSet::new();
        for number in 0..self.service.feeds {
            let load = self.clone();
            let start = FEED_RAMP.mul_f64(number as f64 / self.service.feeds as f64);
            feeds.spawn(async move {
                sleep(start).await;
                load.keep_feed().await;
            });
        }
        while feeds.join_next().await.is_some() {}
    }

    async fn keep_feed(&self) {
        while !self.context.is_ending() {
            let mut caller = None;
            if let Err(reason) = self.follow_feed(&mut caller).await {
                self.context.history.broken(FlowKind::Feed, caller, None, reason);
            }
            if !self.context.is_ending() {
                sleep(REOPEN_PAUSE).await;
            }
        }
    }

    /// Follows one feed until the load ends; an error is a broken flow. A feed
    /// that cannot be opened is counted as refused and is no broken flow.
    async fn follow_feed(&self, caller: &mut Option<SocketAddr>) -> Result<(), String> {
        let id = self.context.request_id();
        let Some(mut client) = self.open_client(id).await else {
            return Ok(());
        };
        *caller = Some(client.source);
        let silent = self.feed_interval() * SILENT_INTERVALS;
        let response = timeout(silent, client.sender.send_request(self.request("/feed", id)))
            .await
            .map_err(|_| "no feed began".to_owned())?
            .map_err(|error| error.to_string())?;
        let mut body = response.into_body();
        let mut expected: u64 = 0;
        while !self.context.is_ending() {
            let frame = timeout(silent, body.frame())
                .await
                .map_err(|_| format!("silent after update {expected}"))?
                .ok_or_else(|| format!("ended after update {expected}"))?
                .map_err(|error| format!("after update {expected}: {error}"))?;
            let data = frame.into_data().unwrap_or_default();
            expected = self.check_updates(id, expected, &data)?;
        }
        Ok(())
    }

    /// Checks the lines of one piece; the back end writes whole lines.
    fn check_updates(&self, id: RequestId, first: u64, data: &[u8]) -> Result<u64, String> {
        let mut next = first;
        for line in data.split_inclusive(|&byte| byte == b'\n') {
            if line != feed_line(id, next).as_bytes() {
                self.context.history.lock().crossed += 1;
                let found = String::from_utf8_lossy(line);
                return Err(format!("update {next} reads {found:?}"));
            }
            next += 1;
        }
        self.context.history.lock().feed_updates += next - first;
        Ok(next)
    }

    /// Starts requests at exponential intervals until `until`, and waits for
    /// the last answer.
    pub async fn run_requests(self, until: Instant) {
        let rate = self.request_rate();
        if rate <= 0.0 {
            return;
        }
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let mut requests = JoinSet::new();
        let mut intended = Instant::now();
        // A kept flow brings several requests, so that flows start less often.
        let flow_rate = rate / self.requests_per_flow();
        loop {
            let gap = -(1.0 - random.random::<f64>()).ln() / flow_rate;
            intended += Duration::from_secs_f64(gap);
            if intended >= until {
                break;
            }
            sleep_until(intended).await;
            let load = self.clone();
            let kept = random.random_bool(self.kept_flow_probability());
            requests.spawn(async move { load.run_flow(kept, intended, until).await });
            while requests.try_join_next().is_some() {}
        }
        while requests.join_next().await.is_some() {}
    }

    /// Requests a second that keep the service's slots busy at its load.
    fn request_rate(&self) -> f64 {
        let slots = self.service.targets as f64 * f64::from(self.service.slots);
        self.service.load * slots * 1_000.0 / self.service.service_ms
    }

    /// Share of flows that are kept, such that the share of requests over kept
    /// flows is as the scenario says.
    fn kept_flow_probability(&self) -> f64 {
        let kept = self.service.kept_flow_share / REQUESTS_PER_KEPT_FLOW as f64;
        kept / (kept + 1.0 - self.service.kept_flow_share)
    }

    fn requests_per_flow(&self) -> f64 {
        let kept = self.kept_flow_probability();
        kept * REQUESTS_PER_KEPT_FLOW as f64 + (1.0 - kept)
    }

    async fn run_flow(&self, kept: bool, intended: Instant, until: Instant) {
        let first = self.context.request_id();
        let Some(mut client) = self.open_client(first).await else {
            self.context.history.told_not_run(first);
            return;
        };
        let kind = if kept { FlowKind::Kept } else { FlowKind::Single };
        let count = if kept { REQUESTS_PER_KEPT_FLOW } else { 1 };
        let caller = Some(client.source);
        for number in 0..count {
            let (id, intended) = match number {
                0 => (first, intended),
                _ => (self.context.request_id(), Instant::now()),
            };
            if let Err(reason) = self.request_once(&mut client, id, intended).await {
                self.context.history.lock().unknown += 1;
                self.context.history.broken(kind, caller, Some(id), reason);
                return;
            }
            if Instant::now() >= until {
                return;
            }
        }
    }

    /// Sends one request and checks its answer; an error is a broken flow.
    async fn request_once(
        &self,
        client: &mut HttpClient,
        id: RequestId,
        intended: Instant,
    ) -> Result<(), String> {
        let exchange = async {
            let response = client.sender.send_request(self.request("/run", id)).await?;
            let (head, body) = response.into_parts();
            Ok::<_, hyper::Error>((head, body.collect().await?.to_bytes()))
        };
        let (head, body) = timeout(ANSWER_TIMEOUT, exchange)
            .await
            .map_err(|_| "no whole answer in time".to_owned())?
            .map_err(|error| error.to_string())?;
        let head = Response::from_parts(head, ());
        match head.status() {
            StatusCode::OK => {
                let own = header_number(&head, REQUEST_HEADER) == Some(id);
                if !own || body != answer_bytes(id, self.service.answer_bytes) {
                    self.context.history.lock().crossed += 1;
                } else {
                    self.context.history.answered(intended.elapsed());
                }
            }
            StatusCode::SERVICE_UNAVAILABLE => self.context.history.told_not_run(id),
            // The back end has counted a misdirected request itself.
            _ => {}
        }
        Ok(())
    }

    async fn open_client(&self, id: RequestId) -> Option<HttpClient> {
        let context = &self.context;
        let timestamps = self.with_timestamps(id);
        let opened = open(&context.fabric, &context.pool, self.destination(), timestamps).await;
        let connection = match opened {
            Ok(connection) => connection,
            Err(error) => {
                self.context.history.refused(format!("{error:?}"));
                return None;
            }
        };
        self.context.history.lock().flows_opened += 1;
        HttpClient::start(connection).await.ok()
    }

    /// Whether a caller's TCP has timestamps: a fixed share has not.
    fn with_timestamps(&self, id: RequestId) -> bool {
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
