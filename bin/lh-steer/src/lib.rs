//! The control side of one instance: configuration, seats, health and membership.
//!
//! The program is a thin shell over this library; [`run`] is all that it calls.

mod admin;
mod app;
mod config;
mod core;
mod gossip;
mod metrics;
mod platform;
mod probe;

pub use daemon::{Error, Result};
pub use metrics::METRICS;

/// Reads the command line and the settings, then runs until SIGTERM.
///
/// # Errors
/// Where the settings are wrong or an address can't be used.
pub fn run() -> Result<()> {
    daemon::run::<config::Config>()
}
