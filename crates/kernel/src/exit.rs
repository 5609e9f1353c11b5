//! How a program ends: its error chain on standard error and its exit code.

use std::error::Error;
use std::process::ExitCode;

/// What kind of end an error means; the number is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitClass {
    /// Refused or not done.
    Refused = 1,
    /// Wrong usage or settings; nothing was started.
    Settings = 2,
    /// Nobody knows whether it was done.
    Unknown = 3,
}

/// Prints the error chain, if any, and gives the exit code.
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
