//! The entry of one instance: answers look-ups, admits and relays requests.
//!
//! The program is a thin shell over this library; [`run`] is all that it calls.

mod app;
mod cli;
mod config;
mod lookup;
mod poll;
mod stop;

use clap::Parser;

pub use daemon::{Error, Result};

/// Reads the command line and the settings, then runs until SIGTERM.
///
/// # Errors
/// Where the settings are wrong or an address can't be used.
pub fn run() -> Result<()> {
    let arguments = cli::Arguments::parse();
    let config = config::Config::load(&arguments)?;
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return Ok(());
    }
    kernel::start_logs(&config.log);
    app::run(&config)
}
