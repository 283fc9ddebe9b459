//! The steady clock that all decisions use; the time of day may jump.

use std::time::Instant;

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
}
