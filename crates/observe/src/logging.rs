//! Builds the process's logger.
//!
//! Every message is a short fixed text with the prefix of its component, such as `balancer: ` or
//! `agent: `; variable data goes into key-value pairs.

use std::str::FromStr;
use std::sync::Mutex;
use std::time::{Instant, SystemTime};

use eyre::eyre;
use slog::{Drain, FnValue, Level, Logger, PushFnValue, Record, o};

use crate::line_writer::{LineHandle, LineWriter};
use crate::metrics::Counter;

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable lines; the default.
    #[default]
    Terminal,
    /// One JSON object per line.
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

/// Destination of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error; the default.
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

/// Options of the process's logger.
#[derive(Clone, Copy, Debug)]
pub struct LogOptions {
    /// Destination of JSON lines; human-readable lines always go to standard error.
    pub output: LogOutput,
    /// Format of the lines.
    pub format: LogFormat,
    /// Minimum severity of lines that are written.
    pub level: Level,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { output: LogOutput::default(), format: LogFormat::Terminal, level: Level::Info }
    }
}

/// A running logger and its writer thread.
pub struct Logging {
    /// The process's logger; cheap to clone.
    pub log: Logger,
    /// Number of lines dropped because the output was read too slowly or failed.
    pub lost: Counter,
    writer: LineWriter,
}

impl Logging {
    /// Starts the logger and its writer thread.
    pub fn start(options: LogOptions) -> Self {
        let lost = Counter::default();
        let output = match options.format {
            LogFormat::Terminal => LogOutput::StandardError,
            LogFormat::Json => options.output,
        };
        let writer = LineWriter::start(output.writer(), lost.clone());
        let lines = writer.handle();
        let log = match options.format {
            LogFormat::Terminal => {
                let decorator = slog_term::PlainDecorator::new(lines);
                root_logger(slog_term::FullFormat::new(decorator).build(), options.level)
            }
            LogFormat::Json => root_logger(json_drain(lines), options.level),
        };
        Self { log, lost, writer }
    }

    /// Writes the remaining lines, with a short timeout: an output that nobody reads must not
    /// keep the process from exiting.
    pub fn finish(self) {
        self.writer.finish();
    }
}

/// Builds a logger that formats each line on the logging thread and adds the time (`ts`) and the
/// milliseconds since the start (`up_ms`).
fn root_logger<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = std::io::Error> + Send + 'static,
{
    let started = Instant::now();
    let drain = Mutex::new(drain.fuse()).fuse();
    let time_fields = o!(
        "ts" => FnValue(|_| humantime::format_rfc3339_micros(SystemTime::now()).to_string()),
        "up_ms" => FnValue(move |_| started.elapsed().as_millis() as u64),
    );
    Logger::root(drain.filter_level(level).fuse(), time_fields)
}

/// Builds a drain that writes one JSON object per line.
fn json_drain(lines: LineHandle) -> slog_json::Json<LineHandle> {
    slog_json::Json::new(lines)
        // `LineHandle` takes a flush as the end of a line.
        .set_flush(true)
        .add_key_value(o!(
            "level" => FnValue(|record: &Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(|record: &Record<'_>, serializer| {
                serializer.emit(record.msg())
            }),
        ))
        .build()
}
