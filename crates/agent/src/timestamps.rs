//! The source of TCP timestamp values, which carry the holder hint.
//!
//! `smoltcp` takes a plain function without state, so the process's target and
//! start are kept in a static that is set once.

use std::sync::OnceLock;
use std::time::Instant;

use weirhinge_routing::HolderHint;

struct Source {
    hint: HolderHint,
    started: Instant,
    /// Random start of the seconds, so that a restarted agent's values do not
    /// tell how long it has been up.
    offset: u64,
}

static SOURCE: OnceLock<Source> = OnceLock::new();

/// Sets the process's hint; later calls change nothing.
pub(crate) fn initialise(hint: HolderHint, offset: u32) {
    let started = Instant::now();
    SOURCE.get_or_init(|| Source { hint, started, offset: u64::from(offset) });
}

/// The timestamp value for this moment; 0 before [`initialise`].
pub(crate) fn now() -> u32 {
    SOURCE.get().map_or(0, |source| {
        let seconds = source.started.elapsed().as_secs().wrapping_add(source.offset);
        source.hint.timestamp(seconds)
    })
}
