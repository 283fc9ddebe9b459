//! Builds the process's logger.
//!
//! Every message is a short sentence behind the prefix of its part, such as
//! `balancer: ` or `agent: `; what varies goes into key-value pairs.

use std::str::FromStr;

use eyre::eyre;
use slog::{Drain, Level, Logger, o};

/// Messages that may wait to be written; more are counted and dropped rather
/// than slow the data path.
const CHANNEL_SIZE: usize = 4_096;

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

/// Builds a logger.
pub fn build_logger(options: LogOptions) -> Logger {
    match options.format {
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            asynchronous(drain, options.level)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(options.output.writer()).fuse();
            asynchronous(drain, options.level)
        }
    }
}

fn asynchronous<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain =
        slog_async::Async::new(drain).chan_size(CHANNEL_SIZE).build().filter_level(level).fuse();
    Logger::root(drain, o!())
}
