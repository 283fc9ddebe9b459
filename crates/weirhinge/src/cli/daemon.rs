//! What both daemons do alike: read flags and settings, log, start the runtime
//! and wait for a signal.

use std::io::Write;

use eyre::WrapErr;
use pico_args::Arguments;
use slog::Logger;
use tokio::signal::unix::{Signal, SignalKind, signal};
use weirhinge_config::settings::RawSettings;
use weirhinge_observe::{BoundAddresses, LogFormat, LogOptions, Logging};

use super::CliFailure;

/// Name that stands for the flags in errors.
pub const COMMAND_LINE: &str = "command line";

/// Help text of the options that both daemons take.
pub const COMMON_OPTIONS: &str = "\
\x20 --settings FILE            Settings file (TOML); flags win over it
  --name NAME                Name shown in logs and health
  --zone ZONE                Zone that the process runs in
  --listen IP:PORT           UDP address of the data path  [default: 127.0.0.1:0]
  --admin IP:PORT            TCP address of /health and /metrics  [default: 127.0.0.1:0]
  --platform IP:PORT         TCP address of the platform's configuration service
  --keys-file FILE           Keys file (TOML) with flow_hash, 32 hexadecimal digits
  --log-format FORMAT        terminal or json  [default: terminal]
  --log-level LEVEL          critical, error, warning, info, debug or trace  [default: info]
  -h, --help                 Show this help
";

/// The command line of a daemon, read.
pub struct DaemonOptions {
    /// Settings from the file with the flags laid over them.
    pub settings: RawSettings,
    /// Name of the settings' origin for errors.
    pub origin: String,
    /// How to log.
    pub log: LogOptions,
}

/// Reads the options that both daemons take, then lets `role` read its own.
pub fn read_options(
    mut arguments: Arguments,
    role: impl FnOnce(&mut Arguments, &mut RawSettings) -> Result<(), CliFailure>,
) -> Result<DaemonOptions, CliFailure> {
    let file: Option<String> = option(&mut arguments, "--settings")?;
    let mut flags = RawSettings {
        name: option(&mut arguments, "--name")?,
        zone: option(&mut arguments, "--zone")?,
        listen: option(&mut arguments, "--listen")?,
        admin: option(&mut arguments, "--admin")?,
        platform: option(&mut arguments, "--platform")?,
        keys_file: option(&mut arguments, "--keys-file")?,
        ..RawSettings::default()
    };
    role(&mut arguments, &mut flags)?;
    let log = read_log_options(&mut arguments)?;
    refuse_rest(arguments)?;
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
    if let Some(format) = option::<LogFormat>(arguments, "--log-format")? {
        options.format = format;
    }
    if let Some(level) = option::<String>(arguments, "--log-level")? {
        options.level = level.parse().map_err(|()| {
            CliFailure::usage(format!(
                "--log-level {level:?}: expected critical, error, warning, info, debug or trace"
            ))
        })?;
    }
    Ok(options)
}

/// Reads one optional flag with a value.
pub fn option<T>(arguments: &mut Arguments, name: &'static str) -> Result<Option<T>, CliFailure>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    arguments
        .opt_value_from_str(name)
        .map_err(|error| CliFailure::usage(format!("{name}: {error}")))
}

/// Refuses arguments that nothing has read.
pub fn refuse_rest(arguments: Arguments) -> Result<(), CliFailure> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(unknown) => {
            let unknown = unknown.to_string_lossy();
            Err(CliFailure::usage(format!("argument {unknown:?}: not known, see --help")))
        }
    }
}

/// Starts the runtime and runs a daemon in it until it ends.
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
    // Tasks of cut flows must not hold the process up.
    runtime.shutdown_background();
    logging.finish();
    result.map_err(CliFailure::Runtime)
}

/// Threads of a daemon's runtime: many small machines, few cores each.
const WORKER_THREADS: usize = 2;

/// Waits for SIGTERM or SIGINT, either of which begins a planned stop.
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

    /// Completes at the first signal.
    pub async fn wait(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Tells whoever started the process, by one line of JSON on standard output,
/// that it is ready and where.
pub fn print_ready(addresses: BoundAddresses) {
    let mut output = std::io::stdout().lock();
    // Addresses always have a JSON form.
    let line = serde_json::json!({ "ready": addresses });
    // Nobody may be reading; the daemon runs all the same.
    let _ = writeln!(output, "{line}").and_then(|()| output.flush());
}
