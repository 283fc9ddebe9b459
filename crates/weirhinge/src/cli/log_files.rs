//! Log file operands of a command.

use pico_args::Arguments;

use super::CliFailure;

/// Returns the remaining arguments as file names. Fails if one of them looks like a flag.
pub(super) fn read_file_names(arguments: Arguments) -> Result<Vec<String>, CliFailure> {
    let files: Vec<String> =
        arguments.finish().into_iter().map(|file| file.to_string_lossy().into_owned()).collect();
    match files.iter().find(|file| file.starts_with('-')) {
        Some(flag) => Err(CliFailure::usage(format!("argument {flag:?}: unknown, see --help"))),
        None => Ok(files),
    }
}
