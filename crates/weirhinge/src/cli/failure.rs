//! How a command ends when it fails.

use std::fmt;
use std::process::ExitCode;

/// Exit code for a failure while running.
const EXIT_RUNTIME: u8 = 1;
/// Exit code for a command line, settings or document that cannot be used.
const EXIT_USAGE: u8 = 2;

/// A failed command.
#[derive(Debug)]
pub enum CliFailure {
    /// What the user gave cannot be used.
    Usage(String),
    /// Something failed while running.
    Runtime(eyre::Report),
}

impl CliFailure {
    /// A failure of what the user gave.
    pub fn usage(reason: impl ToString) -> Self {
        CliFailure::Usage(reason.to_string())
    }

    /// The process's exit code.
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
            // The alternate form prints the whole chain of causes on one line.
            CliFailure::Runtime(report) => write!(formatter, "{report:#}"),
        }
    }
}
