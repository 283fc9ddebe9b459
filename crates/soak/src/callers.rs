//! The load: callers with standing flows and callers that open one for each request.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use tokio::task::JoinHandle;
use weirhinge_platform_standins::{Client, ClientFlow, Fleet, FlowError};

use crate::record::{Entry, Kind, Outcome, Record};

/// Port of the route to the first service.
pub(crate) const FIRST_PORT: u16 = 443;
/// Port of the route to the second service.
pub(crate) const SECOND_PORT: u16 = 8_443;
/// Longest wait for an answer.
const DEADLINE: Duration = Duration::from_secs(4);
/// Pause between two requests of a caller.
const PAUSE: Duration = Duration::from_millis(120);
const FEEDS: usize = 24;
const UNSAFE_CALLERS: usize = 4;
const SHEET_CALLERS: usize = 2;
/// Callers of a crowd on each machine but the first, by service. The first machine has as
/// many as all others.
const CROWD_CALLERS: [(Kind, usize); 2] = [(Kind::Unsafe, 12), (Kind::Sheet, 6)];

/// Callers at work.
#[derive(Default)]
pub(crate) struct Callers {
    tasks: Vec<JoinHandle<()>>,
    stop: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

#[derive(Clone)]
struct Caller {
    client: Client,
    record: Record,
    kind: Kind,
    stop: Arc<AtomicBool>,
    next_id: Arc<AtomicU64>,
}

impl Callers {
    /// Starts the callers that are there throughout.
    pub(crate) fn start(&mut self, client: &Client, record: &Record) {
        let kinds =
            [(Kind::Feed, FEEDS), (Kind::Unsafe, UNSAFE_CALLERS), (Kind::Sheet, SHEET_CALLERS)];
        for (kind, count) in kinds {
            self.add(client, record, kind, count);
        }
    }

    /// Starts a crowd on these machines beside the callers, until it is stopped.
    pub(crate) fn start_crowd(&self, machines: &[Client], record: &Record) -> Self {
        let mut crowd = Self { next_id: Arc::clone(&self.next_id), ..Self::default() };
        let others = machines.len().saturating_sub(1);
        for (place, machine) in machines.iter().enumerate() {
            let times = if place == 0 { others } else { 1 };
            for (kind, count) in CROWD_CALLERS {
                crowd.add(machine, record, kind, count * times);
            }
        }
        crowd
    }

    fn add(&mut self, client: &Client, record: &Record, kind: Kind, count: usize) {
        for _ in 0..count {
            let caller = Caller {
                client: client.clone(),
                record: record.clone(),
                kind,
                stop: Arc::clone(&self.stop),
                next_id: Arc::clone(&self.next_id),
            };
            self.tasks.push(tokio::spawn(caller.call()));
        }
    }

    /// Lets the callers end their requests.
    pub(crate) async fn stop(self) {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            // A caller that panicked has left its mark on standard error.
            let _ = task.await;
        }
    }
}

impl Caller {
    async fn call(self) {
        while !self.stop.load(Ordering::Relaxed) {
            self.use_one_flow().await;
            tokio::time::sleep(PAUSE).await;
        }
    }

    /// Opens a flow and sends requests on it until one fails; callers of the other
    /// kinds send one.
    async fn use_one_flow(&self) {
        let port = if self.kind == Kind::Sheet { SECOND_PORT } else { FIRST_PORT };
        let mut began_at = Instant::now();
        let opened = self.client.open(Fleet::route(port)).await;
        let opened_at = Instant::now();
        let Ok(mut flow) = opened else {
            let id = self.new_id();
            return self.note(id, None, (opened_at, began_at), Outcome::NeverOpened);
        };
        let mut holder = None;
        loop {
            let id = self.new_id();
            let outcome = outcome(&mut flow, &id).await;
            self.note(id, holder.clone(), (opened_at, began_at), outcome.clone());
            let Outcome::Answered(server) = outcome else { return };
            holder = Some(server);
            if self.kind != Kind::Feed || self.stop.load(Ordering::Relaxed) {
                return flow.close().await;
            }
            tokio::time::sleep(PAUSE).await;
            began_at = Instant::now();
        }
    }

    fn new_id(&self) -> String {
        format!("{:?}-{}", self.kind, self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    fn note(
        &self,
        id: String,
        holder: Option<String>,
        (opened_at, began_at): (Instant, Instant),
        outcome: Outcome,
    ) {
        let ended_at = Instant::now();
        let kind = self.kind;
        self.record.add(Entry { id, kind, holder, opened_at, began_at, ended_at, outcome });
    }
}

async fn outcome(flow: &mut ClientFlow, id: &str) -> Outcome {
    match flow.request(id, DEADLINE).await {
        Ok(server) => Outcome::Answered(server),
        Err(FlowError::Reset) => Outcome::Reset,
        Err(FlowError::TimedOut) => Outcome::TimedOut,
    }
}
