//! The `weirhinge` program: a thin binary that reads the command line and
//! wires the daemons up.

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
