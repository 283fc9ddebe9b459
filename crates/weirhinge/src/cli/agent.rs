//! `weirhinge agent`.

use pico_args::Arguments;
use weirhinge_agent::PlantedDefect;

use super::CliFailure;
use super::daemon::{COMMON_OPTIONS, option, print_ready, read_options, run_daemon};

const USAGE: &str = "\
weirhinge agent: stand beside one back end and hold its flows

USAGE:
  weirhinge agent [OPTIONS]

OPTIONS:
  --target ID                Identifier of the target that this agent stands beside
  --fabric IP:PORT           UDP address of the fabric, for answers
  --half-open-limit N        Most flows opening at once  [default: 256]
  --candidates N             Targets compared per new flow, 1 to 8  [default: 3]
  --stop-deadline-seconds N  Longest wait for open flows after SIGTERM  [default: none]
";

/// Runs the command.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}{COMMON_OPTIONS}");
        return Ok(());
    }
    let plant: Option<PlantedDefect> = option(&mut arguments, "--plant")?;
    let options = read_options(arguments, |arguments, flags| {
        flags.target = option(arguments, "--target")?;
        flags.fabric = option(arguments, "--fabric")?;
        flags.half_open_limit = option(arguments, "--half-open-limit")?;
        flags.candidates = option(arguments, "--candidates")?;
        flags.stop_deadline_seconds = option(arguments, "--stop-deadline-seconds")?;
        Ok(())
    })?;
    let settings = options.settings.into_agent(&options.origin).map_err(CliFailure::usage)?;
    run_daemon(options.log, |log, stop| {
        weirhinge_agent::run(settings, plant, log, print_ready, stop.wait())
    })
}
