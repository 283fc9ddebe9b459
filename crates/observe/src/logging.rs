//! Builds the process's logger.
//!
//! Every message is a short sentence behind the prefix of its part, such as
//! `balancer: ` or `agent: `; what varies goes into key-value pairs.

use std::str::FromStr;
use std::sync::mpsc;
use std::time::{Duration, Instant, SystemTime};

use eyre::eyre;
use slog::{
    BorrowedKV, Drain, FnValue, Level, Logger, OwnedKVList, PushFnValue, Record, RecordStatic,
    SingleKV, o,
};
use slog_async::{AsyncCore, AsyncGuard};

use crate::metrics::Counter;

/// Messages that may wait to be written; more are counted and dropped rather
/// than slow the data path.
const CHANNEL_SIZE: usize = 1_024;

/// Longest wait for the last lines when a process ends.
const FINISH_LIMIT: Duration = Duration::from_millis(300);

/// How log lines are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Lines for a person's eye, the default.
    #[default]
    Terminal,
    /// One JSON object a line.
    Json,
}

impl FromStr for LogFormat {
    type Err = eyre::Report;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "terminal" => Ok(LogFormat::Terminal),
            "json" => Ok(LogFormat::Json),
            _ => Err(eyre!("log format {text:?}: expected terminal or json")),
        }
    }
}

/// Where log lines go.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error, the default.
    #[default]
    StandardError,
    /// Standard output.
    StandardOutput,
}

impl LogOutput {
    fn writer(self) -> Box<dyn std::io::Write + Send> {
        match self {
            LogOutput::StandardError => Box::new(std::io::stderr()),
            LogOutput::StandardOutput => Box::new(std::io::stdout()),
        }
    }
}

/// How to log.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Where the lines go; lines for a person's eye always go to standard error.
    pub output: LogOutput,
    /// Format of the lines.
    pub format: LogFormat,
    /// Least severe level that is written.
    pub level: Level,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { output: LogOutput::default(), format: LogFormat::Terminal, level: Level::Info }
    }
}

/// A running logger and the thread that writes for it.
pub struct Logging {
    /// The process's logger; copies of it are cheap.
    pub log: Logger,
    /// Lines that found no room because the output was not read fast enough.
    pub lost: Counter,
    guard: AsyncGuard,
}

impl Logging {
    /// Starts the thread that writes.
    pub fn start(options: LogOptions) -> Self {
        match options.format {
            LogFormat::Terminal => {
                let decorator = slog_term::TermDecorator::new().stderr().build();
                let drain = slog_term::FullFormat::new(decorator).build().fuse();
                Self::start_with(drain, options.level)
            }
            LogFormat::Json => {
                let drain = json_drain(options.output).fuse();
                Self::start_with(drain, options.level)
            }
        }
    }

    /// Writes what still waits, but for no longer than a moment: an output that
    /// nobody reads must not keep the process from ending.
    pub fn finish(self) {
        let (sender, finished) = mpsc::channel();
        std::thread::spawn(move || {
            // Dropping the guard waits for the thread that writes.
            drop(self.guard);
            // Nobody may wait any more.
            let _ = sender.send(());
        });
        // In time or not, the process ends now.
        let _ = finished.recv_timeout(FINISH_LIMIT);
    }

    fn start_with<D>(drain: D, level: Level) -> Self
    where
        D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
    {
        let (core, guard) = AsyncCore::custom(drain).chan_size(CHANNEL_SIZE).build_with_guard();
        let lost = Counter::default();
        let drain = StampingDrain { core, lost: lost.clone(), started: Instant::now() };
        let log = Logger::root(drain.filter_level(level).fuse(), o!());
        Self { log, lost, guard }
    }
}

/// One JSON object a line; the time is added where the record is made.
fn json_drain(output: LogOutput) -> slog_json::Json<Box<dyn std::io::Write + Send>> {
    slog_json::Json::new(output.writer())
        .add_key_value(o!(
            "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
        ))
        .build()
}

/// Adds the time to records, hands them to the thread that writes, and counts
/// those without room. The time must be taken here: values of the logger itself
/// are read in the thread that writes, when the line's turn comes.
struct StampingDrain {
    core: AsyncCore,
    lost: Counter,
    started: Instant,
}

impl Drain for StampingDrain {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        let time = humantime::format_rfc3339_micros(SystemTime::now()).to_string();
        let up_ms = self.started.elapsed().as_millis() as u64;
        let stamps = (SingleKV::from(("ts", time)), SingleKV::from(("up_ms", up_ms)));
        let stamped = (stamps, record.kv());
        let origin =
            RecordStatic { location: record.location(), tag: record.tag(), level: record.level() };
        let message = *record.msg();
        let record = Record::new(&origin, &message, BorrowedKV(&stamped));
        if self.core.log(&record, values).is_err() {
            self.lost.inc();
        }
        Ok(())
    }
}
