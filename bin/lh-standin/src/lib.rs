//! Test doubles as programs: the platform's store, backend servers, callers, and helpers for
//! scripts.

mod callers;
mod cli;
mod client;
mod error;
mod report;
mod servers;

use clap::Parser;
use log::LevelFilter;

pub use error::{Error, Result};

/// Parses the command line and runs the command.
///
/// # Errors
/// If an address can't be used, a response is invalid or a guarantee was violated.
pub fn run() -> Result<()> {
    let arguments = cli::Arguments::parse();
    kernel::init_logging(if arguments.verbose {
        LevelFilter::Debug
    } else {
        LevelFilter::Warn
    });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match arguments.command {
            cli::Command::Platform { listen } => servers::run_store(listen).await,
            cli::Command::Servers {
                deploy,
                control,
                platform,
            } => servers::run_backends(&deploy, control, platform).await,
            cli::Command::Callers(load) => callers::run(&load).await,
            cli::Command::Send {
                method,
                url,
                body,
                key,
                expect,
            } => client::send(&method, &url, (&body, key.as_deref()), expect).await,
            cli::Command::Drained { server, control } => client::drained(server, control).await,
            cli::Command::Wait { urls, seconds } => client::wait(&urls, seconds).await,
        }
    })
}
