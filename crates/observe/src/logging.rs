//! Builds the process's logger.
//!
//! Every message is a short sentence behind the prefix of its part, such as
//! `balancer: ` or `agent: `; what varies goes into key-value pairs.

use std::str::FromStr;
use std::sync::Mutex;
use std::time::{Instant, SystemTime};

use eyre::eyre;
use slog::{Drain, FnValue, Level, Logger, PushFnValue, Record, o};

use crate::line_writer::{LineWriter, Lines};
use crate::metrics::Counter;

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
    writer: LineWriter,
}

impl Logging {
    /// Starts the thread that writes.
    pub fn start(options: LogOptions) -> Self {
        let lost = Counter::default();
        let output = match options.format {
            LogFormat::Terminal => LogOutput::StandardError,
            LogFormat::Json => options.output,
        };
        let writer = LineWriter::start(output.writer(), lost.clone());
        let lines = writer.lines();
        let log = match options.format {
            LogFormat::Terminal => {
                let decorator = slog_term::PlainDecorator::new(lines);
                root(slog_term::FullFormat::new(decorator).build(), options.level)
            }
            LogFormat::Json => root(json_drain(lines), options.level),
        };
        Self { log, lost, writer }
    }

    /// Writes what still waits, but for no longer than a moment: an output that
    /// nobody reads must not keep the process from ending.
    pub fn finish(self) {
        self.writer.finish();
    }
}

/// A logger that formats each line where it is logged, stamped with the time.
fn root<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = std::io::Error> + Send + 'static,
{
    let started = Instant::now();
    let drain = Mutex::new(drain.fuse()).fuse();
    let stamps = o!(
        "ts" => FnValue(|_| humantime::format_rfc3339_micros(SystemTime::now()).to_string()),
        "up_ms" => FnValue(move |_| started.elapsed().as_millis() as u64),
    );
    Logger::root(drain.filter_level(level).fuse(), stamps)
}

/// One JSON object a line.
fn json_drain(lines: Lines) -> slog_json::Json<Lines> {
    slog_json::Json::new(lines)
        // A flush ends a line.
        .set_flush(true)
        .add_key_value(o!(
            "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
        ))
        .build()
}
