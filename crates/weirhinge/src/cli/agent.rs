//! `weirhinge agent`: runs an agent.

use pico_args::Arguments;
use weirhinge_agent::PlantedDefect;

use super::CliFailure;
use super::daemon::{COMMON_OPTIONS, print_ready, read_flag, read_options, run_daemon};

const USAGE: &str = "\
weirhinge agent: run next to one back end and terminate its flows

USAGE:
  weirhinge agent [OPTIONS]

OPTIONS:
  --target ID                Identifier of the target that this agent serves
  --fabric IP:PORT           UDP address of the fabric, for replies to clients
  --half-open-limit N        Maximum number of half-open flows  [default: 256]
  --candidates N             Candidate targets compared per new flow, 1 to 8  [default: 3]
  --stop-deadline-seconds N  Maximum wait for open flows after SIGTERM  [default: none]
";

/// Runs the subcommand.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}{COMMON_OPTIONS}");
        return Ok(());
    }
    let planted_defect: Option<PlantedDefect> = read_flag(&mut arguments, "--plant")?;
    let options = read_options(arguments, |arguments, flags| {
        flags.target = read_flag(arguments, "--target")?;
        flags.fabric = read_flag(arguments, "--fabric")?;
        flags.half_open_limit = read_flag(arguments, "--half-open-limit")?;
        flags.candidates = read_flag(arguments, "--candidates")?;
        flags.stop_deadline_seconds = read_flag(arguments, "--stop-deadline-seconds")?;
        Ok(())
    })?;
    let settings = options.settings.into_agent(&options.origin).map_err(CliFailure::usage)?;
    run_daemon(options.log, |log, stop| {
        weirhinge_agent::run(settings, planted_defect, log, print_ready, stop.wait())
    })
}
