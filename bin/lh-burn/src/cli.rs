//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Args, Parser, Subcommand};

/// laurelhill: report on service-level burn.
#[derive(Debug, Parser)]
#[command(version, about)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Read the instances' metrics and keep them in the platform's object store.
    Collect(CollectArguments),
    /// Print the report.
    Report(ReportArguments),
}

#[derive(Debug, Args)]
pub(crate) struct CollectArguments {
    /// Addresses of the entries' metrics or look-ups.
    #[arg(long, value_name = "ADDRESS", value_delimiter = ',', required = true)]
    pub(crate) instances: Vec<SocketAddr>,
    /// The platform's address.
    #[arg(long, env = "LAURELHILL_PLATFORM", value_name = "ADDRESS")]
    pub(crate) platform: SocketAddr,
    /// Seconds between two readings.
    #[arg(long, default_value_t = 10)]
    pub(crate) period: u64,
    /// End after so many readings; without it, at SIGTERM.
    #[arg(long)]
    pub(crate) readings: Option<u64>,
}

#[derive(Debug, Args)]
pub(crate) struct ReportArguments {
    /// Folder with the base and the overlays, for the objectives.
    #[arg(long, value_name = "FOLDER")]
    pub(crate) deploy: PathBuf,
    /// The platform's address.
    #[arg(long, env = "LAURELHILL_PLATFORM", value_name = "ADDRESS")]
    pub(crate) platform: SocketAddr,
    /// Also write an HTML page.
    #[arg(long, value_name = "FILE")]
    pub(crate) html: Option<PathBuf>,
    /// Hours to look back.
    #[arg(long, default_value_t = 6)]
    pub(crate) hours: u64,
    /// Print JSON.
    #[arg(long)]
    pub(crate) json: bool,
}
