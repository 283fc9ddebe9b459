//! The log files that a command is to read.

use pico_args::Arguments;

use super::CliFailure;

/// The files named by the rest of the command line.
pub(super) fn files(arguments: Arguments) -> Result<Vec<String>, CliFailure> {
    let files: Vec<String> =
        arguments.finish().into_iter().map(|file| file.to_string_lossy().into_owned()).collect();
    match files.iter().find(|file| file.starts_with('-')) {
        Some(flag) => Err(CliFailure::usage(format!("argument {flag:?}: not known, see --help"))),
        None => Ok(files),
    }
}
