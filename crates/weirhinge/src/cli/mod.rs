//! The command line interface: one module per subcommand, plus the parts that they share.

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
  balancer   Run a balancer, which forwards packets from the fabric to agents
  agent      Run an agent, which terminates the flows of one back end
  relay      Run a balancer or agent on a platform whose targets terminate flows
  explain    Show from logs what happened to a request, a flow or a machine
  check      Validate a settings file, a keys file or a configuration document
  get        Print the configuration that the balancers have agreed on
  status     Print a balancer's view of the balancer group
  apply      Replace the configuration with a document
  drain      Stop sending new flows to a target
  activate   Send new flows to a target again

OPTIONS:
  -h, --help       Show this help; COMMAND --help shows a command's help
  -V, --version    Show the version

EXIT CODES:
  0  success, including a graceful shutdown
  1  runtime failure
  2  invalid command line, settings or document
";

/// Runs the subcommand that the arguments name.
///
/// # Errors
/// Returns the failure, which determines the exit code, if the arguments are invalid or the
/// subcommand fails.
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
        Some(other) => Err(CliFailure::usage(format!("command {other:?}: unknown, see --help"))),
        None if arguments.contains(["-h", "--help"]) => {
            print!("{HELP}");
            Ok(())
        }
        None => Err(CliFailure::usage(format!("no command given\n\n{HELP}"))),
    }
}
