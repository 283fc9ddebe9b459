//! Lines are written complete and in order; lines that cannot be buffered or written are counted.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, mpsc};

use weirhinge_observe::{Counter, LineWriter};

/// Output that records each write.
#[derive(Clone, Default)]
struct RecordedWrites(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for RecordedWrites {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("lock is not poisoned").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that blocks until the sender of its channel is dropped.
struct BlockedOutput(mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is dropped when the test ends.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_complete_and_in_order() {
    let writes = RecordedWrites::default();
    let writer = LineWriter::start(writes.clone(), Counter::default());
    let mut lines = writer.handle();
    let mut expected = String::new();
    for number in 0..100 {
        write!(lines, "line {number}").expect("line is collected");
        writeln!(lines, " ends").expect("line is collected");
        lines.flush().expect("line is buffered");
        expected += &format!("line {number} ends\n");
    }
    writer.finish();
    let written = writes.0.lock().expect("lock is not poisoned").concat();
    assert_eq!(String::from_utf8(written).expect("output is UTF-8"), expected);
}

#[test]
fn blocked_output_does_not_block_logging() {
    let (release, blocked) = mpsc::channel();
    let lost = Counter::default();
    let writer = LineWriter::start(BlockedOutput(blocked), lost.clone());
    let mut lines = writer.handle();
    for _ in 0..20_000 {
        writeln!(lines, "{:100}", "").expect("line is collected");
        lines.flush().expect("line is buffered");
    }
    assert!(lost.get() > 0);
    writer.finish();
    drop(release);
}

#[test]
fn failed_writes_are_counted() {
    struct FailingOutput;
    impl Write for FailingOutput {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let lost = Counter::default();
    let writer = LineWriter::start(FailingOutput, lost.clone());
    let mut lines = writer.handle();
    for _ in 0..3 {
        writeln!(lines, "line").expect("line is collected");
        lines.flush().expect("line is buffered");
    }
    writer.finish();
    assert_eq!(lost.get(), 3);
}
