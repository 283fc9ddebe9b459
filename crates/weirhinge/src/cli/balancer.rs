//! `weirhinge balancer`: runs a balancer.

use pico_args::Arguments;

use super::CliFailure;
use super::daemon::{COMMON_OPTIONS, print_ready, read_flag, read_options, run_daemon};

const USAGE: &str = "\
weirhinge balancer: forward packets from the fabric to agents

USAGE:
  weirhinge balancer [OPTIONS]

OPTIONS:
  --control IP:PORT          TCP address for other balancers  [default: 127.0.0.1:0]
  --api IP:PORT              TCP address of the resource API, loopback only  [default: 127.0.0.1:0]
  --peers IP:PORT,...        Control addresses of other balancers, used when the platform is down
  --found-group              Found a group if none exists; set on one balancer, once
  --batch N                  Maximum packets per system call, 1 to 256  [default: 32]
";

/// Runs the subcommand.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-h", "--help"]) {
        print!("{USAGE}{COMMON_OPTIONS}");
        return Ok(());
    }
    let options = read_options(arguments, |arguments, flags| {
        flags.batch = read_flag(arguments, "--batch")?;
        flags.control = read_flag(arguments, "--control")?;
        flags.api = read_flag(arguments, "--api")?;
        flags.peers = read_flag(arguments, "--peers")?;
        flags.found_group = arguments.contains("--found-group").then_some(true);
        Ok(())
    })?;
    let settings = options.settings.into_balancer(&options.origin).map_err(CliFailure::usage)?;
    run_daemon(options.log, |log, stop| {
        weirhinge_balancer::run(settings, log, print_ready, stop.wait())
    })
}
