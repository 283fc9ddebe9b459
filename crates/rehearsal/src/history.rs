//! The record of a rehearsal: what clients and back ends observed on either side
//! of the fleet.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Identifies one request within a rehearsal.
pub type RequestId = u64;

/// Highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_MICROS: u64 = 120_000_000;

/// A flow that broke while in use, as the client observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenFlow {
    /// Time since the start of the load.
    pub at: Duration,
    /// What the flow carried.
    pub kind: FlowKind,
    /// The client's address; `None` if it had not opened a connection.
    pub client: Option<SocketAddr>,
    /// The request in progress, if any.
    pub request: Option<RequestId>,
    /// The error that the client observed.
    pub reason: String,
}

/// What a flow carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowKind {
    /// A long-lived stream of updates.
    Feed,
    /// One request.
    Single,
    /// Several sequential requests.
    Kept,
}

/// A period in which a target was draining and should accept no new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The draining target.
    pub target: usize,
    /// When the drain was configured.
    pub from: Instant,
    /// When the target was made active again, if it was.
    pub until: Option<Instant>,
}

/// Everything that is recorded during a rehearsal.
#[derive(Debug)]
pub struct Record {
    /// Start of the load.
    pub started: Instant,
    /// Number of flows that clients opened.
    pub flows_opened: u64,
    /// Flows that clients failed to open: the time since the start of the load
    /// and the error.
    pub refused: Vec<(Duration, String)>,
    /// Flows that broke while in use.
    pub broken: Vec<BrokenFlow>,
    /// Number of feed updates received.
    pub feed_updates: u64,
    /// Number of requests with a complete answer.
    pub answered: u64,
    /// Number of requests whose outcome the client does not know.
    pub unknown_outcomes: u64,
    /// Latency of answered requests, measured from their scheduled start, in
    /// microseconds.
    pub latencies: Histogram<u64>,
    /// Number of times that back ends ran each request.
    pub runs: HashMap<RequestId, u32>,
    /// Requests that were reported to their client as not run.
    pub reported_not_run: HashSet<RequestId>,
    /// Number of requests that arrived at a back end of another service.
    pub misrouted: u64,
    /// Number of answers that belonged to another request or were corrupted.
    pub wrong_answers: u64,
    /// Accepted connections: time and target.
    pub accepted: Vec<(Instant, usize)>,
    /// Targets that accepted a connection of each client.
    pub holders: HashMap<SocketAddr, Vec<usize>>,
    /// Drains in the order of their start.
    pub drains: Vec<Drain>,
    /// Killed agents: target and time.
    pub killed_agents: Vec<(usize, Instant)>,
    /// Injected faults, for the report: time since the start of the load and
    /// description.
    pub faults: Vec<(Duration, String)>,
}

/// A shared record that many tasks write to. Cheap to clone.
#[derive(Clone, Debug)]
pub struct History {
    record: Arc<Mutex<Record>>,
}

impl History {
    /// Creates an empty record that starts now.
    ///
    /// # Errors
    /// Fails if the latency histogram cannot be created.
    pub fn new() -> eyre::Result<Self> {
        let record = Record {
            started: Instant::now(),
            flows_opened: 0,
            refused: Vec::new(),
            broken: Vec::new(),
            feed_updates: 0,
            answered: 0,
            unknown_outcomes: 0,
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)?,
            runs: HashMap::new(),
            reported_not_run: HashSet::new(),
            misrouted: 0,
            wrong_answers: 0,
            accepted: Vec::new(),
            holders: HashMap::new(),
            drains: Vec::new(),
            killed_agents: Vec::new(),
            faults: Vec::new(),
        };
        Ok(Self { record: Arc::new(Mutex::new(record)) })
    }

    /// Locks the record for reading and writing.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a complete answer, `latency` after the request's scheduled start.
    pub fn record_answer(&self, latency: Duration) {
        let mut record = self.lock();
        record.answered += 1;
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_MICROS);
        record.latencies.saturating_record(microseconds.max(1));
    }

    /// Records a flow that could not be opened.
    pub fn record_refusal(&self, reason: String) {
        let mut record = self.lock();
        let at = record.started.elapsed();
        record.refused.push((at, reason));
    }

    /// Records a flow that broke while in use.
    pub fn record_broken_flow(
        &self,
        kind: FlowKind,
        client: Option<SocketAddr>,
        request: Option<RequestId>,
        reason: impl ToString,
    ) {
        let mut record = self.lock();
        let at = record.started.elapsed();
        record.broken.push(BrokenFlow { at, kind, client, request, reason: reason.to_string() });
    }

    /// Records that a back end began to run a request.
    pub fn record_run(&self, request: RequestId) {
        *self.lock().runs.entry(request).or_insert(0) += 1;
    }

    /// Records that a request was reported to its client as not run.
    pub fn record_not_run(&self, request: RequestId) {
        self.lock().reported_not_run.insert(request);
    }

    /// Records a connection that a back end accepted for a client.
    pub fn record_accepted(&self, target: usize, client: SocketAddr) {
        let mut record = self.lock();
        record.accepted.push((Instant::now(), target));
        record.holders.entry(client).or_default().push(target);
    }

    /// Records the start of a target's drain.
    pub fn record_drain_start(&self, target: usize) {
        let drain = Drain { target, from: Instant::now(), until: None };
        self.lock().drains.push(drain);
    }

    /// Records that a target was made active again.
    pub fn record_drain_end(&self, target: usize) {
        let mut record = self.lock();
        let is_open = |drain: &&mut Drain| drain.target == target && drain.until.is_none();
        if let Some(drain) = record.drains.iter_mut().find(is_open) {
            drain.until = Some(Instant::now());
        }
    }

    /// Records an injected fault or its end.
    pub fn record_fault(&self, description: String) {
        let mut record = self.lock();
        let at = record.started.elapsed();
        record.faults.push((at, description));
    }
}
