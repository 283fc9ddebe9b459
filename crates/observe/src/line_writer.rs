//! Writes log lines in batches on a dedicated thread.
//!
//! Logging only appends a line to a bounded buffer. If each line woke the writer thread, it
//! would cost three system calls and two context switches, more than the decision that it
//! reports. The thread therefore waits for a short time after the first line and then writes
//! all collected lines with one call.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;

use crate::metrics::Counter;

/// How long lines are collected before they are written. Too short to be noticed by readers of
/// logs; a process that is killed loses the lines of this time.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Maximum number of buffered bytes, about 1,000 lines. Further lines are dropped and counted,
/// so that a slow output never blocks the data path.
const CAPACITY_BYTES: usize = 256 * 1_024;
/// Maximum time to write the remaining lines when the process exits.
const FINISH_TIMEOUT: Duration = Duration::from_millis(300);

/// Lines that are not written yet.
#[derive(Debug, Default)]
struct PendingLines {
    bytes: Vec<u8>,
    lines: u64,
    is_closing: bool,
}

/// State shared by the writer thread and all handles.
#[derive(Debug, Default)]
struct Shared {
    pending: Mutex<PendingLines>,
    changed: Condvar,
}

impl Shared {
    /// Locks the buffer. No code panics while it holds the lock, so a poisoned lock still guards
    /// consistent data.
    fn lock(&self) -> MutexGuard<'_, PendingLines> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a line. Returns whether the buffer had space for it.
    fn add(&self, line: &[u8]) -> bool {
        let mut pending = self.lock();
        if pending.bytes.len() + line.len() > CAPACITY_BYTES {
            return false;
        }
        pending.bytes.extend_from_slice(line);
        pending.lines += 1;
        if pending.lines == 1 {
            self.changed.notify_one();
        }
        true
    }

    /// Waits for a line, collects more for [`COLLECT_TIME`], and swaps the buffer for `empty`.
    /// Returns the lines' bytes and number, or `None` if the process exits and no line is left.
    fn next_batch(&self, empty: Vec<u8>) -> Option<(Vec<u8>, u64)> {
        let is_idle = |pending: &mut PendingLines| pending.lines == 0 && !pending.is_closing;
        let pending = self.changed.wait_while(self.lock(), is_idle);
        let pending = pending.unwrap_or_else(PoisonError::into_inner);
        let is_collecting = |pending: &mut PendingLines| !pending.is_closing;
        let collected = self.changed.wait_timeout_while(pending, COLLECT_TIME, is_collecting);
        let (mut pending, _) = collected.unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut pending.lines);
        (lines > 0).then(|| (std::mem::replace(&mut pending.bytes, empty), lines))
    }
}

/// Handle of the writer thread.
#[derive(Debug)]
pub struct LineWriter {
    shared: Arc<Shared>,
    lost: Counter,
    finished: mpsc::Receiver<()>,
}

impl LineWriter {
    /// Starts the writer thread. `lost` counts lines that could not be buffered or written.
    pub fn start(output: impl Write + Send + 'static, lost: Counter) -> Self {
        let shared = Arc::new(Shared::default());
        let (finishing, finished) = mpsc::channel();
        let (thread_shared, thread_lost) = (Arc::clone(&shared), lost.clone());
        std::thread::spawn(move || {
            write_batches(&thread_shared, output, &thread_lost);
            // `finish` may have timed out or not been called.
            let _ = finishing.send(());
        });
        Self { shared, lost, finished }
    }

    /// Returns a new handle to write lines to.
    pub fn handle(&self) -> LineHandle {
        LineHandle { shared: Arc::clone(&self.shared), lost: self.lost.clone(), line: Vec::new() }
    }

    /// Writes the remaining lines, for at most `FINISH_TIMEOUT`.
    pub fn finish(self) {
        self.shared.lock().is_closing = true;
        self.shared.changed.notify_one();
        // The process exits also if the lines could not be written in time.
        let _ = self.finished.recv_timeout(FINISH_TIMEOUT);
    }
}

fn write_batches(shared: &Shared, mut output: impl Write, lost: &Counter) {
    let mut empty = Vec::new();
    while let Some((mut batch, lines)) = shared.next_batch(empty) {
        // The failure cannot be logged, because this is the log output; it is only counted.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            lost.inc_by(lines);
        }
        batch.clear();
        empty = batch;
    }
}

/// Collects written bytes; each flush appends them to the buffer as one line.
#[derive(Debug)]
pub struct LineHandle {
    shared: Arc<Shared>,
    lost: Counter,
    line: Vec<u8>,
}

impl Write for LineHandle {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(part);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        if !self.line.is_empty() && !self.shared.add(&self.line) {
            self.lost.inc();
        }
        self.line.clear();
        Ok(())
    }
}
