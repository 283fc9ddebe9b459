//! `weirhinge relay balancer` and `weirhinge relay agent`: run a daemon in relay mode.

use pico_args::Arguments;
use slog::Level;
use weirhinge_observe::{LogFormat, LogOptions, LogOutput, Logging};
use weirhinge_platform::{ExternalPlatform, SETTINGS_VARIABLE};
use weirhinge_relay::{ProcessLog, RawSettings, Signals, run_agent, run_balancer, run_process};

use super::CliFailure;
use super::daemon::{read_flag, reject_remaining};

const USAGE: &str = "\
weirhinge relay: run on a platform whose targets terminate flows themselves

USAGE:
  weirhinge relay balancer [OPTIONS]
  weirhinge relay agent [OPTIONS]

OPTIONS:
  --settings FILE     Settings file (TOML)  [default: the path in {variable}]
  --log-level LEVEL   critical, error, warning, info, debug or trace  [default: info]
  -h, --help          Show this help

Log lines go to standard output, one JSON object per line. SIGTERM starts a
graceful shutdown; SIGHUP reloads the settings file.
";

/// Runs the subcommand.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{}", usage());
        return Ok(());
    }
    let role = arguments.subcommand().map_err(CliFailure::usage)?;
    let file: Option<String> = read_flag(&mut arguments, "--settings")?;
    let level = read_level(&mut arguments)?;
    reject_remaining(arguments)?;
    let file = file.or_else(|| std::env::var(SETTINGS_VARIABLE).ok()).ok_or_else(|| {
        CliFailure::usage(format!("--settings: not given, and {SETTINGS_VARIABLE} is not set"))
    })?;
    let raw = RawSettings::from_file(&file).map_err(CliFailure::usage)?;
    let options = LogOptions { output: LogOutput::StandardOutput, format: LogFormat::Json, level };
    match role.as_deref() {
        Some("balancer") => {
            let settings = raw.into_balancer(&file).map_err(CliFailure::usage)?;
            run_with_logging(options, |log, signals| {
                run_balancer(ExternalPlatform, settings, file, log, signals)
            })
        }
        Some("agent") => {
            let settings = raw.into_agent(&file).map_err(CliFailure::usage)?;
            run_with_logging(options, |log, signals| {
                run_agent(ExternalPlatform, settings, file, log, signals)
            })
        }
        _ => Err(CliFailure::usage(format!("role: expected balancer or agent\n\n{}", usage()))),
    }
}

fn run_with_logging<F, Fut>(options: LogOptions, daemon: F) -> Result<(), CliFailure>
where
    F: FnOnce(ProcessLog, Signals) -> Fut,
    Fut: Future<Output = eyre::Result<()>>,
{
    let logging = Logging::start(options);
    let log = ProcessLog { log: logging.log.clone(), lost: logging.lost.clone() };
    let result = run_process(|signals| daemon(log, signals));
    logging.finish();
    result.map_err(CliFailure::Runtime)
}

fn usage() -> String {
    USAGE.replace("{variable}", SETTINGS_VARIABLE)
}

fn read_level(arguments: &mut Arguments) -> Result<Level, CliFailure> {
    let Some(text) = read_flag::<String>(arguments, "--log-level")? else { return Ok(Level::Info) };
    text.parse().map_err(|()| {
        CliFailure::usage(format!(
            "--log-level {text:?}: expected critical, error, warning, info, debug or trace"
        ))
    })
}
