//! Counts the flows that wait for an answer of the back end.
//!
//! A layer-4 process sees no requests. A flow counts as in flight from its admission, or from the
//! client's latest bytes, until the back end's next bytes. For request-response protocols this is
//! the time during which a slot is occupied or waited for; a long-lived feed counts only until its
//! first bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

/// The number of flows in flight, shared by all flows of an agent.
#[derive(Clone, Debug, Default)]
pub(crate) struct InFlight {
    count: Arc<AtomicU32>,
}

impl InFlight {
    pub(crate) fn count(&self) -> u32 {
        self.count.load(Ordering::Relaxed)
    }

    /// Counts a new flow as in flight.
    pub(crate) fn begin(&self) -> InFlightGuard {
        self.count.fetch_add(1, Ordering::Relaxed);
        InFlightGuard { in_flight: self.clone(), waiting: AtomicBool::new(true) }
    }
}

/// One flow's contribution to the count; removed when dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    in_flight: InFlight,
    waiting: AtomicBool,
}

impl InFlightGuard {
    /// Notes that the client has sent data or is expected to: the flow is in flight.
    pub(crate) fn note_client_data(&self) {
        if !self.waiting.swap(true, Ordering::Relaxed) {
            self.in_flight.count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Notes that the back end has answered or that no answer is expected any more: the flow is not
    /// in flight.
    pub(crate) fn note_answered(&self) {
        if self.waiting.swap(false, Ordering::Relaxed) {
            self.in_flight.count.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.note_answered();
    }
}
