//! What callers saw of each request.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Which of the two services a request is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request on a flow that stays open.
    Feed,
    /// A request that may run once at most, on a flow of its own.
    Unsafe,
    /// A request to the other service, on a flow of its own.
    Sheet,
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// This target answered.
    Answered(String),
    /// The flow never opened, so that the request was never sent.
    NeverOpened,
    /// The open flow was reset.
    Reset,
    /// No answer came in time.
    TimedOut,
}

/// One request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The request's identifier.
    pub id: String,
    /// What it was.
    pub kind: Kind,
    /// The target that holds the flow, where an earlier request on it told.
    pub holder: Option<String>,
    /// When its flow was opened.
    pub opened_at: Instant,
    /// When it began, opening its flow included.
    pub began_at: Instant,
    /// When it ended.
    pub ended_at: Instant,
    /// How it ended.
    pub outcome: Outcome,
}

/// The record that all callers write to.
#[derive(Clone, Debug, Default)]
pub struct Record {
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Record {
    /// Adds a request that ended.
    pub fn add(&self, entry: Entry) {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).push(entry);
    }

    /// All requests that ended so far.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
