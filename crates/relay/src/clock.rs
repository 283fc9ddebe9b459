//! The monotonic clock that all decisions use, as the time of day may jump.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use weirhinge_fleet::Millis;

/// Counts milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Returns the milliseconds since the clock started.
    pub fn now(&self) -> Millis {
        Millis::try_from(self.started.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// Returns the time of day in milliseconds since 1970. To be used only where machines need
    /// not agree on the time.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
