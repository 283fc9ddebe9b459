//! Counts the flows that wait for an answer of the back end.
//!
//! A layer-4 process sees no requests. A flow counts as in flight from its
//! admission, or from the caller's latest bytes, until the back end's next
//! bytes: for request-and-answer protocols that is the time a slot is held or
//! waited for, and a standing feed counts only until its first bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// The count, shared by all flows of an agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    count: Arc<AtomicU32>,
}

impl InFlight {
    pub(crate) fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }

    /// Starts a flow in flight.
    pub(crate) fn begin(&self) -> FlowInFlight {
        self.count.fetch_add(1, Ordering::Relaxed);
        FlowInFlight { in_flight: self.clone(), waiting: AtomicBool::new(true) }
    }
}

/// One flow's share of the count; gives it back when dropped.
#[derive(Debug)]
pub(crate) struct FlowInFlight {
    in_flight: InFlight,
    waiting: AtomicBool,
}

impl FlowInFlight {
    /// The caller sent something, or is expected to.
    pub(crate) fn caller_sent(&self) {
        if !self.waiting.swap(true, Ordering::Relaxed) {
            self.in_flight.count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The back end answered, or nothing is expected of it any more.
    pub(crate) fn back_end_sent(&self) {
        if self.waiting.swap(false, Ordering::Relaxed) {
            self.in_flight.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for FlowInFlight {
    fn drop(&mut self) {
        self.back_end_sent();
    }
}
