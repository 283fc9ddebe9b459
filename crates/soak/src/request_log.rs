//! Log of the requests that clients sent, with the outcome of each.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Kind of a request: its service and how it uses flows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request to the first service, on a long-lived flow.
    Feed,
    /// A request to the first service that must run at most once, on a flow of its own.
    Unsafe,
    /// A request to the second service, on a flow of its own.
    Sheet,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target with this name answered.
    Answered(String),
    /// The flow could not be opened, so the request was never sent.
    NeverOpened,
    /// The flow was reset after it had opened.
    Reset,
    /// No response arrived before the timeout.
    TimedOut,
}

/// A finished request as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestRecord {
    /// Identifier of the request, unique within the soak.
    pub id: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Name of the target that holds the flow, if an earlier request on the flow was answered.
    pub holder: Option<String>,
    /// When its flow was opened, or when opening it failed.
    pub opened_at: Instant,
    /// When it started, including the time to open its flow if it is the first on the flow.
    pub started_at: Instant,
    /// When it finished.
    pub finished_at: Instant,
    /// Outcome of the request.
    pub outcome: Outcome,
}

/// Log that all clients append to; clones share the same entries.
#[derive(Clone, Debug, Default)]
pub struct RequestLog {
    entries: Arc<Mutex<Vec<RequestRecord>>>,
}

impl RequestLog {
    /// Appends a finished request.
    pub fn add(&self, entry: RequestRecord) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// Returns all requests finished so far.
    pub fn entries(&self) -> Vec<RequestRecord> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
