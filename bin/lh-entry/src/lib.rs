//! The entry of one instance: answers look-ups, admits and relays requests.
//!
//! The program is a thin shell over this library; [`run`] is all that it calls.

mod app;
mod config;
mod lookup;
mod poll;
mod program;
mod stop;

pub use daemon::{Error, Result};

/// Reads the command line and the settings, then runs until SIGTERM.
///
/// # Errors
/// Where the settings are wrong or an address can't be used.
pub fn run() -> Result<()> {
    daemon::run::<program::EntryProgram>()
}
