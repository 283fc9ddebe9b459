//! Writes lines in batches, in a thread of its own.
//!
//! Whoever logs only appends to a bounded buffer. A line that woke the thread that
//! writes would cost three system calls and two switches between threads, more than
//! the decision that it tells of; so the thread waits a moment after the first line and
//! then writes all of them with one call.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError, mpsc};
use std::time::Duration;

use crate::metrics::Counter;

/// How long lines are collected. Far below the moments that people tell apart in logs;
/// a process that is killed loses the lines of this time.
const COLLECT_FOR: Duration = Duration::from_millis(50);
/// Most bytes that wait to be written, about 1,000 lines; lines beyond are dropped and
/// counted rather than slow the data path.
const CAPACITY: usize = 256 * 1_024;
/// Longest wait for the last lines when a process ends.
const FINISH_LIMIT: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
struct Waiting {
    bytes: Vec<u8>,
    lines: u64,
    ending: bool,
}

#[derive(Debug, Default)]
struct Shared {
    waiting: Mutex<Waiting>,
    changed: Condvar,
}

impl Shared {
    /// Nothing panics while it holds the lock, so what it guards is whole.
    fn lock(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends a line. Returns whether there was room.
    fn add(&self, line: &[u8]) -> bool {
        let mut waiting = self.lock();
        if waiting.bytes.len() + line.len() > CAPACITY {
            return false;
        }
        waiting.bytes.extend_from_slice(line);
        waiting.lines += 1;
        if waiting.lines == 1 {
            self.changed.notify_one();
        }
        true
    }

    /// Waits for lines, lets more come, and takes all of them in exchange for an empty
    /// buffer. None when the process ends and nothing is left.
    fn next_batch(&self, empty: Vec<u8>) -> Option<(Vec<u8>, u64)> {
        let is_idle = |waiting: &mut Waiting| waiting.lines == 0 && !waiting.ending;
        let waiting = self.changed.wait_while(self.lock(), is_idle);
        let waiting = waiting.unwrap_or_else(PoisonError::into_inner);
        let is_collecting = |waiting: &mut Waiting| !waiting.ending;
        let collected = self.changed.wait_timeout_while(waiting, COLLECT_FOR, is_collecting);
        let (mut waiting, _) = collected.unwrap_or_else(PoisonError::into_inner);
        let lines = std::mem::take(&mut waiting.lines);
        (lines > 0).then(|| (std::mem::replace(&mut waiting.bytes, empty), lines))
    }
}

/// The thread that writes.
#[derive(Debug)]
pub struct LineWriter {
    shared: Arc<Shared>,
    lost: Counter,
    finished: mpsc::Receiver<()>,
}

impl LineWriter {
    /// Starts the thread. `lost` counts lines that could not be written.
    pub fn start(output: impl Write + Send + 'static, lost: Counter) -> Self {
        let shared = Arc::new(Shared::default());
        let (finishing, finished) = mpsc::channel();
        let (taken, counter) = (Arc::clone(&shared), lost.clone());
        std::thread::spawn(move || {
            write_batches(&taken, output, &counter);
            // Nobody may wait any more.
            let _ = finishing.send(());
        });
        Self { shared, lost, finished }
    }

    /// A place to write lines to.
    pub fn lines(&self) -> Lines {
        Lines { shared: Arc::clone(&self.shared), lost: self.lost.clone(), line: Vec::new() }
    }

    /// Writes what still waits, for no longer than a moment.
    pub fn finish(self) {
        self.shared.lock().ending = true;
        self.shared.changed.notify_one();
        // In time or not, the process ends now.
        let _ = self.finished.recv_timeout(FINISH_LIMIT);
    }
}

fn write_batches(shared: &Shared, mut output: impl Write, lost: &Counter) {
    let mut empty = Vec::new();
    while let Some((mut batch, lines)) = shared.next_batch(empty) {
        // There is no log to tell of it in; the counter does.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            lost.inc_by(lines);
        }
        batch.clear();
        empty = batch;
    }
}

/// Collects what is written until it is flushed: that is one line.
#[derive(Debug)]
pub struct Lines {
    shared: Arc<Shared>,
    lost: Counter,
    line: Vec<u8>,
}

impl Write for Lines {
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
