//! Error budget reports: a collector that aggregates the metrics of instances into slices in the
//! platform's object store, and the report that is computed from them.

mod cli;
mod collect;
mod error;
mod report;
mod slices;

use clap::Parser;

pub use error::{Error, Result};

/// Parses the command line and runs the command.
///
/// # Errors
/// Returns an error if the platform is unreachable, the settings are invalid or a file can't be
/// written.
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
