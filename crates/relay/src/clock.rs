//! The steady clock that all decisions use; the time of day may jump.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use weirhinge_fleet::Millis;

/// Counts milliseconds since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> Millis {
        Millis::try_from(self.started.elapsed().as_millis()).unwrap_or(Millis::MAX)
    }

    /// The time of day in milliseconds since 1970; only for what need not agree between
    /// machines.
    pub fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    }
}
