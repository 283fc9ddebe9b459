//! The error type of all subcommands and its exit codes.

use std::fmt;
use std::process::ExitCode;

/// Exit code for a runtime failure.
const EXIT_RUNTIME: u8 = 1;
/// Exit code for an invalid command line, settings file or document.
const EXIT_USAGE: u8 = 2;

/// Why a subcommand failed.
#[derive(Debug)]
pub enum CliFailure {
    /// The command line or a file that it names is invalid.
    Usage(String),
    /// The command was valid but failed at run time.
    Runtime(eyre::Report),
}

impl CliFailure {
    /// Returns a usage failure with this reason.
    pub fn usage(reason: impl ToString) -> Self {
        CliFailure::Usage(reason.to_string())
    }

    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            CliFailure::Usage(_) => EXIT_USAGE,
            CliFailure::Runtime(_) => EXIT_RUNTIME,
        })
    }
}

impl fmt::Display for CliFailure {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliFailure::Usage(reason) => formatter.write_str(reason),
            // The alternate form prints the whole error chain on one line.
            CliFailure::Runtime(report) => write!(formatter, "{report:#}"),
        }
    }
}
