//! The load: clients with long-lived flows and clients that open a flow for each request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use weirhinge_platform_standins::{Client, ClientFlow, Fleet, FlowError};

use crate::request_log::{Kind, Outcome, RequestLog, RequestRecord};

/// Port of the route to the first service.
pub(crate) const FIRST_PORT: u16 = 443;
/// Port of the route to the second service.
pub(crate) const SECOND_PORT: u16 = 8_443;
/// Time after which a request without a response counts as timed out.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause of a client between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(120);
/// Clients of each kind that run during the whole soak.
const FEED_CLIENTS: usize = 24;
const UNSAFE_CLIENTS: usize = 4;
const SHEET_CLIENTS: usize = 2;
/// Clients of a crowd on each machine but the first, by kind of request. The first machine
/// has as many as all others together.
const CROWD_CLIENTS: [(Kind, usize); 2] = [(Kind::Unsafe, 12), (Kind::Sheet, 6)];

/// A group of running client tasks that are stopped together.
#[derive(Default)]
pub(crate) struct ClientTasks {
    tasks: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

#[derive(Clone)]
struct ClientTask {
    client: Client,
    request_log: RequestLog,
    kind: Kind,
    stop: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

impl ClientTasks {
    /// Starts the clients that run during the whole soak.
    pub(crate) fn start(&mut self, client: &Client, request_log: &RequestLog) {
        let kinds = [
            (Kind::Feed, FEED_CLIENTS),
            (Kind::Unsafe, UNSAFE_CLIENTS),
            (Kind::Sheet, SHEET_CLIENTS),
        ];
        for (kind, count) in kinds {
            self.add(client, request_log, kind, count);
        }
    }

    /// Starts a crowd of additional clients on `machines`. It runs until it is stopped.
    pub(crate) fn start_crowd(&self, machines: &[Client], request_log: &RequestLog) -> Self {
        let mut crowd = Self { next_id: Arc::clone(&self.next_id), ..Self::default() };
        let others = machines.len().saturating_sub(1);
        for (index, machine) in machines.iter().enumerate() {
            let multiplier = if index == 0 { others } else { 1 };
            for (kind, count) in CROWD_CLIENTS {
                crowd.add(machine, request_log, kind, count * multiplier);
            }
        }
        crowd
    }

    fn add(&mut self, client: &Client, request_log: &RequestLog, kind: Kind, count: usize) {
        for _ in 0..count {
            let task = ClientTask {
                client: client.clone(),
                request_log: request_log.clone(),
                kind,
                stop: Arc::clone(&self.stop),
                next_id: Arc::clone(&self.next_id),
            };
            self.tasks.push(tokio::spawn(task.run()));
        }
    }

    /// Stops all clients after their current requests.
    pub(crate) async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // The message of a panicked task is already on standard error.
            let _ = task.await;
        }
    }
}

impl ClientTask {
    async fn run(self) {
        while !self.stop.load(Ordering::Relaxed) {
            self.run_flow().await;
            tokio::time::sleep(REQUEST_PAUSE).await;
        }
    }

    /// Opens a flow. [`Kind::Feed`] clients send requests on it until one fails or the client
    /// is stopped, all others send a single request.
    async fn run_flow(&self) {
        let port = if self.kind == Kind::Sheet { SECOND_PORT } else { FIRST_PORT };
        let mut started_at = Instant::now();
        let opened = self.client.open(Fleet::route(port)).await;
        let opened_at = Instant::now();
        let Ok(mut flow) = opened else {
            let id = self.next_request_id();
            return self.log_request(id, None, (opened_at, started_at), Outcome::NeverOpened);
        };
        let mut holder = None;
        loop {
            let id = self.next_request_id();
            let outcome = outcome(&mut flow, &id).await;
            self.log_request(id, holder.clone(), (opened_at, started_at), outcome.clone());
            let Outcome::Answered(server) = outcome else { return };
            holder = Some(server);
            if self.kind != Kind::Feed || self.stop.load(Ordering::Relaxed) {
                return flow.close().await;
            }
            tokio::time::sleep(REQUEST_PAUSE).await;
            started_at = Instant::now();
        }
    }

    fn next_request_id(&self) -> String {
        format!("{:?}-{}", self.kind, self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    fn log_request(
        &self,
        id: String,
        holder: Option<String>,
        (opened_at, started_at): (Instant, Instant),
        outcome: Outcome,
    ) {
        let finished_at = Instant::now();
        let kind = self.kind;
        self.request_log.add(RequestRecord {
            id,
            kind,
            holder,
            opened_at,
            started_at,
            finished_at,
            outcome,
        });
    }
}

async fn outcome(flow: &mut ClientFlow, id: &str) -> Outcome {
    match flow.request(id, RESPONSE_TIMEOUT).await {
        Ok(server) => Outcome::Answered(server),
        Err(FlowError::Reset) => Outcome::Reset,
        Err(FlowError::TimedOut) => Outcome::TimedOut,
    }
}
