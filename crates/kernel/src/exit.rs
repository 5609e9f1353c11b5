//! Program exit: prints the error chain to standard error and selects the exit code.

use std::error::Error;
use std::process::ExitCode;

/// Class of an error; the discriminant is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitClass {
    /// The operation was refused or failed without effect.
    Refused = 1,
    /// Invalid usage or settings; nothing was started.
    Settings = 2,
    /// It is unknown whether the operation took effect.
    Unknown = 3,
}

/// Prints the error and its causes, if any, and returns the exit code.
pub fn report_exit<E: Error>(result: Result<(), E>, class: impl Fn(&E) -> ExitClass) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("error: {error}");
    let mut source = error.source();
    while let Some(cause) = source {
        eprintln!("  caused by: {cause}");
        source = cause.source();
    }
    ExitCode::from(class(&error) as u8)
}
