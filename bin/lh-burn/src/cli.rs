//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// laurelhill: report on error budget burn rates.
#[derive(Debug, Parser)]
#[command(version, about)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Collect the metrics of instances in the platform's object store.
    Collect(CollectArguments),
    /// Print the report.
    Report(ReportArguments),
}

#[derive(Debug, Args)]
pub(crate) struct CollectArguments {
    /// Addresses of the entries' metrics or look-up endpoints.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', required = true)]
    pub(crate) instances: Vec<SocketAddr>,
    /// The platform's address.
    #[arg(long, env = "LAURELHILL_PLATFORM", value_name = "ADDRESS")]
    pub(crate) platform: SocketAddr,
    /// Interval between scrapes, in seconds.
    #[arg(long, default_value_t = 10)]
    pub(crate) period: u64,
    /// Exit after this number of scrapes instead of at SIGTERM.
    #[arg(long)]
    pub(crate) readings: Option<u64>,
}

#[derive(Debug, Args)]
pub(crate) struct ReportArguments {
    /// Folder with the base settings and the overlays, which define the objectives.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) deploy: PathBuf,
    /// The platform's address.
    #[arg(long, env = "LAURELHILL_PLATFORM", value_name = "ADDRESS")]
    pub(crate) platform: SocketAddr,
    /// Also write an HTML page.
    #[arg(long, value_name = "FILE")]
    pub(crate) html: Option<PathBuf>,
    /// Number of hours to report on.
    #[arg(long, default_value_t = 6)]
    pub(crate) hours: u64,
    /// Print the report as JSON.
    #[arg(long)]
    pub(crate) json: bool,
}
