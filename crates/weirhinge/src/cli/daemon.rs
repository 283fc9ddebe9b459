//! Code shared by the balancer and agent daemons: reading flags and settings, logging, starting
//! the runtime and waiting for a stop signal.

use std::io::Write;

use eyre::WrapErr;
use pico_args::Arguments;
use slog::Logger;
use tokio::signal::unix::{Signal, SignalKind, signal};
use weirhinge_config::settings::RawSettings;
use weirhinge_observe::{BoundAddresses, LogFormat, LogOptions, Logging};

use super::CliFailure;

/// Origin named in errors about settings when no settings file is given.
pub const COMMAND_LINE: &str = "command line";

/// Help text of the options that both daemons accept.
pub const COMMON_OPTIONS: &str = "\
\x20 --settings FILE            Settings file (TOML); flags override it
  --name NAME                Name shown in logs and health
  --zone ZONE                Zone in which the process runs
  --listen IP:PORT           UDP address of the data path  [default: 127.0.0.1:0]
  --admin IP:PORT            TCP address of /health and /metrics  [default: 127.0.0.1:0]
  --platform IP:PORT         TCP address of the platform's configuration service
  --keys-file FILE           Keys file (TOML) that sets flow_hash to 32 hexadecimal digits
  --log-format FORMAT        terminal or json  [default: terminal]
  --log-level LEVEL          critical, error, warning, info, debug or trace  [default: info]
  -h, --help                 Show this help
";

/// The parsed command line of a daemon.
pub struct DaemonOptions {
    /// Settings from the file, overridden by the flags.
    pub settings: RawSettings,
    /// Where the settings came from, for errors: the settings file or [`COMMAND_LINE`].
    pub origin: String,
    /// Format and level of the log.
    pub log: LogOptions,
}

/// Reads the options that both daemons accept and calls `read_role_options` for those of one role.
pub fn read_options(
    mut arguments: Arguments,
    read_role_options: impl FnOnce(&mut Arguments, &mut RawSettings) -> Result<(), CliFailure>,
) -> Result<DaemonOptions, CliFailure> {
    let file: Option<String> = read_flag(&mut arguments, "--settings")?;
    let mut flags = RawSettings {
        name: read_flag(&mut arguments, "--name")?,
        zone: read_flag(&mut arguments, "--zone")?,
        listen: read_flag(&mut arguments, "--listen")?,
        admin: read_flag(&mut arguments, "--admin")?,
        platform: read_flag(&mut arguments, "--platform")?,
        keys_file: read_flag(&mut arguments, "--keys-file")?,
        ..RawSettings::default()
    };
    read_role_options(&mut arguments, &mut flags)?;
    let log = read_log_options(&mut arguments)?;
    reject_remaining(arguments)?;
    let from_file = match &file {
        Some(path) => RawSettings::from_file(path).map_err(CliFailure::usage)?,
        None => RawSettings::default(),
    };
    Ok(DaemonOptions {
        settings: from_file.overridden_by(flags),
        origin: file.unwrap_or_else(|| COMMAND_LINE.to_owned()),
        log,
    })
}

fn read_log_options(arguments: &mut Arguments) -> Result<LogOptions, CliFailure> {
    let mut options = LogOptions::default();
    if let Some(format) = read_flag::<LogFormat>(arguments, "--log-format")? {
        options.format = format;
    }
    if let Some(level) = read_flag::<String>(arguments, "--log-level")? {
        options.level = level.parse().map_err(|()| {
            CliFailure::usage(format!(
                "--log-level {level:?}: expected critical, error, warning, info, debug or trace"
            ))
        })?;
    }
    Ok(options)
}

/// Reads an optional flag with a value.
pub fn read_flag<T>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>, CliFailure>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    arguments
        .opt_value_from_str(name)
        .map_err(|error| CliFailure::usage(format!("{name}: {error}")))
}

/// Fails if arguments remain that nothing has read.
pub fn reject_remaining(arguments: Arguments) -> Result<(), CliFailure> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(unknown) => {
            let unknown = unknown.to_string_lossy();
            Err(CliFailure::usage(format!("argument {unknown:?}: unknown, see --help")))
        }
    }
}

/// Starts the logger and the runtime, and runs a daemon in them until it returns.
pub fn run_daemon<F, Fut>(log: LogOptions, daemon: F) -> Result<(), CliFailure>
where
    F: FnOnce(Logger, StopSignal) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    let logging = Logging::start(log);
    let logger = logging.log.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
        .wrap_err("start the runtime")
        .map_err(CliFailure::Runtime)?;
    let result = runtime.block_on(async {
        let stop = StopSignal::new()?;
        daemon(logger, stop).await
    });
    // Tasks of flows that were cut off must not delay the process's exit.
    runtime.shutdown_background();
    logging.finish();
    result.map_err(CliFailure::Runtime)
}

/// Threads of a daemon's runtime. Deployments have many small machines with few cores each.
const WORKER_THREADS: usize = 2;

/// Waits for SIGTERM or SIGINT, either of which starts a graceful shutdown.
pub struct StopSignal {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignal {
    fn new() -> eyre::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate()).wrap_err("listen for SIGTERM")?,
            interrupt: signal(SignalKind::interrupt()).wrap_err("listen for SIGINT")?,
        })
    }

    /// Returns at the first signal.
    pub async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Reports readiness and the bound addresses to the parent process, as one line of JSON on
/// standard output.
pub fn print_ready(addresses: BoundAddresses) {
    let mut output = std::io::stdout().lock();
    // Serializing addresses cannot fail.
    let line = serde_json::json!({ "ready": addresses });
    // Standard output may be closed; the daemon runs regardless.
    let _ = writeln!(output, "{line}").and_then(|()| output.flush());
}
