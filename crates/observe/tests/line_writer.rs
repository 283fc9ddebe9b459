//! Lines come out whole, in order and in few writes; what finds no room is counted.

use std::io::{self, Write};
use std::sync::{Arc, Mutex, mpsc};

use weirhinge_observe::{Counter, LineWriter};

/// Remembers each write.
#[derive(Clone, Default)]
struct Writes(Arc<Mutex<Vec<Vec<u8>>>>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// An output that takes nothing until it is told to.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // The sender is gone when the test ends.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_are_written_together_and_in_order() {
    let writes = Writes::default();
    let writer = LineWriter::start(writes.clone(), Counter::default());
    let mut lines = writer.lines();
    let mut expected = String::new();
    for number in 0..100 {
        write!(lines, "line {number}").expect("written");
        writeln!(lines, " ends").expect("written");
        lines.flush().expect("flushed");
        expected += &format!("line {number} ends\n");
    }
    writer.finish();
    let written = writes.0.lock().expect("no panic").concat();
    assert_eq!(String::from_utf8(written).expect("text"), expected);
}

#[test]
fn an_output_that_takes_nothing_blocks_nobody_and_losses_are_counted() {
    let (release, stuck) = mpsc::channel();
    let lost = Counter::default();
    let writer = LineWriter::start(Stuck(stuck), lost.clone());
    let mut lines = writer.lines();
    for _ in 0..20_000 {
        writeln!(lines, "{:100}", "").expect("written");
        lines.flush().expect("flushed");
    }
    assert!(lost.get() > 0);
    writer.finish();
    drop(release);
}

#[test]
fn lines_that_cannot_be_written_are_counted() {
    struct Broken;
    impl Write for Broken {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            Err(io::ErrorKind::BrokenPipe.into())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let lost = Counter::default();
    let writer = LineWriter::start(Broken, lost.clone());
    let mut lines = writer.lines();
    for _ in 0..3 {
        writeln!(lines, "line").expect("written");
        lines.flush().expect("flushed");
    }
    writer.finish();
    assert_eq!(lost.get(), 3);
}
