//! What callers and back ends saw, recorded on both sides of the product.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

/// Identifies one request over the whole rehearsal.
pub type RequestId = u64;

/// Largest latency that is told apart, in microseconds.
const LARGEST_LATENCY: u64 = 120_000_000;

/// Which side broke a flow, as the caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenFlow {
    /// Time since the start of the load.
    pub at: Duration,
    /// What the flow carried.
    pub kind: FlowKind,
    /// The caller's address, none if it had not opened a connection.
    pub caller: Option<SocketAddr>,
    /// The request under way, if there was one.
    pub request: Option<RequestId>,
    /// What the caller saw.
    pub reason: String,
}

/// What a flow carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FlowKind {
    /// A standing feed.
    Feed,
    /// One request.
    Single,
    /// Several requests, one after another.
    Kept,
}

/// One use of a target by the operator: it should take no new flow in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The draining target.
    pub target: usize,
    /// When the configuration said so.
    pub from: Instant,
    /// When the configuration took it back, if it did.
    pub until: Option<Instant>,
}

/// Everything recorded.
#[derive(Debug)]
pub struct Record {
    /// Start of the load.
    pub started: Instant,
    /// Flows that callers opened.
    pub flows_opened: u64,
    /// Flows that callers failed to open: when, and what the caller saw.
    pub refused: Vec<(Duration, String)>,
    /// Flows that broke while in use.
    pub broken: Vec<BrokenFlow>,
    /// Feed updates received.
    pub feed_updates: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests whose fate the caller does not know.
    pub unknown: u64,
    /// Latency of answered requests from their intended start, in microseconds.
    pub latencies: Histogram<u64>,
    /// How often each request ran at a back end.
    pub runs: HashMap<RequestId, u32>,
    /// Requests that a caller was told did not run.
    pub told_not_run: HashSet<RequestId>,
    /// Requests that arrived at a back end of another service.
    pub misrouted: u64,
    /// Answers that belonged to another request or were damaged.
    pub crossed: u64,
    /// Connections that each target accepted.
    pub accepted: Vec<(Instant, usize)>,
    /// Targets that accepted a connection for each caller.
    pub holders: HashMap<SocketAddr, Vec<usize>>,
    /// Drains in the order in which they began.
    pub drains: Vec<Drain>,
    /// Agents killed: target and time.
    pub killed_agents: Vec<(usize, Instant)>,
    /// Faults as they were carried out, for the report.
    pub faults: Vec<(Duration, String)>,
}

/// A record that many tasks write to. Cheap to clone.
#[derive(Clone, Debug)]
pub struct History {
    record: Arc<Mutex<Record>>,
}

impl History {
    /// An empty record that starts now.
    ///
    /// # Errors
    /// When the latency histogram cannot be made.
    pub fn new() -> eyre::Result<Self> {
        let record = Record {
            started: Instant::now(),
            flows_opened: 0,
            refused: Vec::new(),
            broken: Vec::new(),
            feed_updates: 0,
            answered: 0,
            unknown: 0,
            latencies: Histogram::new_with_bounds(1, LARGEST_LATENCY, 3)?,
            runs: HashMap::new(),
            told_not_run: HashSet::new(),
            misrouted: 0,
            crossed: 0,
            accepted: Vec::new(),
            holders: HashMap::new(),
            drains: Vec::new(),
            killed_agents: Vec::new(),
            faults: Vec::new(),
        };
        Ok(Self { record: Arc::new(Mutex::new(record)) })
    }

    /// Access to the whole record.
    pub fn lock(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A caller's request was answered whole, this long after its intended start.
    pub fn answered(&self, latency: Duration) {
        let mut record = self.lock();
        record.answered += 1;
        let microseconds = u64::try_from(latency.as_micros()).unwrap_or(LARGEST_LATENCY);
        record.latencies.saturating_record(microseconds.max(1));
    }

    /// A flow could not be opened.
    pub fn refused(&self, reason: String) {
        let mut record = self.lock();
        let at = record.started.elapsed();
        record.refused.push((at, reason));
    }

    /// A flow broke while in use.
    pub fn broken(
        &self,
        kind: FlowKind,
        caller: Option<SocketAddr>,
        request: Option<RequestId>,
        reason: impl ToString,
    ) {
        let mut record = self.lock();
        let at = record.started.elapsed();
        record.broken.push(BrokenFlow { at, kind, caller, request, reason: reason.to_string() });
    }

    /// A back end began to run a request.
    pub fn ran(&self, request: RequestId) {
        *self.lock().runs.entry(request).or_insert(0) += 1;
    }

    /// A caller was told that its request did not run.
    pub fn told_not_run(&self, request: RequestId) {
        self.lock().told_not_run.insert(request);
    }

    /// A back end accepted a connection for a caller.
    pub fn accepted(&self, target: usize, caller: SocketAddr) {
        let mut record = self.lock();
        record.accepted.push((Instant::now(), target));
        record.holders.entry(caller).or_default().push(target);
    }

    /// The configuration began to say that a target drains.
    pub fn drain_began(&self, target: usize) {
        let drain = Drain { target, from: Instant::now(), until: None };
        self.lock().drains.push(drain);
    }

    /// The configuration made a target active again.
    pub fn drain_ended(&self, target: usize) {
        let mut record = self.lock();
        let open = |drain: &&mut Drain| drain.target == target && drain.until.is_none();
        if let Some(drain) = record.drains.iter_mut().find(open) {
            drain.until = Some(Instant::now());
        }
    }

    /// A fault was carried out.
    pub fn fault(&self, description: String) {
        let mut record = self.lock();
        let at = record.started.elapsed();
        record.faults.push((at, description));
    }
}
