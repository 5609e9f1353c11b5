//! The control side of one instance: configuration, seats, health and membership.
//!
//! The program is a thin shell over this library; [`run`] is all that it calls.

mod admin;
mod app;
mod cli;
mod config;
mod core;
mod gossip;
mod metrics;
mod platform;
mod probe;

use clap::Parser;

pub use daemon::{Error, Result};
pub use metrics::METRICS;

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
