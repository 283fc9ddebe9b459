//! The command line: one module per subcommand.

mod agent;
mod balancer;
mod check;
mod client;
mod daemon;
mod explain;
mod failure;
mod log_files;
mod relay;
mod timeline;

use pico_args::Arguments;

pub use failure::CliFailure;

const HELP: &str = "\
weirhinge: a layer-4 load balancer

USAGE:
  weirhinge COMMAND [OPTIONS]

COMMANDS:
  balancer   Run a balancer: takes packets from the fabric, chooses agents
  agent      Run an agent beside one back end: holds its flows
  relay      Run on a platform whose targets end flows themselves
  explain    Tell from logs what happened to a request, a flow or a machine
  check      Check a settings file or a configuration document
  get        Print the configuration that balancers have agreed on
  status     Print a balancer's view of the group
  apply      Replace the configuration by a document
  drain      Let a target take no new flow
  activate   Let a target take new flows again

OPTIONS:
  -h, --help       Show this help, or a command's with COMMAND --help
  -V, --version    Show the version

EXIT CODES:
  0  done, or stopped as planned
  1  failed while running
  2  the command line, settings or document cannot be used
";

/// Runs the command that the arguments name.
///
/// # Errors
/// What failed, with the exit code to end with.
pub fn run(mut arguments: Arguments) -> Result<(), CliFailure> {
    if arguments.contains(["-V", "--version"]) {
        println!("weirhinge {}", env!("CARGO_PKG_VERSION"));
        return Ok(());
    }
    let command = arguments.subcommand().map_err(CliFailure::usage)?;
    match command.as_deref() {
        Some("balancer") => balancer::run(arguments),
        Some("agent") => agent::run(arguments),
        Some("relay") => relay::run(arguments),
        Some("explain") => explain::run(arguments),
        Some("check") => check::run(arguments),
        Some(command @ ("get" | "status" | "apply" | "drain" | "activate")) => {
            client::run(command, arguments)
        }
        Some(other) => Err(CliFailure::usage(format!("command {other:?}: not known, see --help"))),
        None if arguments.contains(["-h", "--help"]) => {
            print!("{HELP}");
            Ok(())
        }
        None => Err(CliFailure::usage(format!("no command given\n\n{HELP}"))),
    }
}
