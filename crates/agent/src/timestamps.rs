//! The source of TCP timestamp values, which carry the holder hint.
//!
//! `smoltcp` accepts only a function pointer without state, so the process's hint and start time
//! are kept in a static that is set once.

use std::sync::OnceLock;
use std::time::Instant;

use weirhinge_routing::HolderHint;

struct Source {
    hint: HolderHint,
    started: Instant,
    /// Random offset of the seconds, so that the values do not reveal the agent's uptime.
    offset: u64,
}

static SOURCE: OnceLock<Source> = OnceLock::new();

/// Sets the process's hint and the offset of its clock; later calls have no effect.
pub(crate) fn initialise(hint: HolderHint, offset: u32) {
    let started = Instant::now();
    SOURCE.get_or_init(|| Source { hint, started, offset: u64::from(offset) });
}

/// Returns the current timestamp value; 0 before [`initialise`].
pub(crate) fn now() -> u32 {
    SOURCE.get().map_or(0, |source| {
        let seconds = source.started.elapsed().as_secs().wrapping_add(source.offset);
        source.hint.timestamp(seconds)
    })
}
