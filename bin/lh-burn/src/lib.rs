//! The report on service-level burn: a collector that turns instances' metrics into
//! slices kept in the platform's object store, and the report made from them.

mod cli;
mod collect;
mod error;
mod report;
mod slices;

use clap::Parser;

pub use error::{Error, Result};

/// Reads the command line and does what it says.
///
/// # Errors
/// Where the platform can't be reached, the settings are wrong or a file can't be written.
pub fn run() -> Result<()> {
    let arguments = cli::Arguments::parse();
    kernel::init_logging(log::LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match arguments.command {
            cli::Command::Collect(collect) => collect::run(&collect).await,
            cli::Command::Report(report) => report::run(&report).await,
        }
    })
}
