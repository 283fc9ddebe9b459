//! Runs a daemon on a single-threaded runtime and forwards process signals to its tasks.

use eyre::WrapErr;
use slog::Logger;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use weirhinge_observe::Counter;

/// A daemon's logger and the count of its lost lines.
#[derive(Clone, Debug)]
pub struct ProcessLog {
    /// The logger.
    pub log: Logger,
    /// Lines lost because the output was not read fast enough.
    pub lost: Counter,
}

/// The signals that the process received, as values that every task can wait for.
#[derive(Clone, Debug)]
pub struct Signals {
    /// Becomes true on SIGTERM or SIGINT.
    pub stop: watch::Receiver<bool>,
    /// Number of SIGHUPs received.
    pub reload: watch::Receiver<u64>,
}

impl Signals {
    /// Completes once the process received a signal to stop.
    pub async fn stopped(&mut self) {
        // Cannot fail: the sender is dropped only when the runtime ends.
        let _ = self.stop.wait_for(|stop| *stop).await;
    }
}

/// Runs a daemon on the current thread until it completes.
///
/// # Errors
/// When the runtime cannot start, a signal handler cannot be installed or the daemon fails.
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
    let mut terminate = signal(SignalKind::terminate()).wrap_err("install the SIGTERM handler")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("install the SIGINT handler")?;
    let mut hangup = signal(SignalKind::hangup()).wrap_err("install the SIGHUP handler")?;
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
