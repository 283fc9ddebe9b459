//! Starts a daemon's runtime and turns signals into notices.

use eyre::WrapErr;
use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use weirhinge_observe::Counter;

/// Where a daemon logs to.
#[derive(Clone, Debug)]
pub struct ProcessLog {
    /// The logger.
    pub log: Logger,
    /// Lines that found no room.
    pub lost: Counter,
}

/// Signals of one process, as values that every task can wait for.
#[derive(Clone, Debug)]
pub struct Signals {
    /// Becomes true at SIGTERM or SIGINT.
    pub stop: watch::Receiver<bool>,
    /// Counts SIGHUPs.
    pub reload: watch::Receiver<u64>,
}

impl Signals {
    /// Completes when the process is told to stop.
    pub async fn stopped(&mut self) {
        // The sender lives as long as the process.
        let _ = self.stop.wait_for(|stop| *stop).await;
    }
}

/// Runs a daemon on one thread until it ends.
///
/// # Errors
/// When the runtime cannot start or the daemon fails.
pub fn run_process<F, Fut>(daemon: F) -> eyre::Result<()>
where
    F: FnOnce(Signals) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .wrap_err("start the runtime")?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, async {
        let signals = watch_signals()?;
        daemon(signals).await
    });
    runtime.shutdown_background();
    result
}

fn watch_signals() -> eyre::Result<Signals> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("listen for SIGINT")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("listen for SIGHUP")?;
    let (stop_sender, stop) = watch::channel(false);
    let (reload_sender, reload) = watch::channel(0);
    tokio::task::spawn_local(async move {
        loop {
            tokio::select! {
                _ = terminate.recv() => stop_sender.send_replace(true),
                _ = interrupt.recv() => stop_sender.send_replace(true),
                _ = hangup.recv() => {
                    reload_sender.send_modify(|count| *count += 1);
                    false
                }
            };
        }
    });
    Ok(Signals { stop, reload })
}
