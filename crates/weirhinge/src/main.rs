//! The `weirhinge` binary: parses the command line, runs the chosen subcommand and maps its
//! failure to an exit code.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments = pico_args::Arguments::from_env();
    match cli::run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("weirhinge: {failure}");
            failure.exit_code()
        }
    }
}
